"""Transactions of the platform's key-value service, and the service as hosts use it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from godwitway.store import KeyValue, RangeResult, WatchEvent

__all__ = ["Compare", "Delete", "Get", "Operation", "Put", "Store", "TxnResult"]


@dataclass(frozen=True, slots=True)
class Compare:
    """Demands that a key was last changed at a revision; 0 for a key that does not exist."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a key, optionally bound to a lease."""

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
    """The outcome of a transaction: whether the compares held, and what was read."""

    succeeded: bool
    revision: int
    found: list[KeyValue] = field(default_factory=list)


Operation = Put | Delete | Get


class Store(Protocol):
    """The calls of the store; each may raise `StoreError`."""

    async def range(self, prefix: str) -> RangeResult:
        """Return all keys under a prefix."""

    async def txn(
        self, compares: list[Compare], then: list[Operation], otherwise: list[Operation]
    ) -> TxnResult:
        """Do one list of operations when all compares hold, and the other one when not."""

    async def grant_lease(self, ttl_s: int) -> int:
        """Return a new lease."""

    def watch(self, prefix: str, revision: int) -> AsyncIterator[list[WatchEvent]]:
        """Yield the changes under a prefix from a revision on."""
