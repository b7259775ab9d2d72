"""Claims to trials of suspects, as rows of the store tell them: a pure state machine.

A daemon writes a claim before it begins a trial, on the condition that the row is still the one it
knows. So of several daemons that find a trial due at one moment one alone begins it, whatever
became of the reports between them. The row of a suspect holds the last claim. It is no evidence of
a trial, since its daemon may have died, or not know that it was stored: it keeps others off for
``CLAIM_HOLD_S``, in which the suspect's own row tells of a trial that has begun.

While the store gives no answer nothing can be claimed. Then one of the daemons that answer each
other tries first (:func:`refusal_without_store`).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from mountstand.hashing import rendezvous_weight
from mountstand.quarantine.suspect import (
    INITIAL_BLOCK_S,
    SUSPECT_RETENTION_S,
    TRIAL_JITTER_S,
    Trials,
)
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.store.rows import ABSENT

CLAIM_ROW_PREFIX = "trial:"
"""Precedes the key of a suspect's row in the key of its claim. Former versions of this program pass
over these rows."""

CLAIM_TIMEOUT_S = 0.3
"""How long a request waits for the store's answer to its claim."""

UNCLAIMED_DELAY_S = TRIAL_JITTER_S + CLAIM_TIMEOUT_S
"""How much later than it is due a trial begins without a claim, so that daemons that reach the
store come first."""

CLAIM_HOLD_S = 1.5
"""How long a claim keeps other daemons off a trial of which they know nothing else."""

TURN_S = 1.0
MAX_TURNS = 9
"""How long each daemon lets the one before it begin a trial without a claim, for so many at most.
The first ones may have no callers."""

CUT_OFF_DELAY_S = 3.0
"""How long a daemon that hears no other one waits for the store before it begins a trial without a
claim: it may be cut off, or the last one."""

CLAIM_RETENTION_S = INITIAL_BLOCK_S + SUSPECT_RETENTION_S
"""How long a claim is kept whose suspect is unknown here: other daemons may know it."""


@dataclass(frozen=True, slots=True)
class TrialClaim:
    """A claim: the number and time of the trial, and a token that is used once."""

    trials: Trials
    token: str


class KnownClaims:
    """The claims to trials of one kind of suspects, as far as this daemon knows.

    Row keys are content keys in hexadecimal after ``row_prefix``.
    """

    def __init__(self, suspects: CrashSuspects, suspect_row_prefix: str) -> None:
        self.suspects = suspects
        self.row_prefix = CLAIM_ROW_PREFIX + suspect_row_prefix
        self._claim_by_content: dict[int, TrialClaim] = {}
        self._version_by_content: dict[int, int] = {}
        self._unused_tokens_by_content: dict[int, set[str]] = {}
        """Tokens of own claims, stored or not, under which no trial has begun."""

    def __contains__(self, content: int) -> bool:
        """Return whether a suspect has a claim in the store."""
        return content in self._claim_by_content

    def clear(self) -> None:
        """Forget all rows, before all of them are read anew."""
        self._claim_by_content.clear()
        self._version_by_content.clear()

    def version(self, content: int) -> int:
        """Return the version of a suspect's row on which the next claim is conditional."""
        return self._version_by_content.get(content, ABSENT)

    def note_row(self, content: int, version: int, claim: TrialClaim) -> None:
        """Take over a row."""
        if version >= self.version(content):
            self._version_by_content[content] = version
            self._claim_by_content[content] = claim

    def note_removed(self, content: int) -> None:
        """Record that there is no claim to a trial of a suspect."""
        self._version_by_content.pop(content, None)
        self._claim_by_content.pop(content, None)

    def note_claiming(self, content: int, token: str) -> None:
        """Record that this daemon is about to write a claim, with whatever outcome."""
        self._unused_tokens_by_content.setdefault(content, set()).add(token)

    def note_begun(self, content: int) -> None:
        """Record that this daemon begins the trial, so that its claim is used."""
        self._unused_tokens_by_content.pop(content, None)

    def is_claimed_by_other(self, content: int) -> bool:
        """Return whether another daemon has claimed a trial that is not known to have begun.

        An own claim under which no trial has begun does not count: this daemon may still begin it.
        """
        claim = self._claim_by_content.get(content)
        suspect = self.suspects.by_content.get(content)
        if claim is None or suspect is None or claim.trials.count <= suspect.trials.count:
            return False
        return claim.token not in self._unused_tokens_by_content.get(content, ())

    def held_for_s(self, content: int, now_s: float) -> float:
        """Return how long another daemon's claim still keeps this one off a trial, 0 if not."""
        if not self.is_claimed_by_other(content):
            return 0.0
        claim = self._claim_by_content[content]
        return max(0.0, claim.trials.last_at_s + CLAIM_HOLD_S - now_s)

    def stale(self, now_s: float) -> list[int]:
        """Return unknown suspects whose claims are old, and forget what is kept of unknown ones."""
        by_content = self.suspects.by_content
        for content in self._unused_tokens_by_content.keys() - by_content.keys():
            del self._unused_tokens_by_content[content]
        return [
            content
            for content, claim in self._claim_by_content.items()
            if content not in by_content and claim.trials.last_at_s < now_s - CLAIM_RETENTION_S
        ]


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a trial may not begin now, and when to ask again."""

    cause: str
    retry_after_s: float


def refusal_without_store(
    name: str,
    daemon_name: str,
    answering: Collection[str],
    listed: Collection[str],
    overdue_s: float,
    waited_s: float,
) -> Refusal | None:
    """Decide whether a daemon may begin the trial of ``name`` while the store gives no answer.

    ``answering`` are the other daemons that answer probes, ``listed`` all others that are known.
    The trial has been due for ``overdue_s``, and this daemon has waited for the store for
    ``waited_s`` of it. Daemons that answer each other take turns, the first one once those that
    reach the store could have tried.
    """
    if listed and not answering:
        return _refusal_before("cut off", CUT_OFF_DELAY_S - waited_s)
    own_weight = rendezvous_weight(name, daemon_name)
    turn = sum(rendezvous_weight(name, other) > own_weight for other in answering)
    if turn:
        left_s = TURN_S * min(turn, MAX_TURNS) - waited_s
        return _refusal_before("store away, another daemon tries", left_s)
    return _refusal_before("store away", UNCLAIMED_DELAY_S - max(0.0, overdue_s))


def _refusal_before(cause: str, left_s: float) -> Refusal | None:
    return Refusal(cause, left_s) if left_s > 0 else None
