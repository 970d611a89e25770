"""The tasks that make a host known to the others: its registration and its reports."""

import asyncio
from collections.abc import Callable

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._peers import REPORT_INTERVAL_S, Member, Peers
from godwitway.store import SteeringStore, StoreError

__all__ = ["maintain_registration", "report_periodically"]

LEASE_S = 60.0  # Longer than the store's outages for which the platform is tested.
RENEWAL_INTERVAL_S = 20.0  # A third of the lease, so that it outlasts a failed renewal.
RETRY_DELAY_S = 1.0  # The store takes far more than one call a second from each host.


async def report_periodically(peers: Peers) -> None:
    """Send reports to the other hosts every `REPORT_INTERVAL_S`; never returns."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        peers.send_report()


async def maintain_registration(
    store: SteeringStore,
    member: Member,
    on_store_call: Callable[[bool], None],
    journal: Journal,
    metrics: Metrics,
) -> None:
    """Keep a host registered in the store under a lease; never returns.

    Args:
        store: The store.
        member: The host.
        on_store_call: Called after each attempt with whether the store answered.
        journal: Receives registrations and failures.
        metrics: Counts failures.
    """
    lease = 0
    while True:
        try:
            if not lease or not await store.renew_lease(lease):
                lease = await store.grant_lease(LEASE_S)
                await store.put(member.to_key_value(), lease)
                journal.event("registered", lease=lease)
            on_store_call(True)
            await asyncio.sleep(RENEWAL_INTERVAL_S)
        except StoreError as error:
            on_store_call(False)
            metrics.count("store_errors", "register")
            journal.event("registration_failed", reason=str(error))
            await asyncio.sleep(RETRY_DELAY_S)
