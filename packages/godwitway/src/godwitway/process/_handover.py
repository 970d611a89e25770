"""Handing flow records to a target's new owner, paced and acknowledged."""

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
KEY_BYTES = 13
ACK_TIMEOUT_S = 1.0
POLL_S = 0.1
QUERY_PERIOD_S = 2.0
QUERY_LIMIT_S = 30.0
EXCEPTIONS_PER_MESSAGE = 40
EXCEPTION_PERIOD_S = 0.5
EXCEPTION_REPEAT_S = 10.0


class Handover:
    """Moves flow records between owners.

    Attributes:
        node: The host.
        flows: The flows of this host.
        ownership: The owned targets of this host.
        control: Sends control messages within the budget.
        tasks: The running handover of each departing target.
    """

    __slots__ = ("acks", "announced", "control", "flows", "node", "ownership", "tasks")

    def __init__(self, node: Node, flows: Flows, ownership: Ownership, control: Control) -> None:
        self.node = node
        self.flows = flows
        self.ownership = ownership
        self.control = control
        self.tasks: dict[bytes, asyncio.Task[None]] = {}
        self.acks: dict[tuple[bytes, int], asyncio.Event] = {}
        self.announced: dict[bytes, tuple[bytes, float]] = {}

    async def run(self) -> None:
        """Start a handover for each departing target, for ever."""
        while True:
            for target in list(self.flows.departing):
                if target not in self.tasks:
                    task = asyncio.ensure_future(self.hand_over(target))
                    self.tasks[target] = task
            for target, task in list(self.tasks.items()):
                if task.done():
                    del self.tasks[target]
                    task.result()
            await self.node.clock.sleep(POLL_S)

    async def hand_over(self, target: bytes) -> None:
        """Hand over the records of one target, to one owner after another if need be."""
        owned = self.flows.departing[target]
        while self.flows.departing.get(target) is owned:
            receiver = self.node.directory.owner_of(target)
            if receiver is None or receiver == self.node.id or receiver not in self.node.members:
                await self.node.clock.sleep(POLL_S)
                continue
            if await self.send_all(target, owned, receiver):
                self.finish(target, owned, receiver)

    def finish(self, target: bytes, owned: OwnedTarget, receiver: bytes) -> None:
        """Forget a target whose records have all been acknowledged."""
        if self.flows.departing.get(target) is owned:
            del self.flows.departing[target]
        self.node.metrics.count("handovers_done")
        self.node.journal.event("handed_over", target=target.hex(), to=receiver.hex())

    async def send_all(self, target: bytes, owned: OwnedTarget, receiver: bytes) -> bool:
        """Send all records and notes of a target and return whether the receiver has them."""
        number = 0
        refused, passed_on = self.refused_keys(owned), self.passed_on_keys(target)
        while True:
            keys = self.keys_of(owned)
            longest = max(1, len(keys), len(refused), len(passed_on))
            for start in range(0, longest, FLOWS_PER_BATCH):
                part = slice(start, start + FLOWS_PER_BATCH)
                records = self.still_there(keys[part], owned)
                number += 1
                message = self.batch(target, owned, number, records)
                message.refused, message.passed_on = refused[part], passed_on[part]
                message.last = start + FLOWS_PER_BATCH >= longest
                if not await self.send_batch(message, receiver):
                    return False
                self.forget_sent(records, message)
            refused, passed_on = [], []
            if not self.keys_of(owned):
                return True

    def keys_of(self, owned: OwnedTarget) -> list[bytes]:
        """Return the keys of a target's records, those that hold a slot first."""
        records = [(key, rec) for key, rec in self.flows.table.items() if rec.owned is owned]
        records.sort(key=lambda item: not item[1].kind.holds_slot)
        return [key for key, _ in records]

    def still_there(self, keys: list[bytes], owned: OwnedTarget) -> list[tuple[bytes, FlowRecord]]:
        """Return the records that are still the target's."""
        records = [(key, self.flows.table.get(key)) for key in keys]
        return [(key, rec) for key, rec in records if rec is not None and rec.owned is owned]

    def batch(
        self,
        target: bytes,
        owned: OwnedTarget,
        number: int,
        records: list[tuple[bytes, FlowRecord]],
    ) -> HandoverBatch:
        """Build a batch of records."""
        now = self.node.now()
        flows = [
            MovedFlow(
                key, record.kind.name, int(record.state), max(0, int(now - record.last_packet_at))
            )
            for key, record in records
        ]
        lost_for = now - owned.owned_since if owned.records_may_be_lost else None
        return HandoverBatch(self.node.id, target, number, flows, [], [], False, lost_for)

    def refused_keys(self, owned: OwnedTarget) -> list[bytes]:
        """Return the refused at-most-once flows that have a target among their candidates."""
        service, target = owned.usage.service, owned.usage.target
        recent = {**self.flows.refused.previous, **self.flows.refused.current}
        return [key for key in recent if target in service.candidates(key)]

    def passed_on_keys(self, target: bytes) -> list[bytes]:
        """Return the at-most-once flows that a target's owner passed to another candidate."""
        recent = {**self.flows.passed_on.previous, **self.flows.passed_on.current}
        keys = [note[:KEY_BYTES] for note in recent if note[KEY_BYTES:] == target]
        found = [(key, self.node.snapshot.find_kind(key)) for key in keys]
        return [key for key, known in found if known is not None and known[1].is_at_most_once]

    async def send_batch(self, message: HandoverBatch, receiver: bytes) -> bool:
        """Send a batch until it is acknowledged, while the receiver owns the target."""
        acknowledged = asyncio.Event()
        self.acks[message.target, message.number] = acknowledged
        try:
            while self.still_receiver(message.target, receiver):
                await self.control.send_paced(message, receiver)
                if await wait_for_event(self.node.clock, acknowledged, ACK_TIMEOUT_S):
                    return True
                self.node.metrics.count("handover_batches_repeated")
        finally:
            self.acks.pop((message.target, message.number), None)
        return False

    def still_receiver(self, target: bytes, receiver: bytes) -> bool:
        """Whether a host is still the one that gets a target's records."""
        return (
            self.node.directory.owner_of(target) == receiver
            and self.node.is_reachable(receiver)
            and target in self.flows.departing
        )

    def forget_sent(self, records: list[tuple[bytes, FlowRecord]], message: HandoverBatch) -> None:
        """Remove acknowledged records, but send again what has changed meanwhile."""
        for (key, record), sent in zip(records, message.flows, strict=True):
            if self.flows.table.get(key) is record and int(record.state) == sent.state:
                del self.flows.table[key]

    # Receiving

    async def handle_batch(self, message: HandoverBatch) -> None:
        """Take over a batch of records and acknowledge it."""
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
        # An owner that did not wait for the sender has whole records of its own.
        if message.last and owned.previous_owner == message.sender:
            owned.previous_owner = None
            if message.lost_for is not None:
                # What was lost last decides how long a repeated packet may turn up.
                lost_since = now - message.lost_for
                owned.owned_since = (
                    max(owned.owned_since, lost_since) if owned.records_may_be_lost else lost_since
                )
                owned.records_may_be_lost = True
            self.flows.start_waiting_requests(owned)
        ack = HandoverAck(self.node.id, message.target, message.number)
        await self.control.send(ack, message.sender)

    def handle_ack(self, message: HandoverAck) -> None:
        """Note an acknowledgement."""
        event = self.acks.get((message.target, message.number))
        if event is not None:
            event.set()

    async def run_queries(self) -> None:
        """Ask earlier owners that send nothing whether they still have records."""
        while True:
            await self.node.clock.sleep(QUERY_PERIOD_S)
            now = self.node.now()
            for target, owned in list(self.flows.owned.items()):
                if owned.previous_owner is None:
                    continue
                if now - owned.owned_since > QUERY_LIMIT_S:
                    owned.previous_owner = None
                    owned.records_may_be_lost = True
                    owned.owned_since = now
                    continue
                await self.control.send(HandoverQuery(self.node.id, target), owned.previous_owner)

    async def handle_query(self, message: HandoverQuery) -> None:
        """Tell a new owner that there is nothing to hand over."""
        owns = message.target in self.flows.owned
        if owns or message.target in self.flows.departing:
            return
        # A host that has not run for long cannot know of records lost before it started.
        lost_for = self.node.now() - self.node.started_at
        nothing = HandoverBatch(self.node.id, message.target, 0, [], [], [], True, lost_for)
        await self.control.send(nothing, message.sender)

    # Exceptions

    async def run_announcements(self) -> None:
        """Tell first candidates' owners about flows on other targets, for ever."""
        while True:
            await self.node.clock.sleep(EXCEPTION_PERIOD_S)
            for owner, flows in self.due_exceptions().items():
                await self.control.send_paced(ExceptionNotes(self.node.id, flows), owner)

    def due_exceptions(self) -> dict[bytes, list[tuple[bytes, bytes]]]:
        """Return the exceptions to be told now, by the owner to be told."""
        now = self.node.now()
        due: dict[bytes, list[tuple[bytes, bytes]]] = {}
        for key, target in list(self.ownership.pinned_flows.items()):
            if key not in self.flows.table:
                del self.ownership.pinned_flows[key]
                self.announced.pop(key, None)
                continue
            owner = self.first_owner(key)
            if owner is None:
                continue
            told, at = self.announced.get(key, (b"", 0.0))
            flows = due.setdefault(owner, [])
            fresh = told == owner and now - at < EXCEPTION_REPEAT_S
            if fresh or len(flows) >= EXCEPTIONS_PER_MESSAGE:
                continue
            self.announced[key] = (owner, now)
            if owner == self.node.id:
                self.flows.pinned_targets.put(key, target, self.node.now())
            else:
                flows.append((key, target))
        return {owner: flows for owner, flows in due.items() if flows}

    def first_owner(self, key: bytes) -> bytes | None:
        """Return the owner of a flow's first candidate."""
        found = self.node.snapshot.find_kind(key)
        if found is None:
            return None
        candidates = found[0].candidates(key)
        return self.node.directory.owner_of(candidates[0].id) if candidates else None

    def handle_pinned_flows(self, message: ExceptionNotes) -> None:
        """Remember the targets of flows that are on none of their candidates."""
        for key, target in message.flows:
            self.flows.pinned_targets.put(key, target, self.node.now())
