"""Tests of the reports between hosts and of what receivers keep of them."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import SteeringHarness, at, build_peers, build_report, build_target

from godwitway.steering._loads import HEADER_BYTES, decode_report, encode_report, hash_zone
from godwitway.steering._peers import FULL_REPORT_TICKS, LEADER_COUNT, Member, Peers

LOADS = st.lists(
    st.tuples(
        st.integers(0, 2**32 - 1), st.integers(0, 65_535), st.integers(0, 255), st.booleans()
    ),
    max_size=300,
)


def recording_peers(harness: SteeringHarness, sent: list) -> Peers:
    """Return the `Peers` of the host under test, which append what they send to `sent`."""
    peers = build_peers(harness.steering)
    peers.send = lambda datagram, address: sent.append((datagram, address))
    return peers


def register(peers: Peers, member: Member) -> None:
    """Apply the store change that registers a host."""
    item = member.to_key_value()
    peers.apply_member_change(item.key, item.value, 5)


def datagram(**overrides) -> bytes:
    """Return the datagram of a report that fits into one; `overrides` replace its fields."""
    (encoded,) = encode_report(build_report(**overrides))
    return encoded


class TestCodec:
    """The encoding of reports."""

    @given(LOADS)
    def test_decoded_reports_equal_the_encoded_ones(self, loads):
        """The entries of all datagrams together are the loads of the report."""
        decoded = [decode_report(part) for part in encode_report(build_report(loads=loads))]
        assert [entry for report in decoded for entry in report.loads] == loads
        assert all(len(part) <= 1_200 for part in encode_report(build_report(loads=loads)))

    @given(
        LOADS,
        st.lists(st.tuples(st.integers(0, 2**32 - 1), st.integers(0, 255), st.integers(0, 255))),
        st.lists(
            st.tuples(
                st.integers(0, 2**32 - 1),
                st.integers(0, 2**32 - 1),
                st.integers(-32_767, 32_767),
                st.integers(0, 255),
            )
        ),
    )
    def test_sections_survive_beside_any_number_of_loads(self, loads, speeds, rooms):
        """Guards against sections that are cut off, or that make a datagram too long."""
        parts = list(encode_report(build_report(loads=loads, speeds=speeds, rooms=rooms)))
        decoded = [decode_report(part) for part in parts]
        assert all(len(part) <= 1_200 for part in parts)
        assert [entry for report in decoded for entry in report.loads] == loads
        assert [entry for report in decoded for entry in report.speeds] == speeds
        assert [entry for report in decoded for entry in report.rooms] == rooms

    def test_unknown_section_of_a_newer_host_is_skipped(self):
        """Guards against loads that are lost while hosts of two versions run together."""
        unknown = b"\x63\x05\x00newer"
        report = decode_report(datagram(loads=[(1, 2, 3, True)], rooms=[(7, 8, -9, 1)]) + unknown)
        assert (report.loads, report.rooms) == ([(1, 2, 3, True)], [(7, 8, -9, 1)])
        assert decode_report(datagram() + unknown[:-1]) is None

    def test_loads_that_exceed_their_fields_are_capped(self):
        """A host with more flows than a field can hold must still report."""
        report = decode_report(datagram(loads=[(1, 70_000, 300, False)]))
        assert report.loads == [(1, 65_535, 255, False)]

    @given(st.binary(max_size=200))
    def test_unrelated_datagrams_do_not_raise(self, data):
        """Any program may send bytes to the port."""
        report = decode_report(data)
        assert report is None or len(data) >= HEADER_BYTES

    @pytest.mark.parametrize("length", [0, 1, HEADER_BYTES - 1, HEADER_BYTES + 1])
    def test_truncated_reports_are_rejected(self, length):
        """Their length is not a header and whole entries."""
        assert decode_report(datagram(loads=[(1, 2, 3, True)])[:length]) is None


class TestPeers:
    """What hosts send in reports and keep of received ones."""

    def test_loads_of_silent_peers_are_cleared(self):
        """A dead host must not hold load at targets."""
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, [])
        token = harness.steering.catalog.targets["i-0001"].token
        peers.handle_datagram(datagram(loads=[(token, 4, 2, False)]), ("10.1.0.2", 7))
        target = harness.steering.catalog.targets["i-0001"]
        assert peers.peer_load_totals[target.token] == (4, 2)
        harness.clock.time += 3.0
        peers.clear_silent_loads()
        assert not peers.peer_load_totals

    def test_a_restart_of_a_peer_clears_its_loads(self):
        """Its earlier process may have reported loads that it no longer has."""
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, [])
        token = harness.steering.catalog.targets["i-0001"].token
        peers.handle_datagram(datagram(loads=[(token, 4, 2, False)]), ("10.1.0.2", 7))
        peers.handle_datagram(datagram(boot_id=10), ("10.1.0.2", 7))
        assert not peers.peer_load_totals

    def test_suspicions_count_within_a_zone_only(self):
        """A host in another zone reaches targets over other paths."""
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, [])
        target = harness.steering.catalog.targets["i-0001"]
        peers.handle_datagram(
            datagram(zone_hash=hash_zone("b"), loads=[(target.token, 1, 1, True)]), ("10.2.0.2", 7)
        )
        assert not harness.steering.should_avoid(target, harness.clock.now())
        peers.handle_datagram(datagram(loads=[(target.token, 1, 1, True)]), ("10.1.0.2", 7))
        assert harness.steering.should_avoid(target, harness.clock.now())

    def test_suspicions_are_reported_also_without_load(self):
        """A host that has just started receives them within half a second."""
        sent = []
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, sent)
        register(peers, Member("host-2", "a", ("10.1.0.2", 7)))
        target = harness.steering.catalog.targets["i-0001"]
        harness.steering.evidence_of(target).start_suspicion(harness.clock.now())
        for _ in range(5):
            peers.send_report()
        assert decode_report(sent[-1][0]).loads == [(target.token, 0, 0, True)]

    def test_changed_loads_are_reported_twice(self):
        """The second report makes up for the loss of the first."""
        sent = []
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, sent)
        register(peers, Member("host-2", "a", ("10.1.0.2", 7)))
        harness.receive_packet(flow=b"flow-1", opening=True)
        peers.send_report()
        peers.send_report()
        peers.send_report()
        assert [len(decode_report(data).loads) for data, _ in sent] == [1, 1]

    def test_large_fleets_report_loads_within_their_zone(self):
        """Control traffic must grow with a zone, not with the fleet.

        Two hosts of each other zone receive versions only.
        """
        sent = []
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, sent)
        for index, zone in enumerate("abc"):
            for number in range(2, 12):
                address = (f"10.{index}.0.{number}", 7)
                register(peers, Member(f"host-{zone}-{number}", zone, address))
        harness.receive_packet(flow=b"flow-1", opening=True)
        for _ in range(5):
            peers.send_report()
        with_loads = {address for data, address in sent if decode_report(data).loads}
        assert with_loads == {(f"10.0.0.{number}", 7) for number in range(2, 12)}
        without_loads = Counter(
            address[0].split(".")[1] for data, address in sent if not decode_report(data).loads
        )
        assert without_loads == {"1": LEADER_COUNT, "2": LEADER_COUNT}

    def test_a_host_that_loses_the_store_tells_the_others_at_once(self):
        """They have to watch it in its place; twice, as a datagram may be lost."""
        sent = []
        peers = recording_peers(SteeringHarness(build_target(1)), sent)
        peers.record_store_call(True)
        register(peers, Member("host-2", "a", ("10.0.0.2", 7)))
        peers.send_report()
        peers.record_store_call(False)
        for _ in range(FULL_REPORT_TICKS - 2):
            peers.send_report()
        assert [decode_report(data).reaches_store for data, _ in sent] == [False, False]

    def test_a_change_of_the_store_is_advertised_at_once(self):
        """It may fit into no datagram, and the hosts that lack it have to fetch it."""
        sent = []
        harness = SteeringHarness(build_target(1))
        positions = iter([at(40), at(41), at(41), at(41)])
        peers = build_peers(harness.steering, versions=lambda: (3, next(positions)))
        peers.send = lambda datagram, address: sent.append(datagram)
        register(peers, Member("host-2", "a", ("10.0.0.2", 7)))
        for _ in range(4):
            peers.send_report()
        assert [decode_report(data).advertised_position for data in sent] == [at(41), at(41)]

    def test_a_leader_that_loses_the_store_tells_other_zones_although_it_no_longer_leads(self):
        """They would otherwise count on it until its silence is noticed."""
        sent = []
        peers = recording_peers(SteeringHarness(build_target(1)), sent)
        peers.record_store_call(True)
        for index, zone in enumerate("ab"):
            for number in range(2, 12):
                address = (f"10.{index}.0.{number}", 7)
                register(peers, Member(f"host-{zone}-{number}", zone, address))
        for number in range(2, 12):
            peers.handle_datagram(datagram(boot_id=100 + number), (f"10.0.0.{number}", 7))
        peers.rank = (0, peers.own_member.address)
        for _ in range(FULL_REPORT_TICKS):
            peers.send_report()
        remote = {address for _, address in sent if address[0].startswith("10.1.")}
        assert len(remote) == LEADER_COUNT
        sent.clear()
        peers.record_store_call(False)
        peers.send_report()
        assert not peers.is_group_leader(peers.steering.now())
        told = {address for data, address in sent if not decode_report(data).reaches_store}
        assert remote <= told

    def test_own_reports_are_ignored(self):
        """A datagram may return to its sender."""
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, [])
        peers.handle_datagram(datagram(boot_id=peers.boot_id), ("10.1.0.9", 7))
        assert not peers.by_address

    @pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"address": 5}', b'{"address": "x"}'])
    def test_malformed_members_are_skipped(self, value):
        """They must not prevent valid members from being added."""
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, [])
        peers.apply_member_change("hosts/a/host-2", value, 1)
        register(peers, Member("host-3", "a", ("10.1.0.3", 7)))
        assert list(peers.by_address) == [("10.1.0.3", 7)]

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("hosts/\ud83d/host-2", b'{"address": "10.1.0.2:7"}'),
            ("hosts/a/host-2", b"[" * 100_000),
        ],
    )
    def test_a_member_that_cannot_be_decoded_is_not_added_in_part(self, key, value):
        """A zone without UTF-8 form once left a peer without a zone, and no line that says so."""
        harness = SteeringHarness(build_target(1))
        peers = recording_peers(harness, [])
        peers.apply_member_change(key, value, 1)
        assert not peers.by_address
        assert peers.metrics.counters["entries_rejected", "host"] == 1
