"""Serving packets while the larger part of the program is still loading."""

import importlib
from collections.abc import Callable

__all__ = ["load_while_serving"]

# What the tasks need, in an order that leaves no module with more than about 15 ms to load.
SLOW_MODULES = (
    "traceback",
    "logging",
    "concurrent.futures",
    "inspect",
    "subprocess",
    "asyncio",
    "godwitway.steering.node",
)


def load_while_serving(serve: Callable[[], None]) -> None:
    """Load the modules of a host's tasks, and serve what has arrived after each of them.

    Args:
        serve: Takes the packets that have arrived, without waiting for more.
    """
    for name in SLOW_MODULES:
        importlib.import_module(name)
        serve()
