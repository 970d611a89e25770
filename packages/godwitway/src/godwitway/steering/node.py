"""The asyncio tasks of a steering host; importing this module takes most of a host's start."""

from godwitway.steering._node import PlatformConnections, SteeringNode

__all__ = ["PlatformConnections", "SteeringNode"]
