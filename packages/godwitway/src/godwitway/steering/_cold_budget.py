"""Limits the new flows that this host sends to cold targets, without agreement between hosts.

All hosts together may send a cold target a limited number of new flows in any second. Each host
counts its own flows against its share of the limit; see `_cold_shares`.
"""

import itertools
import math
from collections import deque
from collections.abc import Iterable

from godwitway.addresses import Address
from godwitway.steering._catalog import Catalog
from godwitway.steering._cold_shares import NEVER_S, ZoneView
from godwitway.steering._model import Target

__all__ = ["SHARE_WINDOW_S", "VIEW_SETTLE_S", "ColdBudgets"]

# The limit applies to any second at the target; flows that leave this far apart are still more than
# a second apart if one of them is delayed by up to 50 ms.
SHARE_WINDOW_S = 1.05
# Hosts learn of a change of the registered hosts at different times. After a share's window and the
# 2.5 s by which reports may be late, no host uses a share of the earlier view any more.
VIEW_SETTLE_S = SHARE_WINDOW_S + 2.5


class ColdBudgets:
    """This host's shares of the new flows that cold targets may get.

    Times are in seconds of the process's clock. A share is a number of flows in any
    `SHARE_WINDOW_S`. It is the smallest of those under the views of the zone's hosts within the
    last `VIEW_SETTLE_S`.

    Attributes:
        catalog: The configuration in force.
        own_address: The address with which this host is registered.
        rate_factor: The factor for a service's `cold_per_s`, None for no limit.
        rate_slack: The flows per second that are added to the product, None for no limit.
        started_at: When the process started. Its predecessor may have used its shares until then.
        is_serving: Whether this host has begun to serve. Until then it reads a listing of the
            store, and the views that result from parts of the listing are not kept.
        views: The views of each zone's hosts, by zone: the latest one, and before it those that
            were replaced within `VIEW_SETTLE_S` of the latest change.
        sent_at: When this host sent its last flows to a target while it was cold, by target id.
    """

    __slots__ = (
        "catalog",
        "is_serving",
        "own_address",
        "rate_factor",
        "rate_slack",
        "sent_at",
        "started_at",
        "views",
    )

    def __init__(
        self,
        catalog: Catalog,
        own_address: Address,
        rate_factor: float | None,
        rate_slack: float | None,
        started_at: float,
    ) -> None:
        self.catalog = catalog
        self.own_address = own_address
        self.rate_factor = rate_factor
        self.rate_slack = rate_slack
        self.started_at = started_at
        self.is_serving = False
        self.views: dict[str, list[ZoneView]] = {}
        self.sent_at: dict[str, deque[float]] = {}

    def is_limited(self) -> bool:
        """Whether the settings limit the flows to cold targets."""
        return self.rate_factor is not None and self.rate_slack is not None

    def limit_per_s(self, service: str) -> float:
        """Return how many flows a second a cold target of a service may get from all hosts.

        A service that the configuration lacks, or whose entry is invalid, has a rate of 0.
        """
        if not self.is_limited():
            return math.inf
        config = self.catalog.config
        known = config.services.get(service) if config else None
        return (known.cold_per_s if known else 0.0) * self.rate_factor + self.rate_slack

    def set_hosts(self, zone: str, hosts: Iterable[Address], now: float) -> None:
        """Set the registered hosts of a zone, including this host if it is registered there."""
        latest = ZoneView(frozenset(hosts), self.own_address)
        kept = self.views.get(zone, [])
        if kept and kept[-1].hosts == latest.hosts:
            return
        if not self.is_serving:
            kept = []
        elif not kept:
            kept = [ZoneView(frozenset(), self.own_address)]
        if kept:
            kept[-1].replaced_at = now
        kept = [view for view in kept if now < view.replaced_at + VIEW_SETTLE_S]
        self.views[zone] = [*kept, latest]

    def is_limited_now(self, target: Target, now: float) -> bool:
        """Whether the flows to a target are limited, because it is cold."""
        return now < target.cold_until and self.is_limited()

    def share_of(self, target: Target, now: float) -> int:
        """Return this host's share of the flows to a cold target; see `ColdBudgets`."""
        limit = self.limit_per_s(target.service)
        return min(
            (
                view.share_of(target.id, limit)
                for view in self.views.get(target.zone, ())
                if now < view.replaced_at + VIEW_SETTLE_S
            ),
            default=0,
        )

    def usable_at(self, target: Target, now: float) -> float:
        """Return when this host may send another flow to a cold target.

        Returns:
            A time up to `now` if it may now, and `NEVER_S` if it has no share as it knows the
            hosts now. The target may be warm before.
        """
        views = self.views.get(target.zone)
        if not views:
            return NEVER_S
        if not views[-1].share_of(target.id, self.limit_per_s(target.service)):
            return NEVER_S
        share = self.share_of(target, now)
        if not share:
            return views[-2].replaced_at + VIEW_SETTLE_S
        usable_at = self.started_at + SHARE_WINDOW_S
        sent_at = self.sent_at.get(target.id, ())
        if len(sent_at) >= share:
            usable_at = max(usable_at, sent_at[-share] + SHARE_WINDOW_S)
        return usable_at

    def may_place(self, target: Target, now: float) -> bool:
        """Whether this host may send a new flow to a target; always if the target is warm."""
        return not self.is_limited_now(target, now) or self.usable_at(target, now) <= now

    def wait_s(self, target: Target, now: float) -> float:
        """Return after how many seconds this host may send a flow to a target, 0.0 if now."""
        if not self.is_limited_now(target, now):
            return 0.0
        return max(0.0, min(target.cold_until, self.usable_at(target, now)) - now)

    def record(self, target: Target, now: float) -> None:
        """Record that a new flow is sent to a target; without effect if the target is warm."""
        if self.is_limited_now(target, now):
            sent_at = self.sent_at.setdefault(target.id, deque())
            remove_outdated(sent_at, now)
            sent_at.append(now)

    def remaining(self, target: Target, now: float) -> int | None:
        """Return how many flows this host may send to a target now, None if it is not limited."""
        if not self.is_limited_now(target, now):
            return None
        if self.usable_at(target, now) > now:
            return 0
        sent_at = self.sent_at.get(target.id, ())
        return self.share_of(target, now) - sum(now < sent + SHARE_WINDOW_S for sent in sent_at)

    def expire(self, now: float) -> None:
        """Remove the records of targets without recent flows, and the ranks for removed targets."""
        for target_id, sent_at in list(self.sent_at.items()):
            remove_outdated(sent_at, now)
            if not sent_at:
                del self.sent_at[target_id]
        known = self.catalog.targets
        for view in itertools.chain.from_iterable(self.views.values()):
            view.ranks = {id: rank for id, rank in view.ranks.items() if id in known}


def remove_outdated(sent_at: deque[float], now: float) -> None:
    """Remove the times of flows that no longer count against a share."""
    while sent_at and sent_at[0] + SHARE_WINDOW_S <= now:
        sent_at.popleft()
