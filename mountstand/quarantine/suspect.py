"""Evidence that one request content crashes workers, merged from the reports of all daemons.

The result of a merge doesn't depend on the order of reports, up to ``CLOCK_TOLERANCE_S``. Crashes
are united, except for those refuted by a later success and those beyond ``MAX_CRASHES_KEPT``. A
crash keeps its earliest reported time, the last success its latest, and the trials their highest
count with its earliest time. Times are seconds on the local clock of the daemon that holds the
state.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

CRASHES_TO_BLOCK = 3
"""Worker crashes after which a content is blocked. An innocent content is unlikely to be running
during three crashes: if one run in ten overlaps a crash, as with a crashing request that arrives
twice a second at nine workers, three runs in a row all overlap one once in a thousand times."""

TRIAL_DELAY_S = 2.0
"""Time from the last crash to the first trial of a content whose crashes have no clear cause. By
then every daemon knows which contents ran on the crashed workers: a crash check takes up to 0.75 s
and the last retransmission of a report follows after 1 s. Callers of innocent contents wait this
long too."""

TRIAL_BACKOFF_FACTOR = 4.0
"""Factor by which the delay grows with each trial, up to ``INITIAL_BLOCK_S``. The backoff limits
how many workers are lost if crashes caused by trials go undetected, such as behind a broken link.
"""

TRIAL_JITTER_S = 0.3
"""Range over which daemons spread the start of a trial, so that the first one can announce its
trial before the others become eligible."""

TRIAL_RETRY_AFTER_S = 0.5
"""Retry delay suggested to the caller of a content that found no worker available for its trial. By
then, runs on the workers reserved for other suspects, or the content's own trial, have ended."""

STRONG_SUSPECT_CRASHES = 2
"""Worker crashes that make a content a strong suspect. A single crash is weak evidence: every
content that was running on the worker gets one."""

MAX_COUNTED_PER_OVERLAP_GROUP = 2
"""Crashes counted in each group of overlapping runs, since crashes close together may share a cause
such as a power failure. Two are counted because copies of a crashing request that arrive together
do crash several workers; the next run is then decisive."""

MAX_CRASHES_KEPT = 8
"""Crashes kept per content. Further ones change neither whether it is blocked nor for how long."""

SUSPECT_RETENTION_S = 600.0
"""How long a suspect is kept after its last crash or success, not counting the time it is blocked.
Longer than callers take to retry, which is seconds to minutes."""

INITIAL_BLOCK_S = 600.0
"""Block duration after ``CRASHES_TO_BLOCK`` crashes. Each further crash doubles it, up to about
five hours at ``MAX_CRASHES_KEPT``. The content may run again afterwards, since the workers may have
been fixed."""

CLOCK_TOLERANCE_S = 1.0
"""Allowed error of times received from other daemons: they are sent as ages, so that network delay
makes an event appear later than it was."""

NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class WorkerCrash:
    """When a worker crashed while it ran a content, and how long the run had lasted by then."""

    at_s: float
    run_duration_s: float = 0.0

    @property
    def started_at_s(self) -> float:
        """Start time of the run that the crash interrupted."""
        return self.at_s - self.run_duration_s


CrashByWorker = Mapping[int, WorkerCrash]
"""Crashes by worker key. A restarted worker has a new key, so each key has at most one crash."""


@dataclass(frozen=True, slots=True, order=True)
class Trials:
    """How many trials a content has had, and when the last one started."""

    count: int = 0
    last_at_s: float = NEVER_S


NO_TRIALS = Trials()


