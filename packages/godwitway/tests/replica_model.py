"""A model of the store and of two hosts that relay its changes, for an exhaustive search.

Both hosts may watch and list the store and fetch from each other. Messages may be delayed,
repeated, reordered or lost, hosts restart, and the store compacts its history. The replicas are
the real ones; between steps their state is kept as immutable values that can be compared.
"""

from collections.abc import Iterator
from typing import NamedTuple

from godwitway.steering._replica import Difference, Replica
from godwitway.store import KeyValue, WatchEvent

__all__ = [
    "BASE_REVISION",
    "HOSTS",
    "Fleet",
    "apply_step",
    "build_fleet",
    "possible_steps",
    "settle_fleet",
    "store_items_at",
]

PREFIXES = ("config", "targets/")
HOSTS = (0, 1)
BASE_REVISION = 10  # The store's revision before the first entry of the log.
WRITES = (("config", True), ("targets/1", True), ("targets/1", False), ("hosts/9", True))
MAX_LOG_ENTRIES = 3  # Including the configuration that the store has at the start.
MAX_MESSAGES = 2


class ReplicaState(NamedTuple):
    """The state of a host's replica; the fields are those of `Replica`."""

    items: tuple[tuple[str, bytes, int], ...]
    deletions: tuple[tuple[str, int], ...]
    deletions_floor: int
    revision: int
    advertised_revision: int
    has_listing: bool


class Message(NamedTuple):
    """A difference on its way to a host: a push, or a listing if the base revision is 0."""

    base_revision: int
    revision: int
    is_full: bool
    items: tuple[tuple[str, bytes, int], ...]
    deleted: tuple[tuple[str, int], ...]
    unchanged_keys: tuple[str, ...] = ()


class Fleet(NamedTuple):
    """The store, the hosts and the messages between them.

    Attributes:
        log: The store's changes: a key, and whether it was written (True) or deleted.
        compacted_revision: The revision up to which the store has no history.
        replicas: The replicas of the hosts.
        messages: The undelivered messages with their receiving hosts.
    """

    log: tuple[tuple[str, bool], ...]
    compacted_revision: int
    replicas: tuple[ReplicaState, ...]
    messages: frozenset[tuple[int, Message]]


class Step(NamedTuple):
    """One step of the fleet.

    Attributes:
        action: What happens.
        host: The host that the action concerns; not used by "write" and "compact".
        detail: For "write" the entry that is added to the log, for "watch" the largest number of
            events that the host receives, for "deliver" and "lose" the message, otherwise None.
    """

    action: str
    host: int = 0
    detail: object = None


EMPTY = ReplicaState((), (), 0, 0, 0, False)


def build_fleet() -> Fleet:
    """Return a store with a configuration, and hosts that have listed it."""
    fleet = Fleet((("config", True),), 0, (EMPTY, EMPTY), frozenset())
    for host in HOSTS:
        fleet = deliver_message(fleet, host, list_store(fleet))
    return fleet


def store_items_at(fleet: Fleet, revision: int) -> dict[str, tuple[bytes, int]]:
    """Return value and revision of each key at a revision; the value is the revision as text."""
    items: dict[str, tuple[bytes, int]] = {}
    for at, (key, written) in enumerate(fleet.log, BASE_REVISION + 1):
        if at > revision:
            break
        if written:
            items[key] = (b"%d" % at, at)
        else:
            items.pop(key, None)
    return items


def store_revision(fleet: Fleet) -> int:
    """Return the store's revision."""
    return BASE_REVISION + len(fleet.log)


def replica_from(state: ReplicaState) -> Replica:
    """Return a replica in a state."""
    replica = Replica(PREFIXES, lambda key, value, revision: None)
    replica.items = {key: KeyValue(key, value, at) for key, value, at in state.items}
    replica.deletions.extend(state.deletions)
    replica.deletions_floor, replica.revision = state.deletions_floor, state.revision
    replica.advertised_revision, replica.has_listing = state.advertised_revision, state.has_listing
    return replica


def state_of(replica: Replica) -> ReplicaState:
    """Return the state of a replica."""
    items = sorted((item.key, item.value, item.mod_revision) for item in replica.items.values())
    return ReplicaState(
        tuple(items),
        tuple(replica.deletions),
        replica.deletions_floor,
        replica.revision,
        replica.advertised_revision,
        replica.has_listing,
    )


def message_of(difference: Difference) -> Message:
    """Return a difference as a message."""
    items = sorted((item.key, item.value, item.mod_revision) for item in difference.items)
    return Message(
        difference.base_revision,
        difference.revision,
        difference.is_full,
        tuple(items),
        tuple(difference.deleted),
        tuple(difference.unchanged_keys),
    )


