"""Each tenant's waiting tokens on a route stay within its bound, whichever daemons accept."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from testtools import TestCase

from mountstand.jobs.model import JobHead, JobItem, JobSubmission
from mountstand.jobs.quota import RESERVATION_TTL_S, TokenQuota
from mountstand.serving.configuration import RequestKind
from mountstand.store.memory_rows import MemoryRowStore
from tests.stand_ins.harness import HOST, configuration, route, run

BOUND = 1000
BATCH_ROUTE = route(RequestKind.BATCH, max_waiting_tokens=BOUND)
UNBOUNDED_ROUTE = replace(BATCH_ROUTE, max_waiting_tokens=0)
TOKENS = 100


def submission(job_id: str, tokens: int = TOKENS) -> JobSubmission:
    item = JobItem(f"{job_id}-i", "/batch/1", (), b"", tokens=tokens)
    return JobSubmission(job_id, HOST, "/batch/x", (item,), b"")


def head(job_id: str, tokens: int, **changes: object) -> JobHead:
    default_head = JobHead(job_id, HOST, "/batch/x", 1, 0, "d", "w", waiting_tokens=tokens)
    return replace(default_head, **changes)  # type: ignore[arg-type]


class Daemon:
    """A daemon with its own view of job heads and a store shared with other daemons."""

    def __init__(self, store: MemoryRowStore, *heads: JobHead) -> None:
        self.heads = list(heads)
        self.quota = TokenQuota(store, lambda: self.heads, lambda: configuration(BATCH_ROUTE))

    async def reserve(self, job: JobSubmission, now_ms: int = 0) -> bool:
        return await self.quota.reserve(BATCH_ROUTE, job, now_ms)


class TokenQuotaTests(TestCase):
    CASES = (
        ("no jobs wait", (), True),
        ("the job fits exactly", (head("a", BOUND - TOKENS),), True),
        ("the job exceeds the bound by one token", (head("a", BOUND - TOKENS + 1),), False),
        ("ended jobs do not count", (head("a", BOUND, ended=True),), True),
        ("finished jobs do not count", (head("a", BOUND, listed=1),), True),
        ("jobs of other routes do not count", (head("a", BOUND, path="/other/x"),), True),
    )

    def test_job_is_accepted_if_it_fits(self) -> None:
        for name, heads, expected in self.CASES:
            with self.subTest(name):
                daemon = Daemon(MemoryRowStore(), *heads)
                self.assertIs(expected, run(daemon.reserve(submission("new"))))

    def test_bound_applies_per_tenant(self) -> None:
        full_tenant_head = head("a", BOUND, tenant="first")
        daemon = Daemon(MemoryRowStore(), full_tenant_head)
        first = replace(submission("new"), tenant="first")
        second = replace(submission("other"), tenant="second")
        self.assertFalse(run(daemon.reserve(first)))
        self.assertTrue(run(daemon.reserve(second)))

    def test_tenants_reserve_independently(self) -> None:
        async def scenario() -> list[bool]:
            store = MemoryRowStore()
            accepted = []
            for tenant in ("first", "second"):
                daemon = Daemon(store, head(f"{tenant}-a", 600, tenant=tenant))
                accepted += [
                    await daemon.reserve(replace(submission(f"{tenant}-{n}"), tenant=tenant))
                    for n in range(5)
                ]
            return accepted

        self.assertEqual([True] * 4 + [False] + [True] * 4 + [False], run(scenario()))

    def test_unbounded_route_accepts_every_job(self) -> None:
        daemon = Daemon(MemoryRowStore(), head("a", 10 * BOUND))
        self.assertTrue(run(daemon.quota.reserve(UNBOUNDED_ROUTE, submission("new"), 0)))

    def test_concurrent_daemons_do_not_exceed_the_bound(self) -> None:
        async def scenario() -> int:
            store = MemoryRowStore()
            daemons = [Daemon(store, head("a", 600)) for _ in range(9)]
            accepted = await asyncio.gather(
                *(daemon.reserve(submission(f"j{n}")) for n, daemon in enumerate(daemons))
            )
            return sum(accepted)

        # (BOUND - 600) / TOKENS = 4 jobs fit; write conflicts may refuse some of them.
        self.assertTrue(1 <= run(scenario()) <= 4)

    def test_submissions_in_progress_count_until_released(self) -> None:
        async def scenario() -> None:
            daemon = Daemon(MemoryRowStore())
            for number in range(10):
                self.assertTrue(await daemon.reserve(submission(f"j{number}")))
            self.assertFalse(await daemon.reserve(submission("more")))
            for number in range(10):
                daemon.quota.release(f"j{number}")
            after_ttl_ms = int(RESERVATION_TTL_S * 1000) + 1
            self.assertTrue(await daemon.reserve(submission("more"), after_ttl_ms))

        run(scenario())

    def test_reserved_job_with_visible_head_counts_once(self) -> None:
        async def scenario() -> None:
            daemon = Daemon(MemoryRowStore(), head("a", 700))
            self.assertTrue(await daemon.reserve(submission("b")))
            daemon.quota.release("b")
            daemon.heads.append(head("b", TOKENS))
            self.assertTrue(await daemon.reserve(submission("c")))
            daemon.quota.release("c")
            daemon.heads.append(head("c", TOKENS))
            self.assertTrue(await daemon.reserve(submission("d")))
            self.assertFalse(await daemon.reserve(submission("e")))

        run(scenario())
