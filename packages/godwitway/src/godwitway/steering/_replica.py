"""This host's replica of the platform's store, and the differences that hosts exchange."""

from collections import deque
from collections.abc import Callable

from godwitway.store import KeyValue, WatchEvent

__all__ = ["Difference", "Replica"]

MAX_DELETIONS = 1_024  # Bounds the memory; replicas from before them get a full difference.

OnChange = Callable[[str, bytes | None, int], None]


class Difference:
    """The changes that bring an older replica to a newer revision.

    Attributes:
        base_revision: The revision that the receiving replica must have reached; 0 if it may be
            empty.
        revision: The store revision that the receiver has after it applied the difference.
        is_full: Whether `items` and `unchanged_keys` together name every key of the store. If
            not, `items` and `deleted` are only what changed after the base revision.
        items: The keys that changed after the base revision, with values.
        deleted: Deleted keys with the revisions of their deletion; empty in a full difference.
        unchanged_keys: The keys of a full difference that the receiver already has with their
            current value.
    """

    __slots__ = ("base_revision", "deleted", "is_full", "items", "revision", "unchanged_keys")

    def __init__(
        self,
        base_revision: int,
        revision: int,
        is_full: bool,
        items: list[KeyValue],
        deleted: list[tuple[str, int]],
        unchanged_keys: list[str] | None = None,
    ) -> None:
        self.base_revision = base_revision
        self.revision = revision
        self.is_full = is_full
        self.items = items
        self.deleted = deleted
        self.unchanged_keys = unchanged_keys or []


class Replica:
    """A copy of the store's keys and values at a revision that never decreases.

    Attributes:
        advertised_prefixes: The prefixes of the keys whose changes raise the advertised revision.
        items: The current items by key.
        has_listing: Whether a listing, that is all keys of the store, was applied. Until then the
            replica may lack keys and applies only listings and differences from revision 0.
        revision: The store revision up to which the replica is complete.
        advertised_revision: The revision of the latest change under the advertised prefixes. This
            host reports it to the others, and those whose replica is older fetch the changes.
        on_change: Called with the key, value (None after a deletion) and revision of each change.
        deletions: The most recent deletions, as key and revision.
        deletions_floor: The revision after which `deletions` is complete.
    """

    __slots__ = (
        "advertised_prefixes",
        "advertised_revision",
        "deletions",
        "deletions_floor",
        "has_listing",
        "items",
        "on_change",
        "revision",
    )

    def __init__(self, advertised_prefixes: tuple[str, ...], on_change: OnChange) -> None:
        self.advertised_prefixes = advertised_prefixes
        self.on_change = on_change
        self.items: dict[str, KeyValue] = {}
        self.has_listing = False
        self.revision = 0
        self.advertised_revision = 0
        self.deletions: deque[tuple[str, int]] = deque()
        self.deletions_floor = 0

    def apply_listing(self, items: list[KeyValue], revision: int) -> bool:
        """Replace the content by a listing of the store.

        Args:
            items: All keys of the store at the revision.
            revision: The store revision of the listing.

        Returns:
            False if the listing is older than the replica and was ignored.
        """
        if revision < self.revision:
            return False
        listed = {item.key: item for item in items}
        for key in [key for key in self.items if key not in listed]:
            self.remove_key(key, revision)
        for item in listed.values():
            self.put_item(item)
        # The listing does not say at which revisions keys were deleted before it.
        self.deletions.clear()
        self.deletions_floor = revision
        self.has_listing = True
        self.revision = revision
        return True

    def apply_events(self, events: list[WatchEvent], revision: int) -> None:
        """Apply watch events, and skip those that the replica already includes.

        Args:
            events: All changes after the replica's revision, in the order of their revisions.
            revision: The store revision up to which the events are complete.
        """
        for event in events:
            if event.mod_revision <= self.revision:
                continue
            if event.value is not None:
                self.put_item(KeyValue(event.key, event.value, event.mod_revision))
            else:
                self.remove_key(event.key, event.mod_revision)
        self.revision = max(self.revision, revision)

    def put_item(self, item: KeyValue) -> None:
        """Store an item unless the replica has the same or a newer revision of its key."""
        current = self.items.get(item.key)
        if current is not None and current.mod_revision >= item.mod_revision:
            return
        self.items[item.key] = item
        self.advertise_change(item.key, item.mod_revision)
        self.on_change(item.key, item.value, item.mod_revision)

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
        """Raise the advertised revision if the key is under one of the advertised prefixes."""
        if key.startswith(self.advertised_prefixes):
            self.advertised_revision = max(self.advertised_revision, revision)

    def advertise_deletions(self) -> None:
        """Make older replicas fetch the deletions that a listing did not show.

        A listing lacks keys that were written and deleted before it, which other hosts may still
        have. Only hosts that watch the store call this; otherwise every start of a host would
        make all others fetch from it.
        """
        self.advertised_revision = max(self.advertised_revision, self.deletions_floor)

    def difference_since(self, revision: int) -> Difference:
        """Return what a replica at a revision needs to reach this one's revision.

        The difference is full for revision 0 and for one that precedes the recorded deletions.
        """
        items = [item for item in self.items.values() if item.mod_revision > revision]
        if revision < self.deletions_floor or not revision:
            unchanged = [item.key for item in self.items.values() if item.mod_revision <= revision]
            return Difference(revision, self.revision, True, items, [], unchanged)
        deleted = [(key, at) for key, at in self.deletions if at > revision]
        return Difference(revision, self.revision, False, items, deleted)

    def apply_difference(self, difference: Difference) -> bool:
        """Apply the difference that another host sent.

        Returns:
            False if it was ignored: it is not newer than the replica, its base revision is ahead
            of the replica, or it names keys that the replica should have and lacks. In the last
            case `has_listing` becomes False, so that the next difference must be full.
        """
        if difference.revision <= self.revision and self.has_listing:
            return False
        if difference.base_revision and (
            not self.has_listing or difference.base_revision > self.revision
        ):
            return False
        if difference.is_full:
            unchanged = [self.items[key] for key in difference.unchanged_keys if key in self.items]
            if len(unchanged) < len(difference.unchanged_keys):
                # The replica diverged from the store's history; the next one must be a listing.
                self.has_listing = False
                return False
            return self.apply_listing(difference.items + unchanged, difference.revision)
        events = [WatchEvent(item.key, item.value, item.mod_revision) for item in difference.items]
        events += [WatchEvent(key, None, revision) for key, revision in difference.deleted]
        events.sort(key=lambda event: event.mod_revision)
        self.apply_events(events, difference.revision)
        return True
