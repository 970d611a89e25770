"""Datagrams between entry hosts: header, flags and authenticator."""

import hashlib
import hmac
import struct
from dataclasses import dataclass, field
from enum import IntEnum, IntFlag

from result import Err, Ok, Result

from godwitway.errors import ErrorKind
from godwitway.version import CANDIDATE_COUNT

__all__ = [
    "LOAD_UNAVAILABLE",
    "LOAD_UNKNOWN",
    "MAX_HOPS",
    "DatagramHeader",
    "DatagramType",
    "Flag",
    "Keyring",
    "authenticate",
    "candidate_bits",
    "decode_datagram",
    "encode_datagram",
    "parse_datagram",
    "plain_redirect_packet",
]

PROTOCOL_VERSION = 1
AUTHENTICATOR_BYTES = 8
# How many times a redirected packet may be sent on before it is dropped.
MAX_HOPS = 12
# Values of `DatagramHeader.candidate_loads` that do not give a load.
LOAD_UNAVAILABLE = 0xFFFF
LOAD_UNKNOWN = 0xFFFE
NO_ADDRESS = b"\0" * 6

# Version, type, flags, candidate index, hops left, target, entry, load of each candidate.
HEADER = struct.Struct("!BBHBB6s6s3H")


class DatagramType(IntEnum):
    """Content of a datagram between entry hosts.

    Attributes:
        REDIRECT: A caller's packet, for the owner of a candidate target.
        TARGET_ANSWER: A target's answer packet, for the target's owner.
        HINT: The key of a flow, and in the header the target that it is on; the entry host
            caches them, to send later packets straight to that target's owner.
        LOADS: Load reports for the other owners of a service's targets.
        PROBE: A message of the membership protocol.
    """

    REDIRECT = 1
    TARGET_ANSWER = 2
    HINT = 3
    LOADS = 4
    PROBE = 5


class Flag(IntFlag):
    """What earlier hosts have found out about a packet, and what its receiver is to do with it.

    Attributes:
        CACHED: The target comes from a hint, or the flow is pinned to a target which is none
            of its candidates any more.
        FINAL: The receiver decides about the first packet; it is not passed on.
        PASSED_ON_BEFORE: An owner has passed on an earlier copy of this first packet.
        ADOPT: The receiver adopts the flow, so it creates a record in place of a lost one.
        TO_PREVIOUS_OWNER: The receiver is still handing over the target's records. It returns
            the packet to the new owner if it has no record of the flow.
        PREVIOUS_OWNER_ASKED: The target's previous owner has no record of the flow. In an answer
            report: it was forwarded to the previous owner; no receiver reads the flag there.
        RETRIED: The flow's record was removed at one target, and the candidates after it are
            asked.
        CACHE_INVALID: The packet was started again from the first candidate, because its
            target was wrong or unknown. The receiver removes the flow from its
            `Flows.pinned_targets`.
        RECOVERING_0: The owner of candidate 0 may have lost the flow's record.
        RECOVERING_1: The same for candidate 1.
        RECOVERING_2: The same for candidate 2.
        SKIPPED_0: The owner of candidate 0 could not be asked, or the candidate itself may be
            behind a network partition.
        SKIPPED_1: The same for candidate 1.
        SKIPPED_2: The same for candidate 2.
        PASSED_ON_RECENTLY: An earlier copy was passed on so recently that it may still be on
            its way.
    """

    CACHED = 1 << 0
    FINAL = 1 << 1
    PASSED_ON_BEFORE = 1 << 2
    ADOPT = 1 << 3
    TO_PREVIOUS_OWNER = 1 << 4
    PREVIOUS_OWNER_ASKED = 1 << 5
    RETRIED = 1 << 6
    CACHE_INVALID = 1 << 7
    RECOVERING_0 = 1 << 8
    RECOVERING_1 = 1 << 9
    RECOVERING_2 = 1 << 10
    SKIPPED_0 = 1 << 11
    SKIPPED_1 = 1 << 12
    SKIPPED_2 = 1 << 13
    PASSED_ON_RECENTLY = 1 << 14


# Plain integers, since operations on IntFlag members are too slow for the packet path.
CACHED = int(Flag.CACHED)
FINAL = int(Flag.FINAL)
PASSED_ON_BEFORE = int(Flag.PASSED_ON_BEFORE)
ADOPT = int(Flag.ADOPT)
TO_PREVIOUS_OWNER = int(Flag.TO_PREVIOUS_OWNER)
PREVIOUS_OWNER_ASKED = int(Flag.PREVIOUS_OWNER_ASKED)
RETRIED = int(Flag.RETRIED)
CACHE_INVALID = int(Flag.CACHE_INVALID)
PASSED_ON_RECENTLY = int(Flag.PASSED_ON_RECENTLY)
RECOVERING_SHIFT = 8
SKIPPED_SHIFT = 11
CANDIDATE_MASK = (1 << CANDIDATE_COUNT) - 1


