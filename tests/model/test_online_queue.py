"""The queue of online requests under any order of arrivals, ends, departures and word of peers."""

from __future__ import annotations

import asyncio

import hypothesis.strategies as st
from hypothesis import given, settings
from testtools import TestCase

from mountstand.serving.online_queue import start_deadlines
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.slot_demand import WaitingCounts
from mountstand.serving.worker import LoadReport, Worker
from tests.serving.test_routing import worker_record
from tests.stand_ins.harness import Fleet
from tests.stand_ins.paused_clock import run_paused
from tests.stand_ins.store import settle

SLOTS = 2
WORKERS = 2
PATIENCE_S = 2.0
SLACK_S = 0.1

INDEX = st.integers(0, 20)
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from([0.1, 0.3, 1.0])),
    st.tuples(st.just("end"), INDEX),
    st.tuples(st.just("leave"), INDEX),
    st.tuples(st.just("tick"), st.integers(0, 3)),
    st.tuples(st.just("pass"), st.sampled_from([0.01, 0.2, 1.0])),
    st.tuples(st.just("peers"), st.integers(0, 5)),
    st.tuples(st.just("report"), st.integers(0, 6)),
    st.tuples(st.just("worker leaves"), INDEX),
)


class Run:
    """Requests of one daemon, and where they are."""

    def __init__(self) -> None:
        fleet = Fleet()
        self.directory = fleet.directory
        self.queue = fleet.queue
        self.loop = asyncio.get_running_loop()
        self.asked_at_s: dict[asyncio.Task[Worker | None], float] = {}
        self.running: list[Worker] = []
        self.answered = 0
        for number in range(WORKERS):
            self.directory.put(worker_record(number, slots=SLOTS), 0.0)

    async def step(self, name: str, value: float) -> None:
        now_s = self.loop.time()
        workers = list(self.directory.workers.values())
        if name == "arrive":
            times = start_deadlines(now_s, value, PATIENCE_S)
            task = asyncio.create_task(self.queue.acquire("llm", EMPTY_PROMPT, times))
            self.asked_at_s[task] = now_s
        elif name == "end" and self.running:
            self.end(int(value) % len(self.running))
        elif name == "leave" and self.asked_at_s:
            task = list(self.asked_at_s)[int(value) % len(self.asked_at_s)]
            if not task.done():
                task.cancel()
                del self.asked_at_s[task]
        elif name == "tick":
            self.queue.tick(now_s, int(value))
        elif name == "pass":
            await asyncio.sleep(value)
        elif name == "peers":
            self.queue.demand.peers_by_service["llm"] = WaitingCounts(int(value))
        elif name == "report":
            workers[0].note_load(LoadReport(min(SLOTS, int(value)), 0, SLOTS), now_s)
        elif name == "worker leaves":
            self.directory.remove(f"w{int(value) % WORKERS}", 9, now_s)
        await settle()
        self.collect()

    def end(self, index: int) -> None:
        worker = self.running.pop(index)
        worker.in_flight -= 1
        self.queue.assign_freed_slot(worker, self.loop.time())

    def collect(self) -> None:
        """Take the requests that were given a worker, and check the counts."""
        for task, asked_at_s in list(self.asked_at_s.items()):
            if not task.done():
                assert self.loop.time() - asked_at_s <= PATIENCE_S + SLACK_S, "nobody starves"
                continue
            del self.asked_at_s[task]
            self.answered += 1
            worker = task.result()
            if worker is not None:
                self.running.append(worker)
        for worker in self.directory.workers.values():
            assert worker.in_flight == self.running.count(worker), "each slot is given once"


class OnlineQueueModel(TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.lists(STEP, max_size=40))
    def test_each_request_gets_one_worker_within_its_patience(
        self, steps: list[tuple[str, float]]
    ) -> None:
        async def scenario() -> None:
            run = Run()
            for name, value in steps:
                await run.step(name, value)
            await run.step("pass", PATIENCE_S)
            assert not run.asked_at_s, "every request was answered"
            while run.running:
                run.end(0)
            assert not any(worker.in_flight for worker in run.directory.workers.values())

        run_paused(scenario())
