"""An event loop whose clock stands still while code runs and jumps to the next timer when idle.

Tests of time-outs and periods run at once and give the same result every time. Real sockets work,
but what arrives from another process takes no time of this clock.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

START_S = 1e7
"""The clock of a machine that has run for months; what only works on a young one fails."""


class _AdvancingSelector(selectors.DefaultSelector):
    """Moves the loop's clock on by the time that a real selector would have waited."""

    __slots__ = ("clock_s",)

    def __init__(self) -> None:
        super().__init__()
        self.clock_s = START_S

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready sockets; without any, ``timeout`` seconds pass on the clock."""
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if not ready:
            self.clock_s += max(0.0, timeout)
        return ready


class PausedClockLoop(asyncio.SelectorEventLoop):
    """``time()`` is the paused clock, in seconds from ``START_S``."""

    def __init__(self) -> None:
        self._advancing = _AdvancingSelector()
        super().__init__(self._advancing)

    def time(self) -> float:
        """Return the paused clock's time."""
        return self._advancing.clock_s

    def advance(self, seconds: float) -> None:
        """Let time pass at once; timers that are due run next."""
        self._advancing.clock_s += seconds


def run_paused(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a paused clock."""
    with asyncio.Runner(loop_factory=PausedClockLoop) as runner:
        return runner.run(work)
