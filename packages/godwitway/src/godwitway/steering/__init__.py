"""Steering by route tokens, for entry hosts on a platform whose packets carry a route token.

Any host can forward any packet of an open flow, because the token identifies the flow's target.

Importing this package must stay fast, because hosts restart with a fifth of a processor core; the
tasks, which need asyncio, are in `godwitway.steering.node`.
"""

from godwitway.steering._announcements import EntryError
from godwitway.steering._core import Formats, SteeringCore
from godwitway.steering._model import (
    FleetConfig,
    FlowPacket,
    RejectedRoute,
    RequestKind,
    Route,
    ServiceConfig,
    Target,
)
from godwitway.steering._quick_start import load_while_serving
from godwitway.steering._settings import (
    SettingsError,
    SteeringSettings,
    check_steering_settings,
    read_steering_settings,
)
from godwitway.steering._steering import PacketIO, Steering

__all__ = [
    "EntryError",
    "FleetConfig",
    "FlowPacket",
    "Formats",
    "PacketIO",
    "RejectedRoute",
    "RequestKind",
    "Route",
    "ServiceConfig",
    "SettingsError",
    "Steering",
    "SteeringCore",
    "SteeringSettings",
    "Target",
    "check_steering_settings",
    "load_while_serving",
    "read_steering_settings",
]
