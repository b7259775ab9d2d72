"""The pace at which batch items must begin to be done in time."""

from __future__ import annotations

from collections.abc import Iterable

PACE_SHARE = 0.2
"""Share of the time that is left to an item within which its turn should come. The rest is for what
goes wrong: items that are taken off, workers that fail, a store that is away."""

MOST_CREDIT = 2.0
"""Items that may begin on top after none could begin for a while."""


class Pace:
    """Counts how many waiting items should have begun by now."""

    __slots__ = ("_at_s", "_credit")

    def __init__(self) -> None:
        self._credit = 0.0
        self._at_s: float | None = None

    def due(self, times_left_s: Iterable[float], now_s: float) -> int:
        """Return how many items should begin now.

        ``times_left_s`` are the times that the waiting items have until they must have begun.
        """
        passed_s = 0.0 if self._at_s is None else max(0.0, now_s - self._at_s)
        self._at_s = now_s
        begin_by_chance = 0.0
        overdue = 0
        for left_s in times_left_s:
            if left_s <= passed_s:
                overdue += 1
            else:
                begin_by_chance += passed_s / (left_s * PACE_SHARE)
        self._credit = min(MOST_CREDIT, self._credit) + begin_by_chance
        return int(self._credit) + overdue

    def note_begun(self, items: int) -> None:
        """Take off items that began."""
        self._credit = max(0.0, self._credit - items)
