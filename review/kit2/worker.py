"""A stand-in for one worker process: ``worker.py ID PORT SLOTS``; writes a line for each run.

What a run does is told by the request's body, in JSON:
{"do": "body", "pieces": n, "gap_ms": g, "bytes": b}     an answer whose end is its connection's end
{"do": "stream", "events": n, "gap_ms": g, "first_ms": f} events with rising ids, in chunks; reading
                                                         the prompt takes "first_ms", if given
{"do": "fail", "after_ms": t}                            a run that fails: 500 after some work
{"do": "flaky", "fails": [n, ...], "surplus": b, ...}    a run that fails if it is the nth here, and
                                                         else a stream; with "surplus", the answer of
                                                         the first one is sent once more, late: in
                                                         the place of its connection's next answer
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import sys
import time
from collections import Counter
from typing import Any

import http1

QUEUED_BEYOND_SLOTS = 8


def body_of(request_id: str, size: int) -> bytes:
    """The whole body of the answer to a request: it follows from the request's id."""
    block = hashlib.sha256(request_id.encode()).hexdigest().encode()
    return (block * (size // len(block) + 1))[:size]


def event_text(request_id: str, number: int) -> str:
    return f"{request_id} piece {number}"


def event(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {event_text(request_id, number)}\n\n".encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Worker:
    """One incarnation of a worker."""

    def __init__(self, worker_id: str, slots: int) -> None:
        self.worker_id = worker_id
        self.slots = slots
        self.running = 0
        self.free = asyncio.Semaphore(slots)
        self.runs_by_request: Counter[str] = Counter()
        self.surplus_by_writer: dict[asyncio.StreamWriter, bytes] = {}

    def note(self, what: str, request: http1.Request, **fields: Any) -> None:
        line = {"at": time.time(), "worker": self.worker_id, "what": what}
        line["request"] = request.headers.get("request-id", "")
        print(json.dumps({**line, **fields}), flush=True)

    def headers(self, request: http1.Request, *extra: tuple[str, str]) -> list[tuple[str, str]]:
        waiting = max(0, self.running - self.slots)
        running = min(self.running, self.slots)
        return [
            ("Request-Id", request.headers.get("request-id", "")),
            ("Response-Stamp", "stamp-" + request.headers.get("request-id", "")),
            ("Server-Load", f"{running},{waiting},{self.slots}"),
            ("Keep-Alive", "timeout=10"),
            *extra,
        ]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await http1.read_request(reader)) is not None:
                if not await self.answer(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(
        self, request: http1.Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; returns whether the connection goes on."""
        if request.path == "/health":
            writer.write(http1.answer(200, [("Instance", self.worker_id)], b""))
            return True
        surplus = self.surplus_by_writer.pop(writer, None)
        if surplus is not None:
            writer.write(surplus)
            self.note("surplus answer", request)
        if request.headers.get("expect-instance") not in (None, self.worker_id):
            writer.write(http1.answer(421, self.headers(request), b""))
            return True
        if self.running >= self.slots + QUEUED_BEYOND_SLOTS:
            writer.write(http1.answer(503, self.headers(request, ("Not-Run", "1")), b""))
            return True
        self.running += 1
        run = asyncio.create_task(self.run(request, writer))
        gone = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait([run, gone], return_when=asyncio.FIRST_COMPLETED)
            if not run.done():
                run.cancel()
                self.note("dropped", request)
                return False
            return run.result()
        finally:
            self.running -= 1
            if not gone.done():
                gone.cancel()
                await asyncio.wait([gone])

    async def run(self, request: http1.Request, writer: asyncio.StreamWriter) -> bool:
        work = json.loads(request.body)
        async with self.free:
            self.note("runs", request, after=int(request.headers.get("last-event-id", 0)))
            goes_on = await getattr(self, "do_" + work["do"])(request, writer, work)
            await writer.drain()
            self.note("ended", request)
            return goes_on

    async def do_body(
        self, request: http1.Request, writer: asyncio.StreamWriter, work: dict[str, Any]
    ) -> bool:
        body = body_of(request.headers["request-id"], work["bytes"])
        step = len(body) // work["pieces"]
        writer.write(http1.head(200, self.headers(request, ("Connection", "close"))))
        for start in range(0, len(body), step):
            writer.write(body[start : start + step])
            await writer.drain()
            await asyncio.sleep(work["gap_ms"] / 1000)
        return False

    async def do_stream(
        self, request: http1.Request, writer: asyncio.StreamWriter, work: dict[str, Any]
    ) -> bool:
        kind = ("Content-Type", "text/event-stream")
        writer.write(http1.head(200, self.headers(request, kind, ("Transfer-Encoding", "chunked"))))
        await writer.drain()
        await asyncio.sleep(work.get("first_ms", 0) / 1000)
        first = int(request.headers.get("last-event-id", 0)) + 1
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in range(first, work["events"] + 1):
            due_s = began_s + (number - first + 1) * work["gap_ms"] / 1000
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            writer.write(chunk(event(request.headers["request-id"], number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True

    async def do_flaky(
        self, request: http1.Request, writer: asyncio.StreamWriter, work: dict[str, Any]
    ) -> bool:
        request_id = request.headers["request-id"]
        self.runs_by_request[request_id] += 1
        run = self.runs_by_request[request_id]
        if run not in work["fails"]:
            return await self.do_stream(request, writer, work)
        await asyncio.sleep(work["after_ms"] / 1000)
        self.note("failed", request)
        failure = http1.answer(500, self.headers(request), b"")
        writer.write(failure)
        if work["surplus"] and run == 1:
            self.surplus_by_writer[writer] = failure
        return True

    async def do_fail(
        self, request: http1.Request, writer: asyncio.StreamWriter, work: dict[str, Any]
    ) -> bool:
        await asyncio.sleep(work["after_ms"] / 1000)
        self.note("failed", request)
        writer.write(http1.answer(500, self.headers(request), b""))
        return True


async def main() -> None:
    worker = Worker(sys.argv[1], int(sys.argv[3]))
    server = await asyncio.start_server(worker.serve, "127.0.0.1", int(sys.argv[2]))
    print(json.dumps({"what": "listens"}), flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
