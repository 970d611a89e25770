"""The stand-ins as processes on real sockets."""

import asyncio
import random
from pathlib import Path

from aiohttp import web
from godwitctl._commands import read_services
from godwitway.addresses import Address
from godwitway.process import LoopClock, UdpPort
from godwitway.version import Service, check_service

from godwitway_standins._deployments import DEPLOYMENTS
from godwitway_standins._fabric import Fabric
from godwitway_standins._platform_list import follow_list
from godwitway_standins._player import Player
from godwitway_standins._server import BackendServer
from godwitway_standins._spray import Spray
from godwitway_standins._trace import Trace

__all__ = ["play_real", "run_fabric", "run_servers", "serve_forever"]


async def serve_forever() -> None:
    """Wait until the process is ended."""
    await asyncio.Event().wait()


def load_services(path: Path) -> list[Service]:
    """Return the services of a file.

    Raises:
        ValueError: The file has an error.
    """
    found = read_services(path)
    if found.is_err():
        raise ValueError("; ".join(str(problem) for problem in found.unwrap_err()))
    services = []
    for raw in found.unwrap():
        checked = check_service(raw)
        if checked.is_err():
            raise ValueError("; ".join(str(problem) for problem in checked.unwrap_err()))
        services.append(checked.unwrap())
    return services


async def run_fabric(
    address: Address, entries: list[Address], platform: Address, services: Path, seed: int
) -> None:
    """Run the fabric."""
    spray = Spray(list(entries), random.Random(seed))
    addresses = {service.address for service in load_services(services)}
    fabric = Fabric(UdpPort(address), spray, addresses)
    await asyncio.gather(fabric.run(), follow_list(spray, entries, platform))


def server_state(servers: list[BackendServer]) -> dict[str, object]:
    """Return what servers ran, for the judge of a trace."""
    return {
        "runs": {str(id_): count for server in servers for id_, count in server.runs.items()},
        "repeated": sum(count > 1 for server in servers for count in server.runs.values()),
        "foreign": sum(server.foreign for server in servers),
        "connections": [server.count_open() for server in servers],
        "peak_connections": [len(server.opened) for server in servers],
    }


async def health_endpoint(server: BackendServer, address: Address) -> web.AppRunner:
    """Serve a server's health and its state over HTTP."""

    async def get_health(request: web.Request) -> web.Response:
        return web.json_response({"ok": server.healthy, "draining": server.draining})

    async def get_state(request: web.Request) -> web.Response:
        return web.json_response(server_state([server]))

    app = web.Application()
    app.router.add_get("/", get_health)
    app.router.add_get("/state", get_state)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    await web.TCPSite(runner, *address).start()
    return runner


async def run_servers(
    services: Path, zone: str, deployment: str, entries: list[Address], platform: Address, seed: int
) -> None:
    """Run the backend servers of one zone."""
    clock = LoopClock()
    spray = Spray(list(entries), random.Random(seed))
    jobs = [follow_list(spray, entries, platform)]
    for service in load_services(services):
        work = DEPLOYMENTS[deployment]
        closes = {k.port for k in service.kinds if work.work_of(service.name, k.name).closes}
        for target in service.targets:
            if target.zone != zone:
                continue
            port = UdpPort(target.address)
            server = BackendServer(port, spray, clock, service.address, target.slots, closes)
            jobs.append(server.run())
            if target.health is not None:
                await health_endpoint(server, target.health)
    await asyncio.gather(*jobs)


async def play_real(trace: Trace, address: Address, fabric: Address) -> Player:
    """Play a trace through a fabric on real sockets."""
    player = Player(UdpPort(address), fabric, LoopClock())
    await player.play(trace.flows)
    return player
