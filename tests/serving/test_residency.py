"""Requests that may be served in some regions alone: which workers, daemons and owners see them."""

from __future__ import annotations

import asyncio
import random

import orjson
from testtools import TestCase

from mountstand.jobs.owners import Owners
from mountstand.membership.caller_addresses import in_regions
from mountstand.membership.registry import DaemonRow
from mountstand.platform.operator_rows import decode_configuration
from mountstand.serving.batch_room import BatchScheduler, Urgency
from mountstand.serving.online_queue import OnlineQueue, start_deadlines
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.residency import Geography, in_both
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.workers import WorkerDirectory
from tests.stand_ins.paused_clock import run_paused
from tests.stand_ins.store import settle

GEOGRAPHY = Geography({"n1": "north", "n2": "north", "s1": "south", "w1": "west"})
NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})


def record(number: int, zone: str, slots: int = 1) -> WorkerRecord:
    port = 9000 + number
    return WorkerRecord(f"{zone}-{number}", "llm", "127.0.0.1", port, zone, slots, False, 1)


class Regions(TestCase):
    def test_both_bind_where_both_name_regions(self) -> None:
        both = frozenset({"north", "south"})
        self.assertIsNone(in_both(None, None))
        self.assertEqual(NORTH, in_both(NORTH, None))
        self.assertEqual(NORTH, in_both(None, NORTH))
        self.assertEqual(SOUTH, in_both(both, SOUTH))
        self.assertEqual(frozenset(), in_both(NORTH, SOUTH), "nowhere")

    def test_a_zone_that_is_not_known_lies_in_no_region(self) -> None:
        self.assertFalse(GEOGRAPHY.allows(NORTH, "new"))
        self.assertTrue(GEOGRAPHY.allows(None, "new"))

    def test_the_operators_fields_are_read(self) -> None:
        route = {"name": "r", "host": "h", "path_prefix": "/r/", "kind": "batch", "service": "llm"}
        bound = {**route, "name": "b", "path_prefix": "/b/", "allowed_regions": ["north", "west"]}
        tenants = [
            {"name": "a", "api_keys": ["k"], "allowed_regions": ["west", "south"]},
            {"name": "free", "api_keys": ["l"], "allowed_regions": []},
        ]
        fields = {"version": 1, "routes": [route, bound], "services": [], "tenants": tenants}
        found = decode_configuration(orjson.dumps(fields))
        self.assertEqual({"west"}, found.regions_for_job("h", "/b/1", "a"))
        self.assertEqual({"west", "south"}, found.regions_for_job("h", "/r/1", "a"))
        self.assertIsNone(found.regions_for_job("h", "/r/1", "free"))
        self.assertEqual({"north", "west"}, found.regions_for_job("h", "/b/1", ""))
        self.assertEqual(frozenset(), found.regions_for_host("h"), "who calls is not known")
        free = decode_configuration(orjson.dumps({**fields, "tenants": []}))
        self.assertEqual({"north", "west"}, free.regions_for_host("h"))
        self.assertIsNone(free.regions_for_host("other"))


