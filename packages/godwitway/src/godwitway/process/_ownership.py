"""Acquiring and releasing targets as hosts and configuration versions change."""

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
    """Keeps the owned targets consistent with the directory and the configuration.

    Attributes:
        node: The state shared by the parts of this host.
        flows: The flows of the targets that this host owns.
        router: Routes waiting requests again when their target gets another owner.
        own_pinned_flows: The packed target address by flow key, for flows here whose target is none
            of their candidates any more; announced to the owners of their first candidates.
    """

    __slots__ = ("flows", "node", "own_pinned_flows", "router")

    def __init__(self, node: Node, flows: Flows, router: Router) -> None:
        self.node = node
        self.flows = flows
        self.router = router
        self.own_pinned_flows: dict[bytes, bytes] = {}

    async def prepare_directory(self) -> None:
        """Fill the directory in slices, so that membership probes are answered in between."""
        directory = self.node.directory
        self.update_directory_hosts()
        for _ in directory.apply_snapshot_in_slices(self.node.snapshot):
            await self.node.clock.sleep(0)

    def update_directory_hosts(self) -> None:
        """Add the hosts that may own targets now to the directory and remove all others."""
        node = self.node
        for member in node.members.values():
            if member.may_own_targets:
                node.directory.add_host(member)
            else:
                node.directory.remove_host(member.id)
        if not node.leaving:
            node.directory.add_host(node.own_member())

    def start_owning(self, records_may_be_lost: bool) -> None:
        """Acquire this host's targets; call this once the peers are known.

        Args:
            records_may_be_lost: Whether an earlier process of this host, or earlier processes of
                all hosts, may have owned the targets, so that their flow records may have been
                lost when those processes ended.
        """
        node = self.node
        node.joined = True
        self.update_directory_hosts()
        node.directory.apply_snapshot(node.snapshot)
        for target in sorted(node.directory.targets_by_owner[node.id]):
            previous = node.directory.compute_assignment(
                node.directory.targets[target], excluded=node.id
            )
            lost = records_may_be_lost or previous.owner is None
            self.acquire_target(target, previous.owner, lost)
        node.admitting = True

    def handle_member_joined(self, member: Member) -> None:
        """Add a host to the directory; has no effect before this host owns targets."""
        if self.node.joined:
            self.apply_owner_changes(self.node.directory.add_host(member))

    def handle_member_left(self, member: Member, is_responding: bool) -> None:
        """Remove a leaving or dead host from the directory.

        Args:
            member: The host.
            is_responding: Whether the host can still hand over its records. Once a leaving host
                has stopped, this is called again with False.
        """
        if not self.node.joined:
            return
        self.apply_owner_changes(self.node.directory.remove_host(member.id))
        if not is_responding:
            self.stop_waiting_for_records(member.id)

    def stop_waiting_for_records(self, host: bytes) -> None:
        """Stop waiting for a dead host's records, and assume that they are lost."""
        for owned in self.flows.owned.values():
            if owned.previous_owner == host:
                owned.previous_owner = None
                owned.records_may_be_lost = True
                owned.records_complete_since = self.node.now()

    def release_all_targets(self) -> None:
        """Release all targets before a planned stop, to hand them over to other hosts."""
        if self.node.joined:
            self.apply_owner_changes(self.node.directory.remove_host(self.node.id))

    def apply_owner_changes(self, changes: Iterable[OwnerChange]) -> None:
        """Acquire or release the targets that changed to or from this host."""
        for change in changes:
            if change.new_owner == self.node.id:
                is_old_owner_reachable = change.old_owner is not None and self.node.is_reachable(
                    change.old_owner
                )
                is_first_owner = change.old_owner is None
                self.acquire_target(
                    change.target,
                    change.old_owner if is_old_owner_reachable else None,
                    records_may_be_lost=not is_old_owner_reachable and not is_first_owner,
                    is_new=is_first_owner,
                )
            elif change.old_owner == self.node.id:
                self.release_target(change.target)
        self.update_zone_states()

    def update_zone_states(self) -> None:
        """Update for each owned target whether its zone has no host that may own targets."""
        for id_, owned in self.flows.owned.items():
            owned.zone_has_no_hosts = self.node.directory.zone_has_no_hosts(id_)

    def acquire_target(
        self,
        target_id: bytes,
        previous_owner: bytes | None,
        records_may_be_lost: bool,
        is_new: bool = False,
    ) -> None:
        """Begin to own a target.

        Args:
            target_id: The packed address of the target.
            previous_owner: The id of the reachable host that hands its records over, or None.
            records_may_be_lost: Whether flow records of an earlier owner may be lost.
            is_new: Whether the target is new to its service, so that its cold start begins.
        """
        service, target = self.node.snapshot.targets_by_id[target_id]
        now = self.node.now()
        returned = self.flows.departing.pop(target_id, None)
        owned = returned or OwnedTarget(TargetUsage(service, target, now), now)
        if is_new:
            owned.added_at = now
        owned.records_complete_since = now
        owned.previous_owner = previous_owner
        owned.records_may_be_lost = records_may_be_lost or owned.records_may_be_lost
        owned.zone_has_no_hosts = self.node.directory.zone_has_no_hosts(target_id)
        self.update_drain_start(owned, target, now)
        self.flows.owned[target_id] = owned
        self.node.journal.event(
            "own",
            target=target_id.hex(),
            lost=records_may_be_lost,
            previous=(previous_owner or b"").hex(),
        )

    def release_target(self, target_id: bytes) -> None:
        """Stop owning a target; its records are kept for the handover to the new owner."""
        owned = self.flows.owned.pop(target_id, None)
        if owned is None:
            return
        self.reroute_waiting_requests(owned)
        # After a partition, the hosts of the target's own zone have the real records, so flows that
        # were adopted here are removed even if they are established.
        self.flows.remove_flows_of_lost_records(owned, tentative_only=not owned.zone_has_no_hosts)
        if target_id in self.node.snapshot.targets_by_id:
            self.flows.departing[target_id] = owned
        self.node.journal.event("disown", target=target_id.hex())

    def reroute_waiting_requests(self, owned: OwnedTarget) -> None:
        """Route the waiting requests of a target again; this host has forwarded none of them.

        `Router.start_chain` finds out again whether an earlier owner may have forwarded one.
        """
        service = owned.usage.service
        for waiting in owned.usage.pop_all_waiting():
            self.flows.table.pop(waiting.key, None)
            packet = waiting.record.pending_packet
            if packet is not None:
                self.router.start_chain(
                    packet, waiting.key, service, waiting.record.kind, opens_flow=True
                )

    def update_drain_start(self, owned: OwnedTarget, target: Target, now: float) -> None:
        """Set when a target began to drain, or None if it is not draining."""
        if not target.is_draining:
            owned.drain_started_at = None
        elif owned.drain_started_at is None:
            owned.drain_started_at = now

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Put a configuration version in force; one older than the version in force is ignored."""
        previous_snapshot = self.node.snapshot
        if snapshot.revision < previous_snapshot.revision:
            return
        self.node.snapshot = snapshot
        self.node.metrics.gauges["revision"] = snapshot.revision
        self.flows.set_recent_periods(snapshot)
        if not self.node.joined:
            return
        self.refresh_targets(snapshot)
        self.remove_orphaned_records(snapshot)
        self.apply_owner_changes(self.node.directory.apply_snapshot(snapshot))
        changed_services = {
            name
            for name, service in snapshot.services.items()
            if previous_snapshot.services.get(name) is not service
        }
        if changed_services:
            self.update_records(changed_services)

    def refresh_targets(self, snapshot: Snapshot) -> None:
        """Update the services and targets that owned and departing targets refer to.

        A target that is no longer part of its service is removed.
        """
        now = self.node.now()
        for table in (self.flows.owned, self.flows.departing):
            for id_, owned in list(table.items()):
                found = snapshot.targets_by_id.get(id_)
                if found is None or found[0].name != owned.usage.service.name:
                    self.remove_target(id_, owned, table)
                    continue
                owned.usage.service, owned.usage.target = found
                self.update_drain_start(owned, found[1], now)

    def remove_target(
        self, target_id: bytes, owned: OwnedTarget, table: dict[bytes, OwnedTarget]
    ) -> None:
        """Remove a target that no longer belongs to its service from a table."""
        del table[target_id]
        self.reroute_waiting_requests(owned)

    def remove_orphaned_records(self, snapshot: Snapshot) -> None:
        """Remove the records of targets that were removed from their service."""
        known = {id(owned) for owned in self.flows.owned.values()}
        known |= {id(owned) for owned in self.flows.departing.values()}
        orphaned = [
            key for key, record in self.flows.table.items() if id(record.owned) not in known
        ]
        for key in orphaned:
            del self.flows.table[key]
            self.node.record_drop(ErrorKind.WRONG_SERVICE, key)

    def update_records(self, changed_services: set[str]) -> None:
        """Update the kinds of the records of changed services, and which flows are pinned."""
        for key, record in self.flows.table.items():
            service = record.owned.usage.service
            if service.name not in changed_services:
                continue
            found = self.node.snapshot.find_service_and_kind(key)
            if found is not None:
                record.kind = found[1]
            if record.state != FlowState.WAITING:
                self.update_pinned_flow(key, record, service)

    def update_pinned_flow(self, key: bytes, record: FlowRecord, service: Service) -> None:
        """Add a flow whose target is none of its candidates to the pinned flows, else remove it."""
        candidates = service.candidates(key)
        target = record.owned.usage.target
        if target in candidates or not candidates:
            self.own_pinned_flows.pop(key, None)
            return
        self.own_pinned_flows[key] = target.id
        self.node.metrics.count("exceptions_announced")

    def merge_record(
        self, owned: OwnedTarget, key: bytes, kind_name: str, state: int, idle_s: float
    ) -> None:
        """Store one record that an earlier owner of a target handed over.

        A record of this host prevails, unless it is tentative and on another target; a closing
        record ends this host's record on the same target. A record of a kind that the service no
        longer has is ignored.

        Args:
            owned: The target.
            key: The flow key.
            kind_name: The name of the flow's kind.
            state: The value of the flow's `FlowState`.
            idle_s: How long ago the flow's last packet passed, in seconds.
        """
        now = self.node.now()
        kind = next((kind for kind in owned.usage.service.kinds if kind.name == kind_name), None)
        if kind is None:
            return
        known = self.flows.table.get(key)
        is_closing = state == FlowState.CLOSING
        if known is not None:
            if known.state == FlowState.TENTATIVE and known.owned is not owned:
                self.flows.remove_record(key, known)
            elif known.owned is owned and is_closing:
                self.flows.end_flow(key, known, now)
                return
            else:
                return
        record = FlowRecord(owned, kind, FlowState(state), now - idle_s)
        record.started_at = now - idle_s
        self.flows.table[key] = record
        if not is_closing:
            owned.usage.add_flow(record, now)
        self.flows.wheel.schedule(key, now + max(0.0, self.flows.timeout_of(record) - idle_s))
