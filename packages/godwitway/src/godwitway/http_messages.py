"""HTTP/1.1 messages, and one blocking request for a process that is still starting."""

import socket
import time

import httptools

from godwitway.addresses import Address

__all__ = [
    "HttpError",
    "HttpResponse",
    "MessageCollector",
    "encode_request",
    "fetch_blocking",
]

READ_BYTES = 65_536
MAX_BODY_BYTES = 4_194_304  # A page of the store is about 1 MB, a snapshot a few of them.


class HttpError(Exception):
    """Raised when a connection failed or the peer does not speak HTTP/1.1."""


class HttpResponse:
    """A response with its whole body; header names are in lower case."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes, headers: dict[bytes, bytes]) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class MessageCollector:
    """Takes the parser's callbacks for one message after another.

    Attributes:
        url: The target of a request.
        headers: The headers by name in lower case.
        parts: The parts of the body.
        size: The size of the body in bytes.
        complete: Whether a message has ended.
    """

    __slots__ = ("complete", "headers", "parts", "size", "url")

    def __init__(self) -> None:
        self.on_message_begin()

    def on_message_begin(self) -> None:
        """Start a message."""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.parts: list[bytes] = []
        self.size = 0
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.size += len(body)
        if self.size > MAX_BODY_BYTES:
            raise ValueError(f"a body of more than {MAX_BODY_BYTES} bytes")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        """End a message."""
        self.complete = True


def encode_request(address: Address, method: str, target: str, body: bytes = b"") -> bytes:
    """Return a request as it goes over the wire."""
    kind = "Content-Type: application/json\r\n" if body else ""
    head = (
        f"{method} {target} HTTP/1.1\r\n"
        f"Host: {address[0]}:{address[1]}\r\n"
        f"{kind}Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode("ascii") + body


def fetch_blocking(address: Address, target: str, timeout_s: float) -> HttpResponse:
    """Make one GET request and wait for its response.

    Raises:
        HttpError: The connection failed, or nothing came within the time.
    """
    deadline = time.monotonic() + timeout_s
    message = MessageCollector()
    parser = httptools.HttpResponseParser(message)
    try:
        with socket.create_connection(address, timeout_s) as connection:
            connection.sendall(encode_request(address, "GET", target))
            while not message.complete:
                connection.settimeout(max(0.001, deadline - time.monotonic()))
                data = connection.recv(READ_BYTES)
                if not data:
                    raise ConnectionResetError("the server closed the connection")
                parser.feed_data(data)
    except (OSError, httptools.HttpParserError) as error:
        raise HttpError(f"GET {target}: {type(error).__name__} {error}") from error
    return HttpResponse(parser.get_status_code(), b"".join(message.parts), message.headers)
