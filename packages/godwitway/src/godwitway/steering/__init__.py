"""Steering by route tokens: what an entry host does on a platform whose flows carry their route.

Importing this package must stay cheap, because hosts restart with a fifth of a core.
"""

from godwitway.steering._announcements import EntryError
from godwitway.steering._feed import Changes, FleetStore
from godwitway.steering._model import (
    FleetConfig,
    FlowPacket,
    RequestKind,
    Route,
    ServiceTerms,
    Target,
)
from godwitway.steering._node import Platform, SteeringNode
from godwitway.steering._settings import (
    SteeringSettings,
    check_steering_settings,
    read_steering_settings,
)
from godwitway.steering._steering import CallerPort, Steering

__all__ = [
    "CallerPort",
    "Changes",
    "EntryError",
    "FleetConfig",
    "FleetStore",
    "FlowPacket",
    "Platform",
    "RequestKind",
    "Route",
    "ServiceTerms",
    "Steering",
    "SteeringNode",
    "SteeringSettings",
    "Target",
    "check_steering_settings",
    "read_steering_settings",
]
