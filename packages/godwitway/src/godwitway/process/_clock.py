"""The clock of a process: monotonic seconds and sleeping."""

import asyncio
from typing import Any, Protocol

__all__ = ["Clock", "LoopClock", "wait_for_event", "wait_for_future"]


class Clock(Protocol):
    """Tells the time and sleeps."""

    def now(self) -> float:
        """Return monotonic seconds."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time in seconds."""


class LoopClock:
    """The clock of the running event loop."""

    __slots__ = ("now",)

    def __init__(self) -> None:
        self.now = asyncio.get_running_loop().time

    async def sleep(self, seconds: float) -> None:
        """Sleep for a time in seconds."""
        await asyncio.sleep(seconds)


async def wait_for_future(clock: Clock, future: "asyncio.Future[Any]", seconds: float) -> bool:
    """Wait for a future no longer than a time, and return whether it is done."""
    sleeping = asyncio.ensure_future(clock.sleep(seconds))
    try:
        await asyncio.wait([future, sleeping], return_when=asyncio.FIRST_COMPLETED)
    finally:
        sleeping.cancel()
    return future.done()


async def wait_for_event(clock: Clock, event: asyncio.Event, seconds: float) -> bool:
    """Wait for an event no longer than a time, and return whether it is set."""
    waiting = asyncio.ensure_future(event.wait())
    try:
        await wait_for_future(clock, waiting, seconds)
    finally:
        waiting.cancel()
    return event.is_set()
