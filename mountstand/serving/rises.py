"""How steeply the online requests of a service rise, learned from the rises that were seen.

Batch items need about a second to leave all slots that a rise wants: their daemons must hear of it,
and their workers drop them. What online work takes meanwhile has to be free when a rise begins.
"""

from __future__ import annotations

import math
from collections import deque

HORIZON_S = 1.0
"""Rises are looked at over this time, as long as batch items take to leave the slots of a fleet."""

HALF_LIFE_S = 20.0
"""The memory of a rise is worth half after so long. Long enough for what comes back every few
seconds, short enough that one rise does not hold slots free all day."""


class RiseMemory:
    """Remembers the highest rise of the requests in flight within ``HORIZON_S``."""

    __slots__ = ("_highest", "_noted_at_s", "_recent")

    def __init__(self) -> None:
        self._recent: deque[tuple[float, int]] = deque()
        self._highest = 0.0
        self._noted_at_s = 0.0

    def note(self, online: int, now_s: float) -> None:
        """Take note of how many online requests are in flight."""
        while self._recent and now_s - self._recent[0][0] > HORIZON_S:
            self._recent.popleft()
        while self._recent and self._recent[-1][1] >= online:
            self._recent.pop()
        self._recent.append((now_s, online))
        lowest = self._recent[0][1]
        self._highest = max(self.expected(now_s), float(online - lowest))
        self._noted_at_s = now_s

    def expected(self, now_s: float) -> float:
        """Return by how many requests in flight a rise is expected to grow."""
        passed_s = max(0.0, now_s - self._noted_at_s)
        return self._highest * math.exp(-math.log(2) * passed_s / HALF_LIFE_S)
