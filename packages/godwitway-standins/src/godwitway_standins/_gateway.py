"""The platform stand-in over HTTP: the store in the shape of etcd's JSON gateway."""

import asyncio
import random
from typing import Any

import msgspec
from aiohttp import web
from godwitway.addresses import Address
from godwitway.process import (
    HOSTS_PREFIX,
    CompactedError,
    Compare,
    Delete,
    Get,
    KeyValue,
    LeaseNotFoundError,
    LoopClock,
    Put,
    StoreError,
    WatchEvent,
)
from godwitway.process._etcd import decode_base64, encode_base64

from godwitway_standins._store import MemoryStore

__all__ = ["build_gateway", "serve_platform"]

STORE = web.AppKey("store", MemoryStore)
LIST_LAG_S = 1.0
NOT_FOUND_CODE = 5  # Of gRPC; the gateway repeats it in the body of an error.


def key_text(raw: dict[str, Any]) -> str:
    """Return the key of a request."""
    return decode_base64(raw["key"]).decode()


def write_pair(item: KeyValue) -> dict[str, Any]:
    """Return a key with its value as the gateway writes it."""
    return {
        "key": encode_base64(item.key),
        "value": encode_base64(item.value),
        "mod_revision": str(item.mod_revision),
    }


def read_operation(raw: dict[str, Any]) -> Put | Delete | Get:
    """Return the operation that a request writes."""
    if "request_put" in raw:
        put = raw["request_put"]
        value = decode_base64(put.get("value", ""))
        return Put(key_text(put), value, int(put.get("lease", 0)))
    if "request_delete_range" in raw:
        return Delete(key_text(raw["request_delete_range"]))
    return Get(key_text(raw["request_range"]))


async def post_range(request: web.Request) -> web.Response:
    """Answer a range request."""
    store = request.app[STORE]
    body = await request.json()
    result = await store.range(key_text(body))
    kvs = [write_pair(item) for item in result.items]
    return web.json_response({"header": {"revision": str(result.revision)}, "kvs": kvs})


async def post_txn(request: web.Request) -> web.Response:
    """Answer a transaction."""
    store = request.app[STORE]
    body = await request.json()
    compares = [
        Compare(key_text(raw), int(raw.get("mod_revision", 0))) for raw in body.get("compare", [])
    ]
    then = [read_operation(raw) for raw in body.get("success", [])]
    otherwise = [read_operation(raw) for raw in body.get("failure", [])]
    result = await store.txn(compares, then, otherwise)
    responses = [{"response_range": {"kvs": [write_pair(item)]}} for item in result.found]
    answer = {
        "header": {"revision": str(result.revision)},
        "succeeded": result.succeeded,
        "responses": responses,
    }
    return web.json_response(answer)


async def post_grant(request: web.Request) -> web.Response:
    """Answer a request for a lease."""
    body = await request.json()
    lease = await request.app[STORE].grant_lease(int(body["TTL"]))
    return web.json_response({"ID": str(lease), "TTL": body["TTL"]})


def write_event(event: WatchEvent) -> dict[str, Any]:
    """Return an event as the gateway writes it."""
    pair = write_pair(KeyValue(event.key, event.value or b"", event.mod_revision))
    return {"kv": pair} | ({"type": "DELETE"} if event.value is None else {})


async def post_watch(request: web.Request) -> web.StreamResponse:
    """Stream the changes under a prefix."""
    store = request.app[STORE]
    create = (await request.json())["create_request"]
    response = web.StreamResponse()
    await response.prepare(request)
    try:
        async for events in store.watch(key_text(create), int(create["start_revision"])):
            result = {"events": [write_event(event) for event in events]}
            await response.write(msgspec.json.encode({"result": result}) + b"\n")
    except CompactedError:
        result = {"canceled": True, "compact_revision": str(store.compacted)}
        await response.write(msgspec.json.encode({"result": result}) + b"\n")
    except StoreError:
        await response.write(msgspec.json.encode({"result": {"canceled": True}}) + b"\n")
    except ConnectionResetError:
        return response
    return response


async def put_host(request: web.Request) -> web.Response:
    """Change an entry of the list of hosts, as late as the platform does."""
    store = request.app[STORE]
    state = (await request.read()).decode()
    await asyncio.sleep(LIST_LAG_S)
    revision = store.put_now(HOSTS_PREFIX + request.match_info["ip"], state.encode())
    return web.json_response({"revision": revision})


async def get_hosts(request: web.Request) -> web.Response:
    """Return the list of hosts."""
    items = request.app[STORE].data.values()
    hosts = {
        item.key.removeprefix(HOSTS_PREFIX): item.value.decode()
        for item in items
        if item.key.startswith(HOSTS_PREFIX)
    }
    return web.json_response(hosts)


async def put_faults(request: web.Request) -> web.Response:
    """Change what is wrong with the store."""
    store = request.app[STORE]
    faults = await request.json()
    for name in ("slow_s", "lose_answers", "lose_writes"):
        if name in faults:
            setattr(store.faults, name, faults[name])
    if "down" in faults:
        store.set_down(bool(faults["down"]))
    if faults.get("compact"):
        store.compact()
    return web.json_response({})


@web.middleware
async def answer_store_errors(request: web.Request, handler: Any) -> web.StreamResponse:
    """Answer a failed call as an overloaded or broken store does."""
    try:
        return await handler(request)
    except LeaseNotFoundError as error:
        return web.json_response(
            {"error": f"etcdserver: {error}", "code": NOT_FOUND_CODE}, status=404
        )
    except StoreError as error:
        return web.json_response({"error": str(error)}, status=503)


def build_gateway(store: MemoryStore) -> web.Application:
    """Return the stand-in's application."""
    app = web.Application(middlewares=[answer_store_errors], client_max_size=4 * 1024 * 1024)
    app[STORE] = store
    app.router.add_post("/v3/kv/range", post_range)
    app.router.add_post("/v3/kv/txn", post_txn)
    app.router.add_post("/v3/lease/grant", post_grant)
    app.router.add_post("/v3/watch", post_watch)
    app.router.add_put("/admin/hosts/{ip}", put_host)
    app.router.add_get("/admin/hosts", get_hosts)
    app.router.add_put("/admin/faults", put_faults)
    return app


async def serve_platform(address: Address, seed: int) -> web.AppRunner:
    """Listen for calls of the store; the caller cleans the runner up."""
    store = MemoryStore(LoopClock(), random.Random(seed))
    runner = web.AppRunner(build_gateway(store), access_log=None, shutdown_timeout=0.5)
    await runner.setup()
    await web.TCPSite(runner, *address).start()
    return runner
