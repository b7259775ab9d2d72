"""A daemon is stopped as planned; a long stream comes while it still takes requests."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import http1
from deployment import HOST, TERM, TROUBLE, Site, configuration, run
from worker import event

WORKERS, SLOTS = 2, 8
DEADLINE_MS = 8000
USUAL_EVENTS, LONG_EVENTS = 12, 106
EVENT_GAP_MS = 50
USUAL_REQUESTS = 48
GRACE_S = 8.0
SENT_AFTER_STOP_S = (3.06, 3.1, 3.14)
"""After SIGTERM. A daemon takes new connections for 3.2 s, and the excuse for requests that a worker
still works on covers those sent up to 3 s after it."""

ROUTE = {
    "name": "photo-caption",
    "path_prefix": "/pule252/",
    "kind": "streaming",
    "service": "caption-llm",
    "timeout_ms": 8000,
    "target_latency_ms": 300,
    "max_attempts": 1,
    "gap_aim_ms": 500,
    "priority": 0,
}


async def ask(site: Site, port: int, request_id: str, events: int) -> http1.Answer:
    headers = [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", str(DEADLINE_MS))]
    work = {"do": "stream", "events": events, "gap_ms": EVENT_GAP_MS}
    site.note(what="sent", request=request_id, events=events)
    answer = await http1.call(port, "POST", "/pule252/2f", headers, json.dumps(work).encode())
    site.note(
        what="answered",
        request=request_id,
        status=answer.status,
        whole=answer.whole,
        cause=answer.cause,
        events=answer.body.count(b"\n\n"),
    )
    return answer


async def ask_long(site: Site, stopped_s: float, after_s: float, number: int) -> str | None:
    """Send a long stream at a moment after the stop; returns the breach, if there is one."""
    await asyncio.sleep(stopped_s + after_s - time.monotonic())
    request_id = f"{0xA0 + number:016x}"
    began_s = time.monotonic()
    answer = await ask(site, site.daemons[0].front, request_id, LONG_EVENTS)
    took_s = time.monotonic() - began_s
    ran = any(line["what"] == "runs" and line["request"] == request_id for line in site.runs)
    whole = b"".join(event(request_id, n) for n in range(1, LONG_EVENTS + 1))
    if answer.whole and answer.status == 200 and answer.body != whole:
        return f"MIXED: {request_id} got other bytes than its worker's"
    lost = ran and not answer.whole and took_s < 0.7 * DEADLINE_MS / 1000
    if not lost:
        return None
    return (
        f"LOST: request {request_id}, sent {after_s} s after SIGTERM, ran and was cut after "
        f"{took_s:.2f} s with {answer.body.count(bytes([10, 10]))} of {LONG_EVENTS} events"
    )


async def scenario() -> list[str]:
    async with Site(Path("record.txt"), 3) as site:
        for _ in range(WORKERS):
            await site.add_worker("caption-llm", SLOTS)
        await site.start(configuration(ROUTE))
        stopped = site.daemons[0]
        for start in range(0, USUAL_REQUESTS, 4):
            usual = (f"{start + n:016x}" for n in range(4))
            await asyncio.gather(*(ask(site, stopped.front, each, USUAL_EVENTS) for each in usual))
        stopped_s = time.monotonic()
        if TROUBLE:
            site.note(what="SIGTERM", to=stopped.name)
            stopped.send_signal(TERM)
        long = (ask_long(site, stopped_s, s, n) for n, s in enumerate(SENT_AFTER_STOP_S))
        breaches = await asyncio.gather(*long)
        if TROUBLE:
            code = await asyncio.wait_for(stopped.ended(), GRACE_S)
            site.note(
                what="daemon ended", code=code, after_s=round(time.monotonic() - stopped_s, 3)
            )
        return [breach for breach in breaches if breach]


if __name__ == "__main__":
    raise SystemExit(run(scenario()))
