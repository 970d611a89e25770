"""Tests of the resource API and the command line over HTTP on ephemeral ports."""

import asyncio
import json
import random
import socket

import aiohttp
import msgspec
import pytest
from aiohttp import web
from godwitctl._client import ApiClient
from godwitctl._commands import apply_file, read_services, set_target_state, wait_in_force
from godwitway.errors import ErrorKind
from godwitway.process import (
    ApiSettings,
    EndpointReport,
    EtcdStore,
    Host,
    HostDependencies,
    LoopClock,
    Metrics,
    NngTransport,
    Settings,
    UdpPort,
    build_app,
)

from godwitway_standins._deployments import KINGSTON
from godwitway_standins._gateway import build_gateway
from godwitway_standins._store import MemoryStore

ANY_PORT = ("127.0.0.1", 0)
TOKEN = "a-secret-token"
KEY = bytes(range(32))


class SilentHealth:
    """Health endpoints that never answer."""

    async def fetch(self, address) -> EndpointReport | None:
        """Return no report."""
        return None


async def listen(app: web.Application) -> tuple[web.AppRunner, tuple[str, int]]:
    """Serve an application on an ephemeral port, and return its runner and address."""
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, *ANY_PORT).start()
    return runner, runner.addresses[0][:2]


def free_tcp_port() -> int:
    """Return a TCP port that was free."""
    with socket.socket() as probe:
        probe.bind(ANY_PORT)
        return probe.getsockname()[1]


class RealHost:
    """A host on real sockets with an in-memory store behind the HTTP gateway."""

    def __init__(self, token: str | None = None) -> None:
        self.token = token

    async def __aenter__(self) -> "RealHost":
        """Start the gateway, the host and its API, and wait until the host serves."""
        self.store = MemoryStore(LoopClock(), random.Random(1))
        self.gateway, address = await listen(build_gateway(self.store))
        control = ("127.0.0.1", free_tcp_port())
        api = ApiSettings(("127.0.0.1", 1), self.token, None, None)
        settings = Settings(
            "entry-1",
            "kingston-a",
            ANY_PORT,
            ANY_PORT,
            control,
            api,
            [("127.0.0.1", 9)],
            [address],
            [],
            [KEY],
            15_000,
            5.0,
            100_000,
            2,
            0.1,
        )
        metrics = Metrics()
        self.etcd = EtcdStore([address], metrics)
        self.dependencies = HostDependencies(
            UdpPort(ANY_PORT), UdpPort(ANY_PORT), NngTransport(control), self.etcd, SilentHealth()
        )
        self.host = Host(settings, self.dependencies, LoopClock(), random.Random(1), metrics)
        self.host.node.journal.sink = lambda line: None
        self.host.start()
        self.runner, self.api = await listen(build_app(self.host))
        for _ in range(100):
            if self.host.config_sync.is_watching and self.host.node.joined:
                break
            await asyncio.sleep(0.02)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop the host and the gateway, and close all sockets."""
        self.host.cancel_tasks()
        await self.runner.cleanup()
        await self.etcd.close()
        await self.gateway.cleanup()
        self.dependencies.ingress_port.close()
        self.dependencies.peer_port.close()
        self.dependencies.transport.close()

    def client(self, token: str = "") -> ApiClient:
        """Return a client of the API."""
        return ApiClient(f"{self.api[0]}:{self.api[1]}", token, "")


def with_host(job, token: str | None = None):
    """Run a job with a started host and a client of its API."""

    async def run():
        async with RealHost(token) as real, real.client(token or "") as client:
            return await job(real, client)

    return asyncio.run(run())


def document(name: str) -> dict:
    """Return a fresh copy of a Kingston service."""
    found = next(raw for raw in KINGSTON.services if raw["name"] == name)
    return msgspec.json.decode(msgspec.json.encode(found))


@pytest.fixture
def kingston(tmp_path):
    """Return a file with both Kingston services."""
    path = tmp_path / "kingston.jsonc"
    path.write_text("// both services\n" + json.dumps({"services": KINGSTON.services}))
    return path


class TestApply:
    """Tests of applying services, draining targets and waiting for a revision."""

    def test_applied_services_come_in_force(self, kingston):
        """Applied services come into force, and applying them again changes nothing."""

        async def job(real, client):
            rows = (await apply_file(client, kingston)).unwrap()
            assert [row["result"] for row in rows] == ["created", "created"]
            revision = rows[-1]["revision"]
            assert (await wait_in_force(client, revision, 5.0)).unwrap()["hosts"] == 1
            listed = (await client.call("GET", "/v1/services")).unwrap()
            assert [item["name"] for item in listed["services"]] == ["catalogue", "live-auction"]
            again = (await apply_file(client, kingston)).unwrap()
            assert [row["result"] for row in again] == ["unchanged", "unchanged"]

        with_host(job)

    def test_drain_is_in_force(self, kingston):
        """A drained target takes no new flows, and an unknown one is reported."""

        async def job(real, client):
            await apply_file(client, kingston)
            done = (
                await set_target_state(client, "catalogue", "10.2.0.2:9000", "draining")
            ).unwrap()
            await wait_in_force(client, done["revision"], 5.0)
            owned = (await client.call("GET", "/v1/dump")).unwrap()["owned"]
            takes_new = {raw["target"]: raw["takes_new"] for raw in owned}
            assert takes_new["10.2.0.2:9000"] is False
            assert takes_new["10.2.0.1:9000"] is True
            missing = await set_target_state(client, "catalogue", "10.2.0.9:9000", "draining")
            assert missing.unwrap_err()[0].field == "target"

        with_host(job)

    def test_a_change_is_accepted_although_the_store_has_lost_the_hosts_lease(self, kingston):
        """The gateway's answer says that nothing was done."""

        async def job(real, client):
            await apply_file(client, kingston)
            real.store.leases.clear()
            done = await set_target_state(client, "catalogue", "10.2.0.2:9000", "draining")
            assert done.is_ok()

        with_host(job)

    def test_timeout_names_lagging_hosts(self):
        """Waiting for a revision that never comes times out and names the hosts that lack it."""

        async def job(real, client):
            problem = (await wait_in_force(client, 10_000, 0.3)).unwrap_err()[0]
            assert problem.kind == ErrorKind.TIMED_OUT
            assert "entry-1" in problem.message

        with_host(job)

    def test_unreadable_files(self, tmp_path):
        """A service without a name in a file is reported with its field."""
        path = tmp_path / "x.jsonc"
        path.write_text('[{"address": "10.0.0.1"}]')
        assert read_services(path).unwrap_err()[0].field == "services[0].name"


