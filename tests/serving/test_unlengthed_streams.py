"""Streams whose head doesn't tell where they end, or tells it of one run alone."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from testtools import TestCase

from mountstand.transport.sockets import reset
from tests.serving.test_forwarder import RESUMABLE, ForwarderHarness
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Answer, Received, event, head, stream

EVENTS = 6
EVENTS_BEFORE_END = 3
WHOLE = b"".join(event(n) for n in range(1, EVENTS + 1))


def without_length(events: int, then: Callable[[], Awaitable[None]]) -> Answer:
    """Answer with some events and no length, close the connection, and do something then."""

    async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, "200 OK", "Content-Type: text/event-stream"))
        for number in range(1, events + 1):
            writer.write(event(number))
        await writer.drain()
        await asyncio.sleep(0.02)
        writer.close()
        await then()

    return answer


class EndsWithWorker(TestCase):
    def check_goes_on(self, end: Callable[[ForwarderHarness], Awaitable[None]]) -> None:
        """Check that a stream goes on elsewhere if its worker ends between two events.

        ``end`` ends the first worker; the connection is closed in order before.
        """

        async def scenario() -> None:
            part = without_length(EVENTS_BEFORE_END, lambda: end(harness))
            scripts: list[tuple[Answer, ...]] = [(part,), (stream(EVENTS),)]
            async with ForwarderHarness(RESUMABLE, *scripts) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                status, body, complete = await harness.send_request()
                self.assertEqual((200, WHOLE, True), (status, body, complete))
                self.assertEqual(["w0", "w1"], harness.fleet.received())

        run(scenario())

    def test_stream_of_a_leaving_worker_that_ended_goes_on(self) -> None:
        """Guards against a part of a stream that ends as complete at a worker that leaves."""

        async def end(harness: ForwarderHarness) -> None:
            now_s = asyncio.get_running_loop().time()
            harness.fleet.directory.remove("w0", 1, now_s)
            await harness.fleet.workers[0].stop()

        self.check_goes_on(end)

    def test_stream_of_a_worker_that_ended_behind_a_forwarder_goes_on(self) -> None:
        """Guards against the same where a port forwarder still accepts the worker's connections."""

        async def end(harness: ForwarderHarness) -> None:
            worker = harness.fleet.workers[0]
            await worker.stop()

            async def turn_away(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                reset(writer.transport)

            server = await asyncio.start_server(turn_away, "127.0.0.1", worker.port)
            self.addCleanup(server.close)

        self.check_goes_on(end)


class EndsWhole(TestCase):
    def check_whole(self, prepare: Callable[[ForwarderHarness], Awaitable[None]]) -> None:
        """Check that a stream that its worker outlived ends as complete, after one run."""

        async def scenario() -> None:
            whole = without_length(EVENTS, lambda: prepare(harness))
            scripts: list[tuple[Answer, ...]] = [(whole,), (stream(EVENTS),)]
            async with ForwarderHarness(RESUMABLE, *scripts) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                self.assertEqual((200, WHOLE, True), await harness.send_request())
                self.assertEqual(["w0"], harness.fleet.received())

        run(scenario())

    def test_stream_of_a_worker_that_serves_on_is_whole(self) -> None:
        """Guards against whole streams that are broken off, or run again, for want of a length."""

        async def go_on(harness: ForwarderHarness) -> None:
            pass

        self.check_whole(go_on)

    def test_stream_of_a_leaving_worker_that_serves_on_is_whole(self) -> None:
        """Guards against the same at workers that have yet to leave."""

        async def leave(harness: ForwarderHarness) -> None:
            now_s = asyncio.get_running_loop().time()
            harness.fleet.directory.remove("w0", 1, now_s)

        self.check_whole(leave)

    def test_stream_of_a_full_worker_is_whole(self) -> None:
        """Guards against the same at a worker that turns connections away but sends on others."""

        async def turn_away(harness: ForwarderHarness) -> None:
            stand_in = harness.fleet.workers[0]
            worker = harness.fleet.directory.workers["w0"]
            await stand_in.stop()

            async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                reset(writer.transport)
                worker.note_reply(asyncio.get_running_loop().time())

            server = await asyncio.start_server(answer, "127.0.0.1", stand_in.port)
            self.addCleanup(server.close)

        self.check_whole(turn_away)


class ToldLength(TestCase):
    def test_length_of_the_first_run_does_not_cut_off_what_another_worker_goes_on_with(
        self,
    ) -> None:
        """Guards against an answer that ends as complete ahead of its last event."""

        async def scenario() -> None:
            async def broken(request: Received, writer: asyncio.StreamWriter) -> None:
                length = f"Content-Length: {len(WHOLE)}"
                writer.write(head(request, "200 OK", "Content-Type: text/event-stream", length))
                writer.write(event(1))
                await writer.drain()
                await asyncio.sleep(0.02)
                reset(writer.transport)

            async def wordy(request: Received, writer: asyncio.StreamWriter) -> None:
                rest = b"".join(
                    b"id: %d\ndata: a longer piece %d\n\n" % (number, number)
                    for number in range(request.resume_after + 1, EVENTS + 1)
                )
                length = f"Content-Length: {len(rest)}"
                writer.write(head(request, "200 OK", "Content-Type: text/event-stream", length))
                writer.write(rest)

            async with ForwarderHarness(RESUMABLE, (broken,), (wordy,)) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                _, body, complete = await harness.send_request()
                self.assertEqual((EVENTS, True), (body.count(b"\n\n"), complete))

        run(scenario())
