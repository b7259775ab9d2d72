"""One content under which workers ended, as the statements of all daemons merge into it.

Sets of ends only grow, an end keeps its earliest time, service and trials their latest. Times are
seconds on the clock of the daemon that holds the state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

CRASHES_TO_BLOCK = 3
"""Ends of workers under one content that are no chance any more. With a tenth of all runs beside a
crash, which is what a content that comes twice a second does to nine workers, one run in a thousand
is beside three in a row."""

TRIAL_AFTER_S = 2.0
"""Time from the third end to the trial. Within it the ends of all that ran at the same time are
known everywhere: a check takes 0.75 s at most, word of it some milliseconds, and its repetitions a
second. Callers and items of the contents that were merely there wait so long."""

TRIAL_FACTOR = 4.0
"""Growth of that time with each trial, so that one whose end is not seen, such as of a worker
behind a broken link, costs a worker after 2, 8, 32 seconds and so on, up to ``INITIAL_BLOCK_S``."""

TRIAL_SPREAD_S = 0.3
"""Daemons begin to try a content at different moments within this time, so that the first has told
the others when they are due."""

TRIAL_RETRY_AFTER_S = 0.5
"""When the caller of a content may come back that found no worker for its trial: what runs at those
that are kept for other suspects ends meanwhile, or its own."""

STRONG_ENDS = 2
"""Ends that make a strong suspect. One means little: an ordinary crash brings one to as many
contents as the worker had slots, and nearly all of them are never heard of again."""

MOST_AT_ONCE = 2
"""Ends that count of those under runs that overlap. Two, since copies of a bad request that come at
the same moment do end workers together, and the next run then decides."""

MOST_ENDS = 8
"""Ends that are kept of one content. More change neither whether it is blocked nor for how long."""

EVIDENCE_S = 600.0
"""How long an end counts. Callers that send a request again do so within seconds to minutes."""

INITIAL_BLOCK_S = 600.0
"""A block after three ends; each further end doubles it, up to five hours with ``MOST_ENDS``. What
is blocked is tried again after that, since workers may have been mended meanwhile."""

CLOCK_SLACK_S = 1.0
"""Uncertainty of times that other daemons tell: theirs are ages, which grow on the way."""

NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """The end of a worker while it ran a content: when, and how long the run had lasted."""

    at_s: float
    ran_s: float = 0.0

    @property
    def began_s(self) -> float:
        """When the run began that the end broke."""
        return self.at_s - self.ran_s


EndByWorker = Mapping[int, WorkerCrash]
"""Ends of workers by the workers' keys."""


@dataclass(frozen=True, slots=True, order=True)
class Trials:
    """How often a content that was held back was tried, and when last."""

    count: int = 0
    last_at_s: float = NEVER_S


NO_TRIALS = Trials()


@dataclass(slots=True)
class Suspect:
    """What is known of one content: ends of workers by the workers' keys, service, and trials."""

    crash_by_worker: dict[int, WorkerCrash] = field(default_factory=dict)
    served_at_s: float = NEVER_S
    trials: Trials = NO_TRIALS

    @property
    def is_strong(self) -> bool:
        """Whether so many workers ended under it that it is hardly chance."""
        return len(self.crash_by_worker) >= STRONG_ENDS

    @property
    def last_end_s(self) -> float:
        """When a worker last ended under it."""
        return max((end.at_s for end in self.crash_by_worker.values()), default=NEVER_S)

    def is_cause(self, suspects_by_end: Mapping[int, int]) -> bool:
        """Return whether its ends tell a cause, given how many strong suspects were at each.

        They do if it was alone at all of them, or at one since it was tried.
        """
        own = [end for key, end in self.crash_by_worker.items() if suspects_by_end[key] == 1]
        if len(own) == len(self.crash_by_worker):
            return True
        return self.trials.count > 0 and any(end.at_s >= self.trials.last_at_s for end in own)

    @property
    def trial_at_s(self) -> float:
        """When it may be tried, held back for the time from its last end or trial on."""
        held_s = min(INITIAL_BLOCK_S, TRIAL_AFTER_S * TRIAL_FACTOR**self.trials.count)
        return max(self.last_end_s, self.trials.last_at_s) + held_s

    def merge(
        self, crash_by_worker: EndByWorker, served_at_s: float, trials: Trials = NO_TRIALS
    ) -> bool:
        """Merge a statement; returns whether it said anything new."""
        before = (set(self.crash_by_worker), self.served_at_s, self.trials.count)
        if served_at_s > self.served_at_s + CLOCK_SLACK_S:
            self.served_at_s = served_at_s
        for worker, end in crash_by_worker.items():
            known = self.crash_by_worker.get(worker, end)
            self.crash_by_worker[worker] = min(end, known, key=_end_time)
        self.trials = max(self.trials, trials)
        self._drop_refuted()
        while len(self.crash_by_worker) > MOST_ENDS:
            oldest = min(self.crash_by_worker, key=lambda key: self.crash_by_worker[key].at_s)
            del self.crash_by_worker[oldest]
        return (set(self.crash_by_worker), self.served_at_s, self.trials.count) != before

    def _drop_refuted(self) -> None:
        """Drop ends and trials before the last service: what was served caused no end."""
        refuted_s = self.served_at_s + CLOCK_SLACK_S
        self.crash_by_worker = {
            worker: end for worker, end in self.crash_by_worker.items() if end.at_s > refuted_s
        }
        if self.trials.last_at_s <= refuted_s:
            self.trials = NO_TRIALS


def block_s(ends: int) -> float:
    """Return how long a content is blocked after so many unexplained ends."""
    return INITIAL_BLOCK_S * 2.0 ** (min(ends, MOST_ENDS) - CRASHES_TO_BLOCK)


def counted_ends(ends: Iterable[WorkerCrash]) -> int:
    """Return for how many ends some count, given which of their runs overlapped."""
    counted = 0
    overlapping = 0
    first_end_s = NEVER_S
    for end in sorted(ends, key=_end_time):
        if end.began_s >= first_end_s:
            first_end_s = end.at_s
            overlapping = 0
        overlapping += 1
        counted += overlapping <= MOST_AT_ONCE
    return counted


def _end_time(end: WorkerCrash) -> float:
    return end.at_s
