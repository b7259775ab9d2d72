"""Decides when prompt parts that are suspected of crashing workers are tried again.

Many requests share a part, and a block stops all of them. What runs in nearly every request is also
at nearly every crash, whatever causes it. So no number of crashes blocks a part for good: with
enough of them it has one run at a time, a trial. The first trials follow each other within seconds;
after that the delay grows with each trial whose worker crashes. It stays short for a part that was
served before, since one that crashes workers never is, and for one that crashed only beside other
suspected parts.

Some parts crash only together, in trials too, and no evidence tells which of them is the cause.
Requests that have several of them wait for the full delay, those with one for the short one.
"""

from __future__ import annotations

from collections.abc import Mapping

from mountstand.quarantine.batch_verdicts import item_trial_at_s
from mountstand.quarantine.crash_log import CrashLog
from mountstand.quarantine.suspect import Suspect
from mountstand.quarantine.verdicts import Verdicts, workers_with_suspects

SOON_TRIALS = 4
"""Trials of a part within seconds of each other, before their delay grows. All workers may crash in
turn for half a minute, whatever they run, and a part that nearly all requests share must be tried
again after that. A part that crashes workers ends one with each trial. After as many trials a crash
also confirms parts that crash together."""


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
        explained = workers_with_suspects(self._by_content)
        for part in self.trial_required:
            suspect = self._by_content[part]
            if suspect.trials.count >= SOON_TRIALS and self._trial_crashes(suspect, explained):
                self.confirmed_together.add(part)

    def trial_at_s(self, content: int) -> float:
        """Return the earliest time of a part's next trial in a request without other suspects."""
        suspect = self._by_content[content]
        if self._is_tried_soon(suspect):
            return item_trial_at_s(suspect)
        return suspect.part_trial_at_s

    def is_cause_of_crashes(self, content: int) -> bool:
        """Return whether a part may be the cause of its crashes, as far as its trials tell."""
        return content in self.trial_required and not self._is_tried_soon(self._by_content[content])

    def cause_blocked_until_s(self, content: int) -> float:
        """Return when a part that is taken for the cause may run again."""
        return self.trial_at_s(content)

    def _is_confirmed(self, suspect: Suspect) -> bool:
        """Return ``False``: each part has a next trial."""
        return False

    def _is_tried_soon(self, suspect: Suspect) -> bool:
        """Return whether the next trial of a part comes within seconds.

        So it does for one that was served before, had few trials yet, or crashed only beside other
        suspects.
        """
        if suspect.was_served or suspect.trials.count < SOON_TRIALS:
            return True
        return all(self.suspects_by_worker[worker] > 1 for worker in suspect.crash_by_worker)

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
