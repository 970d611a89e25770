"""A small HTTP/1.1 client and server on asyncio, with httptools as the parser.

Entry hosts on the steering path must be ready within a quarter of a second of processor time;
`aiohttp` alone takes longer than that to import.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import httptools

from godwitway.addresses import Address

__all__ = ["HttpConnection", "HttpError", "HttpRequest", "HttpResponse", "serve_http"]

READ_BYTES = 65_536
MAX_BODY_BYTES = 4_194_304  # A page of the store is about 1 MB, a snapshot a few of them.
KEEPALIVE_IDLE_S = 1  # Detects a silent connection well inside the 3 s bound for changes.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
SERVER_IDLE_S = 60.0
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class HttpError(Exception):
    """Raised when a connection failed or the peer does not speak HTTP/1.1."""


class HttpResponse:
    """A response with its whole body; header names are in lower case."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: bytes, headers: dict[bytes, bytes]) -> None:
        self.status = status
        self.body = body
        self.headers = headers


class HttpRequest:
    """A request without a body."""

    __slots__ = ("method", "path")

    def __init__(self, method: str, path: str) -> None:
        self.method = method
        self.path = path


Handler = Callable[[HttpRequest], Awaitable[tuple[int, bytes, str]]]


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


def detect_silence(writer: asyncio.StreamWriter) -> None:
    """Have the kernel probe a connection, so that one that went silent fails by itself."""
    connection: socket.socket = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class HttpConnection:
    """A client's connection, opened on demand and kept for the next request.

    Attributes:
        address: The server's address.
        connect_s: How long opening the connection may take, in seconds.
    """

    __slots__ = ("address", "connect_s", "reader", "writer")

    def __init__(self, address: Address, connect_s: float) -> None:
        self.address = address
        self.connect_s = connect_s
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        """Send a request and return its response.

        Raises:
            HttpError: The connection failed, or nothing came within the time.
        """
        try:
            if self.writer is None:
                await self.open()
            async with asyncio.timeout(timeout_s):
                return await self.exchange(method, target, body)
        except (OSError, TimeoutError, httptools.HttpParserError) as error:
            self.close()
            raise HttpError(f"{method} {target}: {type(error).__name__} {error}") from error
        except BaseException:
            self.close()
            raise

    async def open(self) -> None:
        """Open the connection."""
        async with asyncio.timeout(self.connect_s):
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        detect_silence(self.writer)

    async def exchange(self, method: str, target: str, body: bytes) -> HttpResponse:
        """Write one request and read its response."""
        kind = "Content-Type: application/json\r\n" if body else ""
        head = (
            f"{method} {target} HTTP/1.1\r\n"
            f"Host: {self.address[0]}:{self.address[1]}\r\n"
            f"{kind}Content-Length: {len(body)}\r\n\r\n"
        )
        self.writer.write(head.encode("ascii") + body)
        message = MessageCollector()
        parser = httptools.HttpResponseParser(message)
        while not message.complete:
            data = await self.reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError("the server closed the connection")
            parser.feed_data(data)
        if not parser.should_keep_alive():
            self.close()
        return HttpResponse(parser.get_status_code(), b"".join(message.parts), message.headers)

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def serve_http(address: Address, handler: Handler) -> asyncio.Server:
    """Serve requests without bodies; one task for each connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = MessageCollector()
        parser = httptools.HttpRequestParser(message)
        try:
            while await serve_one(parser, message, reader, writer, handler):
                pass
        except (OSError, TimeoutError, httptools.HttpParserError, asyncio.CancelledError):
            # The client went away, does not speak HTTP, or this process stops: nobody is left to
            # be told. asyncio's streams log a cancelled connection task as an error.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, *address)


async def serve_one(
    parser: httptools.HttpRequestParser,
    message: MessageCollector,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> bool:
    """Answer one request; returns whether the connection can take another one."""
    message.complete = False
    while not message.complete:
        async with asyncio.timeout(SERVER_IDLE_S):
            data = await reader.read(READ_BYTES)
        if not data:
            return False
        parser.feed_data(data)
    path = httptools.parse_url(message.url).path.decode("ascii", "replace")
    status, body, kind = await handler(HttpRequest(parser.get_method().decode(), path))
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\n"
        f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode("ascii") + body)
    await writer.drain()
    return parser.should_keep_alive()
