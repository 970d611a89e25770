"""Tests of the HTTP client over loopback."""

import asyncio

import httptools
import pytest

from godwitway import http
from godwitway.http import HttpConnection
from godwitway.http_messages import (
    MAX_BODY_BYTES,
    HttpError,
    MalformedResponseError,
    MessageCollector,
    fetch_blocking,
)


async def serve_numbered(first_delay_s: float) -> asyncio.Server:
    """Start a server that answers each request with its path, and the first one late."""
    is_first = True

    async def serve(reader, writer):
        nonlocal is_first
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ")[1]
                if is_first:
                    is_first = False
                    await asyncio.sleep(first_delay_s)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(path) + path)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


class TestLateAnswers:
    """Answers that come after their request was given up."""

    def test_a_late_answer_is_not_taken_for_that_of_the_next_request(self):
        """The connection of a request that was given up is not used again."""

        async def run():
            server = await serve_numbered(first_delay_s=0.2)
            connection = HttpConnection(server.sockets[0].getsockname(), 5.0)
            with pytest.raises(HttpError, match="TimeoutError"):
                await connection.request("GET", "/1", b"", 0.1)
            await asyncio.sleep(0.2)
            assert (await connection.request("GET", "/2", b"", 5.0)).body == b"/2"
            assert (await connection.request("GET", "/3", b"", 5.0)).body == b"/3"
            connection.close()
            server.close()

        asyncio.run(run())

    def test_a_cancelled_request_leaves_no_answer_behind(self):
        """A watch that is abandoned may still be answered."""

        async def run():
            server = await serve_numbered(first_delay_s=0.2)
            connection = HttpConnection(server.sockets[0].getsockname(), 5.0)
            task = asyncio.ensure_future(connection.request("GET", "/1", b"", 5.0))
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.sleep(0.2)
            assert (await connection.request("GET", "/2", b"", 5.0)).body == b"/2"
            connection.close()
            server.close()

        asyncio.run(run())

    def test_an_answer_that_breaks_off_is_an_error(self):
        """It must not be taken for a complete one, for example as a list of all keys."""

        async def run():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345")
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            connection = HttpConnection(server.sockets[0].getsockname(), 5.0)
            with pytest.raises(HttpError, match="closed the connection"):
                await connection.request("GET", "/", b"", 5.0)
            server.close()

        asyncio.run(run())


class TestLargeBodies:
    """Responses whose body is larger than this client accepts."""

    @pytest.mark.parametrize("fetch", ["asyncio", "blocking"])
    def test_a_body_that_is_announced_as_too_large_is_not_waited_for(self, fetch):
        """Over a slow link its transfer would take seconds, and be in vain."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)

        async def run():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head)
                await reader.read()
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            with pytest.raises(MalformedResponseError, match=f"exceeds {MAX_BODY_BYTES} bytes"):
                if fetch == "asyncio":
                    await HttpConnection(address, 5.0).request("GET", "/", b"", 60.0)
                else:
                    await asyncio.to_thread(fetch_blocking, address, "/", 60.0, 60.0)
            server.close()

        asyncio.run(asyncio.wait_for(run(), 30.0))

    def test_a_body_without_an_announced_length_is_limited_too(self):
        """It may come in chunks."""
        message = MessageCollector()
        parser = httptools.HttpResponseParser(message)
        parser.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        parser.feed_data(b"%x\r\n" % (MAX_BODY_BYTES + 1))
        with pytest.raises(httptools.HttpParserError):
            parser.feed_data(b"x" * (MAX_BODY_BYTES + 1))

    def test_what_is_not_http_is_a_malformed_response(self):
        """The same request would get it again."""

        async def run():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"220 mail.example ESMTP\r\n")
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            with pytest.raises(MalformedResponseError):
                address = server.sockets[0].getsockname()
                await HttpConnection(address, 5.0).request("GET", "/", b"", 5.0)
            server.close()

        asyncio.run(run())


class TestTransferTime:
    """Responses that begin in time and take longer than that in all."""

    @staticmethod
    async def request_slow_body(silence_s: float, parts: int = 2) -> bytes:
        """Request a body that comes in parts with pauses of 0.3 s, the first within 0.1 s."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n12345" % (5 * parts))
            for _ in range(parts - 1):
                await asyncio.sleep(0.3)
                writer.write(b"67890")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        connection = HttpConnection(server.sockets[0].getsockname(), 5.0)
        try:
            return (await connection.request("GET", "/", b"", 0.1, silence_s)).body
        finally:
            connection.close()
            server.close()

    def test_the_rest_of_a_response_has_a_time_of_its_own(self):
        """A large configuration takes longer than a store that responds may stay silent."""
        assert asyncio.run(self.request_slow_body(silence_s=5.0)) == b"1234567890"

    @pytest.mark.parametrize("silence_s", [0.0, 0.1])
    def test_a_response_that_takes_longer_is_an_error(self, silence_s):
        """Without a time for the rest, the whole response has to come in time."""
        with pytest.raises(HttpError, match="TimeoutError"):
            asyncio.run(self.request_slow_body(silence_s))

    def test_a_response_that_keeps_arriving_is_not_given_up(self):
        """Over a slow link, the same request would take as long again, and be in vain again."""
        assert len(asyncio.run(self.request_slow_body(silence_s=1.0, parts=6))) == 30

    def test_a_response_without_an_end_is_given_up(self, monkeypatch):
        """The total time is limited as well."""
        monkeypatch.setattr(http, "MAX_TRANSFER_S", 0.5)
        with pytest.raises(HttpError, match="TimeoutError"):
            asyncio.run(self.request_slow_body(silence_s=5.0, parts=4))