def difference_of(message: Message) -> Difference:
    """Return a message as a difference."""
    items = [KeyValue(key, value, at) for key, value, at in message.items]
    return Difference(
        message.base_revision,
        message.revision,
        message.is_full,
        items,
        list(message.deleted),
        list(message.unchanged_keys),
    )


def list_store(fleet: Fleet) -> Message:
    """Return a listing of the store."""
    current = store_items_at(fleet, store_revision(fleet)).items()
    items = tuple(sorted((key, value, at) for key, (value, at) in current))
    return Message(0, store_revision(fleet), True, items, ())


def possible_steps(fleet: Fleet) -> Iterator[Step]:
    """Yield the steps that are possible in a state of the fleet."""
    if len(fleet.log) < MAX_LOG_ENTRIES:
        yield from (Step("write", detail=write) for write in WRITES)
    if fleet.compacted_revision < store_revision(fleet):
        yield Step("compact")
    for host in HOSTS:
        if len(fleet.messages) < MAX_MESSAGES:
            yield Step("list", host)
        if fleet.replicas[host] != EMPTY:
            yield Step("restart", host)
        yield Step("watch", host, 1)
        yield Step("watch", host, MAX_LOG_ENTRIES)
        yield Step("fetch", host)
    for host, message in fleet.messages:
        yield Step("deliver", host, message)
        yield Step("lose", host, message)


def apply_step(fleet: Fleet, step: Step) -> Fleet:
    """Return the fleet after a step."""
    match step.action:
        case "write":
            return fleet._replace(log=(*fleet.log, step.detail))
        case "compact":
            return fleet._replace(compacted_revision=store_revision(fleet))
        case "list":
            return send_message(fleet, step.host, list_store(fleet))
        case "restart":
            return replace_replica(fleet, step.host, EMPTY)
        case "watch":
            return watch_store(fleet, step.host, step.detail)
        case "fetch":
            return fetch_changes(fleet, step.host)
        case "deliver":
            return deliver_message(fleet, step.host, step.detail)
    # The remaining action is "lose".
    return fleet._replace(messages=fleet.messages - {(step.host, step.detail)})


def replace_replica(fleet: Fleet, host: int, state: ReplicaState) -> Fleet:
    """Return the fleet with another replica state at a host."""
    replicas = tuple(state if number == host else old for number, old in enumerate(fleet.replicas))
    return fleet._replace(replicas=replicas)


def send_message(fleet: Fleet, host: int, message: Message) -> Fleet:
    """Add an undelivered message, unless there are `MAX_MESSAGES`."""
    if len(fleet.messages) >= MAX_MESSAGES:
        return fleet
    return fleet._replace(messages=fleet.messages | {(host, message)})


def deliver_message(fleet: Fleet, host: int, message: Message) -> Fleet:
    """Apply a message at a host; the message is kept so that it may arrive again."""
    replica = replica_from(fleet.replicas[host])
    difference = difference_of(message)
    if message.is_full and not message.base_revision:
        replica.apply_listing(difference.items, difference.revision)
    else:
        replica.apply_difference(difference)
    return replace_replica(fleet, host, state_of(replica))


def watch_store(fleet: Fleet, host: int, max_events: int) -> Fleet:
    """Apply the next changes of a watch at a host, and push them to the other host."""
    replica = replica_from(fleet.replicas[host])
    if not replica.has_listing or replica.revision < fleet.compacted_revision:
        return fleet  # The host needs a listing instead.
    before = replica.revision
    events = [
        WatchEvent(key, b"%d" % at if written else None, at)
        for at, (key, written) in enumerate(fleet.log, BASE_REVISION + 1)
        if at > before
    ][:max_events]
    if not events:
        return fleet
    replica.apply_events(events, events[-1].mod_revision)
    push = message_of(replica.difference_since(before))
    return send_message(replace_replica(fleet, host, state_of(replica)), 1 - host, push)


def fetch_changes(fleet: Fleet, host: int) -> Fleet:
    """Let a host fetch from the other one if that advertises a newer revision."""
    replica, other = replica_from(fleet.replicas[host]), replica_from(fleet.replicas[1 - host])
    if other.advertised_revision <= replica.revision or not other.has_listing:
        return fleet
    replica.apply_difference(other.difference_since(replica.revision if replica.has_listing else 0))
    return replace_replica(fleet, host, state_of(replica))


def settle_fleet(fleet: Fleet) -> Fleet:
    """Let the first host be elected and follow the store, and the other one fetch from it."""
    first = fleet.replicas[0]
    if not first.has_listing or first.revision < fleet.compacted_revision:
        fleet = deliver_message(fleet, 0, list_store(fleet))
    else:
        fleet = watch_store(fleet, 0, len(fleet.log))
    replica = replica_from(fleet.replicas[0])
    replica.advertise_deletions()
    return fetch_changes(replace_replica(fleet, 0, state_of(replica)), 1)
