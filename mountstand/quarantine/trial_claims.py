"""Claims to trials of suspects, as rows of the store tell them: a pure state machine.

A daemon writes a claim before it begins a trial, on the condition that the row is still the one it
knows. So of several daemons that find a trial due at one moment one alone begins it, whatever
became of the reports between them. The row of a suspect holds the last claim, and shows the others
that the trial has begun.

While the store gives no answer nothing can be claimed. Then one of the daemons that answer each
other tries alone (:func:`refusal_without_store`).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from mountstand.hashing import rendezvous_owner
from mountstand.quarantine.suspect import (
    INITIAL_BLOCK_S,
    NEVER_S,
    SUSPECT_RETENTION_S,
    TRIAL_JITTER_S,
    TRIAL_RETRY_AFTER_S,
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

    def note_row(self, content: int, version: int, claim: TrialClaim) -> bool:
        """Take over a row; return whether it tells of a trial that was unknown."""
        if version < self.version(content):
            return False
        self._version_by_content[content] = version
        self._claim_by_content[content] = claim
        return self.merge(content)

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

    def merge(self, content: int) -> bool:
        """Let a suspect's claim count as a trial; return whether that is new.

        An own claim under which no trial has begun does not count: this daemon may still begin it.
        """
        claim = self._claim_by_content.get(content)
        if claim is None or content not in self.suspects.by_content:
            return False
        if claim.token in self._unused_tokens_by_content.get(content, ()):
            return False
        return self.suspects.merge(content, {}, NEVER_S, claim.trials)

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
) -> Refusal | None:
    """Decide whether a daemon may begin the trial of ``name`` while the store gives no answer.

    ``answering`` are the other daemons that answer probes, ``listed`` all others that are known.
    One that hears none of those it knows of is cut off itself. Of those that answer each other one
    tries, and only once those that reach the store could have done so.
    """
    if listed and not answering:
        return Refusal("cut off", TRIAL_RETRY_AFTER_S)
    if rendezvous_owner(name, [daemon_name, *answering]) != daemon_name:
        return Refusal("store away, another daemon tries", TRIAL_RETRY_AFTER_S)
    if overdue_s < UNCLAIMED_DELAY_S:
        return Refusal("store away", UNCLAIMED_DELAY_S - max(0.0, overdue_s))
    return None
