"""What each command does, apart from parsing and printing."""

import asyncio
from pathlib import Path
from typing import Any

from godwitway.checks import load_jsonc
from godwitway.errors import ErrorKind, Problem
from result import Err, Ok, Result

from godwitctl._client import ApiClient

__all__ = ["apply_file", "lagging_hosts", "read_services", "set_target_state", "wait_in_force"]

MAX_CONFLICT_ATTEMPTS = 5
POLL_PERIOD_S = 0.2

ApiResult = Result[Any, list[Problem]]


def read_services(path: Path) -> Result[list[dict[str, Any]], list[Problem]]:
    """Read one service, a list of services or an object with ``services`` from a file."""
    try:
        document = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Problem(ErrorKind.BAD_JSON, f"cannot read {path}: {error}")])
    parsed = load_jsonc(document)
    if parsed.is_err():
        return parsed
    raw = parsed.unwrap()
    if isinstance(raw, dict) and "services" in raw:
        raw = raw["services"]
    services = raw if isinstance(raw, list) else [raw]
    for index, service in enumerate(services):
        if not isinstance(service, dict) or not isinstance(service.get("name"), str):
            field = f"services[{index}].name"
            return Err([Problem(ErrorKind.INVALID_FIELD, "is required", field)])
    return Ok(services)


async def get_stored_service(client: ApiClient, name: str) -> ApiResult:
    """Return a service with its version as the store holds it."""
    return await client.call("GET", f"/v1/stored/{name}")


async def apply_service(client: ApiClient, service: dict[str, Any]) -> ApiResult:
    """Create or replace one service, unless it is already as wanted."""
    name = service["name"]
    found = await get_stored_service(client, name)
    version = 0
    if found.is_ok():
        if found.unwrap()["service"] == service:
            return Ok({"name": name, "result": "unchanged", "revision": found.unwrap()["version"]})
        version = found.unwrap()["version"]
    elif found.unwrap_err()[0].kind != ErrorKind.NOT_FOUND:
        return found
    written = await client.call("PUT", f"/v1/services/{name}", service, version=str(version))
    if written.is_err():
        return written
    result = "changed" if version else "created"
    return Ok({"name": name, "result": result, "revision": written.unwrap()["revision"]})


async def apply_file(client: ApiClient, path: Path) -> ApiResult:
    """Create or replace all services of a file, in order."""
    services = read_services(path)
    if services.is_err():
        return services
    rows = []
    for service in services.unwrap():
        applied = await apply_service(client, service)
        if applied.is_err():
            return applied
        rows.append(applied.unwrap())
    return Ok(rows)


async def set_target_state(client: ApiClient, name: str, target: str, state: str) -> ApiResult:
    """Change the state of one target; concurrent changes of the service are built upon."""
    written: ApiResult = Err([])
    for _ in range(MAX_CONFLICT_ATTEMPTS):
        found = await get_stored_service(client, name)
        if found.is_err():
            return found
        resource = found.unwrap()
        targets = [raw for raw in resource["service"]["targets"] if raw["address"] == target]
        if not targets:
            message = f"service {name!r} has no target {target!r}"
            return Err([Problem(ErrorKind.NOT_FOUND, message, "target")])
        targets[0]["state"] = state
        path = f"/v1/services/{name}"
        version = str(resource["version"])
        written = await client.call("PUT", path, resource["service"], version=version)
        if written.is_ok() or written.unwrap_err()[0].kind != ErrorKind.CONFLICT:
            break
    return written


def lagging_hosts(status: dict[str, Any], revision: int) -> list[dict[str, Any]]:
    """Return the hosts at which a revision is not in force."""
    return [host for host in status["hosts"] if host["revision"] < revision]


async def wait_in_force(client: ApiClient, revision: int, seconds: float) -> ApiResult:
    """Wait until a revision is in force at all hosts that answer."""
    deadline = asyncio.get_running_loop().time() + seconds
    while True:
        status = await client.call("GET", "/v1/status")
        if status.is_err():
            return status
        lagging = [
            host
            for host in lagging_hosts(status.unwrap(), revision)
            if host["state"] in ("joining", "alive", "suspect")
        ]
        if not lagging:
            return Ok({"revision": revision, "hosts": len(status.unwrap()["hosts"])})
        if asyncio.get_running_loop().time() >= deadline:
            names = ", ".join(host["name"] for host in lagging)
            message = f"revision {revision} is not in force at {names}"
            return Err([Problem(ErrorKind.TIMED_OUT, message)])
        await asyncio.sleep(POLL_PERIOD_S)
