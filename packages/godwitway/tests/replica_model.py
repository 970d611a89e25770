"""A model of the store and two hosts that pass its changes on, searched step by step.

One host watches the store, both may list it and ask each other; messages may be late, come twice,
be overtaken or get lost, hosts restart, and the store forgets its history.
"""

from collections.abc import Iterator
from typing import NamedTuple

from godwitway.steering._replica import Difference, Replica
from godwitway.store import KeyValue, WatchEvent

__all__ = ["FIRST", "HOSTS", "Fleet", "initial", "settle", "step", "steps", "store_at"]

PREFIXES = ("config", "targets/")
HOSTS = (0, 1)
FIRST = 10  # The store's revision before the first write.
CHANGES = (("config", True), ("targets/1", True), ("targets/1", False), ("hosts/9", True))
MAX_WRITES = 3
MAX_MESSAGES = 2


class Copy(NamedTuple):
    """A host's copy as values that can be compared."""

    items: tuple[tuple[str, bytes, int], ...]
    deletions: tuple[tuple[str, int], ...]
    deletions_floor: int
    revision: int
    advertised_revision: int
    has_listing: bool


class Message(NamedTuple):
    """Changes on their way to a host: those of a push, or all keys of a list."""

    base_revision: int
    revision: int
    is_full: bool
    items: tuple[tuple[str, bytes, int], ...]
    deleted: tuple[tuple[str, int], ...]
    unchanged_keys: tuple[str, ...] = ()


class Fleet(NamedTuple):
    """The store, the hosts and the messages on their way.

    Attributes:
        log: The writes: key, and whether it was written or deleted.
        forgotten: Up to which revision the store has no history.
        copies: The hosts' copies.
        messages: Messages, each with the host that it goes to.
    """

    log: tuple[tuple[str, bool], ...]
    forgotten: int
    copies: tuple[Copy, ...]
    messages: frozenset[tuple[int, Message]]


class Step(NamedTuple):
    """What happens next."""

    action: str
    host: int = 0
    detail: object = None


EMPTY = Copy((), (), 0, 0, 0, False)


def initial() -> Fleet:
    """Return a store with a configuration and hosts that know it."""
    fleet = Fleet((("config", True),), 0, (EMPTY, EMPTY), frozenset())
    for host in HOSTS:
        fleet = deliver(fleet, host, listing(fleet))
    return fleet


def store_at(fleet: Fleet, revision: int) -> dict[str, tuple[bytes, int]]:
    """Return the keys at a revision; a value names the write that made it."""
    present: dict[str, tuple[bytes, int]] = {}
    for at, (key, written) in enumerate(fleet.log, FIRST + 1):
        if at > revision:
            break
        if written:
            present[key] = (b"%d" % at, at)
        else:
            present.pop(key, None)
    return present


def head(fleet: Fleet) -> int:
    """Return the store's revision."""
    return FIRST + len(fleet.log)


def thaw(copy: Copy) -> Replica:
    """Return the project's own copy in a state."""
    replica = Replica(PREFIXES, lambda key, value, revision: None)
    replica.items = {key: KeyValue(key, value, at) for key, value, at in copy.items}
    replica.deletions.extend(copy.deletions)
    replica.deletions_floor, replica.revision = copy.deletions_floor, copy.revision
    replica.advertised_revision, replica.has_listing = copy.advertised_revision, copy.has_listing
    return replica


def freeze(replica: Replica) -> Copy:
    """Return the state of a copy."""
    items = sorted((item.key, item.value, item.mod_revision) for item in replica.items.values())
    return Copy(
        tuple(items),
        tuple(replica.deletions),
        replica.deletions_floor,
        replica.revision,
        replica.advertised_revision,
        replica.has_listing,
    )


def message_of(difference: Difference) -> Message:
    """Return changes as values that can be compared."""
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
    """Return the project's own form of changes."""
    items = [KeyValue(key, value, at) for key, value, at in message.items]
    return Difference(
        message.base_revision,
        message.revision,
        message.is_full,
        items,
        list(message.deleted),
        list(message.unchanged_keys),
    )


