"""The callers' side: malformed, oversized, slow and smuggled requests harm nobody else."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import ClassVar

from testtools import TestCase

from mountstand.transport.http_server import HttpServer, Responder, ServerLimits, ServerRequest
from tests.stand_ins.harness import eventually, run

MAX_WAIT_S = 1.0
"""Time in which five requests are answered one after the other beside a flood."""

GOOD = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"


class Server:
    """A server that echoes the method, target and body, and keeps what it was asked."""

    def __init__(self, **limits: float) -> None:
        self.requests: list[ServerRequest] = []
        self.cancelled = 0
        self.release = asyncio.Event()
        self.release.set()
        self.rejected: list[int] = []
        """The statuses with which requests were rejected unread."""

        self.server = HttpServer(
            self.handle,
            ServerLimits(**limits),  # type: ignore[arg-type]
            self.rejected.append,
        )

    async def handle(self, request: ServerRequest, responder: Responder) -> None:
        self.requests.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        responder.send(200, [], f"{request.method} {request.target} ".encode() + request.body)

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and read until the server closes or rests."""
        port = await self.server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        answer = b""
        try:
            while piece := await asyncio.wait_for(reader.read(65536), 0.5):
                answer += piece
        except TimeoutError:
            pass
        writer.close()
        self.server.stop_listening()
        return answer


class WellFormed(TestCase):
    def answer(self, data: bytes, **limits: float) -> tuple[bytes, Server]:
        async def scenario() -> tuple[bytes, Server]:
            server = Server(**limits)
            return await server.exchange(data), server

        return run(scenario())

    def test_chunked_body_is_joined(self) -> None:
        head = b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer, _ = self.answer(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertTrue(answer.endswith(b"POST /b abcde"))

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        answer, server = self.answer(GOOD + GOOD.replace(b"/a", b"/b"))
        self.assertEqual(["/a", "/b"], [request.target for request in server.requests])
        self.assertLess(answer.index(b"GET /a"), answer.index(b"GET /b"))

    def test_connection_close_is_heeded(self) -> None:
        answer, _ = self.answer(GOOD.replace(b"Host", b"Connection: close\r\nHost"))
        self.assertIn(b"Connection: close", answer)


class Malformed(TestCase):
    CASES: ClassVar[dict[str, bytes]] = {
        "two lengths": (
            b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"
        ),
        "length and chunks": (
            b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + GOOD
        ),
        "unknown encoding": b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n",
        "no host": b"GET /a HTTP/1.1\r\n\r\n",
        "two hosts": b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        "absolute target": b"GET http://y/a HTTP/1.1\r\nHost: x\r\n\r\n",
        "space before colon": b"GET /a HTTP/1.1\r\nHost : x\r\n\r\n",
        "folded header": b"GET /a HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
        "negative length": b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        "not http": b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
        "switch of protocol": b"CONNECT y:1 HTTP/1.1\r\nHost: x\r\n\r\n",
    }

    def test_each_gets_a_4xx_and_nothing_behind_it_runs(self) -> None:
        for name, data in self.CASES.items():
            with self.subTest(name):

                async def scenario(data: bytes = data) -> tuple[bytes, Server]:
                    server = Server()
                    return await server.exchange(data + GOOD), server

                answer, server = run(scenario())
                self.assertTrue(answer.startswith(b"HTTP/1.1 4"), (name, answer))
                self.assertEqual(1, answer.count(b"HTTP/1.1"), name)
                self.assertEqual([], server.requests, name)

    def test_limits(self) -> None:
        cases = {
            431: b"GET /a HTTP/1.1\r\nHost: x\r\nA: " + b"b" * 3000,
            413: b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n",
        }
        for status, data in cases.items():
            with self.subTest(status):

                async def scenario(data: bytes = data) -> bytes:
                    return await Server(max_header_bytes=1024, max_body_bytes=2048).exchange(data)

                self.assertIn(b"HTTP/1.1 %d" % status, run(scenario()))

    def test_chunked_body_over_the_limit(self) -> None:
        head = b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunks = (b"400\r\n" + b"x" * 1024 + b"\r\n") * 4

        async def scenario() -> bytes:
            return await Server(max_body_bytes=2048).exchange(head + chunks)

        self.assertIn(b"HTTP/1.1 413", run(scenario()))

    CHUNKED_HEAD = b"POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"

    def test_what_does_not_become_a_request_is_ended(self) -> None:
        """Guards against memory that grows with the bytes of a caller who sends without end."""
        cases = {
            "header lines": b"GET /a HTTP/1.1\r\nHost: x\r\n" + b"a: b\r\n" * 1000,
            "trailers": self.CHUNKED_HEAD + b"1\r\na\r\n0\r\n" + b"a: b\r\n" * 50_000,
            "a trailer": self.CHUNKED_HEAD + b"1\r\na\r\n0\r\na: " + b"b" * 200_000,
            "an extension": self.CHUNKED_HEAD + b"5;" + b"b" * 200_000,
        }
        for name, data in cases.items():
            with self.subTest(name):

                async def scenario(data: bytes = data) -> Server:
                    server = Server()
                    # What is unread as the server closes resets the connection.
                    with contextlib.suppress(ConnectionError):
                        await server.exchange(data)
                    return server

                server = run(scenario())
                self.assertEqual([431], server.rejected, name)
                self.assertEqual([], server.requests)

    def test_trailers_are_no_headers(self) -> None:
        """Guards against headers that nobody has checked with the head."""
        trailers = b"1\r\na\r\n0\r\nHost: y\r\nRequest-Id: z\r\n\r\n"

        async def scenario() -> Server:
            server = Server()
            await server.exchange(self.CHUNKED_HEAD + trailers)
            return server

        [request] = run(scenario()).requests
        self.assertEqual(["x"], request.headers.all("host"))
        self.assertEqual([], request.headers.all("request-id"))

    def test_body_in_single_bytes_leaves_time_for_others(self) -> None:
        """Guards against a server that reads one caller's parts and nothing else."""

        async def scenario() -> None:
            server = Server()
            port = await server.server.start("127.0.0.1", 0)
            flood = self.CHUNKED_HEAD + b"1\r\na\r\n" * 200_000
            flooding = []
            for _ in range(20):
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(flood)
                flooding.append(writer)
            await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            for _ in range(5):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(GOOD)
                await reader.readuntil(b"GET /a ")
                writer.close()
            self.assertLess(loop.time() - began_s, MAX_WAIT_S)
            for writer in flooding:
                writer.transport.abort()

        run(scenario())

    def test_slow_head_is_ended(self) -> None:
        async def scenario() -> bytes:
            return await Server(header_timeout_s=0.1).exchange(b"GET /a HTTP/1.1\r\nHo")

        self.assertIn(b"HTTP/1.1 408", run(scenario()))


class Memory(TestCase):
    def test_bodies_over_the_bound_are_refused_until_others_are_answered(self) -> None:
        async def scenario() -> None:
            server = Server()
            server.server._max_held_bytes = 5000
            server.release.clear()
            port = await server.server.start("127.0.0.1", 0)
            body = b"x" * 3000
            post = b"POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 3000\r\n\r\n" + body
            first, first_writer = await asyncio.open_connection("127.0.0.1", port)
            first_writer.write(post)
            await eventually(lambda: server.requests, "the first is read")
            second, second_writer = await asyncio.open_connection("127.0.0.1", port)
            second_writer.write(post)
            refusal = await second.read()
            self.assertTrue(refusal.startswith(b"HTTP/1.1 503"))
            self.assertIn(b"Retry-After: ", refusal)
            server.release.set()
            await first.readuntil(b"POST /b ")
            third, third_writer = await asyncio.open_connection("127.0.0.1", port)
            third_writer.write(post)
            self.assertIn(b"200 OK", await third.readuntil(b"\r\n\r\n"))

        run(scenario())


class CallerLeaves(TestCase):
    def test_handler_is_cancelled_at_once(self) -> None:
        async def scenario() -> None:
            server = Server()
            server.release.clear()
            port = await server.server.start("127.0.0.1", 0)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GOOD)
            await eventually(lambda: server.requests, "the request is read")
            writer.close()
            await eventually(lambda: server.cancelled, "the handler is cancelled", 1.0)

        run(scenario())

    def test_idle_connection_is_closed_after_its_time(self) -> None:
        async def scenario() -> None:
            server = Server(idle_timeout_s=0.2)
            port = await server.server.start("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GOOD)
            await reader.readuntil(b"GET /a ")
            self.assertEqual(b"", await asyncio.wait_for(reader.read(), 2.0))

        run(scenario())

    def test_a_resting_connection_is_closed_by_a_planned_stop_and_a_busy_one_answered(self) -> None:
        async def scenario() -> None:
            server = Server()
            port = await server.server.start("127.0.0.1", 0)
            resting, _ = await asyncio.open_connection("127.0.0.1", port)
            server.release.clear()
            busy, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GOOD)
            await eventually(lambda: server.requests, "the request is read")
            server.server.close_idle()
            server.release.set()
            self.assertEqual(b"", await resting.read())
            answer = await busy.read()
            self.assertIn(b"200 OK", answer)
            self.assertIn(b"Connection: close", answer)

        run(scenario())


