"""The tasks that exchange load reports and ask targets for their health."""

import asyncio
from collections import defaultdict
from typing import Protocol

import aiohttp
import msgspec

from godwitway.addresses import Address, format_address
from godwitway.connection import OwnedTarget
from godwitway.process._flows import Flows
from godwitway.process._loads import LoadReport
from godwitway.process._node import Node
from godwitway.request import DatagramType, Redirect

__all__ = ["EndpointReport", "HealthClient", "HttpHealthClient", "TargetMonitor"]

LOADS_PERIOD_S = 0.1
SMALL_CHANGE_PERIODS = 20
LARGE_CHANGE_PART = 0.02
LARGE_CHANGE_LEAST = 1
HEALTH_PERIOD_S = 1.0
HEALTH_TIMEOUT_S = 1.0


class EndpointReport(msgspec.Struct):
    """What a target's health endpoint says.

    Attributes:
        ok: Whether it calls itself healthy.
        draining: Whether it says that it is leaving.
    """

    ok: bool
    draining: bool = False


class HealthClient(Protocol):
    """Asks health endpoints."""

    async def fetch(self, address: Address) -> EndpointReport | None:
        """Return what an endpoint says, or None when it does not answer."""


class HttpHealthClient:
    """Asks health endpoints over HTTP."""

    __slots__ = ("session",)

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def fetch(self, address: Address) -> EndpointReport | None:
        """Return what an endpoint says, or None when it does not answer."""
        if self.session is None:
            timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
            self.session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self.session.get(f"http://{format_address(address)}/") as response:
                return msgspec.json.decode(await response.read(), type=EndpointReport)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None

    async def close(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()


class TargetMonitor:
    """Exchanges loads with the owners of the same services and asks targets for health.

    Attributes:
        node: The host.
        flows: The flows of the owned targets.
        source: Asks health endpoints.
        tasks: The health task of each owned target.
    """

    __slots__ = ("flows", "node", "sent", "source", "tasks", "tick")

    def __init__(self, node: Node, flows: Flows, source: HealthClient) -> None:
        self.node = node
        self.flows = flows
        self.source = source
        self.tick = 0
        self.sent: dict[bytes, tuple[list[LoadReport], int]] = {}
        self.tasks: dict[bytes, asyncio.Task[None]] = {}

    # Loads

    async def run_load_reports(self) -> None:
        """Tell the owners of the same services' targets the loads of the own ones."""
        while True:
            await self.node.clock.sleep(LOADS_PERIOD_S)
            self.tick += 1
            for host, reports in self.reports_by_host().items():
                self.send_loads(host, reports)

    def reports_by_host(self) -> dict[bytes, list[LoadReport]]:
        """Return the reports that each other owner is to get."""
        now = self.node.now()
        result: defaultdict[bytes, list[LoadReport]] = defaultdict(list)
        for id_, owned in self.flows.owned.items():
            bad = owned.health.is_endpoint_unhealthy(now)
            report = LoadReport(id_, owned.usage.connections, bad)
            owners = {
                self.node.directory.owner_of(target.id)
                for target in owned.usage.service.targets
                if target.id != id_
            }
            for owner in sorted(owner for owner in owners if owner not in (None, self.node.id)):
                result[owner].append(report)
        return result

    def send_loads(self, host: bytes, reports: list[LoadReport]) -> None:
        """Send reports to a host at once after a large change, else now and then."""
        member = self.node.members.get(host)
        before, tick = self.sent.get(host, ([], -SMALL_CHANGE_PERIODS))
        due = self.tick - tick >= SMALL_CHANGE_PERIODS
        if member is None or not (due or changed_much(before, reports)):
            return
        self.sent[host] = (reports, self.tick)
        body = msgspec.msgpack.encode(reports)
        self.node.metrics.count("control_bytes_sent", "loads", len(body) + 60)
        self.node.send_datagram(Redirect(type=DatagramType.LOADS), body, member.address)

    # Health

    async def run_health_checks(self) -> None:
        """Keep one health task for each owned target that has an endpoint."""
        while True:
            wanted = {
                id_: owned
                for id_, owned in self.flows.owned.items()
                if owned.usage.target.health is not None
            }
            for id_ in sorted(self.tasks.keys() - wanted.keys()):
                self.tasks.pop(id_).cancel()
            for id_, owned in wanted.items():
                if id_ not in self.tasks:
                    self.tasks[id_] = asyncio.ensure_future(self.watch_target(id_, owned))
            await self.node.clock.sleep(HEALTH_PERIOD_S / 2)

    async def watch_target(self, target: bytes, owned: OwnedTarget) -> None:
        """Ask one target's endpoint again and again while the target is owned."""
        while self.flows.owned.get(target) is owned:
            address = owned.usage.target.health
            if address is not None:
                self.take_report(owned, await self.source.fetch(address))
            await self.node.clock.sleep(HEALTH_PERIOD_S)

    def take_report(self, owned: OwnedTarget, report: EndpointReport | None) -> None:
        """Take over what an endpoint said; one that fell silent counts as bad."""
        now = self.node.now()
        health = owned.health
        if report is None:
            ok = None if health.endpoint_ok is None else False
            health.record_endpoint_report(ok, False, now)
        else:
            health.record_endpoint_report(report.ok, report.draining, now)
        service = owned.usage.service
        trusted = not self.flows.loads.are_most_endpoints_bad(service, self.flows.owned, now)
        if trusted != health.trust_endpoint:
            self.node.journal.event("endpoint_trust", service=service.name, trusted=trusted)
        health.trust_endpoint = trusted


def changed_much(before: list[LoadReport], reports: list[LoadReport]) -> bool:
    """Whether a target's load differs from the last report by more than a small part."""
    known = {report.target: report.connections for report in before}
    return any(
        abs(report.connections - known.get(report.target, 0))
        > max(LARGE_CHANGE_LEAST, LARGE_CHANGE_PART * report.connections)
        for report in reports
    )
