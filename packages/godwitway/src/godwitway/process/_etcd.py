"""A client of the platform's key-value store over the JSON gateway of etcd v3."""

import base64
import json
from collections.abc import AsyncIterator
from functools import singledispatch
from typing import Any

import aiohttp

from godwitway.addresses import Address, format_address
from godwitway.metrics import Metrics
from godwitway.process._store import Compare, Delete, Get, Operation, Put, TxnResult
from godwitway.store import (
    CompactedError,
    KeyValue,
    LeaseNotFoundError,
    RangeResult,
    StoreError,
    WatchEvent,
)

__all__ = ["EtcdStore", "decode_base64", "encode_base64", "prefix_range_end"]

CALL_TIMEOUT_S = 2.0
HTTP_NOT_FOUND = 404
LEASE_NOT_FOUND = "requested lease not found"  # Part of the error of the gateway.


def encode_base64(value: str | bytes) -> str:
    """Return a key or value in base64, as the gateway expects it."""
    data = value.encode() if isinstance(value, str) else value
    return base64.b64encode(data).decode()


def decode_base64(value: str) -> bytes:
    """Return the bytes of a key or value that the gateway sent in base64."""
    return base64.b64decode(value)


def prefix_range_end(prefix: str) -> str:
    """Return the exclusive end of the range of all keys with a prefix.

    >>> prefix_range_end("a/")
    'a0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def parse_key_value(raw: dict[str, Any]) -> KeyValue:
    """Parse a key-value pair in the JSON of the gateway.

    Bytes of a key that are not UTF-8 are replaced by escapes, so that such a key has no meaning and
    the others can be used.
    """
    return KeyValue(
        decode_base64(raw["key"]).decode(errors="backslashreplace"),
        decode_base64(raw.get("value", "")),
        int(raw["mod_revision"]),
    )


@singledispatch
def encode_operation(operation: Operation) -> dict[str, Any]:
    """Return an operation of a transaction in the JSON of the gateway.

    Raises:
        TypeError: The type is not an operation of a transaction.
    """
    raise TypeError(f"{type(operation).__name__} is not an operation of a transaction")


@encode_operation.register
def encode_put(operation: Put) -> dict[str, Any]:
    """Return a put in the JSON of the gateway."""
    put = {"key": encode_base64(operation.key), "value": encode_base64(operation.value)}
    return {"request_put": put | ({"lease": str(operation.lease)} if operation.lease else {})}


@encode_operation.register
def encode_delete(operation: Delete) -> dict[str, Any]:
    """Return a deletion in the JSON of the gateway."""
    return {"request_delete_range": {"key": encode_base64(operation.key)}}


@encode_operation.register
def encode_get(operation: Get) -> dict[str, Any]:
    """Return a read of one key in the JSON of the gateway."""
    return {"request_range": {"key": encode_base64(operation.key)}}


def encode_compare(compare: Compare) -> dict[str, Any]:
    """Return a compare of a transaction in the JSON of the gateway."""
    return {
        "key": encode_base64(compare.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(compare.mod_revision),
    }


class EtcdStore:
    """Calls the store over HTTP.

    It switches to the next address after a connection error, a timeout or an undecodable response,
    but not after an HTTP status other than 200.

    Attributes:
        addresses: The addresses of the store, tried in order.
        metrics: Counts calls by path, and failures other than HTTP statuses.
        address_index: Selects the current address, modulo the number of addresses.
        session: The HTTP session, opened on first use.
    """

    __slots__ = ("address_index", "addresses", "metrics", "session")

    def __init__(self, addresses: list[Address], metrics: Metrics) -> None:
        self.addresses = addresses
        self.metrics = metrics
        self.address_index = 0
        self.session: aiohttp.ClientSession | None = None

    def call_url(self, path: str) -> str:
        """Return the URL of a call at the current address.

        Raises:
            StoreError: No address is configured.
        """
        if not self.addresses:
            raise StoreError("no store address is set")
        address = self.addresses[self.address_index % len(self.addresses)]
        return f"http://{format_address(address)}/v3/{path}"

    def http_session(self) -> aiohttp.ClientSession:
        """Return the HTTP session, opening it on first use."""
        if self.session is None:
            self.session = aiohttp.ClientSession()
        return self.session

    async def close(self) -> None:
        """Close the HTTP session if it was opened."""
        if self.session is not None:
            await self.session.close()

    async def call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Post a request and return the decoded response.

        Raises:
            LeaseNotFoundError: The store does not have the lease in the request.
            StoreError: No usable response arrived within `CALL_TIMEOUT_S`.
        """
        self.metrics.count("store_calls", path)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.http_session().post(
                self.call_url(path), json=body, timeout=timeout
            ) as response:
                if response.status == HTTP_NOT_FOUND and LEASE_NOT_FOUND in await response.text():
                    raise LeaseNotFoundError(f"{path}: {LEASE_NOT_FOUND}")
                if response.status != 200:
                    raise StoreError(f"{path}: HTTP status {response.status}")
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.address_index += 1
            self.metrics.count("store_failures", path)
            raise StoreError(f"{path}: {type(error).__name__}") from error

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix at one revision."""
        body = {"key": encode_base64(prefix), "range_end": encode_base64(prefix_range_end(prefix))}
        answer = await self.call("kv/range", body)
        items = [parse_key_value(raw) for raw in answer.get("kvs", [])]
        return RangeResult(int(answer["header"]["revision"]), items)

    async def txn(
        self, compares: list[Compare], then: list[Operation], otherwise: list[Operation]
    ) -> TxnResult:
        """Execute `then` atomically when all compares hold, else `otherwise`."""
        body = {
            "compare": [encode_compare(compare) for compare in compares],
            "success": [encode_operation(operation) for operation in then],
            "failure": [encode_operation(operation) for operation in otherwise],
        }
        answer = await self.call("kv/txn", body)
        found = [
            parse_key_value(raw)
            for response in answer.get("responses", [])
            for raw in response.get("response_range", {}).get("kvs", [])
        ]
        revision = int(answer["header"]["revision"])
        return TxnResult(bool(answer.get("succeeded", False)), revision, found)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease with a time to live in seconds and return its id."""
        answer = await self.call("lease/grant", {"TTL": str(ttl_s)})
        return int(answer["ID"])

    async def watch(self, prefix: str, revision: int) -> AsyncIterator[list[WatchEvent]]:
        """Yield the changes under a prefix, the first revision included; see `Store.watch`."""
        self.metrics.count("store_calls", "watch")
        create = {
            "key": encode_base64(prefix),
            "range_end": encode_base64(prefix_range_end(prefix)),
            "start_revision": str(revision),
        }
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        body = {"create_request": create}
        try:
            async with self.http_session().post(
                self.call_url("watch"), json=body, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise StoreError(f"watch: HTTP status {response.status}")
                async for line in response.content:
                    yield parse_watch_line(json.loads(line))
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self.address_index += 1
            self.metrics.count("store_failures", "watch")
            raise StoreError(f"watch: {type(error).__name__}") from error


def parse_watch_line(raw: dict[str, Any]) -> list[WatchEvent]:
    """Parse one line of a watch response.

    Raises:
        CompactedError: The start revision is compacted.
        StoreError: The store cancelled the watch.
    """
    result = raw["result"]
    if int(result.get("compact_revision", 0)):
        raise CompactedError("the start revision of the watch is compacted")
    if result.get("canceled"):
        raise StoreError("the store ended the watch")
    return [parse_watch_event(event) for event in result.get("events", [])]


def parse_watch_event(raw: dict[str, Any]) -> WatchEvent:
    """Parse one event of a watch."""
    found = parse_key_value(raw["kv"])
    value = None if raw.get("type") == "DELETE" else found.value
    return WatchEvent(found.key, value, found.mod_revision)
