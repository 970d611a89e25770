"""A model of the store and of two hosts that relay its changes, for an exhaustive search.

Both hosts may watch and list the store and fetch from each other. Messages may be delayed,
repeated, reordered or lost, hosts restart, and the store compacts its history or is restored from
a copy, after which it loses its latest changes and gives their revisions out again. The replicas
are the real ones; between steps their state is kept as immutable values that can be compared.
"""

from collections.abc import Iterator
from typing import NamedTuple

from godwitway.steering._replica import Difference, Replica
from godwitway.store import FIRST_POSITION, KeyValue, StorePosition, WatchEvent

__all__ = [
    "BASE_REVISION",
    "HOSTS",
    "Fleet",
    "apply_step",
    "build_fleet",
    "possible_steps",
    "settle_fleet",
    "store_items_at",
    "store_position",
]

PREFIXES = ("config", "targets/")
HOSTS = (0, 1)
BASE_REVISION = 10  # The store's revision before the first entry of the log.
WRITES = (("config", True), ("targets/1", True), ("targets/1", False), ("hosts/9", True))
MAX_LOG_ENTRIES = 3  # Of an era, including the configuration that the store has at the start.
MAX_ERAS = 2
MAX_MESSAGES = 2


class ReplicaState(NamedTuple):
    """The state of a host's replica; the fields are those of `Replica`."""

    items: tuple[tuple[str, bytes, int], ...]
    deletions: tuple[tuple[str, int], ...]
    deletions_floor: int
    position: StorePosition
    advertised_position: StorePosition
    has_listing: bool


class Message(NamedTuple):
    """A difference on its way to a host: a push, or a listing if its base is the first position."""

    base: StorePosition
    position: StorePosition
    is_full: bool
    items: tuple[tuple[str, bytes, int], ...]
    deleted: tuple[tuple[str, int], ...]
    unchanged_keys: tuple[str, ...] = ()


class Fleet(NamedTuple):
    """The store, the hosts and the messages between them.

    Attributes:
        logs: The store's changes in each era, from the first one: a key, whether it was written
            (True) or deleted, and the era in which that happened.
        compacted_revision: The revision up to which the store has no history.
        replicas: The replicas of the hosts.
        messages: The undelivered messages with their receiving hosts.
    """

    logs: tuple[tuple[tuple[str, bool, int], ...], ...]
    compacted_revision: int
    replicas: tuple[ReplicaState, ...]
    messages: frozenset[tuple[int, Message]]


class Step(NamedTuple):
    """One step of the fleet.

    Attributes:
        action: What happens.
        host: The host that the action concerns; not used by "write", "compact" and "restore".
        detail: For "write" the key, and whether it is written or deleted, for "restore" how many
            changes the copy has, for "watch" the largest number of events that the host receives,
            for "deliver" and "lose" the message, otherwise None.
    """

    action: str
    host: int = 0
    detail: object = None


EMPTY = ReplicaState((), (), 0, FIRST_POSITION, FIRST_POSITION, False)


def build_fleet() -> Fleet:
    """Return a store with a configuration, and hosts that have listed it."""
    fleet = Fleet(((("config", True, 1),),), 0, (EMPTY, EMPTY), frozenset())
    for host in HOSTS:
        fleet = deliver_message(fleet, host, list_store(fleet))
    return fleet


def store_items_at(fleet: Fleet, position: StorePosition) -> dict[str, tuple[bytes, int]]:
    """Return value and revision of each key at a position.

    The value is the era and the revision in which the key was written, as text.
    """
    items: dict[str, tuple[bytes, int]] = {}
    for key, value, revision in changes_of(fleet, position.era):
        if revision > position.revision:
            break
        if value is not None:
            items[key] = (value, revision)
        else:
            items.pop(key, None)
    return items


def changes_of(fleet: Fleet, era: int) -> Iterator[tuple[str, bytes | None, int]]:
    """Yield key, value (None for a deletion) and revision of each change of an era."""
    for revision, (key, written, written_era) in enumerate(fleet.logs[era - 1], BASE_REVISION + 1):
        yield key, b"%d.%d" % (written_era, revision) if written else None, revision


def store_position(fleet: Fleet) -> StorePosition:
    """Return the store's position."""
    return StorePosition(len(fleet.logs), BASE_REVISION + len(fleet.logs[-1]))


def replica_from(state: ReplicaState) -> Replica:
    """Return a replica in a state."""
    replica = Replica(PREFIXES, lambda key, value, revision: None)
    replica.items = {key: KeyValue(key, value, at) for key, value, at in state.items}
    replica.deletions.extend(state.deletions)
    replica.deletions_floor, replica.position = state.deletions_floor, state.position
    replica.advertised_position, replica.has_listing = state.advertised_position, state.has_listing
    return replica


