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
        counted: Whether the flow takes a slot or a connection of its target.
        last_seen: When the last packet passed, in seconds of the process's clock.
        started: When the flow was admitted, in seconds of the process's clock.
        packet: The packet kept for a waiting or tentative flow.
        unasked: For an adopted flow, the skipped bits of candidates that could not be asked.
    """

    __slots__ = (
        "adopted",
        "counted",
        "kind",
        "last_seen",
        "owned",
        "packet",
        "started",
        "state",
        "unasked",
    )

    def __init__(self, owned: "OwnedTarget", kind: "Kind", state: FlowState, now: float) -> None:
        self.owned = owned
        self.kind = kind
        self.state = state
        self.adopted = False
        self.counted = False
        self.last_seen = now
        self.started = now
        self.packet: bytes | None = None
        self.unasked = 0
