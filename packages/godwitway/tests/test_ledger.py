"""Slots, connections, queues and shares of one target."""

from builders import build_ledger
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from godwitway.connection import FlowRecord, FlowState, Ledger, Waiting


def kind_of(ledger: Ledger, name: str):
    """Return a kind of a ledger's service."""
    return next(kind for kind in ledger.service.kinds if kind.name == name)


def wait(ledger: Ledger, name: str, number: int, deadline: float = 1000.0):
    """Let a request wait, and return the one that was turned away."""
    record = FlowRecord(None, kind_of(ledger, name), FlowState.WAITING, 0.0)
    return ledger.enqueue(Waiting(b"%d" % number, record, deadline))


def run(ledger: Ledger, waiting: Waiting, start: float, seconds: float) -> None:
    """Let a waiting request hold a slot for a while."""
    ledger.take(waiting.record, start)
    ledger.release(waiting.record, start + seconds)


class TestLedger:
    """Tests of `Ledger`."""

    def test_share_goes_before_urgency(self):
        """A kind below its share is served although more urgent requests wait."""
        ledger = build_ledger(slots=1)
        for number in range(20):
            wait(ledger, "bid", number)
        for number in range(20, 40):
            wait(ledger, "lots", number)
        served = []
        for turn in range(20):
            waiting = ledger.next_waiting(turn * 1.0)
            served.append(waiting.record.kind.name)
            run(ledger, waiting, turn * 1.0, 1.0)
        assert 8 <= served.count("lots") <= 12

    def test_urgency_decides_without_shares(self):
        """Among kinds that have their share the more urgent one goes first."""
        ledger = build_ledger(slots=1)
        kind_of(ledger, "lots").share = 0.0
        wait(ledger, "lots", 1)
        wait(ledger, "bid", 2)
        assert ledger.next_waiting(0.0).record.kind.name == "bid"

    def test_full_queue_turns_the_least_urgent_away(self):
        """A full queue refuses the newest request of the least urgent kind over its share."""
        ledger = build_ledger(slots=1)
        for number in range(ledger.waiting_limit):
            assert wait(ledger, "lots", number) is None
        turned_away = wait(ledger, "bid", 999)
        assert turned_away.record.kind.name == "lots"
        assert turned_away.key == b"%d" % (ledger.waiting_limit - 1)
        assert ledger.waiting == ledger.waiting_limit

    def test_deadlines(self):
        """Requests whose deadline has passed leave the queue, the others stay."""
        ledger = build_ledger()
        wait(ledger, "bid", 1, deadline=1.0)
        wait(ledger, "bid", 2, deadline=3.0)
        assert [waiting.key for waiting in ledger.expired(2.0)] == [b"1"]
        assert ledger.waiting == 1

    def test_cancelling_removes_one(self):
        """A cancelled request leaves its place to the others."""
        ledger = build_ledger()
        wait(ledger, "bid", 1)
        wait(ledger, "bid", 2)
        ledger.remove_waiting(b"1", kind_of(ledger, "bid"))
        assert ledger.next_waiting(0.0).key == b"2"
        assert ledger.next_waiting(0.0) is None

    @seed(10)
    @settings(max_examples=150, deadline=None, database=None)
    @given(st.lists(st.tuples(st.sampled_from(["board", "bid", "lots"]), st.booleans())))
    def test_counts_always_balance(self, steps):
        """Whatever is taken and given back, counts equal what is held and never go below 0."""
        ledger = build_ledger()
        held: list[FlowRecord] = []
        for turn, (name, take) in enumerate(steps):
            if take:
                record = FlowRecord(None, kind_of(ledger, name), FlowState.OPENING, 0.0)
                ledger.take(record, float(turn))
                held.append(record)
            elif held:
                record = held.pop()
                ledger.release(record, float(turn))
                ledger.release(record, float(turn))
            slots = sum(record.kind.holds_slot for record in held)
            assert ledger.busy == slots
            assert ledger.connections == len(held) - slots
