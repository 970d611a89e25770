"""Writes of services to the store.

Each write is a compare-and-swap transaction that also stores a record under a write id, so that
its outcome can be looked up when the response is lost.
"""

import uuid

import msgspec
from result import Err, Ok, Result

from godwitway.addresses import format_address
from godwitway.errors import ErrorKind, Problem
from godwitway.process._clock import Clock
from godwitway.process._config import REVISION_MARKER_KEY, SERVICES_PREFIX
from godwitway.process._store import Compare, Delete, Get, Operation, Put, Store
from godwitway.store import KeyValue, LeaseNotFoundError, StoreError
from godwitway.version import Service, check_service

__all__ = ["AcceptedWrite", "ServiceWriter"]

CLAIMS_PREFIX = "/godwitway/claims/"
WRITES_PREFIX = "/godwitway/writes/"
ABANDONED_VALUE = b"abandoned"
# A write record lives for at least `RECORD_LEASE_TTL_S - LEASE_REUSE_S`, as writes share a lease.
RECORD_LEASE_TTL_S = 7_200
LEASE_REUSE_S = 3_600.0
# A lease may have expired, or have been granted after the copy from which the store was restored.
MAX_LEASES = 2
LOOKUP_ATTEMPTS = 6
LOOKUP_RETRY_DELAY_S = 0.25


class AcceptedWrite(msgspec.Struct, frozen=True):
    """A write that took effect in the store.

    Attributes:
        revision: The configuration revision of the change, which hosts then put in force.
        write_id: The id of the write.
    """

    revision: int
    write_id: str


# An `Err` of kind WRITE_UNKNOWN: it is unknown whether the write took effect. Any other kind: this
# call changed nothing.
WriteOutcome = Result[AcceptedWrite, Problem]


def claim_keys(service: Service) -> dict[str, str]:
    """Return the claim keys of a service, each with the path of the field that it reserves.

    The store keeps the name of the service under each claim key, so that no two services share an
    address or target.
    """
    address = ".".join(str(part) for part in service.address)
    claim_fields = {f"{CLAIMS_PREFIX}address/{address}": "address"}
    for index, target in enumerate(service.targets):
        key = f"{CLAIMS_PREFIX}target/{format_address(target.address)}"
        claim_fields[key] = f"targets[{index}].address"
    return claim_fields


