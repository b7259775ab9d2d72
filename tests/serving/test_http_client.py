"""The workers' side: an answer is whole, its own request's, or broken; never mixed."""

from __future__ import annotations

import asyncio
from typing import ClassVar

from testtools import ExpectedException, TestCase

from mountstand.transport.headers import Headers
from mountstand.transport.http_client import (
    ClientConnection,
    ConnectFailed,
    ReplyBroken,
    connect,
)
from mountstand.transport.sockets import reset as reset_connection
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Received, StandInWorker, head, whole


def raw(data: bytes, *, reset: bool = False, close: bool = False):  # type: ignore[no-untyped-def]
    """Answer with bytes as they are."""

    async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.02)
        if reset:
            reset_connection(writer.transport)
        elif close:
            writer.close()

    return answer


OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nContent-Length: 3\r\n\r\nown"
OTHER = OWN.replace(b"own", b"oth")


async def ask(worker: StandInWorker) -> tuple[int, bytes, ClientConnection]:
    """Send one request; return status, body and the connection."""
    await worker.start()
    connection = await connect("127.0.0.1", worker.port, 1.0)
    connection.send(
        "POST",
        "/x",
        [("Host", "h"), ("Request-Id", "own")],
        b"body",
        lambda headers: headers.get("request-id") == "own",
    )
    reply = await connection.read_head()
    return reply.status, await connection.read_body(), connection


class Answers(TestCase):
    def test_whole_answer_leaves_the_connection_usable(self) -> None:
        async def scenario() -> None:
            status, body, connection = await ask(StandInWorker("w", whole(b"abc")))
            self.assertEqual((200, b"abc"), (status, body))
            self.assertTrue(connection.end_exchange())

        run(scenario())

    def test_answer_to_another_request_is_dropped(self) -> None:
        async def scenario() -> None:
            _, body, connection = await ask(StandInWorker("w", raw(OTHER + OWN)))
            self.assertEqual(b"own", body)
            self.assertFalse(connection.end_exchange(), "a connection with strays is not reused")

        run(scenario())

    def test_surplus_answer_ends_the_connection(self) -> None:
        async def scenario() -> None:
            _, body, connection = await ask(StandInWorker("w", raw(OWN + OTHER)))
            self.assertEqual(b"own", body)
            self.assertFalse(connection.end_exchange())

        run(scenario())

    def test_late_surplus_answer_closes_a_resting_connection(self) -> None:
        async def scenario() -> None:
            async def late(request: Received, writer: asyncio.StreamWriter) -> None:
                writer.write(OWN)
                await asyncio.sleep(0.05)
                writer.write(OTHER)

            _, _, connection = await ask(StandInWorker("w", late))
            self.assertTrue(connection.end_exchange())
            await asyncio.sleep(0.15)
            self.assertFalse(connection.open)

        run(scenario())

    def test_interim_answer_is_skipped(self) -> None:
        async def scenario() -> None:
            _, body, _ = await ask(StandInWorker("w", raw(b"HTTP/1.1 100 Continue\r\n\r\n" + OWN)))
            self.assertEqual(b"own", body)

        run(scenario())

    def test_body_without_length_ends_with_an_orderly_close(self) -> None:
        async def scenario() -> None:
            data = b"HTTP/1.1 200 OK\r\nRequest-Id: own\r\n\r\nabc"
            _, body, connection = await ask(StandInWorker("w", raw(data, close=True)))
            self.assertEqual(b"abc", body)
            self.assertFalse(connection.end_exchange())

        run(scenario())


class BrokenAnswers(TestCase):
    CASES: ClassVar[dict[str, tuple[bytes, str]]] = {
        "body without length, reset": (b"HTTP/1.1 200 OK\r\nRequest-Id: own\r\n\r\nabc", "reset"),
        "short body, closed": (OWN[:-1], "close"),
        "short body, reset": (OWN[:-1], "reset"),
        "chunks cut": (
            b"HTTP/1.1 200 OK\r\nRequest-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
            "close",
        ),
        "no answer": (b"", "reset"),
        "no http": (b"garbage garbage\r\n\r\n", ""),
        "half a head": (b"HTTP/1.1 200 OK\r\nRequ", "close"),
        "another's answer only": (OTHER, "close"),
    }

    def test_none_looks_whole(self) -> None:
        for name, (data, end) in self.CASES.items():
            with self.subTest(name):

                async def scenario(data: bytes = data, end: str = end) -> None:
                    answer = raw(data, reset=end == "reset", close=end == "close")
                    with ExpectedException(ReplyBroken):
                        await asyncio.wait_for(ask(StandInWorker("w", answer)), 3.0)

                run(scenario())

    def test_early_answer_does_not_leave_a_half_sent_body_behind(self) -> None:
        async def scenario() -> None:
            async def early(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(OWN)
                await asyncio.sleep(1.0)

            server = await asyncio.start_server(early, "127.0.0.1", 0, limit=1024)
            port = server.sockets[0].getsockname()[1]
            connection = await connect("127.0.0.1", port, 1.0)
            body = b"x" * 16 * 1024 * 1024
            connection.send("POST", "/x", [("Host", "h"), ("Request-Id", "own")], body)
            await connection.read_head()
            self.assertEqual(b"own", await connection.read_body())
            self.assertFalse(connection.end_exchange(), "the body was not sent whole")

        run(scenario())

    def test_body_that_is_read_whole_has_a_bound(self) -> None:
        """Guards against an answer of the store, or of another daemon, that does not end."""

        async def endless(request: Received, writer: asyncio.StreamWriter) -> None:
            writer.write(head(request))
            while not writer.transport.is_closing():
                writer.write(b"x" * 65536)
                await writer.drain()

        async def scenario() -> None:
            with ExpectedException(ReplyBroken, "body of over"):
                await asyncio.wait_for(ask(StandInWorker("w", endless)), 10.0)

        run(scenario())

    def test_closed_port_is_told_before_anything_is_sent(self) -> None:
        async def scenario() -> None:
            worker = await StandInWorker("w").start()
            await worker.stop()
            with ExpectedException(ConnectFailed):
                await connect("127.0.0.1", worker.port, 1.0)

        run(scenario())


class OddAddresses(TestCase):
    def test_address_that_cannot_be_one_fails_to_connect(self) -> None:
        """Guards against requests that end with 500 for one odd entry among the workers."""

        async def scenario() -> None:
            for host, port in (
                ("127.0.0.1", 65_536),
                ("127.0.0.1", -1),
                ("127.0.0\x00.1", 80),
                ("a..b", 80),
                ("a" * 300, 80),
            ):
                with ExpectedException(ConnectFailed):
                    await connect(host, port, 0.5)

        run(scenario())


class Heads(TestCase):
    def test_helper_echoes_the_id(self) -> None:
        request = Received("GET", "/", Headers([("Request-Id", "7")]), b"")
        self.assertIn(b"Request-Id: 7", head(request))
