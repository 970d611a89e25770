"""Tests of hosts whose store was restored from a copy, with the real programs."""

import asyncio

from world_play import events_of, play, wait_until

CHANGE_BOUND_S = 3.0


async def change_config(world, times: int = 1) -> None:
    """Change the configuration, and wait until all hosts have the last change in force."""
    for _ in range(times):
        world.configure()
    await wait_for_version(world)


async def wait_for_version(world) -> None:
    """Wait until all hosts have the newest configuration in force, at most the stated bound."""

    def are_current() -> bool:
        newest = [events_of(host, "config_in_force")[-1]["version"] for host in world.hosts]
        return newest == [world.version] * len(world.hosts)

    assert await wait_until(are_current, CHANGE_BOUND_S)


class TestConfiguration:
    """Changes of the configuration before and after the restore."""

    def test_a_change_with_a_revision_that_is_given_out_again_takes_effect(self, tmp_path):
        """The hosts have had other changes with the revisions of the new ones."""

        async def scenario(world):
            await asyncio.sleep(2.0)
            copy = world.store.copy()
            await change_config(world, times=3)
            world.store.restore(copy)
            await asyncio.sleep(2.0)
            await change_config(world)

        play(tmp_path, 80, scenario)
