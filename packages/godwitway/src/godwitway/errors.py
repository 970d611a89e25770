"""The error kinds of the system and the response that each one leads to."""

import enum

__all__ = ["RESPONSES", "ErrorKind", "ErrorResponse", "PacketResponse", "Problem", "response_for"]


class ErrorKind(enum.Enum):
    """Every kind of error; the values appear in metrics, log lines and API responses."""

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


class PacketResponse(enum.Enum):
    """What a caller receives for a packet that could not be handled.

    Attributes:
        NONE: Nothing; the packet is dropped.
        REFUSAL: A packet which says that the request was not run, see `Flows.refuse_flow`.
    """

    NONE = "none"
    REFUSAL = "refusal"


class ErrorResponse:
    """How one kind of error is reported.

    The defaults of status and exit code belong to kinds that the API does not report.

    Attributes:
        packet_response: What the caller of a flow receives.
        http_status: The status of the resource API's response.
        exit_code: The exit code of the command-line tool.
    """

    __slots__ = ("exit_code", "http_status", "packet_response")

    def __init__(
        self,
        packet_response: PacketResponse = PacketResponse.NONE,
        http_status: int = 500,
        exit_code: int = 1,
    ) -> None:
        self.packet_response = packet_response
        self.http_status = http_status
        self.exit_code = exit_code


DROP = ErrorResponse()
REFUSE = ErrorResponse(packet_response=PacketResponse.REFUSAL, http_status=503)

RESPONSES: dict[ErrorKind, ErrorResponse] = {
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
    ErrorKind.BAD_JSON: ErrorResponse(http_status=400, exit_code=3),
    ErrorKind.INVALID_FIELD: ErrorResponse(http_status=422, exit_code=3),
    ErrorKind.CONFLICT: ErrorResponse(http_status=409, exit_code=4),
    ErrorKind.NOT_FOUND: ErrorResponse(http_status=404, exit_code=5),
    ErrorKind.UNAUTHORIZED: ErrorResponse(http_status=401, exit_code=6),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(http_status=503, exit_code=7),
    ErrorKind.WRITE_UNKNOWN: ErrorResponse(http_status=504, exit_code=8),
    ErrorKind.TIMED_OUT: ErrorResponse(http_status=504, exit_code=9),
}


def response_for(kind: ErrorKind) -> ErrorResponse:
    """Return the response to an error kind.

    >>> response_for(ErrorKind.CONFLICT).http_status
    409
    """
    return RESPONSES[kind]


class Problem:
    """One error in input or in a request, with what it concerns.

    Attributes:
        kind: The error kind.
        message: What is wrong, in one sentence.
        field: The path of the field, or the header, query parameter or write id concerned; empty
            when there is no single one.
        versions: For a conflict, the expected and the current resource version; else None.
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
        """Return the problem as one readable line."""
        return f"{self.field}: {self.message}" if self.field else self.message
