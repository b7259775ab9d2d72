"""A serving process that stood still while the worker of a stream or item ended and came back."""

from __future__ import annotations

import asyncio
import signal
from base64 import b64encode

import orjson

from mountstand.transport.http_client import ReplyBroken
from tests.integration.test_platform_node import (
    Process,
    ResolvingTestCase,
    Site,
    all_results,
    operator_configuration,
)
from tests.stand_ins.harness import eventually, run
from tests.stand_ins.worker import Answer, Received, StandInWorker, event, head, stream

EVENTS = 10
EVENTS_BEFORE_END = 3
WHOLE = b"".join(event(n) for n in range(1, EVENTS + 1))
TEXT = "\n".join(f"piece {n}" for n in range(1, EVENTS + 1))
RESTART_S = 1.0
"""Time that an ended worker takes to be back, under another id at the same address."""

STILL_S = 1.6
"""Shorter than the pause after which a run counts as stalled."""

EVENT_GAP_MS = 2000


def without_length(ends: asyncio.Event) -> Answer:
    """Answer with some events and no length; close the connection in order once told so."""

    async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(head(request, "200 OK", "Content-Type: text/event-stream"))
        for number in range(1, EVENTS_BEFORE_END + 1):
            writer.write(event(number))
        await writer.drain()
        await ends.wait()
        writer.close()

    return answer


class StandingStill(ResolvingTestCase):
    async def stand_still(
        self, site: Site, process: Process, worker: StandInWorker, ends: asyncio.Event
    ) -> StandInWorker:
        """Stop the process; meanwhile the worker ends, and another is there in its place."""
        await eventually(lambda: worker.received, "the run begins")
        await asyncio.sleep(0.1)
        process.signal(signal.SIGSTOP)
        ends.set()
        await asyncio.sleep(0.05)
        await worker.stop()
        await asyncio.sleep(RESTART_S)
        successor = StandInWorker("w1", stream(EVENTS))
        successor.port = worker.port
        await successor.start()
        await site.list_worker(successor)
        await asyncio.sleep(STILL_S - RESTART_S)
        process.signal(signal.SIGCONT)
        return successor

    def test_stream_whose_worker_ended_meanwhile_does_not_end_as_complete(self) -> None:
        """Guards against a part of a stream that ends as complete since a successor answers."""

        async def scenario() -> None:
            ends = asyncio.Event()
            worker = StandInWorker("w0", without_length(ends))
            async with Site(1, worker) as site:
                (process,) = site.processes
                await site.store.put(
                    "op", "config", operator_configuration(2, gap_aim_ms=EVENT_GAP_MS)
                )
                await asyncio.sleep(0.3)
                headers = {"Request-Id": "r0"}
                call = asyncio.create_task(
                    process.call("POST", "/stream/x", headers=headers, body=b"a prompt")
                )
                successor = await self.stand_still(site, process, worker, ends)
                try:
                    body = (await call).body
                except ReplyBroken:
                    body = WHOLE
                await successor.stop()
                self.assertEqual(WHOLE, body)

        run(scenario())

    def test_item_whose_worker_ended_meanwhile_is_not_listed_in_part(self) -> None:
        """Guards against a part of an item's output that is listed as the whole of it."""

        async def scenario() -> None:
            ends = asyncio.Event()
            worker = StandInWorker("w0", without_length(ends))
            async with Site(1, worker) as site:
                (process,) = site.processes
                await site.store.put(
                    "op", "config", operator_configuration(2, gap_aim_ms=EVENT_GAP_MS)
                )
                item = {"id": "i0", "path": "/batch/1", "body": b64encode(b"item").decode()}
                answer = await process.call(
                    "POST",
                    "/batch/x",
                    headers={"Request-Id": "job1"},
                    body=orjson.dumps({"items": [item]}),
                )
                self.assertEqual(202, answer.status)
                successor = await self.stand_still(site, process, worker, ends)
                (result,) = await all_results(process, "job1", 1)
                await successor.stop()
                self.assertEqual(("completed", TEXT), (result["state"], result["text"]))

        run(scenario())
