"""Finds out which request contents crash workers, as a pure state machine.

A content is a hash of a request without its id, so that retries share it. When a worker crashes,
any content that was running on it may be the cause and is suspected: weakly after a single crash,
and strongly after ``STRONG_SUSPECT_CRASHES``. The cause is present at the next crash again, whereas
other contents are retried elsewhere and succeed. A content is therefore blocked after
``CRASHES_TO_BLOCK`` worker crashes. Crashes that precede the last success of the content don't
count, nor do those attributed to a content with more crashes. Crashes of overlapping runs may share
a cause, such as the power supply of a rack, so that at most ``MAX_COUNTED_PER_OVERLAP_GROUP`` of
them count; a run that started after another crash counts on its own.

The cause remains unclear if another strong suspect was running at one of the crashes: an innocent
content that ran next to two crashing ones may have as many crashes as either. Such a content is
blocked briefly and then requires a trial, like the half-open state of a circuit breaker: one run on
a worker without other strong suspects. Success clears it; a crash of that worker is attributed to
it. Sets of crashes alone can't tell such a content from a cause.

All of this holds for requests of callers. Batch items, which are owed, get a trial in place of a
block and are blocked after more crashes only (:mod:`mountstand.quarantine.batch_verdicts`).

Parts of prompts are judged alike, except that each of them has a next trial, alone or together, and
none is blocked without one (:mod:`mountstand.quarantine.part_verdicts`).

The order in which evidence arrives makes no difference (:mod:`mountstand.quarantine.suspect`), so
daemons with the same evidence decide alike, except for the jitter of trials. Times are seconds on
the local clock of the daemon that holds the state.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from enum import Enum

from mountstand.quarantine.batch_verdicts import BatchVerdicts, item_trial_at_s
from mountstand.quarantine.crash_log import CrashLog
from mountstand.quarantine.part_verdicts import PartVerdicts, late_trial_at_s
from mountstand.quarantine.suspect import (
    CLOCK_TOLERANCE_S,
    CRASHES_TO_BLOCK,
    NEVER_S,
    NO_TRIALS,
    SUSPECT_RETENTION_S,
    CrashByWorker,
    Suspect,
    Trials,
    block_duration_s,
)
from mountstand.quarantine.verdicts import Verdicts
from mountstand.quarantine.workload import Workload

MAX_SUSPECTS = 1024
"""Contents kept, about 400 bytes each. A single crash can add one for each slot of the worker."""

TRIAL_LEAD_S = 2.0
"""How long before its next trial a content gets its workers. Another suspect's run that began there
meanwhile would often last into the trial, which then tells nothing."""


class SuspectKind(Enum):
    """What is suspected of crashing workers."""

    CONTENT = "content"
    """A whole request, without its id."""

    PROMPT_PART = "prompt part"
    """A part that the prompts of several requests have in common."""


class CrashSuspects:
    """All suspected contents known to the daemon named ``daemon_name``."""

    def __init__(
        self,
        daemon_name: str = "",
        max_suspects: int = MAX_SUSPECTS,
        kind: SuspectKind = SuspectKind.CONTENT,
    ) -> None:
        self._daemon_name = daemon_name
        self._max_suspects = max_suspects
        self._kind = kind
        self.by_content: dict[int, Suspect] = {}
        self._cached_verdicts: Verdicts | None = None
        self._crash_log = CrashLog()
        self._own_trials: dict[int, Trials] = {}
        """The last trial that this daemon began, by content."""

        self._open_trials: set[int] = set()
        """Contents whose last trial this daemon may begin again."""

    def note_resumed(self, now_s: float) -> None:
        """Record that this daemon may have missed crashes of workers before ``now_s``."""
        self._crash_log.known_since_s = now_s

    @property
    def _batch_verdicts(self) -> BatchVerdicts:
        return BatchVerdicts(self.by_content, self._verdicts, self._crash_log)

    @property
    def _verdicts(self) -> Verdicts:
        """Verdicts on the current evidence, recomputed only after the evidence has changed."""
        if self._cached_verdicts is None:
            if self._kind is SuspectKind.PROMPT_PART:
                self._cached_verdicts = PartVerdicts(self.by_content, self._daemon_name)
            else:
                self._cached_verdicts = Verdicts(self.by_content, self._daemon_name)
        return self._cached_verdicts

    def __bool__(self) -> bool:
        """Return whether any content is suspected."""
        return bool(self.by_content)

    def is_strong(self, content: int) -> bool:
        """Return whether a content is a strong suspect (:attr:`Suspect.is_strong`)."""
        suspect = self.by_content.get(content)
        return suspect is not None and suspect.is_strong

    def recent_strong_suspects(self, now_s: float, within_s: float) -> Iterator[int]:
        """Yield strong suspects with a crash within ``within_s``.

        Contents that have been blocked or that require a trial are left out.
        """
        for content, suspect in self.by_content.items():
            if (
                content in self._verdicts.trial_required
                or content in self._verdicts.blocked_until_s
            ):
                continue
            if suspect.is_strong and suspect.last_crash_s >= now_s - within_s:
                yield content

    def recent_trials(self, now_s: float, within_s: float) -> Iterator[int]:
        """Yield contents that need workers for a trial.

        That is from ``TRIAL_LEAD_S`` before a trial is due, or from its start, for ``within_s`` at
        most, and no longer than until the trial is known to have ended. A content that waits for
        its next trial after a crash needs no worker, and would keep others from their trials.
        """
        for content, suspect in self.by_content.items():
            is_running = (
                suspect.is_last_trial_unclear and suspect.trials.last_at_s >= now_s - within_s
            )
            if (is_running and self._may_be_tried(content)) or any(
                0 <= now_s - (due_s - TRIAL_LEAD_S) <= within_s
                for due_s in self._next_trials_s(content)
            ):
                yield content

    def _may_be_tried(self, content: int) -> bool:
        """Return whether a content has trials, as a request or as a batch item."""
        verdicts = self._verdicts
        return content in verdicts.trial_required or content in verdicts.blocked_until_s

    def _next_trials_s(self, content: int) -> list[float]:
        """Return when the next trials of a content are due, as a request and as a batch item.

        A request that is blocked as the cause of its crashes has none. That such a content may be
        an item is known once it has been tried.
        """
        suspect = self.by_content[content]
        if content in self._verdicts.trial_required:
            return [suspect.trial_at_s, item_trial_at_s(suspect)]
        if not suspect.trials.count or content not in self._verdicts.blocked_until_s:
            return []
        return [] if self.is_batch_cause(content) else [item_trial_at_s(suspect)]

    def is_trial_overdue(self, content: int, now_s: float) -> bool:
        """Return whether a content that requires a trial could have had it by now, as an item."""
        if content not in self._verdicts.trial_required:
            return False
        return item_trial_at_s(self.by_content[content]) <= now_s

    def trial_at_s(self, content: int, workload: Workload = Workload.ONLINE) -> float:
        """Return the earliest time of the next trial of a suspected content."""
        if workload is Workload.BATCH:
            return item_trial_at_s(self.by_content[content])
        return self._verdicts.trial_at_s(content)

    def blocked_together_until_s(
        self, contents: Collection[int], workload: Workload = Workload.ONLINE
    ) -> float:
        """Return when a request with several contents may run again, if these crash together.

        ``NEVER_S`` if they are no confirmed cause together.
        """
        together = self._verdicts.confirmed_together.intersection(contents)
        if len(together) < 2:
            return NEVER_S
        if workload is Workload.BATCH and not self._batch_verdicts.are_cause_together(together):
            return NEVER_S
        return max(late_trial_at_s(self.by_content[content]) for content in together)

    def requires_trial(self, content: int, workload: Workload = Workload.ONLINE) -> bool:
        """Return whether a content requires a trial before it may run freely.

        At most one daemon runs it at a time, apart from other strong suspects.
        """
        if workload is Workload.BATCH:
            return self._batch_verdicts.requires_trial(content)
        return content in self._verdicts.trial_required

    def is_batch_cause(self, content: int) -> bool:
        """Return whether a batch item is taken for the cause of its crashes."""
        return self._batch_verdicts.is_cause(content)

    def begin_trial(self, content: int, now_s: float, workload: Workload = Workload.ONLINE) -> None:
        """Record that a trial of a content starts, which blocks it until the next one is due.

        A trial that no worker ran begins again and counts once.
        """
        begins_again = self.is_trial_open(content, workload)
        self._open_trials.discard(content)
        if begins_again:
            return
        suspect = self.by_content[content]
        if suspect.is_last_trial_unclear:
            # What became of it, such as a crash known only to daemons that were killed, is not
            # told by the crashes any more once another trial begins.
            self.note_uncounted_crash(content)
        suspect.merge({}, NEVER_S, Trials(suspect.trials.count + 1, now_s))
        self._own_trials[content] = suspect.trials
        self._cached_verdicts = None

    def reopen_trial(self, content: int) -> None:
        """Let this daemon begin its last trial of a content again, as no worker ran it."""
        if self._is_own_trial(content):
            self._open_trials.add(content)

    def is_trial_open(self, content: int, workload: Workload = Workload.ONLINE) -> bool:
        """Return whether this daemon may begin the last trial of a content again.

        It may not once a worker has crashed since, or other evidence has blocked the content.
        """
        if content not in self._open_trials or not self._is_own_trial(content):
            return False
        suspect = self.by_content[content]
        if suspect.last_crash_s >= suspect.trials.last_at_s:
            return False
        if workload is Workload.BATCH:
            return not self.is_batch_cause(content)
        return content in self._verdicts.trial_required

    def _is_own_trial(self, content: int) -> bool:
        """Return whether this daemon began the last trial, whose time reports may have changed."""
        suspect = self.by_content.get(content)
        own = self._own_trials.get(content, NO_TRIALS)
        if suspect is None or own.count != suspect.trials.count or own is NO_TRIALS:
            return False
        return abs(own.last_at_s - suspect.trials.last_at_s) <= CLOCK_TOLERANCE_S

    def merge(
        self,
        content: int,
        crash_by_worker: CrashByWorker,
        served_at_s: float = NEVER_S,
        trials: Trials = NO_TRIALS,
        *,
        has_uncounted_crashes: bool = False,
    ) -> bool:
        """Merge evidence about a content; return whether it was new (see :meth:`Suspect.merge`)."""
        for worker, crash in crash_by_worker.items():
            self._crash_log.note(worker, crash.at_s)
        suspect = self.by_content.get(content)
        is_new = suspect is None
        suspect = suspect or Suspect()
        if not suspect.merge(
            crash_by_worker, served_at_s, trials, has_uncounted_crashes=has_uncounted_crashes
        ):
            return False
        if is_new:
            self.by_content[content] = suspect
            self._evict_weakest()
        self._cached_verdicts = None
        return True

    def note_uncounted_crash(self, content: int) -> bool:
        """Record a crash that doesn't count; return whether this was new for a suspect."""
        suspect = self.by_content.get(content)
        if suspect is None or not suspect.crash_by_worker:
            return False
        return self.merge(content, {}, suspect.served_at_s, has_uncounted_crashes=True)

    def note_served(self, content: int, now_s: float) -> bool:
        """Record that a content was served completely; return whether it was suspected."""
        suspect = self.by_content.get(content)
        if suspect is None or not suspect.crash_by_worker:
            return False
        suspect.merge({}, now_s)
        self._cached_verdicts = None
        return True

    def blocked_for_s(
        self, content: int, now_s: float, workload: Workload = Workload.ONLINE
    ) -> float:
        """Return the remaining block time of a content, 0 if it may be sent to workers."""
        if self.is_trial_open(content, workload):
            return 0.0
        if workload is Workload.BATCH:
            return max(0.0, self._batch_verdicts.blocked_until_s(content) - now_s)
        return max(0.0, self._verdicts.blocked_until_s.get(content, NEVER_S) - now_s)

    @property
    def any_blocked(self) -> bool:
        """Whether any content may be blocked: a fast check for the common case of none.

        Blocks that have run out count until the evidence changes.
        """
        return bool(self._verdicts.blocked_until_s)

    def blocked_contents(self, now_s: float) -> set[int]:
        """Return the contents that are blocked at ``now_s``."""
        return {
            content
            for content, until_s in self._verdicts.blocked_until_s.items()
            if until_s > now_s
        }

    def strongest_first(self) -> list[int]:
        """Return all contents by descending number of crashes, then by latest crash."""
        return sorted(self.by_content, key=self._strength, reverse=True)

    def expires_at_s(self, content: int) -> float:
        """Return when a content expires unless new evidence arrives."""
        suspect = self.by_content[content]
        last_evidence_s = max(suspect.last_crash_s, suspect.served_at_s)
        crash_count = len(suspect.crash_by_worker)
        if crash_count < CRASHES_TO_BLOCK:
            return last_evidence_s + SUSPECT_RETENTION_S
        return last_evidence_s + block_duration_s(crash_count) + SUSPECT_RETENTION_S

    def expire(self, now_s: float) -> None:
        """Remove contents whose evidence has expired."""
        expired = [content for content in self.by_content if self.expires_at_s(content) <= now_s]
        for content in expired:
            del self.by_content[content]
        if expired:
            self._cached_verdicts = None
        for content in self._own_trials.keys() - self.by_content.keys():
            del self._own_trials[content]
            self._open_trials.discard(content)

    def _strength(self, content: int) -> tuple[int, float]:
        suspect = self.by_content[content]
        return len(suspect.crash_by_worker), suspect.last_crash_s

    def _evict_weakest(self) -> None:
        """Evict the weakest suspects, down to 90 % of the maximum, once there are too many."""
        if len(self.by_content) > self._max_suspects:
            for content in self.strongest_first()[self._max_suspects * 9 // 10 :]:
                del self.by_content[content]
