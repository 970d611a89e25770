"""SWIM-style membership of the entry hosts.

Each host probes one other host per period, directly and then through others. A host that does not
answer is first suspected and declared dead only after a timeout; with a higher incarnation it can
refute the suspicion. Updates of hosts' states spread by gossip.
"""

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
from godwitway.request import DatagramHeader, DatagramType

__all__ = ["Membership"]

PROBE_PERIOD_S = 0.5
DIRECT_PROBE_TIMEOUT_S = 0.15
INDIRECT_PROBE_TIMEOUT_S = 0.4
SUSPICION_TIMEOUT_S = 1.5
INDIRECT_PROBES = 3
UPDATES_PER_DATAGRAM = 8
UPDATE_FANOUT = 4
DEAD_MEMBER_RETENTION_S = 300.0
DEAD_PROBE_EVERY_PERIODS = 4
# Number of consecutive unanswered direct pings after which redirects to a host are relayed, if it
# answers through others, and a leaving host counts as stopped.
MISSED_PINGS_LIMIT = 2


@dataclass(slots=True)
class PeerObservation:
    """What this host recorded about one peer.

    Times are in seconds of the process's clock.

    Attributes:
        suspected_at: When the current suspicion of the peer began, or None.
        died_at: When the peer was recorded as dead, or None.
        missed_pings: How many consecutive direct pings the peer did not acknowledge in time.
    """

    suspected_at: float | None = None
    died_at: float | None = None
    missed_pings: int = 0


@dataclass(slots=True)
class PendingUpdate:
    """An update of a host that is still being disseminated.

    Attributes:
        member: The state of the host.
        sends_left: How many more datagrams carry the update.
    """

    member: Member
    sends_left: int = field(default=0)


