"""Fleet-wide rate limit for requests to workers during their cold start.

Shortly after a start of the worker or of its machine, a worker handles only a limited request rate
and fails well above it. The daemons that serve callers divide this limit among themselves in whole
requests (:mod:`mountstand.limits.dealt`), and each enforces its own share over a sliding window.
They exchange no messages for this, so partitions, lost messages and dead daemons cannot cause the
sum to exceed the limit.

A daemon sends nothing to cold workers while its view of the fleet may be wrong: shortly after its
start, as its previous process may just have used its share, and while its view of the fleet is
stale. The other daemons keep using their shares meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountstand.limits.dealt import allocated_units
from mountstand.limits.sharing import LimitSharing
from mountstand.limits.window import SlidingSum

WINDOW_S = 1.0
"""Length of the sliding window; limits are in requests per second."""

STARTUP_HOLD_S = WINDOW_S + 0.5
"""Time after its start for which a daemon sends nothing to cold workers. It covers one window for
the requests of its previous process, and the time until other daemons see the fleet change."""

SHARED_EXCESS_FRACTION = 0.5
"""Fraction of the tolerated excess that is shared among daemons too. The rest covers daemons whose
views of the fleet differ temporarily."""


@dataclass(frozen=True, slots=True)
class ColdStartLimit:
    """Length of a cold start and the request rate that a worker handles during it."""

    duration_s: float
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class ColdStartTolerance:
    """Tolerated excess over a cold-start limit.

    Up to ``requests_per_s * factor + slack`` requests may be sent within any second.
    """

    factor: float = 1.0
    slack: float = 0.0

    def shared_requests(self, limit: ColdStartLimit) -> int:
        """Return how many requests per window all daemons share."""
        rate = limit.requests_per_s
        excess = rate * self.factor + self.slack - rate
        return int(rate + max(0.0, excess) * SHARED_EXCESS_FRACTION)


class ColdStartShares:
    """Computes this daemon's shares of the cold-start limits of workers.

    ``began_s`` is the start time of this process; ``has_recent_fleet_view`` returns whether
    its view of the daemons that serve is recent enough.
    """

    def __init__(
        self,
        limit_sharing: LimitSharing,
        tolerance: ColdStartTolerance,
        began_s: float,
        has_recent_fleet_view: Callable[[], bool],
    ) -> None:
        self._limit_sharing = limit_sharing
        self.tolerance = tolerance
        self._began_s = began_s
        self._has_recent_fleet_view = has_recent_fleet_view
        self._share_by_key: dict[tuple[str, int], int] = {}
        self._cached_sharers: tuple[str, ...] = ()

    def share(self, worker_id: str, limit: ColdStartLimit, now_s: float) -> int:
        """Return how many requests per window this daemon may send to a cold worker."""
        if now_s - self._began_s < STARTUP_HOLD_S or not self._has_recent_fleet_view():
            return 0
        sharers = self._limit_sharing.sharers
        if self._cached_sharers is not sharers:
            self._cached_sharers = sharers
            self._share_by_key.clear()
        units = self.tolerance.shared_requests(limit)
        share = self._share_by_key.get((worker_id, units))
        if share is None:
            share = allocated_units(units, worker_id, self._limit_sharing.own_name, sharers)
            self._share_by_key[worker_id, units] = share
        return share


class ColdStartBudget:
    """Limits what this daemon sends to one worker during its cold start."""

    __slots__ = ("_shares", "_window", "_worker_id", "cold_until_s", "limit")

    def __init__(self, worker_id: str, limit: ColdStartLimit, shares: ColdStartShares) -> None:
        self._worker_id = worker_id
        self._shares = shares
        self._window = SlidingSum(WINDOW_S)
        self.limit = limit
        self.cold_until_s = float("-inf")
        """Known end of the cold-start period."""

    def extend_cold_period(self, cold_until_s: float) -> None:
        """Treat the worker as cold until ``cold_until_s``, unless a later end is already known."""
        self.cold_until_s = max(self.cold_until_s, cold_until_s)

    def has_capacity(self, now_s: float) -> bool:
        """Return whether a request may be sent now. Warm workers have no limit."""
        if now_s >= self.cold_until_s:
            return True
        self._window.evict_expired(now_s)
        return self._window.total + 1 <= self._shares.share(self._worker_id, self.limit, now_s)

    def try_acquire(self, now_s: float) -> bool:
        """Count a request if it may be sent now; return whether it may.

        Requests to a warm worker are counted too, as it may turn out to have been cold already.
        """
        allowed = self.has_capacity(now_s)
        if allowed:
            self._window.add(1.0, now_s)
        return allowed
