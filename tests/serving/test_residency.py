"""Tests of data residency: restricted requests, jobs and callers stay in their regions."""

from __future__ import annotations

import asyncio
import random

import orjson
from testtools import TestCase

from mountstand.jobs.owners import OwnershipRules
from mountstand.membership.caller_addresses import in_regions
from mountstand.membership.registry import DaemonRow
from mountstand.platform.operator_rows import decode_configuration
from mountstand.serving.batch_room import BatchScheduler, Urgency
from mountstand.serving.online_queue import OnlineQueue, start_deadlines
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.residency import Geography, intersect_regions
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


class RegionRestrictions(TestCase):
    def test_two_restrictions_are_intersected(self) -> None:
        both = frozenset({"north", "south"})
        self.assertIsNone(intersect_regions(None, None))
        self.assertEqual(NORTH, intersect_regions(NORTH, None))
        self.assertEqual(NORTH, intersect_regions(None, NORTH))
        self.assertEqual(SOUTH, intersect_regions(both, SOUTH))
        self.assertEqual(frozenset(), intersect_regions(NORTH, SOUTH), "no region is in both")

    def test_an_unknown_zone_is_in_no_region(self) -> None:
        self.assertFalse(GEOGRAPHY.allows(NORTH, "new"))
        self.assertTrue(GEOGRAPHY.allows(None, "new"))

    def test_allowed_regions_are_read_from_the_configuration(self) -> None:
        route = {"name": "r", "host": "h", "path_prefix": "/r/", "kind": "batch", "service": "llm"}
        restricted = {
            **route,
            "name": "b",
            "path_prefix": "/b/",
            "allowed_regions": ["north", "west"],
        }
        tenants = [
            {"name": "a", "api_keys": ["k"], "allowed_regions": ["west", "south"]},
            {"name": "free", "api_keys": ["l"], "allowed_regions": []},
        ]
        fields = {"version": 1, "routes": [route, restricted], "services": [], "tenants": tenants}
        configuration = decode_configuration(orjson.dumps(fields))
        self.assertEqual({"west"}, configuration.regions_for_job("h", "/b/1", "a"))
        self.assertEqual({"west", "south"}, configuration.regions_for_job("h", "/r/1", "a"))
        self.assertIsNone(configuration.regions_for_job("h", "/r/1", "free"))
        self.assertEqual({"north", "west"}, configuration.regions_for_job("h", "/b/1", ""))
        self.assertEqual(
            frozenset(),
            configuration.regions_for_host("h"),
            "the tenant is unknown and may be restricted",
        )
        unrestricted = decode_configuration(orjson.dumps({**fields, "tenants": []}))
        self.assertEqual({"north", "west"}, unrestricted.regions_for_host("h"))
        self.assertIsNone(unrestricted.regions_for_host("other"))


