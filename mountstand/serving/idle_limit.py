"""Adaptive limit on the idle time up to which pooled connections to workers are reused.

Workers announce a keep-alive timeout, but one may drop an idle connection earlier without closing
it, so that the next request on it is reset. Such a reset arrives about as fast as a connect is
accepted, which tells it from a failure of a running request. After one, the limit falls to half the
idle time of that connection, and then rises again with time.
"""

from __future__ import annotations

RESET_LIMIT_FACTOR = 0.5
DOUBLING_TIME_S = 20.0
"""Time in which the limit doubles without another reset."""

MAX_DOUBLINGS = 20.0
"""Bounds the exponent to avoid overflow; by then the limit has grown a millionfold."""

MIN_IDLE_LIMIT_S = 0.05
"""Lower bound of the limit; an idle time of about one round trip is always safe."""


class IdleLimit:
    """Longest idle time up to which a connection is reused; infinite before the first reset."""

    __slots__ = ("_limit_s", "_reset_at_s")

    def __init__(self) -> None:
        self._limit_s = float("inf")
        self._reset_at_s = 0.0

    def value_s(self, now_s: float) -> float:
        """Return the limit at ``now_s`` in seconds."""
        doublings = min(MAX_DOUBLINGS, (now_s - self._reset_at_s) / DOUBLING_TIME_S)
        return self._limit_s * 2**doublings

    def note_reset(self, idle_s: float, now_s: float) -> None:
        """Lower the limit after a reset of a connection that had been idle for ``idle_s``."""
        limit_s = max(MIN_IDLE_LIMIT_S, idle_s * RESET_LIMIT_FACTOR)
        self._limit_s = min(self.value_s(now_s), limit_s)
        self._reset_at_s = now_s
