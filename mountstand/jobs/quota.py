"""Limits the waiting tokens of each tenant on a route, across all daemons.

Waiting tokens are those of items whose results are not listed yet. The bound is configured per
route and applies to each tenant separately. All jobs submitted without an API key share one bound,
as if they were of one tenant.

Every daemon sees the heads of all jobs with some delay. Far below a route's bound, that view is
accurate enough. Near the bound, a daemon first reserves a job's tokens by a conditional write to
the tenant's reservations row for the route, so that two daemons cannot allocate the same capacity.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import orjson

from mountstand.jobs.model import JobHead, JobSubmission
from mountstand.serving.configuration import Configuration, Route
from mountstand.store.rows import ABSENT, Conflict, RowKey, RowStore, Transaction

RESERVATIONS_TABLE = "job_reservations"

UNRESERVED_SHARE = 0.5
"""Share of a bound up to which jobs are accepted without a reservation. Jobs that several daemons
accept at the same time, before they see each other's, must fit into the rest."""

RESERVATION_TTL_S = 5.0
"""How long a reservation counts. Must exceed the time to accept a job plus the delay with which
daemons see its head."""

MAX_RESERVE_ATTEMPTS = 3
"""Attempts at the conditional write of a reservation, each taking two store round trips. The job is
refused if all of them conflict."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens reserved for a job being accepted; ``reserved_at_ms`` is in store time."""

    job_id: str
    tokens: int
    reserved_at_ms: int


@dataclass(frozen=True, slots=True)
class QuotaScope:
    """The jobs that share one bound: those of one tenant on one route."""

    route: str
    tenant: str

    @property
    def reservations_row_key(self) -> RowKey:
        """Key of the row that holds the reservations."""
        name = f"reserved/{self.tenant}" if self.tenant else "reserved"
        return RowKey(RESERVATIONS_TABLE, self.route, name)


class TokenQuota:
    """Decides whether a submission fits within its tenant's bound on the route."""

    def __init__(
        self,
        rows: RowStore,
        heads: Callable[[], Iterable[JobHead]],
        configuration: Callable[[], Configuration | None],
    ) -> None:
        self._rows = rows
        self._heads = heads
        self._configuration = configuration
        self._submission_tokens_by_job: dict[str, tuple[QuotaScope, int]] = {}

    async def reserve(self, route: Route, submission: JobSubmission, now_ms: int) -> bool:
        """Reserve a job's tokens and return whether they fit.

        Raises ``StoreError`` if the reservations row cannot be read or written. Callers must call
        ``release`` when the submission has ended, whatever the result.
        """
        bound = route.max_waiting_tokens
        if not bound:
            return True
        scope = QuotaScope(route.name, submission.tenant)
        tokens = submission.tokens
        total_tokens = sum(self.waiting_tokens_by_job(scope).values()) + tokens
        if total_tokens > bound:
            return False
        self._submission_tokens_by_job[submission.job_id] = (scope, tokens)
        if total_tokens <= bound * UNRESERVED_SHARE:
            return True
        return await self._reserve_in_store(
            scope, bound, Reservation(submission.job_id, tokens, now_ms)
        )

    def release(self, job_id: str) -> None:
        """Stop counting a submission in this daemon once it has ended.

        Its reservation in the store counts until its head is visible or the reservation expires.
        """
        self._submission_tokens_by_job.pop(job_id, None)

    def waiting_tokens_by_job(self, scope: QuotaScope) -> dict[str, int]:
        """Return waiting tokens by job ID for ``scope``, as this daemon sees them."""
        tokens_by_job = {
            job_id: tokens
            for job_id, (submitting_scope, tokens) in self._submission_tokens_by_job.items()
            if submitting_scope == scope
        }
        for head in self._heads():
            if head.is_open and self._scope_of(head) == scope:
                tokens_by_job[head.job_id] = head.waiting_tokens
        return tokens_by_job

    def _scope_of(self, head: JobHead) -> QuotaScope | None:
        configuration = self._configuration()
        route = configuration.match(head.host, head.path) if configuration else None
        return None if route is None else QuotaScope(route.name, head.tenant)

    async def _reserve_in_store(
        self, scope: QuotaScope, bound: int, reservation: Reservation
    ) -> bool:
        for _ in range(MAX_RESERVE_ATTEMPTS):
            reservations, version = await self._read(scope)
            unexpired = [
                r
                for r in reservations
                if reservation.reserved_at_ms - r.reserved_at_ms < RESERVATION_TTL_S * 1000
            ]
            visible_job_ids = {head.job_id for head in self._heads()}
            unseen_tokens_by_job = {
                r.job_id: r.tokens for r in unexpired if r.job_id not in visible_job_ids
            }
            waiting_tokens_by_job = unseen_tokens_by_job | self.waiting_tokens_by_job(scope)
            waiting_tokens_by_job[reservation.job_id] = reservation.tokens
            if sum(waiting_tokens_by_job.values()) > bound:
                return False
            try:
                await self._write(scope, [*unexpired, reservation], version)
                return True
            except Conflict:
                continue
        return False

    async def _read(self, scope: QuotaScope) -> tuple[list[Reservation], int]:
        key = scope.reservations_row_key
        page = await self._rows.read(key.table, key.part, key.key, key.key + "\x00", 1)
        if not page.rows or page.rows[0].value is None:
            return [], ABSENT
        row = page.rows[0]
        assert row.value is not None
        return [Reservation(*fields) for fields in orjson.loads(row.value)], row.version

    async def _write(
        self, scope: QuotaScope, reservations: list[Reservation], version: int
    ) -> None:
        value = orjson.dumps([[r.job_id, r.tokens, r.reserved_at_ms] for r in reservations])
        await self._rows.commit(
            Transaction(
                conditions=[(scope.reservations_row_key, version)],
                puts=[(scope.reservations_row_key, value)],
            )
        )