def candidate_bits(flags: int, shift: int) -> int:
    """Return one bit for each candidate, from RECOVERING_SHIFT or SKIPPED_SHIFT of the flags."""
    return flags >> shift & CANDIDATE_MASK


@dataclass(slots=True)
class DatagramHeader:
    """Header of a datagram between entry hosts.

    Attributes:
        type: Datagram type.
        flags: Bits of `Flag`.
        candidate_index: Index of the candidate that is asked; equal to the number of candidates
            after the last one, which a datagram never carries.
        hops_left: How many more times the packet may be sent on, also if this host is itself
            the owner that it is for.
        target: Packed address of the target concerned.
        entry: Packed peer address of a host. In a redirect, the host that started the chain, to
            which hints are sent: the entry host that received the packet first, or an owner that
            retries the packet or routes it again. In an answer report, the entry host that
            received the answer; in a hint, the host that sent it. Zero in other datagrams.
        candidate_loads: Load of each candidate as `reported_load` returns it, LOAD_UNKNOWN for
            a candidate that has not been asked, and LOAD_UNAVAILABLE for one that cannot admit
            the flow.
    """

    type: int = DatagramType.REDIRECT
    flags: int = 0
    candidate_index: int = 0
    hops_left: int = MAX_HOPS
    target: bytes = NO_ADDRESS
    entry: bytes = NO_ADDRESS
    candidate_loads: list[int] = field(default_factory=lambda: [LOAD_UNKNOWN] * CANDIDATE_COUNT)


# First bytes of a redirect without flags to the first candidate.
PLAIN_REDIRECT = bytes([PROTOCOL_VERSION, DatagramType.REDIRECT, 0, 0, 0])


class Keyring:
    """Keys that authenticate datagrams: the first one signs, and all of them verify.

    So hosts that sign with different keys accept each other's datagrams if each has all keys.
    """

    __slots__ = ("hash_states",)

    def __init__(self, keys: list[bytes]) -> None:
        # Copying a keyed hash state avoids hashing the key block for each datagram.
        self.hash_states = [
            hashlib.blake2b(key=key, digest_size=AUTHENTICATOR_BYTES) for key in keys
        ]

    def sign(self, data: bytes) -> bytes:
        """Return the authenticator of data, of `AUTHENTICATOR_BYTES` bytes."""
        state = self.hash_states[0].copy()
        state.update(data)
        return state.digest()

    def verify(self, data: bytes, authenticator: bytes) -> bool:
        """Return whether one of the keys made the authenticator; compares in constant time."""
        for known in self.hash_states:
            state = known.copy()
            state.update(data)
            if hmac.compare_digest(state.digest(), authenticator):
                return True
        return False


def encode_datagram(header: DatagramHeader, body: bytes, keyring: Keyring) -> bytes:
    """Return the signed datagram: authenticator, header and body."""
    data = (
        HEADER.pack(
            PROTOCOL_VERSION,
            header.type,
            header.flags,
            header.candidate_index,
            header.hops_left,
            header.target,
            header.entry,
            *header.candidate_loads,
        )
        + body
    )
    return keyring.sign(data) + data


def authenticate(datagram: bytes, keyring: Keyring) -> bytes | None:
    """Return header and body of a datagram, or None if it is too short or not authentic."""
    data = datagram[AUTHENTICATOR_BYTES:]
    if len(data) < HEADER.size or not keyring.verify(data, datagram[:AUTHENTICATOR_BYTES]):
        return None
    return data


def plain_redirect_packet(data: bytes) -> bytes | None:
    """Return the packet of a redirect without flags to the first candidate, else None."""
    return data[HEADER.size :] if data.startswith(PLAIN_REDIRECT) else None


def parse_datagram(data: bytes) -> Result[tuple[DatagramHeader, bytes], ErrorKind]:
    """Return header and body of an authenticated datagram, or BAD_DATAGRAM.

    Args:
        data: Header and body, as `authenticate` returns them.
    """
    version, datagram_type, flags, candidate_index, hops_left, target, entry, *candidate_loads = (
        HEADER.unpack_from(data)
    )
    if version != PROTOCOL_VERSION or candidate_index >= CANDIDATE_COUNT:
        return Err(ErrorKind.BAD_DATAGRAM)
    header = DatagramHeader(
        datagram_type, flags, candidate_index, hops_left, target, entry, candidate_loads
    )
    return Ok((header, data[HEADER.size :]))


def decode_datagram(
    datagram: bytes, keyring: Keyring
) -> Result[tuple[DatagramHeader, bytes], ErrorKind]:
    """Return header and body of a datagram, or BAD_DATAGRAM or BAD_AUTHENTICATOR."""
    if len(datagram) < AUTHENTICATOR_BYTES + HEADER.size:
        return Err(ErrorKind.BAD_DATAGRAM)
    data = authenticate(datagram, keyring)
    return Err(ErrorKind.BAD_AUTHENTICATOR) if data is None else parse_datagram(data)
