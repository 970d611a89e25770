"""Handles packets while the larger part of the program is still being imported."""

import importlib
from collections.abc import Callable

__all__ = ["load_while_serving"]

# The modules that the asyncio tasks need, in an order in which none takes longer than about 15 ms
# to import.
SLOW_MODULES = (
    "traceback",
    "logging",
    "concurrent.futures",
    "inspect",
    "subprocess",
    "asyncio",
    "godwitway.steering.node",
)


def load_while_serving(handle_packets: Callable[[], None]) -> None:
    """Import the modules of a host's tasks and handle received packets after each import.

    Args:
        handle_packets: Handles the packets that have been received, without waiting for more.
    """
    for name in SLOW_MODULES:
        importlib.import_module(name)
        handle_packets()
