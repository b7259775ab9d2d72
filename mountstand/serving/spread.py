"""Spread requests over workers according to a load snapshot that is slightly out of date.

Used where a daemon may take slots that it does not own: if slots are not partitioned among daemons
(:mod:`mountstand.serving.slot_shares`), or if no own slot is free and slots are not scarce.

If all daemons sent their requests to the least loaded worker of the same snapshot, they would
overload it together. Instead, each daemon chooses at random. The weights are computed by
water-filling: the requests that all daemons together start before the next snapshot would raise the
least loaded workers to a common utilization.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

SMOOTHING_FACTOR = 0.1
"""Weight of a new duration in the exponential moving average."""


def utilization_after(utilizations: Sequence[tuple[float, int]], arrivals: float) -> float:
    """Return the common utilization to which ``arrivals`` raise the least loaded workers.

    ``utilizations`` holds a pair for each worker: its utilization, as a fraction of its slots, and
    its number of slots.
    """
    slots_below = 0
    remaining = arrivals
    level = 0.0
    for utilization, slots in sorted(utilizations):
        needed = (utilization - level) * slots_below
        if slots_below and needed >= remaining:
            break
        remaining -= needed
        level = utilization
        slots_below += slots
    return level + remaining / slots_below if slots_below else level


def deficits_below(utilizations: Sequence[tuple[float, int]], level: float) -> list[float]:
    """Return how many requests each worker needs to reach utilization ``level``."""
    return [max(0.0, level - utilization) * slots for utilization, slots in utilizations]


def stochastic_round(value: float, rng: random.Random) -> int:
    """Round up or down at random so that the expected result is ``value``.

    If many daemons always rounded up, each would take a slot, however small its share.
    """
    whole = math.floor(value)
    return whole + (rng.random() < value - whole)


class DurationAverages:
    """Exponential moving average of request durations, in seconds, per service."""

    __slots__ = ("_average_s_by_service",)

    def __init__(self) -> None:
        self._average_s_by_service: dict[str, float] = {}

    def observe(self, service: str, duration_s: float) -> None:
        """Add the duration of a completed request."""
        average_s = self._average_s_by_service.get(service, duration_s)
        self._average_s_by_service[service] = average_s + SMOOTHING_FACTOR * (
            duration_s - average_s
        )

    def average_s(self, service: str) -> float:
        """Return the average duration, or 0 if none is known."""
        return self._average_s_by_service.get(service, 0.0)

    def estimated_recent_starts(self, service: str, in_flight: int, window_s: float) -> float:
        """Estimate how many requests started within the last ``window_s`` (Little's law).

        ``in_flight`` is the number of running requests and the upper limit of the estimate. Return
        0 if no duration is known.
        """
        average_s = self.average_s(service)
        return in_flight * window_s / max(average_s, window_s) if average_s else 0.0