def listing(fleet: Fleet) -> Message:
    """Return the answer of the store to a call for all keys."""
    present = store_at(fleet, head(fleet)).items()
    items = tuple(sorted((key, value, at) for key, (value, at) in present))
    return Message(0, head(fleet), True, items, ())


def steps(fleet: Fleet) -> Iterator[Step]:
    """Yield what may happen next."""
    if len(fleet.log) < MAX_WRITES:
        yield from (Step("write", detail=change) for change in CHANGES)
    if fleet.forgotten < head(fleet):
        yield Step("forget")
    for host in HOSTS:
        if len(fleet.messages) < MAX_MESSAGES:
            yield Step("ask_list", host)
        if fleet.copies[host] != EMPTY:
            yield Step("restart", host)
        yield Step("watch", host, 1)
        yield Step("watch", host, MAX_WRITES)
        yield Step("pull", host)
    for host, message in fleet.messages:
        yield Step("deliver", host, message)
        yield Step("lose", host, message)


def step(fleet: Fleet, taken: Step) -> Fleet:
    """Return what a step makes of the fleet."""
    match taken.action:
        case "write":
            return fleet._replace(log=(*fleet.log, taken.detail))
        case "forget":
            return fleet._replace(forgotten=head(fleet))
        case "ask_list":
            return send(fleet, taken.host, listing(fleet))
        case "restart":
            return with_copy(fleet, taken.host, EMPTY)
        case "watch":
            return watch(fleet, taken.host, taken.detail)
        case "pull":
            return pull(fleet, taken.host)
        case "deliver":
            return deliver(fleet, taken.host, taken.detail)
    return fleet._replace(messages=fleet.messages - {(taken.host, taken.detail)})


def with_copy(fleet: Fleet, host: int, copy: Copy) -> Fleet:
    """Return the fleet with another copy at a host."""
    copies = tuple(copy if number == host else old for number, old in enumerate(fleet.copies))
    return fleet._replace(copies=copies)


def send(fleet: Fleet, host: int, message: Message) -> Fleet:
    """Put a message on its way, as long as there is room for it."""
    if len(fleet.messages) >= MAX_MESSAGES:
        return fleet
    return fleet._replace(messages=fleet.messages | {(host, message)})


def deliver(fleet: Fleet, host: int, message: Message) -> Fleet:
    """Let a message arrive; it may arrive again later."""
    replica = thaw(fleet.copies[host])
    difference = difference_of(message)
    if message.is_full and not message.base_revision:
        replica.apply_listing(difference.items, difference.revision)
    else:
        replica.apply_difference(difference)
    return with_copy(fleet, host, freeze(replica))


def watch(fleet: Fleet, host: int, at_most: int) -> Fleet:
    """Answer a watch with some changes, and push them to the other host."""
    replica = thaw(fleet.copies[host])
    if not replica.has_listing or replica.revision < fleet.forgotten:
        return fleet  # The host asks for all keys instead.
    before = replica.revision
    events = [
        WatchEvent(key, b"%d" % at if written else None, at)
        for at, (key, written) in enumerate(fleet.log, FIRST + 1)
        if at > before
    ][:at_most]
    if not events:
        return fleet
    replica.apply_events(events, events[-1].mod_revision)
    push = message_of(replica.difference_since(before))
    return send(with_copy(fleet, host, freeze(replica)), 1 - host, push)


def pull(fleet: Fleet, host: int) -> Fleet:
    """Let a host ask the other one, if that reports a change that it does not have."""
    replica, other = thaw(fleet.copies[host]), thaw(fleet.copies[1 - host])
    if other.advertised_revision <= replica.revision or not other.has_listing:
        return fleet
    replica.apply_difference(other.difference_since(replica.revision if replica.has_listing else 0))
    return with_copy(fleet, host, freeze(replica))


def settle(fleet: Fleet) -> Fleet:
    """Let the first host begin to watch the store, and the other one hear its report."""
    first = fleet.copies[0]
    if not first.has_listing or first.revision < fleet.forgotten:
        fleet = deliver(fleet, 0, listing(fleet))
    else:
        fleet = watch(fleet, 0, len(fleet.log))
    replica = thaw(fleet.copies[0])
    replica.advertise_deletions()
    return pull(with_copy(fleet, 0, freeze(replica)), 1)
