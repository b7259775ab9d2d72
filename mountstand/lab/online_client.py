"""An asyncio caller of online requests for experiments; measures and checks every answer."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
import orjson

from mountstand.checks.history import HistoryEvent, RequestAnswered, RequestRefused
from mountstand.emulator.engine_core import expected_completion

DONE_FRAME = b"data: [DONE]\n\n"
FRAME_END = b"\n\n"
ERROR_FRAME = b'data: {"error"'
TOLD_BROKEN_STATUS = 502


@dataclass(frozen=True)
class LabRequest:
    """One online request of an experiment."""

    request_id: str
    model: str
    prompt: str
    tokens: int
    stream: bool = True
    deadline_ms: int = 30_000
    repeatable: bool = True


@dataclass
class Measured:
    """What a caller saw of one request; times in seconds from sending."""

    request: LabRequest
    sent_s: float
    first_token_s: float = 0.0
    total_s: float = 0.0
    status: int = 0
    code: str = ""
    executed: str = ""
    text: str = ""
    whole: bool = False
    longest_gap_s: float = 0.0

    @property
    def ok(self) -> bool:
        """Whether the caller got the whole answer."""
        return self.status == 200 and self.whole

    @property
    def own(self) -> bool:
        """Whether the answer is the one to this request."""
        return self.text == expected_completion(self.request.prompt, self.request.tokens)


@dataclass
class OnlineClient:
    """Sends requests and keeps what was seen."""

    session: aiohttp.ClientSession
    measured: list[Measured] = field(default_factory=list)

    async def send(self, base_url: str, request: LabRequest) -> Measured:
        """Send one request and wait for its end; a broken exchange has status 0."""
        seen = Measured(request, time.monotonic())
        self.measured.append(seen)
        body = orjson.dumps(
            {
                "model": request.model,
                "prompt": request.prompt,
                "max_tokens": request.tokens,
                "stream": request.stream,
            }
        )
        headers = {
            "X-Request-Id": request.request_id,
            "X-Deadline-Ms": str(request.deadline_ms),
            "X-Repeatable": "yes" if request.repeatable else "no",
        }
        try:
            async with self.session.post(
                f"{base_url}/v1/completions", data=body, headers=headers
            ) as answer:
                await self._read(answer, seen)
        except (aiohttp.ClientError, TimeoutError, OSError) as problem:
            seen.code = type(problem).__name__
            seen.whole = False
        seen.total_s = time.monotonic() - seen.sent_s
        return seen

    async def _read(self, answer: aiohttp.ClientResponse, seen: Measured) -> None:
        seen.status = answer.status
        if answer.status != 200:
            problem = orjson.loads(await answer.read())
            seen.code = problem.get("code", "")
            seen.executed = problem.get("executed", "unknown")
            return
        if not seen.request.stream:
            document = orjson.loads(await answer.read())
            seen.first_token_s = time.monotonic() - seen.sent_s
            seen.text = document["choices"][0]["text"]
            seen.whole = True
            return
        await self._read_stream(answer, seen)

    async def _read_stream(self, answer: aiohttp.ClientResponse, seen: Measured) -> None:
        pieces: list[bytes] = []
        last_s = 0.0
        async for piece in answer.content.iter_any():
            now_s = time.monotonic()
            if not pieces:
                seen.first_token_s = now_s - seen.sent_s
            else:
                seen.longest_gap_s = max(seen.longest_gap_s, now_s - last_s)
            last_s = now_s
            pieces.append(piece)
        data = b"".join(pieces)
        seen.whole = data.endswith(DONE_FRAME)
        if not seen.whole and ERROR_FRAME in data:
            # The daemon said that it could not go on: a failure that the caller was told of.
            seen.status = TOLD_BROKEN_STATUS
            seen.code = "stream_error"
            seen.executed = "unknown"
        seen.text = "".join(
            orjson.loads(frame[6:])["choices"][0]["text"]
            for frame in data.split(FRAME_END)
            if frame.startswith(b'data: {"id"')
        )

    def events(self) -> list[HistoryEvent]:
        """Return what was seen, for the history checker."""
        events: list[HistoryEvent] = []
        for seen in self.measured:
            request_id = seen.request.request_id
            if seen.status == 200:
                events.append(RequestAnswered(request=request_id, own=seen.own, whole=seen.whole))
            elif seen.status:
                events.append(
                    RequestRefused(request=request_id, code=seen.code, executed=seen.executed)
                )
        return events


def new_session() -> aiohttp.ClientSession:
    """Return a session without limits of its own."""
    connector = aiohttp.TCPConnector(limit=0)
    return aiohttp.ClientSession(connector=connector, timeout=aiohttp.ClientTimeout(total=120.0))


async def run_open_loop(
    client: OnlineClient,
    base_urls: list[str],
    requests: list[tuple[float, LabRequest]],
    started_s: float | None = None,
) -> None:
    """Send each request at its time after ``started_s``, whatever became of earlier ones.

    ``started_s`` is of the monotonic clock, which all processes share; ``None`` is now.
    """
    if started_s is None:
        started_s = time.monotonic()
    tasks = []
    for number, (at_s, request) in enumerate(requests):
        await asyncio.sleep(max(0.0, started_s + at_s - time.monotonic()))
        url = base_urls[number % len(base_urls)]
        tasks.append(asyncio.create_task(client.send(url, request)))
    await asyncio.gather(*tasks)
