"""What a steering host decides and believes, without the tasks that feed it.

Nothing here needs asyncio, so a host serves while the rest of its program is still loading.
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
from godwitway.steering._model import FleetConfig, Target
from godwitway.steering._peers import HOSTS_PREFIX, Member, Peers
from godwitway.steering._replica import Replica
from godwitway.steering._rotation import Rotation
from godwitway.steering._settings import SteeringSettings
from godwitway.steering._steering import PacketIO, Steering
from godwitway.store import RangeResult

__all__ = ["Formats", "SteeringCore"]

LOG_BUDGET = 50  # Lines of one event a second; a line costs about 20 us.


class Formats(Protocol):
    """How the platform writes what a host reads.

    Attributes:
        config_key: The key of the configuration.
        targets_prefix: What the keys of targets begin with.
    """

    config_key: str
    targets_prefix: str

    def decode_config(self, value: bytes) -> FleetConfig:
        """Decode the configuration; raises `EntryError`."""

    def decode_target(self, key: str, value: bytes, now: float) -> Target:
        """Decode a target's entry; raises `EntryError`."""

    def format_flow(self, key: bytes) -> str:
        """Return a flow's key as text."""


class SteeringCore:
    """The state of one host.

    Attributes:
        settings: The checked settings.
        now: The process's clock in seconds.
        rng: The process's random numbers.
        metrics: Counters and histograms.
        journal: The log of decisions.
        catalog: Configuration and targets.
        announcements: Keeps the catalog in step with the replicas.
        replica: The copy of the store.
        steering: Decides about packets.
        peers: The other hosts.
        rotation: Whether to ask for packets.
        is_leaving: Whether the host has left the rotation for a planned stop.
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
        self.journal = Journal(settings.name, now, sink, formats.format_flow, LOG_BUDGET)
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
        self.announcements.on_restart = self.target_restarted
        self.replica = Replica((formats.config_key, formats.targets_prefix), self.key_changed)
        self.formats = formats
        self.steering = Steering(
            packet_io, self.catalog, settings.zone, now, self.rng, self.metrics, self.journal
        )
        self.peers = Peers(
            Member(settings.name, settings.zone, settings.peer),
            self.steering,
            self.known_versions,
            self.rng,
            self.metrics,
            self.journal,
        )
        self.steering.peer_loads = self.peers.load_totals
        self.steering.groups = self.peers.groups
        self.peers.on_push = self.replica.apply_difference
        self.rotation = Rotation(self.steering, self.peers)

    def log_start(self) -> None:
        """Log that the process has started."""
        settings = self.settings
        self.journal.event("start", zone=settings.zone, store=format_address(settings.store))

    def key_changed(self, key: str, value: bytes | None, revision: int) -> None:
        """Apply a change of the store to what it concerns; other keys are not ours."""
        if key.startswith(self.formats.targets_prefix):
            self.announcements.target_changed(key, value, revision)
        elif key == self.formats.config_key:
            self.announcements.config_changed(key, value, revision)
        elif key.startswith(HOSTS_PREFIX):
            self.peers.apply_member_change(key, value, revision)

    def apply_listing(self, listing: RangeResult) -> bool:
        """Take over all keys of the store; returns whether there is a configuration."""
        if not any(item.key == self.formats.config_key for item in listing.items):
            self.journal.event("no_configuration", revision=listing.revision)
            return False
        self.replica.apply_listing(listing.items, listing.revision)
        return self.start_serving()

    def start_serving(self) -> bool:
        """Serve from now on if there is a configuration; returns whether there is one."""
        config = self.catalog.config
        if config is None or self.steering.is_ready:
            return config is not None
        self.steering.is_ready = True
        self.update_rotation()
        self.journal.event(
            "ready",
            version=config.version,
            targets=len(self.catalog.targets),
            peers=len(self.peers.by_address),
            took_s=round(self.now() - self.started_at, 3),
        )
        return True

    def update_rotation(self) -> None:
        """Decide anew whether to ask for packets, and tell the other hosts."""
        self.rotation.update()
        self.peers.in_rotation = (
            self.steering.is_ready and not self.is_leaving and not self.rotation.yield_reason
        )

    def known_versions(self) -> tuple[int, int]:
        """Return the configuration's version, and the revision of the newest change known."""
        return (
            self.catalog.config.version if self.catalog.config else 0,
            self.replica.advertised_revision,
        )

    def watches_store(self) -> bool:
        """Whether this host watches the store for its zone."""
        return self.peers.is_store_watcher(self.now())

    def target_restarted(self, target_id: str) -> None:
        """Forget what was known of a target's earlier incarnation."""
        self.steering.evidence.pop(target_id, None)

    def expire_state(self) -> None:
        """Forget what is old; called several times a second."""
        now = self.now()
        self.forget_departed_targets(now)
        if self.catalog.config is not None:
            self.steering.flow_table.expire_flows(now, self.catalog.config.idle_timeout_s)
        self.announcements.expire_held()
        self.peers.remove_silent_peers(now)
        packet_io = self.steering.packet_io
        self.metrics.gauges["datagrams_unreadable"] = packet_io.unreadable
        self.metrics.gauges["datagrams_unsent"] = packet_io.unsent

    def forget_departed_targets(self, now: float) -> None:
        """Drop the evidence about targets that left, and in time their tokens."""
        self.catalog.remove_departed(now)
        evidence, targets = self.steering.evidence, self.catalog.targets
        for target_id in [target_id for target_id in evidence if target_id not in targets]:
            del evidence[target_id]

    def clear_evidence(self) -> None:
        """Drop the evidence about targets, as after a pause of this process."""
        for evidence in self.steering.evidence.values():
            evidence.clear()

    def state_as_json(self) -> dict[str, Any]:
        """Return what this host believes, for operators."""
        now = self.now()
        return {
            "host": self.settings.name,
            "zone": self.settings.zone,
            "uptime_s": round(now - self.started_at, 3),
            "ready": self.steering.is_ready,
            "leaving": self.is_leaving,
            "in_rotation": self.peers.in_rotation,
            "group": self.group_state(),
            "yielding": self.rotation.yield_reason,
            "demand": self.rotation.demand(),
            "config": {
                "version": self.catalog.config.version if self.catalog.config else None,
                "routes": len(self.catalog.routes),
            },
            "revision": self.replica.revision,
            "watches": self.watches_store(),
            "reaches_store": self.peers.reaches_store,
            "flows": len(self.steering.flow_table.flows),
            "targets": [self.target_state(target, now) for target in self.catalog.targets.values()],
            "peers": {
                format_address(address): self.peer_state(address, now)
                for address in self.peers.by_address
            },
            "metrics": self.metrics.as_json(),
        }

    def group_state(self) -> dict[str, Any]:
        """Return how this host's zone is divided."""
        groups = self.peers.groups
        return {"number": groups.index, "of": groups.count, "hosts": len(groups.members) + 1}

    def peer_state(self, address: Address, now: float) -> dict[str, Any]:
        """Return what this host knows of a peer."""
        peer = self.peers.by_address[address]
        return {
            "alive": peer.is_alive(now),
            "heard_s_ago": None
            if peer.last_report_at is None
            else round(now - peer.last_report_at, 3),
            "config_version": peer.config_version,
            "in_rotation": peer.in_rotation,
        }

    def target_state(self, target: Target, now: float) -> dict[str, Any]:
        """Return what this host believes of a target."""
        busy, idle = self.steering.view(target)
        evidence = self.steering.evidence.get(target.id)
        return {
            "id": target.id,
            "service": target.service,
            "zone": target.zone,
            "token": target.token,
            "draining": target.draining,
            "cold": now < target.cold_until,
            "busy": busy,
            "idle": idle,
            "suspected": self.steering.is_suspected(target, now),
            "stalled_flows": len(evidence.stall_times) if evidence else 0,
            "held": target.id in self.announcements.held,
        }
