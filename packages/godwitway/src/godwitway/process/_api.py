"""The HTTP resource API that every entry host serves."""

import asyncio
import hmac
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from godwitway.errors import ErrorKind, Problem, response_for
from godwitway.process._config import SERVICES_PREFIX
from godwitway.process._dump import build_dump, build_status
from godwitway.process._host import Host
from godwitway.process._settings import ApiSettings
from godwitway.process._writes import WriteOutcome
from godwitway.store import StoreError
from godwitway.version import Service, Snapshot, check_service

__all__ = ["build_app", "serve_api"]

MAX_BODY_BYTES = 1024 * 1024
HOST_KEY = web.AppKey("host", Host)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def json_response(value: Any, status_code: int = 200) -> web.Response:
    """Return a response with a value encoded as JSON."""
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status_code, content_type="application/json")


def problem_response(problems: list[Problem]) -> web.Response:
    """Return the response for one or more problems; the first one determines the status."""
    errors = [
        {"kind": problem.kind.value, "field": problem.field, "message": problem.message}
        | ({"versions": problem.versions} if problem.versions else {})
        for problem in problems
    ]
    return json_response({"errors": errors}, response_for(problems[0].kind).http_status)


def outcome_response(outcome: WriteOutcome) -> web.Response:
    """Return the response for the outcome of a write."""
    if outcome.is_err():
        return problem_response([outcome.unwrap_err()])
    accepted = outcome.unwrap()
    return json_response({"revision": accepted.revision, "write_id": accepted.write_id})


def service_resource(snapshot: Snapshot, name: str) -> dict[str, Any]:
    """Return the representation of a service in force."""
    return {
        "name": name,
        "version": snapshot.resource_versions[name],
        "service": msgspec.Raw(snapshot.documents[name]),
    }


def expected_version(request: web.Request) -> Result[int, Problem]:
    """Return the resource version that a write expects; 0, the default, for a new service."""
    text = request.query.get("version", "0")
    if not text.isdecimal():
        message = f"expected a whole number, got {text!r}"
        return Err(Problem(ErrorKind.INVALID_FIELD, message, "version"))
    return Ok(int(text))


async def read_service(request: web.Request) -> Result[tuple[Service, bytes], list[Problem]]:
    """Return the service in the body of a request and its JSON document, or all problems."""
    body = await request.read()
    try:
        raw = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        return Err([Problem(ErrorKind.BAD_JSON, f"the body is not JSON: {error}")])
    checked = check_service(raw)
    if checked.is_err():
        return checked
    service = checked.unwrap()
    name = request.match_info["name"]
    if service.name != name:
        message = f"the path says {name!r}, the body says {service.name!r}"
        return Err([Problem(ErrorKind.INVALID_FIELD, message, "name")])
    return Ok((service, msgspec.json.encode(raw)))


async def list_services(request: web.Request) -> web.StreamResponse:
    """Return all services in force, or stream their changes."""
    host = request.app[HOST_KEY]
    if request.query.get("watch"):
        return await watch_services(request, host)
    snapshot = host.node.snapshot
    items = [service_resource(snapshot, name) for name in sorted(snapshot.services)]
    return json_response({"revision": snapshot.revision, "services": items})


async def watch_services(request: web.Request, host: Host) -> web.StreamResponse:
    """Stream the services in force and then each change as JSON lines until disconnected."""
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(request)
    listener = asyncio.Event()
    host.config_sync.listeners[listener] = None
    sent_versions: dict[str, int] = {}
    try:
        while True:
            listener.clear()
            for line in watch_lines_since(host.node.snapshot, sent_versions):
                await response.write(msgspec.json.encode(line) + b"\n")
            await listener.wait()
    except ConnectionResetError:
        return response
    finally:
        host.config_sync.listeners.pop(listener, None)


def watch_lines_since(snapshot: Snapshot, sent_versions: dict[str, int]) -> list[dict[str, Any]]:
    """Return the lines for the changes since the last call, and update `sent_versions`.

    Args:
        snapshot: The configuration in force.
        sent_versions: The resource version last sent for each service.
    """
    deleted = sorted(sent_versions.keys() - snapshot.resource_versions.keys())
    changed = sorted(
        name
        for name, version in snapshot.resource_versions.items()
        if sent_versions.get(name) != version
    )
    lines = [{"type": "deleted", "revision": snapshot.revision, "name": name} for name in deleted]
    lines += [
        {"type": "put", "revision": snapshot.revision, **service_resource(snapshot, name)}
        for name in changed
    ]
    sent_versions.clear()
    sent_versions.update(snapshot.resource_versions)
    return lines


async def get_service(request: web.Request) -> web.Response:
    """Return one service in force."""
    snapshot = request.app[HOST_KEY].node.snapshot
    name = request.match_info["name"]
    if name not in snapshot.services:
        return problem_response([Problem(ErrorKind.NOT_FOUND, f"there is no service {name!r}")])
    return json_response(service_resource(snapshot, name))


