"""This host's replica of the platform's store, and the differences that hosts exchange."""

from collections import deque
from collections.abc import Callable

from godwitway.store import FIRST_POSITION, KeyValue, StorePosition, WatchEvent

__all__ = ["Difference", "Replica"]

MAX_DELETIONS = 1_024  # Bounds the memory; replicas from before them get a full difference.

UNKNOWN_REVISION = 0  # Of an item that was not written in the current era as far as is known.

OnChange = Callable[[str, bytes | None, int], bool | None]


class Difference:
    """The changes that bring an older replica to a newer position.

    Attributes:
        base: The position of the replica that the difference was made for. It may be applied at
            any replica of the same era that has reached this position.
        position: The store position that the receiver has after it applied the difference.
        is_full: Whether `items` and `unchanged_keys` together name every key of the store. If
            not, `items` and `deleted` are only what changed after `base`.
        items: The keys that changed after `base`, with values; all keys if the era has changed.
        deleted: Deleted keys with the revisions of their deletion; empty in a full difference.
        unchanged_keys: The keys of a full difference that the receiver already has with their
            current value.
    """

    __slots__ = ("base", "deleted", "is_full", "items", "position", "unchanged_keys")

    def __init__(
        self,
        base: StorePosition,
        position: StorePosition,
        is_full: bool,
        items: list[KeyValue],
        deleted: list[tuple[str, int]],
        unchanged_keys: list[str] | None = None,
    ) -> None:
        self.base = base
        self.position = position
        self.is_full = is_full
        self.items = items
        self.deleted = deleted
        self.unchanged_keys = unchanged_keys or []

    def needs_base(self) -> bool:
        """Whether the difference says nothing about some keys that the receiver already has."""
        return not self.is_full or bool(self.unchanged_keys)


