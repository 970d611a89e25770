"""The datagrams between entry hosts: their header, its flags and its authenticator."""

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
    "DatagramType",
    "Flag",
    "Keyring",
    "Redirect",
    "authenticate",
    "candidate_bits",
    "decode_datagram",
    "encode_datagram",
    "parse_datagram",
    "plain_redirect_packet",
]

PROTOCOL_VERSION = 1
AUTHENTICATOR_BYTES = 8
MAX_HOPS = 12
LOAD_UNAVAILABLE = 0xFFFF
LOAD_UNKNOWN = 0xFFFE
NO_ADDRESS = b"\0" * 6

HEADER = struct.Struct("!BBHBB6s6s3H")


class DatagramType(IntEnum):
    """What a datagram between entry hosts carries."""

    REDIRECT = 1
    TARGET_ANSWER = 2
    HINT = 3
    LOADS = 4
    PROBE = 5


class Flag(IntFlag):
    """What is known of a redirected packet so far.

    A recovering bit is set for each candidate whose owner may have lost the flow's record,
    and a skipped bit for each one whose owner could not be asked.
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
    """Return the candidate bits that start at a shift."""
    return flags >> shift & CANDIDATE_MASK


@dataclass(slots=True)
class Redirect:
    """The header of one redirected packet.

    Attributes:
        type: The datagram type.
        flags: Bits of `Flag`.
        candidate_index: The index of the candidate that is asked.
        hops_left: How often the packet may still be passed on.
        target: The packed address of the target concerned.
        entry: The packed peer address of the entry that met the packet first.
        candidate_loads: For each candidate how full it is, LOAD_UNAVAILABLE when it takes nothing.
    """

    type: int = DatagramType.REDIRECT
    flags: int = 0
    candidate_index: int = 0
    hops_left: int = MAX_HOPS
    target: bytes = NO_ADDRESS
    entry: bytes = NO_ADDRESS
    candidate_loads: list[int] = field(default_factory=lambda: [LOAD_UNKNOWN] * CANDIDATE_COUNT)


# A redirect's first bytes when it has no flags and is for the first candidate.
PLAIN_REDIRECT = bytes([PROTOCOL_VERSION, DatagramType.REDIRECT, 0, 0, 0])


class Keyring:
    """The keys that authenticate datagrams: the first one signs, all of them verify."""

    __slots__ = ("hash_states",)

    def __init__(self, keys: list[bytes]) -> None:
        # A copied state saves hashing the key's own block for each datagram.
        self.hash_states = [
            hashlib.blake2b(key=key, digest_size=AUTHENTICATOR_BYTES) for key in keys
        ]

    def sign(self, data: bytes) -> bytes:
        """Return the authenticator of some bytes."""
        state = self.hash_states[0].copy()
        state.update(data)
        return state.digest()

    def verify(self, data: bytes, authenticator: bytes) -> bool:
        """Return whether an authenticator was made with one of the keys."""
        for known in self.hash_states:
            state = known.copy()
            state.update(data)
            if hmac.compare_digest(state.digest(), authenticator):
                return True
        return False


def encode_datagram(redirect: Redirect, body: bytes, keyring: Keyring) -> bytes:
    """Return a signed datagram with a header and a body."""
    data = (
        HEADER.pack(
            PROTOCOL_VERSION,
            redirect.type,
            redirect.flags,
            redirect.candidate_index,
            redirect.hops_left,
            redirect.target,
            redirect.entry,
            *redirect.candidate_loads,
        )
        + body
    )
    return keyring.sign(data) + data


def authenticate(datagram: bytes, keyring: Keyring) -> bytes | None:
    """Return a datagram without its authenticator, or None when that is not right."""
    data = datagram[AUTHENTICATOR_BYTES:]
    if len(data) < HEADER.size or not keyring.verify(data, datagram[:AUTHENTICATOR_BYTES]):
        return None
    return data


def plain_redirect_packet(data: bytes) -> bytes | None:
    """Return the packet of a redirect to its first candidate that nothing else is known of."""
    return data[HEADER.size :] if data.startswith(PLAIN_REDIRECT) else None


def parse_datagram(data: bytes) -> Result[tuple[Redirect, bytes], ErrorKind]:
    """Return the header and the body of an authenticated datagram, or why it is refused."""
    version, kind, flags, candidate_index, hops_left, target, entry, *candidate_loads = (
        HEADER.unpack_from(data)
    )
    if version != PROTOCOL_VERSION or candidate_index >= CANDIDATE_COUNT:
        return Err(ErrorKind.BAD_DATAGRAM)
    header = Redirect(kind, flags, candidate_index, hops_left, target, entry, candidate_loads)
    return Ok((header, data[HEADER.size :]))


def decode_datagram(datagram: bytes, keyring: Keyring) -> Result[tuple[Redirect, bytes], ErrorKind]:
    """Return the header and the body of a datagram, or why it is refused."""
    if len(datagram) < AUTHENTICATOR_BYTES + HEADER.size:
        return Err(ErrorKind.BAD_DATAGRAM)
    data = authenticate(datagram, keyring)
    return Err(ErrorKind.BAD_AUTHENTICATOR) if data is None else parse_datagram(data)
