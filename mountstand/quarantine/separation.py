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
        lately = self._suspects.strong_lately(now_s - LATELY_S)
        strong = list(islice(lately, MOST_KEPT_APART + 1))
        if content not in strong or len(strong) > MOST_KEPT_APART:
            return True
        return content == max(
            strong, key=lambda each: rendezvous_weight(worker_id, content_name(each))
        )

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
