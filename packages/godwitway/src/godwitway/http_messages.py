"""HTTP/1.1 message parsing and encoding, and a blocking GET for use before the event loop runs."""

import socket
import time
from typing import TYPE_CHECKING

import httptools

from godwitway.addresses import Address

if TYPE_CHECKING:
    import _socket

__all__ = [
    "HttpError",
    "HttpResponse",
    "MalformedResponseError",
    "MessageCollector",
    "encode_request",
    "fetch_blocking",
]

READ_CHUNK_BYTES = 65_536
# The largest bodies are pages of the store, of about 1 MB, and snapshots, of a few such pages.
MAX_BODY_BYTES = 4_194_304


class HttpError(Exception):
    """Raised when a connection failed or the peer does not speak HTTP/1.1."""


class MalformedResponseError(HttpError):
    """Raised for a response that is not HTTP/1.1, or whose body exceeds `MAX_BODY_BYTES`.

    The peer will probably give the same response to the same request.
    """


class HttpResponse:
    """A response with its whole body; header names are in lower case."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes, headers: dict[bytes, bytes]) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class MessageCollector:
    """Collects one message after another from the callbacks of an httptools parser.

    Attributes:
        url: The request target, empty for a response.
        headers: The headers by name in lower case.
        body_parts: The parts of the body in order of arrival.
        body_bytes: The size of the body so far.
        complete: Whether the message has ended.
    """

    __slots__ = ("body_bytes", "body_parts", "complete", "headers", "url")

    def __init__(self) -> None:
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Reset the collector for a new message."""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; a repeated one replaces the earlier."""
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Check the announced length, so that a body that is too large is not transferred.

        Raises:
            ValueError: The body is larger than `MAX_BODY_BYTES`.
        """
        length = self.headers.get(b"content-length", b"")
        if length.isdigit():  # The parser rejects any other value.
            check_body_bytes(int(length))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body.

        Raises:
            ValueError: The body is larger than `MAX_BODY_BYTES`.
        """
        self.body_bytes += len(body)
        check_body_bytes(self.body_bytes)
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Mark the message as complete."""
        self.complete = True


def check_body_bytes(count: int) -> None:
    """Raise `ValueError` if a body of this many bytes exceeds `MAX_BODY_BYTES`."""
    if count > MAX_BODY_BYTES:
        raise ValueError(f"message body exceeds {MAX_BODY_BYTES} bytes")


def describe_parser_error(error: httptools.HttpParserError) -> str:
    """Return an error of the parser as text, with that of the callback which caused it."""
    cause = error.__context__
    return f"{type(error).__name__} {error}" if cause is None else f"{error}: {cause}"


def encode_request(address: Address, method: str, target: str, body: bytes = b"") -> bytes:
    """Return the bytes of a request; a body is declared to be JSON."""
    content_type = "Content-Type: application/json\r\n" if body else ""
    head = (
        f"{method} {target} HTTP/1.1\r\n"
        f"Host: {address[0]}:{address[1]}\r\n"
        f"{content_type}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


def open_connection(
    address: Address, timeout_s: float, opened: "_socket.socket | None"
) -> socket.socket:
    """Return a connection that was opened before, or a new one.

    Raises:
        OSError: The connection failed.
    """
    if opened is None:
        return socket.create_connection(address, timeout_s)
    return socket.socket(fileno=opened.detach())


def fetch_blocking(
    address: Address,
    target: str,
    silence_s: float,
    timeout_s: float,
    requested: "_socket.socket | None" = None,
) -> HttpResponse:
    """Make one GET request and block until its response is complete.

    Args:
        address: The server's address.
        target: The path and the query.
        silence_s: The longest time in seconds to wait for the connection, and for the next bytes.
        timeout_s: The longest time in seconds until the response is complete; a long one takes its
            time over a slow link.
        requested: A connection on which the request has been sent already; it is closed. None to
            open one.

    Raises:
        HttpError: The connection failed, or the response did not arrive in time.
        MalformedResponseError: The response cannot be used.
    """
    deadline = time.monotonic() + timeout_s
    message = MessageCollector()
    parser = httptools.HttpResponseParser(message)
    try:
        with open_connection(address, silence_s, requested) as connection:
            if requested is None:
                connection.sendall(encode_request(address, "GET", target))
            while not message.complete:
                left_s = deadline - time.monotonic()
                connection.settimeout(max(0.001, min(silence_s, left_s)))
                data = connection.recv(READ_CHUNK_BYTES)
                if not data:
                    raise ConnectionResetError("the server closed the connection")
                parser.feed_data(data)
    except httptools.HttpParserError as error:
        raise MalformedResponseError(f"GET {target}: {describe_parser_error(error)}") from error
    except OSError as error:
        raise HttpError(f"GET {target}: {type(error).__name__} {error}") from error
    return HttpResponse(parser.get_status_code(), b"".join(message.body_parts), message.headers)
