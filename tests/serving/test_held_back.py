"""Tests of online requests whose content crashes workers, and of requests running beside them."""

from __future__ import annotations

import asyncio
from typing import Any

from testtools import TestCase

from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.suspect import WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.quarantine.workload import Workload
from mountstand.serving.configuration import RequestKind, Route
from mountstand.serving.worker_protocol import Call
from tests.serving.test_forwarder import (
    AT_MOST_ONCE,
    PLAIN_STREAM,
    REPEATABLE,
    RESUMABLE,
    ForwarderHarness,
)
from tests.stand_ins.crashing import CrashableWorker
from tests.stand_ins.harness import HOST, eventually, route, run
from tests.stand_ins.worker import Answer, Received, StandInWorker, event, silence, stream, whole

SENT_CALL = Call("r", HOST, "POST", "/x", (), b"body")
"""The request that ``ForwarderHarness.send_request`` sends; its id is not part of the content."""

ROUTES = (AT_MOST_ONCE, REPEATABLE, PLAIN_STREAM, RESUMABLE)


def quarantine_content(harness: ForwarderHarness) -> None:
    """Quarantine the content of ``SENT_CALL`` by recording three worker crashes."""
    now_s = asyncio.get_running_loop().time()
    for key in (1, 2, 3):
        at_s = now_s - 3 + key
        harness.fleet.quarantine._sharing.note_worker_crash(
            key, at_s, {SENT_CALL.content_key: at_s}, now_s
        )


class CrashingHarness(ForwarderHarness):
    """A harness whose workers crash when they run a request."""

    def __init__(self, tested_route: Route, *scripts: tuple[Answer, ...]) -> None:
        super().__init__(tested_route, *scripts)
        self.crash = True
        workers: list[StandInWorker] = [
            CrashableWorker(f"w{n}", self._crashes, *script) for n, script in enumerate(scripts)
        ]
        self.workers[:] = workers
        self.fleet.workers = tuple(workers)

    def _crashes(self, request: Received) -> bool:
        return self.crash


