"""The online queue under any order of arrivals, completions, cancellations and peer reports."""

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
START_TIMEOUT_S = 2.0
TIMEOUT_SLACK_S = 0.1

INDEX = st.integers(0, 20)
STEP = st.one_of(
    st.tuples(st.just("arrive"), st.sampled_from([0.1, 0.3, 1.0])),
    st.tuples(st.just("complete"), INDEX),
    st.tuples(st.just("cancel"), INDEX),
    st.tuples(st.just("tick"), st.integers(0, 3)),
    st.tuples(st.just("advance clock"), st.sampled_from([0.01, 0.2, 1.0])),
    st.tuples(st.just("peers"), st.integers(0, 5)),
    st.tuples(st.just("report"), st.integers(0, 6)),
    st.tuples(st.just("worker leaves"), INDEX),
)


class QueueSimulation:
    """The requests of one daemon and the workers that they run on."""

    def __init__(self) -> None:
        fleet = Fleet()
        self.directory = fleet.directory
        self.queue = fleet.queue
        self.loop = asyncio.get_running_loop()
        self.received_at_s_by_task: dict[asyncio.Task[Worker | None], float] = {}
        self.running: list[Worker] = []
        self.finished = 0
        for number in range(WORKERS):
            self.directory.put(worker_record(number, slots=SLOTS), 0.0)

    async def step(self, name: str, value: float) -> None:
        now_s = self.loop.time()
        workers = list(self.directory.workers.values())
        if name == "arrive":
            deadlines = start_deadlines(now_s, value, START_TIMEOUT_S)
            task = asyncio.create_task(self.queue.acquire("llm", EMPTY_PROMPT, deadlines))
            self.received_at_s_by_task[task] = now_s
        elif name == "complete" and self.running:
            self.complete(int(value) % len(self.running))
        elif name == "cancel" and self.received_at_s_by_task:
            task = list(self.received_at_s_by_task)[int(value) % len(self.received_at_s_by_task)]
            if not task.done():
                task.cancel()
                del self.received_at_s_by_task[task]
        elif name == "tick":
            self.queue.tick(now_s, int(value))
        elif name == "advance clock":
            await asyncio.sleep(value)
        elif name == "peers":
            self.queue.demand.peers_by_service["llm"] = WaitingCounts(int(value))
        elif name == "report":
            workers[0].note_load(LoadReport(min(SLOTS, int(value)), 0, SLOTS), now_s)
        elif name == "worker leaves":
            self.directory.remove(f"w{int(value) % WORKERS}", 9, now_s)
        await settle()
        self.collect()

    def complete(self, index: int) -> None:
        worker = self.running.pop(index)
        worker.in_flight -= 1
        self.queue.assign_freed_slot(worker, self.loop.time())

    def collect(self) -> None:
        """Move requests that were assigned a worker to ``running``, and check the counts."""
        for task, received_at_s in list(self.received_at_s_by_task.items()):
            if not task.done():
                assert self.loop.time() - received_at_s <= START_TIMEOUT_S + TIMEOUT_SLACK_S, (
                    "no request waits past its start timeout"
                )
                continue
            del self.received_at_s_by_task[task]
            self.finished += 1
            worker = task.result()
            if worker is not None:
                self.running.append(worker)
        for worker in self.directory.workers.values():
            assert worker.in_flight == self.running.count(worker), (
                "in-flight counts match running requests"
            )


class OnlineQueueModel(TestCase):
    @settings(max_examples=150, deadline=None)
    @given(st.lists(STEP, max_size=40))
    def test_each_request_gets_one_worker_within_its_start_timeout(
        self, steps: list[tuple[str, float]]
    ) -> None:
        async def scenario() -> None:
            simulation = QueueSimulation()
            for name, value in steps:
                await simulation.step(name, value)
            await simulation.step("advance clock", START_TIMEOUT_S)
            assert not simulation.received_at_s_by_task, "every wait ends within the start timeout"
            while simulation.running:
                simulation.complete(0)
            assert not any(worker.in_flight for worker in simulation.directory.workers.values())

        run_paused(scenario())
