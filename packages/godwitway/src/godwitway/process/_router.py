"""The chain of candidates: which owner is asked next and what the last one decides."""

from godwitway.connection import FlowRecord, FlowState, OwnedTarget
from godwitway.errors import ErrorKind
from godwitway.process._flows import SYN_REPEAT_GAP_S, Flows
from godwitway.process._node import Node
from godwitway.request import (
    ACK,
    RST,
    SYN,
    Admission,
    DatagramType,
    Redirect,
    build_reset,
    tcp_flags,
)
from godwitway.request._redirect import (
    ADOPT,
    CACHE_INVALID,
    CACHED,
    CANDIDATE_MASK,
    FINAL,
    LOAD_UNAVAILABLE,
    LOAD_UNKNOWN,
    PASSED_ON_BEFORE,
    PASSED_ON_RECENTLY,
    PREVIOUS_OWNER_ASKED,
    RECOVERING_SHIFT,
    RETRIED,
    SKIPPED_SHIFT,
    TO_PREVIOUS_OWNER,
    candidate_bits,
)
from godwitway.version import TCP, UDP, Kind, Service, Target

__all__ = ["Router", "may_open_flow"]

HINTS_PER_SECOND = 20
REOPEN_AFTER_S = 1.0
LATE_PACKET_S = 1.0
SKIPPED_BITS = CANDIDATE_MASK << SKIPPED_SHIFT


def may_open_flow(packet: bytes) -> bool:
    """Whether a packet may open a flow: a SYN, or any UDP datagram."""
    return packet[9] == UDP or tcp_flags(packet) & (SYN | ACK) == SYN


def first_bit(mask: int) -> int:
    """Return the index of the lowest set bit.

    >>> first_bit(0b110)
    1
    """
    return (mask & -mask).bit_length() - 1


