"""Golden files of whole sessions: packets in, decisions and packets out."""

import os
from pathlib import Path
from typing import Any

import msgspec
import pytest
from godwitway.request import flow_key, format_key, reverse_flow_key, tcp_flags
from worlds import in_world

from godwitway_standins._events import run_event
from godwitway_standins._make import Maker
from godwitway_standins._trace import parse_event
from godwitway_standins._world import World

GOLDEN = Path(__file__).parent / "golden"
WRITE = bool(os.environ.get("GODWITWAY_WRITE_GOLDEN"))
SESSIONS = {
    "quiet": [],
    "stop-entry": ["stop-entry:entry-2@0.6"],
    "kill-entry": ["kill-entry:entry-2@0.6"],
    "drain": ["drain:live-auction/1@0.5"],
    "shed": ["shed-target:live-auction/0@0.1+2"],
}
FLAG_NAMES = {1: "F", 2: "S", 4: "R", 8: "P", 16: "A"}


class Tap:
    """Notes every packet that passes an entry's door."""

    def __init__(self, world: World, lines: list[dict[str, Any]]) -> None:
        self.world = world
        self.lines = lines
        self.addresses = {service.address for service in self.services()}
        original = world.network.carry
        doors = {entry.door: entry.name for entry in world.entries.values()}

        def carry(source, data, to):
            if source.address in doors:
                self.note(doors[source.address], "out", data)
            elif to in doors:
                self.note(doors[to], "in", data)
            original(source, data, to)

        world.network.carry = carry

    def services(self):
        """Return the services of the world."""
        return [self.world.service(name) for name in self.world.documents]

    def note(self, host: str, way: str, packet: bytes) -> None:
        """Note a packet."""
        key = flow_key(packet)
        if key is None:
            text = "icmp"
        elif key[0:4] in self.addresses:
            text = "answer " + format_key(reverse_flow_key(key))
        else:
            text = format_key(key)
        flags = "".join(name for bit, name in FLAG_NAMES.items() if tcp_flags(packet) & bit)
        time = round(self.world.clock.now(), 4)
        line = {"t": time, "host": host, "packet": way, "flow": text, "bytes": len(packet)}
        self.lines.append(line | ({"flags": flags} if flags else {}))


def session(events: list[str]) -> list[dict[str, Any]]:
    """Return what one small session brings about."""
    lines: list[dict[str, Any]] = []

    async def job(world: World) -> None:
        del world.log[:]
        world.log = lines
        for entry in world.entries.values():
            entry.host.node.journal.sink = lines.append
        Tap(world, lines)
        maker = Maker(world.deployment, 4, 6.0)
        work = {item.kind: item for item in world.deployment.work}
        flows = [
            maker.tcp(work["board"], 0.0, [0.02, 1.5, 4.5], 4.8),
            maker.tcp(work["board"], 0.1, [0.02, 4.0], 4.4),
            maker.tcp(work["lots"], 0.2, [0.0], 0.05),
            maker.udp(work["bid"], 0.3),
            maker.udp(work["bid"], 0.65),
        ]
        start = world.clock.now()
        for text in events:
            world.spawn(run_event(world, parse_event(text), start))
        await world.player.play(flows)

    in_world(job)
    return lines


class TestGolden:
    """Tests of whole sessions."""

    @pytest.mark.parametrize("name", SESSIONS)
    def test_session_is_as_recorded(self, name):
        """A session's packets and decisions are those of its golden file."""
        lines = b"".join(msgspec.json.encode(line) + b"\n" for line in session(SESSIONS[name]))
        path = GOLDEN / f"{name}.jsonl"
        if WRITE:
            GOLDEN.mkdir(exist_ok=True)
            path.write_bytes(lines)
        assert path.read_bytes() == lines
