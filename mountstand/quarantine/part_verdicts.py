"""Decides when prompt parts that are suspected of crashing workers are blocked.

Many requests share a part, and a block stops all of them. So a part is blocked for long only if a
trial has shown that it crashes workers: a worker that ran the trial crashed, beside no other part
with several crashes, and no other worker crashed at the same moment without a suspect of its own.
Until then a part with enough crashes has only one run at a time, after a short delay.

Some parts crash only together, in trials too, and no evidence tells which of them is the cause.
Requests that have several of them are then blocked, whereas those with one may still try it.
"""

from __future__ import annotations

from collections.abc import Mapping

from mountstand.quarantine.batch_verdicts import item_trial_at_s
from mountstand.quarantine.crash_log import CrashLog
from mountstand.quarantine.suspect import Suspect
from mountstand.quarantine.verdicts import Verdicts, workers_with_suspects

DECISIVE_TRIALS = 2
"""Trials after which a crash confirms a part together with those that ran beside it."""


class PartVerdicts(Verdicts):
    """Verdicts on all suspected prompt parts."""

    __slots__ = ("_crash_log",)

    def __init__(
        self, by_part: Mapping[int, Suspect], daemon_name: str, crash_log: CrashLog
    ) -> None:
        self._crash_log = crash_log
        super().__init__(by_part, daemon_name)

    def _evaluate(self) -> None:
        super()._evaluate()
        if not self.trial_required:
            return
        suspects_by_worker = self._suspects_by_worker()
        explained = workers_with_suspects(self._by_content)
        for part in self.trial_required:
            suspect = self._by_content[part]
            if suspect.trials.count >= DECISIVE_TRIALS and self._trial_crashes(suspect, explained):
                self.confirmed_together.add(part)
            if all(suspects_by_worker[worker] > 1 for worker in suspect.crash_by_worker):
                self._shorten_block_until_trial(part)

    def _is_confirmed(self, suspect: Suspect, suspects_by_worker: Mapping[int, int]) -> bool:
        """Return whether a crash since the last trial began is due to the part alone."""
        explained = workers_with_suspects(self._by_content)
        return any(
            suspects_by_worker[worker] == 1 for worker in self._trial_crashes(suspect, explained)
        )

    def _trial_crashes(self, suspect: Suspect, explained: set[int]) -> list[int]:
        """Return the workers that crashed since the last trial of a suspect began.

        Those beside which another worker crashed that is not ``explained`` are left out.
        """
        if not suspect.trials.count:
            return []
        return [
            worker
            for worker, crash in suspect.crash_by_worker.items()
            if crash.at_s >= suspect.trials.last_at_s
            and self._crash_log.workers_crashed_around(crash.at_s) <= explained
        ]

    def _shorten_block_until_trial(self, part: int) -> None:
        """Let a part that was never suspected alone be tried alone within seconds.

        Sound requests are the ones that have it without the others.
        """
        if part in self.blocked_until_s:
            trial_at_s = item_trial_at_s(self._by_content[part])
            self.blocked_until_s[part] = trial_at_s + self.trial_jitter_s(part)
