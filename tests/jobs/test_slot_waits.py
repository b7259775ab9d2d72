"""Items that wait for a slot, while routes, workers and the age of their job change."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from mountstand.jobs import slot_waits
from mountstand.serving.configuration import Route, ServiceShare
from tests.jobs.test_jobs import BATCH, Daemon, JobTestCase, submission
from tests.stand_ins.harness import configuration, eventually
from tests.stand_ins.worker import stream

MOVED = replace(BATCH, shares=(ServiceShare("other", 1.0),))
SPLIT = replace(BATCH, shares=(ServiceShare("llm", 1.0), ServiceShare("other", 1.0)))
SLOTS = 8
SOON_S = 4 * slot_waits.RECHECK_INTERVAL_S


class SlotWaits(JobTestCase):
    """Two workers without a free slot: w0 of the service ``llm``, w1 of ``other``."""

    def fill(self, worker_id: str) -> None:
        self.fleet.directory.workers[worker_id].in_flight += SLOTS

    def free(self, worker_id: str) -> None:
        self.fleet.directory.workers[worker_id].in_flight -= SLOTS

    def remove_worker(self, worker_id: str) -> None:
        self.fleet.directory.remove(worker_id, 2, asyncio.get_running_loop().time())

    def received(self) -> list[int]:
        return [len(worker.received) for worker in self.fleet.workers]

    async def daemon_with_waiting_items(self, route: Route = BATCH, items: int = 4) -> Daemon:
        other = replace(self.fleet.directory.workers["w1"].record, service="other")
        self.fleet.directory.put(other, asyncio.get_running_loop().time())
        self.fill("w0")
        self.fill("w1")
        daemon = self.daemon()
        daemon.configuration = configuration(route)
        daemon.route = route
        await daemon.submit(submission(items=items))
        await eventually(lambda: self.waiting_items() == items, "all items wait for a slot")
        return daemon

    def waiting_items(self) -> int:
        waiting = self.fleet.batch_scheduler._waiting_items_by_pool.values()
        return sum(not item.assignment.done() for items in waiting for item in items)

    async def completed(self, daemon: Daemon, items: int = 4) -> None:
        found = await asyncio.wait_for(daemon.wait_for_results(items), SOON_S)
        self.assert_all_completed(found, items)

    def test_items_follow_their_route_to_another_service(self) -> None:
        """Guards against accepted items that wait for a service whose workers have all left."""

        async def work() -> None:
            daemon = await self.daemon_with_waiting_items()
            daemon.configuration = configuration(MOVED, version=2)
            self.remove_worker("w0")
            self.free("w1")
            await self.completed(daemon)
            self.assertEqual([0, 4], self.received())
            (line,) = self.fleet.log.lines("slot_waits_ended")
            self.assertEqual({"route or tenant changed": 4}, line["causes"])

        self.run_scenario(work, (stream(4),), (stream(4),), slots=SLOTS)

    def test_items_go_to_a_service_of_their_split_that_has_workers(self) -> None:
        """Guards against items that wait for the one part of a split that has lost its workers."""

        async def work() -> None:
            daemon = await self.daemon_with_waiting_items(SPLIT)
            self.remove_worker("w0")
            self.free("w1")
            await self.completed(daemon)
            self.assertEqual([0, 4], self.received())

        self.run_scenario(work, (stream(4),), (stream(4),), slots=SLOTS)

    def test_items_of_a_removed_route_are_given_up(self) -> None:
        """Guards against items without a route that are never listed."""

        async def work() -> None:
            daemon = await self.daemon_with_waiting_items()
            daemon.configuration = configuration(version=2)
            found = await asyncio.wait_for(daemon.wait_for_results(4), SOON_S)
            self.assertEqual({"failed"}, {state for _, state, _ in found})

        self.run_scenario(work, (stream(4),), (stream(4),), slots=SLOTS)

    def test_items_are_given_up_as_their_retention_ends(self) -> None:
        """Guards against items that wait for a slot beyond the age at which they are given up."""

        async def work() -> None:
            daemon = await self.daemon_with_waiting_items(replace(BATCH, retention_s=0.5))
            assert daemon.now_ms is not None
            daemon.now_ms += 600
            found = await asyncio.wait_for(daemon.wait_for_results(4), SOON_S)
            self.assertEqual({"failed"}, {state for _, state, _ in found})

        self.run_scenario(work, (stream(4),), (stream(4),), slots=SLOTS)

    def test_item_with_a_slot_is_not_sent_to_a_service_its_route_has_left(self) -> None:
        """Guards against a slot that comes between a change of the route and the next recheck."""

        async def work() -> None:
            daemon = await self.daemon_with_waiting_items()
            daemon.configuration = configuration(MOVED, version=2)
            self.free("w0")
            self.free("w1")
            await self.completed(daemon)
            self.assertEqual([0, 4], self.received())

        self.run_scenario(work, (stream(4),), (stream(4),), slots=SLOTS)

    def test_items_take_the_priority_of_a_changed_route(self) -> None:
        """Guards against items that wait behind others by a priority that is no longer theirs."""

        async def work() -> None:
            daemon = await self.daemon_with_waiting_items(replace(BATCH, priority=2))
            daemon.configuration = configuration(BATCH, version=2)
            waiting = self.fleet.batch_scheduler._waiting_items_by_pool["llm"]
            await eventually(
                lambda: len(waiting) == 4 and {item.urgency.priority for item in waiting} == {0},
                "the items wait by the new priority",
                SOON_S,
            )

        self.run_scenario(work, (stream(4),), (stream(4),), slots=SLOTS)

    def test_waits_that_nothing_concerns_go_on(self) -> None:
        """Guards against items that give up their place at each change of the configuration."""

        async def work() -> None:
            daemon = await self.daemon_with_waiting_items(SPLIT)
            waits = [*self.fleet.batch_scheduler._waiting_items_by_pool["llm"]]
            daemon.configuration = configuration(SPLIT, version=2)
            daemon.jobs._runners["job1"]._slot_waits.recheck()
            # No part of the split has workers, so that no other one is better.
            self.remove_worker("w0")
            self.remove_worker("w1")
            daemon.jobs._runners["job1"]._slot_waits.recheck()
            await asyncio.sleep(0.3)
            self.assertEqual(waits, self.fleet.batch_scheduler._waiting_items_by_pool["llm"])
            self.assertEqual([], self.fleet.log.lines("slot_waits_ended"))

        self.run_scenario(work, (stream(4),), (stream(4),), slots=SLOTS)
