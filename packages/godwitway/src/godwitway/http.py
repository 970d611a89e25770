"""A small HTTP/1.1 client and server on asyncio, with h11 as the parser.

Entry hosts on the steering path must be ready within a quarter of a second of processor time;
`aiohttp` alone takes longer than that to import.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

import h11

from godwitway.addresses import Address

__all__ = ["HttpConnection", "HttpError", "HttpRequest", "HttpResponse", "serve_http"]

READ_BYTES = 65_536
MAX_BODY_BYTES = 4_194_304  # A page of the store is about 1 MB, a snapshot a few of them.
KEEPALIVE_IDLE_S = 1  # Detects a silent connection well inside the 3 s bound for changes.
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
SERVER_IDLE_S = 60.0


class HttpError(Exception):
    """Raised when a connection failed or the peer does not speak HTTP/1.1."""


@dataclass(slots=True)
class HttpResponse:
    """A response with its whole body."""

    status: int
    body: bytes
    headers: dict[bytes, bytes]


@dataclass(slots=True)
class HttpRequest:
    """A request with its path and the first value of each query parameter."""

    method: str
    path: str
    query: dict[str, str]


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

    __slots__ = ("address", "connect_s", "parser", "reader", "writer")

    def __init__(self, address: Address, connect_s: float) -> None:
        self.address = address
        self.connect_s = connect_s
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.parser: h11.Connection | None = None

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
                response = await self.exchange(method, target, body)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            self.close()
            raise HttpError(f"{method} {target}: {type(error).__name__} {error}") from error
        except BaseException:
            self.close()
            raise
        if self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE:
            self.parser.start_next_cycle()
        else:
            self.close()
        return response

    async def open(self) -> None:
        """Open the connection."""
        async with asyncio.timeout(self.connect_s):
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        detect_silence(self.writer)
        self.parser = h11.Connection(h11.CLIENT)

    async def exchange(self, method: str, target: str, body: bytes) -> HttpResponse:
        """Write one request and read its response."""
        headers = [
            ("Host", f"{self.address[0]}:{self.address[1]}"),
            ("Content-Length", str(len(body))),
        ]
        if body:
            headers.append(("Content-Type", "application/json"))
        head = self.parser.send(h11.Request(method=method, target=target, headers=headers))
        rest = self.parser.send(h11.Data(data=body)) if body else b""
        self.writer.write(head + rest + (self.parser.send(h11.EndOfMessage()) or b""))
        response: h11.Response | None = None
        parts: list[bytes] = []
        size = 0
        while True:
            event = self.parser.next_event()
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self.reader.read(READ_BYTES))
            elif isinstance(event, h11.Response):
                response = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    raise OSError(f"a body of more than {MAX_BODY_BYTES} bytes")
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return HttpResponse(response.status_code, b"".join(parts), dict(response.headers))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("the server closed the connection")

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader = self.writer = self.parser = None


async def serve_http(address: Address, handler: Handler) -> asyncio.Server:
    """Serve requests without bodies; one task for each connection."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        parser = h11.Connection(h11.SERVER)
        try:
            while await serve_one(parser, reader, writer, handler):
                parser.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            pass  # The client went away or does not speak HTTP; nobody is left to be told.
        finally:
            writer.transport.abort() if writer.is_closing() else writer.close()

    return await asyncio.start_server(serve, *address)


async def serve_one(
    parser: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> bool:
    """Answer one request; returns whether the connection can take another one."""
    request: h11.Request | None = None
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(SERVER_IDLE_S):
                parser.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            request = event
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            return False
    url = urlsplit(request.target.decode("ascii", "replace"))
    query = {name: values[0] for name, values in parse_qs(url.query).items()}
    status, body, kind = await handler(HttpRequest(request.method.decode(), url.path, query))
    headers = [("Content-Length", str(len(body))), ("Content-Type", kind)]
    head = parser.send(h11.Response(status_code=status, headers=headers, reason=b""))
    rest = parser.send(h11.Data(data=body)) if body else b""
    writer.write(head + rest + (parser.send(h11.EndOfMessage()) or b""))
    await writer.drain()
    return parser.our_state is h11.DONE and parser.their_state is h11.DONE
