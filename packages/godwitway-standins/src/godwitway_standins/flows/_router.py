"""The platform's routers: which host gets a caller's packet."""

import asyncio
import socket
from dataclasses import dataclass

import xxhash

__all__ = ["Router"]

PROBE_S = 0.5
PROBE_TIMEOUT_S = 0.4
MISSES = 2


@dataclass(slots=True)
class RoutedHost:
    """A host as the routers see it."""

    zone: str
    packets: tuple[str, int]
    ready: tuple[str, int]
    misses: int = MISSES

    def in_rotation(self) -> bool:
        """Whether the host gets packets."""
        return self.misses < MISSES


class Router:
    """Hands callers' packets to hosts by a steady hash of the flow.

    Attributes:
        hosts: All hosts by name.
    """

    def __init__(self) -> None:
        self.hosts: dict[str, RoutedHost] = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setblocking(False)

    def choose(self, zone: str, flow: bytes) -> RoutedHost | None:
        """Return the host that gets a packet."""
        near = [host for host in self.hosts.values() if host.zone == zone]
        fit = [host for host in near if host.in_rotation()]
        if not fit:
            fit = [host for host in self.hosts.values() if host.in_rotation()] or near
        elif 2 * len(fit) < len(near):
            fit = near
        return max(
            fit,
            key=lambda host: xxhash.xxh64_intdigest(flow + repr(host.packets).encode()),
            default=None,
        )

    def send(self, zone: str, flow: bytes, raw: bytes) -> None:
        """Send a caller's packet to its host."""
        host = self.choose(zone, flow)
        if host is not None:
            self.send_to(host, raw)

    def send_to(self, host: RoutedHost, raw: bytes) -> None:
        """Send a packet to a host."""
        try:
            self.socket.sendto(raw, host.packets)
        except OSError:
            return  # A full buffer loses packets like any link.

    async def run(self) -> None:
        """Probe the hosts for as long as the platform runs."""
        while True:
            await asyncio.gather(*(self.probe(host) for host in list(self.hosts.values())))
            await asyncio.sleep(PROBE_S)

    async def probe(self, host: RoutedHost) -> None:
        """Ask one host whether it is ready."""
        ready = False
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*host.ready)
                try:
                    writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    ready = b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            ready = False
        host.misses = 0 if ready else min(MISSES, host.misses + 1)
