"""A small HTTP/1.1 client and server on asyncio, with httptools as the parser.

Entry hosts on the steering path must be ready within a quarter of a second of processor time;
`aiohttp` alone takes longer than that to import.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import httptools

from godwitway.addresses import Address
from godwitway.http_messages import (
    HttpError,
    HttpResponse,
    MessageCollector,
    encode_request,
)

__all__ = ["HttpConnection", "HttpError", "HttpRequest", "HttpResponse", "serve_http"]

READ_BYTES = 65_536
KEEPALIVE_IDLE_S = 1  # Detects a silent connection well inside the 3 s bound for changes.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
SERVER_IDLE_S = 60.0  # The platform asks twice a second, operators by hand.
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class HttpRequest:
    """A request without a body."""

    __slots__ = ("method", "path")

    def __init__(self, method: str, path: str) -> None:
        self.method = method
        self.path = path


Handler = Callable[[HttpRequest], Awaitable[tuple[int, bytes, str]]]


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
        self.writer.write(encode_request(self.address, method, target, body))
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
