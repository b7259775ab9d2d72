"""Outlier ejection: takes workers that fail far more often than others out of load balancing.

An outcome is the success or failure of one attempt at a worker. A single daemon sees too few of
them, so each daemon shares its counts in load digests, and all of them judge a worker by the
outcomes that the whole fleet of daemons has seen.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import median_low

HALF_LIFE_S = 4.0
"""Half-life of an outcome: long enough to gather several, short enough for a quick recovery."""

NEGLIGIBLE_COUNT = 0.01
"""Decayed counts up to this sum are treated as zero; one outcome falls to it in about 27 s."""

MIN_OUTCOMES = 5.0
"""A worker with fewer outcomes is not judged."""

MIN_FAILURE_RATE = 0.2
MIN_FAILURE_RATIO = 3.0
"""A worker is ejected if its failure rate exceeds both the minimum rate and the median rate of its
service times the minimum ratio."""

MAX_EJECTED_SHARE = 0.5
"""Maximum share of a service's workers that may be ejected; if more fail, the cause is probably
elsewhere."""

BASE_EJECTION_S = 4.0
MAX_EJECTION_S = 16.0
REPEAT_EJECTION_WINDOW_S = 20.0
"""An ejection lasts twice as long as the previous one if that ended within this window."""


@dataclass
class OutcomeCounts:
    """Exponentially decaying counts of the outcomes that one daemon has seen at a worker."""

    succeeded: float = 0.0
    failed: float = 0.0
    decayed_at_s: float = 0.0
    """Time to which the counts are decayed, 0 if there are no counts."""

    @property
    def has_outcomes(self) -> bool:
        """Whether the counts are more than negligible."""
        return self.succeeded + self.failed > NEGLIGIBLE_COUNT

    def add(self, now_s: float, *, failed: bool) -> None:
        """Count one outcome, after decaying the counts."""
        self.decay(now_s)
        self.decayed_at_s = now_s
        if failed:
            self.failed += 1
        else:
            self.succeeded += 1

    def decay(self, now_s: float) -> None:
        """Decay the counts to their value at ``now_s``; negligible counts become 0."""
        if not self.has_outcomes:
            self.succeeded = self.failed = self.decayed_at_s = 0.0
            return
        factor = math.exp(-math.log(2) * max(0.0, now_s - self.decayed_at_s) / HALF_LIFE_S)
        self.succeeded *= factor
        self.failed *= factor
        self.decayed_at_s = now_s


@dataclass
class WorkerHealth:
    """Outcomes at one worker, as seen by this daemon and its peers, and the worker's ejection."""

    own: OutcomeCounts
    peers_succeeded: float = 0.0
    peers_failed: float = 0.0
    ejected_until_s: float = 0.0
    ejection_s: float = 0.0
    """Length of the last ejection, 0 if there was none."""

    @property
    def outcomes(self) -> float:
        """Decayed number of outcomes that all daemons have seen."""
        return self.own.succeeded + self.own.failed + self.peers_succeeded + self.peers_failed

    @property
    def failure_rate(self) -> float:
        """Share of failures among the outcomes, or 0 if there are fewer than ``MIN_OUTCOMES``."""
        if self.outcomes < MIN_OUTCOMES:
            return 0.0
        return (self.own.failed + self.peers_failed) / self.outcomes

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the worker is excluded from load balancing at ``now_s``."""
        return now_s < self.ejected_until_s

    def eject(self, now_s: float) -> None:
        """Eject the worker; repeated ejections last longer, up to ``MAX_EJECTION_S``."""
        repeated = now_s - self.ejected_until_s < REPEAT_EJECTION_WINDOW_S and self.ejection_s > 0
        self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s) if repeated else BASE_EJECTION_S
        self.ejected_until_s = now_s + self.ejection_s


def new_health() -> WorkerHealth:
    """Return the health of a worker without any outcomes."""
    return WorkerHealth(OutcomeCounts())


def eject_outliers(workers: list[WorkerHealth], now_s: float) -> list[WorkerHealth]:
    """Eject the workers of one service that fail far more often than its median; return these."""
    failing = [health for health in workers if health.own.failed or health.peers_failed]
    if not failing:
        return []
    for health in failing:
        health.own.decay(now_s)
    ejected = sum(health.is_ejected(now_s) for health in workers)
    zero_rates = [0.0] * (len(workers) - len(failing))
    median_rate = median_low([health.failure_rate for health in failing] + zero_rates)
    max_rate = max(MIN_FAILURE_RATE, MIN_FAILURE_RATIO * median_rate)
    newly: list[WorkerHealth] = []
    for health in sorted(failing, key=lambda health: -health.failure_rate):
        if health.is_ejected(now_s) or health.failure_rate <= max_rate:
            continue
        if ejected + len(newly) + 1 > len(workers) * MAX_EJECTED_SHARE:
            break
        health.eject(now_s)
        newly.append(health)
    return newly
