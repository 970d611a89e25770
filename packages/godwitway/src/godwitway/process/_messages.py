"""The messages between entry hosts, apart from redirected packets."""

from enum import IntEnum

import msgspec

from godwitway.process._member import Member

__all__ = [
    "ConfigDelta",
    "ControlMessage",
    "ExceptionNotes",
    "HandoverAck",
    "HandoverBatch",
    "HandoverQuery",
    "HostNotes",
    "MovedFlow",
    "Probe",
    "ProbeKind",
    "ServiceChange",
    "StateReply",
    "StateRequest",
]


class ProbeKind(IntEnum):
    """What a membership datagram asks or answers."""

    PING = 0
    ACK = 1
    PING_REQ = 2
    GOSSIP = 3


class Probe(msgspec.Struct, array_like=True):
    """One membership datagram.

    Attributes:
        kind: The kind of probe.
        number: Pairs an acknowledgement with its ping.
        sender: The sending host.
        about: For a ping on another's behalf, the peer that is probed; else empty.
        news: What the sender knows of other hosts.
    """

    kind: ProbeKind
    number: int
    sender: Member
    about: bytes = b""
    news: list[Member] = []


class ServiceChange(msgspec.Struct, array_like=True):
    """One change of configuration: a service's document, or None when it is deleted."""

    name: str
    document: bytes | None
    version: int


class StateRequest(msgspec.Struct, array_like=True, tag=1):
    """Asks a host for what it knows; changes since a revision only, when it still has them."""

    sender: Member
    since: int


class StateReply(msgspec.Struct, array_like=True, tag=2):
    """The hosts and the configuration that the sender knows.

    Attributes:
        sender: The sending host.
        members: All hosts that it knows, the receiver among them.
        since: The revision that the changes build on; 0 for the whole configuration.
        revision: The revision that they lead to.
        changes: The changes, compressed.
        hosts: The platform's list of hosts.
    """

    sender: Member
    members: list[Member]
    since: int
    revision: int
    changes: bytes
    hosts: list[tuple[str, str, int]]


class ConfigDelta(msgspec.Struct, array_like=True, tag=3):
    """Changes of configuration on their way down the relay tree.

    Attributes:
        sender: The id of the sending host.
        root: The id of the host that watches the store.
        since: The revision that the changes build on.
        revision: The revision that they lead to.
        changes: The changes.
    """

    sender: bytes
    root: bytes
    since: int
    revision: int
    changes: list[ServiceChange]


class MovedFlow(msgspec.Struct, array_like=True):
    """One flow record that moves to a new owner.

    Attributes:
        key: The flow key.
        kind: The name of the flow's kind.
        state: The flow's state.
        idle: How long ago the last packet passed, in seconds.
    """

    key: bytes
    kind: str
    state: int
    idle: int


class HandoverBatch(msgspec.Struct, array_like=True, tag=4):
    """Some flow records of one target.

    Attributes:
        sender: The id of the earlier owner.
        target: The packed address of the target.
        number: The number of the batch.
        flows: The records.
        refused: Keys of at-most-once flows that were told that they were not run.
        passed_on: Keys of at-most-once flows that were passed to another candidate.
        last: Whether this is the last batch.
        lost_for: For how long in seconds records may have been lost, None when none are.
    """

    sender: bytes
    target: bytes
    number: int
    flows: list[MovedFlow]
    refused: list[bytes]
    passed_on: list[bytes]
    last: bool
    lost_for: float | None


class HandoverAck(msgspec.Struct, array_like=True, tag=5):
    """Acknowledges a handover batch."""

    sender: bytes
    target: bytes
    number: int


class HandoverQuery(msgspec.Struct, array_like=True, tag=6):
    """Asks an earlier owner whether it still holds records of a target."""

    sender: bytes
    target: bytes


class ExceptionNotes(msgspec.Struct, array_like=True, tag=7):
    """Flows whose target is none of their candidates any more.

    Attributes:
        sender: The id of the target's owner.
        flows: Pairs of a flow key and the packed address of its target.
    """

    sender: bytes
    flows: list[tuple[bytes, bytes]]


class HostNotes(msgspec.Struct, array_like=True, tag=8):
    """Entries of the platform's list of hosts: IP address, state and version."""

    hosts: list[tuple[str, str, int]]


ControlMessage = (
    StateRequest
    | StateReply
    | ConfigDelta
    | HandoverBatch
    | HandoverAck
    | HandoverQuery
    | ExceptionNotes
    | HostNotes
)
