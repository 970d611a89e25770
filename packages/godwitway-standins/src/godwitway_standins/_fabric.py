"""The fabric: sprays callers' packets over the entries and brings answers back."""

from godwitway.addresses import Address
from godwitway.process import DatagramPort, receive_batches

from godwitway_standins._spray import Spray

__all__ = ["Fabric", "is_cut_caller"]

CUT_CALLERS_EACH = 4


class Fabric:
    """Carries IP-in-UDP datagrams between callers and entries.

    Attributes:
        port: Where callers and entries send their datagrams.
        spray: Chooses the entry for a caller's packet.
        services: The packed addresses of services; other packets go to the callers.
        sides: While a zone is cut off: the sprays of its callers and of all others.
        callers: Where answers are sent: the last sender of a caller's packet.
    """

    __slots__ = ("callers", "port", "services", "sides", "spray", "sprayed")

    def __init__(self, port: DatagramPort, spray: Spray, services: set[bytes]) -> None:
        self.port = port
        self.spray = spray
        self.services = services
        self.callers: dict[bytes, Address] = {}
        self.sides: tuple[Spray, Spray] | None = None
        self.sprayed = 0

    async def run(self) -> None:
        """Carry packets for ever."""
        async for batch in receive_batches(self.port):
            for packet, source in batch:
                self.carry(packet, source)

    def carry(self, packet: bytes, source: Address) -> None:
        """Carry one packet to an entry or to its caller."""
        destination = packet[16:20]
        if destination in self.services:
            self.callers[packet[12:16]] = source
            entry = self.spray_for(packet[12:16]).choose()
            self.sprayed += 1
        else:
            entry = self.callers.get(destination)
        if entry is not None:
            self.port.send(packet, entry)

    def spray_for(self, caller: bytes) -> Spray:
        """Return the spray over the entries that a caller's packets can be handed to."""
        if self.sides is None:
            return self.spray
        return self.sides[0] if is_cut_caller(caller) else self.sides[1]


def is_cut_caller(caller: bytes) -> bool:
    """Whether a caller is in the zone that is cut off: a fixed quarter of them is."""
    return caller[3] % CUT_CALLERS_EACH == 0