class Membership:
    """Detects failures of other hosts and disseminates updates of their states.

    Attributes:
        node: The state shared by the parts of this host.
        on_joined: Called with a host that may own targets from now on.
        on_left: Called with a host that may own targets no longer, and whether it still responds.
            Called again with False when a host that was leaving has stopped.
        on_newer_revision: Called with a host whose configuration revision is newer than this one's.
        last_number: The number of the last probe.
        period_number: The number of the current probe period.
        pending_acks: By probe number, the future that gets the id of the host that acknowledges.
        probe_order: The ids of the hosts still to be probed in this round, the next one last.
        pending_updates: The updates that are still being disseminated, by host id.
        observations: What this host recorded about each peer, by host id.
    """

    __slots__ = (
        "last_number",
        "node",
        "observations",
        "on_joined",
        "on_left",
        "on_newer_revision",
        "pending_acks",
        "pending_updates",
        "period_number",
        "probe_order",
    )

    def __init__(
        self,
        node: Node,
        on_joined: Callable[[Member], None],
        on_left: Callable[[Member, bool], None],
        on_newer_revision: Callable[[Member], None],
    ) -> None:
        self.node = node
        self.on_joined = on_joined
        self.on_left = on_left
        self.on_newer_revision = on_newer_revision
        self.last_number = 0
        self.period_number = 0
        self.pending_acks: dict[int, asyncio.Future[bytes]] = {}
        self.probe_order: list[bytes] = []
        self.pending_updates: dict[bytes, PendingUpdate] = {}
        self.observations: dict[bytes, PeerObservation] = {}

    def observation_of(self, host: bytes) -> PeerObservation:
        """Return what was recorded about a peer; a new record if there is none."""
        return self.observations.setdefault(host, PeerObservation())

    # Updates

    def apply_update(self, update: Member, is_from_sender: bool = False) -> None:
        """Apply an update of a host if it supersedes the known state, and disseminate it.

        Args:
            update: The state of the host.
            is_from_sender: Whether the update is the sender field of a datagram.
        """
        if update.id == self.node.id:
            self.refute(update)
            return
        known = self.node.members.get(update.id)
        if known is not None and not supersedes(update, known):
            if is_from_sender:
                self.handle_sender_state(known, update)
            return
        if update.revision > self.node.snapshot.revision:
            self.on_newer_revision(update)
        self.node.members[update.id] = update
        self.record_state(update)
        self.disseminate(update)
        self.notify_change(known, update)

    def handle_sender_state(self, known: Member, update: Member) -> None:
        """Handle a host's own state that does not supersede the known one.

        Its configuration revision may still be newer than the known one. A host whose state is
        outdated gets the known state back.
        """
        if update.boot != known.boot or update.incarnation < known.incarnation:
            # A restarted host needs the known incarnation to choose a higher one.
            message = Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [known])
            self.send(update.address, message)
        if update.boot == known.boot and update.revision > known.revision:
            known.revision = update.revision
        if update.revision > self.node.snapshot.revision:
            self.on_newer_revision(update)

    def record_state(self, member: Member) -> None:
        """Record when a host became suspect or dead, and clear the times that do not apply."""
        observation = self.observation_of(member.id)
        now = self.node.now()
        if member.state == MemberState.SUSPECT:
            observation.suspected_at = (
                now if observation.suspected_at is None else observation.suspected_at
            )
        else:
            observation.suspected_at = None
        observation.died_at = now if member.state == MemberState.DEAD else None

    def notify_change(self, known: Member | None, update: Member) -> None:
        """Count, log and call back if a host joined, left, died or restarted."""
        could_own = known is not None and known.may_own_targets
        restarted = could_own and known is not None and known.boot != update.boot
        if restarted or (could_own and not update.may_own_targets):
            is_responding = update.state == MemberState.LEAVING and not restarted
            event = "member_leaving" if is_responding else "member_dead"
            self.node.metrics.count(event)
            self.node.journal.event(event, member=update.name, restarted=restarted)
            self.on_left(update, is_responding)
        elif known is not None and known.state == MemberState.LEAVING and not update.is_live:
            self.on_left(update, False)
        if update.may_own_targets and (restarted or not could_own):
            self.node.indirect_peers.discard(update.id)
            self.node.metrics.count("member_joined")
            self.node.journal.event("member_joined", member=update.name)
            self.on_joined(update)

    def refute(self, update: Member) -> None:
        """Raise this host's incarnation above an outdated or false update about it.

        An update is outdated if it is about an earlier process of this host, and false if its state
        is higher than this host's own. The new incarnation is disseminated. Updates with a lower
        incarnation have no effect.
        """
        node = self.node
        if update.boot != node.boot_id and update.incarnation >= node.incarnation:
            node.incarnation = update.incarnation + 1
        elif update.state > node.own_member().state and update.incarnation >= node.incarnation:
            node.incarnation = update.incarnation + 1
            node.metrics.count("suspicions_contradicted")
        else:
            return
        self.disseminate(node.own_member())

    def disseminate(self, member: Member) -> None:
        """Send an update to a few random peers at once, and to others with the next datagrams."""
        peers = self.live_peers()
        # As in SWIM, the number of sends grows with the logarithm of the number of hosts.
        self.pending_updates[member.id] = PendingUpdate(
            member, 3 * math.ceil(math.log2(len(peers) + 2))
        )
        selected = self.node.rng.sample(peers, min(UPDATE_FANOUT, len(peers)))
        for peer in selected:
            self.send(
                peer.address, Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [member])
            )

    def live_peers(self) -> list[Member]:
        """Return the peers that are not dead."""
        return [member for member in self.node.members.values() if member.is_live]

    def next_updates(self) -> list[Member]:
        """Return the updates for the next datagram, those with most sends left first.

        An update is removed after its last send.
        """
        candidates = sorted(self.pending_updates.values(), key=lambda pending: -pending.sends_left)
        selected = candidates[:UPDATES_PER_DATAGRAM]
        for pending in selected:
            pending.sends_left -= 1
            if pending.sends_left <= 0:
                self.pending_updates.pop(pending.member.id, None)
        return [pending.member for pending in selected]

    # Datagrams

    def send(self, to: Address, probe: Probe) -> None:
        """Send a membership datagram to the peer port of a host."""
        body = msgspec.msgpack.encode(probe)
        self.node.metrics.count("control_bytes_sent", "probe", len(body) + 36)
        self.node.send_datagram(DatagramHeader(type=DatagramType.PROBE), body, to)

    def handle_datagram(self, body: bytes, source: Address) -> None:
        """Handle a membership datagram; one that cannot be decoded is dropped."""
        try:
            probe = msgspec.msgpack.decode(body, type=Probe)
        except msgspec.DecodeError:
            self.node.record_drop(ErrorKind.BAD_DATAGRAM)
            return
        self.apply_update(probe.sender, is_from_sender=True)
        for member in probe.news:
            self.apply_update(member)
        if probe.kind == ProbeKind.PING:
            self.acknowledge_ping(probe, source)
        elif probe.kind == ProbeKind.ACK:
            ack = self.pending_acks.get(probe.number)
            if ack is not None and not ack.done():
                ack.set_result(probe.sender.id)
        elif probe.kind == ProbeKind.PING_REQ:
            self.handle_ping_request(probe, source)

    def acknowledge_ping(self, probe: Probe, source: Address) -> None:
        """Acknowledge a ping to the address that it came from."""
        ack = Probe(
            ProbeKind.ACK, probe.number, self.node.own_member(), probe.about, self.next_updates()
        )
        self.send(source, ack)

    def handle_ping_request(self, probe: Probe, source: Address) -> None:
        """Ping a host on behalf of another, in the background; ignore an unknown host."""
        member = self.node.members.get(probe.about)
        if member is not None:
            self.node.spawn(self.relay_ping(probe, member, source))

    async def relay_ping(self, probe: Probe, member: Member, source: Address) -> None:
        """Ping a host on behalf of another, and forward the acknowledgement if there is one."""
        if await self.ping(member, INDIRECT_PROBE_TIMEOUT_S) is not None:
            # The requester takes the sender field as the host that acknowledged, so the probed
            # host stands in it.
            ack = Probe(ProbeKind.ACK, probe.number, self.node.members[member.id], member.id)
            self.send(source, ack)

    # Probing

    def register_probe(self) -> tuple[int, "asyncio.Future[bytes]"]:
        """Return a new probe number and the future that gets the id of the acknowledging host."""
        self.last_number += 1
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.pending_acks[self.last_number] = future
        return self.last_number, future

    async def ping(self, member: Member, timeout: float) -> bytes | None:
        """Ping a host and return the id of the host that acknowledged, or None after a timeout.

        Args:
            member: The host.
            timeout: How long to wait, in seconds.
        """
        number, future = self.register_probe()
        known = self.node.members.get(member.id)
        # Shows the host the state that is recorded for it, so that it can refute a false one.
        updates = [known] if known is not None and known.state != MemberState.ALIVE else []
        updates += self.next_updates()
        self.send(
            member.address, Probe(ProbeKind.PING, number, self.node.own_member(), b"", updates)
        )
        return await self.wait_for_ack(number, future, timeout)

    async def wait_for_ack(
        self, number: int, future: "asyncio.Future[bytes]", timeout: float
    ) -> bytes | None:
        """Wait for a probe's acknowledgement and return the id of its sender, or None."""
        await wait_for_future(self.node.clock, future, timeout)
        self.pending_acks.pop(number, None)
        return future.result() if future.done() else None

    async def run(self) -> None:
        """Probe one host in each period; runs until it is cancelled."""
        while True:
            started = self.node.now()
            self.period_number += 1
            self.update_dead_members()
            member = self.next_member_to_probe()
            if member is not None:
                await self.probe_member(member)
            elapsed = self.node.now() - started
            await self.node.clock.sleep(max(0.01, PROBE_PERIOD_S - elapsed))

    def next_member_to_probe(self) -> Member | None:
        """Return the next host to probe, or None without peers.

        Live hosts are probed in rounds of random order. Every `DEAD_PROBE_EVERY_PERIODS` periods,
        a random dead host is probed instead, so that one that is reachable again is detected.
        """
        if self.period_number % DEAD_PROBE_EVERY_PERIODS == 0:
            dead = [member for member in self.node.members.values() if not member.is_live]
            if dead:
                return self.node.rng.choice(dead)
        while self.probe_order:
            member = self.node.members.get(self.probe_order.pop())
            if member is not None and member.is_live:
                return member
        self.probe_order = sorted(member.id for member in self.live_peers())
        self.node.rng.shuffle(self.probe_order)
        return self.node.members[self.probe_order.pop()] if self.probe_order else None

    async def probe_member(self, member: Member) -> None:
        """Ping a host directly, then through others if it does not acknowledge.

        A host that repeatedly acknowledges only through others is added to `Node.indirect_peers`,
        so that redirects to it are relayed. One that does not acknowledge at all is suspected if
        it is alive; for a leaving host, only the missed ping is counted. A dead host is only
        pinged directly, and nothing changes if it does not acknowledge.
        """
        answered = await self.ping(member, DIRECT_PROBE_TIMEOUT_S)
        observation = self.observation_of(member.id)
        if answered is not None:
            observation.missed_pings = 0
            self.node.indirect_peers.discard(member.id)
            return
        if not member.is_live:
            return
        observation.missed_pings += 1
        if await self.probe_indirectly(member):
            if observation.missed_pings >= MISSED_PINGS_LIMIT:
                self.node.indirect_peers.add(member.id)
                self.node.metrics.count("peers_heard_indirectly")
            return
        known = self.node.members.get(member.id)
        if known is not None and known.state == MemberState.ALIVE:
            self.suspect_member(known)

    async def probe_indirectly(self, member: Member) -> bool:
        """Ping a host through a few peers, and return whether it acknowledged."""
        peers = [peer for peer in self.live_peers() if peer.id != member.id]
        selected = self.node.rng.sample(peers, min(INDIRECT_PROBES, len(peers)))
        number, future = self.register_probe()
        for peer in selected:
            request = Probe(ProbeKind.PING_REQ, number, self.node.own_member(), member.id)
            self.send(peer.address, request)
        # The direct ping may have been lost, so it is repeated beside the indirect ones.
        direct_ping = Probe(ProbeKind.PING, number, self.node.own_member())
        self.send(member.address, direct_ping)
        return await self.wait_for_ack(number, future, INDIRECT_PROBE_TIMEOUT_S) is not None

    def suspect_member(self, member: Member) -> None:
        """Mark a host as suspect and notify it and the peers, so that it can refute."""
        self.node.metrics.count("members_suspected")
        suspected = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        self.apply_update(suspected)
        notice = Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [suspected])
        self.send(member.address, notice)

    def update_dead_members(self) -> None:
        """Declare overdue suspects dead, and remove members that died long ago."""
        now = self.node.now()
        for member in list(self.node.members.values()):
            observation = self.observation_of(member.id)
            if self.is_confirmed_dead(member, observation, now):
                self.apply_update(msgspec.structs.replace(member, state=MemberState.DEAD))
            elif (
                observation.died_at is not None
                and now - observation.died_at >= DEAD_MEMBER_RETENTION_S
            ):
                del self.node.members[member.id]
                del self.observations[member.id]

    def is_confirmed_dead(self, member: Member, observation: PeerObservation, now: float) -> bool:
        """Return whether a suspicion was not refuted in time, or a leaving host has stopped."""
        if observation.suspected_at is not None:
            return now - observation.suspected_at >= SUSPICION_TIMEOUT_S
        return (
            member.state == MemberState.LEAVING and observation.missed_pings >= MISSED_PINGS_LIMIT
        )

    # Joining and announcing

    def contact_seeds(self) -> None:
        """Ping the seeds of the settings, so that they get to know this host."""
        for seed in self.node.settings.seeds:
            if pack_address(seed) != self.node.id:
                self.send(seed, Probe(ProbeKind.PING, 0, self.node.own_member()))

    def announce_self(self) -> None:
        """Send this host's current state to all live peers."""
        message = Probe(ProbeKind.GOSSIP, 0, self.node.own_member(), b"", [self.node.own_member()])
        for peer in self.live_peers():
            self.send(peer.address, message)


def supersedes(update: Member, known: Member) -> bool:
    """Return whether an update of a host supersedes its known state.

    A higher incarnation supersedes. At the same incarnation, a higher state does; after a restart,
    only `JOINING`, `ALIVE` or `SUSPECT` supersedes `LEAVING` or `DEAD`.
    """
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    if update.boot != known.boot:
        return update.state <= MemberState.SUSPECT and known.state >= MemberState.LEAVING
    return update.state > known.state
