"""What lives as long as a flow: its record, the ledger of its target and its timers."""

from godwitway.connection._health import TargetHealth
from godwitway.connection._ledger import Ledger, Waiting
from godwitway.connection._owned import OwnedTarget
from godwitway.connection._recent import RecentFlows
from godwitway.connection._record import FlowRecord, FlowState
from godwitway.connection._wheel import ExpiryWheel

__all__ = [
    "ExpiryWheel",
    "FlowRecord",
    "FlowState",
    "Ledger",
    "OwnedTarget",
    "RecentFlows",
    "TargetHealth",
    "Waiting",
]
