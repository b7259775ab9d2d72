"""Tests of the forwarder against scripted workers: retries, resumption and final replies."""

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
    """An HTTP server that forwards to a fleet of scripted workers, and a client of it."""

    def __init__(self, tested_route: Route, *scripts: tuple[Answer, ...]) -> None:
        self.route = tested_route
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
            fleet.stream_versions,
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

    async def send_request(
        self, request_id: str = "r1", *, body: bytes = b"body"
    ) -> tuple[int, bytes, bool]:
        """Send a request and return status, body, and whether the reply was complete."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = f"POST /x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        writer.write((head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
        try:
            raw_head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, b"", False
        status = int(raw_head.split(b" ")[1])
        answered, complete = await self._read_body(reader, raw_head.lower())
        self.last_head = raw_head.decode()
        writer.close()
        return status, answered, complete

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
AT_MOST_ONCE = route(RequestKind.AT_MOST_ONCE)
PLAIN_STREAM = route(RequestKind.STREAM)
RESUMABLE = route(RequestKind.STREAM, resumable=True, event_gap_s=0.2, max_attempts=3)
SERVER_ERROR = whole(b"no", "500 Internal Server Error")

# name: (route, reply of worker 0, reply of all others, status, requests received by workers)
RETRY_CASES: dict[str, tuple[Route, Answer, Answer, int, int]] = {
    "a full worker: retried": (AT_MOST_ONCE, not_run(), whole(), 200, 2),
    "a different worker at the address: retried": (AT_MOST_ONCE, other_worker(), whole(), 200, 2),
    "repeatable, reset: retried": (REPEATABLE, reset, whole(), 200, 2),
    "repeatable, failed: retried": (REPEATABLE, SERVER_ERROR, whole(), 200, 2),
    "at most once, reset: not retried": (AT_MOST_ONCE, reset, reset, 502, 1),
    "at most once, failed: error relayed": (AT_MOST_ONCE, SERVER_ERROR, SERVER_ERROR, 500, 1),
    "repeatable, all reset: at most max_attempts runs": (REPEATABLE, reset, reset, 502, 2),
    "all workers full: rejected with 503": (AT_MOST_ONCE, not_run(), not_run(), 503, 3),
    "stream, reset before the head: not retried": (PLAIN_STREAM, reset, reset, 502, 1),
}


class Retries(TestCase):
    def test_retries_by_route_and_failure(self) -> None:
        for name, (tested_route, first, others, status, received) in RETRY_CASES.items():
            with self.subTest(name):
                run(self._case(name, tested_route, first, others, status, received))

    async def _case(
        self,
        name: str,
        tested_route: Route,
        first: Answer,
        others: Answer,
        status: int,
        received: int,
    ) -> None:
        async with ForwarderHarness(tested_route, (first,), (others,), (others,)) as harness:
            harness.fleet.directory.workers["w1"].in_flight = 1
            harness.fleet.directory.workers["w2"].in_flight = 1
            reply = await harness.send_request()
            self.assertEqual(status, reply[0], name)
            self.assertEqual(received, len(harness.fleet.received()), name)
            self.assertEqual(
                len(set(harness.fleet.received())),
                received,
                f"{name}: no worker receives the request twice",
            )
            if status == 503:
                self.assertIn("Retry-After: ", harness.last_head)

    def test_request_headers_carry_worker_id_and_remaining_time(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (whole(),)) as harness:
                await harness.send_request()
                received = harness.workers[0].received[0]
                self.assertEqual("w0", received.headers.get("expect-instance"))
                self.assertEqual("r1", received.headers.get("request-id"))
                remaining_ms = int(received.headers.get("deadline-ms") or 0)
                self.assertTrue(2000 < remaining_ms <= 3000, remaining_ms)
                self.assertEqual(b"body", received.body)

        run(scenario())

    def test_unreachable_worker_does_not_count_as_a_run(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (whole(),), (whole(),)) as harness:
                await harness.workers[0].stop()
                harness.fleet.directory.workers["w1"].in_flight = 1
                self.assertEqual(200, (await harness.send_request())[0])
                self.assertEqual(["w1"], harness.fleet.received())

        run(scenario())

    def test_sole_worker_is_retried_after_a_failed_connect(self) -> None:
        """A single lost connect over a lossy link must not reject the request."""

        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (whole(),)) as harness:
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

    def test_request_without_any_worker_is_rejected_at_once(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE) as harness:
                started_at_s = asyncio.get_running_loop().time()
                self.assertEqual(503, (await harness.send_request())[0])
                self.assertLess(asyncio.get_running_loop().time() - started_at_s, 0.5)

        run(scenario())


class PendingPrefillTokens(TestCase):
    """A prompt counts as pending prefill until the first event or the end of the attempt."""

    PROMPT = Prompt((PromptPart("aa", 100), PromptPart("bb", 400)))

    def pending_tokens(self, harness: ForwarderHarness) -> int:
        return sum(
            worker.pending_prefill_tokens for worker in harness.fleet.directory.workers.values()
        )

    def test_counted_until_the_first_event(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(PLAIN_STREAM, (stream(3, gap_s=0.3),)) as harness:
                harness.prompt = self.PROMPT
                request_task = asyncio.create_task(harness.send_request())
                worker = harness.fleet.directory.workers["w0"]
                await eventually(
                    lambda: worker.last_contact_s > 0 and not worker.pending_prefill_tokens,
                    "first event relayed",
                )
                self.assertEqual(1, worker.in_flight)
                await request_task

        run(scenario())

    def test_counted_until_the_deadline_while_the_worker_is_silent(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (silence,)) as harness:
                harness.prompt = self.PROMPT
                harness.deadline_s = 0.5
                request_task = asyncio.create_task(harness.send_request())
                await eventually(lambda: self.pending_tokens(harness) == 500, "prompt counted")
                self.assertEqual(504, (await request_task)[0])
                self.assertEqual(0, self.pending_tokens(harness))

        run(scenario())

    def test_not_counted_after_a_failed_attempt(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (reset,), (reset,)) as harness:
                harness.prompt = self.PROMPT
                await harness.send_request()
                self.assertEqual(0, self.pending_tokens(harness))

        run(scenario())


class FinalReplies(TestCase):
    def test_request_without_reply_gets_504_at_its_deadline(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (silence,)) as harness:
                harness.deadline_s = 0.3
                started_at_s = asyncio.get_running_loop().time()
                status, _, _ = await harness.send_request()
                took_s = asyncio.get_running_loop().time() - started_at_s
                self.assertEqual(504, status)
                self.assertTrue(0.25 < took_s < 0.6, took_s)
                received = harness.workers[0].received[0]
                await eventually(
                    received.caller_left.is_set, "connection to the worker closed", 0.5
                )

        run(scenario())

    def test_worker_connection_is_closed_when_the_caller_disconnects(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (silence,)) as harness:
                _, writer = await asyncio.open_connection("127.0.0.1", harness.port)
                writer.write(f"GET /x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r\r\n\r\n".encode())
                await eventually(
                    lambda: harness.workers[0].received, "request received by the worker"
                )
                writer.close()
                received = harness.workers[0].received[0]
                await eventually(
                    received.caller_left.is_set, "connection to the worker closed", 0.5
                )

        run(scenario())


class Streams(TestCase):
    EXPECTED = b"".join(event(number) for number in range(1, 7))

    def relay_stream(
        self, tested_route: Route, *scripts: tuple[Answer, ...]
    ) -> tuple[Any, ForwarderHarness]:
        async def scenario() -> tuple[Any, ForwarderHarness]:
            async with ForwarderHarness(tested_route, *scripts) as harness:
                for number in range(1, len(harness.workers)):
                    harness.fleet.directory.workers[f"w{number}"].in_flight = number
                return await harness.send_request(), harness

        return run(scenario())

    def test_complete_stream_is_relayed_unchanged(self) -> None:
        reply, _ = self.relay_stream(PLAIN_STREAM, (stream(6),))
        self.assertEqual((200, self.EXPECTED, True), reply)

    def test_broken_stream_is_resumed_after_its_last_complete_event(self) -> None:
        reply, harness = self.relay_stream(RESUMABLE, (stream(6, cut_after=3),), (stream(6),))
        self.assertEqual((200, self.EXPECTED, True), reply)
        self.assertEqual(3, harness.workers[1].received[0].resume_after)
        self.assertIn("stamp-r1", harness.last_head)

    def test_stalled_stream_is_resumed_at_another_worker(self) -> None:
        reply, harness = self.relay_stream(RESUMABLE, (stream(6, gap_s=2.0),), (stream(6),))
        self.assertEqual((200, self.EXPECTED, True), reply)
        self.assertEqual(1, harness.workers[1].received[0].resume_after)

    def test_broken_stream_without_resumption_is_aborted(self) -> None:
        reply, harness = self.relay_stream(PLAIN_STREAM, (stream(6, cut_after=3),), (stream(6),))
        status, body, complete = reply
        self.assertEqual((200, False), (status, complete))
        self.assertEqual(b"".join(event(number) for number in range(1, 4)), body)
        self.assertEqual([], harness.workers[1].received)

    def test_resumptions_are_limited_by_max_attempts(self) -> None:
        cut = stream(6, cut_after=0)
        reply, harness = self.relay_stream(RESUMABLE, (cut,), (cut,), (cut,), (stream(6),))
        self.assertEqual(False, reply[2])
        self.assertEqual(3, len(harness.fleet.received()))

    def test_request_moves_from_a_silent_unreachable_worker_to_another(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(RESUMABLE, (silence,), (stream(6),)) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                request_task = asyncio.create_task(harness.send_request())
                await eventually(
                    lambda: harness.workers[0].received, "request received by the worker"
                )
                assert harness.workers[0]._server is not None
                harness.workers[0]._server.close()
                self.assertEqual((200, self.EXPECTED, True), await request_task)

        run(scenario())


class DecisionLogLines(TestCase):
    def test_failed_attempt_and_end_are_logged(self) -> None:
        async def scenario() -> None:
            async with ForwarderHarness(REPEATABLE, (reset,), (whole(),)) as harness:
                harness.fleet.directory.workers["w1"].in_flight = 1
                await harness.send_request()
                await eventually(
                    lambda: harness.fleet.log.lines("request_ended"), "request_ended logged"
                )
                attempt = harness.fleet.log.lines("attempt_failed")[0]
                self.assertEqual(("r1", "w0", "may have run"), attempt_fields(attempt))
                ended = harness.fleet.log.lines("request_ended")[0]
                self.assertEqual(("r1", "w1", 200), (*attempt_fields(ended)[:2], ended["status"]))

        run(scenario())


def attempt_fields(line: dict[str, Any]) -> tuple[str, str, str]:
    """Return the fields that identify an attempt in a log line."""
    return line["request"], line["worker"], line["outcome"]


class FastFailures(TestCase):
    """A worker that fails within milliseconds must not look idle and attract all requests."""

    AVERAGE_S = 0.6

    def in_flight_counts(self, tested_route: Route, *script: Answer) -> list[int]:
        """Return the worker's ``in_flight`` right after a request and an average duration later."""

        async def scenario() -> list[int]:
            async with ForwarderHarness(tested_route, script) as harness:
                harness.fleet.directory.chooser.durations.observe("llm", self.AVERAGE_S)
                await harness.send_request()
                worker = harness.fleet.directory.workers["w0"]
                at_end = [worker.in_flight]
                await asyncio.sleep(self.AVERAGE_S + 0.1)
                return [*at_end, worker.in_flight]

        return run(scenario())

    def test_failed_request_stays_in_flight_for_the_average_duration(self) -> None:
        cases = {
            "status 500": (AT_MOST_ONCE, SERVER_ERROR, [1, 0]),
            "a reset": (AT_MOST_ONCE, reset, [1, 0]),
            "a broken stream": (PLAIN_STREAM, stream(3, cut_after=1), [1, 0]),
            "success": (AT_MOST_ONCE, whole(), [0, 0]),
            "a refusal": (AT_MOST_ONCE, not_run(), [0, 0]),
            "a bad request": (AT_MOST_ONCE, whole(b"", "422 Unprocessable Content"), [0, 0]),
        }
        for name, (tested_route, answer, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, self.in_flight_counts(tested_route, answer), name)

    def test_failures_do_not_change_the_average_duration(self) -> None:
        async def scenario() -> float:
            async with ForwarderHarness(AT_MOST_ONCE, (SERVER_ERROR,)) as harness:
                durations = harness.fleet.directory.chooser.durations
                durations.observe("llm", self.AVERAGE_S)
                await harness.send_request()
                return durations.average_s("llm")

        self.assertEqual(self.AVERAGE_S, run(scenario()))

    def test_failing_worker_gets_no_more_than_its_share(self) -> None:
        async def scenario() -> int:
            good = stream(4, gap_s=0.1)
            async with ForwarderHarness(
                PLAIN_STREAM, (SERVER_ERROR,), (good,), (good,), (good,)
            ) as harness:
                harness.fleet.directory.chooser.durations.observe("llm", 0.4)
                request_tasks = []
                for number in range(24):
                    request_tasks.append(asyncio.create_task(harness.send_request(f"r{number}")))
                    await asyncio.sleep(0.02)
                await asyncio.gather(*request_tasks)
                return harness.fleet.received().count("w0")

        self.assertLessEqual(run(scenario()), 9)


class ColdWorkers(TestCase):
    """A worker that has just started gets no more requests than the cold start limit allows."""

    def test_requests_beyond_the_cold_start_limit_are_rejected(self) -> None:
        async def body() -> None:
            async with ForwarderHarness(REPEATABLE, (whole(),)) as harness:
                fleet = harness.fleet
                limit_sharing = LimitSharing("test")
                limit_sharing.update_members(["test"], ["test"])
                cold_start_shares = ColdStartShares(
                    limit_sharing, ColdStartTolerance(), float("-inf"), lambda: True
                )
                now_s = asyncio.get_running_loop().time()
                fleet.directory.set_cold_start_limits(
                    {"llm": ColdStartLimit(5.0, 2.0)}, cold_start_shares, now_s
                )
                fleet.directory.workers["w0"].assume_restarted(now_s)
                statuses = [(await harness.send_request(f"r{n}"))[0] for n in range(2)]
                harness.deadline_s = 0.6
                statuses.append((await harness.send_request("r2"))[0])
                self.assertEqual([200, 200, 503], statuses)
                self.assertIn("retry-after", harness.last_head.lower())
                self.assertEqual(2, len(fleet.received()), "the rejected request did not run")

        run(body())
