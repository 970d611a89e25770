"""An event loop whose clock jumps to the next timer, for runs that repeat exactly."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

__all__ = ["HostClock", "VirtualLoop", "run_virtual"]

T = TypeVar("T")


class JumpSelector(selectors.SelectSelector):
    """A selector that never waits: it moves the loop's clock instead."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Move the clock by the timeout and report no events."""
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        if timeout > 0:
            self.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self.jump = JumpSelector()
        super().__init__(self.jump)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jump.now


class HostClock:
    """The clock of one host on a virtual loop, which can be stopped."""

    __slots__ = ("loop", "running")

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.running = asyncio.Event()
        self.running.set()

    def now(self) -> float:
        """Return the time in seconds."""
        return self.loop.time()

    async def sleep(self, seconds: float) -> None:
        """Sleep, and then until the host runs."""
        await asyncio.sleep(seconds)
        await self.running.wait()


def run_virtual(job: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a virtual loop and cancel what it left running."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(job)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left))
        loop.run_until_complete(loop.shutdown_asyncgens())
        loop.close()
