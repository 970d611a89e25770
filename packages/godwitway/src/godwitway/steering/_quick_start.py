"""Handles packets while the larger part of the program is still being imported."""

import importlib
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

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


@contextmanager
def without_ssl() -> Iterator[None]:
    """Make imports of ssl fail for a while, unless it is imported already.

    asyncio tolerates this, and a host makes no TLS connections; the import takes long on a small
    machine. Modules that are imported later, as for the metrics, find ssl again.
    """
    if "ssl" in sys.modules:
        yield
        return
    sys.modules["ssl"] = None
    try:
        yield
    finally:
        del sys.modules["ssl"]


def load_while_serving(handle_packets: Callable[[], None]) -> None:
    """Import the modules of a host's tasks and handle received packets after each import.

    Args:
        handle_packets: Handles the packets that have been received, without waiting for more.
    """
    with without_ssl():
        for name in SLOW_MODULES:
            importlib.import_module(name)
            handle_packets()
