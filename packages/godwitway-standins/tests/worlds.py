"""Builders of small worlds on virtual time for tests."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from godwitway_standins._deployments import DEPLOYMENTS
from godwitway_standins._links import LinkTerms
from godwitway_standins._virtual import run_virtual
from godwitway_standins._world import GodwitwayEntry, World

T = TypeVar("T")

SETTLED_S = 12.0


def in_world(
    job: Callable[[World], Awaitable[T]],
    seed: int = 1,
    deployment: str = "kingston",
    terms: LinkTerms | None = None,
    settled: bool = True,
) -> T:
    """Run a job in a started deployment on virtual time."""

    async def run() -> T:
        world = World(DEPLOYMENTS[deployment], seed, terms or LinkTerms())
        world.start()
        if settled:
            await world.clock.sleep(SETTLED_S)
        try:
            return await job(world)
        finally:
            world.close()

    return run_virtual(run())


def hosts(world: World) -> list[GodwitwayEntry]:
    """Return the entry hosts of a world."""
    return [entry for entry in world.entries.values() if isinstance(entry, GodwitwayEntry)]


def revisions(world: World) -> set[int]:
    """Return the configuration revisions that are in force."""
    return {entry.host.node.snapshot.revision for entry in hosts(world)}


def events(world: World, name: str) -> list[dict[str, Any]]:
    """Return the journal lines of an event."""
    return [line for line in world.log if line["event"] == name]


def counted(world: World, name: str) -> int:
    """Return the sum of a counter over all hosts and labels."""
    return sum(
        value
        for metrics in world.metrics
        for (counter, _), value in metrics.counters.items()
        if counter == name
    )
