"""This host's copy of the platform's store."""

from collections import deque
from collections.abc import Callable

from godwitway.store import KeyValue, WatchEvent

__all__ = ["Difference", "Replica"]

DELETIONS_KEPT = 1_024

OnChange = Callable[[str, bytes | None, int], None]


class Difference:
    """What a copy has that an older one lacks.

    Attributes:
        base: Up to which revision the older copy must be complete; 0 for one that has nothing.
        revision: Up to which revision of the store the copy is complete.
        full: Whether the items and the kept keys are all keys, and not only those that changed.
        items: The keys that changed since the base, or all keys.
        kept: The keys of a full difference that did not change since the base.
        deleted: The keys that are gone, with the revisions at which they went.
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
    """Keys with their values, complete up to a revision, which only rises.

    Attributes:
        prefixes: What the keys begin with whose changes other hosts are told of at once.
        items: The present keys.
        has_listing: Whether the copy has had a complete list.
        revision: Up to which revision of the store the copy is complete.
        advertised_revision: The revision of the newest change under the prefixes.
        on_change: Called with key, value (None when it is gone) and revision of each change.
        deletions: The latest deletions.
        deletions_floor: Since which revision the deletions are complete.
    """

    __slots__ = (
        "advertised_revision",
        "deletions",
        "deletions_floor",
        "has_listing",
        "items",
        "on_change",
        "prefixes",
        "revision",
    )

    def __init__(self, prefixes: tuple[str, ...], on_change: OnChange) -> None:
        self.prefixes = prefixes
        self.on_change = on_change
        self.items: dict[str, KeyValue] = {}
        self.has_listing = False
        self.revision = 0
        self.advertised_revision = 0
        self.deletions: deque[tuple[str, int]] = deque()
        self.deletions_floor = 0

    def apply_listing(self, items: list[KeyValue], revision: int) -> bool:
        """Take over a complete list; returns False for one that is older than the copy."""
        if revision < self.revision:
            return False
        listed = {item.key: item for item in items}
        for key in [key for key in self.items if key not in listed]:
            self.remove_key(key, revision)
        for item in listed.values():
            self.put_item(item)
        # Deletions between the copy and the list are known without their revisions.
        self.deletions.clear()
        self.deletions_floor = revision
        self.has_listing = True
        self.revision = revision
        return True

    def apply_events(self, events: list[WatchEvent], revision: int) -> None:
        """Take over the changes that follow the copy, up to a revision."""
        for event in events:
            if event.mod_revision <= self.revision:
                continue
            if event.value is not None:
                self.put_item(KeyValue(event.key, event.value, event.mod_revision))
            else:
                self.remove_key(event.key, event.mod_revision)
        self.revision = max(self.revision, revision)

    def put_item(self, item: KeyValue) -> None:
        """Take over one key unless the copy has it as new."""
        known = self.items.get(item.key)
        if known is not None and known.mod_revision >= item.mod_revision:
            return
        self.items[item.key] = item
        self.note_change(item.key, item.mod_revision)
        self.on_change(item.key, item.value, item.mod_revision)

    def remove_key(self, key: str, revision: int) -> None:
        """Take a key out; that it is gone is also kept for hosts that may have it still."""
        known = self.items.pop(key, None) is not None
        self.deletions.append((key, revision))
        if len(self.deletions) > DELETIONS_KEPT:
            self.deletions_floor = self.deletions.popleft()[1]
        self.note_change(key, revision)
        if known:
            self.on_change(key, None, revision)

    def note_change(self, key: str, revision: int) -> None:
        """Take note of the newest change that other hosts should know of."""
        if key.startswith(self.prefixes):
            self.advertised_revision = max(self.advertised_revision, revision)

    def advertise_deletions(self) -> None:
        """Have other hosts ask for the deletions that a list did not show; for hosts that watch.

        A list lacks keys that were written and deleted before it, which others may still have.
        """
        self.advertised_revision = max(self.advertised_revision, self.deletions_floor)

    def difference_since(self, revision: int) -> Difference:
        """Return what a copy that is complete up to a revision lacks."""
        items = [item for item in self.items.values() if item.mod_revision > revision]
        if revision < self.deletions_floor or not revision:
            kept = [item.key for item in self.items.values() if item.mod_revision <= revision]
            return Difference(revision, self.revision, True, items, [], kept)
        deleted = [(key, at) for key, at in self.deletions if at > revision]
        return Difference(revision, self.revision, False, items, deleted)

    def apply_difference(self, difference: Difference) -> bool:
        """Take over what another copy has; returns whether it was of use."""
        if difference.revision <= self.revision and self.has_listing:
            return False
        if difference.base_revision and (
            not self.has_listing or difference.base_revision > self.revision
        ):
            return False
        if difference.is_full:
            kept = [self.items[key] for key in difference.unchanged_keys if key in self.items]
            if len(kept) < len(difference.unchanged_keys):
                self.has_listing = (
                    False  # This copy differs from the store's history: read it anew.
                )
                return False
            return self.apply_listing(difference.items + kept, difference.revision)
        events = [WatchEvent(item.key, item.value, item.mod_revision) for item in difference.items]
        events += [WatchEvent(key, None, revision) for key, revision in difference.deleted]
        events.sort(key=lambda event: event.mod_revision)
        self.apply_events(events, difference.revision)
        return True
