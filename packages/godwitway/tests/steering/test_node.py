"""Tests of what a host fetches from other hosts and serves to them, without sockets."""

import asyncio
import json
from typing import Any

from steering_builders import at, build_config, build_core, build_report

from godwitway.http import HttpRequest, HttpResponse
from godwitway.steering import EntryError, _node
from godwitway.steering._changes import decode_difference
from godwitway.steering._loads import encode_report, hash_zone
from godwitway.steering._node import MAX_CACHED_DIFFERENCES, MAX_FETCHES, SteeringNode
from godwitway.store import KeyValue

HOST_VALUE = b'{"address": "10.1.0.9:7720"}'


class NoConnections:
    """Platform connections of a host that makes none in these tests."""

    probe_health = probe_connect = None

    def create_store(self, settings, metrics):
        """Return no client."""


def build_node() -> SteeringNode:
    """Return a host with a configuration and a replica at revision 9."""
    core, _ = build_core()
    core.settings.control = ("10.1.0.1", 8)
    core.catalog.apply_config(build_config())
    core.replica.apply_listing([KeyValue("hosts/a/x", HOST_VALUE, 4)], at(9))
    return SteeringNode(core, NoConnections())


def receive_reports(
    node: SteeringNode, zone: str, hosts: range, revision: int = 40, **fields: Any
) -> None:
    """Deliver a report of each numbered host of a zone, which advertises a revision.

    `fields` replace further fields of the reports.
    """
    for number in hosts:
        (datagram,) = encode_report(
            build_report(
                boot_id=100 + number,
                zone_hash=hash_zone(zone),
                advertised_position=at(revision),
                **fields,
            )
        )
        node.core.peers.handle_datagram(datagram, (f"10.{ord(zone)}.0.{number}", 7))


def record_fetches(node: SteeringNode, answer: bool) -> list:
    """Replace fetches by a fixed answer; returns the list of the addresses that are asked."""
    asked = []

    async def fetch_changes(address):
        asked.append(address)
        return answer

    node.fetch_changes = fetch_changes
    return asked


class TestStart:
    """From which hosts a starting host fetches while the store is slow or unavailable."""

    def test_a_few_hosts_of_its_zone_and_a_few_seeds_are_asked(self):
        """A whole zone that starts at once must not overload the other hosts."""
        node = build_node()
        receive_reports(node, "a", range(1, 40))
        receive_reports(node, "b", range(1, 40))
        node.core.settings.seeds = [(f"10.9.0.{number}", 8) for number in range(1, 20)]
        asked = record_fetches(node, answer=False)
        asyncio.run(node.fetch_from_hosts())
        by_network = [address[0].split(".")[1] for address in asked]
        assert sorted(by_network) == ["9"] * MAX_FETCHES + [str(ord("a"))] * MAX_FETCHES

    def test_hosts_of_another_zone_are_asked_if_none_of_its_own_reports(self):
        """All other hosts of its zone may have lost power."""
        node = build_node()
        receive_reports(node, "b", range(1, 3))
        asked = record_fetches(node, answer=False)
        asyncio.run(node.fetch_from_hosts())
        assert len(asked) == 2


class TestCatchUp:
    """What a host does after a report advertises a newer revision."""

    def test_it_asks_a_host_that_has_the_changes(self):
        """The store is not called."""
        node = build_node()
        receive_reports(node, "a", range(1, 3), revision=8)
        receive_reports(node, "a", range(3, 5), revision=10)
        asked = record_fetches(node, answer=True)
        asyncio.run(node.catch_up())
        assert asked[0][0] in ("10.97.0.3", "10.97.0.4")
        assert not node.feed.poll_requested

    def test_it_asks_the_store_after_a_host_that_did_not_answer(self):
        """The other host's link may be full."""
        node = build_node()
        receive_reports(node, "a", range(1, 3), revision=10)
        record_fetches(node, answer=False)
        asyncio.run(node.catch_up())
        assert node.feed.poll_requested


class TestCurrentView:
    """When a host that has started takes its configuration for up to date."""

    def test_a_report_of_a_host_that_has_nothing_newer_confirms_it(self):
        """The store is not called for this."""
        node = build_node()
        node.core.peers.on_report = node.compare_revisions
        node.core.catalog.config.version = 3  # As in the reports.
        receive_reports(node, "a", range(1, 2), revision=9)
        assert node.core.steering.is_current

    def test_a_report_that_advertises_a_later_change_does_not(self):
        """The change may be the route of a flow that is already open."""
        node = build_node()
        node.core.peers.on_report = node.compare_revisions
        node.core.catalog.config.version = 3  # As in the reports.
        node.spawn = lambda job: job.close()
        receive_reports(node, "a", range(1, 2), revision=10)
        assert not node.core.steering.is_current

    def test_a_report_of_a_host_that_does_not_reach_the_store_does_not(self):
        """That host may lack the same change."""
        node = build_node()
        node.core.peers.on_report = node.compare_revisions
        node.core.catalog.config.version = 3  # As in the reports.
        receive_reports(node, "a", range(1, 2), revision=9, reaches_store=False)
        assert not node.core.steering.is_current

    def test_a_report_of_a_newer_configuration_does_not(self):
        """The second report arrives while the configuration is being fetched."""
        node = build_node()
        node.core.peers.on_report = node.compare_revisions
        node.spawn = lambda job: job.close()
        receive_reports(node, "a", range(1, 3), revision=8)
        assert not node.core.steering.is_current

    def test_an_answer_of_the_store_confirms_it(self):
        """A host without others has no reports."""
        node = build_node()
        node.record_feed_call(False)
        assert not node.core.steering.is_current
        node.record_feed_call(True)
        assert node.core.steering.is_current


