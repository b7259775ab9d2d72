"""Which requests a stopping daemon takes: those that can be whole by its end."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from mountstand.serving.stop_admission import DURATIONS_KEPT, MAX_ROUTES, StopAdmission
from tests.serving.test_forwarder import REPEATABLE, ForwarderHarness
from tests.stand_ins.harness import eventually, run
from tests.stand_ins.worker import silence

ROUTE = "captions"
STOP_S = 100.0
ENDS_AT_S = STOP_S + 7.4
TIMEOUT_S = 8.0
WAITING_S = 0.1
AT_ONCE_S = 0.3


class Admission(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.admission = StopAdmission()

    def may_complete(self, after_s: float, timeout_s: float = TIMEOUT_S) -> bool:
        """Return whether a request is taken that comes so long after the stop began."""
        now_s = STOP_S + after_s
        return self.admission.may_complete(ROUTE, now_s, now_s + timeout_s)

    def test_all_requests_are_taken_before_the_stop(self) -> None:
        self.assertTrue(self.may_complete(0.0))

    def test_request_that_may_last_beyond_the_end_is_refused(self) -> None:
        """Guards against streams that are taken by a stopping daemon and cut off midway."""
        self.admission.begin_stop(ENDS_AT_S)
        self.assertFalse(self.may_complete(0.0))
        self.assertFalse(self.may_complete(3.04))

    def test_request_whose_deadline_comes_before_the_end_is_taken(self) -> None:
        self.admission.begin_stop(ENDS_AT_S)
        self.assertTrue(self.may_complete(3.0, timeout_s=4.0))
        self.assertFalse(self.may_complete(3.5, timeout_s=4.0))

    def test_request_is_taken_as_long_as_the_longest_of_its_route_would_end(self) -> None:
        """Guards against refusals of what could still be served."""
        for duration_s in (0.5, 2.0, 1.0):
            self.admission.note_completed(ROUTE, duration_s)
        self.admission.note_completed("others", 0.1)
        self.admission.begin_stop(ENDS_AT_S)
        self.assertTrue(self.may_complete(5.3))
        self.assertFalse(self.may_complete(5.5))

    def test_former_durations_are_forgotten(self) -> None:
        self.admission.note_completed(ROUTE, 7.9)
        for _ in range(DURATIONS_KEPT):
            self.admission.note_completed(ROUTE, 1.0)
        self.admission.begin_stop(ENDS_AT_S)
        self.assertTrue(self.may_complete(3.0))

    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_ROUTES + 1):
            self.admission.note_completed(f"route {number}", 1.0)
        self.admission.begin_stop(ENDS_AT_S)
        now_s = STOP_S
        self.assertFalse(self.admission.may_complete("route 0", now_s, now_s + TIMEOUT_S))
        self.assertTrue(self.admission.may_complete("route 1", now_s, now_s + TIMEOUT_S))


class Waiting(TestCase):
    def test_request_that_waits_for_a_worker_is_refused_as_the_stop_begins(self) -> None:
        """Guards against callers who wait at a stopping daemon for an answer that can't come."""

        async def scenario() -> tuple[int, float]:
            async with ForwarderHarness(REPEATABLE, (silence,)) as harness:
                loop = asyncio.get_running_loop()
                slots = sum(each.slots() for each in harness.fleet.directory.active_workers("llm"))
                running = [
                    asyncio.create_task(harness.send_request(f"running-{n}")) for n in range(slots)
                ]
                await eventually(lambda: len(harness.fleet.received()) == slots, "all slots busy")
                waiting = asyncio.create_task(harness.send_request("waiting"))
                await asyncio.sleep(WAITING_S)
                self.assertFalse(waiting.done())
                stopped_s = loop.time()
                harness.forwarder.begin_stop(stopped_s + REPEATABLE.timeout_s / 2)
                status, _, _ = await waiting
                refused_after_s = loop.time() - stopped_s
                self.assertEqual(slots, len(harness.fleet.received()))
                for task in running:
                    task.cancel()
                return status, refused_after_s

        status, refused_after_s = run(scenario())
        self.assertEqual(503, status)
        self.assertLess(refused_after_s, AT_ONCE_S)
