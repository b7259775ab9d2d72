"""Spreads requests over workers by a picture of their load that is a little old.

Daemons that all send to the least loaded worker of the same old picture overload it together. So
each sends by chance, in such proportions that what all of them send while the picture is as it is
levels the loads: the emptiest workers are filled up to a common level, like water fills a vessel.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

DURATION_WEIGHT = 0.1
"""Weight of a new duration in the usual one."""


def utilization_after(fills: Sequence[tuple[float, int]], arrivals: float) -> float:
    """Return the fill that ``arrivals`` level the emptiest workers to.

    ``fills`` are pairs of a worker's fill, as a share of its slots, and its slots.
    """
    slots_below = 0
    left = arrivals
    level = 0.0
    for fill, slots in sorted(fills):
        needed = (fill - level) * slots_below
        if slots_below and needed >= left:
            break
        left -= needed
        level = fill
        slots_below += slots
    return level + left / slots_below if slots_below else level


def deficits_below(fills: Sequence[tuple[float, int]], level: float) -> list[float]:
    """Return how many requests each worker lacks to be filled to ``level``."""
    return [max(0.0, level - fill) * slots for fill, slots in fills]


def round_by_chance(value: float, source: random.Random) -> int:
    """Return a whole number that is ``value`` on average.

    Rounding up would make each of many daemons take one, however small its part.
    """
    whole = math.floor(value)
    return whole + (source.random() < value - whole)


class DurationAverages:
    """How long requests usually take, in seconds by service."""

    __slots__ = ("_usual_s_by_service",)

    def __init__(self) -> None:
        self._usual_s_by_service: dict[str, float] = {}

    def observe(self, service: str, duration_s: float) -> None:
        """Take note of how long a request took."""
        average_s = self._usual_s_by_service.get(service, duration_s)
        self._usual_s_by_service[service] = average_s + DURATION_WEIGHT * (duration_s - average_s)

    def average_s(self, service: str) -> float:
        """Return how long a request usually takes, or 0 where nothing is known."""
        return self._usual_s_by_service.get(service, 0.0)

    def arrivals(self, service: str, in_flight: int, within_s: float) -> float:
        """Return how many requests began within a time, given how many run (Little's law)."""
        average_s = self.average_s(service)
        return in_flight * within_s / max(average_s, within_s) if average_s else 0.0
