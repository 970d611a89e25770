"""Transactions of the platform's key-value store and the client interface for entry hosts."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from godwitway.store import KeyValue, RangeResult, WatchEvent

__all__ = ["Compare", "Delete", "Get", "Operation", "Put", "Store", "TxnResult"]


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction: the revision of the last change of a key.

    A `mod_revision` of 0 means that the key is absent.
    """

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a key; the store deletes it with the lease unless `lease` is 0."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key."""

    key: str


@dataclass(frozen=True, slots=True)
class Get:
    """Reads a key."""

    key: str


@dataclass(frozen=True, slots=True)
class TxnResult:
    """The outcome of a transaction.

    Attributes:
        succeeded: Whether all compares held.
        revision: The store revision after the transaction.
        found: The existing keys among those that the executed operations read.
    """

    succeeded: bool
    revision: int
    found: list[KeyValue] = field(default_factory=list)


Operation = Put | Delete | Get


class Store(Protocol):
    """The store calls that an entry host makes; each may raise `StoreError`."""

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix at one revision."""

    async def txn(
        self, compares: list[Compare], then: list[Operation], otherwise: list[Operation]
    ) -> TxnResult:
        """Execute `then` atomically when all compares hold, else `otherwise`.

        After a `StoreError` it is unknown whether the operations were executed.

        Raises:
            LeaseNotFoundError: A `Put` names a lease that the store does not have. Nothing was
                executed.
        """

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease with a time to live in seconds and return its id."""

    def watch(self, prefix: str, revision: int) -> AsyncIterator[list[WatchEvent]]:
        """Yield the changes under a prefix, the first revision included.

        The iterator ends when the store closes the stream.

        Raises:
            CompactedError: The store no longer has the changes from that revision.
            StoreError: The store cancelled the watch, or the connection failed.
        """
