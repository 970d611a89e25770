"""A stand-in of the users' platform, written from its protocol.

Store, routers, backend servers and callers run in one process on loopback addresses; the entry
hosts are the real programs.
"""

from godwitway_standins.flows._caller import Caller, Outcome
from godwitway_standins.flows._host_process import HostProcess
from godwitway_standins.flows._judge import Judge
from godwitway_standins.flows._metadata import MetadataServer
from godwitway_standins.flows._router import Router
from godwitway_standins.flows._target import FlowTarget
from godwitway_standins.flows._world import FlowWorld

__all__ = [
    "Caller",
    "FlowTarget",
    "FlowWorld",
    "HostProcess",
    "Judge",
    "MetadataServer",
    "Outcome",
    "Router",
]
