"""Shares of tenants where a service is short of room, by recorded mixes of requests.

The load: one tenant that sends many times its usual into a rise in which all slots are taken.
"""

from __future__ import annotations

import asyncio
import random

from testtools import TestCase

from mountstand.serving.fair_shares import FREE_REQUESTS, KEPT_S, WINDOW_S, FairShares
from mountstand.serving.online_queue import start_deadlines
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import Call
from tests.serving.test_routing import worker_record
from tests.stand_ins.harness import HOST, Fleet
from tests.stand_ins.paused_clock import run_paused
from tests.stand_ins.store import settle

SLOT_S = 0.7


class Shares(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.shares = FairShares()
        self.now_s = 100.0

    def send(self, counts: dict[str, int], weight: float | None = 10.0, seconds: float = 5) -> None:
        """Begin requests of tenants, spread evenly over some seconds."""
        for step in range(50):
            self.now_s += seconds / 50
            for tenant, count in counts.items():
                for _ in range((step + 1) * count // 50 - step * count // 50):
                    self.shares.note_begun(tenant, weight, SLOT_S, self.now_s)

    def over(self) -> set[str]:
        self.now_s += KEPT_S
        return set(self.shares.over(self.now_s))

    def test_nobody_is_over_where_all_ask_alike(self) -> None:
        self.send({f"t{n}": 30 for n in range(8)})
        self.assertEqual(set(), self.over())

    def test_a_tenant_that_sends_many_times_its_usual_is_over(self) -> None:
        self.send({**{f"t{n}": 30 for n in range(8)}, "hot": 130})
        self.assertEqual({"hot"}, self.over())

    def test_usual_variation_puts_nobody_over(self) -> None:
        rng = random.Random(5)
        self.send({f"t{n}": round(rng.gauss(40, 40**0.5)) for n in range(20)})
        self.assertEqual(set(), self.over())

    def test_a_large_tenant_within_its_weight_is_not_over(self) -> None:
        self.send({"large": 100}, weight=100.0)
        self.send({f"t{n}": 10 for n in range(4)}, weight=10.0, seconds=0.1)
        self.assertEqual(set(), self.over())

    def test_tenants_without_a_weight_count_as_the_others_do_on_average(self) -> None:
        self.send({f"t{n}": 30 for n in range(4)})
        self.send({"free": 30}, weight=None, seconds=0.1)
        self.assertEqual(set(), self.over())
        self.send({"free": 100}, weight=None, seconds=0.1)
        self.assertEqual({"free"}, self.over())

    def test_a_few_requests_put_no_small_tenant_over(self) -> None:
        self.send({f"t{n}": 100 for n in range(4)}, weight=100.0)
        self.send({"small": FREE_REQUESTS}, weight=0.1, seconds=0.1)
        self.assertEqual(set(), self.over())

    def test_it_is_over_no_more_soon_after_it_is_back_at_its_usual(self) -> None:
        self.send({**{f"t{n}": 30 for n in range(8)}, "hot": 130})
        self.send({**{f"t{n}": 30 for n in range(8)}, "hot": 30}, seconds=WINDOW_S)
        self.assertEqual(set(), self.over())

    def test_what_is_kept_is_bounded_by_who_asked_lately(self) -> None:
        for n in range(1400):
            self.shares.note_begun(f"t{n}", 1.0, SLOT_S, self.now_s)
        self.now_s += 2 * WINDOW_S
        self.assertEqual(set(), self.over())
        self.assertEqual({}, self.shares._by_tenant)


class Order(TestCase):
    """Requests that wait for a worker of four slots."""

    def test_those_within_their_share_go_first_then_the_others(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            fleet.directory.put(worker_record(0, slots=4), 0.0)
            worker = fleet.directory.workers["w0"]
            loop = asyncio.get_running_loop()
            for _ in range(40):
                fleet.queue._shares("llm").note_begun("hot", 1.0, SLOT_S, loop.time())
            for n in range(4):
                fleet.queue._shares("llm").note_begun(f"t{n}", 1.0, SLOT_S, loop.time())
            worker.in_flight = 4
            started: list[str] = []

            async def ask(tenant: str, priority: int = 0) -> None:
                call = Call("r", HOST, "POST", "/x", (), b"", tenant=tenant, tenant_weight=1.0)
                times = start_deadlines(loop.time(), 0.3, 2.0, priority)
                found: Worker | None = await fleet.queue.acquire("llm", EMPTY_PROMPT, times, call)
                assert found is not None
                started.append(tenant)

            tasks = []
            for tenant, priority in (("hot", 0), ("hot", 0), ("t1", 0), ("t2", 1), ("t3", 0)):
                tasks.append(asyncio.create_task(ask(tenant, priority)))
                await asyncio.sleep(0.005)
            for _ in tasks:
                worker.in_flight -= 1
                fleet.queue.assign_freed_slot(worker, loop.time())
                await settle()
            self.assertEqual(["t1", "t3", "hot", "hot", "t2"], started, "priority goes before")

        run_paused(scenario())

    def test_nobody_is_held_back_while_there_is_room(self) -> None:
        async def scenario() -> None:
            fleet = Fleet()
            fleet.directory.put(worker_record(0, slots=4), 0.0)
            loop = asyncio.get_running_loop()
            for _ in range(40):
                fleet.queue._shares("llm").note_begun("hot", 1.0, SLOT_S, loop.time())
            call = Call("r", HOST, "POST", "/x", (), b"", tenant="hot", tenant_weight=1.0)
            before_s = loop.time()
            times = start_deadlines(before_s, 0.3, 2.0)
            self.assertIsNotNone(await fleet.queue.acquire("llm", EMPTY_PROMPT, times, call))
            self.assertEqual(before_s, loop.time())

        run_paused(scenario())
