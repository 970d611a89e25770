"""State that lasts as long as a flow: flow records, expiry timers and target usage and health."""

from godwitway.connection._health import TargetHealth
from godwitway.connection._owned import OwnedTarget
from godwitway.connection._recent import RecentFlows
from godwitway.connection._record import FlowRecord, FlowState
from godwitway.connection._usage import TargetUsage, WaitingRequest
from godwitway.connection._wheel import TimerWheel

__all__ = [
    "FlowRecord",
    "FlowState",
    "OwnedTarget",
    "RecentFlows",
    "TargetHealth",
    "TargetUsage",
    "TimerWheel",
    "WaitingRequest",
]
