"""Which requests a stopping daemon takes: those that can be whole by its end."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from testtools import TestCase

from mountstand.serving.configuration import RequestKind, Route
from mountstand.serving.stop_admission import DURATIONS_KEPT, MAX_ROUTES, StopAdmission
from tests.serving.test_forwarder import (
    AT_MOST_ONCE,
    PLAIN_STREAM,
    REPEATABLE,
    RESUMABLE,
    ForwarderHarness,
)
from tests.stand_ins.harness import eventually, route, run
from tests.stand_ins.worker import silence

ROUTE = route(RequestKind.REPEATABLE, name="captions")
STOP_S = 100.0
ENDS_AT_S = STOP_S + 7.4
TIMEOUT_S = 8.0
WAITING_S = 0.1
AT_ONCE_S = 0.3


class Admission(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.admission = StopAdmission()

    def begin_stop(self) -> None:
        self.admission.begin_stop(STOP_S, ENDS_AT_S)

    def may_begin(
        self, after_s: float, timeout_s: float = TIMEOUT_S, on_route: Route = ROUTE
    ) -> bool:
        """Return whether a request is taken that comes so long after the stop began."""
        now_s = STOP_S + after_s
        return self.admission.may_begin(on_route, now_s, now_s + timeout_s)

    def test_all_requests_are_taken_before_the_stop(self) -> None:
        self.assertTrue(self.may_begin(0.0))

    def test_request_that_may_last_beyond_the_end_is_refused(self) -> None:
        """Guards against streams that are taken by a stopping daemon and cut off midway."""
        self.begin_stop()
        self.assertFalse(self.may_begin(0.0))
        self.assertFalse(self.may_begin(3.04))

    def test_request_whose_deadline_comes_before_the_end_is_taken(self) -> None:
        self.begin_stop()
        self.assertTrue(self.may_begin(3.0, timeout_s=4.0))
        self.assertFalse(self.may_begin(3.5, timeout_s=4.0))

    def test_repeatable_request_is_taken_early_if_the_longest_of_its_route_would_end(self) -> None:
        """Guards against refusals of what could probably still be served."""
        for duration_s in (0.5, 4.9, 1.0):
            self.admission.note_completed(ROUTE.name, duration_s)
        self.admission.note_completed("others", 0.1)
        self.begin_stop()
        self.assertTrue(self.may_begin(2.4))
        self.assertFalse(self.may_begin(2.6))

    def test_late_request_is_refused_however_short_others_of_its_route_were(self) -> None:
        """Guards against late requests that last longer than earlier ones and are cut off."""
        self.admission.note_completed(ROUTE.name, 0.1)
        self.begin_stop()
        self.assertTrue(self.may_begin(2.9))
        for after_s in (3.0, 3.06, 5.3, 7.3):
            self.assertFalse(self.may_begin(after_s))

    def test_request_that_cannot_be_repeated_needs_twice_the_time(self) -> None:
        """Guards against a request that is lost for good as a stopping daemon cuts it off."""
        for each in (AT_MOST_ONCE, PLAIN_STREAM, RESUMABLE):
            self.admission.note_completed(each.name, 3.0)
        self.begin_stop()
        for unrepeatable in (AT_MOST_ONCE, PLAIN_STREAM):
            self.assertTrue(self.may_begin(1.3, on_route=unrepeatable))
            self.assertFalse(self.may_begin(1.5, on_route=unrepeatable))
            self.assertTrue(self.may_begin(1.5, timeout_s=5.0, on_route=unrepeatable))
            self.assertFalse(self.may_begin(3.0, on_route=unrepeatable))
        self.assertTrue(self.may_begin(2.9, on_route=RESUMABLE))
        self.assertFalse(self.may_begin(3.0, on_route=RESUMABLE))

    def test_another_stop_signal_does_not_begin_the_estimates_again(self) -> None:
        """Guards against late requests that are taken after a second signal."""
        self.admission.note_completed(ROUTE.name, 0.1)
        self.begin_stop()
        self.admission.begin_stop(STOP_S + 3.0, ENDS_AT_S)
        self.assertFalse(self.may_begin(3.1))

    def test_estimates_follow_a_long_and_a_short_grace(self) -> None:
        """Guards against a bound on what is taken that fits one grace time alone."""
        self.admission.note_completed(ROUTE.name, 0.5)
        self.admission.begin_stop(STOP_S, STOP_S + 30.0)
        self.assertTrue(self.may_begin(20.0))
        self.assertFalse(self.may_begin(22.0))
        short = StopAdmission()
        short.note_completed(ROUTE.name, 0.5)
        short.begin_stop(STOP_S, STOP_S + 1.4)
        self.assertTrue(short.may_begin(ROUTE, STOP_S + 0.8, STOP_S + TIMEOUT_S))
        self.assertFalse(short.may_begin(ROUTE, STOP_S + 1.0, STOP_S + TIMEOUT_S))

    def test_reply_at_the_deadline_has_time_to_leave(self) -> None:
        """Guards against a final reply that is due as the process ends."""
        self.begin_stop()
        self.assertTrue(self.may_begin(3.0, timeout_s=4.25))
        self.assertFalse(self.may_begin(3.0, timeout_s=4.35))

    def test_former_durations_are_forgotten(self) -> None:
        self.admission.note_completed(ROUTE.name, 7.9)
        for _ in range(DURATIONS_KEPT):
            self.admission.note_completed(ROUTE.name, 1.0)
        self.begin_stop()
        self.assertTrue(self.may_begin(2.9))

    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_ROUTES + 1):
            self.admission.note_completed(f"route {number}", 1.0)
        self.begin_stop()
        self.assertFalse(self.may_begin(0.0, on_route=replace(ROUTE, name="route 0")))
        self.assertTrue(self.may_begin(0.0, on_route=replace(ROUTE, name="route 1")))


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