class TestChangesSince:
    """The differences that a host serves to others."""

    def test_a_difference_is_encoded_once_for_all_hosts(self, monkeypatch):
        """All hosts of a zone request the same difference within a second."""
        node = build_node()
        encoded = []
        original = _node.encode_difference
        monkeypatch.setattr(
            _node, "encode_difference", lambda diff: encoded.append(diff) or original(diff)
        )
        assert len({node.changes_since(at(4)) for _ in range(50)}) == 1
        assert len(encoded) == 1
        node.replica.apply_events([], at(12))
        node.changes_since(at(4))
        assert len(encoded) == 2

    def test_a_difference_from_before_a_restore_is_not_sent_again(self):
        """The store may give the revision that hosts request from out for other changes."""
        node = build_node()
        node.changes_since(at(4))
        node.replica.apply_listing([KeyValue("hosts/a/y", HOST_VALUE, 9)], at(9, era=2))
        difference = decode_difference(node.changes_since(at(4)))
        assert [item.key for item in difference.items] == ["hosts/a/y"]
        assert difference.position == at(9, era=2)

    def test_few_encoded_differences_are_kept(self):
        """Each may be as large as a configuration."""
        node = build_node()
        for revision in range(9):
            node.changes_since(at(revision))
        assert len(node.encoded_differences) == MAX_CACHED_DIFFERENCES


class TestSupervision:
    """Tasks that fail unexpectedly."""

    def test_an_essential_task_that_fails_is_started_again(self, monkeypatch):
        """A host without one of them still forwards packets, so it must not end."""
        monkeypatch.setattr(_node, "TASK_RESTART_DELAY_S", 0.01)
        node = build_node()
        starts = []

        async def job():
            starts.append(len(starts))
            if len(starts) < 3:
                raise RuntimeError("unexpected")
            node.stopped.set()

        async def run():
            node.supervise(job)
            await asyncio.wait_for(node.stopped.wait(), 5.0)

        asyncio.run(run())
        assert starts == [0, 1, 2]
        assert node.metrics.counters["internal_errors", ""] == 2


class TestConfiguration:
    """A configuration that other hosts have from before a restore of the store."""

    def test_a_newer_configuration_of_a_host_without_newer_changes_is_fetched(self):
        """The store that this host has listed has an older one."""
        node = build_node()
        fetched = []
        node.core.peers.on_report = node.compare_revisions
        node.spawn = lambda job: (fetched.append(job.__name__), job.close())
        node.core.catalog.apply_config(build_config(5))
        receive_reports(node, "a", range(1, 3), revision=8)
        assert fetched == []
        node.core.catalog.config.version = 2
        receive_reports(node, "a", range(1, 3), revision=8)
        assert fetched == ["fetch_newer_config"]

    def test_a_configuration_that_cannot_be_decoded_is_not_fetched_again(self, monkeypatch):
        """A host of an earlier program once requested it every second from another one."""
        monkeypatch.setattr(_node, "CONFIG_FETCH_INTERVAL_S", 0.0)
        node = build_node()
        fetched = []

        def decode_config(value):
            raise EntryError("version: is missing")

        async def request(connection, method, target, body, timeout_s, silence_s):
            fetched.append(target)
            return HttpResponse(200, b"x", {})

        monkeypatch.setattr(_node.HttpConnection, "request", request)
        node.core.announcements.decode_config = decode_config
        node.core.peers.on_report = node.compare_revisions

        async def hear_often():
            for _ in range(5):
                receive_reports(node, "a", range(1, 3), revision=8)
                await asyncio.sleep(0.01)

        asyncio.run(hear_often())
        assert fetched == ["/config"]

    def test_the_configuration_in_force_is_served_to_other_hosts(self):
        """As the store had it, not as the restored store has it."""
        node = build_node()
        node.core.formats.decode_config = lambda value: build_config(int(value))
        node.core.announcements.decode_config = node.core.formats.decode_config
        node.core.apply_config_of_host(b"7")
        node.core.apply_config_of_host(b"6")
        answer = asyncio.run(node.handle_control(HttpRequest("GET", "/config")))
        assert answer[:2] == (200, b"7")
        assert node.core.config_version() == 7


class TestWhere:
    """The explanation of a placement that hosts serve to operators."""

    def test_route_is_found_by_its_encoded_name(self):
        """Guards against names with characters that a path cannot have."""
        node = build_node()
        route = node.core.catalog.config.routes[0]
        route.name = "price board/a"
        status, body, _ = asyncio.run(
            node.handle_control(HttpRequest("GET", "/where/price%20board%2Fa"))
        )
        assert (status, json.loads(body)["refused"]) == (200, "no_target")
        assert json.loads(body)["host"] == "host-1"

    def test_unknown_route_is_named(self):
        """Guards against an empty answer that reads as a refusal."""
        answer = asyncio.run(build_node().handle_control(HttpRequest("GET", "/where/none")))
        assert answer[0] == 404
        assert b"no route 'none'" in answer[1]


class TestMalformedRequests:
    """Requests to the control address that no host sends."""

    def test_a_position_with_too_many_digits_is_not_found(self):
        """Converting it to a number would raise an error and close the connection."""
        request = HttpRequest("GET", f"/changes/1/{'9' * 5_000}")
        assert asyncio.run(build_node().handle_control(request))[0] == 404