@dataclass(slots=True)
class Suspect:
    """Evidence about one content: crashes by worker key, its last success, and its trials."""

    crash_by_worker: dict[int, WorkerCrash] = field(default_factory=dict)
    served_at_s: float = NEVER_S
    trials: Trials = NO_TRIALS
    has_uncounted_crashes: bool = False
    """Whether more workers crashed than ``crash_by_worker`` tells. A content that crashes several
    workers counts once for the parts of its prompt."""

    @property
    def is_strong(self) -> bool:
        """Whether at least ``STRONG_SUSPECT_CRASHES`` workers crashed while running the content."""
        return len(self.crash_by_worker) >= STRONG_SUSPECT_CRASHES

    @property
    def was_served(self) -> bool:
        """Whether a worker served the content or a request with the part, as far as is known."""
        return self.served_at_s != NEVER_S

    @property
    def last_crash_s(self) -> float:
        """Time of the latest crash, ``NEVER_S`` if there is none."""
        return max((crash.at_s for crash in self.crash_by_worker.values()), default=NEVER_S)

    @property
    def is_last_trial_unclear(self) -> bool:
        """Whether neither a crash nor a success is known since the last trial started."""
        return self.trials.count > 0 and self.last_crash_s < self.trials.last_at_s

    def is_confirmed_cause(self, suspects_by_worker: Mapping[int, int]) -> bool:
        """Return whether the crashes show that the content is a cause.

        ``suspects_by_worker`` is the number of strong suspects that were running at each crash, by
        worker key. The content is confirmed if it was the only one at all of its crashes, or at one
        since its last trial started.
        """
        sole = [
            crash for key, crash in self.crash_by_worker.items() if suspects_by_worker[key] == 1
        ]
        if len(sole) == len(self.crash_by_worker):
            return True
        return self.trials.count > 0 and any(crash.at_s >= self.trials.last_at_s for crash in sole)

    @property
    def trial_at_s(self) -> float:
        """Earliest time of the next trial, with a delay that grows with each trial."""
        backoff = TRIAL_BACKOFF_FACTOR**self.trials.count
        return self.last_evidence_s + min(INITIAL_BLOCK_S, TRIAL_DELAY_S * backoff)

    @property
    def last_evidence_s(self) -> float:
        """Time of the latest crash or trial."""
        return max(self.last_crash_s, self.trials.last_at_s)

    @property
    def _refuted_until_s(self) -> float:
        """Time up to which the last success refutes crashes and trials."""
        return self.served_at_s + CLOCK_TOLERANCE_S

    def merge(
        self,
        crash_by_worker: CrashByWorker,
        served_at_s: float,
        trials: Trials = NO_TRIALS,
        *,
        has_uncounted_crashes: bool = False,
    ) -> bool:
        """Merge evidence into this suspect.

        Returns whether crashes were added or removed, or the last success or the number of trials
        changed, or crashes that don't count became known. Corrected times of known crashes and
        trials make no difference.
        """
        before = self._state()
        if served_at_s > self.served_at_s + CLOCK_TOLERANCE_S:
            self.served_at_s = served_at_s
            self.has_uncounted_crashes = False
        if has_uncounted_crashes and served_at_s >= self.served_at_s - CLOCK_TOLERANCE_S:
            self.has_uncounted_crashes = True
        for worker, crash in crash_by_worker.items():
            known = self.crash_by_worker.get(worker, crash)
            self.crash_by_worker[worker] = min(crash, known, key=_crash_time)
        self._drop_refuted()
        if trials.last_at_s > self._refuted_until_s:
            self.trials = _merged_trials(self.trials, trials)
        while len(self.crash_by_worker) > MAX_CRASHES_KEPT:
            oldest = min(self.crash_by_worker, key=lambda key: self.crash_by_worker[key].at_s)
            del self.crash_by_worker[oldest]
        return self._state() != before

    def _state(self) -> tuple[set[int], float, int, bool]:
        """Return what a merge may change."""
        return (
            set(self.crash_by_worker),
            self.served_at_s,
            self.trials.count,
            self.has_uncounted_crashes,
        )

    def _drop_refuted(self) -> None:
        """Drop crashes and trials up to ``CLOCK_TOLERANCE_S`` after the last success.

        The content was served, so it did not cause them.
        """
        refuted_until_s = self._refuted_until_s
        self.crash_by_worker = {
            worker: crash
            for worker, crash in self.crash_by_worker.items()
            if crash.at_s > refuted_until_s
        }
        if self.trials.last_at_s <= refuted_until_s:
            self.trials = NO_TRIALS


def _merged_trials(known: Trials, reported: Trials) -> Trials:
    """Return the trials with the higher count, or the earlier ones of the same count.

    A report tells ages, so each daemon that passes it on makes its times later by its delay.
    """
    if known.count != reported.count:
        return max(known, reported)
    return min(known, reported)


def block_duration_s(crash_count: int) -> float:
    """Return how long a content is blocked after ``crash_count`` crashes attributed to it."""
    return INITIAL_BLOCK_S * 2.0 ** (min(crash_count, MAX_CRASHES_KEPT) - CRASHES_TO_BLOCK)


def count_crashes(crashes: Iterable[WorkerCrash]) -> int:
    """Count crashes, at most ``MAX_COUNTED_PER_OVERLAP_GROUP`` per group of overlapping runs.

    A group consists of the runs that started before the first crash of the group.
    """
    counted = 0
    overlapping = 0
    first_crash_s = NEVER_S
    for crash in sorted(crashes, key=_crash_time):
        if crash.started_at_s >= first_crash_s:
            first_crash_s = crash.at_s
            overlapping = 0
        overlapping += 1
        counted += overlapping <= MAX_COUNTED_PER_OVERLAP_GROUP
    return counted


def _crash_time(crash: WorkerCrash) -> float:
    return crash.at_s
