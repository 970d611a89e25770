"""Taking and giving up targets as hosts and configuration versions come and go."""

from collections.abc import Iterable

from godwitway.connection import FlowRecord, FlowState, OwnedTarget, TargetUsage
from godwitway.errors import ErrorKind
from godwitway.process._directory import OwnerChange
from godwitway.process._flows import Flows
from godwitway.process._member import Member
from godwitway.process._node import Node
from godwitway.process._router import Router
from godwitway.version import Service, Snapshot, Target

__all__ = ["Ownership"]


class Ownership:
    """Keeps the owned targets in step with the directory.

    Attributes:
        node: The host.
        flows: The flows of the owned targets.
        router: Takes packets of waiting requests whose target moves away.
        pinned_flows: Flows whose target is no candidate any more: the target by flow key.
    """

    __slots__ = ("flows", "node", "pinned_flows", "router")

    def __init__(self, node: Node, flows: Flows, router: Router) -> None:
        self.node = node
        self.flows = flows
        self.router = router
        self.pinned_flows: dict[bytes, bytes] = {}

    async def prepare_directory(self) -> None:
        """Work ownership out in slices, so that probes are answered meanwhile."""
        directory = self.node.directory
        self.refresh_hosts()
        for _ in directory.apply_snapshot_in_slices(self.node.snapshot):
            await self.node.clock.sleep(0)

    def refresh_hosts(self) -> None:
        """Let the directory know the hosts that may own targets now."""
        node = self.node
        for member in node.members.values():
            if member.may_own_targets:
                node.directory.add_host(member)
            else:
                node.directory.remove_host(member.id)
        if not node.leaving:
            node.directory.add_host(node.own_member())

    def start_owning(self, records_may_be_lost: bool) -> None:
        """Begin to own targets, now that the peers are known.

        Args:
            records_may_be_lost: Whether an earlier process of this host, or of all hosts,
                may have owned them.
        """
        node = self.node
        node.joined = True
        self.refresh_hosts()
        node.directory.apply_snapshot(node.snapshot)
        for target in sorted(node.directory.targets_by_owner[node.id]):
            previous = node.directory.compute_assignment(
                node.directory.targets[target], excluded=node.id
            )
            lost = records_may_be_lost or previous.owner is None
            self.take(target, previous.owner, lost)
        node.admitting = True

    def handle_member_joined(self, member: Member) -> None:
        """Take in a new host."""
        if self.node.joined:
            self.follow(self.node.directory.add_host(member))

    def handle_member_left(self, member: Member, answers: bool) -> None:
        """Take out a host that is leaving or dead."""
        if not self.node.joined:
            return
        self.follow(self.node.directory.remove_host(member.id))
        if not answers:
            self.previous_died(member.id)

    def previous_died(self, host: bytes) -> None:
        """Stop waiting for records of a host that has died."""
        for owned in self.flows.owned.values():
            if owned.previous_owner == host:
                owned.previous_owner = None
                owned.records_may_be_lost = True
                owned.owned_since = self.node.now()

    def release_all_targets(self) -> None:
        """Give up all targets before a planned stop."""
        if self.node.joined:
            self.follow(self.node.directory.remove_host(self.node.id))

    def follow(self, changes: Iterable[OwnerChange]) -> None:
        """Take or give up the targets whose owner has changed."""
        for change in changes:
            if change.new_owner == self.node.id:
                alive = change.old_owner is not None and self.node.is_reachable(change.old_owner)
                first_owner = change.old_owner is None
                self.take(
                    change.target,
                    change.old_owner if alive else None,
                    lost=not alive and not first_owner,
                    new=first_owner,
                )
            elif change.old_owner == self.node.id:
                self.give_up(change.target)
        self.refresh_zones()

    def refresh_zones(self) -> None:
        """Note which owned targets are in a zone without a live host."""
        for id_, owned in self.flows.owned.items():
            owned.zone_has_no_hosts = self.node.directory.has_fallback_owner(id_)

    def take(self, target_id: bytes, previous: bytes | None, lost: bool, new: bool = False) -> None:
        """Begin to own a target; one that is new to its service has a cold start."""
        service, target = self.node.snapshot.targets_by_id[target_id]
        now = self.node.now()
        returned = self.flows.departing.pop(target_id, None)
        owned = returned or OwnedTarget(TargetUsage(service, target, now), now)
        if new:
            owned.added_at = now
        owned.owned_since = now
        owned.previous_owner = previous
        owned.records_may_be_lost = lost or owned.records_may_be_lost
        owned.zone_has_no_hosts = self.node.directory.has_fallback_owner(target_id)
        self.note_drain(owned, target, now)
        self.flows.owned[target_id] = owned
        self.node.journal.event(
            "own", target=target_id.hex(), lost=lost, previous=(previous or b"").hex()
        )

    def give_up(self, target_id: bytes) -> None:
        """Stop owning a target; its records are handed over."""
        owned = self.flows.owned.pop(target_id, None)
        if owned is None:
            return
        self.send_waiting_anew(owned)
        # What was adopted for a zone behind a cut is better known to the zone's own hosts.
        self.flows.remove_adopted_flows(owned, tentative_only=not owned.zone_has_no_hosts)
        if target_id in self.node.snapshot.targets_by_id:
            self.flows.departing[target_id] = owned
        self.node.journal.event("disown", target=target_id.hex())

    def send_waiting_anew(self, owned: OwnedTarget) -> None:
        """Let waiting requests, none of which was ever forwarded, start their way anew."""
        service = owned.usage.service
        for waiting in owned.usage.pop_all_waiting():
            self.flows.table.pop(waiting.key, None)
            packet = waiting.record.pending_packet
            if packet is not None:
                self.router.start_chain(
                    packet, waiting.key, service, waiting.record.kind, opens_flow=True
                )

    def note_drain(self, owned: OwnedTarget, target: Target, now: float) -> None:
        """Note when a target began to drain, or that it does not."""
        if not target.is_draining:
            owned.drain_started_at = None
        elif owned.drain_started_at is None:
            owned.drain_started_at = now

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Put a new configuration version in force."""
        before = self.node.snapshot
        if snapshot.revision < before.revision:
            return
        self.node.snapshot = snapshot
        self.node.metrics.gauges["revision"] = snapshot.revision
        self.flows.set_recent_periods(snapshot)
        if not self.node.joined:
            return
        self.refresh_targets(snapshot)
        self.drop_foreign_records(snapshot)
        self.follow(self.node.directory.apply_snapshot(snapshot))
        changed = {
            name
            for name, service in snapshot.services.items()
            if before.services.get(name) is not service
        }
        if changed:
            self.move_records(changed)

    def refresh_targets(self, snapshot: Snapshot) -> None:
        """Let the usages refer to the services and targets in force."""
        now = self.node.now()
        for table in (self.flows.owned, self.flows.departing):
            for id_, owned in list(table.items()):
                found = snapshot.targets_by_id.get(id_)
                if found is None or found[0].name != owned.usage.service.name:
                    self.abandon(id_, owned, table)
                    continue
                owned.usage.service, owned.usage.target = found
                self.note_drain(owned, found[1], now)

    def abandon(
        self, target_id: bytes, owned: OwnedTarget, table: dict[bytes, OwnedTarget]
    ) -> None:
        """Forget a target that no longer belongs to its service."""
        del table[target_id]
        self.send_waiting_anew(owned)

    def drop_foreign_records(self, snapshot: Snapshot) -> None:
        """Drop the records whose target the service no longer has."""
        known = {id(owned) for owned in self.flows.owned.values()}
        known |= {id(owned) for owned in self.flows.departing.values()}
        foreign = [key for key, record in self.flows.table.items() if id(record.owned) not in known]
        for key in foreign:
            del self.flows.table[key]
            self.node.record_drop(ErrorKind.WRONG_SERVICE, key)

    def move_records(self, changed: set[str]) -> None:
        """Renew kinds, and announce flows whose target is no candidate any more."""
        for key, record in self.flows.table.items():
            service = record.owned.usage.service
            if service.name not in changed:
                continue
            found = self.node.snapshot.find_kind(key)
            if found is not None:
                record.kind = found[1]
            if record.state != FlowState.WAITING:
                self.announce_exception(key, record, service)

    def announce_exception(self, key: bytes, record: FlowRecord, service: Service) -> None:
        """Tell the first candidate's owner about a flow whose target is no candidate."""
        candidates = service.candidates(key)
        target = record.owned.usage.target
        if target in candidates or not candidates:
            self.pinned_flows.pop(key, None)
            return
        self.pinned_flows[key] = target.id
        self.node.metrics.count("exceptions_announced")

    def merge_record(
        self, owned: OwnedTarget, key: bytes, kind_name: str, state: int, idle: float
    ) -> None:
        """Take over one record of an earlier owner."""
        now = self.node.now()
        kind = next((kind for kind in owned.usage.service.kinds if kind.name == kind_name), None)
        if kind is None:
            return
        known = self.flows.table.get(key)
        closing = state == FlowState.CLOSING
        if known is not None:
            if known.state == FlowState.TENTATIVE and known.owned is not owned:
                self.flows.remove_flow(key, known)
            elif known.owned is owned and closing:
                self.flows.end_flow(key, known, now)
                return
            else:
                return
        record = FlowRecord(owned, kind, FlowState(state), now - idle)
        record.started_at = now - idle
        self.flows.table[key] = record
        if not closing:
            owned.usage.add_flow(record, now)
        self.flows.wheel.schedule(key, now + max(0.0, self.flows.timeout_of(record) - idle))
