"""A randomized fault soak of the real entry programs against the platform's stand-in."""

from godwitway_standins.soak._command import Soak
from godwitway_standins.soak._plan import KINDS, Fault, make_plan
from godwitway_standins.soak._report import SoakReport
from godwitway_standins.soak._run import run_soak

__all__ = ["KINDS", "Fault", "Soak", "SoakReport", "make_plan", "run_soak"]
