"""Answers of the store that can't be read, or that may have been cut off.

Guards against a feed that ends for good at one such answer, so that its daemon goes on with what it
knew before, and against a part of an object that is taken for the whole.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import orjson
from testtools import TestCase

from mountstand.platform.store_client import PlatformStore
from mountstand.serving_settings import SocketAddress
from mountstand.store.rows import StoreError, Transaction
from mountstand.store.watch import TableChange, TableWatcher
from mountstand.telemetry.serving_metrics import ServingMetrics
from tests.stand_ins.harness import RecordingLog, eventually, run

PAGE = orjson.dumps({"rows": [], "more": False, "ver": 1, "now_ms": 1})
UNREADABLE = (
    b"",
    b"{",
    b"null",
    b"[]",
    b"{}",
    b"\xff",
    b'{"rows": [{}], "ver": 1}',
    b'{"rows": 5, "names": 5, "ver": "x"}',
    b"[" * 3000,
)


def with_length(body: bytes, status: str = "200 OK") -> bytes:
    """Return a whole answer."""
    head = b"HTTP/1.1 %b\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    return head % (status.encode(), len(body)) + body


def until_the_end(body: bytes) -> bytes:
    """Return an answer that only the end of its connection ends."""
    return b"HTTP/1.1 200 OK\r\n\r\n" + body


class ScriptedStore:
    """Gives its answers in turn, the last one again and again, each on a connection of its own."""

    def __init__(self, *answers: bytes) -> None:
        self._answers = list(answers)
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> PlatformStore:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return PlatformStore(SocketAddress("127.0.0.1", port), ServingMetrics())

    async def __aexit__(self, *error: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._answers.pop(0) if len(self._answers) > 1 else self._answers[0])
        await writer.drain()
        writer.close()


async def call_fails(call: Callable[[], Awaitable[object]]) -> bool:
    """Return whether a call raises the error that its callers expect of a store in trouble."""
    try:
        await call()
    except StoreError:
        return True
    return False


class UnreadableAnswers(TestCase):
    def test_each_call_raises_a_store_error(self) -> None:
        async def scenario(answer: bytes) -> list[bool]:
            async with ScriptedStore(answer) as store:
                calls: tuple[Callable[[], Awaitable[object]], ...] = (
                    lambda: store.read("t", ""),
                    lambda: store.changes("t", 1, 10),
                    lambda: store.commit(Transaction()),
                    lambda: store.list_objects("o"),
                )
                return [await call_fails(call) for call in calls]

        for body in UNREADABLE:
            answer = with_length(body)
            if body.startswith(b'{"rows": [{'):
                # The version is there, so that a commit is answered.
                self.assertEqual([True, True, False, True], run(scenario(answer)), body)
            else:
                self.assertEqual([True] * 4, run(scenario(answer)), body[:40])
        self.assertEqual([True] * 4, run(scenario(with_length(b"", "404 Not Found"))))

    def test_answer_that_may_have_been_cut_off_is_not_taken_for_whole(self) -> None:
        async def scenario() -> list[bool]:
            async with ScriptedStore(until_the_end(PAGE)) as store:
                return [
                    await call_fails(lambda: store.get_object("o")),
                    await call_fails(lambda: store.read("t", "")),
                ]

        self.assertEqual([True, True], run(scenario()))

    def test_row_with_an_odd_value_keeps_no_other_row_from_being_read(self) -> None:
        """Guards against a table that no daemon can follow for one row of another writer."""
        values = ("?", "YQ", 5, None, "YQ==")
        rows = [
            {"table": "t", "key": f"k{n}", "ver": 1, "value": value}
            for n, value in enumerate(values)
        ]
        page = orjson.dumps({"rows": rows, "ver": 1})

        async def scenario() -> list[bytes | None]:
            async with ScriptedStore(with_length(page)) as store:
                return [row.value for row in (await store.read("t", "")).rows]

        self.assertEqual([b"", b"", b"", b"", b"a"], run(scenario()))

    def test_object_that_is_not_there_is_none(self) -> None:
        async def scenario() -> bytes | None:
            async with ScriptedStore(with_length(b"", "404 Not Found")) as store:
                await store.drop_object("o")
                return await store.get_object("o")

        self.assertIsNone(run(scenario()))

    def test_feed_goes_on_after_answers_that_cannot_be_read(self) -> None:
        async def scenario() -> None:
            answers = [with_length(body) for body in UNREADABLE]
            changes: list[TableChange] = []
            async with ScriptedStore(*answers[:3], with_length(PAGE)) as store:
                log = RecordingLog()
                watcher = TableWatcher(store, "t", [""], changes.append, log)
                task = asyncio.create_task(watcher.run())
                await eventually(lambda: watcher.loaded.is_set(), "the feed goes on")
                self.assertFalse(task.done())
                self.assertTrue(log.lines("dependency_lost"))
                task.cancel()

        run(scenario())
