"""Applies the store's entries of targets and of the configuration to the catalog."""

from collections.abc import Callable

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._catalog import MAX_FLOW_LIFETIME_S, Catalog
from godwitway.steering._known_updates import KnownUpdates
from godwitway.steering._model import FleetConfig, RejectedRoute, Target
from godwitway.steering._retained_routes import retain_routes
from godwitway.store import StorePosition

__all__ = ["Announcements", "EntryError"]

# Entries that lapsed during an outage of the store are written again within about two seconds of
# its return.
ENTRY_HOLD_S = 2.2
# The store drops the entry of a target that has ended after about 5 s without updates. An outdated
# entry that is still there after twice this time belongs to a live target.
OUTDATED_HOLD_S = 10.0


class EntryError(ValueError):
    """Raised by a decoder for an invalid entry; the message names the invalid field."""


class Announcements:
    """Keeps the catalog up to date with the entries of the store.

    Attributes:
        catalog: The catalog to update.
        config_value: The configuration in force as the store had it, None before the first one.
        held_until: For each target whose entry was deleted while it was not draining, or was lost
            by the store, by id, until when the entry may be written again, in seconds.
        lapsed_until: For each target whose entry was not written again in time, by id, when it can
            have no open flow any more, in seconds.
        known_updates: Recognizes entries that are older than what was applied before a restore.
        outdated_entries: The value, the revision, and the time at which it is applied in spite of
            its age, in seconds, of each outdated entry that was not written again, by key.
        rejected_keys: The keys of known targets whose last value was invalid.
        restored_at: When this host learned that the store was restored, in seconds.
        restored_revision: The revision of the listing that showed that the store was restored; keys
            that are missing there were not deleted but lost. 0 before the first restore.
        target_id_by_key: The id of the target that each key of the store last described.
        on_target_restart: Called with the id of a target that was announced with a new start time.
    """

    def __init__(
        self,
        catalog: Catalog,
        decode_config: Callable[[bytes], FleetConfig],
        decode_target: Callable[[str, bytes, float], Target],
        now: Callable[[], float],
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.catalog = catalog
        self.decode_config = decode_config
        self.decode_target = decode_target
        self.now = now
        self.metrics = metrics
        self.journal = journal
        self.config_value: bytes | None = None
        self.held_until: dict[str, float] = {}
        self.lapsed_until: dict[str, float] = {}
        self.known_updates = KnownUpdates()
        self.outdated_entries: dict[str, tuple[bytes, int, float]] = {}
        self.rejected_keys: set[str] = set()
        self.restored_at = 0.0
        self.restored_revision = 0
        self.target_id_by_key: dict[str, str] = {}
        self.on_target_restart: Callable[[str], None] = lambda target_id: None

    def begin_restored_era(self, position: StorePosition) -> None:
        """Remember what is known before the entries of a restored store are applied."""
        self.restored_at = self.now()
        self.restored_revision = position.revision
        present, missing = [], self.catalog.departed_targets()
        for target in self.catalog.targets.values():
            had_entry = target.id not in self.held_until and not target.has_lapsed
            (present if had_entry else missing).append(target)
        self.known_updates.remember(present, missing)

    def apply_config_entry(self, key: str, value: bytes | None, revision: int) -> bool:
        """Apply a change of the configuration's entry.

        A deleted, invalid or older configuration is logged, and the version in force stays.

        Args:
            key: The key of the entry.
            value: The new value, or None if the entry was deleted.
            revision: The revision of the store at which it changed.

        Returns:
            False if the value is invalid.
        """
        if value is None:
            self.journal.event("config_ignored", reason="deleted", revision=revision)
            return True
        try:
            config = self.decode_config(value)
        except EntryError as error:
            self.metrics.count("entries_rejected", "config")
            self.journal.event("config_ignored", reason=str(error), revision=revision)
            return False
        former = self.catalog.config
        if not self.catalog.is_newer(config):
            self.journal.event(
                "config_ignored",
                reason="not newer",
                version=config.version,
                in_force=self.catalog.config.version,
            )
            return True
        missing = retain_routes(config, former)
        self.catalog.apply_config(config)
        self.record_rejected_routes(config, missing)
        self.config_value = value
        self.metrics.count("configs_applied")
        self.journal.event(
            "config_in_force",
            version=config.version,
            revision=revision,
            routes=len(config.routes),
        )
        return True

    def record_rejected_routes(self, config: FleetConfig, missing: list[RejectedRoute]) -> None:
        """Log and count the routes of a configuration that could not be decoded.

        Args:
            config: The configuration that is in force now.
            missing: The rejected routes for which no former route stays in force.
        """
        self.metrics.gauges["routes_rejected"] = len(config.rejected_routes)
        for rejected in config.rejected_routes:
            self.metrics.count("entries_rejected", "route")
            self.journal.event(
                "route_rejected",
                route=rejected.name,
                reason=rejected.reason,
                former_kept=rejected not in missing,
                version=config.version,
            )

    def apply_target_entry(self, key: str, value: bytes | None, revision: int) -> bool:
        """Apply a change of a target's entry.

        Args:
            key: The key of the entry.
            value: The new value, or None if the entry was deleted.
            revision: The revision of the store at which it changed.

        Returns:
            False if the value is invalid.
        """
        self.outdated_entries.pop(key, None)
        if value is None:
            self.handle_deleted_entry(key, revision)
            return True
        now = self.now()
        try:
            target = self.decode_target(key, value, now)
        except EntryError as error:
            self.reject_target_entry(key, str(error), revision)
            return False
        self.target_id_by_key[key] = target.id
        self.rejected_keys.discard(key)
        if self.known_updates.is_outdated(target):
            self.metrics.count("entries_outdated")
            self.journal.event("entry_outdated", target=target.id, revision=revision)
            self.outdated_entries[key] = (value, revision, now + OUTDATED_HOLD_S)
            return True
        self.known_updates.forget(target.id)
        self.held_until.pop(target.id, None)
        self.lapsed_until.pop(target.id, None)
        known = self.catalog.targets.get(target.id)
        restarted = known is not None and known.started_ms != target.started_ms
        is_changed = known is None or restarted or known.draining != target.draining
        self.catalog.put_target(target)
        if restarted:
            self.on_target_restart(target.id)
        if is_changed:
            self.journal.event(
                "target_announced",
                target=target.id,
                service=target.service,
                zone=target.zone,
                draining=target.draining,
                restarted=restarted,
                revision=revision,
            )
        return True

    def apply_evacuation_entry(self, zone: str, is_evacuated: bool, revision: int) -> None:
        """Apply a change of the operator's request to evacuate an availability zone.

        A request that the store lost when it was restored from a copy was acknowledged and not
        taken back, so it stays until its key is written and deleted.

        Args:
            zone: The zone's name.
            is_evacuated: Whether the store has the request.
            revision: The revision of the store at which it changed.
        """
        if not is_evacuated and revision <= self.restored_revision:
            self.journal.event("evacuation_kept", zone=zone, revision=revision)
            return
        if not self.catalog.set_evacuated(zone, is_evacuated):
            return
        self.metrics.gauges["zones_evacuated"] = len(self.catalog.evacuated_zones)
        if not is_evacuated:
            self.catalog.mark_zone_cold(zone, self.now())
        self.journal.event(
            "zone_evacuated" if is_evacuated else "zone_returned", zone=zone, revision=revision
        )

    def reject_target_entry(self, key: str, reason: str, revision: int) -> None:
        """Log an invalid entry, and mark its target as draining.

        The target gets no new flows, and its open flows stay.
        """
        self.metrics.count("entries_rejected", "target")
        self.journal.event("entry_rejected", key=key, reason=reason, revision=revision)
        target = self.catalog.targets.get(self.target_id_by_key.get(key, ""))
        if target is not None:
            target.draining = True
            self.rejected_keys.add(key)

    def handle_deleted_entry(self, key: str, revision: int) -> None:
        """Remove a target that announced that it drains, and hold any other one for `ENTRY_HOLD_S`.

        A draining target whose entry the store has lost may still have flows, and is held too. So
        is one whose entry was invalid: another program wrote that, and perhaps removed it.
        """
        was_rejected = key in self.rejected_keys
        self.rejected_keys.discard(key)
        target_id = self.target_id_by_key.pop(key, "")
        target = self.catalog.targets.get(target_id)
        if target is None:
            return
        if target.draining and not was_rejected and revision > self.restored_revision:
            self.remove_from_catalog(target_id, "left")
        else:
            self.held_until[target_id] = self.now() + ENTRY_HOLD_S
            self.journal.event("target_vanished", target=target_id, revision=revision)

    def apply_outdated_entries(self) -> None:
        """Apply outdated entries that the store still has after `OUTDATED_HOLD_S`.

        A live target does not write its entry again if the store has it with the same content. By
        the same time after the restore no lost update is left to be repeated.
        """
        now = self.now()
        due = [key for key, (_, _, at) in self.outdated_entries.items() if at <= now]
        for key in due:
            value, revision, _ = self.outdated_entries[key]
            self.known_updates.forget(self.target_id_by_key[key])
            self.apply_target_entry(key, value, revision)
        if now >= self.restored_at + OUTDATED_HOLD_S:
            self.known_updates.forget_all()

    def lapse_targets(self) -> None:
        """Send no new flows to the targets whose entries were not written again in time."""
        now = self.now()
        for target_id in [
            target_id for target_id, until in self.held_until.items() if until <= now
        ]:
            del self.held_until[target_id]
            self.lapsed_until[target_id] = now + MAX_FLOW_LIFETIME_S
            self.catalog.lapse_target(self.catalog.targets[target_id])
            self.journal.event("target_lapsed", target=target_id)

    def remove_lapsed_targets(self, is_unreachable: Callable[[Target], bool]) -> None:
        """Remove the targets with lapsed entries that have ended.

        An entry lapses when its target dies, and when the target's updates do not reach the store
        or are lost by it. So a target stays for its open flows until it does not answer, another
        target has its address, or a flow can last no longer.

        Args:
            is_unreachable: Whether a target does not answer as far as this host can tell.
        """
        if not self.lapsed_until:
            return
        now = self.now()
        in_use = {
            target.address for target in self.catalog.targets.values() if not target.has_lapsed
        }
        for target_id, until in list(self.lapsed_until.items()):
            target = self.catalog.targets[target_id]
            if until <= now or target.address in in_use or is_unreachable(target):
                del self.lapsed_until[target_id]
                self.remove_from_catalog(target_id, "lapsed")

    def remove_from_catalog(self, target_id: str, reason: str) -> None:
        """Remove a target from the catalog; logs and counts the reason."""
        self.catalog.remove_target(target_id, self.now())
        self.metrics.count("targets_removed", reason)
        self.journal.event("target_removed", target=target_id, reason=reason)
