"""Combines the state and the decisions of a steering host, without its asyncio tasks.

This module does not import asyncio, so that a host can forward packets while the rest of the
program is still being imported.
"""

import random
import time
from collections.abc import Callable
from typing import Any, Protocol

from godwitway.addresses import Address, format_address
from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._announcements import Announcements
from godwitway.steering._catalog import Catalog
from godwitway.steering._cold_budget import ColdBudgets
from godwitway.steering._listing import apply_listing
from godwitway.steering._loads import hash_zone
from godwitway.steering._model import FleetConfig, FlowPacket, Target
from godwitway.steering._peers import HOSTS_PREFIX, Member, Peers
from godwitway.steering._replica import Replica
from godwitway.steering._rotation import Rotation
from godwitway.steering._settings import SteeringSettings
from godwitway.steering._steering import PacketIO, Steering
from godwitway.steering._zone_room import hash_service
from godwitway.store import RangeResult, StoreError, StorePosition

__all__ = ["Formats", "SteeringCore"]

LOG_LINES_PER_S = 50  # The limit for each event name; writing a line takes about 20 us.


class Formats(Protocol):
    """The platform's formats of store entries and flow keys.

    Attributes:
        config_key: The key of the configuration in the store.
        evacuations_prefix: The prefix of the keys of evacuated availability zones in the store;
            the zone's name follows it.
        targets_prefix: The prefix of the keys of targets in the store.
    """

    config_key: str
    evacuations_prefix: str
    targets_prefix: str

    def decode_config(self, value: bytes) -> FleetConfig:
        """Decode the value of the configuration's entry.

        Raises:
            EntryError: The value is invalid.
        """

    def decode_target(self, key: str, value: bytes, now: float) -> Target:
        """Decode a target's entry; `now` is the time in seconds of the process's clock.

        Raises:
            EntryError: The entry is invalid.
        """

    def format_flow(self, key: bytes) -> str:
        """Return a flow key as text for the log."""


