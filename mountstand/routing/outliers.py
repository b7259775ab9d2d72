"""Ejection of workers that fail: a daemon's own evidence, with a cap on the ejected share."""

from __future__ import annotations

from dataclasses import dataclass

CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Failures in a row, so that one broken exchange does not remove a worker."""

BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_FRACTION = 0.5
"""Past this share failures are likely to be the daemon's or the network's own."""


@dataclass
class WorkerHealth:
    """What one daemon has seen of one worker."""

    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_s: float = 0.0

    def record_success(self) -> None:
        """Forget earlier failures."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Count a failure; eject for twice as long each time.

        Failures of one outage that are seen during the ejection do not lengthen it.
        """
        if self.is_ejected(now_s):
            return
        self.consecutive_failures += 1
        if (
            self.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT
            and self.consecutive_ejections == 0
        ):
            return
        duration_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**self.consecutive_ejections)
        self.consecutive_ejections += 1
        self.ejected_until_s = now_s + duration_s

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the worker should get no ordinary traffic now."""
        return now_s < self.ejected_until_s


def max_ejected_count(worker_count: int) -> int:
    """Return how many of ``worker_count`` may be ejected at once."""
    return int(worker_count * MAX_EJECTED_FRACTION)
