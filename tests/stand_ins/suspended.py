"""A machine that is suspended: one clock counts its sleep, the steady clock stands still."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

from mountstand import clock

REAL_GETTIME = time.clock_gettime


class SuspendedMachine:
    """Both clocks of one machine: real time, and the time that it was suspended so far."""

    def __init__(self) -> None:
        self.slept_s = 0.0

    def suspend(self, seconds: float) -> None:
        """Let so much time pass during which nothing runs."""
        self.slept_s += seconds

    def gettime(self, which: int) -> float:
        """Read a clock, as ``time.clock_gettime`` does."""
        slept_s = self.slept_s if which == time.CLOCK_BOOTTIME else 0.0
        return REAL_GETTIME(which) + slept_s


@contextmanager
def suspendable(counts_sleep: int = time.CLOCK_BOOTTIME) -> Iterator[SuspendedMachine]:
    """Let the product read the clocks of a machine that can be suspended.

    With ``CLOCK_MONOTONIC`` the product reads the clock that stands still during sleep, to show
    what would become of it.
    """
    machine = SuspendedMachine()
    with (
        mock.patch.object(clock, "COUNTS_SLEEP", counts_sleep),
        mock.patch.object(clock.time, "clock_gettime", machine.gettime),
    ):
        yield machine