class QuarantinedContent(TestCase):
    def with_harness(self, tested_route: Route, body: Any, *scripts: tuple[Answer, ...]) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(tested_route, *(scripts or ((whole(),),))) as harness:
                await body(harness)

        run(scenario())

    def test_rejected_at_once_with_retry_after_the_next_trial(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            quarantine_content(harness)
            status, _, complete = await harness.send_request("r1")
            self.assertEqual((503, True), (status, complete))
            self.assertRegex(harness.last_head.lower(), r"retry-after: (600|59\d\.)")
            self.assertEqual([], harness.fleet.received())
            (line,) = harness.fleet.log.lines("request_held_back")
            self.assertEqual(("r1", 0), (line["request"], line["runs"]))

        for tested_route in ROUTES:
            self.with_harness(tested_route, body)

    def test_other_contents_are_not_blocked(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            quarantine_content(harness)
            other = Call("r", HOST, "POST", "/x", (), b"else")
            self.assertEqual(0.0, harness.fleet.quarantine.blocked_for_s(other))
            other_caller = Call("r", HOST, "POST", "/x", (), b"body", tenant="t")
            self.assertEqual(0.0, harness.fleet.quarantine.blocked_for_s(other_caller))

        self.with_harness(REPEATABLE, body)

    def test_queued_request_is_rejected_when_its_content_becomes_blocked(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            harness.fleet.quarantine.on_blocked = harness.fleet.queue.reject
            worker = harness.fleet.directory.workers["w0"]
            worker.in_flight = 4
            request_task = asyncio.create_task(harness.send_request("r1"))
            await eventually(
                lambda: harness.fleet.queue.has_waiting_requests("llm"), "request queued"
            )
            quarantine_content(harness)
            status, _, _ = await asyncio.wait_for(request_task, 0.3)
            self.assertEqual(503, status)
            self.assertEqual(4, worker.in_flight)
            self.assertEqual([], harness.fleet.received())

        self.with_harness(route(RequestKind.REPEATABLE, target_latency_s=2.0), body)

    def test_request_that_ran_before_its_block_gets_502_rather_than_a_rejection(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            request_task = asyncio.create_task(harness.send_request("r1"))
            await eventually(
                lambda: len(harness.fleet.received()) == 1, "request received by a worker"
            )
            quarantine_content(harness)
            for writer in list(harness.workers[0]._writers | harness.workers[1]._writers):
                writer.transport.abort()
            status, _, _ = await request_task
            self.assertEqual(502, status)
            self.assertEqual(1, len(harness.fleet.received()))

        self.with_harness(REPEATABLE, body, (silence,), (silence,))

    def test_rejected_request_frees_its_slot(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            quarantine_content(harness)
            worker = harness.fleet.directory.workers["w0"]
            for _ in range(5):
                await harness.send_request("r1")
            self.assertEqual(0, worker.in_flight)

        self.with_harness(AT_MOST_ONCE, body)


class CrashDetection(TestCase):
    def test_worker_crash_is_detected_on_each_kind_of_route(self) -> None:
        async def scenario(tested_route: Route) -> None:
            async with CrashingHarness(tested_route, (whole(),), (whole(),), (whole(),)) as harness:
                suspects = harness.fleet.quarantine.suspects
                await harness.send_request("r1")
                expected = min(tested_route.max_attempts, 3) if tested_route.repeatable else 1
                key = SENT_CALL.content_key
                await eventually(
                    lambda: (
                        key in suspects.by_content
                        and len(suspects.by_content[key].crash_by_worker) == expected
                    ),
                    f"{expected} crashes on {tested_route.name}",
                )
                blocked = harness.fleet.quarantine.blocked_for_s(SENT_CALL) > 0
                self.assertEqual(expected >= 3, blocked, tested_route.name)

        for tested_route in ROUTES:
            run(scenario(tested_route))

    def test_stream_resumed_after_a_worker_crash_is_no_longer_suspect(self) -> None:
        async def scenario() -> None:
            scripts = ((stream(8, gap_s=0.05),),) * 2
            async with CrashingHarness(RESUMABLE, *scripts) as harness:
                harness.crash = False
                request_task = asyncio.create_task(harness.send_request("r1"))
                await eventually(lambda: harness.fleet.received(), "request received by a worker")
                first = next(worker for worker in harness.workers if worker.received)
                await asyncio.sleep(0.12)
                await first.stop()
                status, body, complete = await request_task
                self.assertEqual((200, True), (status, complete))
                self.assertEqual(b"".join(event(n) for n in range(1, 9)), body)
                suspect = harness.fleet.quarantine.suspects.by_content.get(SENT_CALL.content_key)
                self.assertEqual({}, suspect.crash_by_worker if suspect else {})

        run(scenario())

    def test_worker_crash_behind_a_silent_connection_is_detected(self) -> None:
        """The machine refuses new connections while the old connection stays open and silent."""

        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (silence,), (silence,)) as harness:
                harness.deadline_s = 2.5
                request_task = asyncio.create_task(harness.send_request("r1"))
                await eventually(lambda: harness.fleet.received(), "request received by a worker")
                first = next(worker for worker in harness.workers if worker.received)
                assert first._server is not None
                first._server.close()
                await eventually(lambda: harness.fleet.quarantine.suspects, "crash detected")
                request_task.cancel()
                suspect = harness.fleet.quarantine.suspects.by_content[SENT_CALL.content_key]
                self.assertEqual(1, len(suspect.crash_by_worker))

        run(scenario())

    def test_broken_connections_are_not_worker_crashes(self) -> None:
        async def scenario() -> None:
            script = (stream(5, cut_after=1),)
            async with ForwarderHarness(RESUMABLE, script, script, script) as harness:
                await harness.send_request("r1")
                await asyncio.sleep(0.5)
                self.assertFalse(harness.fleet.quarantine.suspects)

        run(scenario())


class SeparationOfSuspects(TestCase):
    def test_two_strong_suspects_do_not_share_a_worker(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (whole(),), (whole(),)) as harness:
                fleet = harness.fleet
                other = Call("r", HOST, "POST", "/x", (), b"else")
                now_s = asyncio.get_running_loop().time()
                sent_at_s = {SENT_CALL.content_key: now_s, other.content_key: now_s}
                for worker_key in (1, 2):
                    fleet.quarantine._sharing.note_worker_crash(worker_key, now_s, sent_at_s, now_s)
                allowed_workers = [
                    worker
                    for worker in fleet.directory.workers.values()
                    if fleet.quarantine.allows(other, worker)
                ]
                for worker in allowed_workers:
                    self.assertFalse(
                        fleet.quarantine.allows(SENT_CALL, worker),
                        "a worker of another suspect is not allowed, even if it is idle",
                    )
                    with fleet.quarantine.running(other, worker):
                        self.assertFalse(fleet.quarantine.allows(SENT_CALL, worker))
                        self.assertTrue(fleet.quarantine.allows(other, worker))
                self.assertEqual(200, (await harness.send_request())[0])
                names = [worker.record.worker_id for worker in allowed_workers]
                self.assertTrue(len(allowed_workers) == 2 or fleet.received()[0] not in names)

        for _ in range(6):
            run(scenario())

    def test_suspects_of_different_daemons_do_not_share_a_worker(self) -> None:
        """Otherwise a request could be blamed for a crash that another daemon's request caused."""
        workers = [f"w{n}" for n in range(6)]
        separations = []
        for _ in range(2):
            suspects = CrashSuspects()
            for content in (7, 8, 9):
                for worker_key in (1, 2):
                    suspects.merge(content, {worker_key: WorkerCrash(100.0, 0.1)})
            separations.append(SuspectSeparation(suspects))
        for worker in workers:
            allowed = {
                content
                for content, separation in ((7, separations[0]), (8, separations[1]))
                if separation.allows(content, worker, 100.3)
            }
            self.assertTrue(len(allowed) <= 1, (worker, allowed))
        self.assertTrue(any(separations[0].allows(7, worker, 100.3) for worker in workers))

    def test_many_suspects_at_once_may_use_all_workers(self) -> None:
        """Two joint worker failures make suspects of all requests that ran there."""
        suspects = CrashSuspects()
        for content in range(30):
            for worker_key in (1, 2):
                suspects.merge(content, {worker_key: WorkerCrash(100.0, 0.1)})
        separation = SuspectSeparation(suspects)
        self.assertTrue(all(separation.allows(content, "w1", 100.3) for content in range(30)))

    def test_worker_reservations_for_suspects_expire_within_seconds(self) -> None:
        suspects = CrashSuspects()
        for content in (7, 8):
            for worker_key in (1, 2):
                suspects.merge(content, {worker_key: WorkerCrash(100.0, 0.1)})
        separation = SuspectSeparation(suspects)
        allowed_workers = [n for n in range(6) if separation.allows(7, f"w{n}", 101.0)]
        self.assertTrue(len(allowed_workers) < 6, allowed_workers)
        self.assertTrue(all(separation.allows(7, f"w{n}", 111.0) for n in range(6)))
        self.assertTrue(
            all(separation.allows(5, f"w{n}", 101.0) for n in range(6)), "not a suspect"
        )

    def test_overdue_trial_keeps_off_the_worker_of_another_trial(self) -> None:
        """Guards against a trial that tells nothing, as one that waited for long ran beside it."""
        suspects = CrashSuspects()
        for content, crashed_s in ((7, 100.0), (8, 111.0)):
            for n in range(3):
                # Crashes of overlapping runs count as two, so that a trial is required.
                crash = WorkerCrash(crashed_s + n / 100, 0.1)
                suspects.merge(content, {content * 10 + n: crash})
        separation = SuspectSeparation(suspects)
        overdue_s, later_s = 115.0, 130.0
        allowed = [n for n in range(6) if separation.allows(7, f"w{n}", overdue_s)]
        self.assertTrue(0 < len(allowed) < 6, allowed)
        self.assertTrue(all(separation.allows(7, f"w{n}", later_s) for n in range(6)))

    def test_trial_that_has_ended_keeps_no_worker_until_the_next_one_is_near(self) -> None:
        """Guards against items that wait without end, as trials that are over keep workers."""
        suspects = CrashSuspects()
        for content, crashed_s in ((7, 80.0), (8, 100.0)):
            for n in range(3):
                # Crashes of overlapping runs count as two, so that a trial is required.
                crash = WorkerCrash(crashed_s + n / 100, 0.1)
                suspects.merge(content, {content * 10 + n: crash})
        separation = SuspectSeparation(suspects)

        def allowed(now_s: float) -> int:
            return sum(separation.allows(7, f"w{n}", now_s) for n in range(6))

        trial_at_s = 102.5
        suspects.begin_trial(8, trial_at_s, Workload.BATCH)
        self.assertTrue(0 < allowed(trial_at_s + 0.1) < 6, "a trial is under way")
        crashed_at_s = trial_at_s + 0.2
        suspects.merge(8, {89: WorkerCrash(crashed_at_s, 0.1)})
        self.assertEqual(6, allowed(crashed_at_s + 0.1))
        self.assertEqual(6, allowed(crashed_at_s + 5.0))
        self.assertTrue(0 < allowed(crashed_at_s + 6.5) < 6, "a trial is due soon")
