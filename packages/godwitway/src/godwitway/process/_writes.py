"""Changing services in the store: compare-and-swap with a write id that settles lost answers."""

import uuid

import msgspec
from result import Err, Ok, Result

from godwitway.addresses import format_address
from godwitway.errors import ErrorKind, Problem
from godwitway.process._clock import Clock
from godwitway.process._config import REVISION_MARKER_KEY, SERVICES_PREFIX
from godwitway.process._store import Compare, Delete, Get, Operation, Put, Store
from godwitway.store import KeyValue, StoreError
from godwitway.version import Service, check_service

__all__ = ["AcceptedWrite", "ServiceWriter"]

CLAIMS_PREFIX = "/godwitway/claims/"
WRITES_PREFIX = "/godwitway/writes/"
ABANDONED = b"abandoned"
WRITE_LEASE_S = 7_200
LEASE_RENEW_S = 3_600.0
SETTLE_TRIES = 6
SETTLE_GAP_S = 0.25


class AcceptedWrite(msgspec.Struct, frozen=True):
    """A change that is in the store.

    Attributes:
        revision: The revision that has to be in force everywhere.
        write_id: The id of the write.
    """

    revision: int
    write_id: str


WriteOutcome = Result[AcceptedWrite, Problem]


def claims_of(service: Service) -> dict[str, str]:
    """Return the keys by which a service claims its address and targets, with their fields."""
    address = ".".join(str(part) for part in service.address)
    claims = {f"{CLAIMS_PREFIX}address/{address}": "address"}
    for index, target in enumerate(service.targets):
        key = f"{CLAIMS_PREFIX}target/{format_address(target.address)}"
        claims[key] = f"targets[{index}].address"
    return claims


class ServiceWriter:
    """ServiceWriter services for the resource API.

    Attributes:
        store: The platform's store.
        clock: The process's clock.
        lease: The lease that lets records of writes expire.
    """

    __slots__ = ("clock", "lease", "leased_at", "store")

    def __init__(self, store: Store, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.lease = 0
        self.leased_at = 0.0

    async def put(
        self, service: Service, document: bytes, expected: int, write_id: str = ""
    ) -> WriteOutcome:
        """Write a service that was last changed at an expected version; 0 creates it."""
        try:
            read = await self.read_with_claims(service.name, claims_of(service))
        except StoreError as error:
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, str(error)))
        problem = check_read(service, read, expected)
        if problem is not None:
            return Err(problem)
        key = SERVICES_PREFIX + service.name
        compares = [Compare(key, expected)]
        changes: list[Operation] = [Put(key, document)]
        claims = claims_of(service)
        for claim in claims:
            found = read.get(claim)
            compares.append(Compare(claim, found.mod_revision if found else 0))
            if found is None:
                changes.append(Put(claim, service.name.encode()))
        changes += [Delete(claim) for claim in released_claims(read.get(key), claims)]
        return await self.commit(service.name, compares, changes, expected, write_id)

    async def delete(self, name: str, expected: int, write_id: str = "") -> WriteOutcome:
        """Delete a service that was last changed at an expected version."""
        key = SERVICES_PREFIX + name
        try:
            read = await self.read_with_claims(name, {})
        except StoreError as error:
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, str(error)))
        found = read.get(key)
        if found is None:
            return Err(Problem(ErrorKind.NOT_FOUND, f"there is no service {name!r}"))
        if found.mod_revision != expected:
            return Err(conflict(expected, found.mod_revision))
        changes: list[Operation] = [Delete(key)]
        changes += [Delete(claim) for claim in released_claims(found, {})]
        return await self.commit(name, [Compare(key, expected)], changes, expected, write_id)

    async def read_with_claims(self, name: str, claims: dict[str, str]) -> dict[str, KeyValue]:
        """Read a service and some claims at one revision."""
        keys = [SERVICES_PREFIX + name, *claims]
        result = await self.store.txn([], [Get(key) for key in keys], [])
        return {item.key: item for item in result.found}

    async def commit(
        self,
        name: str,
        compares: list[Compare],
        changes: list[Operation],
        expected: int,
        write_id: str,
    ) -> WriteOutcome:
        """Do a write under its id, and settle it when the answer is lost."""
        write_id = write_id or uuid.uuid4().hex
        record = WRITES_PREFIX + write_id
        key = SERVICES_PREFIX + name
        try:
            lease = await self.current_lease()
        except StoreError as error:
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, str(error)))
        then = [*changes, Put(REVISION_MARKER_KEY, write_id.encode()), Put(record, b"done", lease)]
        try:
            result = await self.store.txn([*compares, Compare(record, 0)], then, [Get(key)])
        except StoreError:
            # The lease may have lapsed, so the next write takes a new one.
            self.lease = 0
            return await self.resolve_outcome(write_id)
        if result.succeeded:
            return Ok(AcceptedWrite(result.revision, write_id))
        present = result.found[0].mod_revision if result.found else 0
        if present == expected:
            message = "another change claimed an address or target at the same time"
            return Err(Problem(ErrorKind.CONFLICT, message, versions=(expected, present)))
        return Err(conflict(expected, present))

    async def resolve_outcome(self, write_id: str) -> WriteOutcome:
        """Find out whether a write whose answer was lost took effect.

        The look-up marks the id as abandoned when the write has not arrived, so that it
        cannot take effect afterwards.
        """
        record = WRITES_PREFIX + write_id
        for _ in range(SETTLE_TRIES):
            try:
                result = await self.store.txn(
                    [Compare(record, 0)], [Put(record, ABANDONED)], [Get(record)]
                )
            except StoreError:
                await self.clock.sleep(SETTLE_GAP_S)
                continue
            if not result.succeeded and result.found and result.found[0].value != ABANDONED:
                return Ok(AcceptedWrite(result.found[0].mod_revision, write_id))
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "the write did not take effect"))
        message = f"the store does not say whether write {write_id} took effect"
        return Err(Problem(ErrorKind.WRITE_UNKNOWN, message, write_id))

    async def current_lease(self) -> int:
        """Return a lease for records of writes, a new one now and then."""
        now = self.clock.now()
        if not self.lease or now - self.leased_at > LEASE_RENEW_S:
            self.lease = await self.store.grant_lease(WRITE_LEASE_S)
            self.leased_at = now
        return self.lease


def check_read(service: Service, read: dict[str, KeyValue], expected: int) -> Problem | None:
    """Return why a service cannot be written over what the store holds, or None."""
    found = read.get(SERVICES_PREFIX + service.name)
    present = found.mod_revision if found else 0
    if present != expected:
        return conflict(expected, present)
    for claim, field in claims_of(service).items():
        holder = read.get(claim)
        if holder is not None and holder.value.decode() != service.name:
            message = f"{claim.rpartition('/')[2]} belongs to service {holder.value.decode()!r}"
            return Problem(ErrorKind.INVALID_FIELD, message, field)
    return None


def released_claims(found: KeyValue | None, kept: dict[str, str]) -> list[str]:
    """Return the claims of a stored service that a change gives up."""
    if found is None:
        return []
    stored = check_service(msgspec.json.decode(found.value))
    if stored.is_err():
        return []
    return [claim for claim in claims_of(stored.unwrap()) if claim not in kept]


def conflict(expected: int, present: int) -> Problem:
    """Return the problem of a write that builds on another version than the present one."""
    message = f"expected version {expected}, the present version is {present}"
    return Problem(ErrorKind.CONFLICT, message, "version", (expected, present))
