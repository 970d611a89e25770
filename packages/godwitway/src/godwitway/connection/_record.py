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
    REFUSED = 5


class FlowRecord:
    """One flow of one target.

    Attributes:
        owned: The target that the flow is on.
        kind: The flow's kind of work.
        state: The flow's state.
        counted: Whether the flow takes a slot or a connection of its target.
        last_seen: When the last packet passed, in seconds of the process's clock.
        started: When the flow was admitted, in seconds of the process's clock.
        packet: The packet kept for a waiting or tentative flow.
    """

    __slots__ = ("counted", "kind", "last_seen", "owned", "packet", "started", "state")

    def __init__(self, owned: "OwnedTarget", kind: "Kind", state: FlowState, now: float) -> None:
        self.owned = owned
        self.kind = kind
        self.state = state
        self.counted = False
        self.last_seen = now
        self.started = now
        self.packet: bytes | None = None
