"""Sums over a sliding time window."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

MERGE_INTERVAL_S = 0.1
"""Amounts added within this time of an entry are merged into it.

Entries expire this much later than the span, so that no merged amount expires early.
"""


class SlidingSum:
    """The sum of amounts that were added within the last ``span_s``."""

    __slots__ = ("_amounts", "_span_s", "total")

    def __init__(self, span_s: float) -> None:
        self._span_s = span_s
        self._amounts: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount; a negative one is subtracted from the latest entries."""
        self.evict_expired(now_s)
        if amount < 0:
            self._remove_latest(-amount)
            return
        self.total += amount
        if self._amounts and now_s - self._amounts[-1][0] < MERGE_INTERVAL_S:
            at_s, previous = self._amounts[-1]
            self._amounts[-1] = (at_s, previous + amount)
        else:
            self._amounts.append((now_s, amount))

    def entries(self) -> list[tuple[float, float]]:
        """Return pairs of the time of addition and the amount, in ascending order."""
        return list(self._amounts)

    def add_backdated(self, entries: Iterable[tuple[float, float]], now_s: float) -> None:
        """Add entries with their times of addition, which may precede existing entries."""
        self._amounts = deque(sorted([*self._amounts, *entries]))
        self.total = sum(amount for _, amount in self._amounts)
        self.evict_expired(now_s)

    def evict_expired(self, now_s: float) -> None:
        """Drop entries that are older than the span."""
        while self._amounts and now_s - self._amounts[0][0] > self._span_s + MERGE_INTERVAL_S:
            self.total -= self._amounts.popleft()[1]
        if not self._amounts:
            self.total = 0.0

    def time_until_freed_s(self, amount: float, now_s: float) -> float:
        """Return the seconds until ``amount`` will have expired; a full span if the sum is less."""
        freed = 0.0
        for at_s, added in self._amounts:
            freed += added
            if freed >= amount:
                return max(0.0, at_s + self._span_s + MERGE_INTERVAL_S - now_s)
        return self._span_s + MERGE_INTERVAL_S

    def _remove_latest(self, amount: float) -> None:
        while amount > 0 and self._amounts:
            at_s, previous = self._amounts.pop()
            removed = min(previous, amount)
            amount -= removed
            self.total -= removed
            if previous > removed:
                self._amounts.append((at_s, previous - removed))