def state_of(replica: Replica) -> ReplicaState:
    """Return the state of a replica."""
    items = sorted((item.key, item.value, item.mod_revision) for item in replica.items.values())
    return ReplicaState(
        tuple(items),
        tuple(replica.deletions),
        replica.deletions_floor,
        replica.position,
        replica.advertised_position,
        replica.has_listing,
    )


def message_of(difference: Difference) -> Message:
    """Return a difference as a message."""
    items = sorted((item.key, item.value, item.mod_revision) for item in difference.items)
    return Message(
        difference.base,
        difference.position,
        difference.is_full,
        tuple(items),
        tuple(difference.deleted),
        tuple(difference.unchanged_keys),
    )


def difference_of(message: Message) -> Difference:
    """Return a message as a difference."""
    items = [KeyValue(key, value, at) for key, value, at in message.items]
    return Difference(
        message.base,
        message.position,
        message.is_full,
        items,
        list(message.deleted),
        list(message.unchanged_keys),
    )


def list_store(fleet: Fleet) -> Message:
    """Return a listing of the store."""
    position = store_position(fleet)
    current = store_items_at(fleet, position).items()
    items = tuple(sorted((key, value, at) for key, (value, at) in current))
    return Message(FIRST_POSITION, position, True, items, ())


def possible_steps(fleet: Fleet) -> Iterator[Step]:
    """Yield the steps that are possible in a state of the fleet."""
    if len(fleet.logs[-1]) < MAX_LOG_ENTRIES:
        yield from (Step("write", detail=write) for write in WRITES)
    if fleet.compacted_revision < store_position(fleet).revision:
        yield Step("compact")
    if len(fleet.logs) < MAX_ERAS:
        yield from (Step("restore", detail=kept) for kept in range(1, len(fleet.logs[-1]) + 1))
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
            *earlier_logs, log = fleet.logs
            return fleet._replace(logs=(*earlier_logs, (*log, (*step.detail, len(fleet.logs)))))
        case "compact":
            return fleet._replace(compacted_revision=store_position(fleet).revision)
        case "restore":
            return restore_store(fleet, step.detail)
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


def restore_store(fleet: Fleet, kept: int) -> Fleet:
    """Return the fleet with a store that has lost all but its first changes."""
    logs = (*fleet.logs, fleet.logs[-1][:kept])
    compacted_revision = min(fleet.compacted_revision, BASE_REVISION + kept)
    return fleet._replace(logs=logs, compacted_revision=compacted_revision)


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
    if message.is_full and message.base == FIRST_POSITION:
        replica.apply_listing(difference.items, difference.position)
    else:
        replica.apply_difference(difference)
    return replace_replica(fleet, host, state_of(replica))


def watch_store(fleet: Fleet, host: int, max_events: int) -> Fleet:
    """Apply the next changes of a watch at a host, and push them to the other host."""
    replica = replica_from(fleet.replicas[host])
    if needs_listing(fleet, fleet.replicas[host]):
        return fleet
    before = replica.position
    events = [
        WatchEvent(key, value, revision)
        for key, value, revision in changes_of(fleet, before.era)
        if revision > before.revision
    ][:max_events]
    if not events:
        return fleet
    replica.apply_events(events, before._replace(revision=events[-1].mod_revision))
    push = message_of(replica.difference_since(before))
    return send_message(replace_replica(fleet, host, state_of(replica)), 1 - host, push)


def needs_listing(fleet: Fleet, state: ReplicaState) -> bool:
    """Whether the store answers a watch of a host with an error, or names another era."""
    is_compacted = state.position.revision < fleet.compacted_revision
    return not state.has_listing or is_compacted or state.position.era != len(fleet.logs)


def fetch_changes(fleet: Fleet, host: int) -> Fleet:
    """Let a host fetch from the other one if that advertises a newer revision."""
    replica, other = replica_from(fleet.replicas[host]), replica_from(fleet.replicas[1 - host])
    if other.advertised_position <= replica.position or not other.has_listing:
        return fleet
    base = replica.position if replica.has_listing else FIRST_POSITION
    replica.apply_difference(other.difference_since(base))
    return replace_replica(fleet, host, state_of(replica))


def settle_fleet(fleet: Fleet) -> Fleet:
    """Let the first host be elected and follow the store, and the other one fetch from it."""
    if needs_listing(fleet, fleet.replicas[0]):
        fleet = deliver_message(fleet, 0, list_store(fleet))
    else:
        fleet = watch_store(fleet, 0, len(fleet.logs[-1]))
    replica = replica_from(fleet.replicas[0])
    replica.advertise_deletions()
    return fetch_changes(replace_replica(fleet, 0, state_of(replica)), 1)
