"""Determine which tenants are over their fair share of a service's slots.

A tenant's fair share is the slot time that all tenants used recently, divided in proportion to
their weights. A tenant is over its share if its slot time exceeds the share by more than random
variation. While requests wait, those of tenants over their share go after those of other tenants.
Tenants within their share are thus not delayed by another tenant's burst, even if that burst is
within its rate limit. While no requests wait, shares have no effect.

Each daemon counts only the requests that it started itself. Callers choose daemons at random, so
that every daemon sees about the same mix of tenants; use concentrated on other daemons is not
counted here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mountstand.limits.window import SlidingSum

USAGE_WINDOW_S = 5.0
"""Length of the sliding window over which slot time counts: long enough to identify the tenants
that cause a burst, short enough that a tenant is soon served normally again after its burst."""

OVERUSE_DEVIATIONS = 3.0
"""Number of standard deviations of independent arrivals by which a tenant's slot time must exceed
its share to count as over its share. About one in a thousand tenants that use exactly their share
exceeds it by chance."""

EXEMPT_REQUESTS = 2
"""Number of requests per window that never put a tenant over its share. Without this, a tenant with
occasional requests and a small share would briefly exceed it."""

RECOMPUTE_INTERVAL_S = 0.1
"""Minimum interval between computations of the tenants over their share, which iterate over all
recent tenants and take some milliseconds for 1,400. The result changes over seconds, so it may be
slightly out of date."""


@dataclass(slots=True)
class _TenantUsage:
    """A tenant's use within the window; ``weight`` is ``None`` if none is configured for it."""

    weight: float | None
    slot_time_s: SlidingSum = field(default_factory=lambda: SlidingSum(USAGE_WINDOW_S))
    request_count: SlidingSum = field(default_factory=lambda: SlidingSum(USAGE_WINDOW_S))

    def expire(self, now_s: float) -> None:
        """Drop use that is older than the window."""
        self.slot_time_s.evict_expired(now_s)
        self.request_count.evict_expired(now_s)

    def is_over_share(self, share_s: float) -> bool:
        """Return whether the slot time exceeds ``share_s`` by more than random variation."""
        if self.request_count.total <= EXEMPT_REQUESTS:
            return False
        mean_s = self.slot_time_s.total / self.request_count.total
        return self.slot_time_s.total > share_s + OVERUSE_DEVIATIONS * math.sqrt(share_s * mean_s)


class FairShares:
    """Slot time that tenants used recently at the workers of one service."""

    __slots__ = ("_computed_at_s", "_over_share", "_usage_by_tenant")

    def __init__(self) -> None:
        self._usage_by_tenant: dict[str, _TenantUsage] = {}
        self._over_share: frozenset[str] = frozenset()
        self._computed_at_s = float("-inf")

    def record_start(
        self, tenant: str, weight: float | None, slot_time_s: float, now_s: float
    ) -> None:
        """Count a request that starts, charged with ``slot_time_s`` in advance."""
        usage = self._usage_by_tenant.get(tenant)
        if usage is None:
            usage = self._usage_by_tenant[tenant] = _TenantUsage(weight)
        usage.weight = weight
        usage.slot_time_s.add(slot_time_s, now_s)
        usage.request_count.add(1.0, now_s)

    def tenants_over_share(self, now_s: float) -> frozenset[str]:
        """Return the tenants that are over their fair share."""
        if now_s - self._computed_at_s >= RECOMPUTE_INTERVAL_S:
            self._computed_at_s = now_s
            self._over_share = self._compute_over_share(now_s)
        return self._over_share

    def _compute_over_share(self, now_s: float) -> frozenset[str]:
        for tenant, usage in list(self._usage_by_tenant.items()):
            usage.expire(now_s)
            if not usage.request_count.total:
                del self._usage_by_tenant[tenant]
        explicit_weights = [
            each.weight for each in self._usage_by_tenant.values() if each.weight is not None
        ]
        default_weight = sum(explicit_weights) / len(explicit_weights) if explicit_weights else 1.0
        weights = {
            tenant: default_weight if usage.weight is None else usage.weight
            for tenant, usage in self._usage_by_tenant.items()
        }
        total_weight = sum(weights.values())
        total_slot_time_s = sum(usage.slot_time_s.total for usage in self._usage_by_tenant.values())
        return frozenset(
            tenant
            for tenant, usage in self._usage_by_tenant.items()
            if usage.is_over_share(total_slot_time_s * weights[tenant] / total_weight)
        )
