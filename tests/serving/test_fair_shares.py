"""A tenant's burst does not delay tenants within their fair share under a shortage of slots."""

from __future__ import annotations

import asyncio
import random

from testtools import TestCase

from mountstand.serving.fair_shares import (
    EXEMPT_REQUESTS,
    RECOMPUTE_INTERVAL_S,
    USAGE_WINDOW_S,
    FairShares,
)
from mountstand.serving.online_queue import start_deadlines
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import Call
from tests.serving.test_routing import worker_record
from tests.stand_ins.harness import HOST, Fleet
from tests.stand_ins.paused_clock import run_paused
from tests.stand_ins.store import settle

SLOT_TIME_S = 0.7


class FairSharesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.shares = FairShares()
        self.now_s = 100.0

    def send(self, counts: dict[str, int], weight: float | None = 10.0, seconds: float = 5) -> None:
        """Record requests of tenants, spread evenly over ``seconds``."""
        for step in range(50):
            self.now_s += seconds / 50
            for tenant, count in counts.items():
                for _ in range((step + 1) * count // 50 - step * count // 50):
                    self.shares.record_start(tenant, weight, SLOT_TIME_S, self.now_s)

    def tenants_over_share(self) -> set[str]:
        self.now_s += RECOMPUTE_INTERVAL_S
        return set(self.shares.tenants_over_share(self.now_s))

    def test_no_tenant_is_over_share_if_all_send_alike(self) -> None:
        self.send({f"t{n}": 30 for n in range(8)})
        self.assertEqual(set(), self.tenants_over_share())

    def test_tenant_with_burst_is_over_share(self) -> None:
        self.send({**{f"t{n}": 30 for n in range(8)}, "hot": 130})
        self.assertEqual({"hot"}, self.tenants_over_share())

    def test_random_variation_puts_no_tenant_over_share(self) -> None:
        rng = random.Random(5)
        self.send({f"t{n}": round(rng.gauss(40, 40**0.5)) for n in range(20)})
        self.assertEqual(set(), self.tenants_over_share())

    def test_large_tenant_within_its_weight_is_not_over_share(self) -> None:
        self.send({"large": 100}, weight=100.0)
        self.send({f"t{n}": 10 for n in range(4)}, weight=10.0, seconds=0.1)
        self.assertEqual(set(), self.tenants_over_share())

    def test_tenant_without_weight_gets_average_weight(self) -> None:
        self.send({f"t{n}": 30 for n in range(4)})
        self.send({"free": 30}, weight=None, seconds=0.1)
        self.assertEqual(set(), self.tenants_over_share())
        self.send({"free": 100}, weight=None, seconds=0.1)
        self.assertEqual({"free"}, self.tenants_over_share())

    def test_few_requests_do_not_put_small_tenant_over_share(self) -> None:
        self.send({f"t{n}": 100 for n in range(4)}, weight=100.0)
        self.send({"small": EXEMPT_REQUESTS}, weight=0.1, seconds=0.1)
        self.assertEqual(set(), self.tenants_over_share())

    def test_tenant_is_within_share_one_window_after_its_burst(self) -> None:
        self.send({**{f"t{n}": 30 for n in range(8)}, "hot": 130})
        self.send({**{f"t{n}": 30 for n in range(8)}, "hot": 30}, seconds=USAGE_WINDOW_S)
        self.assertEqual(set(), self.tenants_over_share())

    def test_usage_of_inactive_tenants_is_dropped(self) -> None:
        for n in range(1400):
            self.shares.record_start(f"t{n}", 1.0, SLOT_TIME_S, self.now_s)
        self.now_s += 2 * USAGE_WINDOW_S
        self.assertEqual(set(), self.tenants_over_share())
        self.assertEqual({}, self.shares._usage_by_tenant)


class TenantOrderTest(TestCase):
    """Order of waiting requests at a worker with four slots."""

    def test_tenants_within_share_go_before_others_of_same_priority(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            fleet.directory.put(worker_record(0, slots=4), 0.0)
            worker = fleet.directory.workers["w0"]
            loop = asyncio.get_running_loop()
            for _ in range(40):
                fleet.queue._fair_shares("llm").record_start("hot", 1.0, SLOT_TIME_S, loop.time())
            for n in range(4):
                fleet.queue._fair_shares("llm").record_start(f"t{n}", 1.0, SLOT_TIME_S, loop.time())
            worker.in_flight = 4
            started: list[str] = []

            async def run_request(tenant: str, priority: int = 0) -> None:
                call = Call("r", HOST, "POST", "/x", (), b"", tenant=tenant, tenant_weight=1.0)
                deadlines = start_deadlines(loop.time(), 0.3, 2.0, priority)
                assigned_worker: Worker | None = await fleet.queue.acquire(
                    "llm", EMPTY_PROMPT, deadlines, call
                )
                assert assigned_worker is not None
                started.append(tenant)

            tasks = []
            for tenant, priority in (("hot", 0), ("hot", 0), ("t1", 0), ("t2", 1), ("t3", 0)):
                tasks.append(asyncio.create_task(run_request(tenant, priority)))
                await asyncio.sleep(0.005)
            for _ in tasks:
                worker.in_flight -= 1
                fleet.queue.assign_freed_slot(worker, loop.time())
                await settle()
            self.assertEqual(
                ["t1", "t3", "hot", "hot", "t2"], started, "priority goes before fair shares"
            )

        run_paused(scenario())

    def test_tenant_over_share_does_not_wait_while_slots_are_free(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            fleet.directory.put(worker_record(0, slots=4), 0.0)
            loop = asyncio.get_running_loop()
            for _ in range(40):
                fleet.queue._fair_shares("llm").record_start("hot", 1.0, SLOT_TIME_S, loop.time())
            call = Call("r", HOST, "POST", "/x", (), b"", tenant="hot", tenant_weight=1.0)
            started_at_s = loop.time()
            deadlines = start_deadlines(started_at_s, 0.3, 2.0)
            self.assertIsNotNone(await fleet.queue.acquire("llm", EMPTY_PROMPT, deadlines, call))
            self.assertEqual(started_at_s, loop.time())

        run_paused(scenario())
