"""Recognizes targets' entries that a restored store has in an older form than this host knows."""

from collections.abc import Iterable

from godwitway.steering._model import Target

__all__ = ["KnownUpdates"]


class KnownUpdates:
    """The updates of targets' entries that were applied before the store was last restored.

    The copy from which a store is restored may lack a target's last updates, such as that it
    drains, has left or was started again. Targets name their start time and number their updates,
    so that older ones are recognized.

    Attributes:
        next_updates: For each target the incarnation's start time in Unix milliseconds, and the
            number of the first update that is not outdated, by the target's id.
    """

    __slots__ = ("next_updates",)

    def __init__(self) -> None:
        self.next_updates: dict[str, tuple[int, int]] = {}

    def remember(self, present: Iterable[Target], missing: Iterable[Target]) -> None:
        """Replace what is known by the state at a restore.

        Args:
            present: The targets whose entries existed; their last update may be repeated.
            missing: The targets whose entries were gone; only a later update brings one back.
        """
        self.next_updates = {
            target.id: (target.started_ms, target.update_number) for target in present
        } | {target.id: (target.started_ms, target.update_number + 1) for target in missing}

    def is_outdated(self, announced: Target) -> bool:
        """Whether a later update, of the same or a later incarnation, was known at the restore."""
        if announced.id not in self.next_updates:
            return False
        return (announced.started_ms, announced.update_number) < self.next_updates[announced.id]

    def forget(self, target_id: str) -> None:
        """Forget a target after an update that is not outdated; later ones come in order."""
        self.next_updates.pop(target_id, None)

    def forget_all(self) -> None:
        """Forget all targets once the store has no lost updates left to be repeated.

        Start times are read from clocks that may be set back, so they order the incarnations of a
        target only as long as they must.
        """
        self.next_updates.clear()
