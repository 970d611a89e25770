"""A loopback proxy between one host and the store."""

import asyncio

__all__ = ["TcpProxy"]

CHUNK_BYTES = 65_536
FOREVER_S = 3_600.0


class TcpProxy:
    """Passes connections on, or disturbs them.

    Attributes:
        mode: "pass", "delay", "reset", "silent" (nothing passes) or "one_way" (answers are lost).
        delay_s: How much later bytes arrive in mode "delay".
    """

    def __init__(self, listen: tuple[str, int], to: tuple[str, int]) -> None:
        self.listen = listen
        self.to = to
        self.mode = "pass"
        self.delay_s = 0.3
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, *self.listen)

    def close(self) -> None:
        """Stop listening and break all connections off."""
        if self.server is not None:
            self.server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def set_mode(self, mode: str) -> None:
        """Change what happens to bytes; connections that were silenced stay dead."""
        if self.mode in ("silent", "one_way") or mode == "reset":
            self.reset()
        self.mode = mode

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on."""
        self.writers.add(writer)
        try:
            if self.mode == "reset":
                writer.transport.abort()
                return
            there, back = await asyncio.open_connection(*self.to)
            self.writers.add(back)
            try:
                await asyncio.gather(
                    self.pump(reader, back, "silent"), self.pump(there, writer, "one_way")
                )
            finally:
                self.writers.discard(back)
                back.close()
        except (OSError, asyncio.CancelledError):
            return  # One of the ends has gone; the other one is closed below.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, lost_in: str
    ) -> None:
        """Copy bytes in one direction."""
        while data := await source.read(CHUNK_BYTES):
            if self.mode in ("silent", lost_in):
                continue
            if self.mode == "delay":
                await asyncio.sleep(self.delay_s)
            sink.write(data)
            await sink.drain()
        sink.close()
