"""Membership datagrams and control messages between entry hosts.

All of them are encoded as arrays without field names: fields may only be appended, never reordered
or removed. The class names of control messages are metric labels and must not change.
"""

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
    """What a membership datagram is for.

    Attributes:
        PING: Asks the receiver for an `ACK`.
        ACK: Acknowledges a ping.
        PING_REQ: Asks the receiver to ping the host `Probe.about` and to forward its `ACK`.
        GOSSIP: Carries updates only; it is not acknowledged.
    """

    PING = 0
    ACK = 1
    PING_REQ = 2
    GOSSIP = 3


class Probe(msgspec.Struct, array_like=True):
    """One membership datagram.

    Attributes:
        kind: What the datagram is for.
        number: Matches an acknowledgement with its ping; 0 when none is awaited.
        sender: The member record of the sending host.
        about: The id of the probed host in an indirect ping and its acknowledgement; else empty.
        news: Piggybacked membership updates.
    """

    kind: ProbeKind
    number: int
    sender: Member
    about: bytes = b""
    news: list[Member] = []


class ServiceChange(msgspec.Struct, array_like=True):
    """The change of one service.

    Attributes:
        name: The name of the service.
        document: Its JSON document, or None when it is deleted.
        version: The resource version, which is the store revision of the change.
    """

    name: str
    document: bytes | None
    version: int


class StateRequest(msgspec.Struct, array_like=True, tag=1):
    """Asks a host for its members and configuration.

    Attributes:
        sender: The member record of the asking host.
        since: The revision that it has; the reply holds later changes only, if it can.
    """

    sender: Member
    since: int


class StateReply(msgspec.Struct, array_like=True, tag=2):
    """The answer to a `StateRequest`: the members and configuration that the sender knows.

    Attributes:
        sender: The member record of the sending host.
        members: All hosts that it knows, itself and the receiver included.
        since: The revision that the changes apply to; 0 for the whole configuration.
        revision: The revision that results.
        changes: A list of `ServiceChange`, encoded and compressed with zlib.
        hosts: The platform's host list as (IP address, state, version).
    """

    sender: Member
    members: list[Member]
    since: int
    revision: int
    changes: bytes
    hosts: list[tuple[str, str, int]]


class ConfigDelta(msgspec.Struct, array_like=True, tag=3):
    """Configuration changes that are relayed down the tree of a zone.

    Attributes:
        sender: The id of the sending host.
        root: The id of the host that read them from the store; the root of the tree.
        since: The revision that the changes apply to.
        revision: The revision that results.
        changes: The changes.
    """

    sender: bytes
    root: bytes
    since: int
    revision: int
    changes: list[ServiceChange]


class MovedFlow(msgspec.Struct, array_like=True):
    """A flow record that is handed over to a new owner of its target.

    Attributes:
        key: The flow key.
        kind: The name of the kind of the flow.
        state: The value of its `FlowState`.
        idle: The time since its last packet, in whole seconds, rounded down.
    """

    key: bytes
    kind: str
    state: int
    idle: int


class HandoverBatch(msgspec.Struct, array_like=True, tag=4):
    """A batch of flow records of one target, sent to its new owner.

    Attributes:
        sender: The id of the previous owner.
        target: The packed address of the target.
        number: The sequence number of the batch, which its acknowledgement repeats.
        flows: The records.
        refused: The keys of at-most-once flows whose callers were told that nothing was run.
        passed_on: The keys of at-most-once flows that were sent on to another candidate.
        last: Whether this is the last batch.
        lost_for: The age, in seconds, of the event that may have lost records; None when no records
            can be missing.
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
    """Acknowledges a handover batch.

    Attributes:
        sender: The id of the new owner.
        target: The packed address of the target.
        number: The sequence number of the batch.
    """

    sender: bytes
    target: bytes
    number: int


class HandoverQuery(msgspec.Struct, array_like=True, tag=6):
    """Asks a previous owner of a target to hand over the records that it still holds.

    Attributes:
        sender: The id of the new owner.
        target: The packed address of the target.
    """

    sender: bytes
    target: bytes


class ExceptionNotes(msgspec.Struct, array_like=True, tag=7):
    """Announces flows whose target is no longer among their candidates.

    Attributes:
        sender: The id of the owner of the targets.
        flows: Pairs of flow key and packed address of the target.
    """

    sender: bytes
    flows: list[tuple[bytes, bytes]]


class HostNotes(msgspec.Struct, array_like=True, tag=8):
    """Relayed entries of the platform's host list.

    Attributes:
        hosts: The entries as (IP address, state, version).
    """

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
