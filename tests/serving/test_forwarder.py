"""Retries, resumption and final answers of online requests, by stand-in workers."""

from __future__ import annotations

import asyncio
from typing import Any

from testtools import TestCase

from mountstand.limits.sharing import LimitSharing
from mountstand.serving.cold_workers import ColdStartLimit, ColdStartShares, ColdStartTolerance
from mountstand.serving.configuration import RequestKind, Route
from mountstand.serving.forwarder import Forwarder
from mountstand.serving.prompt import EMPTY_PROMPT, Prompt, PromptPart
from mountstand.serving.worker_protocol import Call
from mountstand.transport.http_client import ClientConnection, ConnectFailed
from mountstand.transport.http_server import HttpServer, Responder, ServerLimits, ServerRequest
from tests.stand_ins.harness import HOST, Fleet, eventually, route, run
from tests.stand_ins.worker import (
    Answer,
    StandInWorker,
    event,
    not_run,
    other_worker,
    reset,
    silence,
    stream,
    whole,
)


class ForwarderHarness:
    """A caller's side before a fleet of stand-in workers."""

    def __init__(self, used: Route, *scripts: tuple[Answer, ...]) -> None:
        self.route = used
        self.workers = [StandInWorker(f"w{n}", *script) for n, script in enumerate(scripts)]
        self.fleet = Fleet(*self.workers)
        self.deadline_s: float | None = None
        self.prompt = EMPTY_PROMPT

    async def __aenter__(self) -> ForwarderHarness:
        await self.fleet.__aenter__()
        fleet = self.fleet
        self.forwarder = Forwarder(
            fleet.directory,
            fleet.connections,
            fleet.protocol,
            fleet.service_chooser,
            fleet.queue,
            fleet.batch_scheduler,
            fleet.quarantine,
            fleet.metrics,
            fleet.log,
        )
        self.server = HttpServer(self._handle, ServerLimits())
        self.port = await self.server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *error: object) -> None:
        self.server.stop_listening()
        await self.fleet.__aexit__()

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        call = Call(
            request.headers.get("request-id") or "",
            HOST,
            request.method,
            request.target,
            tuple(request.headers.end_to_end()),
            request.body,
            self.prompt,
        )
        limit_s = self.deadline_s or self.route.timeout_s
        deadline_s = request.received_at_s + limit_s
        await self.forwarder.forward(self.route, call, responder, request.received_at_s, deadline_s)

    async def send_request(self, request_id: str = "r1") -> tuple[int, bytes, bool]:
        """Return status, body, and whether the answer came whole."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"POST /x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        writer.write((head + "Content-Length: 4\r\n\r\nbody").encode())
        try:
            raw_head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, b"", False
        status = int(raw_head.split(b" ")[1])
        body, complete = await self._read_body(reader, raw_head.lower())
        self.last_head = raw_head.decode()
        writer.close()
        return status, body, complete

    async def _read_body(self, reader: asyncio.StreamReader, head: bytes) -> tuple[bytes, bool]:
        body = b""
        try:
            if b"content-length:" in head:
                length = int(head.split(b"content-length:")[1].split(b"\r\n")[0])
                return await reader.readexactly(length), True
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += piece[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False


REPEATABLE = route(RequestKind.REPEATABLE)
ONCE = route(RequestKind.AT_MOST_ONCE)
PLAIN_STREAM = route(RequestKind.STREAM)
RESUMABLE = route(RequestKind.STREAM, resumable=True, event_gap_s=0.2, max_attempts=3)
BAD = whole(b"no", "500 Internal Server Error")

# name: (route, scripts of worker 0 and of all others, status, runs at workers that count)
TABLE: dict[str, tuple[Route, Answer, Answer, int, int]] = {
    "a full worker: another is asked": (ONCE, not_run(), whole(), 200, 2),
    "another worker at the address": (ONCE, other_worker(), whole(), 200, 2),
    "repeatable, reset: another is asked": (REPEATABLE, reset, whole(), 200, 2),
    "repeatable, failed: another is asked": (REPEATABLE, BAD, whole(), 200, 2),
    "once, reset: may have run, ends there": (ONCE, reset, reset, 502, 1),
    "once, failed: relayed as it is": (ONCE, BAD, BAD, 500, 1),
    "repeatable, all reset: ends within its attempts": (REPEATABLE, reset, reset, 502, 2),
    "all full: refused as not run": (ONCE, not_run(), not_run(), 503, 3),
    "stream, reset before the head": (PLAIN_STREAM, reset, reset, 502, 1),
}


class Retries(TestCase):
    def test_table(self) -> None:
        for name, (used, first, others, status, received) in TABLE.items():
            with self.subTest(name):
                run(self._case(name, used, first, others, status, received))

    async def _case(
        self, name: str, used: Route, first: Answer, others: Answer, status: int, received: int
    ) -> None:
        async with ForwarderHarness(used, (first,), (others,), (others,)) as harness:
            harness.fleet.directory.workers["w1"].in_flight = 1
            harness.fleet.directory.workers["w2"].in_flight = 1
            found = await harness.send_request()
            self.assertEqual(status, found[0], name)
            self.assertEqual(received, len(harness.fleet.received()), name)
            self.assertEqual(
                len(set(harness.fleet.received())), received, f"{name}: no worker twice"
            )
            if status == 503:
                self.assertIn("Retry-After: ", harness.last_head)

    def test_each_dispatch_names_its_worker_and_what_time_is_left(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(ONCE, (whole(),)) as harness:
                await harness.send_request()
                received = harness.workers[0].received[0]
                self.assertEqual("w0", received.headers.get("expect-instance"))
                self.assertEqual("r1", received.headers.get("request-id"))
                left_ms = int(received.headers.get("deadline-ms") or 0)
                self.assertTrue(2000 < left_ms <= 3000, left_ms)
                self.assertEqual(b"body", received.body)

        run(scenario())

    def test_unreachable_worker_costs_no_run(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(ONCE, (whole(),), (whole(),)) as harness:
                await harness.workers[0].stop()
                harness.fleet.directory.workers["w1"].in_flight = 1
                self.assertEqual(200, (await harness.send_request())[0])
                self.assertEqual(["w1"], harness.fleet.received())

        run(scenario())

    def test_lone_worker_that_could_not_be_reached_is_tried_again(self) -> None:
        """Found by a score: one lost connect on a lossy link refused the request."""

        async def scenario() -> None:
            async with ForwarderHarness(ONCE, (whole(),)) as harness:
                acquire = harness.fleet.connections.acquire
                failures = iter([ConnectFailed("lost")])

                async def lossy(*args: Any, **options: Any) -> ClientConnection:
                    for failure in failures:
                        raise failure
                    return await acquire(*args, **options)

                harness.fleet.connections.acquire = lossy  # type: ignore[method-assign]
                self.assertEqual(200, (await harness.send_request())[0])
                line = harness.fleet.log.lines("request_ended")[0]
                self.assertEqual("ok", line["outcome"])

        run(scenario())

    def test_no_worker_at_all_is_refused_at_once(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(ONCE) as harness:
                began_s = asyncio.get_running_loop().time()
                self.assertEqual(503, (await harness.send_request())[0])
                self.assertLess(asyncio.get_running_loop().time() - began_s, 0.5)

        run(scenario())


class Reading(TestCase):
    """A prompt counts as unread at its worker until the first event, however the request ends."""

    PROMPT = Prompt((PromptPart("aa", 100), PromptPart("bb", 400)))

    def pending_prefill_tokens(self, harness: ForwarderHarness) -> int:
        return sum(
            worker.pending_prefill_tokens for worker in harness.fleet.directory.workers.values()
        )

    def test_until_the_first_event(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(PLAIN_STREAM, (stream(3, gap_s=0.3),)) as harness:
                harness.prompt = self.PROMPT
                asked = asyncio.create_task(harness.send_request())
                worker = harness.fleet.directory.workers["w0"]
                await eventually(
                    lambda: worker.last_contact_s > 0 and not worker.pending_prefill_tokens,
                    "it begins",
                )
                self.assertEqual(1, worker.in_flight)
                await asked

        run(scenario())

    def test_while_the_worker_says_nothing(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(ONCE, (silence,)) as harness:
                harness.prompt = self.PROMPT
                harness.deadline_s = 0.5
                asked = asyncio.create_task(harness.send_request())
                await eventually(lambda: self.pending_prefill_tokens(harness) == 500, "it waits")
                self.assertEqual(504, (await asked)[0])
                self.assertEqual(0, self.pending_prefill_tokens(harness))

        run(scenario())

    def test_no_longer_than_the_attempt_that_failed(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (reset,), (reset,)) as harness:
                harness.prompt = self.PROMPT
                await harness.send_request()
                self.assertEqual(0, self.pending_prefill_tokens(harness))

        run(scenario())


class FinalAnswers(TestCase):
    def test_request_that_outlasts_its_deadline_is_answered_then(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(ONCE, (silence,)) as harness:
                harness.deadline_s = 0.3
                began_s = asyncio.get_running_loop().time()
                status, _, _ = await harness.send_request()
                took_s = asyncio.get_running_loop().time() - began_s
                self.assertEqual(504, status)
                self.assertTrue(0.25 < took_s < 0.6, took_s)
                received = harness.workers[0].received[0]
                await eventually(received.caller_left.is_set, "the worker's stream is closed", 0.5)

        run(scenario())

    def test_worker_is_left_when_the_caller_leaves(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(ONCE, (silence,)) as harness:
                _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(f"GET /x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r\r\n\r\n".encode())
                await eventually(lambda: harness.workers[0].received, "the worker has it")
                writer.close()
                received = harness.workers[0].received[0]
                await eventually(received.caller_left.is_set, "the worker is left", 0.5)

        run(scenario())


class Streams(TestCase):
    EXPECTED = b"".join(event(number) for number in range(1, 7))

    def send_request(
        self, used: Route, *scripts: tuple[Answer, ...]
    ) -> tuple[Any, ForwarderHarness]:
        async def scenario() -> tuple[Any, ForwarderHarness]:
            async with ForwarderHarness(used, *scripts) as harness:
                for number in range(1, len(harness.workers)):
                    harness.fleet.directory.workers[f"w{number}"].in_flight = number
                return await harness.send_request(), harness

        return run(scenario())

    def test_whole_stream_is_passed_on_as_it_is(self) -> None:
        found, _ = self.send_request(PLAIN_STREAM, (stream(6),))
        self.assertEqual((200, self.EXPECTED, True), found)

    def test_cut_stream_is_resumed_after_its_last_whole_event(self) -> None:
        found, harness = self.send_request(RESUMABLE, (stream(6, cut_after=3),), (stream(6),))
        self.assertEqual((200, self.EXPECTED, True), found)
        self.assertEqual(3, harness.workers[1].received[0].resume_after)
        self.assertIn("stamp-r1", harness.last_head)

    def test_stalled_stream_is_resumed_elsewhere(self) -> None:
        found, harness = self.send_request(RESUMABLE, (stream(6, gap_s=2.0),), (stream(6),))
        self.assertEqual((200, self.EXPECTED, True), found)
        self.assertEqual(1, harness.workers[1].received[0].resume_after)

    def test_cut_stream_that_may_not_be_resumed_does_not_look_whole(self) -> None:
        found, harness = self.send_request(PLAIN_STREAM, (stream(6, cut_after=3),), (stream(6),))
        status, body, complete = found
        self.assertEqual((200, False), (status, complete))
        self.assertEqual(b"".join(event(number) for number in range(1, 4)), body)
        self.assertEqual([], harness.workers[1].received)

    def test_attempts_bound_resumption(self) -> None:
        cut = stream(6, cut_after=0)
        found, harness = self.send_request(RESUMABLE, (cut,), (cut,), (cut,), (stream(6),))
        self.assertEqual(False, found[2])
        self.assertEqual(3, len(harness.fleet.received()))

    def test_silent_unreachable_worker_is_left_for_another(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(RESUMABLE, (silence,), (stream(6),)) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                asking = asyncio.create_task(harness.send_request())
                await eventually(lambda: harness.workers[0].received, "the worker has it")
                assert harness.workers[0]._server is not None
                harness.workers[0]._server.close()
                self.assertEqual((200, self.EXPECTED, True), await asking)

        run(scenario())


class Telling(TestCase):
    def test_each_end_is_one_line_with_its_inputs(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (reset,), (whole(),)) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                await harness.send_request()
                await eventually(lambda: harness.fleet.log.lines("request_ended"), "it is told")
                attempt = harness.fleet.log.lines("attempt_failed")[0]
                self.assertEqual(("r1", "w0", "may have run"), pick(attempt))
                ended = harness.fleet.log.lines("request_ended")[0]
                self.assertEqual(("r1", "w1", 200), (*pick(ended)[:2], ended["status"]))

        run(scenario())


def pick(line: dict[str, Any]) -> tuple[str, str, str]:
    """Return what identifies an attempt's line."""
    return line["request"], line["worker"], line["outcome"]


