"""Runs an entry host with sockets, the store, the resource API and signal handlers."""

import asyncio
import gc
import random
import signal

from godwitway.process import (
    EtcdStore,
    Host,
    HostDependencies,
    HttpHealthClient,
    LoopClock,
    Metrics,
    NngTransport,
    Settings,
    UdpPort,
    serve_api,
)

__all__ = ["run_host"]

# Flow records form no cycles, so that frequent garbage collections would only cause pauses.
GC_THRESHOLDS = (50_000, 20, 50)


async def run_host(settings: Settings) -> None:
    """Run a host until a planned stop is complete, then close everything that it uses."""
    gc.set_threshold(*GC_THRESHOLDS)
    metrics = Metrics()
    store = EtcdStore(settings.store, metrics)
    health_client = HttpHealthClient()
    dependencies = HostDependencies(
        ingress_port=UdpPort(settings.door),
        peer_port=UdpPort(settings.peer),
        transport=NngTransport(settings.control),
        store=store,
        health_client=health_client,
    )
    host = Host(settings, dependencies, LoopClock(), random.Random(), metrics)
    runner = await serve_api(host)
    add_signal_handlers(host)
    try:
        await host.run()
    finally:
        await runner.cleanup()
        await store.close()
        await health_client.close()
        dependencies.ingress_port.close()
        dependencies.peer_port.close()
        dependencies.transport.close()


def add_signal_handlers(host: Host) -> None:
    """Start a planned stop on the first SIGTERM or SIGINT; ignore further ones."""
    loop = asyncio.get_running_loop()
    stop_tasks: list[asyncio.Task[None]] = []

    def start_stop() -> None:
        if not stop_tasks:
            stop_tasks.append(asyncio.ensure_future(host.stop()))

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, start_stop)
