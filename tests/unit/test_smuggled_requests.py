"""Items of batch jobs that hold a second request in their path or headers."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from typing import Any

import orjson
from testtools import ExpectedException, TestCase

from mountstand.platform.ingress import MalformedJob, check_sendable, parse_items
from mountstand.transport.http_client import connect
from tests.stand_ins.harness import run
from tests.stand_ins.worker import StandInWorker, whole

SECOND_REQUEST = " HTTP/1.1\r\nHost: x\r\n\r\nPOST /caption/1"
GOOD: dict[str, Any] = {"id": "i", "path": "/batch/1?a=%20b", "body": b64encode(b"x").decode()}


class SmuggledRequests(TestCase):
    def submit(self, **changes: Any) -> None:
        """Check a submission of one item as the daemon does."""
        check_sendable(parse_items(orjson.dumps({"items": [{**GOOD, **changes}]})))

    def test_item_that_is_no_single_request_is_refused(self) -> None:
        """Guards against a request that a worker runs under an id that no caller sent."""
        for target in (f"/batch/1{SECOND_REQUEST}", "/a b", "/a\n", "/a\x00", "batch/1", "/\u4e00"):
            with self.subTest(target), ExpectedException(MalformedJob):
                self.submit(path=target)
        with ExpectedException(MalformedJob):
            self.submit(id=f"i{SECOND_REQUEST}")
        for headers in (
            {"A": f"x{SECOND_REQUEST}"},
            {"A\r\nB": "x"},
            {"Content-Length ": "1"},
            {"": "x"},
            {"A": "x\ny"},
        ):
            with self.subTest(headers), ExpectedException(MalformedJob):
                self.submit(headers=headers)

    def test_proper_items_are_taken(self) -> None:
        self.submit()
        self.submit(headers={"Token-Count": "5,6", "Note": "caf\u00e9\tx"}, path="/b/caf\u00e9")

    def test_headers_of_a_connection_are_not_passed_on(self) -> None:
        """Guards against an item whose own length cuts its body in two requests."""
        headers = {"Content-Length": "1", "Transfer-Encoding": "chunked", "Kept": "x"}
        [item] = parse_items(orjson.dumps({"items": [{**GOOD, "headers": headers}]}))
        self.assertEqual((("Kept", "x"),), item.headers)

    def test_request_with_a_line_break_is_not_sent(self) -> None:
        """Guards against items of jobs that were accepted before such items were refused."""

        async def scenario() -> None:
            worker = StandInWorker("w0", whole())
            await worker.start()
            for target, headers in (
                (f"/batch/1{SECOND_REQUEST}", []),
                ("/batch/1", [("A", f"x{SECOND_REQUEST}")]),
            ):
                connection = await connect("127.0.0.1", worker.port, 1.0)
                with ExpectedException(ValueError):
                    connection.send("POST", target, [("Host", "x"), *headers], b"")
                connection.close()
            await asyncio.sleep(0.05)
            self.assertEqual([], worker.received)
            await worker.stop()

        run(scenario())
