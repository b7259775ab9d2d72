"""The clock that leases, ages, limits and deadlines are read against.

A machine may be suspended for seconds, and others go on meanwhile. The steady clock stands still
then: after it, a lease that has run out looks held, what is known of the store looks fresh, and a
request looks as if it had all its time left. This clock goes on, so that a process that was
suspended finds itself as one that was stopped by a signal for as long.
"""

from __future__ import annotations

import asyncio
import threading
import time

COUNTS_SLEEP = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Linux has a steady clock that counts sleep; elsewhere the steady clock has to do."""


def elapsed_s() -> float:
    """Return seconds since some moment in the past, those included that the machine slept."""
    return time.clock_gettime(COUNTS_SLEEP)


WAIT_SLICE_S = 0.25
"""Longest wait of a thread at a time: after sleep, a due time is noticed so late at most."""


def wait_until(event: threading.Event, deadline_s: float) -> bool:
    """Wait for an event until a time of this clock; returns whether it came."""
    while (left_s := deadline_s - elapsed_s()) > 0:
        if event.wait(min(left_s, WAIT_SLICE_S)):
            return True
    return event.is_set()


class SleepAwareEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose time, and so each timer and time-out, counts sleep.

    The kernel's waits do not: a timer that came due during sleep runs with the next event, or once
    the wait for the next timer is over. Serving processes have a timer every 30 ms.
    """

    def time(self) -> float:
        """Return the time in seconds."""
        return elapsed_s()
