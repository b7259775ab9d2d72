"""How long pooled connections to workers may rest before they are no longer trusted.

Workers tell how long they keep an idle connection, but one may forget it sooner and say nothing;
the next request on it meets a reset. Such a reset comes as fast as a connection would be accepted.
After one, only connections that rested for less than half as long are used, and the limit rises
again with time.
"""

from __future__ import annotations

REST_SHARE = 0.5
DOUBLING_S = 20.0
"""The limit doubles in this time without another such reset."""

MOST_DOUBLINGS = 20.0
"""By then the limit has risen a million times; the clock may be at any number of seconds."""

SHORTEST_REST_S = 0.05
"""A connection used again this soon is trusted always: it rested for about one round trip."""


class IdleLimit:
    """The longest rest that is trusted, in seconds."""

    __slots__ = ("_limit_s", "_noted_at_s")

    def __init__(self) -> None:
        self._limit_s = float("inf")
        self._noted_at_s = 0.0

    def value_s(self, now_s: float) -> float:
        """Return the longest rest that is trusted now."""
        doublings = min(MOST_DOUBLINGS, (now_s - self._noted_at_s) / DOUBLING_S)
        return self._limit_s * 2**doublings

    def note_reset(self, rested_s: float, now_s: float) -> None:
        """Take note of a connection that was forgotten after ``rested_s``."""
        limit_s = max(SHORTEST_REST_S, rested_s * REST_SHARE)
        self._limit_s = min(self.value_s(now_s), limit_s)
        self._noted_at_s = now_s