class Pools(TestCase):
    """Choice, waiting and batch items among the workers of some regions."""

    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("n1", random.Random(3), 1.0, GEOGRAPHY)
        for number, zone in enumerate(("n1", "n2", "s1", "w1")):
            self.directory.put(record(number, zone), 0.0)
        self.queue = OnlineQueue(self.directory, random.Random(2))
        self.batch_scheduler = BatchScheduler(self.directory, self.queue, random.Random(1))
        self.south = self.directory.pool_name("llm", SOUTH)

    def worker(self, worker_id: str) -> Worker:
        return self.directory.workers[worker_id]

    async def ask(self, pool_name: str) -> asyncio.Task[Worker | None]:
        times = start_deadlines(asyncio.get_running_loop().time(), 0.3, 2.0)
        task = asyncio.create_task(self.queue.acquire(pool_name, EMPTY_PROMPT, times))
        await settle()
        return task

    def test_a_bound_request_goes_to_workers_of_its_regions_alone(self) -> None:
        north = self.directory.pool_name("llm", NORTH)
        for pool_name, zones in ((north, {"n1", "n2"}), (self.south, {"s1"})):
            chosen = [self.directory.choose(pool_name, EMPTY_PROMPT, set(), 0.0) for _ in range(60)]
            self.assertTrue(chosen)
            self.assertTrue({worker.record.zone for worker in chosen if worker} <= zones)
        self.assertEqual("llm", self.directory.pool_name("llm", None))

    def test_no_regions_are_no_workers(self) -> None:
        async def scenario() -> None:
            task = await self.ask(self.directory.pool_name("llm", frozenset()))
            self.assertIsNone(task.result(), "refused at once, not waited for")

        run_paused(scenario())

    def test_workers_that_come_later_belong_to_the_pool(self) -> None:
        self.directory.put(record(9, "s1"), 1.0)
        self.assertEqual(2, len(self.directory.active_workers(self.south)))
        self.directory.set_evacuated_zones({"s1"}, 2.0)
        self.assertEqual([], self.directory.active_workers(self.south))

    def test_a_freed_slot_goes_to_a_request_that_may_use_it(self) -> None:
        async def scenario() -> None:
            for worker in self.directory.workers.values():
                worker.in_flight = 1
            bound, free = await self.ask(self.south), await self.ask("llm")
            loop = asyncio.get_running_loop()
            self.worker("n1-0").in_flight = 0
            self.queue.assign_freed_slot(self.worker("n1-0"), loop.time())
            await settle()
            self.assertEqual((False, "n1-0"), (bound.done(), free.result().record.worker_id))
            self.worker("s1-2").in_flight = 0
            self.queue.assign_freed_slot(self.worker("s1-2"), loop.time())
            await settle()
            self.assertEqual("s1-2", bound.result().record.worker_id)

        run_paused(scenario())

    def test_a_lent_slot_is_used_by_a_request_that_may_be_there(self) -> None:
        async def scenario() -> None:
            for worker in self.directory.workers.values():
                worker.in_flight = 1
            bound = await self.ask(self.south)
            self.assertFalse(self.queue.assign_borrowed_slot(self.worker("n1-0")))
            self.assertTrue(self.queue.assign_borrowed_slot(self.worker("s1-2")))
            await settle()
            self.assertEqual("s1-2", bound.result().record.worker_id)

        run_paused(scenario())

    def test_after_its_wait_a_bound_request_still_goes_nowhere_else(self) -> None:
        async def scenario() -> None:
            for worker in self.directory.workers.values():
                worker.in_flight = 1
            task = await self.ask(self.south)
            await asyncio.sleep(3.0)
            self.assertEqual("s1-2", task.result().record.worker_id)

        run_paused(scenario())

    def test_items_run_in_the_regions_of_their_job(self) -> None:
        async def scenario() -> None:
            for _ in range(2):
                task = asyncio.create_task(self.batch_scheduler.acquire(self.south, Urgency(100.0)))
                await settle()
                self.batch_scheduler.tick(0.0)
                await settle()
            self.assertEqual(1, self.worker("s1-2").batch_in_flight)
            self.assertFalse(task.done(), "there is one slot in the south")
            self.assertEqual(0, self.worker("n1-0").batch_in_flight)

        run_paused(scenario())

    def test_items_anywhere_give_way_to_bound_requests_that_wait(self) -> None:
        async def scenario() -> None:
            placements = []
            for _ in range(4):
                task = asyncio.create_task(self.batch_scheduler.acquire("llm", Urgency(100.0)))
                await settle()
                self.batch_scheduler.tick(0.0)
                await settle()
                placements.append(task.result())
            preempted = []
            for placement in placements:
                placement.preempt = lambda each=placement: preempted.append(each)
            await self.ask(self.south)
            self.assertEqual(["s1"], [each.worker.record.zone for each in preempted])

        run_paused(scenario())


class Daemons(TestCase):
    def rows(self, *zones: str) -> list[DaemonRow]:
        return [
            DaemonRow(f"d{n}", "t", f"{zone}:{n}", "127.0.0.1", 1, zone)
            for n, zone in enumerate(zones)
        ]

    def test_callers_are_sent_to_their_own_region_else_to_the_bound_ones(self) -> None:
        rows = self.rows("n1", "s1", "w1")

        def named(zone: str, serving: list[DaemonRow], sound: list[DaemonRow] = rows) -> set[str]:
            return {row.zone for row in in_regions(NORTH, zone, serving, sound, GEOGRAPHY)}

        self.assertEqual({"s1"}, named("s1", rows))
        self.assertEqual({"s1"}, named("s1", rows[:1]), "one that does not serve is near")
        others = self.rows("n1", "w1")
        self.assertEqual({"n1"}, named("s1", others, others))
        west = self.rows("w1")
        self.assertEqual({"w1"}, named("s1", west, west), "it can refuse truly")

    def test_jobs_are_adopted_in_their_regions(self) -> None:
        zone_by_name = {"a": "n1", "b": "n2", "c": "s1"}

        def owners(name: str) -> Owners:
            return Owners(
                name,
                lambda: {each: each for each in zone_by_name},
                name,
                lambda: frozenset({"c"}),
                lambda each, regions: GEOGRAPHY.allows(regions, zone_by_name[each]),
            )

        self.assertEqual(
            [True, True, False], [owners(name).may_own(NORTH) for name in zone_by_name]
        )
        self.assertEqual({0, 1}, {owners(name).rank("job", NORTH) for name in ("a", "b")})
        self.assertEqual(0, owners("c").rank("job"), "a serving daemon goes first elsewhere")
