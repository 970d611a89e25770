"""The record of one flow at the owner of its target."""

from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from godwitway.connection._owned import OwnedTarget
    from godwitway.version import Kind

__all__ = ["FlowRecord", "FlowState"]


class FlowState(IntEnum):
    """The states of a flow record."""

    OPENING = 0
    ESTABLISHED = 1
    TENTATIVE = 2
    WAITING = 3
    CLOSING = 4


class FlowRecord:
    """One flow of one target.

    Attributes:
        owned: The target that the flow is on.
        kind: The flow's kind of work.
        state: The flow's state.
        adopted: Whether the flow was taken over without its record.
        is_counted: Whether the flow takes a slot or a connection of its target.
        last_packet_at: When the last packet passed, in seconds of the process's clock.
        started_at: When the flow was admitted, in seconds of the process's clock.
        pending_packet: The packet kept for a waiting or tentative flow.
        skipped_bits: For an adopted flow, the skipped bits of candidates that could not be asked.
    """

    __slots__ = (
        "adopted",
        "is_counted",
        "kind",
        "last_packet_at",
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
        self.adopted = False
        self.is_counted = False
        self.last_packet_at = now
        self.started_at = now
        self.pending_packet: bytes | None = None
        self.skipped_bits = 0
