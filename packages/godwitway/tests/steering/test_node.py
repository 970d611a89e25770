"""Tests of what a host asks other hosts, without sockets."""

import asyncio

from steering_builders import build_config, build_core, build_report

from godwitway.steering import _node
from godwitway.steering._loads import encode_report, hash_zone
from godwitway.steering._node import ASKED_AT_ONCE, ENCODED_KEPT, SteeringNode
from godwitway.store import KeyValue


class NoConnections:
    """Connections of a host that makes none in these tests."""

    probe_health = probe_connect = None

    def create_store(self, settings, metrics):
        """Return no client."""


def build_node() -> SteeringNode:
    """Return a host with a configuration and a copy at revision 9."""
    core, _ = build_core()
    core.settings.control = ("10.1.0.1", 8)
    core.catalog.apply_config(build_config())
    core.replica.apply_listing([KeyValue("hosts/x", b"", 4)], 9)
    return SteeringNode(core, NoConnections())


def hear(node: SteeringNode, zone: str, hosts: range, revision: int = 40) -> None:
    """Let a host hear others of a zone."""
    for number in hosts:
        (datagram,) = encode_report(
            build_report(
                boot_id=100 + number,
                zone_hash=hash_zone(zone),
                advertised_revision=revision,
            )
        )
        node.core.peers.handle_datagram(datagram, (f"10.{ord(zone)}.0.{number}", 7))


def record_asked(node: SteeringNode, answer: bool) -> list:
    """Let all hosts answer alike, and return the list of those that are asked."""
    asked = []

    async def fetch_changes(address):
        asked.append(address)
        return answer

    node.fetch_changes = fetch_changes
    return asked


class TestStart:
    """Whom a starting host asks while the store is slow or down."""

    def test_a_few_hosts_of_the_own_zone_and_a_few_seeds(self):
        """A whole zone that starts at once asks little of the others."""
        node = build_node()
        hear(node, "a", range(1, 40))
        hear(node, "b", range(1, 40))
        node.core.settings.seeds = [(f"10.9.0.{number}", 8) for number in range(1, 20)]
        asked = record_asked(node, answer=False)
        asyncio.run(node.ask_hosts())
        by_network = [address[0].split(".")[1] for address in asked]
        assert sorted(by_network) == ["9"] * ASKED_AT_ONCE + [str(ord("a"))] * ASKED_AT_ONCE

    def test_another_zone_s_hosts_where_none_of_the_own_is_heard(self):
        """The whole zone may have lost power."""
        node = build_node()
        hear(node, "b", range(1, 3))
        asked = record_asked(node, answer=False)
        asyncio.run(node.ask_hosts())
        assert len(asked) == 2


class TestCatchUp:
    """What a host does that hears of changes."""

    def test_it_asks_a_host_that_has_them(self):
        """The store is not called."""
        node = build_node()
        hear(node, "a", range(1, 3), revision=8)
        hear(node, "a", range(3, 5), revision=10)
        asked = record_asked(node, answer=True)
        asyncio.run(node.catch_up())
        assert asked[0][0] in ("10.97.0.3", "10.97.0.4")
        assert not node.feed.asking_once

    def test_it_asks_the_store_after_a_host_that_did_not_answer(self):
        """The other host's link may be full."""
        node = build_node()
        hear(node, "a", range(1, 3), revision=10)
        record_asked(node, answer=False)
        asyncio.run(node.catch_up())
        assert node.feed.asking_once


class TestAnswers:
    """What a host tells those that ask."""

    def test_an_answer_is_encoded_once_for_all(self, monkeypatch):
        """All hosts of a zone ask for the same within a second."""
        node = build_node()
        encoded = []
        original = _node.encode_difference
        monkeypatch.setattr(
            _node, "encode_difference", lambda diff: encoded.append(diff) or original(diff)
        )
        assert len({node.changes_since(4) for _ in range(50)}) == 1
        assert len(encoded) == 1
        node.replica.apply_events([], 12)
        node.changes_since(4)
        assert len(encoded) == 2

    def test_few_answers_are_kept(self):
        """Each may be as large as a configuration."""
        node = build_node()
        for revision in range(9):
            node.changes_since(revision)
        assert len(node.encoded) == ENCODED_KEPT
