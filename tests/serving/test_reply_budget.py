"""What the replies of all workers may take together."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from mountstand.serving.reply_budget import (
    EVENT_INTERVAL_S,
    USUAL_EVENTS,
    USUAL_REPLY_BYTES,
    ReplyBudget,
)
from mountstand.serving.reply_relay import MAX_BUFFERED_REPLY_BYTES
from tests.serving.test_forwarder import AT_MOST_ONCE, REPEATABLE, RESUMABLE, ForwarderHarness
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Received, event, head, stream, whole

LARGE = b"x" * (2 * USUAL_REPLY_BYTES)


class Memory(TestCase):
    def test_only_large_replies_give_memory_back(self) -> None:
        """Guards against sound replies that are broken off beside a flood."""
        budget = ReplyBudget()
        budget.max_held_bytes = 3 * USUAL_REPLY_BYTES
        with budget.holding() as large, budget.holding() as usual:
            large.set(2 * USUAL_REPLY_BYTES)
            usual.set(USUAL_REPLY_BYTES)
            self.assertFalse(large.is_too_large)
            usual.set(USUAL_REPLY_BYTES)
            with budget.holding() as third:
                third.set(1)
                self.assertTrue(large.is_too_large)
                self.assertFalse(usual.is_too_large)
            self.assertFalse(large.is_too_large)
        self.assertFalse(budget.is_exhausted)

    def test_large_body_is_passed_on_early_while_memory_is_short(self) -> None:
        """Guards against bodies that are kept whole however many there are."""

        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (whole(LARGE),)) as harness:
                harness.fleet.connections.reply_budget.max_held_bytes = 0
                self.assertEqual((200, LARGE, True), await harness.send_request())
                self.assertEqual((200, LARGE, True), await harness.send_request("r2"))

        run(scenario())

    def test_large_failure_is_not_passed_on_while_another_worker_may_be_tried(self) -> None:
        """Guards against a caller who gets a part of a failure where a success was to be had."""

        async def scenario() -> None:
            for body in (LARGE, b"x" * (2 * MAX_BUFFERED_REPLY_BYTES)):
                failure = whole(body, "500 Internal Server Error")
                async with ForwarderHarness(REPEATABLE, (failure,), (whole(b"good"),)) as harness:
                    harness.fleet.connections.reply_budget.max_held_bytes = 0
                    harness.fleet.directory.workers["w1"].in_flight = 3
                    self.assertEqual((200, b"good", True), await harness.send_request())

        run(scenario())

    def test_stream_with_a_large_event_goes_on_elsewhere_while_memory_is_short(self) -> None:
        """Guards against parts of events that are kept however many there are."""

        async def large_event(request: Received, writer: asyncio.StreamWriter) -> None:
            writer.write(head(request, "200 OK", "Content-Type: text/event-stream"))
            writer.write(b"data: " + LARGE)
            await request.caller_left.wait()

        async def scenario() -> None:
            async with ForwarderHarness(RESUMABLE, (large_event,), (stream(4),)) as harness:
                harness.fleet.connections.reply_budget.max_held_bytes = 0
                harness.fleet.directory.workers["w1"].in_flight = 3
                expected = b"".join(event(n) for n in range(1, 5))
                self.assertEqual((200, expected, True), await harness.send_request())
                line = harness.fleet.log.lines("attempt_failed")[0]
                self.assertEqual("no memory for a large event", line["cause"])

        run(scenario())


class Time(TestCase):
    def test_streams_with_many_events_take_turns(self) -> None:
        """Guards against a daemon that is busy with a few streams alone."""

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            budget = ReplyBudget()
            began_s = loop.time()
            await budget.give_way(USUAL_EVENTS)
            self.assertLess(loop.time() - began_s, 0.02)
            count = 5000
            await asyncio.gather(budget.give_way(count), budget.give_way(count))
            self.assertGreaterEqual(loop.time() - began_s, 2 * count * EVENT_INTERVAL_S)

        run(scenario())
