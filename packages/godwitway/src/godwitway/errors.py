"""The closed list of error kinds and the table from a kind to its answer."""

import enum

__all__ = ["ANSWERS", "Answer", "ErrorKind", "PacketAnswer", "Problem", "answer_for"]


class ErrorKind(enum.Enum):
    """Every kind of error that the system reports."""

    TRUNCATED_PACKET = "truncated_packet"
    NOT_IPV4 = "not_ipv4"
    BAD_CHECKSUM = "bad_checksum"
    BAD_LENGTH = "bad_length"
    FRAGMENT = "fragment"
    UNSUPPORTED_PROTOCOL = "unsupported_protocol"
    UNKNOWN_SERVICE = "unknown_service"
    FOREIGN_ANSWER = "foreign_answer"
    WRONG_SERVICE = "wrong_service"
    BAD_DATAGRAM = "bad_datagram"
    BAD_AUTHENTICATOR = "bad_authenticator"
    HOP_LIMIT = "hop_limit"
    NO_FLOW = "no_flow"
    FATE_UNKNOWN = "fate_unknown"
    OWNER_UNREACHABLE = "owner_unreachable"
    OVER_PACKET_BUDGET = "over_packet_budget"
    NO_TARGET = "no_target"
    NO_CAPACITY = "no_capacity"
    WAIT_DEADLINE = "wait_deadline"
    BAD_JSON = "bad_json"
    INVALID_FIELD = "invalid_field"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    UNAUTHORIZED = "unauthorized"
    STORE_UNAVAILABLE = "store_unavailable"
    WRITE_UNKNOWN = "write_unknown"
    TIMED_OUT = "timed_out"


class PacketAnswer(enum.Enum):
    """What a caller is sent for a packet that ends in an error."""

    NONE = "none"
    REFUSAL = "refusal"


class Answer:
    """The answer to one kind of error.

    Attributes:
        packet: What the caller of a flow is sent.
        status: The HTTP status of the resource API.
        exit_code: The exit code of the command line.
    """

    __slots__ = ("exit_code", "packet", "status")

    def __init__(
        self,
        packet: PacketAnswer = PacketAnswer.NONE,
        status: int = 500,
        exit_code: int = 1,
    ) -> None:
        self.packet = packet
        self.status = status
        self.exit_code = exit_code


DROP = Answer()
REFUSE = Answer(packet=PacketAnswer.REFUSAL, status=503)

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.TRUNCATED_PACKET: DROP,
    ErrorKind.NOT_IPV4: DROP,
    ErrorKind.BAD_CHECKSUM: DROP,
    ErrorKind.BAD_LENGTH: DROP,
    ErrorKind.FRAGMENT: DROP,
    ErrorKind.UNSUPPORTED_PROTOCOL: DROP,
    ErrorKind.UNKNOWN_SERVICE: DROP,
    ErrorKind.FOREIGN_ANSWER: DROP,
    ErrorKind.WRONG_SERVICE: DROP,
    ErrorKind.BAD_DATAGRAM: DROP,
    ErrorKind.BAD_AUTHENTICATOR: DROP,
    ErrorKind.HOP_LIMIT: DROP,
    ErrorKind.NO_FLOW: DROP,
    ErrorKind.FATE_UNKNOWN: DROP,
    ErrorKind.OWNER_UNREACHABLE: DROP,
    ErrorKind.OVER_PACKET_BUDGET: DROP,
    ErrorKind.NO_TARGET: REFUSE,
    ErrorKind.NO_CAPACITY: REFUSE,
    ErrorKind.WAIT_DEADLINE: REFUSE,
    ErrorKind.BAD_JSON: Answer(status=400, exit_code=3),
    ErrorKind.INVALID_FIELD: Answer(status=422, exit_code=3),
    ErrorKind.CONFLICT: Answer(status=409, exit_code=4),
    ErrorKind.NOT_FOUND: Answer(status=404, exit_code=5),
    ErrorKind.UNAUTHORIZED: Answer(status=401, exit_code=6),
    ErrorKind.STORE_UNAVAILABLE: Answer(status=503, exit_code=7),
    ErrorKind.WRITE_UNKNOWN: Answer(status=504, exit_code=8),
    ErrorKind.TIMED_OUT: Answer(status=504, exit_code=9),
}


def answer_for(kind: ErrorKind) -> Answer:
    """Return the answer to an error kind.

    >>> answer_for(ErrorKind.CONFLICT).status
    409
    """
    return ANSWERS[kind]


class Problem:
    """One error with the field that it concerns.

    Attributes:
        kind: The error kind.
        message: What is wrong, in one sentence.
        field: The path of the field, empty when no single field is at fault.
        versions: For a conflict, the expected and the present resource version.
    """

    __slots__ = ("field", "kind", "message", "versions")

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        field: str = "",
        versions: tuple[int, int] | None = None,
    ) -> None:
        self.kind = kind
        self.message = message
        self.field = field
        self.versions = versions

    def __str__(self) -> str:
        """Return the problem as a line for people."""
        return f"{self.field}: {self.message}" if self.field else self.message
