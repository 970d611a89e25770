"""This host's copy of the keys under one prefix of the platform's store."""

from collections.abc import Callable

from godwitway.store import KeyValue, WatchEvent

__all__ = ["Replica"]

OnChange = Callable[[str, bytes | None, int], None]


class Replica:
    """Keys with their values, complete up to a revision, which only rises.

    Attributes:
        prefix: What all keys begin with.
        items: The present keys.
        listed: Whether the copy has had a complete list.
        revision: Up to which revision of the store the copy is complete.
        newest: The revision of the newest change in the copy.
        on_change: Called with key, value (None when it is gone) and revision of each change.
    """

    __slots__ = ("items", "listed", "newest", "on_change", "prefix", "revision")

    def __init__(self, prefix: str, on_change: OnChange) -> None:
        self.prefix = prefix
        self.on_change = on_change
        self.items: dict[str, KeyValue] = {}
        self.listed = False
        self.revision = 0
        self.newest = 0

    def apply_listing(self, items: list[KeyValue], revision: int) -> bool:
        """Take over a complete list; returns False for one that is older than the copy."""
        if revision < self.revision:
            return False
        listed = {item.key: item for item in items if item.key.startswith(self.prefix)}
        for key in [key for key in self.items if key not in listed]:
            del self.items[key]
            self.on_change(key, None, revision)
        for item in listed.values():
            self.put(item)
        self.listed = True
        self.revision = revision
        return True

    def apply_events(self, events: list[WatchEvent], revision: int) -> None:
        """Take over the changes that follow the copy, up to a revision."""
        for event in events:
            if event.mod_revision <= self.revision or not event.key.startswith(self.prefix):
                continue
            self.newest = max(self.newest, event.mod_revision)
            if event.value is not None:
                self.put(KeyValue(event.key, event.value, event.mod_revision))
            elif self.items.pop(event.key, None) is not None:
                self.on_change(event.key, None, event.mod_revision)
        self.revision = max(self.revision, revision)

    def put(self, item: KeyValue) -> None:
        """Take over one key unless the copy has it as new."""
        known = self.items.get(item.key)
        if known is not None and known.mod_revision >= item.mod_revision:
            return
        self.items[item.key] = item
        self.newest = max(self.newest, item.mod_revision)
        self.on_change(item.key, item.value, item.mod_revision)
