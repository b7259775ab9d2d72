"""Batch work takes free slots in order of urgency and gives them back to online work."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from mountstand.serving.batch_room import BatchRoom, Placement, Urgency
from mountstand.serving.workers import LoadReport, Worker
from tests.serving.test_routing import worker_record
from tests.stand_ins.harness import Fleet, run
from tests.stand_ins.store import settle

SOON = Urgency(False, 10.0)
LATER = Urgency(False, 20.0)
LATE = Urgency(True, 5.0)


class Room(TestCase):
    def scenario(self, work, *, slots: int = 10, daemons: int = 1) -> None:  # type: ignore[no-untyped-def]
        async def whole() -> None:
            fleet = Fleet()
            fleet.directory.put(worker_record(0, slots=slots), 0.0)
            self.worker: Worker = fleet.directory.workers["w0"]
            self.room = BatchRoom(fleet.directory, lambda: daemons)
            await work()

        run(whole())

    async def wait(self, *urgencies: Urgency) -> list[asyncio.Task[Placement]]:
        tasks = [asyncio.create_task(self.room.acquire("llm", urgency)) for urgency in urgencies]
        await settle()
        return tasks

    async def granted(self, tasks: list[asyncio.Task[Placement]]) -> list[bool]:
        self.room.tick(0.0)
        await settle()
        return [task.done() for task in tasks]

    def test_late_items_go_last_and_the_earliest_due_first(self) -> None:
        async def work() -> None:
            tasks = await self.wait(LATE, LATER, SOON)
            self.assertEqual([False, False, True], await self.granted(tasks))
            self.room.release(tasks[2].result())
            self.assertEqual([False, True, True], await self.granted(tasks))

        self.scenario(work, slots=2)

    def test_a_daemon_takes_its_share_of_the_free_slots(self) -> None:
        async def work() -> None:
            tasks = await self.wait(*[SOON] * 9)
            self.assertEqual(3, sum(await self.granted(tasks)))

        self.scenario(work, daemons=3)

    def test_nothing_starts_at_a_worker_that_is_nearly_full(self) -> None:
        async def work() -> None:
            self.worker.in_flight = 9
            tasks = await self.wait(SOON)
            self.assertEqual([False], await self.granted(tasks))

        self.scenario(work)

    def test_least_urgent_item_is_taken_off_for_online_work(self) -> None:
        async def work() -> None:
            taken: list[str] = []
            tasks = await self.wait(SOON, LATER)
            await self.granted(tasks)
            for name, task in zip(("soon", "later"), tasks, strict=True):
                task.result().preempt = lambda name=name: taken.append(name)
            self.worker.note_load(LoadReport(10, 1, 10), 0.0)
            self.room.yield_to_online(self.worker, 0.0)
            self.assertEqual([], taken, "a short queue is no reason")
            self.worker.note_load(LoadReport(10, 3, 10), 0.0)
            self.room.yield_to_online(self.worker, 0.0)
            self.assertEqual(["later"], taken)

        self.scenario(work)

    def test_each_daemon_takes_off_its_part_of_the_excess(self) -> None:
        async def work() -> None:
            taken: list[int] = []
            tasks = await self.wait(*[SOON] * 4)
            await self.granted(tasks)
            for task in tasks:
                task.result().preempt = lambda: taken.append(1)
            self.worker.peer_batch = 4
            self.worker.note_load(LoadReport(10, 6, 10), 0.0)
            self.room.tick(0.0)
            self.assertEqual(3, len(taken))

        self.scenario(work)

    def test_cancelled_wait_takes_no_slot(self) -> None:
        async def work() -> None:
            tasks = await self.wait(SOON)
            self.room.tick(0.0)
            tasks[0].cancel()
            await settle()
            self.assertEqual(0, self.worker.in_flight)

        self.scenario(work)
