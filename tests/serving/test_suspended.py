"""Leases, ages, limits and deadlines after a machine was suspended, read against both clocks."""

from __future__ import annotations

import asyncio
import re
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import testtools
from testtools import TestCase

import mountstand
from mountstand.clock import SleepAwareEventLoop, elapsed_s, wait_until
from mountstand.errors import Overloaded
from mountstand.online.admission import MIN_LIMIT
from mountstand.online.admission_gate import AdmissionGate
from mountstand.quarantine.suspect import INITIAL_BLOCK_S
from mountstand.serving.configuration import RequestKind
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, Transaction
from mountstand.store.watch import TableWatcher
from tests.serving.test_forwarder import REPEATABLE, ForwarderHarness
from tests.serving.test_held_back import ANY_TRY, block
from tests.serving.test_worker_ends import call
from tests.stand_ins.harness import RecordingLog, eventually, route
from tests.stand_ins.suspended import SuspendedMachine, suspendable
from tests.stand_ins.worker import silence, whole

SLEEP_S = 20.0
CONTACT_S = 3.0
Work = Callable[[SuspendedMachine], Awaitable[object]]


def on_clock(which: int, work: Work) -> object:
    """Run on an event loop whose product clock is ``which``."""
    with suspendable(which) as machine, asyncio.Runner(loop_factory=SleepAwareEventLoop) as runner:
        return runner.run(work(machine))  # type: ignore[arg-type]


class BothClocks(TestCase):
    """Each case holds on the clock that counts sleep, and shows what the steady clock hides."""

    def check(self, work: Work, slept: object, unnoticed: object) -> None:
        """Compare what ``work`` returns on the clock that counts sleep and on the steady one."""
        self.assertEqual(slept, on_clock(time.CLOCK_BOOTTIME, work))
        self.assertEqual(unnoticed, on_clock(time.CLOCK_MONOTONIC, work))

    def test_what_is_known_of_the_store_is_old(self) -> None:
        """A daemon does not start items or honour keys by a picture from before its sleep."""

        async def work(machine: SuspendedMachine) -> bool:
            store = MemoryRowStore()
            await store.commit(Transaction(puts=[(RowKey("t", "", "k"), b"v")]))
            watcher = TableWatcher(store, "t", [""], lambda change: None, RecordingLog())
            following = asyncio.create_task(watcher.run())
            await watcher.loaded.wait()
            following.cancel()
            machine.suspend(SLEEP_S)
            return watcher.age_s(asyncio.get_running_loop().time()) > CONTACT_S

        self.check(work, slept=True, unnoticed=False)

    def test_a_request_whose_time_is_over_reaches_no_worker(self) -> None:
        async def work(machine: SuspendedMachine) -> list[int]:
            waiting_long = route(RequestKind.REPEATABLE, target_latency_s=2.0)
            async with ForwarderHarness(waiting_long, (whole(),)) as harness:
                worker = harness.fleet.directory.workers["w0"]
                worker.in_flight = 4
                asking = asyncio.create_task(harness.send_request("r1"))
                await eventually(
                    lambda: harness.fleet.queue.has_waiting_requests("llm"), "it waits"
                )
                machine.suspend(SLEEP_S)
                await asyncio.sleep(0)
                worker.in_flight = 0
                harness.fleet.queue.tick(asyncio.get_running_loop().time())
                await asking
                return [len(harness.fleet.received())]

        self.check(work, slept=[0], unnoticed=[1])

    def test_workers_are_told_the_time_that_is_left(self) -> None:
        async def work(machine: SuspendedMachine) -> bool:
            async with ForwarderHarness(REPEATABLE, (silence,), (silence,)) as harness:
                harness.deadline_s = 10.0
                asking = asyncio.create_task(harness.send_request("r1"))
                await eventually(lambda: harness.fleet.received(), "it runs")
                machine.suspend(5.0)
                for worker in harness.workers:
                    for writer in list(worker._writers):
                        writer.transport.abort()
                await eventually(
                    lambda: len(harness.fleet.received()) == 2 or asking.done(), "again"
                )
                asking.cancel()
                got = [r for worker in harness.workers for r in worker.received]
                left_ms = [int(r.headers.get("deadline-ms") or 0) for r in got]
                return min(left_ms) <= 5500

        self.check(work, slept=True, unnoticed=False)

    def test_a_block_that_is_over_is_over(self) -> None:
        async def work(machine: SuspendedMachine) -> bool:
            async with ForwarderHarness(REPEATABLE, (whole(),)) as harness:
                block(harness)
                machine.suspend(INITIAL_BLOCK_S)
                return harness.fleet.quarantine.blocked_for_s(ANY_TRY) == 0

        self.check(work, slept=True, unnoticed=False)

    def test_a_worker_that_was_just_heard_from_has_not_been(self) -> None:
        async def work(machine: SuspendedMachine) -> int:
            once = route(RequestKind.AT_MOST_ONCE)
            async with ForwarderHarness(once, (whole(),)) as harness:
                await harness.send_request("r1")
                machine.suspend(5.0)
                await harness.send_request("r2")
                return harness.workers[0].connections

        self.check(work, slept=2, unnoticed=1)


class Threads(TestCase):
    """The own interface, whose leases and deadlines are read in threads."""

    def test_a_lease_that_ran_out_during_sleep_is_not_held(self) -> None:
        for which, held in ((time.CLOCK_BOOTTIME, False), (time.CLOCK_MONOTONIC, True)):
            with suspendable(which) as machine:
                renewed_s = elapsed_s()
                machine.suspend(SLEEP_S)
                self.assertEqual(held, elapsed_s() - renewed_s < CONTACT_S)

    def test_a_wait_ends_soon_after_sleep(self) -> None:
        with suspendable() as machine:
            began_s = time.monotonic()
            threading.Timer(0.1, machine.suspend, [SLEEP_S]).start()
            self.assertFalse(wait_until(threading.Event(), elapsed_s() + SLEEP_S))
            self.assertTrue(time.monotonic() - began_s < 2.0)

    def test_admission_does_not_outlast_its_deadline(self) -> None:
        with suspendable() as machine:
            gate = AdmissionGate(lambda service: 0)
            for _ in range(int(MIN_LIMIT)):
                gate.enter("llm", "t", elapsed_s() + 60.0)
            began_s = time.monotonic()
            threading.Timer(0.1, machine.suspend, [SLEEP_S]).start()
            with testtools.ExpectedException(Overloaded):
                gate.enter("llm", "t", elapsed_s() + SLEEP_S)
            self.assertTrue(time.monotonic() - began_s < 2.0)


class OneClock(TestCase):
    def test_the_product_reads_no_clock_that_stands_still(self) -> None:
        """The lab, the emulator and the command line measure; they hold no lease and no limit."""
        root = Path(mountstand.__file__).parent
        found = [
            str(path.relative_to(root))
            for path in sorted(root.rglob("*.py"))
            if re.search(r"time\.monotonic|perf_counter", path.read_text())
            and path.relative_to(root).parts[0] not in ("lab", "emulator", "cli")
        ]
        self.assertEqual([], found)

    def test_tests_of_contents_share_the_key(self) -> None:
        self.assertEqual(ANY_TRY.content_key, call("r7").content_key)
