"""Ejection of workers that fail far more often than others of their service.

Each daemon counts the outcomes that it sees and tells them in its digests, so that all judge a
worker by what the whole fleet of daemons saw: one daemon alone sees a worker too seldom.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from statistics import median_low

HALF_LIFE_S = 4.0
"""Outcomes count half after so long: long enough for some per worker, short enough to recover."""

LEAST_COUNT = 0.01
"""What is left of an outcome after half a minute; less is taken as nothing."""

LEAST_OUTCOMES = 5.0
"""Fewer say nothing about a worker."""

LEAST_FAILURE_RATE = 0.2
WORSE_THAN_USUAL = 3.0
"""A worker is ejected above both this rate and so many times the usual rate of its service."""

MOST_EJECTED_SHARE = 0.5
"""Past this share of a service the cause is hardly the workers."""

BASE_EJECTION_S = 4.0
MAX_EJECTION_S = 16.0
FORGET_S = 20.0
"""An ejection lasts twice as long as the one before, unless that was so long ago."""


@dataclass
class OutcomeCounts:
    """Outcomes that this daemon saw at one worker, weighed by their age."""

    succeeded: float = 0.0
    failed: float = 0.0
    counted_at_s: float = 0.0
    """The time that the counts are worth this much, 0 where there are none."""

    @property
    def any(self) -> bool:
        """Whether there are outcomes that still count."""
        return self.succeeded + self.failed > LEAST_COUNT

    def add(self, now_s: float, *, failed: bool) -> None:
        """Count one outcome."""
        self.decay(now_s)
        self.counted_at_s = now_s
        if failed:
            self.failed += 1
        else:
            self.succeeded += 1

    def decay(self, now_s: float) -> None:
        """Let the counts fade to what they are worth now, and to nothing in the end."""
        if not self.any:
            self.succeeded = self.failed = self.counted_at_s = 0.0
            return
        factor = math.exp(-math.log(2) * max(0.0, now_s - self.counted_at_s) / HALF_LIFE_S)
        self.succeeded *= factor
        self.failed *= factor
        self.counted_at_s = now_s


@dataclass
class WorkerHealth:
    """What is known of one worker's outcomes, and whether it is ejected."""

    own: OutcomeCounts
    peers_succeeded: float = 0.0
    peers_failed: float = 0.0
    ejected_until_s: float = 0.0
    ejection_s: float = 0.0

    @property
    def outcomes(self) -> float:
        """How many outcomes all daemons saw lately."""
        return self.own.succeeded + self.own.failed + self.peers_succeeded + self.peers_failed

    @property
    def failure_rate(self) -> float:
        """The share of failures among them, or 0 where there are too few."""
        if self.outcomes < LEAST_OUTCOMES:
            return 0.0
        return (self.own.failed + self.peers_failed) / self.outcomes

    def is_ejected(self, now_s: float) -> bool:
        """Return whether the worker gets no ordinary requests now."""
        return now_s < self.ejected_until_s

    def eject(self, now_s: float) -> None:
        """Eject the worker for a while, longer if it has just been."""
        again = now_s - self.ejected_until_s < FORGET_S and self.ejection_s > 0
        self.ejection_s = min(MAX_EJECTION_S, 2 * self.ejection_s) if again else BASE_EJECTION_S
        self.ejected_until_s = now_s + self.ejection_s


def new_health() -> WorkerHealth:
    """Return the health of a worker of which nothing is known."""
    return WorkerHealth(OutcomeCounts())


def judge(workers: list[WorkerHealth], now_s: float) -> list[WorkerHealth]:
    """Eject the workers of one service that fail far more often than usual; returns them."""
    failing = [health for health in workers if health.own.failed or health.peers_failed]
    if not failing:
        return []
    for health in failing:
        health.own.decay(now_s)
    ejected = sum(health.is_ejected(now_s) for health in workers)
    faultless = [0.0] * (len(workers) - len(failing))
    usual = median_low([health.failure_rate for health in failing] + faultless)
    limit = max(LEAST_FAILURE_RATE, WORSE_THAN_USUAL * usual)
    newly: list[WorkerHealth] = []
    for health in sorted(failing, key=lambda each: -each.failure_rate):
        if health.is_ejected(now_s) or health.failure_rate <= limit:
            continue
        if ejected + len(newly) + 1 > len(workers) * MOST_EJECTED_SHARE:
            break
        health.eject(now_s)
        newly.append(health)
    return newly
