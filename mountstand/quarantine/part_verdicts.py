"""Decides when prompt parts that are suspected of crashing workers are blocked.

Many requests share a part, and a block stops all of them. So a part is blocked for long only if a
trial has shown that it crashes workers: a worker that ran the trial crashed, beside no other part
with several crashes unless it is the second trial, and no other worker crashed at the same moment
without a suspect of its own. Until then a part with enough crashes has only one run at a time,
after a short delay.
"""

from __future__ import annotations

from collections.abc import Mapping

from mountstand.quarantine.crash_log import CrashLog
from mountstand.quarantine.suspect import Suspect
from mountstand.quarantine.verdicts import Verdicts, workers_with_suspects

DECISIVE_TRIALS = 2
"""Trials after which a crash blocks a part also if it ran beside other suspected parts."""


class PartVerdicts(Verdicts):
    """Verdicts on all suspected prompt parts."""

    __slots__ = ("_crash_log",)

    def __init__(
        self, by_part: Mapping[int, Suspect], daemon_name: str, crash_log: CrashLog
    ) -> None:
        self._crash_log = crash_log
        super().__init__(by_part, daemon_name)

    def _is_confirmed(self, suspect: Suspect, suspects_by_worker: Mapping[int, int]) -> bool:
        """Return whether a crash since the last trial began is due to the part alone."""
        if not suspect.trials.count:
            return False
        is_decisive = suspect.trials.count >= DECISIVE_TRIALS
        explained = workers_with_suspects(self._by_content)
        return any(
            crash.at_s >= suspect.trials.last_at_s
            and (is_decisive or suspects_by_worker[worker] == 1)
            and self._crash_log.workers_crashed_around(crash.at_s) <= explained
            for worker, crash in suspect.crash_by_worker.items()
        )
