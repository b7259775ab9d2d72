"""Tests with workers that drop idle connections before their announced keep-alive timeout."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from mountstand.serving.configuration import RequestKind
from mountstand.serving.idle_limit import DOUBLING_TIME_S, MIN_IDLE_LIMIT_S, IdleLimit
from tests.serving.test_forwarder import ForwarderHarness
from tests.stand_ins.harness import route, run
from tests.stand_ins.worker import Answer, Received, reset, whole

DROP_AFTER_S = 0.3


def dropping_idle_connections() -> Answer:
    """Return a handler that resets requests on connections idle for over ``DROP_AFTER_S``.

    It does not run these requests.
    """
    answered_at_s: dict[asyncio.StreamWriter, float] = {}

    async def answer(req: Received, writer: asyncio.StreamWriter) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - answered_at_s.get(writer, now_s) > DROP_AFTER_S:
            await reset(req, writer)
            return
        await whole()(req, writer)
        answered_at_s[writer] = now_s

    return answer


class LimitOverTime(TestCase):
    def test_limit_falls_immediately_and_rises_over_time(self) -> None:
        limit = IdleLimit()
        self.assertEqual(float("inf"), limit.value_s(5.0))
        limit.note_reset(0.4, 10.0)
        self.assertAlmostEqual(0.2, limit.value_s(10.0))
        limit.note_reset(1.0, 10.0)
        self.assertAlmostEqual(
            0.2, limit.value_s(10.0), msg="a reset after a longer idle time changes nothing"
        )
        self.assertAlmostEqual(0.4, limit.value_s(10.0 + DOUBLING_TIME_S))
        limit.note_reset(0.0, 10.0)
        self.assertAlmostEqual(MIN_IDLE_LIMIT_S, limit.value_s(10.0))

    def test_large_clock_values_do_not_overflow(self) -> None:
        years_s = 1e9
        limit = IdleLimit()
        self.assertEqual(float("inf"), limit.value_s(years_s))
        limit.note_reset(0.4, 0.0)
        self.assertLess(limit.value_s(years_s), float("inf"))
        limit.note_reset(0.4, years_s)
        self.assertAlmostEqual(0.2, limit.value_s(years_s))


class AtMostOnceRequests(TestCase):
    def test_only_the_first_request_fails_on_a_dropped_connection(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(
                route(RequestKind.AT_MOST_ONCE), (dropping_idle_connections(),)
            ) as harness:
                statuses = []
                for i in range(5):
                    worker = next(iter(harness.fleet.directory.workers.values()))
                    worker.last_contact_s = asyncio.get_running_loop().time()
                    statuses.append((await harness.send_request(f"r{i}"))[0])
                    await asyncio.sleep(DROP_AFTER_S + 0.1)
                self.assertEqual([200, 502, 200, 200, 200], statuses)

        run(scenario())
