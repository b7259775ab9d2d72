"""Decides which requests a stopping daemon still takes: those that can be whole by its end.

Callers keep the address of a daemon for longer than it takes to stop. One that is refused at once
is served by another daemon, while one that is taken too late is cut off midway. How long a request
lasts is known only roughly: at most until its deadline, and as long as others of its route did.
"""

from __future__ import annotations

from collections import deque

DURATIONS_KEPT = 32
"""Durations kept per route. The longest of them is expected again, since the pieces of a stream are
many or few."""

MAX_ROUTES = 1024
"""Routes whose durations are kept, about 400 bytes each; the one known for longest goes first."""


class StopAdmission:
    """Decides by the time that is left. Times are seconds on the event loop's clock."""

    __slots__ = ("_durations_by_route", "_ends_at_s")

    def __init__(self) -> None:
        self._ends_at_s: float | None = None
        self._durations_by_route: dict[str, deque[float]] = {}

    def begin_stop(self, ends_at_s: float) -> None:
        """Note that this daemon stops, and cuts off at ``ends_at_s`` what has not ended."""
        self._ends_at_s = ends_at_s

    def note_completed(self, route_name: str, duration_s: float) -> None:
        """Note how long a whole request took, from its receipt to the end of its reply."""
        durations = self._durations_by_route.get(route_name)
        if durations is None:
            if len(self._durations_by_route) >= MAX_ROUTES:
                del self._durations_by_route[next(iter(self._durations_by_route))]
            durations = self._durations_by_route[route_name] = deque(maxlen=DURATIONS_KEPT)
        durations.append(duration_s)

    def may_complete(self, route_name: str, now_s: float, deadline_s: float) -> bool:
        """Return whether a request that begins now is expected to end before this daemon does."""
        if self._ends_at_s is None or deadline_s <= self._ends_at_s:
            return True
        durations = self._durations_by_route.get(route_name)
        return durations is not None and now_s + max(durations) <= self._ends_at_s
