"""Decides when a suspect that is a batch item may run again: a pure function of the evidence.

An accepted item is owed, and nobody sends it again. A sound item that meets several crashes by
chance has the same evidence as one that causes them, until it runs again. So an item that an online
request's verdict would block only runs as a trial, alone and after a short delay. It is blocked
for ``INITIAL_BLOCK_S`` after ``CRASHES_TO_BLOCK_BATCH`` crashes, if the latest of them were
isolated: no other worker crashed at the same moment without a suspect of its own. When several
crash at once, the cause lies outside.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from mountstand.quarantine.crash_log import CrashLog
from mountstand.quarantine.suspect import (
    NEVER_S,
    TRIAL_BACKOFF_FACTOR,
    TRIAL_DELAY_S,
    Suspect,
)
from mountstand.quarantine.verdicts import Verdicts, workers_with_suspects

CRASHES_TO_BLOCK_BATCH = 6
"""Worker crashes after which a batch item may be blocked. The later half are trials, apart from
other suspects."""

ISOLATED_CRASHES_TO_BLOCK = 3
"""How many of the latest crashes of an item must be isolated for it to be blocked."""

MAX_TRIAL_DELAY_S = 8.0
"""Longest delay from a crash or trial of an item to its next trial. Results are due within some 20
seconds, so an item must have another chance in that time once the crashes are over."""


class BatchVerdicts:
    """Verdicts on suspects for the case that they are batch items."""

    __slots__ = ("_by_content", "_crash_log", "_verdicts")

    def __init__(
        self, by_content: Mapping[int, Suspect], verdicts: Verdicts, crash_log: CrashLog
    ) -> None:
        self._by_content = by_content
        self._verdicts = verdicts
        self._crash_log = crash_log

    def requires_trial(self, content: int) -> bool:
        """Return whether an item may run only as a trial."""
        verdicts = self._verdicts
        return content in verdicts.trial_required or content in verdicts.blocked_until_s

    def blocked_until_s(self, content: int) -> float:
        """Return when an item may run again, ``NEVER_S`` if it is not blocked."""
        if content not in self._verdicts.blocked_until_s:
            return NEVER_S
        if self.is_cause(content):
            return self._verdicts.cause_blocked_until_s(content)
        trial_at_s = item_trial_at_s(self._by_content[content])
        return trial_at_s + self._verdicts.trial_jitter_s(content)

    def is_cause(self, content: int) -> bool:
        """Return whether an item is taken for the cause of its crashes."""
        return self._verdicts.is_cause_of_crashes(content) and self._has_isolated_crashes(content)

    def are_cause_together(self, contents: Iterable[int]) -> bool:
        """Return whether an item is taken for a cause that has all of ``contents``."""
        together = self._verdicts.confirmed_together.intersection(contents)
        return sum(self._has_isolated_crashes(content) for content in together) > 1

    def _has_isolated_crashes(self, content: int) -> bool:
        suspect = self._by_content[content]
        if len(suspect.crash_by_worker) < CRASHES_TO_BLOCK_BATCH:
            return False
        last_crashes_s = sorted(crash.at_s for crash in suspect.crash_by_worker.values())
        if last_crashes_s[-1] < self._crash_log.known_since_s:
            return False
        explained = workers_with_suspects(self._by_content)
        return all(
            self._crash_log.workers_crashed_around(at_s) <= explained
            for at_s in last_crashes_s[-ISOLATED_CRASHES_TO_BLOCK:]
        )


def item_trial_at_s(suspect: Suspect) -> float:
    """Return the earliest time of an item's next trial, counted from its last crash or trial."""
    delay_s = min(MAX_TRIAL_DELAY_S, TRIAL_DELAY_S * TRIAL_BACKOFF_FACTOR**suspect.trials.count)
    return suspect.last_evidence_s + delay_s
