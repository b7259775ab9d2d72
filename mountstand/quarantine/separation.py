"""Anti-affinity for strong suspects: keeps them on different workers, to isolate the cause.

Items of one job, or requests whose connections broke together, are retried together and often on
the same worker. Innocent ones would then be present at every crash that the cause produces.
Therefore no two strong suspects run on the same worker at the same time. A daemon doesn't know in
time what others have in flight, so recent suspects get workers reserved by rendezvous hashing:
daemons with the same evidence arrive at the same reservations. Contents with a single crash run on
any worker, since separating those would delay batch work without need.
"""

from __future__ import annotations

from collections import Counter
from itertools import islice

from mountstand.hashing import content_name, rendezvous_weight
from mountstand.quarantine.suspects import CrashSuspects

RESERVATION_S = 10.0
"""How long workers stay reserved for a content, at most: after its last crash, after the start of a
trial, and from shortly before a trial is due. Retries arrive within seconds; a content that never
returns must release its workers."""

MAX_CONTENTS_WITH_RESERVATIONS = 4
"""Contents that may have workers reserved at the same time. A crashing request makes strong
suspects of the two or three contents that ran next to it twice. Dozens at once point to a failure
of a rack or zone; reservations would then leave most of them without a worker."""

MAX_TRIALS_WITH_RESERVATIONS = 16
"""Limit on trials if more than ``MAX_CONTENTS_WITH_RESERVATIONS`` contents would need reservations:
then only contents that require a trial get them, up to this many. A trial occupies its worker only
briefly; beyond this number, most of the contents are probably innocent."""


class SuspectSeparation:
    """Tracks the strong suspects that this daemon has in flight, by worker."""

    __slots__ = ("_in_flight_by_worker", "_suspects")

    def __init__(self, suspects: CrashSuspects) -> None:
        self._suspects = suspects
        self._in_flight_by_worker: dict[str, Counter[int]] = {}

    def allows(self, content: int, worker_id: str, now_s: float) -> bool:
        """Return whether a content may be sent to a worker.

        Refused for a strong suspect if this daemon has another strong suspect in flight there, or
        if it competes for reservations and the worker is reserved for another content. One whose
        reservation ran out before its trial began still competes, lest it spoil another's trial. A
        strong suspect that doesn't compete for reservations may also use reserved workers.
        """
        if not self._suspects.is_strong(content):
            return True
        in_flight = self._in_flight_by_worker.get(worker_id)
        if in_flight and not set(in_flight) <= {content}:
            return False
        candidates = self._contents_with_reservations(content, now_s)
        if content not in candidates:
            if not self._suspects.is_trial_overdue(content, now_s):
                return True
            candidates = [*candidates, content]
        name = content_name
        return content == max(candidates, key=lambda each: rendezvous_weight(worker_id, name(each)))

    def _contents_with_reservations(self, content: int, now_s: float) -> list[int]:
        """Return the contents with which ``content`` competes for reserved workers, and itself.

        If there are more than ``MAX_CONTENTS_WITH_RESERVATIONS``, only contents that require a
        trial keep reservations, and the list is empty for any other ``content``. It is also empty
        if there are more than ``MAX_TRIALS_WITH_RESERVATIONS`` of those.

        Trials take precedence, since a crash during a trial is inconclusive if another suspect was
        running on the worker.
        """
        suspects = self._suspects
        trials = list(
            islice(suspects.recent_trials(now_s, RESERVATION_S), MAX_TRIALS_WITH_RESERVATIONS + 1)
        )
        recent = suspects.recent_strong_suspects(now_s, RESERVATION_S)
        strong = list(islice(recent, MAX_CONTENTS_WITH_RESERVATIONS + 1))
        if len(trials) + len(strong) <= MAX_CONTENTS_WITH_RESERVATIONS:
            return trials + strong
        return trials if content in trials and len(trials) <= MAX_TRIALS_WITH_RESERVATIONS else []

    def track_run(self, content: int, worker_id: str) -> bool:
        """Record that a content is sent to a worker.

        Returns whether it is tracked: the caller must then call :meth:`release_run`.
        """
        if not self._suspects.is_strong(content):
            return False
        self._in_flight_by_worker.setdefault(worker_id, Counter())[content] += 1
        return True

    def release_run(self, content: int, worker_id: str) -> None:
        """Record that a run tracked by :meth:`track_run` is over."""
        contents = self._in_flight_by_worker[worker_id]
        contents[content] -= 1
        if not contents[content]:
            del contents[content]
        if not contents:
            del self._in_flight_by_worker[worker_id]
