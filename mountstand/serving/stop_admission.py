"""Decides which requests a stopping daemon still takes: those that can be whole by its end.

Callers keep the address of a daemon for longer than it takes to stop. One that is refused at once
is served by another daemon, while one that is taken too late is cut off midway. A request is sure
to have ended by its deadline. Earlier requests of its route tell how long it may last, which is no
promise. So it counts early in the stop alone, when much time is left and many callers would have to
go elsewhere, and with a margin for requests that are lost for good if they last longer.
"""

from __future__ import annotations

from collections import deque

from mountstand.serving.configuration import Route

DURATIONS_KEPT = 32
"""Durations kept per route. The longest of them is expected again, since the pieces of a stream are
many or few."""

MAX_ROUTES = 1024
"""Routes whose durations are kept, about 400 bytes each; the one known for longest goes first."""

ESTIMATE_PERIOD_S = 3.0
"""For so long after a stop began, callers cannot be expected to know of it, and a request is taken
if it probably ends in time. Later ones must be sure to."""

UNREPEATABLE_FACTOR = 2.0
"""So many times as long as the longest of its route a request may last that cannot be repeated."""

FINAL_REPLY_S = 0.1
"""Time that a reply at the deadline takes to leave this daemon."""


class StopAdmission:
    """Decides by the time that is left. Times are seconds on the event loop's clock."""

    __slots__ = ("_began_s", "_durations_by_route", "_ends_at_s")

    def __init__(self) -> None:
        self._began_s = float("inf")
        self._ends_at_s: float | None = None
        self._durations_by_route: dict[str, deque[float]] = {}

    def begin_stop(self, now_s: float, ends_at_s: float) -> None:
        """Note that this daemon stops, and cuts off at ``ends_at_s`` what has not ended."""
        self._began_s = min(self._began_s, now_s)
        self._ends_at_s = ends_at_s

    def note_completed(self, route_name: str, duration_s: float) -> None:
        """Note how long a whole request took, from its receipt to the end of its reply."""
        durations = self._durations_by_route.get(route_name)
        if durations is None:
            if len(self._durations_by_route) >= MAX_ROUTES:
                del self._durations_by_route[next(iter(self._durations_by_route))]
            durations = self._durations_by_route[route_name] = deque(maxlen=DURATIONS_KEPT)
        durations.append(duration_s)

    def may_begin(self, route: Route, now_s: float, deadline_s: float) -> bool:
        """Return whether a request may be sent to a worker now.

        ``deadline_s`` is when its caller gets a final reply at the latest.
        """
        if self._ends_at_s is None or deadline_s + FINAL_REPLY_S <= self._ends_at_s:
            return True
        durations = self._durations_by_route.get(route.name)
        if durations is None or now_s - self._began_s >= ESTIMATE_PERIOD_S:
            return False
        factor = 1.0 if route.repeatable else UNREPEATABLE_FACTOR
        return now_s + factor * max(durations) <= self._ends_at_s
