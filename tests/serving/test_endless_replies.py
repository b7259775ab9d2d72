"""Workers that send bytes without end: the reply is broken off, and other workers are tried.

Guards against memory that grows with the bytes, and requests and items that wait for their end.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import ClassVar

from testtools import TestCase

from mountstand.jobs.model import ItemState
from mountstand.serving.configuration import Route
from tests.jobs.test_jobs import BATCH, JobTestCase, submission
from tests.serving.test_forwarder import REPEATABLE, RESUMABLE, ForwarderHarness
from tests.stand_ins.harness import configuration, eventually, run
from tests.stand_ins.worker import Answer, Received, chunk, event, head, stream, whole

MIB = 1024 * 1024
MAX_SENT_BYTES = 8 * MIB
"""Bytes that a worker may send before the connection is closed: those that are read, and those in
the buffers of the two sockets."""

SERVED_WITHIN_S = 2.0
STREAM_HEAD = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
OTHER_REPLY = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"


class Endless:
    """Answers with ``start`` and then ``piece`` again and again, until the caller closes."""

    def __init__(self, start: bytes, piece: bytes, *extra_headers: str) -> None:
        self._start = start
        self._piece = piece
        self._extra_headers = extra_headers
        self.sent_bytes = 0

    async def answer(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Send until the connection breaks."""
        if self._extra_headers:
            writer.write(head(request, "200 OK", *self._extra_headers))
        writer.write(self._start)
        while not writer.transport.is_closing():
            writer.write(self._piece)
            self.sent_bytes += len(self._piece)
            await writer.drain()
            await asyncio.sleep(0)
        await request.caller_left.wait()


class Trickle:
    """Answers with a stream's head and then a byte now and then, which never make an event."""

    GAP_S = 0.05

    async def answer(self, request: Received, writer: asyncio.StreamWriter) -> None:
        """Send until the connection breaks."""
        writer.write(head(request, "200 OK", *STREAM_HEAD))
        while not request.caller_left.is_set():
            writer.write(chunk(b"x"))
            await asyncio.sleep(self.GAP_S)


BLOCK = b"x" * 65536
HEADS = {
    "a header line": Endless(b"HTTP/1.1 200 OK\r\nx: ", BLOCK),
    "headers": Endless(b"HTTP/1.1 200 OK\r\n", b"name: value\r\n" * 4000),
    "a status line": Endless(b"HTTP/1.1 200 ", BLOCK),
    "interim answers": Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "an answer to another request": Endless(OTHER_REPLY, chunk(BLOCK)),
}
STREAMS = {
    "an event": Endless(b"", chunk(BLOCK), *STREAM_HEAD),
    "an event after others": Endless(chunk(event(1)), chunk(BLOCK), *STREAM_HEAD),
    "trailers": Endless(chunk(event(1)) + b"0\r\n", b"name: value\r\n" * 4000, *STREAM_HEAD),
    "a chunk's extension": Endless(chunk(event(1)) + b"5;", BLOCK, *STREAM_HEAD),
}
SURPLUS = {
    "surplus bytes": Endless(b"ok", BLOCK, "Content-Length: 2"),
    "surplus answers": Endless(b"ok" + OTHER_REPLY, chunk(BLOCK), "Content-Length: 2"),
}


class OnlineRequests(TestCase):
    def send(self, route: Route, endless: Endless, good: Answer, expected: bytes) -> None:
        async def scenario() -> None:
            endless.sent_bytes = 0
            async with ForwarderHarness(route, (endless.answer,), (good,)) as harness:
                # The request goes to the endless worker first.
                harness.fleet.directory.workers["w1"].in_flight = 3
                started_s = asyncio.get_running_loop().time()
                status, body, complete = await harness.send_request()
                took_s = asyncio.get_running_loop().time() - started_s
                self.assertEqual((200, expected, True), (status, body, complete))
                self.assertTrue(took_s < SERVED_WITHIN_S, took_s)
                self.assertEqual(1, len(harness.workers[0].received))
                self.assertTrue(endless.sent_bytes <= MAX_SENT_BYTES, endless.sent_bytes)

        run(scenario())

    def test_endless_head_is_broken_off_and_another_worker_serves(self) -> None:
        for name, endless in HEADS.items():
            with self.subTest(name):
                self.send(REPEATABLE, endless, whole(b"good"), b"good")

    def test_endless_stream_is_broken_off_and_resumed(self) -> None:
        whole_stream = b"".join(event(n) for n in range(1, 5))
        for name, endless in STREAMS.items():
            with self.subTest(name):
                self.send(RESUMABLE, endless, stream(4), whole_stream)

    def test_stream_that_trickles_without_an_event_is_resumed(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(RESUMABLE, (Trickle().answer,), (stream(4),)) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 3
                status, body, complete = await harness.send_request()
                expected = b"".join(event(n) for n in range(1, 5))
                self.assertEqual((200, expected, True), (status, body, complete))

        run(scenario())

    def test_bytes_after_a_whole_answer_end_the_connection(self) -> None:
        for name, endless in SURPLUS.items():
            with self.subTest(name):
                self.send(REPEATABLE, endless, whole(b"unused"), b"ok")


class BatchItems(JobTestCase):
    ENDLESS_EVENTS: ClassVar[dict[str, Endless]] = {
        "events": Endless(b"", chunk(event(1) * 4000), *STREAM_HEAD),
        "empty events": Endless(b"", chunk(b"\n\n" * 30000), *STREAM_HEAD),
    }

    def check(self, answer: Answer) -> None:
        """Let an item get an answer without end first, and complete at its next attempt."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertEqual(2, len(self.fleet.workers[0].received))

        self.run_scenario(work, (answer, stream(4)))

    def test_answer_without_end_is_broken_off_and_the_item_is_retried(self) -> None:
        for name, endless in {**HEADS, **STREAMS, **self.ENDLESS_EVENTS}.items():
            with self.subTest(name):
                endless.sent_bytes = 0
                self.check(endless.answer)
                self.assertTrue(endless.sent_bytes <= 2 * MAX_SENT_BYTES, endless.sent_bytes)

    def test_answer_that_trickles_is_broken_off_and_the_item_is_retried(self) -> None:
        self.check(Trickle().answer)

    def test_item_that_still_runs_is_given_up_with_its_retention(self) -> None:
        """An answer whose events go on for ever must not keep the item open."""

        async def work() -> None:
            daemon = self.daemon()
            brief = replace(BATCH, retention_s=1.0)
            daemon.configuration = configuration(brief)
            daemon.now_ms = 1000
            await daemon.submit(submission(items=1))
            await eventually(lambda: self.fleet.workers[0].received, "item runs")
            await asyncio.sleep(1.0)
            daemon.now_ms = 2100
            ((_, state, _),) = await daemon.wait_for_results(1)
            self.assertEqual(ItemState.FAILED.value, state)

        self.run_scenario(work, (stream(100, gap_s=0.1),))
