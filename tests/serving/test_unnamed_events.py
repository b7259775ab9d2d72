"""Events that have no id: no run can go on after them."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from tests.jobs.test_jobs import TEXT, JobTestCase, submission
from tests.serving.test_forwarder import RESUMABLE, ForwarderHarness
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Answer, Received, chunk, event, head, reset, stream

COMMENT = b": still here\n\n"
UNNAMED = b"data: piece 3\n\n"
EVENTS = 4


def broken_after(*pieces: bytes) -> Answer:
    """Answer with pieces of a stream, and break off."""

    async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
        encoding = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(head(request, "200 OK", *encoding))
        for piece in pieces:
            writer.write(chunk(piece))
        await writer.drain()
        await asyncio.sleep(0.02)
        await reset(request, writer)

    return answer


class Streams(TestCase):
    def read(self, *pieces: bytes) -> tuple[bytes, bool]:
        """Return what a caller gets if the first worker breaks off after some pieces."""

        async def scenario() -> tuple[bytes, bool]:
            scripts = ((broken_after(*pieces),), (stream(EVENTS),))
            async with ForwarderHarness(RESUMABLE, *scripts) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                _, body, complete = await harness.send_request()
                return body, complete

        return run(scenario())

    def test_stream_does_not_begin_again_after_events_without_ids(self) -> None:
        """Guards against events that stand twice since a second run began anew."""
        sent = b"data: piece 1\n\n"
        self.assertEqual((sent, False), self.read(sent))

    def test_stream_does_not_go_on_after_an_event_without_id(self) -> None:
        """Guards against an event that stands twice since a second run goes on before it."""
        sent = (event(1), event(2), UNNAMED)
        self.assertEqual((b"".join(sent), False), self.read(*sent))

    def test_stream_goes_on_after_a_comment(self) -> None:
        """Guards against streams that end for a comment, which is no event."""
        sent = (event(1), event(2), COMMENT)
        rest = b"".join(event(n) for n in range(3, EVENTS + 1))
        self.assertEqual((b"".join(sent) + rest, True), self.read(*sent))


class Items(JobTestCase):
    def check_text(self, *pieces: bytes) -> None:
        """Check that an item has its whole text if its first run breaks off after some pieces."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            found = await daemon.wait_for_results(1)
            self.assertEqual(("completed", TEXT), found[0][1:])

        self.run_scenario(work, (broken_after(*pieces), stream(EVENTS)))

    def test_comment_is_no_part_of_the_text(self) -> None:
        """Guards against a text that begins again after a comment, or has an empty line for it."""
        self.check_text(event(1), COMMENT, event(2), COMMENT)

    def test_event_without_id_does_not_stand_twice(self) -> None:
        """Guards against a run that begins anew behind the output of the run before it."""
        self.check_text(event(1), event(2), UNNAMED)