class SteeringCore:
    """The state of one host, and the rules that connect its parts.

    Args:
        settings: The validated settings.
        formats: The platform's formats of store entries and flow keys.
        packet_io: Sends packets and resets.
        sink: Receives each log event.
        now: Returns the time of the process's monotonic clock in seconds.

    Attributes:
        settings: The validated settings.
        now: Returns the time of the process's monotonic clock in seconds.
        rng: The process's source of random numbers.
        metrics: Counters, gauges and histograms.
        journal: The event log.
        catalog: The configuration and the targets.
        announcements: Applies changes of the store's entries to the catalog.
        replica: This host's copy of the store.
        formats: The platform's formats.
        steering: Handles callers' packets.
        cold_budgets: The limits of new flows to cold targets; shared with `steering`.
        peers: The other hosts; shares its load totals and groups with `steering`.
        rotation: Decides whether this host should receive packets.
        is_leaving: Whether the host has left the rotation for a planned stop.
        started_at: When the process started, in seconds of its clock.
    """

    def __init__(
        self,
        settings: SteeringSettings,
        formats: Formats,
        packet_io: PacketIO,
        sink: Callable[[dict[str, Any]], None],
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.now = now
        self.rng = random.Random()
        self.metrics = Metrics()
        self.journal = Journal(settings.name, now, sink, formats.format_flow, LOG_LINES_PER_S)
        self.catalog = Catalog()
        self.is_leaving = False
        self.started_at = now()
        self.announcements = Announcements(
            self.catalog,
            formats.decode_config,
            formats.decode_target,
            now,
            self.metrics,
            self.journal,
        )
        self.announcements.on_target_restart = self.discard_target_evidence
        advertised_prefixes = (
            formats.config_key,
            formats.evacuations_prefix,
            formats.targets_prefix,
        )
        self.replica = Replica(advertised_prefixes, self.apply_key_change)
        self.replica.on_restore = self.handle_restored_store
        self.formats = formats
        self.steering = Steering(
            packet_io, self.catalog, settings.zone, now, self.rng, self.metrics, self.journal
        )
        self.peers = Peers(
            Member(settings.name, settings.zone, settings.peer),
            self.steering,
            self.get_reported_versions,
            self.rng,
            self.metrics,
            self.journal,
        )
        self.steering.regions = settings.regions
        self.steering.peer_load_totals = self.peers.peer_load_totals
        self.steering.groups = self.peers.groups
        self.cold_budgets = self.steering.cold_budgets = ColdBudgets(
            self.catalog,
            settings.peer,
            settings.cold_rate_factor,
            settings.cold_rate_slack,
            self.started_at,
        )
        self.catalog.limits_cold_flows = self.cold_budgets.is_limited()
        self.peers.on_registration = lambda zone, hosts: self.cold_budgets.set_hosts(
            zone, hosts, self.now()
        )
        self.peers.on_push = self.replica.apply_difference
        self.rotation = Rotation(self.steering, self.peers)

    def log_start(self) -> None:
        """Log that the process has started."""
        settings = self.settings
        self.journal.event("start", zone=settings.zone, store=format_address(settings.store))

    def apply_key_change(self, key: str, value: bytes | None, revision: int) -> bool:
        """Apply a change of one key of the store; unrelated keys are ignored.

        An unexpected error is logged: entries come from several writers, and one that cannot be
        applied must not keep the others from being applied.

        Args:
            key: The key.
            value: The new value, or None if the key was deleted.
            revision: The revision of the store at which it changed.

        Returns:
            False if this host has no use for the value.
        """
        try:
            if key.startswith(self.formats.targets_prefix):
                return self.announcements.apply_target_entry(key, value, revision)
            if key == self.formats.config_key:
                return self.announcements.apply_config_entry(key, value, revision)
            if key.startswith(self.formats.evacuations_prefix):
                zone = key.removeprefix(self.formats.evacuations_prefix)
                self.announcements.apply_evacuation_entry(zone, value is not None, revision)
                return True
            if key.startswith(HOSTS_PREFIX):
                return self.peers.apply_member_change(key, value, revision)
        except Exception as error:
            self.record_internal_error("entry_failed", error, key=key, revision=revision)
        return False

    def handle_restored_store(self, position: StorePosition) -> None:
        """Prepare for the entries of a store that was restored from a copy, and log the restore."""
        self.metrics.count("store_restores")
        self.journal.event("store_restored", era=position.era, revision=position.revision)
        self.announcements.begin_restored_era(position)

    def record_internal_error(self, event: str, error: Exception, **fields: Any) -> None:
        """Count and log an unexpected error.

        Args:
            event: The name of the event to log.
            error: The error.
            **fields: Further fields of the event, for example what was being handled.
        """
        self.metrics.count("internal_errors")
        self.journal.event(event, error=repr(error), **fields)

    def handle_packet(self, packet: FlowPacket) -> None:
        """Handle a packet of a caller; an unexpected error is logged and the packet lost."""
        try:
            self.steering.handle_packet(packet)
        except Exception as error:
            self.record_internal_error("packet_failed", error, flow=packet.flow_key.hex())

    def apply_listing(self, listing: RangeResult) -> bool:
        """Replace the replica by a complete listing of the store.

        A listing without a configuration is logged; the host serves when one arrives.

        Returns:
            Whether the host now has a configuration and serves.
        """
        if not any(item.key == self.formats.config_key for item in listing.items):
            self.journal.event("no_configuration", revision=listing.revision)
        apply_listing(self.replica, listing, self.metrics, self.journal)
        return self.start_serving()

    def record_listing(self, listing: RangeResult) -> None:
        """Apply a listing at the start, which also shows that the store responds to this host."""
        self.peers.record_store_call(True)
        self.apply_listing(listing)

    def record_failed_listing(self, call: str, error: StoreError) -> None:
        """Count and log a listing at the start to which the store gave no usable response."""
        self.peers.record_store_call(False)
        self.metrics.count("store_errors", "start")
        self.journal.event("store_lost", call=call, reason=str(error))

    def start_serving(self) -> bool:
        """Start to serve if there is a configuration; returns whether there is one.

        May be called again while the host already serves.
        """
        config = self.catalog.config
        if config is None or self.steering.is_ready:
            return config is not None
        self.steering.is_ready = True
        self.cold_budgets.is_serving = True
        self.update_rotation()
        self.journal.event(
            "ready",
            version=config.version,
            targets=len(self.catalog.targets),
            peers=len(self.peers.by_address),
            took_s=round(self.now() - self.started_at, 3),
        )
        return True

    def confirm_view(self, reason: str) -> None:
        """Record that this host's configuration is up to date, or as recent as it can be known.

        Args:
            reason: What showed this, for the log: ``watch``, ``report`` or ``timeout``.
        """
        if self.steering.is_current or self.catalog.config is None:
            return
        self.steering.is_current = True
        self.journal.event(
            "view_current",
            reason=reason,
            version=self.config_version(),
            took_s=round(self.now() - self.started_at, 3),
        )

    def update_rotation(self) -> None:
        """Decide whether to be in rotation; the next report informs the other hosts."""
        self.rotation.update()
        self.peers.in_rotation = (
            self.steering.is_ready and not self.is_leaving and not self.rotation.yield_reason
        )

    def config_version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self.catalog.config.version if self.catalog.config else 0

    def get_reported_versions(self) -> tuple[int, StorePosition]:
        """Return the configuration's version, 0 without one, and the advertised position."""
        return self.config_version(), self.replica.advertised_position

    def apply_config_of_host(self, value: bytes) -> bool:
        """Apply the configuration that another host has in force, unless this one's is newer.

        Returns:
            False if the value is invalid.
        """
        revision = self.replica.position.revision
        return self.announcements.apply_config_entry(self.formats.config_key, value, revision)

    def watches_store(self) -> bool:
        """Whether this host currently watches the store on behalf of others."""
        return self.peers.is_store_watcher(self.now())

    def discard_target_evidence(self, target_id: str) -> None:
        """Discard the evidence about a target's earlier incarnation, and its speed."""
        self.steering.evidence.pop(target_id, None)
        self.steering.speeds.discard(target_id, self.catalog.targets[target_id].token)

    def expire_state(self) -> None:
        """Remove expired flows, targets and peers, and update the gauges of `packet_io`.

        Targets whose entries were not written again in time get no new flows, and are removed once
        they do not answer. Called several times a second.
        """
        now = self.now()
        self.remove_departed_targets(now)
        if self.catalog.config is not None:
            self.steering.flow_table.expire_flows(now, self.catalog.config.idle_timeout_s)
        self.cold_budgets.expire(now)
        self.announcements.apply_outdated_entries()
        self.announcements.lapse_targets()
        self.announcements.remove_lapsed_targets(lambda target: self.steering.is_dead(target, now))
        self.peers.remove_silent_peers(now)
        self.update_speeds(now)
        self.steering.remote_loads.clear()
        packet_io = self.steering.packet_io
        self.metrics.gauges["datagrams_unreadable"] = packet_io.unreadable
        self.metrics.gauges["datagrams_unsent"] = packet_io.unsent

    def remove_departed_targets(self, now: float) -> None:
        """Free the tokens of targets that left long ago, and evidence about removed targets."""
        self.catalog.remove_departed(now)
        evidence, targets = self.steering.evidence, self.catalog.targets
        for target_id in [target_id for target_id in evidence if target_id not in targets]:
            del evidence[target_id]

    def update_speeds(self, now: float) -> None:
        """Let learned speeds age, and log targets that have become slow or ceased to be."""
        speeds = self.steering.speeds
        speeds.refresh(self.catalog.targets, now)
        for target_id, is_slow in speeds.crossings():
            self.metrics.count("target_speed_changes", "slow" if is_slow else "usual")
            self.journal.event(
                "target_speed",
                target=target_id,
                slow=is_slow,
                speed=round(1.0 / speeds.slowness(target_id), 2),
            )
        self.metrics.gauges["targets_slow"] = len(speeds.slow_targets)

    def clear_suspicions(self) -> None:
        """Clear stalls and suspicions of all targets, outdated after a pause of this process.

        Requests that were forwarded before the pause say nothing about the speed of targets.
        """
        for evidence in self.steering.evidence.values():
            evidence.clear_suspicions()
        self.steering.speeds.valid_since = self.now()

    def state_as_json(self) -> dict[str, Any]:
        """Return a dump of this host's state for operators."""
        now = self.now()
        return {
            "host": self.settings.name,
            "zone": self.settings.zone,
            "uptime_s": round(now - self.started_at, 3),
            "ready": self.steering.is_ready,
            "leaving": self.is_leaving,
            "in_rotation": self.peers.in_rotation,
            "group": self.group_as_json(),
            "yielding": self.rotation.yield_reason,
            "demand": self.rotation.demand(),
            "config": {
                "version": self.catalog.config.version if self.catalog.config else None,
                "routes": len(self.catalog.routes),
            },
            "room": self.rooms_as_json(now),
            "evacuated_zones": sorted(self.catalog.evacuated_zones),
            "era": self.replica.position.era,
            "revision": self.replica.position.revision,
            "watches": self.watches_store(),
            "reaches_store": self.peers.reaches_store,
            "flows": len(self.steering.flow_table.flows),
            "targets": [
                self.target_as_json(target, now) for target in self.catalog.targets.values()
            ],
            "peers": {
                format_address(address): self.peer_as_json(address, now)
                for address in self.peers.by_address
            },
            "metrics": self.metrics.as_json(),
        }

    def rooms_as_json(self, now: float) -> dict[str, dict[str, int]]:
        """Return how many more requests each zone's targets can take, by zone and service."""
        rooms = {
            (zone, service): room
            for zone, service, room, _ in self.steering.zone_rooms.entries(now)
        }
        zones = sorted({target.zone for target in self.catalog.targets.values()})
        return {
            zone: {
                service: rooms[hash_zone(zone), hash_service(service)]
                for service in sorted(self.catalog.by_service)
                if (hash_zone(zone), hash_service(service)) in rooms
            }
            for zone in zones
        }

    def group_as_json(self) -> dict[str, Any]:
        """Return the index of this host's group, the number of groups and the size of the group."""
        groups = self.peers.groups
        return {"number": groups.index, "of": groups.count, "hosts": len(groups.members) + 1}

    def peer_as_json(self, address: Address, now: float) -> dict[str, Any]:
        """Return the state of another host as its reports describe it."""
        peer = self.peers.by_address[address]
        return {
            "alive": peer.is_alive(now),
            "heard_s_ago": None
            if peer.last_report_at is None
            else round(now - peer.last_report_at, 3),
            "config_version": peer.config_version,
            "in_rotation": peer.in_rotation,
        }

    def target_as_json(self, target: Target, now: float) -> dict[str, Any]:
        """Return the announced state of a target, its load, and the evidence about it."""
        busy, idle = self.steering.load_at(target)
        evidence = self.steering.evidence.get(target.id)
        return {
            "id": target.id,
            "service": target.service,
            "zone": target.zone,
            "token": target.token,
            "draining": target.draining,
            "cold": now < target.cold_until,
            "cold_budget": self.cold_budgets.remaining(target, now),
            "busy": busy,
            "idle": idle,
            "speed": round(1.0 / self.steering.speeds.slowness(target.id), 2),
            "room": round(self.steering.speeds.room(target, self.steering.requests_at(target)), 1),
            "suspected": self.steering.should_avoid(target, now),
            "stalled_flows": len(evidence.stall_times) if evidence else 0,
            "held": target.id in self.announcements.held_until,
        }
