"""Online requests whose content crashes workers, and those that run beside them."""

from __future__ import annotations

import asyncio
from typing import Any

from testtools import TestCase

from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.suspect import WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.serving.configuration import RequestKind, Route
from mountstand.serving.worker_protocol import Call
from tests.serving.test_forwarder import ONCE, PLAIN_STREAM, REPEATABLE, RESUMABLE, ForwarderHarness
from tests.stand_ins.crashing import CrashableWorker
from tests.stand_ins.harness import HOST, eventually, route, run
from tests.stand_ins.worker import Answer, Received, StandInWorker, event, silence, stream, whole

ANY_TRY = Call("r", HOST, "POST", "/x", (), b"body")
"""What ``Front.send_request`` sends, whatever its id."""

ROUTES = (ONCE, REPEATABLE, PLAIN_STREAM, RESUMABLE)


def block(harness: ForwarderHarness) -> None:
    """Let three workers have ended under the request that ``Front.send_request`` sends."""
    now_s = asyncio.get_running_loop().time()
    for key in (1, 2, 3):
        at_s = now_s - 3 + key
        harness.fleet.quarantine._sharing.note_worker_crash(
            key, at_s, {ANY_TRY.content_key: at_s}, now_s
        )


class CrashingFront(ForwarderHarness):
    """A front whose workers end as they run the request."""

    def __init__(self, used: Route, *scripts: tuple[Answer, ...]) -> None:
        super().__init__(used, *scripts)
        self.crash = True
        workers: list[StandInWorker] = [
            CrashableWorker(f"w{n}", self._crashes, *script) for n, script in enumerate(scripts)
        ]
        self.workers[:] = workers
        self.fleet.workers = tuple(workers)

    def _crashes(self, request: Received) -> bool:
        return self.crash