class FastFailures(TestCase):
    """A worker that fails within milliseconds must not look empty, and so draw the work of all."""

    USUAL_S = 0.6

    def left_counted(self, used: Route, *script: Answer) -> list[int]:
        """Return what is counted at a worker right after a request, and after the usual time."""

        async def scenario() -> list[int]:
            async with ForwarderHarness(used, script) as harness:
                harness.fleet.directory.chooser.durations.observe("llm", self.USUAL_S)
                await harness.send_request()
                worker = harness.fleet.directory.workers["w0"]
                counted = [worker.in_flight]
                await asyncio.sleep(self.USUAL_S + 0.1)
                return [*counted, worker.in_flight]

        return run(scenario())

    def test_a_failed_request_counts_for_as_long_as_requests_usually_take(self) -> None:
        cases = {
            "an answer of 500": (ONCE, BAD, [1, 0]),
            "a reset": (ONCE, reset, [1, 0]),
            "a stream that breaks off": (PLAIN_STREAM, stream(3, cut_after=1), [1, 0]),
            "success": (ONCE, whole(), [0, 0]),
            "a refusal": (ONCE, not_run(), [0, 0]),
            "a bad request": (ONCE, whole(b"", "422 Unprocessable Content"), [0, 0]),
        }
        for name, (used, answer, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, self.left_counted(used, answer), name)

    def test_failures_do_not_change_how_long_requests_usually_take(self) -> None:
        async def scenario() -> float:
            async with ForwarderHarness(ONCE, (BAD,)) as harness:
                durations = harness.fleet.directory.chooser.durations
                durations.observe("llm", self.USUAL_S)
                await harness.send_request()
                return durations.average_s("llm")

        self.assertEqual(self.USUAL_S, run(scenario()))

    def test_a_failing_worker_gets_no_more_than_its_share(self) -> None:
        async def scenario() -> int:
            good = stream(4, gap_s=0.1)
            async with ForwarderHarness(PLAIN_STREAM, (BAD,), (good,), (good,), (good,)) as harness:
                harness.fleet.directory.chooser.durations.observe("llm", 0.4)
                asked = []
                for number in range(24):
                    asked.append(asyncio.create_task(harness.send_request(f"r{number}")))
                    await asyncio.sleep(0.02)
                await asyncio.gather(*asked)
                return harness.fleet.received().count("w0")

        self.assertLessEqual(run(scenario()), 9)


class ColdWorkers(TestCase):
    """A worker that has just started gets what it bears, the rest goes elsewhere or nowhere."""

    def test_what_a_cold_worker_does_not_bear_goes_to_another_or_is_refused(self) -> None:
        async def body() -> None:
            async with ForwarderHarness(REPEATABLE, (whole(),)) as harness:
                fleet = harness.fleet
                limit_sharing = LimitSharing("test")
                limit_sharing.update_members(["test"], ["test"])
                sends = ColdStartShares(
                    limit_sharing, ColdStartTolerance(), float("-inf"), lambda: True
                )
                now_s = asyncio.get_running_loop().time()
                fleet.directory.set_cold_start_limits(
                    {"llm": ColdStartLimit(5.0, 2.0)}, sends, now_s
                )
                fleet.directory.workers["w0"].assume_restarted(now_s)
                statuses = [(await harness.send_request(f"r{n}"))[0] for n in range(2)]
                harness.deadline_s = 0.6
                statuses.append((await harness.send_request("r2"))[0])
                self.assertEqual([200, 200, 503], statuses)
                self.assertIn("retry-after", harness.last_head.lower())
                self.assertEqual(2, len(fleet.received()), "refused: not run")

        run(body())
