"""One trace on real sockets and on virtual time."""

import asyncio
import random

import msgspec
from godwitway.process import (
    REVISION_MARKER_KEY,
    SERVICES_PREFIX,
    ApiSettings,
    Host,
    HostDependencies,
    LoopClock,
    NngTransport,
    Settings,
    UdpPort,
)
from godwitway.version import check_service
from test_api import ANY_PORT, KEY, SilentHealth, free_tcp_port

from godwitway_standins._deployments import KINGSTON
from godwitway_standins._fabric import Fabric
from godwitway_standins._make import make_trace
from godwitway_standins._outcome import judge
from godwitway_standins._player import Player
from godwitway_standins._replay import replay
from godwitway_standins._server import BackendServer
from godwitway_standins._spray import Spray
from godwitway_standins._store import MemoryStore
from godwitway_standins._trace import Outcomes

SECONDS = 4.0
ENTRIES = 3
RECOVERY_S = 10.2


def short_trace():
    """Return a short trace of all kinds."""
    trace = make_trace("short", KINGSTON, 6, SECONDS, [], Outcomes(), held=20)
    trace.flows = trace.flows[:120]
    return trace


async def play_on_sockets(trace):
    """Play a trace through three hosts on real sockets and judge it."""
    rng = random.Random(6)
    clock = LoopClock()
    store = MemoryStore(clock, rng)
    spray = Spray([], rng)
    servers, jobs = [], []
    for raw in KINGSTON.services:
        copy = {**raw, "targets": []}
        service = check_service(raw).unwrap()
        closes = {
            kind.port for kind in service.kinds if KINGSTON.work_of(service.name, kind.name).closes
        }
        for target in raw["targets"]:
            port = UdpPort(ANY_PORT)
            server = BackendServer(port, spray, clock, service.address, 3, closes)
            servers.append(server)
            jobs.append(server.run())
            copy["targets"].append(
                {"address": f"127.0.0.1:{port.address[1]}", "zone": target["zone"]}
            )
        store.put_now(SERVICES_PREFIX + raw["name"], msgspec.json.encode(copy))
    store.put_now(REVISION_MARKER_KEY, b"x")
    services = {check_service(raw).unwrap().address for raw in KINGSTON.services}
    fabric = Fabric(UdpPort(ANY_PORT), spray, services)
    jobs.append(fabric.run())
    peers = [UdpPort(ANY_PORT) for _ in range(ENTRIES)]
    hosts = []
    for number, peer in enumerate(peers):
        control = ("127.0.0.1", free_tcp_port())
        door = UdpPort(ANY_PORT)
        settings = Settings(
            f"entry-{number + 1}",
            KINGSTON.zones[number],
            door.address,
            peer.address,
            control,
            ApiSettings(("127.0.0.1", 1), None, None, None),
            [fabric.port.address],
            [],
            [other.address for other in peers],
            [KEY],
            15_000,
            5.0,
            100_000,
            2,
            1.0,
        )
        links = HostDependencies(door, peer, NngTransport(control), store, SilentHealth())
        host = Host(settings, links, clock, random.Random(number), sink=lambda line: None)
        host.start()
        spray.add(door.address)
        hosts.append(host)
    tasks = [asyncio.ensure_future(job) for job in jobs]
    await asyncio.sleep(RECOVERY_S)
    player = Player(UdpPort(ANY_PORT), fabric.port.address, clock)
    await player.play(trace.flows)
    for host in hosts:
        host.cancel_tasks()
        host.node.transport.close()
    for task in tasks:
        task.cancel()
    return judge(player.results, servers, {"bid"}, 1.0, KINGSTON.service_s())


def safety(outcome) -> dict[str, int]:
    """Return the counts that must not depend on timing."""
    names = (
        "flows",
        "opened",
        "broken_flows",
        "answers",
        "incomplete_answers",
        "duplicate_runs",
        "wrong_service",
        "untrue_refusals",
    )
    return {name: getattr(outcome, name) for name in names}


class TestRealSockets:
    """Tests of one trace on both kinds of sockets."""

    def test_the_outcome_is_the_same(self):
        """A trace has the same outcome on real sockets as on virtual time."""
        trace = short_trace()
        real = asyncio.run(play_on_sockets(trace))
        assert safety(real) == safety(replay(trace))
        assert real.broken_flows == 0