async def put_service(request: web.Request) -> web.Response:
    """Create or replace a service."""
    expected = expected_version(request)
    if expected.is_err():
        return problem_response([expected.unwrap_err()])
    parsed = await read_service(request)
    if parsed.is_err():
        return problem_response(parsed.unwrap_err())
    service, document = parsed.unwrap()
    writer = request.app[HOST_KEY].service_writer
    return outcome_response(await writer.put(service, document, expected.unwrap()))


async def delete_service(request: web.Request) -> web.Response:
    """Delete a service."""
    expected = expected_version(request)
    if expected.is_err():
        return problem_response([expected.unwrap_err()])
    writer = request.app[HOST_KEY].service_writer
    return outcome_response(await writer.delete(request.match_info["name"], expected.unwrap()))


async def get_stored_service(request: web.Request) -> web.Response:
    """Return a service as it is in the store, which may not be in force on this host yet."""
    host = request.app[HOST_KEY]
    name = request.match_info["name"]
    try:
        found = await host.service_writer.read_with_claims(name, {})
    except StoreError as error:
        return problem_response([Problem(ErrorKind.STORE_UNAVAILABLE, str(error))])
    item = found.get(SERVICES_PREFIX + name)
    if item is None:
        return problem_response([Problem(ErrorKind.NOT_FOUND, f"there is no service {name!r}")])
    resource = {"name": name, "version": item.mod_revision, "service": msgspec.Raw(item.value)}
    return json_response(resource)


async def get_write(request: web.Request) -> web.Response:
    """Return the outcome of a write whose response was lost.

    A write without a record is marked as abandoned, see `ServiceWriter.resolve_outcome`.
    """
    return outcome_response(
        await request.app[HOST_KEY].service_writer.resolve_outcome(request.match_info["id"])
    )


async def get_status(request: web.Request) -> web.Response:
    """Return the status of this host and the revision in force at each known host."""
    host = request.app[HOST_KEY]
    return json_response(build_status(host.node, host.flows, host.config_sync))


async def get_dump(request: web.Request) -> web.Response:
    """Return a dump of this process, with the flows that the query selects."""
    host = request.app[HOST_KEY]
    flow_filter = request.query.get("flow", "")
    return json_response(build_dump(host.node, host.flows, host.config_sync, flow_filter))


async def get_metrics(request: web.Request) -> web.Response:
    """Return the metrics as JSON, or in the Prometheus text format when requested."""
    metrics = request.app[HOST_KEY].node.metrics
    if request.query.get("format") == "text" or "text/plain" in request.headers.get("Accept", ""):
        return web.Response(body=metrics.text_exposition(), content_type="text/plain")
    return json_response(metrics.as_json())


def require_token(token: str | None) -> Any:
    """Return a middleware that requires a bearer token; with None it lets every request pass."""

    @web.middleware
    async def check(request: web.Request, handler: Handler) -> web.StreamResponse:
        given = request.headers.get("Authorization", "")
        if token is not None and not hmac.compare_digest(
            given.encode(), f"Bearer {token}".encode()
        ):
            message = "a valid bearer token is required"
            return problem_response([Problem(ErrorKind.UNAUTHORIZED, message, "Authorization")])
        return await handler(request)

    return check


@web.middleware
async def convert_http_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Report unknown paths and oversized bodies in the format of the other errors."""
    try:
        return await handler(request)
    except web.HTTPNotFound:
        return problem_response([Problem(ErrorKind.NOT_FOUND, f"no such path: {request.path}")])
    except web.HTTPRequestEntityTooLarge:
        message = f"the body is larger than {MAX_BODY_BYTES} bytes"
        return problem_response([Problem(ErrorKind.INVALID_FIELD, message, "body")])


def build_app(host: Host) -> web.Application:
    """Return the web application that serves the API of a host."""
    token = host.node.settings.api.token
    app = web.Application(
        client_max_size=MAX_BODY_BYTES, middlewares=[convert_http_errors, require_token(token)]
    )
    app[HOST_KEY] = host
    app.router.add_get("/v1/services", list_services)
    app.router.add_get("/v1/services/{name}", get_service)
    app.router.add_put("/v1/services/{name}", put_service)
    app.router.add_delete("/v1/services/{name}", delete_service)
    app.router.add_get("/v1/stored/{name}", get_stored_service)
    app.router.add_get("/v1/writes/{id}", get_write)
    app.router.add_get("/v1/status", get_status)
    app.router.add_get("/v1/dump", get_dump)
    app.router.add_get("/v1/metrics", get_metrics)
    return app


def tls_context(settings: ApiSettings) -> ssl.SSLContext | None:
    """Return the TLS context, or None when the settings name no certificate."""
    if settings.certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context


async def serve_api(host: Host) -> web.AppRunner:
    """Start to serve the API; the caller must call `cleanup` on the returned runner."""
    settings = host.node.settings.api
    runner = web.AppRunner(build_app(host), access_log=None)
    await runner.setup()
    address, port = settings.address
    site = web.TCPSite(runner, address, port, ssl_context=tls_context(settings))
    await site.start()
    return runner
