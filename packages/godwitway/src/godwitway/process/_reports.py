"""Load reports to the owners of other targets, and health checks of owned targets."""

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
from godwitway.request import DatagramHeader, DatagramType

__all__ = ["EndpointReport", "HealthClient", "HttpHealthClient", "TargetMonitor"]

LOAD_REPORT_PERIOD_S = 0.1
REPORT_REFRESH_PERIODS = 20  # Unchanged loads are sent again after so many report periods.
LARGE_CHANGE_FRACTION = 0.02
LARGE_CHANGE_MIN_CONNECTIONS = 1
HEALTH_PERIOD_S = 1.0
HEALTH_TIMEOUT_S = 1.0


class EndpointReport(msgspec.Struct):
    """The response of a health endpoint.

    Attributes:
        ok: Whether the target reports itself healthy.
        draining: Whether it reports that it is about to stop.
    """

    ok: bool
    draining: bool = False


class HealthClient(Protocol):
    """Queries health endpoints."""

    async def fetch(self, address: Address) -> EndpointReport | None:
        """Return the report of an endpoint, or None when no valid one arrives in time."""


class HttpHealthClient:
    """Queries health endpoints over HTTP."""

    __slots__ = ("session",)

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession | None = None

    async def fetch(self, address: Address) -> EndpointReport | None:
        """Return the report of an endpoint, or None when no valid one arrives in time."""
        if self.session is None:
            timeout = aiohttp.ClientTimeout(total=HEALTH_TIMEOUT_S)
            self.session = aiohttp.ClientSession(timeout=timeout)
        try:
            async with self.session.get(f"http://{format_address(address)}/") as response:
                return msgspec.json.decode(await response.read(), type=EndpointReport)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return None

    async def close(self) -> None:
        """Close the HTTP session if it was opened."""
        if self.session is not None:
            await self.session.close()


class TargetMonitor:
    """Sends the loads of owned targets to other owners and checks the health of owned targets.

    Attributes:
        node: The host.
        flows: The flows of the owned targets.
        health_client: Queries health endpoints.
        tick: The number of the current load report period.
        last_sent: The reports last sent to each host and the period in which they were sent.
        tasks: The health check task of each owned target, by target id.
    """

    __slots__ = ("flows", "health_client", "last_sent", "node", "tasks", "tick")

    def __init__(self, node: Node, flows: Flows, health_client: HealthClient) -> None:
        self.node = node
        self.flows = flows
        self.health_client = health_client
        self.tick = 0
        self.last_sent: dict[bytes, tuple[list[LoadReport], int]] = {}
        self.tasks: dict[bytes, asyncio.Task[None]] = {}

    # Loads

    async def run_load_reports(self) -> None:
        """Report the loads of owned targets to other owners each period; runs until cancelled."""
        while True:
            await self.node.clock.sleep(LOAD_REPORT_PERIOD_S)
            self.tick += 1
            for host_id, reports in self.reports_by_host().items():
                self.send_loads(host_id, reports)

    def reports_by_host(self) -> dict[bytes, list[LoadReport]]:
        """Return the reports for each host that owns another target of the same service."""
        now = self.node.now()
        result: defaultdict[bytes, list[LoadReport]] = defaultdict(list)
        for id_, owned in self.flows.owned.items():
            is_unhealthy = owned.health.is_endpoint_unhealthy(now)
            report = LoadReport(id_, owned.usage.connections, is_unhealthy)
            owners = {
                self.node.directory.owner_of(target.id)
                for target in owned.usage.service.targets
                if target.id != id_
            }
            for owner in sorted(owner for owner in owners if owner not in (None, self.node.id)):
                result[owner].append(report)
        return result

    def send_loads(self, host_id: bytes, reports: list[LoadReport]) -> None:
        """Send reports to a host after a large change or when the refresh interval has passed."""
        member = self.node.members.get(host_id)
        before, tick = self.last_sent.get(host_id, ([], -REPORT_REFRESH_PERIODS))
        is_due = self.tick - tick >= REPORT_REFRESH_PERIODS
        if member is None or not (is_due or has_large_change(before, reports)):
            return
        self.last_sent[host_id] = (reports, self.tick)
        body = msgspec.msgpack.encode(reports)
        # 60 bytes stand for the IP, UDP and datagram headers.
        self.node.metrics.count("control_bytes_sent", "loads", len(body) + 60)
        self.node.send_datagram(DatagramHeader(type=DatagramType.LOADS), body, member.address)

    # Health

    async def run_health_checks(self) -> None:
        """Keep one health check task for each owned target that has a health endpoint."""
        while True:
            checked = {
                id_: owned
                for id_, owned in self.flows.owned.items()
                if owned.usage.target.health is not None
            }
            for id_ in sorted(self.tasks.keys() - checked.keys()):
                self.tasks.pop(id_).cancel()
            for id_, owned in checked.items():
                if id_ not in self.tasks:
                    self.tasks[id_] = asyncio.ensure_future(self.poll_target_health(id_, owned))
            await self.node.clock.sleep(HEALTH_PERIOD_S / 2)

    async def poll_target_health(self, target: bytes, owned: OwnedTarget) -> None:
        """Query the endpoint of a target each period while the target is owned."""
        while self.flows.owned.get(target) is owned:
            address = owned.usage.target.health
            if address is not None:
                self.apply_health_report(owned, await self.health_client.fetch(address))
            await self.node.clock.sleep(HEALTH_PERIOD_S)

    def apply_health_report(self, owned: OwnedTarget, report: EndpointReport | None) -> None:
        """Apply the report of an endpoint; one that stops answering counts as unhealthy.

        Endpoints of a service are not trusted while they report most of its targets unhealthy.
        """
        now = self.node.now()
        health = owned.health
        if report is None:
            ok = None if health.endpoint_ok is None else False
            health.record_endpoint_report(ok, False, now)
        else:
            health.record_endpoint_report(report.ok, report.draining, now)
        service = owned.usage.service
        is_trusted = not self.flows.loads.are_most_endpoints_unhealthy(
            service, self.flows.owned, now
        )
        if is_trusted != health.trust_endpoint:
            self.node.journal.event("endpoint_trust", service=service.name, trusted=is_trusted)
        health.trust_endpoint = is_trusted


def has_large_change(before: list[LoadReport], reports: list[LoadReport]) -> bool:
    """Return whether the load of any target has changed much since the last report.

    Much is more than one connection and more than 2 % of the target's connections.
    """
    known = {report.target: report.connections for report in before}
    return any(
        abs(report.connections - known.get(report.target, 0))
        > max(LARGE_CHANGE_MIN_CONNECTIONS, LARGE_CHANGE_FRACTION * report.connections)
        for report in reports
    )
