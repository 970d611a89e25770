"""A small HTTP/1.1 client and server on asyncio, with httptools as the parser.

Steering hosts must be ready within a quarter of a second of processor time; importing `aiohttp`
alone takes longer.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import httptools

from godwitway.addresses import Address
from godwitway.http_messages import (
    HttpError,
    HttpResponse,
    MalformedResponseError,
    MessageCollector,
    describe_parser_error,
    encode_request,
)

__all__ = ["HttpConnection", "HttpError", "HttpRequest", "HttpResponse", "serve_http"]

READ_CHUNK_BYTES = 65_536
MAX_TRANSFER_S = 15.0  # The largest body takes 14 s over a link of 2.5 Mbit/s.
KEEPALIVE_IDLE_S = 1  # Detects a dead connection within the 3 s in which a change must take effect.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 3_000
# Only an abandoned connection is idle for that long: the platform polls twice a second, and
# operators send requests by hand.
SERVER_IDLE_TIMEOUT_S = 60.0
REASON_PHRASES = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class HttpRequest:
    """A request as a handler gets it: method and path, without a body."""

    __slots__ = ("method", "path")

    def __init__(self, method: str, path: str) -> None:
        self.method = method
        self.path = path


Handler = Callable[[HttpRequest], Awaitable[tuple[int, bytes, str]]]


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Enable TCP keepalive, so that a connection whose peer is gone fails without traffic."""
    connection: socket.socket = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class HttpConnection:
    """A client connection, opened on demand and reused for the next request.

    Attributes:
        address: The server's address.
        connect_timeout_s: The limit on opening the connection, in seconds.
    """

    __slots__ = ("address", "connect_timeout_s", "reader", "writer")

    def __init__(self, address: Address, connect_timeout_s: float) -> None:
        self.address = address
        self.connect_timeout_s = connect_timeout_s
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        silence_s: float = 0.0,
        on_body: Callable[[bytes], None] | None = None,
    ) -> HttpResponse:
        """Send a request and return its response; the connection is closed on any failure.

        Args:
            method: The HTTP method.
            target: The path with the query.
            body: The body, empty for none.
            timeout_s: The longest time in seconds to wait for the response.
            silence_s: If not 0, `timeout_s` ends with the first bytes of the response, and the rest
                may take `MAX_TRANSFER_S` as long as bytes keep arriving; this is the longest time
                in seconds between them.
            on_body: Called with each part of the response's body as it arrives; an error that it
                raises ends the request.

        Raises:
            HttpError: The connection failed, or the response did not arrive in time.
            MalformedResponseError: The response cannot be used.
        """
        try:
            if self.writer is None:
                await self.open()
            async with asyncio.timeout(timeout_s) as limit:
                self.writer.write(encode_request(self.address, method, target, body))
                first = await self.reader.read(READ_CHUNK_BYTES)
                return await self.receive_response(first, limit, silence_s, on_body)
        except httptools.HttpParserError as error:
            self.close()
            reason = describe_parser_error(error)
            raise MalformedResponseError(f"{method} {target}: {reason}") from error
        except (OSError, TimeoutError) as error:
            self.close()
            raise HttpError(f"{method} {target}: {type(error).__name__} {error}") from error
        except BaseException:
            self.close()
            raise

    async def open(self) -> None:
        """Connect to the server.

        Raises:
            OSError: The connection failed.
            TimeoutError: It was not open within the limit.
        """
        async with asyncio.timeout(self.connect_timeout_s):
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        enable_keepalive(self.writer)

    async def receive_response(
        self,
        data: bytes,
        limit: asyncio.Timeout,
        silence_s: float,
        on_body: Callable[[bytes], None] | None,
    ) -> HttpResponse:
        """Read the rest of a response.

        Args:
            data: The first bytes of the response, empty at the end of the connection.
            limit: The time limit of the request, which is moved if there is a `silence_s`.
            silence_s: See `request`.
            on_body: See `request`.
        """
        message = MessageCollector()
        parser = httptools.HttpResponseParser(message)
        now = asyncio.get_running_loop().time
        ends_at = now() + MAX_TRANSFER_S
        while True:
            if not data:
                raise ConnectionResetError("the server closed the connection")
            if silence_s:
                limit.reschedule(min(now() + silence_s, ends_at))
            part_count = len(message.body_parts)
            parser.feed_data(data)
            if on_body is not None:
                for part in message.body_parts[part_count:]:
                    on_body(part)
            if message.complete:
                break
            data = await self.reader.read(READ_CHUNK_BYTES)
        if not parser.should_keep_alive():
            self.close()
        return HttpResponse(parser.get_status_code(), b"".join(message.body_parts), message.headers)

    def close(self) -> None:
        """Abort the connection; the next request opens a new one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def serve_http(
    address: Address, handler: Handler, listener: socket.socket | None = None
) -> asyncio.Server:
    """Start a server; the handler returns status, body and content type of each response.

    Args:
        address: The address to listen at.
        handler: Handles a request.
        listener: A socket that already listens at the address, or None to open one.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = MessageCollector()
        parser = httptools.HttpRequestParser(message)
        try:
            while await serve_request(parser, message, reader, writer, handler):
                pass
        except (OSError, TimeoutError, httptools.HttpParserError, asyncio.CancelledError):
            # The client is gone, does not speak HTTP, or the process is stopping: there is no one
            # to answer. A cancellation ends here too, as asyncio streams would log it as an error.
            pass
        finally:
            writer.close()

    if listener is not None:
        return await asyncio.start_server(serve, sock=listener)
    return await asyncio.start_server(serve, *address)


async def serve_request(
    parser: httptools.HttpRequestParser,
    message: MessageCollector,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> bool:
    """Read and answer one request, and return whether the connection may be reused."""
    message.complete = False
    while not message.complete:
        async with asyncio.timeout(SERVER_IDLE_TIMEOUT_S):
            data = await reader.read(READ_CHUNK_BYTES)
        if not data:
            return False
        parser.feed_data(data)
    path = httptools.parse_url(message.url).path.decode("ascii", "replace")
    status, body, content_type = await handler(HttpRequest(parser.get_method().decode(), path))
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\n"
        f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode("ascii") + body)
    await writer.drain()
    return parser.should_keep_alive()
