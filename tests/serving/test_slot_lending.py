"""Slots of other daemons: asked for, lent, offered, given back, used where nobody answers."""

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
    HELD_S,
    NO_WORKER,
    OFFER_S,
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
OBJECTIVE_S = 0.3
PATIENCE_S = 2.0


class Net(MessageLink):
    """Carries messages between the daemons of a test; those in ``silent`` say nothing."""

    __slots__ = ("_by_name", "_own", "sent")

    silent: set[str]

    def __init__(self, own: str, by_name: dict[str, Daemon]) -> None:
        self._own = own
        self._by_name = by_name
        self.sent: list[SlotMessage] = []

    def send(self, message: SlotMessage, receivers: Collection[str]) -> None:
        self.sent.append(message)
        loop = asyncio.get_running_loop()
        for receiver in receivers:
            daemon = self._by_name[receiver]
            if not daemon.silent:
                loop.call_later(DELAY_S, daemon.lending.handle, self._own, message)


class Daemon:
    """One of two daemons, each with one worker of its own."""

    def __init__(self, name: str, by_name: dict[str, Daemon]) -> None:
        fleet = Fleet()
        self.directory = fleet.directory
        self.queue = fleet.queue
        self.batch_scheduler = fleet.batch_scheduler
        self.silent = False
        for number in range(2):
            self.directory.put(worker_record(number, slots=SLOTS), 0.0)
        peers = [Peer("a", "zone-a"), Peer("b", "zone-a")]
        dealt = partition_slots(peers, self.directory.active_workers("llm"))
        chooser = self.directory.chooser
        chooser.slot_owners_by_service = {"llm": dealt}
        chooser.own_slots = {w: owners[name] for w, owners in dealt.items() if name in owners}
        self.net = Net(name, by_name)
        self.lending = SlotLending(self.directory, name, self.net, random.Random(5))
        self.lending.may_lend = lambda service: not self.queue.has_waiting_requests(service)
        self.lending.preempt_batch_item = self.batch_scheduler.preempt_batch_item
        self.lending.assign_borrowed_slot = self.queue.assign_borrowed_slot
        self.queue.lending = self.lending
        by_name[name] = self

    def worker(self, number: int) -> Worker:
        return self.directory.workers[f"w{number}"]

    def fill(self, number: int) -> None:
        """Let this daemon have all slots of a worker in use."""
        self.worker(number).in_flight = SLOTS

    async def ask(self) -> asyncio.Task[Worker | None]:
        now_s = asyncio.get_running_loop().time()
        times = start_deadlines(now_s, OBJECTIVE_S, PATIENCE_S)
        return asyncio.create_task(self.queue.acquire("llm", EMPTY_PROMPT, times))

    def end_one(self, number: int) -> None:
        """End a request of this daemon at a worker."""
        worker = self.worker(number)
        worker.in_flight -= 1
        self.queue.assign_freed_slot(worker, asyncio.get_running_loop().time())


