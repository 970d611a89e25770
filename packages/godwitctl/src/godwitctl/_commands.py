"""Implements the commands that need several calls of the API, apart from parsing and printing."""

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
    """Read services from a JSON file with comments.

    The file contains one service, a list of services or an object with the key ``services``. Only
    the names of services are checked.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err([Problem(ErrorKind.BAD_JSON, f"cannot read {path}: {error}")])
    parsed = load_jsonc(text)
    if parsed.is_err():
        return parsed
    document = parsed.unwrap()
    if isinstance(document, dict) and "services" in document:
        document = document["services"]
    services = document if isinstance(document, list) else [document]
    for index, service in enumerate(services):
        if not isinstance(service, dict) or not isinstance(service.get("name"), str):
            field = f"services[{index}].name"
            return Err([Problem(ErrorKind.INVALID_FIELD, "is required", field)])
    return Ok(services)


async def get_stored_service(client: ApiClient, name: str) -> ApiResult:
    """Return a service as stored, which may not be in force yet; keys: "service", "version"."""
    return await client.call("GET", f"/v1/stored/{name}")


async def apply_service(client: ApiClient, service: dict[str, Any]) -> ApiResult:
    """Create or replace one service, unless the store already contains it unchanged.

    Returns:
        The service's "name", the "result" (created, changed or unchanged) and the "revision" of
        the store at which it was last written.
    """
    name = service["name"]
    stored = await get_stored_service(client, name)
    version = 0  # The write then succeeds only if the service does not exist.
    if stored.is_ok():
        if stored.unwrap()["service"] == service:
            return Ok({"name": name, "result": "unchanged", "revision": stored.unwrap()["version"]})
        version = stored.unwrap()["version"]
    elif stored.unwrap_err()[0].kind != ErrorKind.NOT_FOUND:
        return stored
    written = await client.call("PUT", f"/v1/services/{name}", service, version=str(version))
    if written.is_err():
        return written
    result = "changed" if version else "created"
    return Ok({"name": name, "result": result, "revision": written.unwrap()["revision"]})


async def apply_file(client: ApiClient, path: Path) -> ApiResult:
    """Apply the services of a file in order; stops at the first one that fails.

    Returns:
        One row for each service; see `apply_service`.
    """
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
    """Change the state of one target of a service.

    If another client changes the service at the same time, the change is applied to the new
    version, up to `MAX_CONFLICT_ATTEMPTS` times.

    Args:
        client: The client of the API.
        name: The service's name.
        target: The target's address and port.
        state: The new state, "active" or "draining".

    Returns:
        The API's response to the write.
    """
    written: ApiResult = Err([])
    for _ in range(MAX_CONFLICT_ATTEMPTS):
        stored = await get_stored_service(client, name)
        if stored.is_err():
            return stored
        resource = stored.unwrap()
        targets = [entry for entry in resource["service"]["targets"] if entry["address"] == target]
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
    """Return the hosts of a status at which an older revision than the given one is in force."""
    return [host for host in status["hosts"] if host["revision"] < revision]


async def wait_in_force(client: ApiClient, revision: int, timeout_s: float) -> ApiResult:
    """Wait until a revision is in force at all hosts that are joining, alive or suspected.

    Returns:
        The "revision" and the number of all known "hosts", also those that were not waited for;
        a problem that names the lagging hosts if it is not in force after `timeout_s` seconds.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
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
