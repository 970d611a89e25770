"""Which hosts are alive: probes at a constant rate, suspicion before death, incarnations."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from godwitway.addresses import Address, pack_address
from godwitway.errors import ErrorKind
from godwitway.process._clock import wait_for_future
from godwitway.process._member import Member, MemberState
from godwitway.process._messages import Probe, ProbeKind
from godwitway.process._node import Node
from godwitway.request import DatagramType, Redirect

__all__ = ["Membership"]

PROBE_PERIOD_S = 0.5
DIRECT_TIMEOUT_S = 0.15
PROBE_TIMEOUT_S = 0.4
SUSPICION_S = 1.5
INDIRECT_PROBES = 3
NEWS_PER_DATAGRAM = 8
NEWS_FANOUT = 4
FORGET_DEAD_S = 300.0
DEAD_PROBE_PERIODS = 4
INDIRECT_AFTER = 2


@dataclass(slots=True)
class PeerWatch:
    """What this host observed of one peer itself.

    Attributes:
        suspected_at: When it was first suspected, or None.
        died_at: When it was declared dead, or None.
        missed: How many direct pings in a row got no direct answer.
    """

    suspected_at: float | None = None
    died_at: float | None = None
    missed: int = 0


@dataclass(slots=True)
class Rumour:
    """News that is still passed on."""

    member: Member
    sends_left: int = field(default=0)


class Membership:
    """Probes other hosts and spreads news of them.

    Attributes:
        node: The host.
        joined: Called with a host that has come.
        left: Called with a host that has gone, and whether it still answers.
        behind: Called with a member whose configuration revision is higher than ours.
    """

    __slots__ = (
        "acks",
        "behind",
        "joined",
        "left",
        "node",
        "number",
        "order",
        "rumours",
        "tick",
        "watches",
    )

    def __init__(
        self,
        node: Node,
        joined: Callable[[Member], None],
        left: Callable[[Member, bool], None],
        behind: Callable[[Member], None],
    ) -> None:
        self.node = node
        self.joined = joined
        self.left = left
        self.behind = behind
        self.number = 0
        self.tick = 0
        self.acks: dict[int, asyncio.Future[bytes]] = {}
        self.order: list[bytes] = []
        self.rumours: dict[bytes, Rumour] = {}
        self.watches: dict[bytes, PeerWatch] = {}

    def watch_of(self, host: bytes) -> PeerWatch:
        """Return what was observed of a peer."""
        return self.watches.setdefault(host, PeerWatch())

    # Learning

    def apply_update(self, heard: Member, direct: bool = False) -> None:
        """Take over what is said of a host, if it is newer than what is known."""
        if heard.id == self.node.id:
            self.contradict(heard)
            return
        known = self.node.members.get(heard.id)
        if known is not None and not is_newer(heard, known):
            if direct:
                self.heard_from(known, heard)
            return
        if heard.revision > self.node.snapshot.revision:
            self.behind(heard)
        self.node.members[heard.id] = heard
        self.note_state(heard)
        self.spread(heard)
        self.report(known, heard)

    def heard_from(self, known: Member, heard: Member) -> None:
        """Note what a host says of itself that is no news of its state."""
        if heard.boot != known.boot or heard.incarnation < known.incarnation:
            # A host that restarted learns here which incarnation it has to exceed.
            news = Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [known])
            self.send(heard.address, news)
        if heard.boot == known.boot and heard.revision > known.revision:
            known.revision = heard.revision
        if heard.revision > self.node.snapshot.revision:
            self.behind(heard)

    def note_state(self, member: Member) -> None:
        """Remember when a host was suspected or died."""
        watch = self.watch_of(member.id)
        now = self.node.now()
        if member.state == MemberState.SUSPECT:
            watch.suspected_at = now if watch.suspected_at is None else watch.suspected_at
        else:
            watch.suspected_at = None
        watch.died_at = now if member.state == MemberState.DEAD else None

    def report(self, known: Member | None, heard: Member) -> None:
        """Tell the rest of the process that a host has come or gone."""
        owned_before = known is not None and known.may_own_targets
        restarted = owned_before and known is not None and known.boot != heard.boot
        if restarted or (owned_before and not heard.may_own_targets):
            answers = heard.state == MemberState.LEAVING and not restarted
            event = "member_leaving" if answers else "member_dead"
            self.node.metrics.count(event)
            self.node.journal.event(event, member=heard.name, restarted=restarted)
            self.left(heard, answers)
        elif known is not None and known.state == MemberState.LEAVING and not heard.is_reachable:
            self.left(heard, False)
        if heard.may_own_targets and (restarted or not owned_before):
            self.node.indirect_peers.discard(heard.id)
            self.node.metrics.count("member_joined")
            self.node.journal.event("member_joined", member=heard.name)
            self.joined(heard)

    def contradict(self, heard: Member) -> None:
        """Answer news of this host itself that is not true."""
        node = self.node
        if heard.boot != node.boot_id and heard.incarnation >= node.incarnation:
            node.incarnation = heard.incarnation + 1
        elif heard.state > node.own_member().state and heard.incarnation >= node.incarnation:
            node.incarnation = heard.incarnation + 1
            node.metrics.count("suspicions_contradicted")
        else:
            return
        self.spread(node.own_member())

    def spread(self, member: Member) -> None:
        """Pass news on at once to a few hosts and with the next datagrams."""
        peers = self.live_peers()
        self.rumours[member.id] = Rumour(member, 3 * math.ceil(math.log2(len(peers) + 2)))
        chosen = self.node.rng.sample(peers, min(NEWS_FANOUT, len(peers)))
        for peer in chosen:
            self.send(
                peer.address, Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [member])
            )

    def live_peers(self) -> list[Member]:
        """Return the peers that answer."""
        return [member for member in self.node.members.values() if member.is_reachable]

    def news(self) -> list[Member]:
        """Return the news for the next datagram, least often sent first."""
        fresh = sorted(self.rumours.values(), key=lambda rumour: -rumour.sends_left)
        chosen = fresh[:NEWS_PER_DATAGRAM]
        for rumour in chosen:
            rumour.sends_left -= 1
            if rumour.sends_left <= 0:
                self.rumours.pop(rumour.member.id, None)
        return [rumour.member for rumour in chosen]

    # Datagrams

    def send(self, to: Address, probe: Probe) -> None:
        """Send a membership datagram."""
        body = msgspec.msgpack.encode(probe)
        self.node.metrics.count("control_bytes_sent", "probe", len(body) + 36)
        self.node.send_datagram(Redirect(type=DatagramType.PROBE), body, to)

    def handle_datagram(self, body: bytes, source: Address) -> None:
        """Handle a membership datagram."""
        try:
            probe = msgspec.msgpack.decode(body, type=Probe)
        except msgspec.DecodeError:
            self.node.record_drop(ErrorKind.BAD_DATAGRAM)
            return
        self.apply_update(probe.sender, direct=True)
        for member in probe.news:
            self.apply_update(member)
        if probe.kind == ProbeKind.PING:
            self.answer_ping(probe, source)
        elif probe.kind == ProbeKind.ACK:
            waiting = self.acks.get(probe.number)
            if waiting is not None and not waiting.done():
                waiting.set_result(probe.sender.id)
        elif probe.kind == ProbeKind.PING_REQ:
            self.ping_for(probe, source)

    def answer_ping(self, probe: Probe, source: Address) -> None:
        """Acknowledge a ping."""
        ack = Probe(ProbeKind.ACK, probe.number, self.node.own_member(), probe.about, self.news())
        self.send(source, ack)

    def ping_for(self, probe: Probe, source: Address) -> None:
        """Ping a host on behalf of another and pass its answer on."""
        member = self.node.members.get(probe.about)
        if member is not None:
            self.node.spawn(self.relay_ping(probe, member, source))

    async def relay_ping(self, probe: Probe, member: Member, source: Address) -> None:
        """Wait for the answer to a ping on behalf of another host."""
        if await self.ping(member, PROBE_TIMEOUT_S) is not None:
            ack = Probe(ProbeKind.ACK, probe.number, self.node.members[member.id], member.id)
            self.send(source, ack)

    # Probing

    def expect(self) -> tuple[int, "asyncio.Future[bytes]"]:
        """Return a new probe number and the future of its answer."""
        self.number += 1
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.acks[self.number] = future
        return self.number, future

    async def ping(self, member: Member, timeout: float) -> bytes | None:
        """Ping a host and return who answered, or None."""
        number, future = self.expect()
        known = self.node.members.get(member.id)
        news = [known] if known is not None and known.state != MemberState.ALIVE else []
        news += self.news()
        self.send(member.address, Probe(ProbeKind.PING, number, self.node.own_member(), b"", news))
        return await self.wait_for(number, future, timeout)

    async def wait_for(
        self, number: int, future: "asyncio.Future[bytes]", timeout: float
    ) -> bytes | None:
        """Wait for the answer to a probe."""
        await wait_for_future(self.node.clock, future, timeout)
        self.acks.pop(number, None)
        return future.result() if future.done() else None

    async def run(self) -> None:
        """Probe one host each period, for ever."""
        while True:
            started = self.node.now()
            self.tick += 1
            self.bury()
            member = self.next_member()
            if member is not None:
                await self.probe(member)
            elapsed = self.node.now() - started
            await self.node.clock.sleep(max(0.01, PROBE_PERIOD_S - elapsed))

    def next_member(self) -> Member | None:
        """Return the next host to probe: all in turn, the dead ones now and then."""
        if self.tick % DEAD_PROBE_PERIODS == 0:
            dead = [member for member in self.node.members.values() if not member.is_reachable]
            if dead:
                return self.node.rng.choice(dead)
        while self.order:
            member = self.node.members.get(self.order.pop())
            if member is not None and member.is_reachable:
                return member
        self.order = sorted(member.id for member in self.live_peers())
        self.node.rng.shuffle(self.order)
        return self.node.members[self.order.pop()] if self.order else None

    async def probe(self, member: Member) -> None:
        """Ping a host directly, then through others, and suspect it when it stays silent."""
        answered = await self.ping(member, DIRECT_TIMEOUT_S)
        watch = self.watch_of(member.id)
        if answered is not None:
            watch.missed = 0
            self.node.indirect_peers.discard(member.id)
            return
        if not member.is_reachable:
            return
        watch.missed += 1
        if await self.probe_through_others(member):
            if watch.missed >= INDIRECT_AFTER:
                self.node.indirect_peers.add(member.id)
                self.node.metrics.count("peers_heard_indirectly")
            return
        known = self.node.members.get(member.id)
        if known is not None and known.state == MemberState.ALIVE:
            self.suspect(known)

    async def probe_through_others(self, member: Member) -> bool:
        """Return whether a host answers a ping that others send."""
        peers = [peer for peer in self.live_peers() if peer.id != member.id]
        chosen = self.node.rng.sample(peers, min(INDIRECT_PROBES, len(peers)))
        number, future = self.expect()
        for peer in chosen:
            ask = Probe(ProbeKind.PING_REQ, number, self.node.own_member(), member.id)
            self.send(peer.address, ask)
        # The host itself gets a second chance beside the indirect pings.
        again = Probe(ProbeKind.PING, number, self.node.own_member())
        self.send(member.address, again)
        return await self.wait_for(number, future, PROBE_TIMEOUT_S) is not None

    def suspect(self, member: Member) -> None:
        """Say that a host may be dead, to others and to itself."""
        self.node.metrics.count("members_suspected")
        suspected = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        self.apply_update(suspected)
        to_itself = Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [suspected])
        self.send(member.address, to_itself)

    def bury(self) -> None:
        """Declare suspects dead whose time is up, and forget hosts that are long dead."""
        now = self.node.now()
        for member in list(self.node.members.values()):
            watch = self.watch_of(member.id)
            if self.time_is_up(member, watch, now):
                self.apply_update(msgspec.structs.replace(member, state=MemberState.DEAD))
            elif watch.died_at is not None and now - watch.died_at >= FORGET_DEAD_S:
                del self.node.members[member.id]
                del self.watches[member.id]

    def time_is_up(self, member: Member, watch: PeerWatch, now: float) -> bool:
        """Whether a suspect has not spoken in time, or a leaving host has gone."""
        if watch.suspected_at is not None:
            return now - watch.suspected_at >= SUSPICION_S
        return member.state == MemberState.LEAVING and watch.missed >= INDIRECT_AFTER

    # Coming and going

    def contact_seeds(self) -> None:
        """Make this host known to the seeds of its settings."""
        for seed in self.node.settings.seeds:
            if pack_address(seed) != self.node.id:
                self.send(seed, Probe(ProbeKind.PING, 0, self.node.own_member()))

    def announce_self(self) -> None:
        """Tell all peers about a change of this host itself."""
        news = Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [self.node.own_member()])
        for peer in self.live_peers():
            self.send(peer.address, news)


def is_newer(heard: Member, known: Member) -> bool:
    """Whether news of a host replaces what is known of it."""
    if heard.incarnation != known.incarnation:
        return heard.incarnation > known.incarnation
    if heard.boot != known.boot:
        return heard.state <= MemberState.SUSPECT and known.state >= MemberState.LEAVING
    return heard.state > known.state