class Lending(TestCase):
    """Worker 0 is dealt to daemon a, worker 1 to daemon b."""

    def scenario(self, work: Callable[[], Awaitable[None]]) -> None:
        async def whole() -> None:
            by_name: dict[str, Daemon] = {}
            self.a = Daemon("a", by_name)
            self.b = Daemon("b", by_name)
            self.loop = asyncio.get_running_loop()
            for daemon in (self.a, self.b):
                # Requests take long, so that slots are tight as soon as some are taken.
                daemon.directory.chooser.durations.observe("llm", 1.0)
                daemon.directory.chooser.peer_load_age_s = 0.5
            await work()

        run_paused(whole())

    def note_taken(self, daemon: Daemon, number: int) -> None:
        """Let a daemon's digests say that the other one has all slots of a worker in use."""
        daemon.worker(number).peer_online = SLOTS

    def test_an_own_slot_is_taken_without_a_question(self) -> None:
        async def work() -> None:
            task = await self.a.ask()
            await asyncio.sleep(0)
            self.assertIs(self.a.worker(0), task.result())
            self.assertEqual([], self.a.net.sent)

        self.scenario(work)

    def test_a_slot_is_borrowed_and_counts_as_taken_at_its_owner(self) -> None:
        async def work() -> None:
            self.a.fill(0)
            task = await self.a.ask()
            await asyncio.sleep(0.01)
            self.assertIs(self.a.worker(1), task.result())
            granted_slots = self.b.worker(1)
            self.assertEqual(1, granted_slots.granted_slots(self.loop.time()))
            held_s = 2 * self.b.directory.chooser.peer_load_age_s + HELD_S
            self.assertEqual(0, granted_slots.granted_slots(self.loop.time() + held_s))

        self.scenario(work)

    def test_a_slot_that_frees_soon_goes_to_the_daemon_that_asked_in_vain(self) -> None:
        async def work() -> None:
            self.a.fill(0)
            self.b.fill(1)
            task = await self.a.ask()
            await asyncio.sleep(0.05)
            self.assertFalse(task.done())
            self.b.end_one(1)
            await asyncio.sleep(0.01)
            self.assertIs(self.a.worker(1), task.result())

        self.scenario(work)

    def test_a_question_is_forgotten(self) -> None:
        async def work() -> None:
            self.a.fill(0)
            self.b.fill(1)
            task = await self.a.ask()
            await asyncio.sleep(OFFER_S + 0.05)
            sent = len(self.b.net.sent)
            self.b.end_one(1)
            self.assertEqual(sent, len(self.b.net.sent))
            task.cancel()

        self.scenario(work)

    def test_an_owner_needs_its_slots_itself(self) -> None:
        async def work() -> None:
            self.a.fill(0)
            self.b.fill(1)
            waiting_at_b = await self.b.ask()
            waiting_at_a = await self.a.ask()
            await asyncio.sleep(0.05)
            self.b.end_one(1)
            await asyncio.sleep(0.01)
            self.assertEqual([True, False], [waiting_at_b.done(), waiting_at_a.done()])
            waiting_at_a.cancel()

        self.scenario(work)

    def test_a_lent_slot_that_nobody_needs_goes_back_and_on(self) -> None:
        async def work() -> None:
            self.a.fill(0)
            task = await self.a.ask()
            await asyncio.sleep(0)
            self.a.end_one(0)
            self.assertIs(self.a.worker(0), await task)
            await asyncio.sleep(0.01)
            self.assertEqual(0, self.b.worker(1).granted_slots(self.loop.time()))

        self.scenario(work)

    def test_batch_items_give_way_to_another_daemons_request(self) -> None:
        async def work() -> None:
            placements: list[Placement] = []
            for _ in range(SLOTS):
                waiting = asyncio.create_task(
                    self.b.batch_scheduler.acquire("llm", Urgency(self.loop.time() + 100))
                )
                await asyncio.sleep(0)
                self.b.batch_scheduler._grant("llm", 1, self.loop.time())
                placements.append(await waiting)
            preempted: list[int] = []
            for number, placement in enumerate(placements):
                placement.preempt = lambda number=number: preempted.append(number)  # type: ignore[misc]
            self.a.fill(0)
            self.a.worker(1).peer_batch = SLOTS
            task = await self.a.ask()
            await asyncio.sleep(0.01)
            self.assertIs(self.a.worker(1), task.result())
            self.assertEqual(1, len(preempted))

        self.scenario(work)

    def test_slots_of_a_daemon_that_says_nothing_are_used_by_the_picture(self) -> None:
        async def work() -> None:
            self.a.fill(0)
            self.b.silent = True
            task = await self.a.ask()
            await asyncio.sleep(0.1)
            self.assertIs(self.a.worker(1), task.result())

        self.scenario(work)

    def test_nobody_is_asked_while_the_picture_shows_plenty(self) -> None:
        async def work() -> None:
            self.a.directory.chooser.peer_load_age_s = 0.0
            self.a.fill(0)
            task = await self.a.ask()
            await asyncio.sleep(0)
            self.assertIs(self.a.worker(1), task.result())
            self.assertEqual([], self.a.net.sent)

        self.scenario(work)

    def test_strange_answers_change_nothing(self) -> None:
        async def work() -> None:
            for message in (SlotGrant(1, 12345), SlotGrant(2, NO_WORKER), SlotAsk(3, 999)):
                self.a.lending.handle("b", message)
            self.assertEqual([SlotGrant(3, NO_WORKER)], self.a.net.sent)

        self.scenario(work)

    def test_nobody_waits_longer_than_its_patience_allows(self) -> None:
        async def work() -> None:
            self.a.fill(0)
            self.a.fill(1)
            self.b.silent = True
            began_s = self.loop.time()
            task = await self.a.ask()
            await task
            self.assertLessEqual(self.loop.time() - began_s, PATIENCE_S)

        self.scenario(work)
