"""Batch items take free slots by urgency and are preempted for online requests."""

from __future__ import annotations

import asyncio
import random

from testtools import TestCase

from mountstand.serving.batch_room import BatchScheduler, Placement, Urgency
from mountstand.serving.online_queue import StartDeadlines
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.slot_demand import WaitingCounts
from mountstand.serving.worker import LoadReport, Worker
from tests.serving.test_routing import worker_record
from tests.stand_ins.harness import Fleet, run
from tests.stand_ins.store import settle

SOON = Urgency(10.0)
LATER = Urgency(20.0)
LATE = Urgency(5.0, remaining_run_s=6.0)
"""Has the earliest deadline, but cannot finish by then."""


class BatchSchedulerTest(TestCase):
    def run_scenario(self, scenario, *, slots: int = 10, seed: int = 1) -> None:  # type: ignore[no-untyped-def]
        async def main() -> None:
            fleet = Fleet()
            fleet.directory.put(worker_record(0, slots=slots), 0.0)
            self.directory = fleet.directory
            self.worker: Worker = fleet.directory.workers["w0"]
            self.queue = fleet.queue
            self.batch_scheduler = BatchScheduler(fleet.directory, fleet.queue, random.Random(seed))
            await scenario()

        run(main())

    async def start_acquires(self, *urgencies: Urgency) -> list[asyncio.Task[Placement]]:
        tasks = [
            asyncio.create_task(self.batch_scheduler.acquire("llm", urgency))
            for urgency in urgencies
        ]
        await settle()
        return tasks

    async def allow_worker_queue(self) -> None:
        """Allow 1.5 requests in the worker's queue: ten slots complete that many within 0.15 s."""
        self.directory.chooser.durations.observe("llm", 1.0)
        self.batch_scheduler.durations.observe("llm", 1.0)
        deadlines = StartDeadlines(
            start_on_time_by_s=1.0, dispatch_by_s=1.0, max_worker_queue_s=0.15
        )
        self.assertIsNotNone(await self.queue.acquire("llm", EMPTY_PROMPT, deadlines))
        self.worker.in_flight -= 1

    async def tick_and_list_granted(self, tasks: list[asyncio.Task[Placement]]) -> list[bool]:
        self.batch_scheduler.tick(0.0)
        await settle()
        return [task.done() for task in tasks]

    def test_preempt_all_preempts_each_item_once(self) -> None:
        async def scenario() -> None:
            preempted: list[int] = []
            tasks = await self.start_acquires(SOON, LATER)
            await self.tick_and_list_granted(tasks)
            for number, task in enumerate(tasks):
                task.result().preempt = lambda number=number: preempted.append(number)
            self.assertEqual(2, self.batch_scheduler.preempt_all(self.worker))
            self.assertEqual({0, 1}, set(preempted))
            self.assertEqual(
                0, self.batch_scheduler.preempt_all(self.worker), "each item is preempted only once"
            )

        self.run_scenario(scenario)

    def test_items_start_by_deadline_and_late_items_last(self) -> None:
        async def scenario() -> None:
            tasks = await self.start_acquires(LATE, LATER, SOON)
            self.assertEqual([False, False, True], await self.tick_and_list_granted(tasks))
            self.batch_scheduler.release(tasks[2].result())
            self.assertEqual([False, True, True], await self.tick_and_list_granted(tasks))

        self.run_scenario(scenario, slots=1)

    def test_priority_goes_before_deadline_among_on_time_items(self) -> None:
        async def scenario() -> None:
            urgent = Urgency(20.0, priority=0)
            tasks = await self.start_acquires(Urgency(10.0, priority=1), LATE, urgent)
            self.assertEqual([False, False, True], await self.tick_and_list_granted(tasks))
            self.batch_scheduler.release(tasks[2].result())
            self.assertEqual([True, False, True], await self.tick_and_list_granted(tasks))

        self.run_scenario(scenario, slots=1)

    def test_slots_of_unavailable_workers_are_not_free(self) -> None:
        async def scenario() -> None:
            for number in (1, 2):
                self.directory.put(worker_record(number, slots=10), 0.0)
            self.directory.workers["w1"].note_connect_failed(0.0)
            self.directory.put(worker_record(2, slots=10, draining=True, version=2), 0.0)
            self.batch_scheduler.demand.peers_by_service["llm"] = WaitingCounts(9)
            tasks = await self.start_acquires(*[SOON] * 9)
            self.assertTrue(4 <= sum(await self.tick_and_list_granted(tasks)) <= 5)

        self.run_scenario(scenario)

    def test_item_that_became_late_while_waiting_goes_last(self) -> None:
        async def scenario() -> None:
            tasks = await self.start_acquires(Urgency(10.0, remaining_run_s=4.0), LATER)
            self.batch_scheduler.tick(7.0)
            await settle()
            self.assertEqual([False, True], [task.done() for task in tasks])

        self.run_scenario(scenario, slots=1)

    def test_late_items_leave_slots_to_on_time_items_of_peers(self) -> None:
        async def scenario() -> None:
            tasks = await self.start_acquires(*[LATE] * 9)
            self.batch_scheduler.demand.peers_by_service["llm"] = WaitingCounts(on_time=6, late=9)
            self.assertTrue(1 <= sum(await self.tick_and_list_granted(tasks)) <= 2)
            self.batch_scheduler.demand.peers_by_service["llm"] = WaitingCounts(on_time=9)
            self.assertEqual(0, sum(task.done() for task in await self.start_acquires(*[LATE] * 9)))

        self.run_scenario(scenario)

    def test_daemon_takes_free_slots_in_proportion_to_its_waiting_items(self) -> None:
        async def scenario() -> None:
            tasks = await self.start_acquires(*[SOON] * 9)
            self.batch_scheduler.demand.peers_by_service["llm"] = WaitingCounts(21)
            self.assertEqual(3, sum(await self.tick_and_list_granted(tasks)))

        self.run_scenario(scenario)

    def test_daemon_takes_all_free_slots_if_no_peer_has_waiting_items(self) -> None:
        async def scenario() -> None:
            tasks = await self.start_acquires(*[SOON] * 12)
            self.assertEqual(10, sum(await self.tick_and_list_granted(tasks)))

        self.run_scenario(scenario)

    def test_fewer_slots_are_taken_per_tick_if_digests_need_more_hops(self) -> None:
        async def scenario() -> None:
            tasks = await self.start_acquires(*[SOON] * 12)
            self.batch_scheduler.tick(0.0, hops=1)
            await settle()
            self.assertEqual(6, sum(task.done() for task in tasks))
            self.batch_scheduler.tick(0.0, hops=4)
            await settle()
            self.assertEqual(7, sum(task.done() for task in tasks))

        self.run_scenario(scenario, slots=9)

    def test_daemons_with_few_items_do_not_each_take_a_slot(self) -> None:
        granted = 0

        async def scenario() -> None:
            nonlocal granted
            tasks = await self.start_acquires(SOON)
            self.batch_scheduler.demand.peers_by_service["llm"] = WaitingCounts(89)
            granted += sum(await self.tick_and_list_granted(tasks))

        for seed in range(90):
            self.run_scenario(scenario, seed=seed)
        self.assertTrue(3 <= granted <= 18, granted)

    def test_no_item_starts_at_nearly_full_worker(self) -> None:
        async def scenario() -> None:
            self.worker.in_flight = 9
            tasks = await self.start_acquires(SOON)
            self.assertEqual([False], await self.tick_and_list_granted(tasks))

        self.run_scenario(scenario)

    def test_least_urgent_item_is_preempted_for_online_request(self) -> None:
        async def scenario() -> None:
            preempted: list[str] = []
            await self.allow_worker_queue()
            tasks = await self.start_acquires(SOON, LATER)
            await self.tick_and_list_granted(tasks)
            for name, task in zip(("soon", "later"), tasks, strict=True):
                task.result().preempt = lambda name=name: preempted.append(name)
            self.worker.note_load(LoadReport(10, 1, 10), 0.0)
            self.batch_scheduler.preempt_for_online(self.worker, 0.0)
            self.assertEqual(
                [], preempted, "an excess within the worker queue limit preempts nothing"
            )
            self.worker.note_load(LoadReport(10, 3, 10), 0.0)
            self.batch_scheduler.preempt_for_online(self.worker, 0.0)
            self.assertEqual(["later"], preempted)

        self.run_scenario(scenario)

    def test_daemon_preempts_its_share_of_the_excess(self) -> None:
        """An excess of 4.5 with 4 of 8 items here: 2.25 items are preempted on average."""
        counts: list[int] = []

        async def scenario() -> None:
            preempted: list[int] = []
            await self.allow_worker_queue()
            tasks = await self.start_acquires(*[SOON] * 4)
            await self.tick_and_list_granted(tasks)
            for task in tasks:
                task.result().preempt = lambda: preempted.append(1)
            self.worker.peer_batch = 4
            self.worker.note_load(LoadReport(10, 6, 10), 0.0)
            self.batch_scheduler.tick(0.0)
            counts.append(len(preempted))

        for seed in range(100):
            self.run_scenario(scenario, seed=seed)
        self.assertEqual({2, 3}, set(counts))
        self.assertTrue(2.1 <= sum(counts) / len(counts) <= 2.4, counts)

    def test_daemons_together_preempt_about_the_excess(self) -> None:
        """An excess of 0.5 with one item at each of four daemons: 0.125 items per daemon."""
        preempted: list[int] = []

        async def scenario() -> None:
            await self.allow_worker_queue()
            tasks = await self.start_acquires(SOON)
            await self.tick_and_list_granted(tasks)
            tasks[0].result().preempt = lambda: preempted.append(1)
            self.worker.peer_batch = 3
            self.worker.note_load(LoadReport(10, 2, 10), 0.0)
            self.batch_scheduler.tick(0.0)

        for seed in range(200):
            self.run_scenario(scenario, seed=seed)
        self.assertTrue(10 <= len(preempted) <= 45, len(preempted))

    def test_shortest_remaining_run_goes_first_among_equal_deadlines(self) -> None:
        """Otherwise a preempted item would wait for all other items of its job."""

        async def scenario() -> None:
            tasks = await self.start_acquires(
                Urgency(10.0, 3.0), Urgency(10.0, 3.0), Urgency(10.0, 1.0)
            )
            self.assertEqual([False, False, True], await self.tick_and_list_granted(tasks))

        self.run_scenario(scenario, slots=1)

    def test_longest_remaining_run_is_preempted_first_among_equal_deadlines(self) -> None:
        async def scenario() -> None:
            preempted: list[str] = []
            now_s = asyncio.get_running_loop().time()
            remaining_runs_s = (1.0, 3.0, 2.0)
            tasks = await self.start_acquires(
                *[Urgency(now_s + 100, remaining_run_s) for remaining_run_s in remaining_runs_s]
            )
            self.batch_scheduler.tick(now_s)
            await settle()
            for name, task in zip(("short", "long", "middle"), tasks, strict=True):
                task.result().preempt = lambda name=name: preempted.append(name)
            for _ in tasks:
                self.batch_scheduler.preempt_batch_item("llm")
            self.assertEqual(["long", "middle", "short"], preempted)

        self.run_scenario(scenario)

    def test_cancelled_acquire_takes_no_slot(self) -> None:
        async def scenario() -> None:
            tasks = await self.start_acquires(SOON)
            self.batch_scheduler.tick(0.0)
            tasks[0].cancel()
            await settle()
            self.assertEqual(0, self.worker.in_flight)

        self.run_scenario(scenario)
