"""What a daemon has given away of one tenant's requests within a sliding window."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

MERGE_INTERVAL_S = 0.1
"""Amounts given away together are kept as one; they come back when the last of them would."""


class SlidingSum:
    """The sum of amounts that were added within the last ``span_s``."""

    __slots__ = ("_amounts", "_span_s", "total")

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._amounts: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount; a negative one takes back what was added last."""
        self.evict_expired(now_s)
        if amount < 0:
            self._take_back(-amount)
            return
        self.total += amount
        if self._amounts and now_s - self._amounts[-1][0] < MERGE_INTERVAL_S:
            at_s, known = self._amounts[-1]
            self._amounts[-1] = (at_s, known + amount)
        else:
            self._amounts.append((now_s, amount))

    def entries(self) -> list[tuple[float, float]]:
        """Return what counts: amounts by the time at which they were added, in rising order."""
        return list(self._amounts)

    def add_backdated(self, entries: Iterable[tuple[float, float]], now_s: float) -> None:
        """Add amounts by the times at which they count from; some may be before what is there."""
        self._amounts = deque(sorted([*self._amounts, *entries]))
        self.total = sum(amount for _, amount in self._amounts)
        self.evict_expired(now_s)

    def evict_expired(self, now_s: float) -> None:
        """Let go what was added longer ago than the span."""
        while self._amounts and now_s - self._amounts[0][0] > self._span_s + MERGE_INTERVAL_S:
            self.total -= self._amounts.popleft()[1]
        if not self._amounts:
            self.total = 0.0

    def time_until_freed_s(self, amount: float, now_s: float) -> float:
        """Return after how many seconds so much of the sum is gone, or all of it if it is less."""
        gone = 0.0
        for at_s, added in self._amounts:
            gone += added
            if gone >= amount:
                return max(0.0, at_s + self._span_s + MERGE_INTERVAL_S - now_s)
        return self._span_s + MERGE_INTERVAL_S

    def _take_back(self, amount: float) -> None:
        while amount > 0 and self._amounts:
            at_s, known = self._amounts.pop()
            taken = min(known, amount)
            amount -= taken
            self.total -= taken
            if known > taken:
                self._amounts.append((at_s, known - taken))