class ServiceWriter:
    """Writes services to the store for the resource API.

    Attributes:
        store: The platform's key-value store.
        clock: The clock of the process.
        lease: The id of the lease that write records expire with; 0 when there is none yet.
        leased_at: When the lease was created, in seconds of the clock.
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
        """Create or replace a service.

        Args:
            service: The checked service.
            document: Its JSON document.
            expected: The current resource version, 0 for a service that does not exist.
            write_id: The id of the write; a new one when empty.
        """
        try:
            stored = await self.read_with_claims(service.name, claim_keys(service))
        except StoreError as error:
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, str(error)))
        problem = find_write_problem(service, stored, expected)
        if problem is not None:
            return Err(problem)
        key = SERVICES_PREFIX + service.name
        compares = [Compare(key, expected)]
        changes: list[Operation] = [Put(key, document)]
        claim_fields = claim_keys(service)
        for claim_key in claim_fields:
            holder = stored.get(claim_key)
            compares.append(Compare(claim_key, holder.mod_revision if holder else 0))
            if holder is None:
                changes.append(Put(claim_key, service.name.encode()))
        changes += [
            Delete(claim_key) for claim_key in released_claims(stored.get(key), claim_fields)
        ]
        return await self.commit(service.name, compares, changes, expected, write_id)

    async def delete(self, name: str, expected: int, write_id: str = "") -> WriteOutcome:
        """Delete a service whose current resource version is `expected`."""
        key = SERVICES_PREFIX + name
        try:
            stored = await self.read_with_claims(name, {})
        except StoreError as error:
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, str(error)))
        stored_service = stored.get(key)
        if stored_service is None:
            return Err(Problem(ErrorKind.NOT_FOUND, f"there is no service {name!r}"))
        if stored_service.mod_revision != expected:
            return Err(version_conflict(expected, stored_service.mod_revision))
        changes: list[Operation] = [Delete(key)]
        changes += [Delete(claim_key) for claim_key in released_claims(stored_service, {})]
        return await self.commit(name, [Compare(key, expected)], changes, expected, write_id)

    async def read_with_claims(
        self, name: str, claim_fields: dict[str, str]
    ) -> dict[str, KeyValue]:
        """Return a service and some claims by key, at one store revision; absent keys are left out.

        Raises:
            StoreError: The store gave no usable answer.
        """
        keys = [SERVICES_PREFIX + name, *claim_fields]
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
        """Execute a write under its id, and look its outcome up when the response is lost.

        Args:
            name: The name of the service.
            compares: The conditions of the write.
            changes: The operations on the service and its claim keys.
            expected: The resource version that the write is based on.
            write_id: The id of the write; a new one when empty.
        """
        write_id = write_id or uuid.uuid4().hex
        record_key = WRITES_PREFIX + write_id
        key = SERVICES_PREFIX + name
        conditions = [*compares, Compare(record_key, 0)]
        then = [*changes, Put(REVISION_MARKER_KEY, write_id.encode())]
        for _ in range(MAX_LEASES):
            try:
                record = Put(record_key, b"done", await self.current_lease())
            except StoreError as error:
                return Err(Problem(ErrorKind.STORE_UNAVAILABLE, str(error)))
            try:
                result = await self.store.txn(conditions, [*then, record], [Get(key)])
                break
            except LeaseNotFoundError as error:
                self.lease = 0
                problem = Problem(ErrorKind.STORE_UNAVAILABLE, str(error))
            except StoreError:
                self.lease = 0  # The error does not exclude that the lease is the cause.
                return await self.resolve_outcome(write_id)
        else:  # The store does not have the new lease either.
            return Err(problem)
        if result.succeeded:
            return Ok(AcceptedWrite(result.revision, write_id))
        current = result.found[0].mod_revision if result.found else 0
        if current == expected:
            # The write id may also have been used before, or be marked as abandoned.
            message = "another change claimed an address or target at the same time"
            return Err(Problem(ErrorKind.CONFLICT, message, versions=(expected, current)))
        return Err(version_conflict(expected, current))

    async def resolve_outcome(self, write_id: str) -> WriteOutcome:
        """Look up whether a write whose response was lost took effect.

        The lookup marks the id as abandoned when there is no record of the write, so that it
        cannot take effect later.
        """
        record_key = WRITES_PREFIX + write_id
        for _ in range(LOOKUP_ATTEMPTS):
            try:
                result = await self.store.txn(
                    [Compare(record_key, 0)], [Put(record_key, ABANDONED_VALUE)], [Get(record_key)]
                )
            except StoreError:
                await self.clock.sleep(LOOKUP_RETRY_DELAY_S)
                continue
            if not result.succeeded and result.found and result.found[0].value != ABANDONED_VALUE:
                return Ok(AcceptedWrite(result.found[0].mod_revision, write_id))
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "the write did not take effect"))
        message = f"the store does not say whether write {write_id} took effect"
        return Err(Problem(ErrorKind.WRITE_UNKNOWN, message, write_id))

    async def current_lease(self) -> int:
        """Return a lease for write records; a new one is created every `LEASE_REUSE_S`."""
        now = self.clock.now()
        if not self.lease or now - self.leased_at > LEASE_REUSE_S:
            self.lease = await self.store.grant_lease(RECORD_LEASE_TTL_S)
            self.leased_at = now
        return self.lease


def find_write_problem(
    service: Service, stored: dict[str, KeyValue], expected: int
) -> Problem | None:
    """Return why a service cannot be written given the stored keys, or None."""
    stored_service = stored.get(SERVICES_PREFIX + service.name)
    current = stored_service.mod_revision if stored_service else 0
    if current != expected:
        return version_conflict(expected, current)
    for claim_key, field in claim_keys(service).items():
        holder = stored.get(claim_key)
        if holder is not None and holder.value != service.name.encode():
            name = holder.value.decode(errors="replace")
            message = f"{claim_key.rpartition('/')[2]} belongs to service {name!r}"
            return Problem(ErrorKind.INVALID_FIELD, message, field)
    return None


def released_claims(stored_service: KeyValue | None, kept: dict[str, str]) -> list[str]:
    """Return the claim keys of a stored service that are not among the kept ones.

    The list is empty when there is no stored service or its document is invalid.
    """
    if stored_service is None:
        return []
    checked = check_service(msgspec.json.decode(stored_service.value))
    if checked.is_err():
        return []
    return [claim_key for claim_key in claim_keys(checked.unwrap()) if claim_key not in kept]


def version_conflict(expected: int, current: int) -> Problem:
    """Return the problem of a write whose expected version is not the current one."""
    message = f"expected version {expected}, the present version is {current}"
    return Problem(ErrorKind.CONFLICT, message, "version", (expected, current))
