"""Whose requests go behind others when a service has less room than is asked for.

Each tenant has a fair share of the slot time that requests take: in proportion to its weight, of
what all that ask take together. While some wait, a tenant that has taken clearly more than that
goes behind those that have not; it gets what they leave. Who asks for less than its share is served
as if the other were not there, and while nobody waits, nothing is held back from anybody.

The load this answers: one tenant that sends many times its usual for some seconds, within its
limit, into a rise in which all slots are taken.

A daemon counts what it started itself. Callers choose daemons by chance, so that each sees about
the same mix; what a tenant takes at other daemons alone is not seen here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from mountstand.limits.window import SlidingSum

WINDOW_S = 5.0
"""Slot time counts for so long: longer than a rise of traffic takes to show who asks for more, and
short enough that a tenant back at its usual is soon served as the others."""

DEVIATIONS = 3.0
"""A tenant has taken clearly more than its share by so many standard deviations of independent
arrivals: one in a thousand of the tenants at their usual rate seems so by chance."""

FREE_REQUESTS = 2
"""A tenant is never behind for so many requests within a window, however small its share: one that
sends a request now and then is at many times its share for a moment."""

KEPT_S = 0.1
"""Who has taken more than its share is worked out this often at most: it changes over seconds, and
a look at 1,400 tenants takes some milliseconds."""


@dataclass(slots=True)
class _Taken:
    """What one tenant took lately; ``weight`` is ``None`` where it has none of its own."""

    weight: float | None
    slot_s: SlidingSum = field(default_factory=lambda: SlidingSum(WINDOW_S))
    requests: SlidingSum = field(default_factory=lambda: SlidingSum(WINDOW_S))

    def evict_expired(self, now_s: float) -> None:
        """Let go what does not count any more."""
        self.slot_s.evict_expired(now_s)
        self.requests.evict_expired(now_s)

    def is_clearly_over(self, share_s: float) -> bool:
        """Return whether more was taken than a share in slot time, beyond what chance explains."""
        if self.requests.total <= FREE_REQUESTS:
            return False
        usual_s = self.slot_s.total / self.requests.total
        return self.slot_s.total > share_s + DEVIATIONS * math.sqrt(share_s * usual_s)


class FairShares:
    """Slot time that tenants took at the workers of one service, in the last seconds."""

    __slots__ = ("_by_tenant", "_known_at_s", "_over")

    def __init__(self) -> None:
        self._by_tenant: dict[str, _Taken] = {}
        self._over: frozenset[str] = frozenset()
        self._known_at_s = float("-inf")

    def note_begun(self, tenant: str, weight: float | None, slot_s: float, now_s: float) -> None:
        """Count a request that begins, with the slot time that it usually takes."""
        taken = self._by_tenant.get(tenant)
        if taken is None:
            taken = self._by_tenant[tenant] = _Taken(weight)
        taken.weight = weight
        taken.slot_s.add(slot_s, now_s)
        taken.requests.add(1.0, now_s)

    def over(self, now_s: float) -> frozenset[str]:
        """Return the tenants that have taken clearly more than their share."""
        if now_s - self._known_at_s >= KEPT_S:
            self._known_at_s = now_s
            self._over = self._work_out(now_s)
        return self._over

    def _work_out(self, now_s: float) -> frozenset[str]:
        for tenant, taken in list(self._by_tenant.items()):
            taken.evict_expired(now_s)
            if not taken.requests.total:
                del self._by_tenant[tenant]
        told = [each.weight for each in self._by_tenant.values() if each.weight is not None]
        usual = sum(told) / len(told) if told else 1.0
        weights = {
            tenant: usual if taken.weight is None else taken.weight
            for tenant, taken in self._by_tenant.items()
        }
        whole = sum(weights.values())
        total_s = sum(taken.slot_s.total for taken in self._by_tenant.values())
        return frozenset(
            tenant
            for tenant, taken in self._by_tenant.items()
            if taken.is_clearly_over(total_s * weights[tenant] / whole)
        )
