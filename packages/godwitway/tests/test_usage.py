"""Slots, connections, queues and shares of one target."""

from builders import build_usage
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from godwitway.connection import FlowRecord, FlowState, TargetUsage, WaitingRequest


def kind_of(usage: TargetUsage, name: str):
    """Return the kind of a target's service by name."""
    return next(kind for kind in usage.service.kinds if kind.name == name)


def wait(usage: TargetUsage, name: str, number: int, deadline: float = 1000.0):
    """Add a request to the queue, and return the evicted one or None."""
    record = FlowRecord(None, kind_of(usage, name), FlowState.WAITING, 0.0)
    return usage.enqueue(WaitingRequest(b"%d" % number, record, deadline))


def occupy_slot(usage: TargetUsage, waiting: WaitingRequest, start: float, seconds: float) -> None:
    """Let a waiting request hold a slot for a while."""
    usage.add_flow(waiting.record, start)
    usage.remove_flow(waiting.record, start + seconds)


class TestTargetUsage:
    """Tests of `TargetUsage`."""

    def test_share_goes_before_urgency(self):
        """A kind below its share is served although more urgent requests wait."""
        usage = build_usage(slots=1)
        for number in range(20):
            wait(usage, "bid", number)
        for number in range(20, 40):
            wait(usage, "lots", number)
        served = []
        for turn in range(20):
            waiting = usage.dequeue(turn * 1.0)
            served.append(waiting.record.kind.name)
            occupy_slot(usage, waiting, turn * 1.0, 1.0)
        assert 8 <= served.count("lots") <= 12

    def test_urgency_decides_without_shares(self):
        """Without guaranteed shares, the more urgent kind goes first."""
        usage = build_usage(slots=1)
        kind_of(usage, "lots").share = 0.0
        wait(usage, "lots", 1)
        wait(usage, "bid", 2)
        assert usage.dequeue(0.0).record.kind.name == "bid"

    def test_full_queue_evicts_least_urgent(self):
        """A full queue refuses the newest request of the least urgent kind over its share."""
        usage = build_usage(slots=1)
        for number in range(usage.queue_limit):
            assert wait(usage, "lots", number) is None
        evicted = wait(usage, "bid", 999)
        assert evicted.record.kind.name == "lots"
        assert evicted.key == b"%d" % (usage.queue_limit - 1)
        assert usage.waiting_count == usage.queue_limit

    def test_expired_requests_leave_queue(self):
        """Requests whose deadline has passed leave the queue, the others stay."""
        usage = build_usage()
        wait(usage, "bid", 1, deadline=1.0)
        wait(usage, "bid", 2, deadline=3.0)
        assert [waiting.key for waiting in usage.pop_expired(2.0)] == [b"1"]
        assert usage.waiting_count == 1

    def test_cancelled_request_leaves_queue(self):
        """A cancelled request is removed, and the others keep their order."""
        usage = build_usage()
        wait(usage, "bid", 1)
        wait(usage, "bid", 2)
        usage.remove_waiting(b"1", kind_of(usage, "bid"))
        assert usage.dequeue(0.0).key == b"2"
        assert usage.dequeue(0.0) is None

    @seed(10)
    @settings(max_examples=150, deadline=None, database=None)
    @given(st.lists(st.tuples(st.sampled_from(["board", "bid", "lots"]), st.booleans())))
    def test_counts_always_balance(self, steps):
        """Counts equal the flows held after any additions and repeated removals; never below 0."""
        usage = build_usage()
        held: list[FlowRecord] = []
        for turn, (name, take) in enumerate(steps):
            if take:
                record = FlowRecord(None, kind_of(usage, name), FlowState.OPENING, 0.0)
                usage.add_flow(record, float(turn))
                held.append(record)
            elif held:
                record = held.pop()
                usage.remove_flow(record, float(turn))
                usage.remove_flow(record, float(turn))
            slots = sum(record.kind.holds_slot for record in held)
            assert usage.busy_slots == slots
            assert usage.connections == len(held) - slots
