"""Just enough HTTP/1.1 for the stand-ins: reading requests and answers, writing both."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

PHRASES = {200: "OK", 202: "Accepted", 404: "Not Found", 421: "Misdirected Request"}


@dataclass
class Request:
    """A request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        return self.target.partition("?")[2]


@dataclass
class Answer:
    """An answer as a client saw it; ``whole`` tells whether it ended as its framing says."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    cause: str = ""


def parse_head(raw: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request; ``None`` where the peer has closed."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, headers = parse_head(raw)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def head(status: int, headers: list[tuple[str, str]]) -> bytes:
    lines = [f"HTTP/1.1 {status} {PHRASES.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    return head(status, [*headers, ("Content-Length", str(len(body)))]) + body


def request(method: str, target: str, headers: list[tuple[str, str]], body: bytes) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer to its end; what breaks off early isn't ``whole``."""
    found = Answer()
    try:
        first, found.headers = parse_head(await reader.readuntil(b"\r\n\r\n"))
        found.status = int(first.split(" ")[1])
        if "chunked" in found.headers.get("transfer-encoding", "").lower():
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"-1", 16)
                if size == 0:
                    await reader.readline()
                    break
                found.body += await reader.readexactly(size)
                await reader.readexactly(2)
        elif "content-length" in found.headers:
            found.body = await reader.readexactly(int(found.headers["content-length"]))
        else:
            found.body = await reader.read()
        found.whole = True
    except asyncio.IncompleteReadError as problem:
        found.body += problem.partial if found.status else b""
        found.cause = "closed early"
    except (ConnectionError, ValueError) as problem:
        found.cause = type(problem).__name__
    return found


async def call(
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Answer:
    """Make one call on a new connection."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(request(method, target, headers, body))
                return await read_answer(reader)
            finally:
                writer.close()
    except TimeoutError:
        return Answer(cause="no answer in time")
    except OSError as problem:
        return Answer(cause=type(problem).__name__)
