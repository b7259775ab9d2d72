"""Claims trials of suspects in the store before they begin, on the event loop."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from mountstand.hashing import content_name
from mountstand.quarantine.sharing import ReportLink
from mountstand.quarantine.stored import StoredSuspects
from mountstand.quarantine.suspect import TRIAL_RETRY_AFTER_S
from mountstand.quarantine.trial_claims import (
    CLAIM_TIMEOUT_S,
    KnownClaims,
    Refusal,
    refusal_without_store,
)
from mountstand.serving.worker_protocol import Call
from mountstand.store.rows import Conflict, StoreError, Transaction
from mountstand.telemetry.decisions import DecisionLog

STORE_PAUSE_S = 1.0
"""For how long no claim is sent after one without an answer."""

MAX_CLAIM_AGE_S = 1.0
"""Age from which an answer to a claim counts no more, as after a standstill of this process.
Much less than the time between two trials."""

MAX_CLAIM_TRIES = 3
"""Writes of one claim; a further one follows where the row was another one than expected and yet
tells of no trial that holds this one back."""


@dataclass(frozen=True, slots=True)
class DueTrial:
    """A trial that a request would begin."""

    stored: StoredSuspects
    content: int

    @property
    def claims(self) -> KnownClaims:
        """The claims to trials of this kind of suspects."""
        return self.stored.claims

    @property
    def name(self) -> str:
        """The name of the suspect."""
        return content_name(self.content)

    @property
    def number(self) -> int:
        """The number that the trial will have."""
        suspect = self.claims.suspects.by_content.get(self.content)
        return suspect.trials.count + 1 if suspect is not None else 1


class TrialClaimer:
    """Claims the trials that requests of the daemon named ``daemon_name`` would begin."""

    def __init__(
        self,
        daemon_name: str,
        link: ReportLink,
        stored: StoredSuspects,
        stored_parts: StoredSuspects,
        log: DecisionLog,
    ) -> None:
        self._daemon_name = daemon_name
        self._link = link
        self._stored = stored
        self._stored_parts = stored_parts
        self._log = log
        self._holder_by_trial: dict[DueTrial, Call] = {}
        """Requests that claim trials or have claimed them, until these begin."""

        self._store_asked_from_s = 0.0
        self._waited_since_s: dict[str, float] = {}
        """When a request first had no answer of the store to its claim, by the suspect's name."""

    def requires_claim(self, call: Call) -> bool:
        """Return whether a request would begin trials that it has not claimed."""
        return bool(self._unclaimed_trials(call))

    async def claim(self, call: Call, blocked_for_s: Callable[[], float]) -> float:
        """Claim the trials that a request would begin, all of them or none.

        ``blocked_for_s`` tells how long the request is held back by what is known now. Returns 0
        if the request may begin them, else the time after which it may be tried again. Claims
        are kept until :meth:`note_begun` or :meth:`release`.
        """
        trials = self._unclaimed_trials(call)
        if any(trial in self._holder_by_trial for trial in trials):
            return TRIAL_RETRY_AFTER_S
        self._holder_by_trial |= dict.fromkeys(trials, call)
        refusal: Refusal | None = Refusal("given up", TRIAL_RETRY_AFTER_S)
        try:
            refusal = await self._claim(trials, call, blocked_for_s)
        finally:
            if refusal is not None:
                self.release(call)
        if refusal is None:
            return 0.0
        self._log_refusal(trials, call, refusal)
        return refusal.retry_after_s

    def note_begun(self, call: Call) -> None:
        """Record that the claimed trials of a request begin."""
        for trial in self._held_by(call):
            trial.claims.note_begun(trial.content)
            self._waited_since_s.pop(trial.name, None)
            del self._holder_by_trial[trial]

    def release(self, call: Call) -> None:
        """Let other requests of this daemon begin the trials that a request has claimed."""
        for trial in self._held_by(call):
            del self._holder_by_trial[trial]

    def _held_by(self, call: Call) -> list[DueTrial]:
        return [trial for trial, holder in self._holder_by_trial.items() if holder is call]

    def _unclaimed_trials(self, call: Call) -> list[DueTrial]:
        keys = [(self._stored_parts, part) for part in dict.fromkeys(call.prompt.shared_keys)]
        found = []
        for stored, content in [*keys, (self._stored, call.content_key)]:
            suspects = stored.claims.suspects
            if not suspects.requires_trial(content, call.workload):
                continue
            trial = DueTrial(stored, content)
            is_claimed = self._holder_by_trial.get(trial) is call
            if not is_claimed and not suspects.is_trial_open(content, call.workload):
                found.append(trial)
        return found

    async def _claim(
        self, trials: list[DueTrial], call: Call, blocked_for_s: Callable[[], float]
    ) -> Refusal | None:
        """Return why the trials may not begin, ``None`` if they may."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        if began_s < self._store_asked_from_s:
            return self._refusal_without_store(trials, call)
        try:
            async with asyncio.timeout(CLAIM_TIMEOUT_S):
                refusal = await self._claim_in_store(trials, call, blocked_for_s)
        except (StoreError, TimeoutError) as error:
            self._store_asked_from_s = loop.time() + STORE_PAUSE_S
            self._log.event("claim_unanswered", cause=repr(error), request=call.request_id)
            return self._refusal_without_store(trials, call)
        if refusal is None and loop.time() > began_s + MAX_CLAIM_AGE_S:
            # This process stood still, and another daemon may have claimed the next trial.
            return Refusal("late", TRIAL_RETRY_AFTER_S)
        return refusal

    async def _claim_in_store(
        self, trials: list[DueTrial], call: Call, blocked_for_s: Callable[[], float]
    ) -> Refusal | None:
        has_read = False
        for _ in range(MAX_CLAIM_TRIES):
            if held_back_for_s := blocked_for_s():
                return Refusal("tried by another daemon", held_back_for_s)
            now_s = asyncio.get_running_loop().time()
            if held_for_s := max(trial.claims.held_for_s(trial.content, now_s) for trial in trials):
                return Refusal("claimed by another daemon", held_for_s)
            claimed = any(trial.claims.is_claimed_by_other(trial.content) for trial in trials)
            if claimed and not has_read:
                # Its row tells whether the trial of that claim has begun.
                await self._read(trials)
                has_read = True
                continue
            try:
                await self._write(trials)
            except Conflict:
                await self._read(trials)
                has_read = True
                continue
            self._waited_since_s.clear()
            for trial in trials:
                self._log.event(
                    "trial_claimed",
                    suspect=trial.claims.row_prefix + trial.name,
                    request=call.request_id,
                    trials=trial.number,
                )
            return None
        return Refusal("claimed by others", TRIAL_RETRY_AFTER_S)

    async def _read(self, trials: list[DueTrial]) -> None:
        """Read the rows and claims of suspects. Raises ``StoreError``."""
        for trial in trials:
            await trial.stored.read_row_and_claim(trial.content)

    async def _write(self, trials: list[DueTrial]) -> None:
        """Write claims to trials where their rows are the known ones. Raises ``StoreError``."""
        transaction = Transaction()
        token = secrets.token_hex(8)
        now_ms = self._stored.store_now_ms()
        for trial in trials:
            trial.claims.note_claiming(trial.content, token)
            key = trial.stored.claim_key(trial.content)
            fields = {"trial": trial.number, "at": now_ms, "by": self._daemon_name, "token": token}
            transaction.conditions.append((key, trial.claims.version(trial.content)))
            transaction.puts.append((key, orjson.dumps(fields)))
        await self._stored.store.commit(transaction)

    def _refusal_without_store(self, trials: list[DueTrial], call: Call) -> Refusal | None:
        now_s = asyncio.get_running_loop().time()
        due_s = max(
            trial.claims.suspects.trial_at_s(trial.content, call.workload) for trial in trials
        )
        first_name = min(trial.name for trial in trials)
        waited_since_s = self._waited_since_s.setdefault(first_name, now_s)
        refusal = refusal_without_store(
            first_name,
            self._daemon_name,
            self._link.answering(),
            self._link.listed(),
            now_s - due_s,
            now_s - max(due_s, waited_since_s),
        )
        if refusal is None:
            self._log.event("trial_unclaimed", suspect=first_name, request=call.request_id)
        return refusal

    def _log_refusal(self, trials: list[DueTrial], call: Call, refusal: Refusal) -> None:
        self._log.event(
            "trial_refused",
            suspects=[trial.claims.row_prefix + trial.name for trial in trials],
            request=call.request_id,
            cause=refusal.cause,
            for_s=round(refusal.retry_after_s, 1),
        )
