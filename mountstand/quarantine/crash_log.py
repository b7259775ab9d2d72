"""Records when workers crashed, whatever they were running.

Evidence on a content is dropped once the content is served, although its worker did crash. This
log keeps the crash, to tell whether several workers crashed at the same moment. Times are seconds
on the local clock.
"""

from __future__ import annotations

from mountstand.quarantine.suspect import NEVER_S

MAX_ENTRIES = 1024
"""Crashes kept, about 100 bytes each; the oldest are dropped first."""

SAME_CAUSE_WINDOW_S = 0.25
"""Workers that crash within this time of each other may share a cause, such as a power failure. The
time of a crash is that of the first broken connection, and differs by some tens of milliseconds
between daemons."""


class CrashLog:
    """The latest worker crashes known to one daemon, by worker key."""

    __slots__ = ("_at_s_by_worker", "known_since_s")

    def __init__(self) -> None:
        self._at_s_by_worker: dict[int, float] = {}
        self.known_since_s = NEVER_S
        """Start of the time in which this daemon learned of crashes without interruption."""

    def note(self, worker: int, at_s: float) -> None:
        """Record a crash; the earliest reported time counts."""
        known_s = self._at_s_by_worker.setdefault(worker, at_s)
        self._at_s_by_worker[worker] = min(known_s, at_s)
        if len(self._at_s_by_worker) > MAX_ENTRIES:
            del self._at_s_by_worker[
                min(self._at_s_by_worker, key=self._at_s_by_worker.__getitem__)
            ]

    def workers_crashed_around(self, at_s: float) -> set[int]:
        """Return the workers that crashed within ``SAME_CAUSE_WINDOW_S`` of ``at_s``."""
        return {
            worker
            for worker, other_s in self._at_s_by_worker.items()
            if abs(other_s - at_s) <= SAME_CAUSE_WINDOW_S
        }