class TestBadInput:
    """Tests of requests that the API rejects."""

    @pytest.mark.parametrize(
        ("body", "status", "field"),
        [
            (b"{", 400, ""),
            (b"\xff\xfe", 400, ""),
            (b"[]", 422, ""),
            (b'{"name": 3}', 422, "name"),
            (b'{"name": "catalogue", "adress": "10.0.0.1"}', 422, "adress"),
        ],
    )
    def test_is_answered_with_the_field(self, body, status, field):
        """An invalid body is answered with a 4xx status and the field, and nothing is written."""

        async def job(real, client):
            url = client.base_url + "/v1/services/catalogue"
            async with aiohttp.ClientSession() as session, session.put(url, data=body) as answer:
                errors = (await answer.json())["errors"]
                assert answer.status == status
                assert field in [error["field"] for error in errors]
            assert real.store.revision == 1

        with_host(job)

    def test_conflicts_show_both_versions(self, kingston):
        """A write on an old version gets status 409 with the expected and the current version."""

        async def job(real, client):
            rows = (await apply_file(client, kingston)).unwrap()
            body = document("live-auction")
            answer = await client.call("PUT", "/v1/services/live-auction", body, version="1")
            assert answer.unwrap_err()[0].versions == (1, rows[0]["revision"])

        with_host(job)

    def test_claimed_target(self, kingston):
        """A service with a target of another service is rejected with the field."""

        async def job(real, client):
            await apply_file(client, kingston)
            body = document("catalogue") | {"name": "other-service", "address": "10.10.0.9"}
            answer = await client.call("PUT", "/v1/services/other-service", body, version="0")
            assert answer.unwrap_err()[0].field == "targets[0].address"

        with_host(job)

    def test_wrong_version_and_path(self):
        """A version that is not a number and an unknown path are reported as such."""

        async def job(real, client):
            answer = await client.call("PUT", "/v1/services/x", {}, version="one")
            assert answer.unwrap_err()[0].field == "version"
            assert (await client.call("GET", "/v2")).unwrap_err()[0].kind == ErrorKind.NOT_FOUND

        with_host(job)


class TestProtection:
    """Tests of the bearer token."""

    def test_token_is_required_and_never_shown(self):
        """A request without the token is rejected, and a dump contains neither token nor key."""

        async def job(real, client):
            async with real.client("wrong") as unauthorized:
                response = await unauthorized.call("GET", "/v1/status")
                assert response.unwrap_err()[0].kind == ErrorKind.UNAUTHORIZED
            dump = msgspec.json.encode((await client.call("GET", "/v1/dump")).unwrap())
            assert TOKEN.encode() not in dump
            assert KEY.hex().encode() not in dump

        with_host(job, TOKEN)


class TestWatchAndMetrics:
    """Tests of watches and metrics."""

    def test_watch_shows_changes_in_order(self, kingston):
        """A watch sends the services in force and then each change."""

        async def job(real, client):
            lines = client.stream_lines("/v1/services", watch="1")
            applying = asyncio.ensure_future(apply_file(client, kingston))
            shown = [await anext(lines) for _ in range(2)]
            await applying
            assert [line["name"] for line in shown] == ["live-auction", "catalogue"]
            assert shown[0]["revision"] < shown[1]["revision"]
            await client.call("DELETE", "/v1/services/catalogue", version=str(shown[1]["version"]))
            deletion = await anext(lines)
            assert (deletion["type"], deletion["name"]) == ("deleted", "catalogue")
            await lines.aclose()

        with_host(job)

    def test_metrics_in_both_forms(self):
        """Metrics are served as JSON and in the text format."""

        async def job(real, client):
            found = (await client.call("GET", "/v1/metrics")).unwrap()
            assert found["counters"]["store_calls.watch"] == 2
            url = client.base_url + "/v1/metrics?format=text"
            async with aiohttp.ClientSession() as session, session.get(url) as answer:
                text = await answer.text()
            assert 'godwitway_store_calls_total{kind="watch"} 2.0' in text

        with_host(job)
