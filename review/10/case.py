"""A daemon is stopped as planned while workers read long prompts of streams that may be resumed."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import http1
from deployment import HOST, TERM, TROUBLE, Site, configuration, run
from worker import event

WORKERS, SLOTS = 3, 8
DEADLINE_MS = 6000
GRACE_S = 8.0
PROMPT_MS = 1300
EVENTS, EVENT_GAP_MS = 12, 40
STREAMS = 4
BEFORE_STOP_S = 0.1

ROUTE = {
    "name": "album-summary", "path_prefix": "/pule252/", "kind": "streaming", "resumable": True,
    "service": "caption-llm", "timeout_ms": 6000, "target_latency_ms": 500, "max_attempts": 2,
    "gap_aim_ms": 500, "priority": 0,
}


async def ask(site: Site, number: int) -> str | None:
    """Send one stream to the daemon that stops; returns the breach, if there is one."""
    request_id = f"{number:016x}"
    headers = [("Host", HOST), ("Request-Id", request_id), ("Deadline-Ms", str(DEADLINE_MS))]
    work = {"do": "stream", "events": EVENTS, "gap_ms": EVENT_GAP_MS, "first_ms": PROMPT_MS}
    began_s = time.monotonic()
    site.note(what="sent", request=request_id)
    answer = await http1.call(
        site.daemons[0].front, "POST", "/pule252/2f", headers, json.dumps(work).encode()
    )
    took_s = time.monotonic() - began_s
    site.note(
        what="answered", request=request_id, status=answer.status, whole=answer.whole,
        cause=answer.cause, events=answer.body.count(b"\n\n"), after_s=round(took_s, 3),
    )
    whole = b"".join(event(request_id, n) for n in range(1, EVENTS + 1))
    if answer.whole and answer.status == 200 and answer.body != whole:
        return f"MIXED: {request_id} got other bytes than its worker's"
    ran = any(line["what"] == "runs" and line["request"] == request_id for line in site.runs)
    if TROUBLE and ran and not answer.whole and took_s < DEADLINE_MS / 1000 - 0.1:
        return f"LOST: request {request_id} ran at sound workers and was cut after {took_s:.2f} s"
    return None


async def scenario() -> list[str]:
    async with Site(Path("record.txt"), 2) as site:
        for _ in range(WORKERS):
            await site.add_worker("caption-llm", SLOTS)
        await site.start(configuration(ROUTE))
        asking = [asyncio.create_task(ask(site, number)) for number in range(STREAMS)]
        await asyncio.sleep(BEFORE_STOP_S)
        if TROUBLE:
            site.note(what="SIGTERM", to=site.daemons[0].name)
            site.daemons[0].send_signal(TERM)
        return [breach for breach in await asyncio.gather(*asking) if breach]


if __name__ == "__main__":
    raise SystemExit(run(scenario()))
