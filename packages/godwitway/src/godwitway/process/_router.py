"""Routing of flows without a record along the owners of their candidate targets.

Each flow has a few candidate targets in a fixed order. Its packet visits their owners in that
order, hop by hop, until one has the flow's record or admits it. This sequence of owners is called
the chain. The redirect header collects what the owners know; the last hop decides from it what is
safe to do.
"""

from godwitway.connection import FlowRecord, FlowState, OwnedTarget
from godwitway.errors import ErrorKind
from godwitway.process._flows import SYN_RETRANSMIT_GAP_S, Flows
from godwitway.process._node import Node
from godwitway.request import (
    ACK,
    RST,
    SYN,
    Admission,
    DatagramHeader,
    DatagramType,
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

# Hints only save hops, so those beyond this rate are left out.
MAX_HINTS_PER_S = 20
# A SYN that comes sooner after the last packet counts as a repeated packet of the ended flow.
PORT_REUSE_AFTER_S = 1.0
# How long a copy of a packet may still be in transit between hosts.
PACKET_LIFETIME_S = 1.0
SKIPPED_MASK = CANDIDATE_MASK << SKIPPED_SHIFT


def may_open_flow(packet: bytes) -> bool:
    """Return whether a packet may open a flow: a TCP SYN without ACK, or any UDP datagram."""
    return packet[9] == UDP or tcp_flags(packet) & (SYN | ACK) == SYN


def lowest_set_bit(mask: int) -> int:
    """Return the index of the lowest set bit of a mask that is not 0.

    >>> lowest_set_bit(0b110)
    1
    """
    return (mask & -mask).bit_length() - 1


class Router:
    """Sends packets along the owners of their candidates, and handles them as one of the owners.

    Attributes:
        node: The state shared by the parts of this host.
        flows: The flows of the targets that this host owns.
        hint_second: The second of the process's clock in which `hints_due` counts.
        hints_due: How many hints were due in that second.
    """

    __slots__ = ("flows", "hint_second", "hints_due", "node")

    def __init__(self, node: Node, flows: Flows) -> None:
        self.node = node
        self.flows = flows
        self.hint_second = 0
        self.hints_due = 0

    def handle_as_owner(self, packet: bytes, key: bytes, redirect: DatagramHeader) -> None:
        """Handle a packet that is addressed to this host as the owner of a target."""
        record = self.flows.table.get(key)
        if record is not None and self.reopens_flow(packet, record):
            self.flows.remove_record(key, record)
            record = None
        if record is not None and self.should_retry_elsewhere(packet, record):
            self.retry_unanswered_flow(key, record)
        elif record is not None:
            self.flows.forward_packet(key, packet, record)
            self.send_hint(key, record, redirect)
        elif redirect.flags & TO_PREVIOUS_OWNER:
            self.return_to_new_owner(packet, key, redirect)
        else:
            self.handle_unknown_flow(packet, key, redirect)

    def reopens_flow(self, packet: bytes, record: FlowRecord) -> bool:
        """Return whether a SYN opens a new flow that reuses the ports of an ended one."""
        if record.state != FlowState.CLOSING or packet[9] != TCP:
            return False
        return (
            may_open_flow(packet) and self.node.now() - record.last_packet_at > PORT_REUSE_AFTER_S
        )

    def should_retry_elsewhere(self, packet: bytes, record: FlowRecord) -> bool:
        """Return whether a flow is to be opened at another target, as its own does not answer.

        That is so if the packet is a SYN that comes at least `SYN_RETRANSMIT_GAP_S` after the
        first one without an answer, and the target is not preferred for new flows now.
        """
        if (
            record.state != FlowState.OPENING
            or record.pending_packet is None
            or not may_open_flow(packet)
        ):
            return False
        now = self.node.now()
        if now - record.started_at < SYN_RETRANSMIT_GAP_S:
            return False
        return not self.flows.is_preferred(record.owned, now)

    def retry_unanswered_flow(self, key: bytes, record: FlowRecord) -> None:
        """Retry a flow that its target did not answer at the next candidate.

        The SYN may reach two servers, which is harmless: the caller completes one handshake.
        """
        packet = record.pending_packet or b""
        self.flows.remove_record(key, record)
        self.node.metrics.count("unanswered_moved_on", record.kind.name)
        self.retry_at_next_candidate(packet, key, record)

    def start_chain(
        self, packet: bytes, key: bytes, service: Service, kind: Kind, opens_flow: bool
    ) -> None:
        """Send a packet of a flow without a record here to its first candidate's owner.

        If that owner is this host and the flow is known to be new, it may be admitted at once.

        Args:
            packet: The packet.
            key: The flow key.
            service: The service that the packet is addressed to.
            kind: The kind of the flow.
            opens_flow: Whether the packet may open a flow.
        """
        target = service.first_candidate(key)
        if target is None:
            self.forward_to_candidates(packet, key, DatagramHeader(entry=self.node.id), [])
            return
        owned = self.flows.owned.get(target.id)
        if opens_flow and owned is not None and self.is_known_new_here(key, owned, kind):
            admission = self.flows.decide_admission(owned, kind, is_final=False)
            if admission == Admission.ADMIT:
                self.flows.admit_flow(key, packet, owned, kind)
                return
        redirect = DatagramHeader(entry=self.node.id, target=target.id)
        if not self.send_to_owner(packet, key, redirect):
            self.forward_to_candidates(packet, key, redirect, service.candidates(key))

    def is_known_new_here(self, key: bytes, owned: OwnedTarget, kind: Kind) -> bool:
        """Return whether no host can have seen a flow before.

        This host must own the flow's first candidate. False if records may be missing here: handed
        over later, lost, or held by hosts of a zone that cannot be reached.
        """
        if owned.previous_owner is not None or owned.zone_has_no_hosts or not self.node.admitting:
            return False
        if owned.records_may_be_lost and owned.first_packet_may_be_of_lost_flow(
            kind, self.node.now()
        ):
            return False
        flows = self.flows
        if kind.is_at_most_once and flows.refused.get(key):
            return False
        passed_on_at = flows.passed_on.get(key + owned.usage.target.id)
        return passed_on_at is None and flows.pinned_targets.get(key) is None

    def forward_to_cached_target(self, packet: bytes, key: bytes, target: bytes) -> None:
        """Send a later packet to the owner of the target that a hint named for its flow.

        Without a reachable owner, the packet is dropped and the drop is not recorded.
        """
        redirect = DatagramHeader(entry=self.node.id, target=target, flags=CACHED)
        self.send_to_owner(packet, key, redirect)

    def forward_to_candidates(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, candidates: list[Target]
    ) -> None:
        """Send a packet to the owner of the next candidate that can be reached.

        Candidates without a reachable owner are marked as skipped; after the last one, the
        chain is finished here.
        """
        while redirect.candidate_index < len(candidates):
            target = candidates[redirect.candidate_index]
            redirect.target = target.id
            if self.send_to_owner(packet, key, redirect):
                return
            redirect.flags |= 1 << SKIPPED_SHIFT + redirect.candidate_index
            redirect.candidate_loads[redirect.candidate_index] = LOAD_UNAVAILABLE
            redirect.candidate_index += 1
        self.finish_chain(packet, key, redirect, candidates)

    def send_to_owner(self, packet: bytes, key: bytes, redirect: DatagramHeader) -> bool:
        """Send a packet to the owner of its redirect's target, which may be this host.

        Returns:
            False, with nothing sent, if the target has no reachable owner. True does not mean
            that the packet was sent: it may have been dropped at the hop limit.
        """
        owner = self.node.directory.owner_of(redirect.target)
        if owner is None or not self.node.is_reachable(owner):
            return False
        self.send_to_host(packet, key, redirect, owner)
        return True

    def send_to_host(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, host: bytes
    ) -> None:
        """Send a packet to a host, which may be this one; drop it at the hop limit."""
        if redirect.hops_left <= 0:
            self.node.record_drop(ErrorKind.HOP_LIMIT, key)
            return
        redirect.hops_left -= 1
        if host == self.node.id:
            self.handle_as_owner(packet, key, redirect)
            return
        self.node.metrics.count("redirects_sent")
        if host in self.node.indirect_peers:
            host = self.choose_relay(host, redirect)
        self.node.send_datagram(redirect, packet, self.node.members[host].address)

    def choose_relay(self, host: bytes, redirect: DatagramHeader) -> bytes:
        """Return a host that can relay to one that this host's datagrams do not reach.

        Without such a host, the unreachable host itself is returned.
        """
        others = [
            member.id
            for member in self.node.members.values()
            if member.may_own_targets and member.id not in self.node.indirect_peers
        ]
        if not others:
            return host
        self.node.metrics.count("redirects_relayed")
        return self.node.rng.choice(others)

    def return_to_new_owner(self, packet: bytes, key: bytes, redirect: DatagramHeader) -> None:
        """Return a packet to a target's new owner since this previous owner has no record of it."""
        redirect.flags = redirect.flags & ~TO_PREVIOUS_OWNER | PREVIOUS_OWNER_ASKED
        self.mark_if_repeated(key, redirect)
        if not self.send_to_owner(packet, key, redirect):
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)

    def handle_unknown_flow(self, packet: bytes, key: bytes, redirect: DatagramHeader) -> None:
        """Handle a packet of a flow without a record here, as the owner of the redirect's target.

        The previous owner is asked first while it is still handing over its records.
        """
        found = self.node.snapshot.find_service_and_kind(key)
        if found is None:
            self.node.record_drop(ErrorKind.UNKNOWN_SERVICE, key)
            return
        service, kind = found
        if redirect.target not in service.targets_by_id:
            self.restart_chain(packet, key, redirect, service)
            return
        owned = self.flows.owned.get(redirect.target)
        if owned is None:
            if not self.send_to_owner(packet, key, redirect):
                self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)
            return
        if owned.previous_owner is not None and not redirect.flags & PREVIOUS_OWNER_ASKED:
            redirect.flags |= TO_PREVIOUS_OWNER
            self.send_to_host(packet, key, redirect, owned.previous_owner)
            return
        redirect.flags &= ~PREVIOUS_OWNER_ASKED
        if may_open_flow(packet):
            self.handle_first_packet(packet, key, redirect, owned, kind)
        else:
            self.handle_later_packet(packet, key, redirect, owned, kind)

    def restart_chain(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, service: Service
    ) -> None:
        """Start the chain again from the first candidate, in this host's configuration version.

        Since an entry of the pinned targets may have led here, this host and the next owners
        remove the flow's entry.
        """
        self.flows.pinned_targets.discard(key)
        restarted = DatagramHeader(
            entry=redirect.entry, hops_left=redirect.hops_left, flags=CACHE_INVALID
        )
        self.forward_to_candidates(packet, key, restarted, service.candidates(key))

    def handle_later_packet(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, owned: OwnedTarget, kind: Kind
    ) -> None:
        """Handle a packet that does not open a flow, of a TCP flow without a record here."""
        if redirect.flags & ADOPT:
            self.flows.adopt_flow(key, packet, owned, kind, redirect.flags & SKIPPED_MASK)
            return
        recovering = owned.later_packet_may_be_of_lost_flow(kind, self.node.now())
        if redirect.flags & CACHED:
            if recovering:
                self.flows.adopt_flow(key, packet, owned, kind, redirect.flags & SKIPPED_MASK)
                return
            self.restart_chain(packet, key, redirect, owned.usage.service)
            return
        if recovering:
            redirect.flags |= 1 << RECOVERING_SHIFT + redirect.candidate_index
        elif not owned.is_reachable:
            redirect.flags |= 1 << SKIPPED_SHIFT + redirect.candidate_index
        pinned_target = self.find_pinned_target(key, redirect)
        if pinned_target is not None:
            self.forward_to_pinned_target(packet, key, redirect, pinned_target)
            return
        redirect.candidate_index += 1
        self.forward_to_candidates(packet, key, redirect, owned.usage.service.candidates(key))

    def find_pinned_target(self, key: bytes, redirect: DatagramHeader) -> bytes | None:
        """Return the target of a flow that is on none of its candidates, or None if unknown.

        The entry is removed first if the chain was restarted, since it may be wrong.
        """
        if redirect.flags & CACHE_INVALID:
            self.flows.pinned_targets.discard(key)
        return self.flows.pinned_targets.get(key)

    def forward_to_pinned_target(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, target: bytes
    ) -> None:
        """Send a packet to the owner of a target that is none of the flow's candidates any more."""
        redirect.target = target
        redirect.flags |= CACHED
        if not self.send_to_owner(packet, key, redirect):
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)

    def handle_first_packet(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, owned: OwnedTarget, kind: Kind
    ) -> None:
        """Handle a packet that may open a flow, as the owner of the redirect's target."""
        now = self.node.now()
        if not self.node.admitting:
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        if redirect.flags & CACHED:
            self.restart_chain(packet, key, redirect, owned.usage.service)
            return
        if kind.is_at_most_once and self.flows.refused.get(key):
            self.flows.refuse_flow(key, packet, kind, ErrorKind.NO_CAPACITY)
            return
        pinned_target = self.find_pinned_target(key, redirect)
        if pinned_target is not None:
            self.forward_to_pinned_target(packet, key, redirect, pinned_target)
            return
        if redirect.flags & FINAL:
            self.decide_final_admission(packet, key, redirect, owned, kind)
            return
        self.admit_or_pass_on(packet, key, redirect, owned, kind, now)

    def admit_or_pass_on(
        self,
        packet: bytes,
        key: bytes,
        redirect: DatagramHeader,
        owned: OwnedTarget,
        kind: Kind,
        now: float,
    ) -> None:
        """Admit a new flow here, or pass it to the next candidate's owner.

        A flow that may have been seen before is only passed on, so that the owners after this
        one can report whether they have its record.
        """
        if redirect.candidate_index == 0 and self.may_run_behind_partition(owned, kind, now):
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        if owned.first_packet_may_be_of_lost_flow(kind, now):
            redirect.flags |= 1 << RECOVERING_SHIFT + redirect.candidate_index
        self.mark_if_repeated(key, redirect)
        may_be_repeated = redirect.flags & PASSED_ON_BEFORE or candidate_bits(
            redirect.flags, RECOVERING_SHIFT
        )
        if not may_be_repeated:
            if self.flows.decide_admission(owned, kind, is_final=False) == Admission.ADMIT:
                self.flows.admit_flow(key, packet, owned, kind)
                return
            self.flows.passed_on.put(key + redirect.target, now, now)
            self.node.metrics.count("first_packets_passed_on", kind.name)
        redirect.candidate_loads[redirect.candidate_index] = self.flows.compute_load(
            owned, kind, now
        )
        redirect.candidate_index += 1
        self.forward_to_candidates(packet, key, redirect, owned.usage.service.candidates(key))

    def mark_if_repeated(self, key: bytes, redirect: DatagramHeader) -> None:
        """Mark a redirect as repeated if this host passed the same flow on before.

        It is also marked as passed on recently if that was less than `PACKET_LIFETIME_S` ago.
        """
        passed_at = self.flows.passed_on.get(key + redirect.target)
        if passed_at is None:
            return
        redirect.flags |= PASSED_ON_BEFORE
        if self.node.now() - passed_at < PACKET_LIFETIME_S:
            redirect.flags |= PASSED_ON_RECENTLY

    def may_run_behind_partition(self, owned: OwnedTarget, kind: Kind, now: float) -> bool:
        """Return whether hosts behind a partition may have accepted an at-most-once request.

        That is so if no host of the target's zone can be reached and it is not confirmed that they
        are dead. Always False for other kinds.
        """
        if not kind.is_at_most_once or not owned.zone_has_no_hosts:
            return False
        return not owned.is_zone_confirmed_dead(kind, now)

    def decide_final_admission(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, owned: OwnedTarget, kind: Kind
    ) -> None:
        """Admit, queue, refuse or drop a flow at the target that the finished chain chose."""
        now = self.node.now()
        if self.may_run_behind_partition(owned, kind, now) and not is_known_new(redirect):
            # Hosts of the target's own zone may have queued, forwarded or refused the request.
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        if (
            kind.is_at_most_once
            and owned.records_may_be_lost
            and now - owned.records_complete_since < PACKET_LIFETIME_S
        ):
            # The packet may be a delayed copy of a request that was refused before.
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)
            return
        admission = self.flows.decide_admission(owned, kind, is_final=True)
        if admission == Admission.ADMIT:
            self.flows.admit_flow(key, packet, owned, kind)
        elif admission == Admission.QUEUE:
            never_forwarded = is_known_new(redirect) or is_chain_complete(redirect)
            self.flows.queue_request(key, packet, owned, kind, never_forwarded)
        else:
            self.refuse_if_not_forwarded(packet, key, redirect, kind, ErrorKind.NO_CAPACITY)

    def finish_chain(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, candidates: list[Target]
    ) -> None:
        """Decide what to do with a packet that no candidate's owner admitted or had a record of."""
        found = self.node.snapshot.find_service_and_kind(key)
        if found is None:
            self.node.record_drop(ErrorKind.UNKNOWN_SERVICE, key)
        elif may_open_flow(packet):
            self.finish_first_packet(packet, key, redirect, candidates, found[1])
        else:
            self.finish_later_packet(packet, key, redirect, candidates)

    def finish_later_packet(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, candidates: list[Target]
    ) -> None:
        """Let an owner that may have lost records adopt a flow that no owner has a record of.

        Without such an owner, the flow is reset if its targets rejected it, else dropped.
        """
        recovering = candidate_bits(redirect.flags, RECOVERING_SHIFT)
        if recovering and not tcp_flags(packet) & RST:
            redirect.candidate_index = lowest_set_bit(recovering)
            redirect.flags |= ADOPT
            redirect.target = candidates[redirect.candidate_index].id
            if self.send_to_owner(packet, key, redirect):
                return
        if redirect.flags & RETRIED and not candidate_bits(redirect.flags, SKIPPED_SHIFT):
            # Every target that could have the flow has reset it as unknown.
            self.node.journal.event("reset_no_flow", key)
            self.node.send_to_fabric(build_reset(packet))
            return
        self.node.record_drop(ErrorKind.NO_FLOW, key)

    def finish_first_packet(
        self,
        packet: bytes,
        key: bytes,
        redirect: DatagramHeader,
        candidates: list[Target],
        kind: Kind,
    ) -> None:
        """Send a new flow to the least loaded candidate that can take it, or refuse it.

        An at-most-once request that may have been forwarded goes to `finish_repeated_request`.
        """
        recovering = candidate_bits(redirect.flags, RECOVERING_SHIFT)
        if kind.is_at_most_once and not is_safe_to_place(redirect):
            self.finish_repeated_request(packet, key, redirect, candidates, recovering)
            return
        loads = redirect.candidate_loads[: len(candidates)]
        available = [index for index, value in enumerate(loads) if value < LOAD_UNKNOWN]
        if not available:
            self.refuse_if_not_forwarded(packet, key, redirect, kind, ErrorKind.NO_TARGET)
            return
        best = min(available, key=lambda index: loads[index])
        self.send_for_final_decision(packet, key, redirect, candidates, best)

    def send_for_final_decision(
        self,
        packet: bytes,
        key: bytes,
        redirect: DatagramHeader,
        candidates: list[Target],
        index: int,
    ) -> None:
        """Send a first packet to a candidate's owner, which must not pass it on any more."""
        redirect.candidate_index = index
        redirect.flags |= FINAL
        redirect.target = candidates[index].id
        if not self.send_to_owner(packet, key, redirect):
            self.node.record_drop(ErrorKind.OWNER_UNREACHABLE, key)

    def finish_repeated_request(
        self,
        packet: bytes,
        key: bytes,
        redirect: DatagramHeader,
        candidates: list[Target],
        recovering: int,
    ) -> None:
        """Send a request that may be running to the only target that may be running it.

        It is dropped unless exactly one owner may have lost its record, all owners were asked and
        the request was not passed on recently, since that copy may still be in transit.

        Args:
            packet: The request.
            key: The flow key.
            redirect: The header with the results of the chain.
            candidates: The flow's candidates.
            recovering: A mask with one bit for each candidate whose owner may have lost records;
                bit 0 stands for the first candidate.
        """
        skipped = candidate_bits(redirect.flags, SKIPPED_SHIFT)
        is_one_recovering = recovering.bit_count() == 1
        if skipped or not is_one_recovering or redirect.flags & PASSED_ON_RECENTLY:
            self.node.record_drop(
                ErrorKind.FATE_UNKNOWN, key, recovering=recovering, unreachable=skipped
            )
            return
        self.send_for_final_decision(packet, key, redirect, candidates, lowest_set_bit(recovering))

    def refuse_if_not_forwarded(
        self, packet: bytes, key: bytes, redirect: DatagramHeader, kind: Kind, reason: ErrorKind
    ) -> None:
        """Refuse a flow if no host can have forwarded one of its packets, else drop the packet."""
        if is_known_new(redirect) or is_chain_complete(redirect):
            self.flows.refuse_flow(key, packet, kind, reason)
        else:
            self.node.record_drop(ErrorKind.FATE_UNKNOWN, key)

    def retry_at_next_candidate(self, packet: bytes, key: bytes, record: FlowRecord) -> None:
        """Send a packet to the candidates after the target of its removed record.

        If that target is none of the candidates, the chain is finished at once.
        """
        target = record.owned.usage.target
        candidates = record.owned.usage.service.candidates(key)
        now = self.node.now()
        self.flows.passed_on.put(key + target.id, now, now)
        index = next((index for index, other in enumerate(candidates) if other is target), -1)
        next_index = index + 1 if index >= 0 else len(candidates)
        redirect = DatagramHeader(
            entry=self.node.id, candidate_index=next_index, flags=RETRIED | record.skipped_bits
        )
        for earlier in range(next_index):
            redirect.candidate_loads[earlier] = LOAD_UNAVAILABLE
        self.forward_to_candidates(packet, key, redirect, candidates)

    def send_hint(self, key: bytes, record: FlowRecord, redirect: DatagramHeader) -> None:
        """Send the entry host a hint about the target that a flow is on, within a rate limit.

        Only established TCP flows that are not on their first candidate are worth a hint.
        """
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
            self.hint_second, self.hints_due = second, 0
        self.hints_due += 1
        member = self.node.members.get(redirect.entry)
        if self.hints_due > MAX_HINTS_PER_S or member is None:
            return
        target = record.owned.usage.target.id
        header = DatagramHeader(type=DatagramType.HINT, target=target, entry=self.node.id)
        self.node.send_datagram(header, key, member.address)


def is_known_new(redirect: DatagramHeader) -> bool:
    """Return whether a flow is known to be new.

    That is so if the first candidate's owner has complete records and none of the flow. Every
    packet that may open the flow is sent to that owner first, and an owner marks one of which it
    has passed on an earlier copy. So without any mark, no other host can have forwarded one.
    """
    uncertain = redirect.flags & (1 << RECOVERING_SHIFT | 1 << SKIPPED_SHIFT | PASSED_ON_BEFORE)
    return not uncertain


def is_safe_to_place(redirect: DatagramHeader) -> bool:
    """Return whether an at-most-once request without a record is known to be on no target."""
    if is_known_new(redirect):
        return True
    return is_chain_complete(redirect) and not redirect.flags & PASSED_ON_RECENTLY


def is_chain_complete(redirect: DatagramHeader) -> bool:
    """Return whether every candidate's owner was asked and has complete records."""
    incomplete = candidate_bits(redirect.flags, RECOVERING_SHIFT) | candidate_bits(
        redirect.flags, SKIPPED_SHIFT
    )
    return not incomplete
