"""Slots are asked for, lent, offered and returned, and used without a reply after a timeout."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection

from testtools import TestCase

from mountstand.membership.message_link import MessageLink
from mountstand.serving.batch_room import Placement, Urgency
from mountstand.serving.load_groups import Peer
from mountstand.serving.online_queue import start_deadlines
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.slot_lending import (
    LOAN_EXPIRY_MARGIN_S,
    NO_WORKER_KEY,
    UNMET_ASK_TTL_S,
    SlotLending,
    SlotMessage,
)
from mountstand.serving.slot_shares import partition_slots
from mountstand.serving.worker import Worker
from mountstand.wire.gossip import SlotAsk, SlotGrant
from tests.serving.test_routing import worker_record
from tests.stand_ins.harness import Fleet
from tests.stand_ins.paused_clock import run_paused

SLOTS = 2
DELAY_S = 0.001
TARGET_LATENCY_S = 0.3
START_TIMEOUT_S = 2.0


class DelayedLink(MessageLink):
    """Delivers messages between the daemons of a test, except to unresponsive ones."""

    __slots__ = ("_daemon_by_name", "_own_id", "sent")

    unresponsive: set[str]

    def __init__(self, own_id: str, daemon_by_name: dict[str, Daemon]) -> None:
        self._own_id = own_id
        self._daemon_by_name = daemon_by_name
        self.sent: list[SlotMessage] = []

    def send(self, message: SlotMessage, receivers: Collection[str]) -> None:
        self.sent.append(message)
        loop = asyncio.get_running_loop()
        for receiver in receivers:
            daemon = self._daemon_by_name[receiver]
            if not daemon.unresponsive:
                loop.call_later(DELAY_S, daemon.lending.handle, self._own_id, message)


class Daemon:
    """One of two daemons; each owns the slots of one worker."""

    def __init__(self, name: str, daemon_by_name: dict[str, Daemon]) -> None:
        fleet = Fleet()
        self.directory = fleet.directory
        self.queue = fleet.queue
        self.batch_scheduler = fleet.batch_scheduler
        self.unresponsive = False
        for number in range(2):
            self.directory.put(worker_record(number, slots=SLOTS), 0.0)
        peers = [Peer("a", "zone-a"), Peer("b", "zone-a")]
        slots_by_owner_by_worker = partition_slots(peers, self.directory.active_workers("llm"))
        chooser = self.directory.chooser
        chooser.slot_owners_by_service = {"llm": slots_by_owner_by_worker}
        chooser.own_slots = {
            w: owners[name] for w, owners in slots_by_owner_by_worker.items() if name in owners
        }
        self.link = DelayedLink(name, daemon_by_name)
        self.lending = SlotLending(self.directory, name, self.link, random.Random(5))
        self.lending.may_lend = lambda service: not self.queue.has_waiting_requests(service)
        self.lending.preempt_batch_item = self.batch_scheduler.preempt_batch_item
        self.lending.assign_borrowed_slot = self.queue.assign_borrowed_slot
        self.queue.lending = self.lending
        daemon_by_name[name] = self

    def worker(self, number: int) -> Worker:
        return self.directory.workers[f"w{number}"]

    def use_all_slots(self, number: int) -> None:
        """Make this daemon use all slots of a worker."""
        self.worker(number).in_flight = SLOTS

    async def start_acquire(self) -> asyncio.Task[Worker | None]:
        now_s = asyncio.get_running_loop().time()
        deadlines = start_deadlines(now_s, TARGET_LATENCY_S, START_TIMEOUT_S)
        return asyncio.create_task(self.queue.acquire("llm", EMPTY_PROMPT, deadlines))

    def finish_request(self, number: int) -> None:
        """Complete one of this daemon's requests at a worker."""
        worker = self.worker(number)
        worker.in_flight -= 1
        self.queue.assign_freed_slot(worker, asyncio.get_running_loop().time())


