"""Which part of every limit one daemon keeps by itself: an even one among those that serve.

Which daemons serve follows from the list in the store, not from who is believed to run. A daemon
that is silent may still let requests through, so its part stays its own until it is sure that it
stopped: one that has lost touch with most of the others gives its part up after ``FEW_S``, and
those that are in touch with most share out the parts of the silent after ``GONE_S``.
"""

from __future__ import annotations

from collections.abc import Collection

FEW_S = 8.0
GONE_S = 10.0
"""The two seconds between are for clocks that run apart and for views that come late."""


class Standing:
    """One daemon's place among those that serve callers."""

    __slots__ = ("_few_since_s", "_fleet", "_own", "_running", "_silent_since_s")

    def __init__(self, own: str) -> None:
        self._own = own
        self._fleet: frozenset[str] = frozenset()
        self._running: frozenset[str] = frozenset()
        self._silent_since_s: dict[str, float] = {}
        self._few_since_s: float | None = None

    @property
    def peers(self) -> list[str]:
        """The other daemons that serve and are believed to run."""
        return sorted((self._fleet & self._running) - {self._own})

    def use(self, fleet: Collection[str], running: Collection[str], now_s: float) -> None:
        """Take the daemons that serve by the store's list, and those believed to run."""
        self._fleet = frozenset(fleet)
        self._running = frozenset(running) | {self._own}
        since = self._silent_since_s
        silent = self._fleet - self._running
        self._silent_since_s = {name: since.get(name, now_s) for name in silent}
        if self._in_touch:
            self._few_since_s = None
        elif self._few_since_s is None:
            self._few_since_s = now_s

    def share(self, now_s: float) -> float:
        """Return the part of every limit that is this daemon's own, from 0 to 1."""
        if self._own not in self._fleet:
            return 0.0
        if self._few_since_s is not None and now_s - self._few_since_s >= FEW_S:
            return 0.0
        if not self._in_touch:
            return 1 / len(self._fleet)
        gone = sum(now_s - since_s >= GONE_S for since_s in self._silent_since_s.values())
        return 1 / (len(self._fleet) - gone)

    @property
    def _in_touch(self) -> bool:
        """Whether most daemons that serve are believed to run."""
        return 2 * len(self._fleet & self._running) > len(self._fleet)
