"""Record of one flow, kept by the owner of the flow's target."""

from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwitway.connection._owned import OwnedTarget
    from godwitway.version import Kind

__all__ = ["FlowRecord", "FlowState"]


class FlowState(IntEnum):
    """State of a flow record; the values are sent in handover batches.

    Attributes:
        OPENING: The first packet was forwarded; the handshake or the answer is pending.
        ESTABLISHED: The handshake is complete; a UDP flow that holds a connection needs none.
        TENTATIVE: The flow was adopted without its record, and its target has not confirmed it.
        WAITING: The request waits for a free slot; this owner has forwarded nothing yet.
        CLOSING: The flow has ended; the record is kept for late packets.
    """

    OPENING = 0
    ESTABLISHED = 1
    TENTATIVE = 2
    WAITING = 3
    CLOSING = 4


class FlowRecord:
    """One flow of one target. Times are seconds of the process's clock.

    Attributes:
        owned: The owned target that serves the flow.
        kind: The flow's kind of work.
        state: The flow's state.
        may_have_been_forwarded: Whether an earlier owner, whose record of the flow is lost, may
            have forwarded packets of it. Such a flow is adopted or, if it is a request without a
            free slot, waits without being refused.
        is_counted: Whether the flow currently counts as a slot or a connection of its target.
        last_packet_at: Time of the last packet.
        started_at: Time at which the flow was queued, admitted or adopted; for a record that was
            handed over, the time of its last packet.
        pending_packet: The packet that can still be sent to another target: that of a waiting
            or tentative flow, or an unanswered SYN. None otherwise.
        skipped_bits: For an adopted flow, the `Flag.SKIPPED_*` bits of the candidates whose
            owner could not be asked, or whose target could not be reached.
    """

    __slots__ = (
        "is_counted",
        "kind",
        "last_packet_at",
        "may_have_been_forwarded",
        "owned",
        "pending_packet",
        "skipped_bits",
        "started_at",
        "state",
    )

    def __init__(self, owned: "OwnedTarget", kind: "Kind", state: FlowState, now: float) -> None:
        self.owned = owned
        self.kind = kind
        self.state = state
        self.may_have_been_forwarded = False
        self.is_counted = False
        self.last_packet_at = now
        self.started_at = now
        self.pending_packet: bytes | None = None
        self.skipped_bits = 0