class Replica:
    """A copy of the store's keys and values at a position that never decreases.

    The revisions of all items and deletions belong to the era of the position.

    Attributes:
        advertised_prefixes: The prefixes of the keys whose changes raise the advertised position.
        items: The current items by key. A key whose value cannot be used is kept, with an empty
            value, only if the replica had it before.
        has_listing: Whether a listing, that is all keys of the store, was applied. Until then the
            replica may lack keys and applies only listings and complete differences.
        position: The store position up to which the replica is complete.
        advertised_position: The position of the latest change under the advertised prefixes. This
            host reports it to the others, and those whose replica is older fetch the changes.
        on_change: Called with the key, value (None after a deletion) and revision of each change.
            Returns False if the value cannot be used, so that it is not kept: other programs write
            to the store too, any number of keys and as large as it allows.
        on_restore: Called with the new position after a replica with content has begun another
            era, before the differing keys are passed to `on_change`.
        deletions: The most recent deletions, as key and revision.
        deletions_floor: The revision after which `deletions` is complete.
    """

    __slots__ = (
        "advertised_position",
        "advertised_prefixes",
        "deletions",
        "deletions_floor",
        "has_listing",
        "items",
        "on_change",
        "on_restore",
        "position",
    )

    def __init__(self, advertised_prefixes: tuple[str, ...], on_change: OnChange) -> None:
        self.advertised_prefixes = advertised_prefixes
        self.on_change = on_change
        self.items: dict[str, KeyValue] = {}
        self.has_listing = False
        self.on_restore: Callable[[StorePosition], None] = lambda position: None
        self.position = FIRST_POSITION
        self.advertised_position = FIRST_POSITION
        self.deletions: deque[tuple[str, int]] = deque()
        self.deletions_floor = 0

    def apply_listing(self, items: list[KeyValue], position: StorePosition) -> bool:
        """Replace the content by a listing of the store.

        Args:
            items: All keys of the store at the position.
            position: The store position of the listing.

        Returns:
            False if the listing is older than the replica and was ignored.
        """
        if position < self.position:
            return False
        was_restored = self.has_content() and position.era > self.position.era
        if position.era > self.position.era:
            self.begin_era(position.era)
        if was_restored:
            self.advertised_position = position
            self.on_restore(position)
        listed = {item.key: item for item in items}
        for key in [key for key in self.items if key not in listed]:
            self.remove_key(key, position.revision)
        for item in listed.values():
            self.put_item(item)
        # The listing does not say at which revisions keys were deleted before it.
        self.deletions.clear()
        self.deletions_floor = position.revision
        self.has_listing = True
        self.move_to(position)
        return True

    def has_content(self) -> bool:
        """Whether anything of the store was ever applied."""
        return self.position > FIRST_POSITION

    def begin_era(self, era: int) -> None:
        """Drop the revisions of an earlier era, and keep the items to compare their values."""
        self.position = self.advertised_position = StorePosition(era, 0)
        self.deletions.clear()
        self.deletions_floor = 0
        self.items = {
            key: KeyValue(key, item.value, UNKNOWN_REVISION) for key, item in self.items.items()
        }

    def apply_events(self, events: list[WatchEvent], position: StorePosition) -> bool:
        """Apply watch events, and skip those that the replica already includes.

        Args:
            events: All changes after the replica's position, in the order of their revisions.
            position: The store position up to which the events are complete.

        Returns:
            False if the events belong to another era than the replica and were ignored.
        """
        if position.era != self.position.era:
            return False
        for event in events:
            if event.mod_revision <= self.position.revision:
                continue
            if event.value is not None:
                self.put_item(KeyValue(event.key, event.value, event.mod_revision))
            else:
                self.remove_key(event.key, event.mod_revision)
        self.move_to(max(self.position, position))
        return True

    def move_to(self, position: StorePosition) -> None:
        """Set the position after changes up to it were applied.

        A listing or a difference may have items that are newer than its position. The advertised
        position must not be: hosts that have the same position would ask each other for changes
        that neither has, and no host that is ahead of both.
        """
        self.position = position
        self.advertised_position = min(self.advertised_position, position)

    def put_item(self, item: KeyValue) -> None:
        """Store an item unless the replica has the same or a newer revision of its key.

        An item of an earlier era that has the same value is replaced without a call of `on_change`.
        """
        current = self.items.get(item.key)
        if current is not None and current.mod_revision >= item.mod_revision:
            return
        self.items[item.key] = item
        if (
            current is not None
            and current.mod_revision == UNKNOWN_REVISION
            and current.value == item.value
        ):
            return
        self.advertise_change(item.key, item.mod_revision)
        if self.on_change(item.key, item.value, item.mod_revision) is False:
            self.discard_value(item, current is not None)

    def discard_value(self, item: KeyValue, was_known: bool) -> None:
        """Keep no value of an item, and its key only for the hosts that know its earlier value."""
        if was_known:
            self.items[item.key] = KeyValue(item.key, b"", item.mod_revision)
        else:
            del self.items[item.key]

    def remove_key(self, key: str, revision: int) -> None:
        """Remove a key and record its deletion.

        The deletion of a key that is not in the replica is recorded too, because other hosts may
        still have the key.
        """
        was_present = self.items.pop(key, None) is not None
        self.deletions.append((key, revision))
        if len(self.deletions) > MAX_DELETIONS:
            self.deletions_floor = self.deletions.popleft()[1]
        self.advertise_change(key, revision)
        if was_present:
            self.on_change(key, None, revision)

    def advertise_change(self, key: str, revision: int) -> None:
        """Raise the advertised position if the key is under one of the advertised prefixes."""
        if key.startswith(self.advertised_prefixes):
            position = StorePosition(self.position.era, revision)
            self.advertised_position = max(self.advertised_position, position)

    def advertise_deletions(self) -> None:
        """Make older replicas fetch the deletions that a listing did not show.

        A listing lacks keys that were written and deleted before it, which other hosts may still
        have. Only hosts that watch the store call this; otherwise every start of a host would
        make all others fetch from it.
        """
        floor = StorePosition(self.position.era, self.deletions_floor)
        self.advertised_position = max(self.advertised_position, floor)

    def difference_since(self, base: StorePosition) -> Difference:
        """Return what a replica at a position needs to reach this one's position.

        The difference is full for revision 0, for a revision that precedes the recorded deletions,
        and for another era; in the last case it has all values.
        """
        if base.era != self.position.era:
            return Difference(base, self.position, True, list(self.items.values()), [])
        revision = base.revision
        items = [item for item in self.items.values() if item.mod_revision > revision]
        if revision < self.deletions_floor or not revision:
            # Not every replica keeps the keys whose values cannot be used.
            older = [item for item in self.items.values() if item.mod_revision <= revision]
            items += [item for item in older if not item.value]
            unchanged = [item.key for item in older if item.value]
            return Difference(base, self.position, True, items, [], unchanged)
        deleted = [(key, at) for key, at in self.deletions if at > revision]
        return Difference(base, self.position, False, items, deleted)

    def apply_difference(self, difference: Difference) -> bool:
        """Apply the difference that another host sent.

        Returns:
            False if it was ignored: it is not newer than the replica, its base is ahead of the
            replica or of another era, or it names keys that the replica should have and lacks. In
            the last case `has_listing` becomes False, so that the next one must be complete.
        """
        if difference.position <= self.position and self.has_listing:
            return False
        if difference.needs_base() and not self.includes(difference.base):
            return False
        if difference.is_full:
            unchanged = [self.items[key] for key in difference.unchanged_keys if key in self.items]
            if len(unchanged) < len(difference.unchanged_keys):
                # The replica diverged from the store's history; the next one must be a listing.
                self.has_listing = False
                return False
            return self.apply_listing(difference.items + unchanged, difference.position)
        events = [WatchEvent(item.key, item.value, item.mod_revision) for item in difference.items]
        events += [WatchEvent(key, None, revision) for key, revision in difference.deleted]
        events.sort(key=lambda event: event.mod_revision)
        return self.apply_events(events, difference.position)

    def includes(self, base: StorePosition) -> bool:
        """Whether the replica has a listing and every change of its era up to a position."""
        return self.has_listing and base.era == self.position.era and base <= self.position
