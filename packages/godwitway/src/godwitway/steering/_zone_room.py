"""How much more the targets of other availability zones can take, as leaders of these zones report.

The load that this answers: the demand of one zone exceeds what its targets take, while those of
others have room, for example when demand rises at different times in each zone, or a zone is
evacuated. A host of a large fleet hears of loads only from its own zone. Without more it takes all
other zones' targets for idle, and sends flows to a zone that is full itself.
"""

from collections.abc import Iterable, Iterator
from heapq import nsmallest

import xxhash

from godwitway.steering._model import Target

__all__ = ["ROOM_VALID_S", "RoomEntry", "ZoneRooms", "hash_service", "measure_room"]

# Leaders report twice a second, and a zone's hosts hear of it over two more hosts.
ROOM_VALID_S = 2.5
AGE_STEP_S = 0.1  # The unit of ages in reports.
MAX_ROOM = 0x7FFF
# In a report; 24 entries of 11 bytes to 23 hosts twice a second are 12 KB/s at a leader.
MAX_REPORTED = 24

# Hash of the zone, hash of the service, room in requests, and age in steps of `AGE_STEP_S`.
RoomEntry = tuple[int, int, int, int]


def hash_service(service: str) -> int:
    """Return the 32-bit hash that identifies a service in reports."""
    return xxhash.xxh32_intdigest(service.encode())


def measure_room(slots: float, requests: float) -> int:
    """Return how many more requests targets can take before one waits; negative if some wait.

    >>> measure_room(40.0, 12.4), measure_room(40.0, 55.0)
    (28, -15)
    """
    return max(-MAX_ROOM, min(MAX_ROOM, round(slots - requests)))


class ZoneRooms:
    """The room of zones by service. Times are in seconds of the process's clock.

    Attributes:
        rooms: The room in requests, and when it was measured, by the hashes of zone and service.
    """

    __slots__ = ("rooms",)

    def __init__(self) -> None:
        self.rooms: dict[tuple[int, int], tuple[int, float]] = {}

    def update(self, entries: Iterable[RoomEntry], now: float) -> None:
        """Take over the entries of a report that are newer than what is known."""
        for zone_hash, service_hash, room, age in entries:
            measured_at = now - age * AGE_STEP_S
            known = self.rooms.get((zone_hash, service_hash))
            if known is None or known[1] < measured_at:
                self.rooms[zone_hash, service_hash] = room, measured_at

    def expire(self, now: float) -> None:
        """Remove what is older than `ROOM_VALID_S`."""
        self.rooms = {
            key: (room, at) for key, (room, at) in self.rooms.items() if now - at <= ROOM_VALID_S
        }

    def entries(self, now: float) -> Iterator[RoomEntry]:
        """Yield all rooms that are still valid, with their age."""
        for (zone_hash, service_hash), (room, measured_at) in self.rooms.items():
            if now - measured_at <= ROOM_VALID_S:
                yield zone_hash, service_hash, room, round((now - measured_at) / AGE_STEP_S)

    def entries_to_report(self, now: float) -> list[RoomEntry]:
        """Return the `MAX_REPORTED` entries with the least room."""
        return nsmallest(MAX_REPORTED, self.entries(now), key=lambda entry: entry[2])

    def requests_per_slot(
        self, zone_hash: int, service_hash: int, targets: list[Target], now: float
    ) -> float | None:
        """Return the mean requests in progress for each slot of a zone's targets of a service.

        Args:
            zone_hash: The hash of the zone.
            service_hash: The hash of the service.
            targets: The zone's targets of the service.
            now: The time in seconds.

        Returns:
            None if the zone has reported nothing for `ROOM_VALID_S`, or has no targets.
        """
        known = self.rooms.get((zone_hash, service_hash))
        if known is None or now - known[1] > ROOM_VALID_S:
            return None
        slots = sum(target.slots for target in targets)
        return max(0.0, 1.0 - known[0] / slots) if slots else None