class HeldBack(TestCase):
    def with_front(self, used: Route, body: Any, *scripts: tuple[Answer, ...]) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(used, *(scripts or ((whole(),),))) as harness:
                await body(harness)

        run(scenario())

    def test_refused_at_once_with_the_time_of_its_next_trial(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            block(harness)
            status, _, complete = await harness.send_request("r1")
            self.assertEqual((503, True), (status, complete))
            self.assertRegex(harness.last_head.lower(), r"retry-after: (600|59\d\.)")
            self.assertEqual([], harness.fleet.received())
            (line,) = harness.fleet.log.lines("request_held_back")
            self.assertEqual(("r1", 0), (line["request"], line["runs"]))

        for used in ROUTES:
            self.with_front(used, body)

    def test_other_contents_are_served(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            block(harness)
            other = Call("r", HOST, "POST", "/x", (), b"else")
            self.assertEqual(0.0, harness.fleet.quarantine.blocked_for_s(other))
            other_caller = Call("r", HOST, "POST", "/x", (), b"body", tenant="t")
            self.assertEqual(0.0, harness.fleet.quarantine.blocked_for_s(other_caller))

        self.with_front(REPEATABLE, body)

    def test_one_that_waits_for_a_worker_is_refused_as_it_becomes_blocked(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            harness.fleet.quarantine.on_blocked = harness.fleet.queue.reject
            worker = harness.fleet.directory.workers["w0"]
            worker.in_flight = 4
            asking = asyncio.create_task(harness.send_request("r1"))
            await eventually(lambda: harness.fleet.queue.has_waiting_requests("llm"), "it waits")
            block(harness)
            status, _, _ = await asyncio.wait_for(asking, 0.3)
            self.assertEqual(503, status)
            self.assertEqual(4, worker.in_flight)
            self.assertEqual([], harness.fleet.received())

        self.with_front(route(RequestKind.REPEATABLE, target_latency_s=2.0), body)

    def test_one_that_ran_before_it_was_blocked_is_not_called_refused(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            asking = asyncio.create_task(harness.send_request("r1"))
            await eventually(lambda: len(harness.fleet.received()) == 1, "it runs")
            block(harness)
            for writer in list(harness.workers[0]._writers | harness.workers[1]._writers):
                writer.transport.abort()
            status, _, _ = await asking
            self.assertEqual(502, status)
            self.assertEqual(1, len(harness.fleet.received()))

        self.with_front(REPEATABLE, body, (silence,), (silence,))

    def test_a_slot_that_it_was_given_is_free_again(self) -> None:
        async def body(harness: ForwarderHarness) -> None:
            block(harness)
            worker = harness.fleet.directory.workers["w0"]
            for _ in range(5):
                await harness.send_request("r1")
            self.assertEqual(0, worker.in_flight)

        self.with_front(ONCE, body)


class Crashes(TestCase):
    def test_the_end_of_a_worker_is_seen_on_each_kind_of_route(self) -> None:
        async def scenario(used: Route) -> None:
            async with CrashingFront(used, (whole(),), (whole(),), (whole(),)) as harness:
                suspects = harness.fleet.quarantine.suspects
                await harness.send_request("r1")
                expected = min(used.max_attempts, 3) if used.repeatable else 1
                key = ANY_TRY.content_key
                await eventually(
                    lambda: (
                        key in suspects.by_content
                        and len(suspects.by_content[key].crash_by_worker) == expected
                    ),
                    f"{expected} ends on {used.name}",
                )
                blocked = harness.fleet.quarantine.blocked_for_s(ANY_TRY) > 0
                self.assertEqual(expected >= 3, blocked, used.name)

        for used in ROUTES:
            run(scenario(used))

    def test_a_stream_beside_one_goes_on_elsewhere_and_is_cleared(self) -> None:
        async def scenario() -> None:
            scripts = ((stream(8, gap_s=0.05),),) * 2
            async with CrashingFront(RESUMABLE, *scripts) as harness:
                harness.crash = False
                asking = asyncio.create_task(harness.send_request("r1"))
                await eventually(lambda: harness.fleet.received(), "it runs")
                first = next(worker for worker in harness.workers if worker.received)
                await asyncio.sleep(0.12)
                await first.stop()
                status, got, complete = await asking
                self.assertEqual((200, True), (status, complete))
                self.assertEqual(b"".join(event(n) for n in range(1, 9)), got)
                suspect = harness.fleet.quarantine.suspects.by_content.get(ANY_TRY.content_key)
                self.assertEqual({}, suspect.crash_by_worker if suspect else {})

        run(scenario())

    def test_a_worker_that_ended_behind_a_silent_connection_is_seen(self) -> None:
        """Its machine refuses new connections, while the old one never says anything."""

        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (silence,), (silence,)) as harness:
                harness.deadline_s = 2.5
                asking = asyncio.create_task(harness.send_request("r1"))
                await eventually(lambda: harness.fleet.received(), "it runs")
                first = next(worker for worker in harness.workers if worker.received)
                assert first._server is not None
                first._server.close()
                await eventually(lambda: harness.fleet.quarantine.suspects, "its end is seen")
                asking.cancel()
                suspect = harness.fleet.quarantine.suspects.by_content[ANY_TRY.content_key]
                self.assertEqual(1, len(suspect.crash_by_worker))

        run(scenario())

    def test_breaks_of_links_are_no_ends(self) -> None:
        async def scenario() -> None:
            script = (stream(5, cut_after=1),)
            async with ForwarderHarness(RESUMABLE, script, script, script) as harness:
                await harness.send_request("r1")
                await asyncio.sleep(0.5)
                self.assertFalse(harness.fleet.quarantine.suspects)

        run(scenario())


class Separation(TestCase):
    def test_two_strong_suspects_do_not_meet_at_a_worker(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (whole(),), (whole(),)) as harness:
                fleet = harness.fleet
                other = Call("r", HOST, "POST", "/x", (), b"else")
                now_s = asyncio.get_running_loop().time()
                sent_at_s = {ANY_TRY.content_key: now_s, other.content_key: now_s}
                for worker_key in (1, 2):
                    fleet.quarantine._sharing.note_worker_crash(worker_key, now_s, sent_at_s, now_s)
                kept = [
                    worker
                    for worker in fleet.directory.workers.values()
                    if fleet.quarantine.allows(other, worker)
                ]
                for worker in kept:
                    self.assertFalse(fleet.quarantine.allows(ANY_TRY, worker), "even if idle")
                    with fleet.quarantine.running(other, worker):
                        self.assertFalse(fleet.quarantine.allows(ANY_TRY, worker))
                        self.assertTrue(fleet.quarantine.allows(other, worker))
                self.assertEqual(200, (await harness.send_request())[0])
                names = [worker.record.worker_id for worker in kept]
                self.assertTrue(len(kept) == 2 or fleet.received()[0] not in names)

        for _ in range(6):
            run(scenario())

    def test_suspects_of_different_daemons_do_not_meet_either(self) -> None:
        """An item was at three ends beside a crashing request that another daemon had sent."""
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

    def test_many_suspects_at_once_are_not_kept_from_the_workers(self) -> None:
        """Workers that fail together, twice, make suspects of all that ran there."""
        suspects = CrashSuspects()
        for content in range(30):
            for worker_key in (1, 2):
                suspects.merge(content, {worker_key: WorkerCrash(100.0, 0.1)})
        separation = SuspectSeparation(suspects)
        self.assertTrue(all(separation.allows(content, "w1", 100.3) for content in range(30)))

    def test_workers_are_kept_for_a_suspect_for_some_seconds_only(self) -> None:
        suspects = CrashSuspects()
        for content in (7, 8):
            for worker_key in (1, 2):
                suspects.merge(content, {worker_key: WorkerCrash(100.0, 0.1)})
        separation = SuspectSeparation(suspects)
        kept = [n for n in range(6) if separation.allows(7, f"w{n}", 101.0)]
        self.assertTrue(len(kept) < 6, kept)
        self.assertTrue(all(separation.allows(7, f"w{n}", 111.0) for n in range(6)))
        self.assertTrue(all(separation.allows(5, f"w{n}", 101.0) for n in range(6)), "no suspect")
