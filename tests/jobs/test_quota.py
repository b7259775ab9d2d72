"""The tokens that wait on a route stay within its bound, whoever accepts the jobs."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from testtools import TestCase

from mountstand.jobs.model import JobHead, JobItem, JobSubmission
from mountstand.jobs.quota import RESERVED_S, TokenQuota
from mountstand.serving.configuration import RequestKind
from mountstand.store.memory_rows import MemoryRowStore
from tests.stand_ins.harness import HOST, configuration, route, run

BOUND = 1000
BATCH = route(RequestKind.BATCH, max_waiting_tokens=BOUND)
UNBOUNDED = replace(BATCH, max_waiting_tokens=0)
TOKENS = 100


def submission(job_id: str, tokens: int = TOKENS) -> JobSubmission:
    item = JobItem(f"{job_id}-i", "/batch/1", (), b"", tokens=tokens)
    return JobSubmission(job_id, HOST, "/batch/x", (item,), b"")


def head(job_id: str, tokens: int, **changes: object) -> JobHead:
    whole = JobHead(job_id, HOST, "/batch/x", 1, 0, "d", "w", waiting_tokens=tokens)
    return replace(whole, **changes)  # type: ignore[arg-type]


class Daemon:
    """A daemon's view of the jobs, before a shared store."""

    def __init__(self, store: MemoryRowStore, *heads: JobHead) -> None:
        self.heads = list(heads)
        self.quota = TokenQuota(store, lambda: self.heads, lambda: configuration(BATCH))

    async def reserve(self, job: JobSubmission, now_ms: int = 0) -> bool:
        return await self.quota.reserve(BATCH, job, now_ms)


class Quota(TestCase):
    CASES = (
        ("nothing waits", (), True),
        ("it fits just so", (head("a", BOUND - TOKENS),), True),
        ("too much waits", (head("a", BOUND - TOKENS + 1),), False),
        ("ended jobs do not count", (head("a", BOUND, ended=True),), True),
        ("finished jobs do not count", (head("a", BOUND, listed=1),), True),
        ("jobs of other routes do not count", (head("a", BOUND, path="/other/x"),), True),
    )

    def test_a_job_is_taken_if_it_fits(self) -> None:
        for name, heads, expected in self.CASES:
            with self.subTest(name):
                daemon = Daemon(MemoryRowStore(), *heads)
                self.assertIs(expected, run(daemon.reserve(submission("new"))))

    def test_each_tenant_has_the_bound_for_itself(self) -> None:
        full = head("a", BOUND, tenant="first")
        daemon = Daemon(MemoryRowStore(), full)
        first = replace(submission("new"), tenant="first")
        second = replace(submission("other"), tenant="second")
        self.assertFalse(run(daemon.reserve(first)))
        self.assertTrue(run(daemon.reserve(second)))

    def test_tenants_reserve_apart(self) -> None:
        async def scenario() -> list[bool]:
            store = MemoryRowStore()
            taken = []
            for tenant in ("first", "second"):
                daemon = Daemon(store, head(f"{tenant}-a", 600, tenant=tenant))
                taken += [
                    await daemon.reserve(replace(submission(f"{tenant}-{n}"), tenant=tenant))
                    for n in range(5)
                ]
            return taken

        self.assertEqual([True] * 4 + [False] + [True] * 4 + [False], run(scenario()))

    def test_without_a_bound_everything_fits(self) -> None:
        daemon = Daemon(MemoryRowStore(), head("a", 10 * BOUND))
        self.assertTrue(run(daemon.quota.reserve(UNBOUNDED, submission("new"), 0)))

    def test_daemons_that_do_not_see_each_other_do_not_give_the_same_room_away(self) -> None:
        async def scenario() -> int:
            store = MemoryRowStore()
            daemons = [Daemon(store, head("a", 600)) for _ in range(9)]
            taken = await asyncio.gather(
                *(daemon.reserve(submission(f"j{n}")) for n, daemon in enumerate(daemons))
            )
            return sum(taken)

        self.assertTrue(1 <= run(scenario()) <= 4)

    def test_submissions_in_progress_count_until_they_end(self) -> None:
        async def scenario() -> None:
            daemon = Daemon(MemoryRowStore())
            for number in range(10):
                self.assertTrue(await daemon.reserve(submission(f"j{number}")))
            self.assertFalse(await daemon.reserve(submission("more")))
            for number in range(10):
                daemon.quota.release(f"j{number}")
            later_ms = int(RESERVED_S * 1000) + 1
            self.assertTrue(await daemon.reserve(submission("more"), later_ms))

        run(scenario())

    def test_a_job_that_is_seen_counts_once(self) -> None:
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
