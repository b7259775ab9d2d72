"""Outlier detection: ejects workers that keep failing.

Each daemon decides from the failures that it observes itself. Any number of workers can be ejected
at once, but :meth:`mountstand.routing.fleet_view.FleetView.candidates` leaves out only a limited
fraction of them. Batch dispatch skips every ejected worker.
"""

from __future__ import annotations

from dataclasses import dataclass

CONSECUTIVE_FAILURES_TO_EJECT = 3
"""Above one, so that a single failed request does not eject a worker."""

BASE_EJECTION_S = 1.0
"""Duration of the first ejection after a success; it doubles up to ``MAX_EJECTION_S``."""

MAX_EJECTION_S = 30.0

MAX_EJECTED_FRACTION = 0.5
"""Largest fraction of a service's available workers that is left out as ejected.

If more of them fail, the cause is probably this daemon or its network.
"""


@dataclass
class WorkerHealth:
    """Failure and ejection state of one worker, as observed by one daemon."""

    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until_s: float = 0.0

    def record_success(self) -> None:
        """Reset the failure and ejection state."""
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Count a failure and eject the worker if it has failed too often in succession.

        Each ejection since the last success lasts twice as long as the previous one, up to
        ``MAX_EJECTION_S``, and after the first a single failure is enough. Failures during an
        ejection are ignored, since they may stem from the same outage.
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
        """Return whether the worker is ejected at ``now_s``."""
        return now_s < self.ejected_until_s


def max_excluded_count(worker_count: int) -> int:
    """Return how many of ``worker_count`` available workers may be left out as ejected."""
    return int(worker_count * MAX_EJECTED_FRACTION)
