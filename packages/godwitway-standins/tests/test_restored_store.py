"""Tests of hosts whose store was restored from a copy, with the real programs."""

import asyncio

from world_play import READY_S, events_of, play, state_of, wait_until

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

    def test_a_host_that_starts_before_the_operator_repeats_a_change_gets_it_from_others(
        self, tmp_path
    ):
        """The restored store has an older version than the one that was acknowledged."""

        async def scenario(world):
            await asyncio.sleep(2.0)
            copy = world.store.copy()
            await change_config(world, times=2)
            world.store.restore(copy)
            host = world.hosts[0]
            host.kill()
            host.start()
            assert await wait_until(lambda: len(events_of(host, "ready")) == 2, READY_S)
            await wait_for_version(world)

        play(tmp_path, 81, scenario)

    def test_hosts_that_reach_no_store_learn_of_the_restore_from_another(self, tmp_path):
        """They would otherwise ignore the changes that it sends."""

        async def scenario(world):
            await asyncio.sleep(2.0)
            copy = world.store.copy()
            await change_config(world, times=3)
            for host in world.hosts[1:]:
                host.proxy.set_mode("silent")
            world.store.restore(copy)
            await asyncio.sleep(4.0)
            await change_config(world)
            assert all(events_of(host, "store_restored") for host in world.hosts)

        play(tmp_path, 82, scenario)

    def test_a_second_restore_is_noticed_too(self, tmp_path):
        """Its copy may be older than that of the first one."""

        async def scenario(world):
            await asyncio.sleep(2.0)
            copy = world.store.copy()
            for _ in range(2):
                await change_config(world, times=3)
                world.store.restore(copy)
            await asyncio.sleep(2.0)
            await change_config(world)

        play(tmp_path, 83, scenario)


class TestTargets:
    """Targets whose last updates the store has lost."""

    def test_a_target_that_drains_gets_no_new_flows(self, tmp_path):
        """The copy has its entry from before, and it does not repeat its report."""

        async def scenario(world):
            copy = world.store.copy()
            target = world.serving("desk")[0]
            target.draining = True
            world.announce(target)
            await asyncio.sleep(2.0)
            world.store.restore(copy)
            await asyncio.sleep(2.0)
            for host in world.hosts:
                (entry,) = [e for e in (await state_of(host))["targets"] if e["id"] == target.name]
                assert entry["draining"]

        play(tmp_path, 84, scenario)


class TestOwnKeys:
    """The keys under which hosts are registered."""

    def test_a_key_that_the_store_lost_is_written_again(self, tmp_path):
        """Hosts that start later find the others by these keys."""

        async def scenario(world):
            await asyncio.sleep(2.0)
            for host in world.hosts:
                world.store.delete(f"hosts/{host.zone}/{host.name}")
            copy = world.store.copy()
            await asyncio.sleep(4.0)
            assert len([key for key in world.store.items if key.startswith("hosts/")]) == 4
            world.store.restore(copy)
            await asyncio.sleep(5.0)
            assert len([key for key in world.store.items if key.startswith("hosts/")]) == 4

        play(tmp_path, 85, scenario)
