"""Decides when prompt parts that are suspected of crashing workers are tried again.

Many requests share a part, and a block stops all of them. What runs in nearly every request is also
at nearly every crash, whatever causes it. So no number of crashes blocks a part for good: with
enough of them it has one run at a time, a trial. The first trials follow each other within seconds.
A part that crashes workers ends one with each of them, so there are few: as many as keep its
crashes within ``MAX_SOON_CRASHES``. After them it is tried every ``INITIAL_BLOCK_S``. A success
clears the part, whose crashes and trials then count anew.

Some parts crash only together, in trials too, and no evidence tells which of them is the cause.
Requests that have several of them wait for the full delay, those with one for the short one.
"""

from __future__ import annotations

from mountstand.quarantine.batch_verdicts import item_trial_at_s
from mountstand.quarantine.suspect import INITIAL_BLOCK_S, MAX_CRASHES_KEPT, Suspect
from mountstand.quarantine.verdicts import Verdicts

MIN_SOON_TRIALS = 3
"""Trials of a part within seconds of each other, however many workers crashed before."""

MAX_SOON_TRIALS = 5
"""The same for a part that is suspected after as few crashes as possible. All workers may crash in
turn for half a minute, whatever they run, and a part that nearly all requests share must be tried
again after that."""

MAX_SOON_CRASHES = MAX_CRASHES_KEPT
"""Worker crashes under a part, those of its trials included, after which no further trial comes
soon unless it has had fewer than ``MIN_SOON_TRIALS``."""


class PartVerdicts(Verdicts):
    """Verdicts on all suspected prompt parts."""

    __slots__ = ()

    def _evaluate(self) -> None:
        super()._evaluate()
        self.confirmed_together = {
            part for part in self.trial_required if not soon_trials_left(self._by_content[part])
        }

    def trial_at_s(self, content: int) -> float:
        """Return the earliest time of a part's next trial in a request without other suspects."""
        suspect = self._by_content[content]
        if self._crashed_beside_others(suspect) or soon_trials_left(suspect):
            return item_trial_at_s(suspect)
        return late_trial_at_s(suspect)

    def is_cause_of_crashes(self, content: int) -> bool:
        """Return whether a part may be the cause of its crashes, as far as its trials tell."""
        suspect = self._by_content[content]
        if content not in self.trial_required or self._crashed_beside_others(suspect):
            return False
        return not soon_trials_left(suspect)

    def cause_blocked_until_s(self, content: int) -> float:
        """Return when a part that is taken for the cause may run again."""
        return self.trial_at_s(content)

    def _is_confirmed(self, suspect: Suspect) -> bool:
        """Return ``False``: each part has a next trial."""
        return False

    def _crashed_beside_others(self, suspect: Suspect) -> bool:
        """Return whether a part crashed only beside other suspects, so that it may be sound.

        Then its next trial, alone, comes within seconds, however often it was tried with them.
        """
        return all(self.suspects_by_worker[worker] > 1 for worker in suspect.crash_by_worker)


def soon_trials_left(suspect: Suspect) -> int:
    """Return how many trials of a part follow before it waits for the full delay.

    A trial whose worker is not known to have crashed counts as a crash.
    """
    left_at_least = MIN_SOON_TRIALS - suspect.trials.count
    if suspect.has_uncounted_crashes:
        return max(0, left_at_least)
    crashes = len(suspect.crash_by_worker) + suspect.is_last_trial_unclear
    left_at_most = MAX_SOON_TRIALS - suspect.trials.count
    return max(0, left_at_least, min(left_at_most, MAX_SOON_CRASHES - crashes))


def late_trial_at_s(suspect: Suspect) -> float:
    """Return the earliest time of the next trial of a part that has no soon trials left."""
    return suspect.last_evidence_s + INITIAL_BLOCK_S