class RestrictedPools(TestCase):
    """Worker choice, online queueing and batch scheduling in a pool of some regions."""

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

    async def start_acquire(self, pool_name: str) -> asyncio.Task[Worker | None]:
        deadlines = start_deadlines(asyncio.get_running_loop().time(), 0.3, 2.0)
        task = asyncio.create_task(self.queue.acquire(pool_name, EMPTY_PROMPT, deadlines))
        await settle()
        return task

    def test_a_restricted_request_goes_only_to_workers_in_its_regions(self) -> None:
        north = self.directory.pool_name("llm", NORTH)
        for pool_name, zones in ((north, {"n1", "n2"}), (self.south, {"s1"})):
            chosen = [self.directory.choose(pool_name, EMPTY_PROMPT, set(), 0.0) for _ in range(60)]
            self.assertTrue(chosen)
            self.assertTrue({worker.record.zone for worker in chosen if worker} <= zones)
        self.assertEqual("llm", self.directory.pool_name("llm", None))

    def test_an_empty_set_of_regions_has_no_workers(self) -> None:
        async def scenario() -> None:
            task = await self.start_acquire(self.directory.pool_name("llm", frozenset()))
            self.assertIsNone(task.result(), "refused without waiting")

        run_paused(scenario())

    def test_a_pool_follows_new_and_evacuated_workers(self) -> None:
        self.directory.put(record(9, "s1"), 1.0)
        self.assertEqual(2, len(self.directory.active_workers(self.south)))
        self.directory.set_evacuated_zones({"s1"}, 2.0)
        self.assertEqual([], self.directory.active_workers(self.south))

    def test_a_freed_slot_goes_to_a_request_that_may_use_its_region(self) -> None:
        async def scenario() -> None:
            for worker in self.directory.workers.values():
                worker.in_flight = 1
            restricted, unrestricted = (
                await self.start_acquire(self.south),
                await self.start_acquire("llm"),
            )
            loop = asyncio.get_running_loop()
            self.worker("n1-0").in_flight = 0
            self.queue.assign_freed_slot(self.worker("n1-0"), loop.time())
            await settle()
            self.assertEqual(
                (False, "n1-0"), (restricted.done(), unrestricted.result().record.worker_id)
            )
            self.worker("s1-2").in_flight = 0
            self.queue.assign_freed_slot(self.worker("s1-2"), loop.time())
            await settle()
            self.assertEqual("s1-2", restricted.result().record.worker_id)

        run_paused(scenario())

    def test_a_borrowed_slot_goes_to_a_request_that_may_use_its_region(self) -> None:
        async def scenario() -> None:
            for worker in self.directory.workers.values():
                worker.in_flight = 1
            restricted = await self.start_acquire(self.south)
            self.assertFalse(self.queue.assign_borrowed_slot(self.worker("n1-0")))
            self.assertTrue(self.queue.assign_borrowed_slot(self.worker("s1-2")))
            await settle()
            self.assertEqual("s1-2", restricted.result().record.worker_id)

        run_paused(scenario())

    def test_a_restricted_request_stays_in_its_regions_after_its_wait(self) -> None:
        async def scenario() -> None:
            for worker in self.directory.workers.values():
                worker.in_flight = 1
            task = await self.start_acquire(self.south)
            await asyncio.sleep(3.0)
            self.assertEqual("s1-2", task.result().record.worker_id)

        run_paused(scenario())

    def test_batch_items_run_in_the_regions_of_their_job(self) -> None:
        async def scenario() -> None:
            for _ in range(2):
                task = asyncio.create_task(self.batch_scheduler.acquire(self.south, Urgency(100.0)))
                await settle()
                self.batch_scheduler.tick(0.0)
                await settle()
            self.assertEqual(1, self.worker("s1-2").batch_in_flight)
            self.assertFalse(task.done(), "the only slot in the south is taken")
            self.assertEqual(0, self.worker("n1-0").batch_in_flight)

        run_paused(scenario())

    def test_a_waiting_restricted_request_preempts_unrestricted_items(self) -> None:
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
            await self.start_acquire(self.south)
            self.assertEqual(["s1"], [each.worker.record.zone for each in preempted])

        run_paused(scenario())


class CallersAndJobOwners(TestCase):
    def rows(self, *zones: str) -> list[DaemonRow]:
        return [
            DaemonRow(f"d{n}", "t", f"{zone}:{n}", "127.0.0.1", 1, zone)
            for n, zone in enumerate(zones)
        ]

    def test_callers_are_referred_to_their_own_region_or_an_allowed_one(self) -> None:
        rows = self.rows("n1", "s1", "w1")

        def referred_zones(
            zone: str, serving: list[DaemonRow], alive: list[DaemonRow] = rows
        ) -> set[str]:
            return {row.zone for row in in_regions(NORTH, zone, serving, alive, GEOGRAPHY)}

        self.assertEqual({"s1"}, referred_zones("s1", rows))
        self.assertEqual(
            {"s1"},
            referred_zones("s1", rows[:1]),
            "a non-serving daemon in the caller's region is preferred",
        )
        others = self.rows("n1", "w1")
        self.assertEqual({"n1"}, referred_zones("s1", others, others))
        west = self.rows("w1")
        self.assertEqual(
            {"w1"},
            referred_zones("s1", west, west),
            "no allowed region has a daemon; this one can refuse the request",
        )

    def test_jobs_are_adopted_only_in_their_regions(self) -> None:
        zone_by_name = {"a": "n1", "b": "n2", "c": "s1"}

        def owners(name: str) -> OwnershipRules:
            return OwnershipRules(
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
        self.assertEqual(
            0, owners("c").rank("job"), "without restriction, a serving daemon ranks first"
        )
