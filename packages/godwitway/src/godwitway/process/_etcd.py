"""A client of the store's JSON gateway, in the shape of etcd v3."""

import base64
import json
from collections.abc import AsyncIterator
from functools import singledispatch
from typing import Any

import aiohttp

from godwitway.addresses import Address, format_address
from godwitway.metrics import Metrics
from godwitway.process._store import Compare, Delete, Get, Operation, Put, TxnResult
from godwitway.store import CompactedError, KeyValue, RangeResult, StoreError, WatchEvent

__all__ = ["EtcdStore", "decode_base64", "encode_base64", "prefix_range_end"]

CALL_TIMEOUT_S = 2.0


def encode_base64(value: str | bytes) -> str:
    """Return a key or value as the gateway writes it."""
    data = value.encode() if isinstance(value, str) else value
    return base64.b64encode(data).decode()


def decode_base64(value: str) -> bytes:
    """Return a key or value that the gateway wrote."""
    return base64.b64decode(value)


def prefix_range_end(prefix: str) -> str:
    """Return the first key after all keys with a prefix.

    >>> prefix_range_end("a/")
    'a0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def key_value(raw: dict[str, Any]) -> KeyValue:
    """Build a key-value pair from the gateway's JSON."""
    return KeyValue(
        decode_base64(raw["key"]).decode(),
        decode_base64(raw.get("value", "")),
        int(raw["mod_revision"]),
    )


@singledispatch
def write_operation(operation: Operation) -> dict[str, Any]:
    """Return an operation of a transaction as the gateway expects it.

    Raises:
        TypeError: The operation is none that a transaction has.
    """
    raise TypeError(f"{type(operation).__name__} is no operation of a transaction")


@write_operation.register
def write_put(operation: Put) -> dict[str, Any]:
    """Return a put as the gateway expects it."""
    put = {"key": encode_base64(operation.key), "value": encode_base64(operation.value)}
    return {"request_put": put | ({"lease": str(operation.lease)} if operation.lease else {})}


@write_operation.register
def write_delete(operation: Delete) -> dict[str, Any]:
    """Return a deletion as the gateway expects it."""
    return {"request_delete_range": {"key": encode_base64(operation.key)}}


@write_operation.register
def write_get(operation: Get) -> dict[str, Any]:
    """Return a read as the gateway expects it."""
    return {"request_range": {"key": encode_base64(operation.key)}}


def write_compare(compare: Compare) -> dict[str, Any]:
    """Return a compare of a transaction as the gateway expects it."""
    return {
        "key": encode_base64(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


class EtcdStore:
    """Calls the store over HTTP and goes to its next address after a failure.

    Attributes:
        addresses: The store's addresses.
        metrics: Every call is counted here.
    """

    __slots__ = ("addresses", "metrics", "position", "session")

    def __init__(self, addresses: list[Address], metrics: Metrics) -> None:
        self.addresses = addresses
        self.metrics = metrics
        self.position = 0
        self.session: aiohttp.ClientSession | None = None

    def url(self, path: str) -> str:
        """Return the URL of a call at the present address."""
        if not self.addresses:
            raise StoreError("no store address is set")
        address = self.addresses[self.position % len(self.addresses)]
        return f"http://{format_address(address)}/v3/{path}"

    def client(self) -> aiohttp.ClientSession:
        """Return the HTTP session."""
        if self.session is None:
            self.session = aiohttp.ClientSession()
        return self.session

    async def close(self) -> None:
        """Close the HTTP session."""
        if self.session is not None:
            await self.session.close()

    async def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post a request and return the answer."""
        self.metrics.count("store_calls", path)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.client().post(self.url(path), json=body, timeout=timeout) as response:
                if response.status != 200:
                    raise StoreError(f"{path}: HTTP status {response.status}")
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.position += 1
            self.metrics.count("store_failures", path)
            raise StoreError(f"{path}: {type(error).__name__}") from error

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix."""
        body = {"key": encode_base64(prefix), "range_end": encode_base64(prefix_range_end(prefix))}
        answer = await self.call("kv/range", body)
        items = [key_value(raw) for raw in answer.get("kvs", [])]
        return RangeResult(int(answer["header"]["revision"]), items)

    async def txn(
        self, compares: list[Compare], then: list[Operation], otherwise: list[Operation]
    ) -> TxnResult:
        """Do one list of operations when all compares hold, and the other one when not."""
        body = {
            "compare": [write_compare(compare) for compare in compares],
            "success": [write_operation(operation) for operation in then],
            "failure": [write_operation(operation) for operation in otherwise],
        }
        answer = await self.call("kv/txn", body)
        found = [
            key_value(raw)
            for response in answer.get("responses", [])
            for raw in response.get("response_range", {}).get("kvs", [])
        ]
        revision = int(answer["header"]["revision"])
        return TxnResult(bool(answer.get("succeeded", False)), revision, found)

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease."""
        answer = await self.call("lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[list[WatchEvent]]:
        """Yield the changes under a prefix from a revision on."""
        self.metrics.count("store_calls", "watch")
        create = {
            "key": encode_base64(prefix),
            "range_end": encode_base64(prefix_range_end(prefix)),
            "start_revision": str(revision),
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        body = {"create_request": create}
        try:
            async with self.client().post(self.url("watch"), json=body, timeout=timeout) as answer:
                if answer.status != 200:
                    raise StoreError(f"watch: HTTP status {answer.status}")
                async for line in answer.content:
                    yield watch_events(json.loads(line))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.position += 1
            self.metrics.count("store_failures", "watch")
            raise StoreError(f"watch: {type(error).__name__}") from error


def watch_events(raw: dict[str, Any]) -> list[WatchEvent]:
    """Build the events of one line of a watch."""
    result = raw["result"]
    if int(result.get("compact_revision", 0)):
        raise CompactedError("the watch's revision is compacted")
    if result.get("canceled"):
        raise StoreError("the store ended the watch")
    return [watch_event(event) for event in result.get("events", [])]


def watch_event(raw: dict[str, Any]) -> WatchEvent:
    """Build one event of a watch."""
    found = key_value(raw["kv"])
    value = None if raw.get("type") == "DELETE" else found.value
    return WatchEvent(found.key, value, found.mod_revision)
