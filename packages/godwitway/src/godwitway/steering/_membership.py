"""The tasks that make a host known to the others: its registration and its reports."""

import asyncio
from collections.abc import Callable

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._peers import REPORT_INTERVAL_S, Member, Peers
from godwitway.steering._replica import Replica
from godwitway.store import FIRST_POSITION, SteeringStore, StoreError

__all__ = ["Registration", "report_periodically"]

CHECK_INTERVAL_S = 2.0  # Much shorter than the time after which a silent host is unregistered.
RETRY_DELAY_S = 1.0  # The store takes far more than one call a second from each host.
MAX_REMOVED_KEYS = 32  # The store's limit for one transaction.


async def report_periodically(peers: Peers) -> None:
    """Send reports to the other hosts every `REPORT_INTERVAL_S`; never returns."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        peers.send_report()


class Registration:
    """Keeps this host's key in the store, and removes the keys of hosts that are gone.

    The key has no lease: a host that restarts with the same address finds its key and makes no
    call, also when all hosts restart at once. The leaders of a group remove the keys of its dead
    hosts; a living host whose key was removed by mistake writes it again.

    Attributes:
        store: The store.
        item: This host's key and value.
        replica: This host's replica of the store.
        peers: The other hosts.
        on_store_call: Called after each call with whether the store answered.
        written_position: The store's position after this process last wrote the key.
    """

    def __init__(
        self,
        store: SteeringStore,
        member: Member,
        replica: Replica,
        peers: Peers,
        on_store_call: Callable[[bool], None],
        journal: Journal,
        metrics: Metrics,
    ) -> None:
        self.store = store
        self.item = member.to_key_value()
        self.replica = replica
        self.peers = peers
        self.on_store_call = on_store_call
        self.journal = journal
        self.metrics = metrics
        self.written_position = FIRST_POSITION

    def is_needed(self) -> bool:
        """Whether the replica shows that the store lacks this host's key or has another value.

        A replica that has not reached the position of this process's last write shows nothing.
        """
        current = self.replica.items.get(self.item.key)
        if current is not None and current.value == self.item.value:
            return False
        return self.replica.position >= self.written_position

    async def register(self) -> bool:
        """Write this host's key; returns False, after logging it, if the store did not answer."""
        try:
            self.written_position = await self.store.put(self.item)
        except StoreError as error:
            self.record_failure("register", error)
            return False
        self.on_store_call(True)
        self.journal.event("registered", revision=self.written_position.revision)
        return True

    async def remove_dead_hosts(self) -> bool:
        """Remove the keys of hosts that this host should unregister; see `Peers.find_dead_hosts`.

        A host that has written its key again meanwhile keeps it.

        Returns:
            False, after logging it, if the store did not answer.
        """
        keys = self.peers.find_dead_hosts(self.peers.steering.now())[:MAX_REMOVED_KEYS]
        items = [self.replica.items[key] for key in keys if key in self.replica.items]
        if not items:
            return True
        try:
            were_removed = await self.store.remove(items)
        except StoreError as error:
            self.record_failure("unregister", error)
            return False
        self.on_store_call(True)
        self.journal.event(
            "hosts_unregistered", keys=[item.key for item in items], removed=were_removed
        )
        return True

    def record_failure(self, call: str, error: StoreError) -> None:
        """Count and log a call that the store did not answer."""
        self.on_store_call(False)
        self.metrics.count("store_errors", call)
        self.journal.event("registration_failed", call=call, reason=str(error))

    async def maintain(self) -> None:
        """Keep this host registered, and unregister dead hosts; never returns."""
        while True:
            succeeded = await self.register() if self.is_needed() else True
            if succeeded and await self.remove_dead_hosts():
                await asyncio.sleep(CHECK_INTERVAL_S)
            else:
                await asyncio.sleep(RETRY_DELAY_S)
