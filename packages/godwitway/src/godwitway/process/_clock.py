"""The clock of a process, replaceable in tests, and waiting with a timeout on it."""

import asyncio
from typing import Any, Protocol

__all__ = ["Clock", "LoopClock", "wait_for_event", "wait_for_future"]


class Clock(Protocol):
    """Reads monotonic time and sleeps."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""


class LoopClock:
    """The clock of the running event loop; must be created while one runs."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = asyncio.get_running_loop().time

    async def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        await asyncio.sleep(seconds)


async def wait_for_future(clock: Clock, future: "asyncio.Future[Any]", timeout_s: float) -> bool:
    """Wait for a future up to a timeout, and return whether it is done; it is not cancelled."""
    sleeping = asyncio.ensure_future(clock.sleep(timeout_s))
    try:
        await asyncio.wait([future, sleeping], return_when=asyncio.FIRST_COMPLETED)
    finally:
        sleeping.cancel()
    return future.done()


async def wait_for_event(clock: Clock, event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event up to a timeout, and return whether it is set."""
    waiting = asyncio.ensure_future(event.wait())
    try:
        await wait_for_future(clock, waiting, timeout_s)
    finally:
        waiting.cancel()
    return event.is_set()
