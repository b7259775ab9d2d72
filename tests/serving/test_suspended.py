"""Tests of leases, ages, limits and deadlines after a machine was suspended, on two clocks."""

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
from tests.serving.test_held_back import SENT_CALL, quarantine_content
from tests.serving.test_worker_ends import call
from tests.stand_ins.harness import RecordingLog, eventually, route
from tests.stand_ins.suspended import SuspendedMachine, suspendable
from tests.stand_ins.worker import silence, whole

SUSPENSION_S = 20.0
MAX_AGE_S = 3.0
"""Age at which watched rows are stale and a lease has expired."""

Scenario = Callable[[SuspendedMachine], Awaitable[object]]


def run_on_clock(clock_id: int, scenario: Scenario) -> object:
    """Run ``scenario`` on an event loop on which the product reads the clock ``clock_id``."""
    with (
        suspendable(clock_id) as machine,
        asyncio.Runner(loop_factory=SleepAwareEventLoop) as runner,
    ):
        return runner.run(scenario(machine))  # type: ignore[arg-type]


class SuspensionOnEventLoop(TestCase):
    """Each result is right on the boot-time clock and wrong on the monotonic clock.

    The monotonic clock stops while the machine is suspended, so old data looks recent on it.
    """

    def check(self, scenario: Scenario, on_boottime: object, on_monotonic: object) -> None:
        """Check what ``scenario`` returns on the boot-time clock and on the monotonic clock."""
        self.assertEqual(on_boottime, run_on_clock(time.CLOCK_BOOTTIME, scenario))
        self.assertEqual(on_monotonic, run_on_clock(time.CLOCK_MONOTONIC, scenario))

    def test_watched_rows_are_stale_after_suspension(self) -> None:
        """A daemon must not start items or accept keys based on rows read before its suspension."""

        async def scenario(machine: SuspendedMachine) -> bool:
            store = MemoryRowStore()
            await store.commit(Transaction(puts=[(RowKey("t", "", "k"), b"v")]))
            watcher = TableWatcher(store, "t", [""], lambda change: None, RecordingLog())
            following = asyncio.create_task(watcher.run())
            await watcher.loaded.wait()
            following.cancel()
            machine.suspend(SUSPENSION_S)
            return watcher.age_s(asyncio.get_running_loop().time()) > MAX_AGE_S

        self.check(scenario, on_boottime=True, on_monotonic=False)

    def test_queued_request_past_its_deadline_is_not_sent(self) -> None:
        async def scenario(machine: SuspendedMachine) -> list[int]:
            slow_route = route(RequestKind.REPEATABLE, target_latency_s=2.0)
            async with ForwarderHarness(slow_route, (whole(),)) as harness:
                worker = harness.fleet.directory.workers["w0"]
                worker.in_flight = 4
                request_task = asyncio.create_task(harness.send_request("r1"))
                await eventually(
                    lambda: harness.fleet.queue.has_waiting_requests("llm"), "request queued"
                )
                machine.suspend(SUSPENSION_S)
                await asyncio.sleep(0)
                worker.in_flight = 0
                harness.fleet.queue.tick(asyncio.get_running_loop().time())
                await request_task
                return [len(harness.fleet.received())]

        self.check(scenario, on_boottime=[0], on_monotonic=[1])

    def test_workers_receive_the_remaining_time(self) -> None:
        async def scenario(machine: SuspendedMachine) -> bool:
            async with ForwarderHarness(REPEATABLE, (silence,), (silence,)) as harness:
                harness.deadline_s = 10.0
                request_task = asyncio.create_task(harness.send_request("r1"))
                await eventually(lambda: harness.fleet.received(), "request received by a worker")
                machine.suspend(5.0)
                for worker in harness.workers:
                    for writer in list(worker._writers):
                        writer.transport.abort()
                await eventually(
                    lambda: len(harness.fleet.received()) == 2 or request_task.done(),
                    "second attempt started",
                )
                request_task.cancel()
                received = [r for worker in harness.workers for r in worker.received]
                remaining_ms = [int(r.headers.get("deadline-ms") or 0) for r in received]
                return min(remaining_ms) <= 5500

        self.check(scenario, on_boottime=True, on_monotonic=False)

    def test_block_expires_during_suspension(self) -> None:
        async def scenario(machine: SuspendedMachine) -> bool:
            async with ForwarderHarness(REPEATABLE, (whole(),)) as harness:
                quarantine_content(harness)
                machine.suspend(INITIAL_BLOCK_S)
                return harness.fleet.quarantine.blocked_for_s(SENT_CALL) == 0

        self.check(scenario, on_boottime=True, on_monotonic=False)

    def test_worker_contact_is_stale_after_suspension(self) -> None:
        """An at-most-once request must not reuse a connection that was idle during a suspension."""

        async def scenario(machine: SuspendedMachine) -> int:
            at_most_once = route(RequestKind.AT_MOST_ONCE)
            async with ForwarderHarness(at_most_once, (whole(),)) as harness:
                await harness.send_request("r1")
                machine.suspend(5.0)
                await harness.send_request("r2")
                return harness.workers[0].connections

        self.check(scenario, on_boottime=2, on_monotonic=1)


class SuspensionInThreads(TestCase):
    """Leases and deadlines of the threaded daemon (``mountstand.daemon``)."""

    def test_lease_expires_during_suspension(self) -> None:
        for clock_id, expected in ((time.CLOCK_BOOTTIME, False), (time.CLOCK_MONOTONIC, True)):
            with suspendable(clock_id) as machine:
                renewed_s = elapsed_s()
                machine.suspend(SUSPENSION_S)
                self.assertEqual(expected, elapsed_s() - renewed_s < MAX_AGE_S)

    def test_wait_ends_soon_after_suspension(self) -> None:
        with suspendable() as machine:
            started_at_s = time.monotonic()
            threading.Timer(0.1, machine.suspend, [SUSPENSION_S]).start()
            self.assertFalse(wait_until(threading.Event(), elapsed_s() + SUSPENSION_S))
            self.assertTrue(time.monotonic() - started_at_s < 2.0)

    def test_admission_wait_ends_at_its_deadline(self) -> None:
        with suspendable() as machine:
            gate = AdmissionGate(lambda service: 0)
            for _ in range(int(MIN_LIMIT)):
                gate.enter("llm", "t", elapsed_s() + 60.0)
            started_at_s = time.monotonic()
            threading.Timer(0.1, machine.suspend, [SUSPENSION_S]).start()
            with testtools.ExpectedException(Overloaded):
                gate.enter("llm", "t", elapsed_s() + SUSPENSION_S)
            self.assertTrue(time.monotonic() - started_at_s < 2.0)


class ClockUse(TestCase):
    def test_product_reads_no_clock_that_stops_during_suspension(self) -> None:
        """The lab, the emulator and the command line are exempt: they keep no leases or limits."""
        root = Path(mountstand.__file__).parent
        offending_paths = [
            str(path.relative_to(root))
            for path in sorted(root.rglob("*.py"))
            if re.search(r"time\.monotonic|perf_counter", path.read_text())
            and path.relative_to(root).parts[0] not in ("lab", "emulator", "cli")
        ]
        self.assertEqual([], offending_paths)

    def test_test_modules_use_calls_with_the_same_content_key(self) -> None:
        """The request id is not part of the content; tests combine calls of both modules."""
        self.assertEqual(SENT_CALL.content_key, call("r7").content_key)