class SlotLendingTest(TestCase):
    """Daemon a owns the slots of worker 0, daemon b those of worker 1."""

    def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            daemon_by_name: dict[str, Daemon] = {}
            self.a = Daemon("a", daemon_by_name)
            self.b = Daemon("b", daemon_by_name)
            self.loop = asyncio.get_running_loop()
            for daemon in (self.a, self.b):
                # With long requests, slots count as scarce as soon as some are taken.
                daemon.directory.chooser.durations.observe("llm", 1.0)
                daemon.directory.chooser.peer_load_age_s = 0.5
            await scenario()

        run_paused(main())

    def report_slots_taken(self, daemon: Daemon, number: int) -> None:
        """Make a daemon see all slots of a worker as used by its peer."""
        daemon.worker(number).peer_online = SLOTS

    def test_own_slot_is_used_without_asking_a_peer(self) -> None:
        async def scenario() -> None:
            task = await self.a.start_acquire()
            await asyncio.sleep(0)
            self.assertIs(self.a.worker(0), task.result())
            self.assertEqual([], self.a.link.sent)

        self.run_scenario(scenario)

    def test_borrowed_slot_counts_as_taken_at_its_owner(self) -> None:
        async def scenario() -> None:
            self.a.use_all_slots(0)
            task = await self.a.start_acquire()
            await asyncio.sleep(0.01)
            self.assertIs(self.a.worker(1), task.result())
            worker = self.b.worker(1)
            self.assertEqual(1, worker.granted_slots(self.loop.time()))
            loan_s = 2 * self.b.directory.chooser.peer_load_age_s + LOAN_EXPIRY_MARGIN_S
            self.assertEqual(0, worker.granted_slots(self.loop.time() + loan_s))

        self.run_scenario(scenario)

    def test_freed_slot_is_granted_to_unmet_ask(self) -> None:
        async def scenario() -> None:
            self.a.use_all_slots(0)
            self.b.use_all_slots(1)
            task = await self.a.start_acquire()
            await asyncio.sleep(0.05)
            self.assertFalse(task.done())
            self.b.finish_request(1)
            await asyncio.sleep(0.01)
            self.assertIs(self.a.worker(1), task.result())

        self.run_scenario(scenario)

    def test_unmet_ask_expires(self) -> None:
        async def scenario() -> None:
            self.a.use_all_slots(0)
            self.b.use_all_slots(1)
            task = await self.a.start_acquire()
            await asyncio.sleep(UNMET_ASK_TTL_S + 0.05)
            sent = len(self.b.link.sent)
            self.b.finish_request(1)
            self.assertEqual(sent, len(self.b.link.sent))
            task.cancel()

        self.run_scenario(scenario)

    def test_owner_uses_freed_slot_before_lending_it(self) -> None:
        async def scenario() -> None:
            self.a.use_all_slots(0)
            self.b.use_all_slots(1)
            acquire_at_b = await self.b.start_acquire()
            acquire_at_a = await self.a.start_acquire()
            await asyncio.sleep(0.05)
            self.b.finish_request(1)
            await asyncio.sleep(0.01)
            self.assertEqual([True, False], [acquire_at_b.done(), acquire_at_a.done()])
            acquire_at_a.cancel()

        self.run_scenario(scenario)

    def test_unused_borrowed_slot_is_returned(self) -> None:
        async def scenario() -> None:
            self.a.use_all_slots(0)
            task = await self.a.start_acquire()
            await asyncio.sleep(0)
            self.a.finish_request(0)
            self.assertIs(self.a.worker(0), await task)
            await asyncio.sleep(0.01)
            self.assertEqual(0, self.b.worker(1).granted_slots(self.loop.time()))

        self.run_scenario(scenario)

    def test_batch_item_is_preempted_for_request_of_peer(self) -> None:
        async def scenario() -> None:
            placements: list[Placement] = []
            for _ in range(SLOTS):
                task = asyncio.create_task(
                    self.b.batch_scheduler.acquire("llm", Urgency(self.loop.time() + 100))
                )
                await asyncio.sleep(0)
                self.b.batch_scheduler._grant_slots("llm", 1, self.loop.time())
                placements.append(await task)
            preempted: list[int] = []
            for number, placement in enumerate(placements):
                placement.preempt = lambda number=number: preempted.append(number)  # type: ignore[misc]
            self.a.use_all_slots(0)
            self.a.worker(1).peer_batch = SLOTS
            task = await self.a.start_acquire()
            await asyncio.sleep(0.01)
            self.assertIs(self.a.worker(1), task.result())
            self.assertEqual(1, len(preempted))

        self.run_scenario(scenario)

    def test_slots_of_unresponsive_peer_are_used_by_load_snapshot(self) -> None:
        async def scenario() -> None:
            self.a.use_all_slots(0)
            self.b.unresponsive = True
            task = await self.a.start_acquire()
            await asyncio.sleep(0.1)
            self.assertIs(self.a.worker(1), task.result())

        self.run_scenario(scenario)

    def test_no_peer_is_asked_while_slots_are_plentiful(self) -> None:
        async def scenario() -> None:
            self.a.directory.chooser.peer_load_age_s = 0.0
            self.a.use_all_slots(0)
            task = await self.a.start_acquire()
            await asyncio.sleep(0)
            self.assertIs(self.a.worker(1), task.result())
            self.assertEqual([], self.a.link.sent)

        self.run_scenario(scenario)

    def test_unknown_grant_is_ignored_and_unknown_ask_refused(self) -> None:
        async def scenario() -> None:
            for message in (SlotGrant(1, 12345), SlotGrant(2, NO_WORKER_KEY), SlotAsk(3, 999)):
                self.a.lending.handle("b", message)
            self.assertEqual([SlotGrant(3, NO_WORKER_KEY)], self.a.link.sent)

        self.run_scenario(scenario)

    def test_request_does_not_wait_longer_than_start_timeout(self) -> None:
        async def scenario() -> None:
            self.a.use_all_slots(0)
            self.a.use_all_slots(1)
            self.b.unresponsive = True
            started_at_s = self.loop.time()
            task = await self.a.start_acquire()
            await task
            self.assertLessEqual(self.loop.time() - started_at_s, START_TIMEOUT_S)

        self.run_scenario(scenario)
