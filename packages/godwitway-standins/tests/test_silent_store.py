"""Tests of how soon all hosts act on a change while the store leaves some without a response.

The bound is the platform's: a target that drains gets no new flow, and a configuration is in force,
3 s after the store has acknowledged it.
"""

import asyncio

import pytest
from store_fleet import StoreFleet, build_config_value

from godwitway_standins._virtual import run_virtual

CHANGE_BOUND_S = 3.0
WAIT_S = 12.0
LARGE = "".join(f"{number * 7919 % 100_003:x}" for number in range(2_000))


def longest_delay(monkeypatch, hosts: int, zones: str, silent: int, pause_s: float, **change):
    """Return the longest delay of a change that follows the silence of the store at once.

    Args:
        monkeypatch: The fixture.
        hosts: The number of hosts.
        zones: One letter for each zone.
        silent: How many hosts get no response: those that watch, then others.
        pause_s: The time between an earlier change and the silence, which determines how far the
            watches have come.
        **change: Further arguments of `build_config_value`.
    """

    async def scenario() -> float:
        fleet = StoreFleet(monkeypatch, hosts, zones, seed=round(pause_s * 100))
        await fleet.start_all()
        fleet.server.put("op/config", build_config_value(2))
        await asyncio.sleep(pause_s)
        watching = fleet.watching_hosts()
        others = sorted(
            fleet.nodes.keys() - set(watching), key=lambda ip: fleet.nodes[ip].core.peers.rank
        )
        fleet.refused.update((watching + others)[:silent])
        return await fleet.delay_of_change(build_config_value(3, **change), WAIT_S)

    return run_virtual(scenario())


class TestSilentWatchers:
    """The hosts that watch for all get no response, and others have to take over in time.

    All hosts learned of changes up to 4 s late, and sent new flows to draining targets.
    """

    @pytest.mark.parametrize("pause_s", [number * 0.1 for number in range(13)])
    @pytest.mark.parametrize(("hosts", "zones"), [(6, "abcd"), (7, "abc"), (48, "abc")])
    def test_a_change_is_known_in_time(self, monkeypatch, hosts, zones, pause_s):
        """Wherever in their watches the hosts are when the store falls silent."""
        assert longest_delay(monkeypatch, hosts, zones, 2, pause_s) < CHANGE_BOUND_S

    @pytest.mark.parametrize("pause_s", [number * 0.1 for number in range(13)])
    def test_a_change_that_fits_into_no_datagram_is_known_in_time(self, monkeypatch, pause_s):
        """The other hosts have to fetch it."""
        delay = longest_delay(monkeypatch, 7, "abc", 2, pause_s, padding=LARGE)
        assert delay < CHANGE_BOUND_S

    @pytest.mark.parametrize("pause_s", [number * 0.1 for number in range(13)])
    @pytest.mark.parametrize("silent", [3, 4, 5])
    def test_a_change_is_known_in_time_when_those_that_take_over_get_no_response_either(
        self, monkeypatch, silent, pause_s
    ):
        """The store may leave most hosts without a response."""
        assert longest_delay(monkeypatch, 6, "abcd", silent, pause_s) < CHANGE_BOUND_S

    @pytest.mark.parametrize("pause_s", [number * 0.1 for number in range(13)])
    def test_a_change_is_known_in_time_when_the_store_is_slow_besides(self, monkeypatch, pause_s):
        """Its responses to the other hosts take sixty times as long as usual."""
        monkeypatch.setattr("store_fleet.STORE_DELAY_S", 0.24)
        assert longest_delay(monkeypatch, 6, "abcd", 2, pause_s) < CHANGE_BOUND_S


class TestRestartedHosts:
    """Hosts that start while the store gives them no response."""

    @pytest.mark.parametrize("gap_s", [0.0, 0.4, 1.2, 2.0])
    def test_they_do_not_take_over_the_watch(self, monkeypatch, gap_s):
        """They claimed to reach the store, and the hosts that watched gave it up to them."""

        async def scenario() -> float:
            fleet = StoreFleet(monkeypatch, 6, "abcd", seed=1)
            await fleet.start_all()
            first = fleet.watching_hosts()
            fleet.refused.update(first)
            await asyncio.sleep(6.0)
            for ip in first:
                fleet.stop(ip)
                await fleet.start(ip)
                await asyncio.sleep(gap_s)
            await asyncio.sleep(0.5)
            assert not set(first) & set(fleet.watching_hosts())
            return await fleet.delay_of_change(build_config_value(2), WAIT_S)

        assert run_virtual(scenario()) < CHANGE_BOUND_S

    @pytest.mark.parametrize("pause_s", [number * 0.1 for number in range(16)])
    def test_a_change_is_known_in_time_if_they_lose_the_store_after_their_start(
        self, monkeypatch, pause_s
    ):
        """They have listed it, are elected, and have not begun to watch."""

        async def scenario() -> float:
            fleet = StoreFleet(monkeypatch, 6, "abcd", seed=round(pause_s * 100))
            await fleet.start_all()
            first = fleet.watching_hosts()
            for ip in first:
                fleet.stop(ip)
            await asyncio.sleep(2.0)
            for ip in first:
                await fleet.start(ip)
            await asyncio.sleep(pause_s)
            fleet.refused.update(first)
            return await fleet.delay_of_change(build_config_value(2), WAIT_S)

        assert run_virtual(scenario()) < CHANGE_BOUND_S
