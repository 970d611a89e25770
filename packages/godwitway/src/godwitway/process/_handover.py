"""Handover of flow records to the new owners of targets, rate limited and acknowledged."""

import asyncio

from godwitway.connection import FlowRecord, OwnedTarget
from godwitway.process._clock import wait_for_event
from godwitway.process._control import Control
from godwitway.process._flows import Flows
from godwitway.process._messages import (
    ExceptionNotes,
    HandoverAck,
    HandoverBatch,
    HandoverQuery,
    MovedFlow,
)
from godwitway.process._node import Node
from godwitway.process._ownership import Ownership

__all__ = ["Handover"]

FLOWS_PER_BATCH = 60
FLOW_KEY_BYTES = 13
ACK_TIMEOUT_S = 1.0
POLL_PERIOD_S = 0.1
QUERY_PERIOD_S = 2.0
QUERY_TIMEOUT_S = 30.0
PINNED_FLOWS_PER_MESSAGE = 40
ANNOUNCE_PERIOD_S = 0.5
# Less than `RECENT_PERIOD_S`, after which a receiver may remove an entry that is not repeated.
ANNOUNCE_REPEAT_S = 10.0


class Handover:
    """Hands over flow records to new owners, and receives them from earlier owners.

    Attributes:
        node: The state shared by the parts of this host.
        flows: The flows of this host.
        ownership: The owned targets of this host.
        control: Sends control messages within the bandwidth budget.
        tasks: The task that hands over each departing target, by packed target address.
        ack_events: Set when a batch is acknowledged; by packed target address and batch number.
        announced: By key of a pinned flow, the id of the host that it was announced to last and
            when, in seconds of the process's clock.
    """

    __slots__ = ("ack_events", "announced", "control", "flows", "node", "ownership", "tasks")

    def __init__(self, node: Node, flows: Flows, ownership: Ownership, control: Control) -> None:
        self.node = node
        self.flows = flows
        self.ownership = ownership
        self.control = control
        self.tasks: dict[bytes, asyncio.Task[None]] = {}
        self.ack_events: dict[tuple[bytes, int], asyncio.Event] = {}
        self.announced: dict[bytes, tuple[bytes, float]] = {}

    async def run(self) -> None:
        """Start a handover for each departing target; runs until it is cancelled."""
        while True:
            for target in list(self.flows.departing):
                if target not in self.tasks:
                    task = asyncio.ensure_future(self.hand_over(target))
                    self.tasks[target] = task
            for target, task in list(self.tasks.items()):
                if task.done():
                    del self.tasks[target]
                    # Raises the exception of a failed handover, which stops this host.
                    task.result()
            await self.node.clock.sleep(POLL_PERIOD_S)

    async def hand_over(self, target: bytes) -> None:
        """Hand over the records of one target; if the owner changes meanwhile, to the next one."""
        owned = self.flows.departing[target]
        while self.flows.departing.get(target) is owned:
            receiver = self.node.directory.owner_of(target)
            if receiver is None or receiver == self.node.id or receiver not in self.node.members:
                await self.node.clock.sleep(POLL_PERIOD_S)
                continue
            if await self.send_records(target, owned, receiver):
                self.complete_handover(target, owned, receiver)

    def complete_handover(self, target: bytes, owned: OwnedTarget, receiver: bytes) -> None:
        """Remove a departing target whose records have all been acknowledged."""
        if self.flows.departing.get(target) is owned:
            del self.flows.departing[target]
        self.node.metrics.count("handovers_done")
        self.node.journal.event("handed_over", target=target.hex(), to=receiver.hex())

    async def send_records(self, target: bytes, owned: OwnedTarget, receiver: bytes) -> bool:
        """Send everything that is known of a target's flows to its new owner.

        Returns:
            True when all of it is acknowledged; False if `receiver` was replaced or is
            unreachable, or the target is no longer departing.
        """
        number = 0
        refused, passed_on = self.refused_keys(owned), self.passed_on_keys(target)
        while True:
            keys = self.record_keys(owned)
            longest = max(1, len(keys), len(refused), len(passed_on))
            for start in range(0, longest, FLOWS_PER_BATCH):
                batch_slice = slice(start, start + FLOWS_PER_BATCH)
                records = self.current_records(keys[batch_slice], owned)
                number += 1
                message = self.build_batch(target, owned, number, records)
                message.refused, message.passed_on = refused[batch_slice], passed_on[batch_slice]
                message.last = start + FLOWS_PER_BATCH >= longest
                if not await self.send_batch(message, receiver):
                    return False
                self.remove_acknowledged(records, message)
            refused, passed_on = [], []
            if not self.record_keys(owned):
                return True

    def record_keys(self, owned: OwnedTarget) -> list[bytes]:
        """Return the flow keys of a target's records, flows that hold a slot first."""
        records = [
            (key, record) for key, record in self.flows.table.items() if record.owned is owned
        ]
        records.sort(key=lambda item: not item[1].kind.holds_slot)
        return [key for key, _ in records]

    def current_records(
        self, keys: list[bytes], owned: OwnedTarget
    ) -> list[tuple[bytes, FlowRecord]]:
        """Return the keys and records of those flows that are still on the target."""
        records = [(key, self.flows.table.get(key)) for key in keys]
        return [
            (key, record) for key, record in records if record is not None and record.owned is owned
        ]

    def build_batch(
        self,
        target: bytes,
        owned: OwnedTarget,
        number: int,
        records: list[tuple[bytes, FlowRecord]],
    ) -> HandoverBatch:
        """Return a batch with some records; refused and passed-on flows are added later."""
        now = self.node.now()
        flows = [
            MovedFlow(
                key, record.kind.name, int(record.state), max(0, int(now - record.last_packet_at))
            )
            for key, record in records
        ]
        lost_for = now - owned.records_complete_since if owned.records_may_be_lost else None
        return HandoverBatch(self.node.id, target, number, flows, [], [], False, lost_for)

    def refused_keys(self, owned: OwnedTarget) -> list[bytes]:
        """Return the keys of refused at-most-once flows with the target among their candidates."""
        service, target = owned.usage.service, owned.usage.target
        recent = {**self.flows.refused.previous, **self.flows.refused.current}
        return [key for key in recent if target in service.candidates(key)]

    def passed_on_keys(self, target: bytes) -> list[bytes]:
        """Return the keys of at-most-once flows that a target's owner passed to another one."""
        recent = {**self.flows.passed_on.previous, **self.flows.passed_on.current}
        keys = [entry[:FLOW_KEY_BYTES] for entry in recent if entry[FLOW_KEY_BYTES:] == target]
        found = [(key, self.node.snapshot.find_service_and_kind(key)) for key in keys]
        return [key for key, known in found if known is not None and known[1].is_at_most_once]

    async def send_batch(self, message: HandoverBatch, receiver: bytes) -> bool:
        """Send a batch until it is acknowledged; return False once `is_receiver` is false."""
        acknowledged = asyncio.Event()
        self.ack_events[message.target, message.number] = acknowledged
        try:
            while self.is_receiver(message.target, receiver):
                await self.control.send_paced(message, receiver)
                if await wait_for_event(self.node.clock, acknowledged, ACK_TIMEOUT_S):
                    return True
                self.node.metrics.count("handover_batches_repeated")
        finally:
            self.ack_events.pop((message.target, message.number), None)
        return False

    def is_receiver(self, target: bytes, receiver: bytes) -> bool:
        """Return whether a host is still the new owner of a departing target, and reachable."""
        return (
            self.node.directory.owner_of(target) == receiver
            and self.node.is_reachable(receiver)
            and target in self.flows.departing
        )

    def remove_acknowledged(
        self, records: list[tuple[bytes, FlowRecord]], message: HandoverBatch
    ) -> None:
        """Remove acknowledged records; one whose state changed since is kept and sent again."""
        for (key, record), sent in zip(records, message.flows, strict=True):
            if self.flows.table.get(key) is record and int(record.state) == sent.state:
                del self.flows.table[key]

    # Receiving

    async def handle_batch(self, message: HandoverBatch) -> None:
        """Store a batch of records and acknowledge it; ignore it if the target is not owned."""
        owned = self.flows.owned.get(message.target)
        if owned is None:
            return
        for flow in message.flows:
            self.ownership.merge_record(owned, flow.key, flow.kind, flow.state, flow.idle)
        now = self.node.now()
        for key in message.refused:
            self.flows.refused.put(key, True, now)
        for key in message.passed_on:
            self.flows.passed_on.put(key + message.target, now, now)
        # An owner that was not waiting for the sender has complete records of its own.
        if message.last and owned.previous_owner == message.sender:
            owned.previous_owner = None
            if message.lost_for is not None:
                # The latest loss decides how long repeated packets of lost flows may arrive.
                lost_since = now - message.lost_for
                owned.records_complete_since = (
                    max(owned.records_complete_since, lost_since)
                    if owned.records_may_be_lost
                    else lost_since
                )
                owned.records_may_be_lost = True
            self.flows.start_waiting_requests(owned)
        ack = HandoverAck(self.node.id, message.target, message.number)
        await self.control.send(ack, message.sender)

    def handle_ack(self, message: HandoverAck) -> None:
        """Handle an acknowledgement; one that is not waited for any more is ignored."""
        event = self.ack_events.get((message.target, message.number))
        if event is not None:
            event.set()

    async def run_queries(self) -> None:
        """Query the earlier owners of targets whose records are not complete yet.

        If the records are still missing after `QUERY_TIMEOUT_S`, they are assumed to be lost. Runs
        until it is cancelled.
        """
        while True:
            await self.node.clock.sleep(QUERY_PERIOD_S)
            now = self.node.now()
            for target, owned in list(self.flows.owned.items()):
                if owned.previous_owner is None:
                    continue
                if now - owned.records_complete_since > QUERY_TIMEOUT_S:
                    owned.previous_owner = None
                    owned.records_may_be_lost = True
                    owned.records_complete_since = now
                    continue
                await self.control.send(HandoverQuery(self.node.id, target), owned.previous_owner)

    async def handle_query(self, message: HandoverQuery) -> None:
        """Answer a new owner with an empty last batch if there is nothing to hand over.

        Nothing is sent while this host still owns the target or is handing it over.
        """
        owns = message.target in self.flows.owned
        if owns or message.target in self.flows.departing:
            return
        # Records of an earlier process of this host may have been lost when this one started.
        lost_for = self.node.now() - self.node.started_at
        empty_batch = HandoverBatch(self.node.id, message.target, 0, [], [], [], True, lost_for)
        await self.control.send(empty_batch, message.sender)

    # Pinned flows

    async def run_announcements(self) -> None:
        """Announce pinned flows to their first candidates' owners; runs until it is cancelled."""
        while True:
            await self.node.clock.sleep(ANNOUNCE_PERIOD_S)
            for owner, flows in self.due_announcements().items():
                await self.control.send_paced(ExceptionNotes(self.node.id, flows), owner)

    def due_announcements(self) -> dict[bytes, list[tuple[bytes, bytes]]]:
        """Return the pinned flows that are due for an announcement, by the id of their receiver.

        Flows that have ended are removed. A flow whose first candidate this host owns is stored in
        this host's own `Flows.pinned_targets` instead.
        """
        now = self.node.now()
        due: dict[bytes, list[tuple[bytes, bytes]]] = {}
        for key, target in list(self.ownership.own_pinned_flows.items()):
            if key not in self.flows.table:
                del self.ownership.own_pinned_flows[key]
                self.announced.pop(key, None)
                continue
            owner = self.first_candidate_owner(key)
            if owner is None:
                continue
            announced_to, announced_at = self.announced.get(key, (b"", 0.0))
            flows = due.setdefault(owner, [])
            is_recent = announced_to == owner and now - announced_at < ANNOUNCE_REPEAT_S
            if is_recent or len(flows) >= PINNED_FLOWS_PER_MESSAGE:
                continue
            self.announced[key] = (owner, now)
            if owner == self.node.id:
                self.flows.pinned_targets.put(key, target, self.node.now())
            else:
                flows.append((key, target))
        return {owner: flows for owner, flows in due.items() if flows}

    def first_candidate_owner(self, key: bytes) -> bytes | None:
        """Return the id of the owner of a flow's first candidate, or None if there is none."""
        found = self.node.snapshot.find_service_and_kind(key)
        if found is None:
            return None
        candidates = found[0].candidates(key)
        return self.node.directory.owner_of(candidates[0].id) if candidates else None

    def handle_pinned_flows(self, message: ExceptionNotes) -> None:
        """Store the announced targets of pinned flows."""
        for key, target in message.flows:
            self.flows.pinned_targets.put(key, target, self.node.now())