class PlannedStop(TestCase):
    def test_caller_that_has_just_connected_is_answered(self) -> None:
        async def scenario() -> bytes:
            server = Server()
            port = await server.server.start("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await eventually(lambda: server.server.connections, "the connection is taken")
            server.server.stop_listening()
            server.server.close_idle()
            await asyncio.sleep(0.05)
            writer.write(GOOD)
            answer = await asyncio.wait_for(reader.read(65536), 2.0)
            writer.close()
            return answer

        self.assertIn(b"200", run(scenario()))

    def test_caller_whose_connection_waits_at_the_listener_is_answered(self) -> None:
        async def scenario() -> bytes:
            server = Server()
            port = await server.server.start("127.0.0.1", 0)
            caller = socket.create_connection(("127.0.0.1", port))
            server.server.stop_listening()
            server.server.close_idle()
            reader, writer = await asyncio.open_connection(sock=caller)
            writer.write(GOOD)
            answer = await asyncio.wait_for(reader.read(65536), 2.0)
            writer.close()
            return answer

        answer = run(scenario())
        self.assertIn(b"200", answer)
        self.assertIn(b"Connection: close", answer)

    def test_connections_opened_after_the_announcement_end_with_their_answer(self) -> None:
        async def scenario() -> bytes:
            server = Server()
            port = await server.server.start("127.0.0.1", 0)
            server.server.announce_close()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(GOOD)
            return await asyncio.wait_for(reader.read(), 2.0)

        self.assertIn(b"Connection: close", run(scenario()))
