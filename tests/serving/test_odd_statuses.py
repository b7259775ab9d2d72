"""Answers whose status is none of HTTP: no caller gets them, and other workers are tried."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from mountstand.engines.http_backend import HttpBackend
from mountstand.errors import BackendFailed
from tests.jobs.test_jobs import JobTestCase, submission
from tests.serving.test_forwarder import AT_MOST_ONCE, REPEATABLE, RESUMABLE, ForwarderHarness
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Answer, Received, head, stream, whole
from tests.unit.test_cut_replies import REQUEST, TIMEOUT_S, cutting, machine

ODD_STATUSES = ("000", "001", "099", "101", "104", "199", "600", "999")


def odd(status: str) -> Answer:
    """Answer with a whole body, whose head has a status that may be none of HTTP."""
    return whole(b"not an answer", f"{status} Odd")


class OnlineRequests(TestCase):
    def test_odd_status_is_no_answer(self) -> None:
        """Guards against a worker in trouble whose bytes a caller gets as an answer."""
        for status in ODD_STATUSES:
            for on_route, tries, expected in ((REPEATABLE, 2, 200), (AT_MOST_ONCE, 1, 502)):
                with self.subTest(status, route=on_route.name):

                    async def scenario(
                        status: str = status,
                        on_route=on_route,  # type: ignore[no-untyped-def]
                        tries: int = tries,
                        expected: int = expected,
                    ) -> None:
                        workers = ((odd(status),), (whole(b"good"),))
                        async with ForwarderHarness(on_route, *workers) as harness:
                            harness.fleet.directory.workers["w1"].in_flight = 3
                            answered, body, _ = await harness.send_request()
                            self.assertEqual(expected, answered)
                            self.assertNotIn(b"not an answer", body)
                            self.assertEqual(tries, len(harness.fleet.received()))

                    run(scenario())

    def test_stream_with_an_odd_status_is_begun_elsewhere(self) -> None:
        """Guards against events that are relayed below a status that says nothing."""

        async def events(request: Received, writer: asyncio.StreamWriter) -> None:
            content_type = "Content-Type: text/event-stream"
            writer.write(head(request, "000 Odd", content_type, "Content-Length: 12"))
            writer.write(b"data: odd\n\n\n")

        async def scenario() -> None:
            async with ForwarderHarness(RESUMABLE, (events,), (stream(2),)) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 3
                status, body, complete = await harness.send_request()
                self.assertEqual((200, True), (status, complete))
                self.assertNotIn(b"odd", body)

        run(scenario())

    def test_interim_answers_are_skipped(self) -> None:
        """Guards against an answer that is broken off for what comes before it."""

        async def hinted(request: Received, writer: asyncio.StreamWriter) -> None:
            for status in ("100 Continue", "102 Processing", "103 Early Hints"):
                writer.write(f"HTTP/1.1 {status}\r\nLink: x\r\n\r\n".encode())
            await whole(b"good")(request, writer)

        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (hinted,)) as harness:
                self.assertEqual((200, b"good"), (await harness.send_request())[:2])

        run(scenario())


class Items(JobTestCase):
    def test_item_is_tried_again_after_an_odd_status(self) -> None:
        """Guards against an item whose result is what a worker in trouble wrote."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertEqual(4, len(self.fleet.workers[0].received))

        self.run_scenario(work, (odd("000"), odd("199"), odd("999"), stream(4)))


class OwnInterface(TestCase):
    def test_odd_status_is_a_failure_of_the_back_end(self) -> None:
        """Guards against callers of the own interface that get an odd status as an answer."""
        for status in ODD_STATUSES:
            reply = f"HTTP/1.1 {status} Odd\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
            with self.subTest(status), cutting(reply.encode()) as server:
                self.assertRaises(
                    BackendFailed, HttpBackend().call, machine(server), REQUEST, TIMEOUT_S
                )
