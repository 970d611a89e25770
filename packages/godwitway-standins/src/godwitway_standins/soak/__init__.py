"""Soak test: runs real entry host processes on the platform stand-in under random faults."""

from godwitway_standins.soak._command import Soak
from godwitway_standins.soak._plan import FAULT_KINDS, Fault, make_plan
from godwitway_standins.soak._report import SoakReport
from godwitway_standins.soak._run import run_soak

__all__ = ["FAULT_KINDS", "Fault", "Soak", "SoakReport", "make_plan", "run_soak"]
