"""Keeps strong suspects apart, so that the next crash tells which of them is the cause.

Items of one job, or requests that broke at the same moment, are tried again at the same moment, and
often at the same worker: those beside the cause would be there at every end, too. So two contents
under which two workers or more ended do not run at one worker at a time. What other daemons have in
flight is not known in time, so each worker is for one of these contents by rendezvous hashing, and
all daemons that have heard of the same ends come to the same. Contents with fewer ends run
anywhere; keeping those apart would hold up batch work for nothing.
"""

from __future__ import annotations

from collections import Counter
from itertools import islice

from mountstand.hashing import content_name, rendezvous_weight
from mountstand.quarantine.suspects import CrashSuspects

LATELY_S = 10.0
"""For so long after its last end a content has workers kept for it: what is tried again comes
within seconds, and one that never comes again must not take workers from the others."""

MOST_KEPT_APART = 4
"""So many contents at most have workers kept for them. A crashing request makes strong suspects of
the two or three that were beside it twice; dozens come of a rack or zone that failed twice, and
would leave most of them without a worker."""

MOST_TRIALS = 16
"""So many contents that were held back at most have workers kept for their trials. Each runs there
for a moment and is cleared or blocked; with more, most of them were merely there."""


class SuspectSeparation:
    """The strong suspects that this daemon has in flight, by worker."""

    __slots__ = ("_in_flight_by_worker", "_suspects")

    def __init__(self, suspects: CrashSuspects) -> None:
        self._suspects = suspects
        self._in_flight_by_worker: dict[str, Counter[int]] = {}

    def allows(self, content: int, worker_id: str, now_s: float) -> bool:
        """Return whether a content may be sent to a worker beside other strong suspects."""
        if not self._suspects.is_strong(content):
            return True
        others = self._in_flight_by_worker.get(worker_id)
        if others and not set(others) <= {content}:
            return False
        kept = self._kept_apart(content, now_s)
        if content not in kept:
            return True
        name = content_name
        return content == max(kept, key=lambda each: rendezvous_weight(worker_id, name(each)))

    def _kept_apart(self, content: int, now_s: float) -> list[int]:
        """Return the contents that have workers kept for them, none if there are too many.

        A trial tells nothing beside another suspect, so trials go before those that merely are
        strong.
        """
        suspects = self._suspects
        trials = list(islice(suspects.trials_lately(now_s, LATELY_S), MOST_TRIALS + 1))
        lately = suspects.strong_lately(now_s, LATELY_S)
        strong = list(islice(lately, MOST_KEPT_APART + 1))
        if len(trials) + len(strong) <= MOST_KEPT_APART:
            return trials + strong
        return trials if content in trials and len(trials) <= MOST_TRIALS else []

    def enter(self, content: int, worker_id: str) -> bool:
        """Note a content that is sent to a worker; returns whether it must be told to leave."""
        if not self._suspects.is_strong(content):
            return False
        self._in_flight_by_worker.setdefault(worker_id, Counter())[content] += 1
        return True

    def leave(self, content: int, worker_id: str) -> None:
        """Note that an exchange that entered is over."""
        contents = self._in_flight_by_worker[worker_id]
        contents[content] -= 1
        if not contents[content]:
            del contents[content]
        if not contents:
            del self._in_flight_by_worker[worker_id]
