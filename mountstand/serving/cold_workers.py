"""How many requests a cold worker may be sent, by all daemons together.

A worker that has just started, or whose machine has, bears only some requests a second, and falls
over at well above that. So the daemons that serve callers share the bound out in whole requests
(:mod:`mountstand.limits.dealt`), and each counts what it sends within any second. No message
passes, so nothing that is cut, lost or dead can raise the sum.

A daemon sends nothing to cold workers while it does not know which daemons serve: for a window
after its start, since the process before it may just have used its part, and while its picture of
the fleet is too old. Cold workers take what they bear from all others meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountstand.limits.dealt import allocated_units
from mountstand.limits.sharing import LimitSharing
from mountstand.limits.window import SlidingSum

WINDOW_S = 1.0
"""What cold workers bear is told by the second."""

START_S = WINDOW_S + 0.5
"""For so long after a start nothing is sent to cold workers: what the process before sent counts
for a window, and other daemons take in a change of the fleet within the rest."""

SPARE_SHARE = 0.5
"""Share of what may exceed the bound that is shared out too. The rest is for daemons whose views of
the fleet differ for a moment."""


@dataclass(frozen=True, slots=True)
class ColdStartLimit:
    """What the workers of a service bear after a start."""

    duration_s: float
    requests_per_s: float


@dataclass(frozen=True, slots=True)
class ColdStartTolerance:
    """How exactly the bound of cold workers must be kept.

    A second may hold ``requests_per_s x factor + slack`` requests.
    """

    factor: float = 1.0
    slack: float = 0.0

    def shared_out(self, cold: ColdStartLimit) -> int:
        """Return how many requests of a second all daemons share out."""
        bound = cold.requests_per_s
        beyond = bound * self.factor + self.slack - bound
        return int(bound + max(0.0, beyond) * SPARE_SHARE)


class ColdStartShares:
    """Which part of what cold workers bear is this daemon's.

    ``began_s`` is when the process started; ``has_recent_fleet_view`` returns whether its picture of the
    daemons is fresh.
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
        self._knows_fleet = has_recent_fleet_view
        self._dealt: dict[tuple[str, int], int] = {}
        self._dealt_among: tuple[str, ...] = ()

    def part(self, worker_id: str, cold: ColdStartLimit, now_s: float) -> int:
        """Return how many requests this daemon may send a cold worker within a second."""
        if now_s - self._began_s < START_S or not self._knows_fleet():
            return 0
        sharers = self._limit_sharing.sharers
        if self._dealt_among is not sharers:
            self._dealt_among = sharers
            self._dealt.clear()
        units = self.tolerance.shared_out(cold)
        dealt = self._dealt.get((worker_id, units))
        if dealt is None:
            dealt = allocated_units(units, worker_id, self._limit_sharing.own_name, sharers)
            self._dealt[worker_id, units] = dealt
        return dealt


class ColdBudget:
    """What this daemon may send to one worker while that is cold."""

    __slots__ = ("_sends", "_used", "_worker_id", "cold", "cold_until_s")

    def __init__(self, worker_id: str, cold: ColdStartLimit, sends: ColdStartShares) -> None:
        self._worker_id = worker_id
        self._sends = sends
        self._used = SlidingSum(WINDOW_S)
        self.cold = cold
        self.cold_until_s = float("-inf")
        """Until when the worker is cold, as far as is known."""

    def note_cold(self, cold_until_s: float) -> None:
        """Note that the worker is cold until a certain time; word of an earlier end is older."""
        self.cold_until_s = max(self.cold_until_s, cold_until_s)

    def allows(self, now_s: float) -> bool:
        """Return whether a request may be sent to the worker now."""
        if now_s >= self.cold_until_s:
            return True
        self._used.evict_expired(now_s)
        return self._used.total + 1 <= self._sends.part(self._worker_id, self.cold, now_s)

    def take(self, now_s: float) -> bool:
        """Count a request that is sent now; returns whether it may be.

        Requests to a warm worker count too: it may turn out to have been cold already.
        """
        allowed = self.allows(now_s)
        if allowed:
            self._used.add(1.0, now_s)
        return allowed
