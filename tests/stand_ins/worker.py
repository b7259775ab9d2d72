"""A worker of the platform: answers requests as a script says, and records what it received."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from mountstand.transport.headers import Headers
from mountstand.transport.sockets import reset as reset_connection


@dataclass
class Received:
    """One request as the worker read it."""

    method: str
    target: str
    headers: Headers
    body: bytes
    at_s: float = 0.0
    """When it was read, on the event loop's clock."""

    caller_left: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def request_id(self) -> str:
        """The id to echo."""
        return self.headers.get("request-id") or ""

    @property
    def resume_after(self) -> int:
        """The last event that the caller has, or 0."""
        return int(self.headers.get("last-event-id") or 0)


Answer = Callable[[Received, asyncio.StreamWriter], Awaitable[None]]


def head(request: Received, status: str = "200 OK", *extra: str) -> bytes:
    """Return an answer's head with the echoed id and a stamp."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Request-Id: {request.request_id}",
        "Response-Stamp: stamp-" + request.request_id,
        *extra,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def whole(body: bytes = b'{"ok":true}', status: str = "200 OK", *extra: str) -> Answer:
    """Answer with a whole body."""

    async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
        length = f"Content-Length: {len(body)}"
        writer.write(head(request, status, length, "Keep-Alive: timeout=10", *extra) + body)

    return answer


def stream(events: int, *, gap_s: float = 0.0, cut_after: int | None = None) -> Answer:
    """Answer with events from the one asked for; cut off within the one after ``cut_after``."""

    async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
        writer.write(
            head(
                request,
                "200 OK",
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "Server-Load: 1,0,4",
                "Keep-Alive: timeout=10",
            )
        )
        for number in range(request.resume_after + 1, events + 1):
            if cut_after is not None and number > cut_after:
                writer.write(chunk(event(number)[:7]))
                await writer.drain()
                await asyncio.sleep(0.02)
                reset_connection(writer.transport)
                return
            writer.write(chunk(event(number)))
            await writer.drain()
            if gap_s:
                await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")

    return answer


def not_run() -> Answer:
    """Refuse as a full worker does."""
    return whole(b"", "503 Service Unavailable", "Not-Run: 1")


def other_worker() -> Answer:
    """Refuse as another worker at the same address does."""
    return whole(b"", "421 Misdirected Request")


async def reset(request: Received, writer: asyncio.StreamWriter) -> None:
    """Break off without an answer."""
    reset_connection(writer.transport)


async def silence(request: Received, writer: asyncio.StreamWriter) -> None:
    """Say nothing until the caller leaves."""
    await request.caller_left.wait()


class StandInWorker:
    """Listens on loopback; the script's answers are used in turn, the last one again and again."""

    def __init__(self, worker_id: str, *script: Answer) -> None:
        self.worker_id = worker_id
        self.script = list(script) or [whole()]
        self.received: list[Received] = []
        self.connections = 0
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> StandInWorker:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (request := await self._read(reader)) is not None:
                self.received.append(request)
                watcher = asyncio.create_task(self._watch(reader, request))
                await self._next_answer()(request, writer)
                await writer.drain()
                watcher.cancel()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _next_answer(self) -> Answer:
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]

    async def _watch(self, reader: asyncio.StreamReader, request: Received) -> None:
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)
        request.caller_left.set()

    async def _read(self, reader: asyncio.StreamReader) -> Received | None:
        try:
            raw = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        first, *lines = raw.decode("latin-1").strip().split("\r\n")
        method, target, _ = first.split(" ")
        pairs = [line.split(": ", 1) for line in lines]
        headers = Headers([(pair[0], pair[1] if len(pair) > 1 else "") for pair in pairs])
        body = await reader.readexactly(int(headers.get("content-length") or 0))
        return Received(method, target, headers, body, asyncio.get_running_loop().time())
