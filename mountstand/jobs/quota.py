"""Keeps the tokens of each tenant that wait on a route within the route's bound, over all daemons.

Where callers need no key, all of them together are one tenant.

Every daemon sees the heads of all jobs, some time late. While a route is far from its bound that is
enough. Near it, a daemon first reserves a job's tokens in a row of the route, under the condition
of the row's version, so that two daemons cannot give the same room away.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import orjson

from mountstand.jobs.model import JobHead, JobSubmission
from mountstand.serving.configuration import Configuration, Route
from mountstand.store.rows import ABSENT, Conflict, RowKey, RowStore, Transaction

RESERVATIONS = "job_reservations"

UNRESERVED_SHARE = 0.5
"""Share of a bound up to which jobs are accepted without a reservation. What daemons accept at the
same time, before they see each other's jobs, must fit into the rest."""

RESERVED_S = 5.0
"""How long a reservation counts. By then every daemon that follows the store has seen the job."""

MOST_TRIES = 3
"""Conflicting reservations after which a job is refused; each costs two round trips."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens of a job that is being accepted; ``at_ms`` is on the store's clock."""

    job_id: str
    tokens: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class QuotaScope:
    """What one bound covers: the jobs of one tenant on one route."""

    route: str
    tenant: str

    @property
    def key(self) -> RowKey:
        """The row that holds the reservations."""
        name = f"reserved/{self.tenant}" if self.tenant else "reserved"
        return RowKey(RESERVATIONS, self.route, name)


class TokenQuota:
    """Decides whether a submission fits into what its tenant may have waiting on its route."""

    def __init__(
        self,
        rows: RowStore,
        heads: Callable[[], Iterable[JobHead]],
        configuration: Callable[[], Configuration | None],
    ) -> None:
        self._rows = rows
        self._heads = heads
        self._configuration = configuration
        self._pending_by_job: dict[str, tuple[QuotaScope, int]] = {}

    async def reserve(self, route: Route, submission: JobSubmission, now_ms: int) -> bool:
        """Make room for a job; returns whether it fits. Raises ``StoreError`` where unsure.

        ``release`` must follow once the submission has ended.
        """
        bound = route.max_waiting_tokens
        if not bound:
            return True
        scope = QuotaScope(route.name, submission.tenant)
        tokens = submission.tokens
        total = sum(self.waiting_by_job(scope).values()) + tokens
        if total > bound:
            return False
        self._pending_by_job[submission.job_id] = (scope, tokens)
        if total <= bound * UNRESERVED_SHARE:
            return True
        return await self._reserve_in_store(
            scope, bound, Reservation(submission.job_id, tokens, now_ms)
        )

    def release(self, job_id: str) -> None:
        """Forget a submission that has ended: its head counts from now on, if there is one."""
        self._pending_by_job.pop(job_id, None)

    def waiting_by_job(self, scope: QuotaScope) -> dict[str, int]:
        """Return the tokens that wait within ``scope``, as far as this daemon knows, by job."""
        waiting = {
            job_id: tokens
            for job_id, (pending_scope, tokens) in self._pending_by_job.items()
            if pending_scope == scope
        }
        for head in self._heads():
            if head.is_open and self._scope_of(head) == scope:
                waiting[head.job_id] = head.waiting_tokens
        return waiting

    def _scope_of(self, head: JobHead) -> QuotaScope | None:
        configuration = self._configuration()
        route = configuration.match(head.host, head.path) if configuration else None
        return None if route is None else QuotaScope(route.name, head.tenant)

    async def _reserve_in_store(self, scope: QuotaScope, bound: int, own: Reservation) -> bool:
        for _ in range(MOST_TRIES):
            others, version = await self._read(scope)
            fresh = [r for r in others if own.at_ms - r.at_ms < RESERVED_S * 1000]
            seen = {head.job_id for head in self._heads()}
            unseen_by_job = {r.job_id: r.tokens for r in fresh if r.job_id not in seen}
            waiting_by_job = unseen_by_job | self.waiting_by_job(scope)
            waiting_by_job[own.job_id] = own.tokens
            if sum(waiting_by_job.values()) > bound:
                return False
            try:
                await self._write(scope, [*fresh, own], version)
                return True
            except Conflict:
                continue
        return False

    async def _read(self, scope: QuotaScope) -> tuple[list[Reservation], int]:
        key = scope.key
        page = await self._rows.read(key.table, key.part, key.key, key.key + "\x00", 1)
        if not page.rows or page.rows[0].value is None:
            return [], ABSENT
        row = page.rows[0]
        assert row.value is not None
        return [Reservation(*fields) for fields in orjson.loads(row.value)], row.version

    async def _write(self, scope: QuotaScope, reserved: list[Reservation], version: int) -> None:
        value = orjson.dumps([[r.job_id, r.tokens, r.at_ms] for r in reserved])
        await self._rows.commit(
            Transaction(conditions=[(scope.key, version)], puts=[(scope.key, value)])
        )