class Router:
    """Passes packets of unknown flows along their candidates' owners.

    Attributes:
        node: The host.
        flows: The flows of the targets that this host owns.
    """

    __slots__ = ("flows", "hint_second", "hints", "node")

    def __init__(self, node: Node, flows: Flows) -> None:
        self.node = node
        self.flows = flows
        self.hint_second = 0
        self.hints = 0

    def handle_as_owner(self, packet: bytes, key: bytes, redirect: Redirect) -> None:
        """Handle a packet that is addressed to this host as an owner."""
        record = self.flows.table.get(key)
        if record is not None and self.is_reopened(packet, record):
            self.flows.remove_flow(key, record)
            record = None
        if record is not None and self.is_unanswered(packet, record):
            self.move_on(key, record)
        elif record is not None:
            self.flows.forward_packet(key, packet, record)
            self.hint(key, record, redirect)
        elif redirect.flags & TO_PREVIOUS_OWNER:
            self.return_to_owner(packet, key, redirect)
        else:
            self.unknown(packet, key, redirect)

    def is_reopened(self, packet: bytes, record: FlowRecord) -> bool:
        """Whether a SYN opens a new flow with the ports of one that has ended."""
        if record.state != FlowState.CLOSING or packet[9] != TCP:
            return False
        return may_open_flow(packet) and self.node.now() - record.last_packet_at > REOPEN_AFTER_S

    def is_unanswered(self, packet: bytes, record: FlowRecord) -> bool:
        """Whether a repeated SYN shows that the flow's target does not answer at all."""
        if (
            record.state != FlowState.OPENING
            or record.pending_packet is None
            or not may_open_flow(packet)
        ):
            return False
        now = self.node.now()
        if now - record.started_at < SYN_REPEAT_GAP_S:
            return False
        return not self.flows.takes_new(record.owned, now)

    def move_on(self, key: bytes, record: FlowRecord) -> None:
        """Try a flow that its target did not answer at the next candidate.

        Two SYNs that reach two servers are harmless: the caller completes one handshake.
        """
        packet = record.pending_packet or b""
        self.flows.remove_flow(key, record)
        self.node.metrics.count("unanswered_moved_on", record.kind.name)
        self.retry_at_next_candidate(packet, key, record)

    def start_chain(
        self, packet: bytes, key: bytes, service: Service, kind: Kind, opens_flow: bool
    ) -> None:
        """Ask the first candidate's owner about a packet without a record at this entry."""
        target = service.first_candidate(key)
        if target is None:
            self.ask(packet, key, Redirect(entry=self.node.id), [])
            return
        owned = self.flows.owned.get(target.id)
        if opens_flow and owned is not None and self.is_surely_new(key, owned, kind):
            verdict = self.flows.decide_admission(owned, kind, final=False)
            if verdict == Admission.ADMIT:
                self.flows.admit_flow(key, packet, owned, kind)
                return
        redirect = Redirect(entry=self.node.id, target=target.id)
        if not self.send_to_owner(packet, key, redirect):
            self.ask(packet, key, redirect, service.candidates(key))

    def is_surely_new(self, key: bytes, owned: OwnedTarget, kind: Kind) -> bool:
        """Whether this host, as the first candidate's owner, meets a flow for the first time."""
        if owned.previous_owner is not None or owned.zone_has_no_hosts or not self.node.admitting:
            return False
        if owned.records_may_be_lost and owned.first_packet_record_may_be_lost(
            kind, self.node.now()
        ):
            return False
        flows = self.flows
        if kind.is_at_most_once and flows.refused.get(key):
            return False
        seen = flows.passed_on.get(key + owned.usage.target.id)
        return seen is None and flows.pinned_targets.get(key) is None

    def forward_to_cached_target(self, packet: bytes, key: bytes, target: bytes) -> None:
        """Ask the owner of the target that the soft cache names."""
        redirect = Redirect(entry=self.node.id, target=target, flags=CACHED)
        self.send_to_owner(packet, key, redirect)

    def ask(self, packet: bytes, key: bytes, redirect: Redirect, candidates: list[Target]) -> None:
        """Ask the owner of the next candidate that can be asked."""
        while redirect.candidate_index < len(candidates):
            target = candidates[redirect.candidate_index]
            redirect.target = target.id
            if self.send_to_owner(packet, key, redirect):
                return
            redirect.flags |= 1 << SKIPPED_SHIFT + redirect.candidate_index
            redirect.candidate_loads[redirect.candidate_index] = LOAD_UNAVAILABLE
            redirect.candidate_index += 1
        self.conclude(packet, key, redirect, candidates)

    def send_to_owner(self, packet: bytes, key: bytes, redirect: Redirect) -> bool:
        """Send a packet to the owner of its redirect's target, if there is one."""
        owner = self.node.directory.owner_of(redirect.target)
        if owner is None or not self.node.is_reachable(owner):
            return False
        self.send(packet, key, redirect, owner)
        return True

    def send(self, packet: bytes, key: bytes, redirect: Redirect, host: bytes) -> None:
        """Send a packet to a host, which may be this one."""
        if redirect.hops_left <= 0:
            self.node.record_drop(ErrorKind.HOP_LIMIT, key)
            return
        redirect.hops_left -= 1
        if host == self.node.id:
            self.handle_as_owner(packet, key, redirect)
            return
        self.node.metrics.count("redirects_sent")
        if host in self.node.indirect_peers:
            host = self.relay(host, redirect)
        self.node.send_datagram(redirect, packet, self.node.members[host].address)

    def relay(self, host: bytes, redirect: Redirect) -> bytes:
        """Return a host that passes a packet on to one that does not hear this host."""
        others = [
            member.id
            for member in self.node.members.values()
            if member.may_own_targets and member.id not in self.node.indirect_peers
        ]
        if not others:
            return host
        self.node.metrics.count("redirects_relayed")
        return self.node.rng.choice(others)

    def return_to_owner(self, packet: bytes, key: bytes, redirect: Redirect) -> None:
        """Tell a target's new owner that its previous one has no record of the flow."""
        redirect.flags = redirect.flags & ~TO_PREVIOUS_OWNER | PREVIOUS_OWNER_ASKED
        self.note_passed_on(key, redirect)
        if not self.send_to_owner(packet, key, redirect):
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)

    def unknown(self, packet: bytes, key: bytes, redirect: Redirect) -> None:
        """Handle a packet of a flow that this host has no record of."""
        found = self.node.snapshot.find_kind(key)
        if found is None:
            self.node.record_drop(ErrorKind.UNKNOWN_SERVICE, key)
            return
        service, kind = found
        if redirect.target not in service.targets_by_id:
            self.restart(packet, key, redirect, service)
            return
        owned = self.flows.owned.get(redirect.target)
        if owned is None:
            if not self.send_to_owner(packet, key, redirect):
                self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)
            return
        if owned.previous_owner is not None and not redirect.flags & PREVIOUS_OWNER_ASKED:
            redirect.flags |= TO_PREVIOUS_OWNER
            self.send(packet, key, redirect, owned.previous_owner)
            return
        redirect.flags &= ~PREVIOUS_OWNER_ASKED
        if may_open_flow(packet):
            self.first(packet, key, redirect, owned, kind)
        else:
            self.later(packet, key, redirect, owned, kind)

    def restart(self, packet: bytes, key: bytes, redirect: Redirect, service: Service) -> None:
        """Start the chain anew at this host's own configuration version."""
        self.flows.pinned_targets.discard(key)
        anew = Redirect(entry=redirect.entry, hops_left=redirect.hops_left, flags=CACHE_INVALID)
        self.ask(packet, key, anew, service.candidates(key))

    def later(
        self, packet: bytes, key: bytes, redirect: Redirect, owned: OwnedTarget, kind: Kind
    ) -> None:
        """Handle a later packet of a TCP flow without a record."""
        if redirect.flags & ADOPT:
            self.flows.adopt_flow(key, packet, owned, kind, redirect.flags & SKIPPED_BITS)
            return
        recovering = owned.later_packet_record_may_be_lost(kind, self.node.now())
        if redirect.flags & CACHED:
            if recovering:
                self.flows.adopt_flow(key, packet, owned, kind, redirect.flags & SKIPPED_BITS)
                return
            self.restart(packet, key, redirect, owned.usage.service)
            return
        if recovering:
            redirect.flags |= 1 << RECOVERING_SHIFT + redirect.candidate_index
        elif not owned.is_reachable:
            redirect.flags |= 1 << SKIPPED_SHIFT + redirect.candidate_index
        elsewhere = self.exception(key, redirect)
        if elsewhere is not None:
            self.follow_exception(packet, key, redirect, elsewhere)
            return
        redirect.candidate_index += 1
        self.ask(packet, key, redirect, owned.usage.service.candidates(key))

    def exception(self, key: bytes, redirect: Redirect) -> bytes | None:
        """Return the target of a flow that is on none of its candidates, if it is known."""
        if redirect.flags & CACHE_INVALID:
            self.flows.pinned_targets.discard(key)
        return self.flows.pinned_targets.get(key)

    def follow_exception(
        self, packet: bytes, key: bytes, redirect: Redirect, target: bytes
    ) -> None:
        """Send a packet to the owner of a target that is no candidate any more."""
        redirect.target = target
        redirect.flags |= CACHED
        if not self.send_to_owner(packet, key, redirect):
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)

    def first(
        self, packet: bytes, key: bytes, redirect: Redirect, owned: OwnedTarget, kind: Kind
    ) -> None:
        """Handle a packet that may open a flow."""
        now = self.node.now()
        if not self.node.admitting:
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        if redirect.flags & CACHED:
            self.restart(packet, key, redirect, owned.usage.service)
            return
        if kind.is_at_most_once and self.flows.refused.get(key):
            self.flows.refuse_flow(key, packet, kind, ErrorKind.NO_CAPACITY)
            return
        elsewhere = self.exception(key, redirect)
        if elsewhere is not None:
            self.follow_exception(packet, key, redirect, elsewhere)
            return
        if redirect.flags & FINAL:
            self.decide_finally(packet, key, redirect, owned, kind)
            return
        self.consider(packet, key, redirect, owned, kind, now)

    def consider(
        self,
        packet: bytes,
        key: bytes,
        redirect: Redirect,
        owned: OwnedTarget,
        kind: Kind,
        now: float,
    ) -> None:
        """Admit a new flow here, or pass it to the next candidate's owner."""
        if redirect.candidate_index == 0 and self.may_be_behind_cut(owned, kind, now):
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        if owned.first_packet_record_may_be_lost(kind, now):
            redirect.flags |= 1 << RECOVERING_SHIFT + redirect.candidate_index
        self.note_passed_on(key, redirect)
        seen_before = redirect.flags & PASSED_ON_BEFORE or candidate_bits(
            redirect.flags, RECOVERING_SHIFT
        )
        if not seen_before:
            if self.flows.decide_admission(owned, kind, final=False) == Admission.ADMIT:
                self.flows.admit_flow(key, packet, owned, kind)
                return
            self.flows.passed_on.put(key + redirect.target, now, now)
            self.node.metrics.count("first_packets_passed_on", kind.name)
        redirect.candidate_loads[redirect.candidate_index] = self.flows.compute_pressure(
            owned, kind, now
        )
        redirect.candidate_index += 1
        self.ask(packet, key, redirect, owned.usage.service.candidates(key))

    def note_passed_on(self, key: bytes, redirect: Redirect) -> None:
        """Note in a redirect whether this host passed the flow on before, and how lately."""
        passed_at = self.flows.passed_on.get(key + redirect.target)
        if passed_at is None:
            return
        redirect.flags |= PASSED_ON_BEFORE
        if self.node.now() - passed_at < LATE_PACKET_S:
            redirect.flags |= PASSED_ON_RECENTLY

    def may_be_behind_cut(self, owned: OwnedTarget, kind: Kind, now: float) -> bool:
        """Whether hosts of the target's zone may be alive behind a cut and hold a request."""
        if not kind.is_at_most_once or not owned.zone_has_no_hosts:
            return False
        return not owned.is_zone_confirmed_dead(kind, now)

    def decide_finally(
        self, packet: bytes, key: bytes, redirect: Redirect, owned: OwnedTarget, kind: Kind
    ) -> None:
        """Admit, queue or refuse a flow that the whole chain has seen."""
        now = self.node.now()
        if self.may_be_behind_cut(owned, kind, now) and not is_certainly_new(redirect):
            # The target's own hosts may have let it wait, run it or refused it.
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        if (
            kind.is_at_most_once
            and owned.records_may_be_lost
            and now - owned.owned_since < LATE_PACKET_S
        ):
            # A copy of a request that was refused before may still be on its way.
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        verdict = self.flows.decide_admission(owned, kind, final=True)
        if verdict == Admission.ADMIT:
            self.flows.admit_flow(key, packet, owned, kind)
        elif verdict == Admission.QUEUE:
            certain = is_certainly_new(redirect) or is_fully_asked(redirect)
            self.flows.queue_request(key, packet, owned, kind, certain)
        else:
            self.refuse_if_certain(packet, key, redirect, kind, ErrorKind.NO_CAPACITY)

    def conclude(
        self, packet: bytes, key: bytes, redirect: Redirect, candidates: list[Target]
    ) -> None:
        """Decide about a packet after the last candidate's owner was asked."""
        found = self.node.snapshot.find_kind(key)
        if found is None:
            self.node.record_drop(ErrorKind.UNKNOWN_SERVICE, key)
        elif may_open_flow(packet):
            self.conclude_first(packet, key, redirect, candidates, found[1])
        else:
            self.conclude_later(packet, key, redirect, candidates)

    def conclude_later(
        self, packet: bytes, key: bytes, redirect: Redirect, candidates: list[Target]
    ) -> None:
        """Let a recovering owner adopt a flow that nobody has a record of."""
        recovering = candidate_bits(redirect.flags, RECOVERING_SHIFT)
        if recovering and not tcp_flags(packet) & RST:
            redirect.candidate_index = first_bit(recovering)
            redirect.flags |= ADOPT
            redirect.target = candidates[redirect.candidate_index].id
            if self.send_to_owner(packet, key, redirect):
                return
        if redirect.flags & RETRIED and not candidate_bits(redirect.flags, SKIPPED_SHIFT):
            # Every target that could have had the flow says that it does not.
            self.node.journal.event("reset_no_flow", key)
            self.node.send_to_fabric(build_reset(packet))
            return
        self.node.record_drop(ErrorKind.NO_FLOW, key)

    def conclude_first(
        self,
        packet: bytes,
        key: bytes,
        redirect: Redirect,
        candidates: list[Target],
        kind: Kind,
    ) -> None:
        """Send a new flow to the candidate that is the least full."""
        recovering = candidate_bits(redirect.flags, RECOVERING_SHIFT)
        if kind.is_at_most_once and not may_be_placed(redirect):
            self.conclude_repeated(packet, key, redirect, candidates, recovering)
            return
        pressures = redirect.candidate_loads[: len(candidates)]
        open_hops = [hop for hop, value in enumerate(pressures) if value < LOAD_UNKNOWN]
        if not open_hops:
            self.refuse_if_certain(packet, key, redirect, kind, ErrorKind.NO_TARGET)
            return
        best = min(open_hops, key=lambda hop: pressures[hop])
        self.send_finally(packet, key, redirect, candidates, best)

    def send_finally(
        self, packet: bytes, key: bytes, redirect: Redirect, candidates: list[Target], hop: int
    ) -> None:
        """Send a first packet to the candidate that decides about it for good."""
        redirect.candidate_index = hop
        redirect.flags |= FINAL
        redirect.target = candidates[hop].id
        if not self.send_to_owner(packet, key, redirect):
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)

    def conclude_repeated(
        self,
        packet: bytes,
        key: bytes,
        redirect: Redirect,
        candidates: list[Target],
        recovering: int,
    ) -> None:
        """Send a request that may be running only to the one target that may run it."""
        skipped = candidate_bits(redirect.flags, SKIPPED_SHIFT)
        only_one = recovering.bit_count() == 1
        if skipped or not only_one or redirect.flags & PASSED_ON_RECENTLY:
            self.node.record_drop(
                ErrorKind.FATE_UNKNOWN, key, recovering=recovering, unreachable=skipped
            )
            return
        self.send_finally(packet, key, redirect, candidates, first_bit(recovering))

    def refuse_if_certain(
        self, packet: bytes, key: bytes, redirect: Redirect, kind: Kind, reason: ErrorKind
    ) -> None:
        """Refuse a flow when no host can have forwarded one of its packets."""
        if is_certainly_new(redirect) or is_fully_asked(redirect):
            self.flows.refuse_flow(key, packet, kind, reason)
        else:
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)

    def retry_at_next_candidate(self, packet: bytes, key: bytes, record: FlowRecord) -> None:
        """Ask the candidates after the target of a record that was removed."""
        target = record.owned.usage.target
        candidates = record.owned.usage.service.candidates(key)
        now = self.node.now()
        self.flows.passed_on.put(key + target.id, now, now)
        hop = next((hop for hop, other in enumerate(candidates) if other is target), -1)
        following = hop + 1 if hop >= 0 else len(candidates)
        redirect = Redirect(
            entry=self.node.id, candidate_index=following, flags=RETRIED | record.skipped_bits
        )
        for tried in range(following):
            redirect.candidate_loads[tried] = LOAD_UNAVAILABLE
        self.ask(packet, key, redirect, candidates)

    def hint(self, key: bytes, record: FlowRecord, redirect: Redirect) -> None:
        """Tell the entry, now and then, which target a flow is on."""
        if redirect.candidate_index == 0 and not redirect.flags & (
            CACHED | PASSED_ON_BEFORE | ADOPT
        ):
            return
        if redirect.flags & CACHED or redirect.entry == self.node.id:
            return
        if record.kind.protocol != TCP or record.state != FlowState.ESTABLISHED:
            return
        second = int(self.node.now())
        if second != self.hint_second:
            self.hint_second, self.hints = second, 0
        self.hints += 1
        member = self.node.members.get(redirect.entry)
        if self.hints > HINTS_PER_SECOND or member is None:
            return
        target = record.owned.usage.target.id
        body = Redirect(type=DatagramType.HINT, target=target, entry=self.node.id)
        self.node.send_datagram(body, key, member.address)


def is_certainly_new(redirect: Redirect) -> bool:
    """Whether the first candidate's owner, its records whole, met the flow for the first time.

    All packets of a flow pass that owner, so no other host can have forwarded one.
    """
    first_unsure = redirect.flags & (1 << RECOVERING_SHIFT | 1 << SKIPPED_SHIFT | PASSED_ON_BEFORE)
    return not first_unsure


def may_be_placed(redirect: Redirect) -> bool:
    """Whether an at-most-once request that no owner knows is on no target for certain."""
    if is_certainly_new(redirect):
        return True
    return is_fully_asked(redirect) and not redirect.flags & PASSED_ON_RECENTLY


def is_fully_asked(redirect: Redirect) -> bool:
    """Whether every candidate's owner was asked and has whole records."""
    unsure = candidate_bits(redirect.flags, RECOVERING_SHIFT) | candidate_bits(
        redirect.flags, SKIPPED_SHIFT
    )
    return not unsure
