"""The platform's metadata store, with the faults that it can have."""

import asyncio
import base64
import contextlib
import itertools
import json
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

__all__ = ["Item", "MetadataServer", "StoreCopy", "StoreFaults"]

HISTORY = 2_000
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000  # Of the values; a page ends with the item that exceeds it.
PARTS_PER_S = 20  # Of a response over a slow link.
ERA_HEADER = "Store-Era"
FOREVER_S = 3_600.0
CLOSE_S = 0.1
MIN_WAIT_S = 0.001  # A shorter wait may not move the clock of a virtual event loop.


@dataclass(slots=True)
class Item:
    """One key."""

    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def as_json(self) -> dict[str, Any]:
        """Return the item as the store sends it."""
        value = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "value": value,
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        }


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store at present.

    Attributes:
        down: How calls fail: "busy" (503), "reset", "silent" or "" for not at all.
        refused: Callers for which alone it is down, by IP address.
        delay_s: How much later answers come.
        lose_writes: Whether writes are done and not answered.
        bytes_per_s: How fast answers arrive, 0 for at once.
    """

    down: str = ""
    refused: set[str] = field(default_factory=set)
    delay_s: float = 0.0
    lose_writes: bool = False
    bytes_per_s: int = 0


@dataclass(slots=True)
class StoreCopy:
    """The content of the store at one moment, from which it can be restored."""

    items: dict[str, Item]
    revision: int
    history: list[tuple[int, str, Item | None]]
    floor: int
    leases: dict[int, tuple[float, float]]


class MetadataServer:
    """A store of keys with revisions, leases and watches over HTTP.

    Attributes:
        faults: What is wrong with it.
        calls: How often each call was made.
        era: How often the store was restored from a copy, from 1; each answer names it.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.era = 1
        self.history: deque[tuple[int, str, Item | None]] = deque(maxlen=HISTORY)
        self.floor = 1
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self.runner: web.AppRunner | None = None

    async def serve(self, ip: str, port: int) -> None:
        """Listen."""
        app = web.Application(client_max_size=1 << 22)
        app.add_routes(
            [
                web.get("/kv-key", self.handle(self.get_key)),
                web.get("/kv-range", self.handle(self.get_range)),
                web.get("/kv-watch", self.handle(self.watch)),
                web.post("/kv-txn", self.handle(self.transact)),
                web.post("/kv-lease", self.handle(self.grant)),
                web.post("/kv-keep/{lease}", self.handle(self.keep)),
                web.delete("/kv-lease-end/{lease}", self.handle(self.end_lease)),
            ]
        )
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=CLOSE_S)
        await self.runner.setup()
        await web.TCPSite(self.runner, ip, port).start()

    async def close(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    def handle(self, call):
        """Return the handler of a call, with the present faults."""

        async def handler(request: web.Request) -> web.StreamResponse:
            self.calls[request.path.split("/")[1]] += 1
            await self.fail(request)
            self.end_leases()
            status, body = await call(request)
            headers = {ERA_HEADER: str(self.era)}
            await self.fail(request)
            await asyncio.sleep(self.faults.delay_s)
            if self.faults.lose_writes and request.method == "POST":
                await asyncio.sleep(FOREVER_S)
            response = web.json_response(body, status=status, headers=headers)
            if self.faults.bytes_per_s:
                return await self.send_slowly(request, response)
            return response

        return handler

    async def send_slowly(self, request: web.Request, whole: web.Response) -> web.StreamResponse:
        """Send a response in parts, as over a link of `StoreFaults.bytes_per_s`."""
        response = web.StreamResponse(status=whole.status, headers=whole.headers)
        part_bytes = self.faults.bytes_per_s // PARTS_PER_S
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):  # The caller has given the response up.
            for start in range(0, len(whole.body), part_bytes):
                await response.write(whole.body[start : start + part_bytes])
                await asyncio.sleep(1 / PARTS_PER_S)
            await response.write_eof()
        return response

    async def fail(self, request: web.Request) -> None:
        """Fail as the present faults say."""
        faults = self.faults
        if not faults.down or (faults.refused and request.remote not in faults.refused):
            return
        if faults.down == "busy":
            raise web.HTTPServiceUnavailable(headers={ERA_HEADER: str(self.era)})
        if faults.down == "reset" and request.transport is not None:
            request.transport.abort()
        await asyncio.sleep(FOREVER_S)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key."""
        self.revision += 1
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self.record(key, item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.record(key, None)

    def record(self, key: str, item: Item | None) -> None:
        """Add a change to the history and wake the watches."""
        if len(self.history) == HISTORY:
            self.floor = self.history[0][0]
        self.history.append((self.revision, key, item))
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self) -> None:
        """Forget the history; waiting watches are cut."""
        self.history.clear()
        self.floor = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy of the present content."""
        return StoreCopy(
            dict(self.items), self.revision, list(self.history), self.floor, dict(self.leases)
        )

    def restore(self, copy: StoreCopy) -> None:
        """Lose everything that was written since a copy, and begin the next era."""
        self.era += 1
        self.items = dict(copy.items)
        self.revision = copy.revision
        self.history = deque(copy.history, maxlen=HISTORY)
        self.floor = copy.floor
        self.leases = dict(copy.leases)
        self.changed.set()
        self.changed = asyncio.Event()

    def end_leases(self) -> None:
        """Remove the keys of leases that have ended."""
        now = asyncio.get_running_loop().time()
        ended = {lease for lease, (until, _) in self.leases.items() if until <= now}
        for lease in ended:
            del self.leases[lease]
        for item in [item for item in self.items.values() if item.lease in ended]:
            self.delete(item.key)

    async def get_key(self, request: web.Request) -> tuple[int, Any]:
        """Answer a read of one key."""
        item = self.items.get(request.query["key"])
        if item is None:
            return 404, {}
        return 200, item.as_json() | {"store-revision": self.revision}

    async def get_range(self, request: web.Request) -> tuple[int, Any]:
        """Answer a read of a range with a page that is limited in items and bytes."""
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        found = [self.items[key] for key in keys[:PAGE_ITEMS]]
        ends = itertools.accumulate(len(item.value) for item in found)
        page = found[: 1 + sum(end <= PAGE_BYTES for end in ends)]
        return 200, {
            "items": [item.as_json() for item in page],
            "has-more": len(keys) > len(page),
            "store-revision": self.revision,
        }

    async def watch(self, request: web.Request) -> tuple[int, Any]:
        """Answer a watch once there are events."""
        prefix, after = request.query["prefix"], int(request.query["after"])
        deadline = asyncio.get_running_loop().time() + int(request.query["wait-ms"]) / 1000
        while True:
            if not self.floor <= after <= self.revision:
                return 410, {}
            events = [
                item.as_json() if item else {"key": key, "revision": revision, "deleted": True}
                for revision, key, item in self.history
                if revision > after and key.startswith(prefix)
            ]
            left = deadline - asyncio.get_running_loop().time()
            if events or left < MIN_WAIT_S:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    async def transact(self, request: web.Request) -> tuple[int, Any]:
        """Answer a transaction."""
        body = json.loads(await request.text())
        for row in body["expected-rev"]:
            item = self.items.get(row["key"])
            if (item.revision if item else 0) != row["revision"]:
                return 412, {"items": []}
        for entry in body["puts"]:
            if entry["key"].startswith(("op/", "servers/")):
                return 403, {}
            if entry.get("lease") and entry["lease"] not in self.leases:
                return 404, {}
            self.put(entry["key"], base64.b64decode(entry["value"]), entry.get("lease", 0))
        for key in body["remove"]:
            self.delete(key)
        return 200, {"revision": self.revision}

    async def grant(self, request: web.Request) -> tuple[int, Any]:
        """Answer a request for a lease."""
        ttl_ms = json.loads(await request.text())["ttl-ms"]
        self.next_lease += 1
        until = asyncio.get_running_loop().time() + ttl_ms / 1000
        self.leases[self.next_lease] = (until, ttl_ms / 1000)
        return 200, {"lease": self.next_lease, "ttl-ms": ttl_ms}

    async def keep(self, request: web.Request) -> tuple[int, Any]:
        """Answer a renewal."""
        lease = int(request.match_info["lease"])
        if lease not in self.leases:
            return 404, {}
        _, ttl_s = self.leases[lease]
        self.leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return 200, {"ttl-ms": int(ttl_s * 1000)}

    async def end_lease(self, request: web.Request) -> tuple[int, Any]:
        """Answer the end of a lease."""
        lease = int(request.match_info["lease"])
        if lease in self.leases:
            self.leases[lease] = (0.0, 0.0)
            self.end_leases()
        return 200, {}
