"""The tasks that make a host known to the others."""

import asyncio
from collections.abc import Callable

from godwitway.journal import Journal
from godwitway.metrics import Metrics
from godwitway.steering._peers import REPORT_INTERVAL_S, Member, Peers
from godwitway.store import SteeringStore, StoreError

__all__ = ["keep_registered", "keep_reporting"]

LEASE_S = 60.0  # Longer than the store's outages of the site files.
RENEW_S = 20.0  # A third of the lease, so that one lost call does not end it.
RETRY_S = 1.0  # A call each second and host is far below what the store takes.


async def keep_reporting(peers: Peers) -> None:
    """Report to the other hosts for as long as the process lives."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        peers.send_report()


async def keep_registered(
    store: SteeringStore,
    member: Member,
    on_reach: Callable[[bool], None],
    journal: Journal,
    metrics: Metrics,
) -> None:
    """Keep a host's key in the store for as long as the process lives."""
    lease = 0
    while True:
        try:
            if not lease or not await store.renew_lease(lease):
                lease = await store.grant_lease(LEASE_S)
                await store.put(member.to_key_value(), lease)
                journal.event("registered", lease=lease)
            on_reach(True)
            await asyncio.sleep(RENEW_S)
        except StoreError as error:
            on_reach(False)
            metrics.count("store_errors", "register")
            journal.event("registration_failed", reason=str(error))
            await asyncio.sleep(RETRY_S)
