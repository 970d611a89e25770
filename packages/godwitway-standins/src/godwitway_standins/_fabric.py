"""The fabric: sprays callers' packets over the entries and brings answers back."""

from godwitway.addresses import Address
from godwitway.process import DatagramPort

from godwitway_standins._spray import Spray

__all__ = ["Fabric"]

BATCH = 64


class Fabric:
    """Carries IP-in-UDP datagrams between callers and entries.

    Attributes:
        port: Where callers and entries send their datagrams.
        spray: Chooses the entry for a caller's packet.
        services: The packed addresses of services; other packets go to the callers.
        callers: Where answers are sent: the last sender of a caller's packet.
    """

    __slots__ = ("callers", "port", "services", "spray", "sprayed")

    def __init__(self, port: DatagramPort, spray: Spray, services: set[bytes]) -> None:
        self.port = port
        self.spray = spray
        self.services = services
        self.callers: dict[bytes, Address] = {}
        self.sprayed = 0

    async def run(self) -> None:
        """Carry packets for ever."""
        while True:
            await self.port.readable()
            for _ in range(BATCH):
                received = self.port.receive()
                if received is None:
                    break
                self.carry(*received)

    def carry(self, packet: bytes, source: Address) -> None:
        """Carry one packet to an entry or to its caller."""
        destination = packet[16:20]
        if destination in self.services:
            self.callers[packet[12:16]] = source
            entry = self.spray.choose()
            self.sprayed += 1
        else:
            entry = self.callers.get(destination)
        if entry is not None:
            self.port.send(packet, entry)
