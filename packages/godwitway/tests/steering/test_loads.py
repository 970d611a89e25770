"""Tests of the reports between hosts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_builders import SteeringWorld, build_peers, build_report, build_target

from godwitway.steering._loads import HEADER_BYTES, decode_report, encode_report, hash_zone
from godwitway.steering._peers import Member, Peers

LOADS = st.lists(
    st.tuples(
        st.integers(0, 2**32 - 1), st.integers(0, 65_535), st.integers(0, 255), st.booleans()
    ),
    max_size=300,
)


def recording_peers(world: SteeringWorld, sent: list) -> Peers:
    """Return the peers of a world's host, which record what they send."""
    peers = build_peers(world.steering)
    peers.send = lambda datagram, address: sent.append((datagram, address))
    return peers


def register(peers: Peers, member: Member) -> None:
    """Let a host be registered in the store."""
    item = member.to_key_value()
    peers.apply_member_change(item.key, item.value, 5)


def datagram(**more) -> bytes:
    """Return the only datagram of a report."""
    (encoded,) = encode_report(build_report(**more))
    return encoded


class TestCodec:
    """The form of a report."""

    @given(LOADS)
    def test_reports_survive_the_wire(self, loads):
        """All entries of all datagrams together are the report."""
        decoded = [decode_report(part) for part in encode_report(build_report(loads=loads))]
        assert [entry for report in decoded for entry in report.loads] == loads
        assert all(len(part) <= 1_200 for part in encode_report(build_report(loads=loads)))

    def test_numbers_beyond_the_wire_s_width_are_cut(self):
        """A host with more flows than fit still reports."""
        report = decode_report(datagram(loads=[(1, 70_000, 300, False)]))
        assert report.loads == [(1, 65_535, 255, False)]

    @given(st.binary(max_size=200))
    def test_foreign_datagrams_are_no_reports(self, data):
        """Stray bytes never raise."""
        report = decode_report(data)
        assert report is None or len(data) >= HEADER_BYTES

    @pytest.mark.parametrize("length", [0, 1, HEADER_BYTES - 1, HEADER_BYTES + 1])
    def test_truncated_reports_are_rejected(self, length):
        """A part of a report is no report."""
        assert decode_report(datagram(loads=[(1, 2, 3, True)])[:length]) is None


class TestPeers:
    """What hosts learn from each other."""

    def test_loads_of_live_peers_count(self):
        """A silent peer's loads are forgotten."""
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, [])
        token = world.steering.catalog.targets["i-0001"].token
        peers.handle_datagram(datagram(loads=[(token, 4, 2, False)]), ("10.1.0.2", 7))
        target = world.steering.catalog.targets["i-0001"]
        assert peers.load_totals[target.token] == (4, 2)
        world.clock.time += 3.0
        peers.clear_silent_loads()
        assert not peers.load_totals

    def test_a_restarted_peer_starts_anew(self):
        """Loads of its earlier process do not stay."""
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, [])
        token = world.steering.catalog.targets["i-0001"].token
        peers.handle_datagram(datagram(loads=[(token, 4, 2, False)]), ("10.1.0.2", 7))
        peers.handle_datagram(datagram(boot_id=10), ("10.1.0.2", 7))
        assert not peers.load_totals

    def test_suspicions_are_believed_within_a_zone_only(self):
        """A host in another zone has other paths."""
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, [])
        target = world.steering.catalog.targets["i-0001"]
        peers.handle_datagram(
            datagram(zone_hash=hash_zone("b"), loads=[(target.token, 1, 1, True)]), ("10.2.0.2", 7)
        )
        assert not world.steering.is_suspected(target, world.clock.now())
        peers.handle_datagram(datagram(loads=[(target.token, 1, 1, True)]), ("10.1.0.2", 7))
        assert world.steering.is_suspected(target, world.clock.now())

    def test_suspicions_are_told_also_without_load(self):
        """A host that has just started learns of them within half a second."""
        sent = []
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, sent)
        register(peers, Member("host-2", "a", ("10.1.0.2", 7)))
        target = world.steering.catalog.targets["i-0001"]
        world.steering.evidence_of(target).start_suspicion(world.clock.now())
        for _ in range(5):
            peers.send_report()
        assert decode_report(sent[-1][0]).loads == [(target.token, 0, 0, True)]

    def test_changes_are_told_twice(self):
        """A lost datagram is made up for by the next one."""
        sent = []
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, sent)
        register(peers, Member("host-2", "a", ("10.1.0.2", 7)))
        world.receive_packet(flow=b"flow-1", opening=True)
        peers.send_report()
        peers.send_report()
        peers.send_report()
        assert [len(decode_report(data).loads) for data, _ in sent] == [1, 1]

    def test_large_fleets_report_within_their_zone(self):
        """Control traffic grows with a zone, not with the fleet."""
        sent = []
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, sent)
        for index, zone in enumerate("abc"):
            for number in range(2, 12):
                address = (f"10.{index}.0.{number}", 7)
                register(peers, Member(f"host-{zone}-{number}", zone, address))
        for _ in range(5):
            peers.send_report()
        assert {address[0].split(".")[1] for _, address in sent} == {"0"}

    def test_its_own_reports_are_ignored(self):
        """A datagram may come back."""
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, [])
        peers.handle_datagram(datagram(boot_id=peers.boot_id), ("10.1.0.9", 7))
        assert not peers.by_address

    @pytest.mark.parametrize("value", [b"", b"[]", b"{}", b'{"address": 5}', b'{"address": "x"}'])
    def test_unreadable_members_are_left_out(self, value):
        """Other keys hold."""
        world = SteeringWorld(build_target(1))
        peers = recording_peers(world, [])
        peers.apply_member_change("hosts/a/host-2", value, 1)
        register(peers, Member("host-3", "a", ("10.1.0.3", 7)))
        assert list(peers.by_address) == [("10.1.0.3", 7)]
