"""A worker sends one answer twice; the second copy comes as the same item is tried again."""

from __future__ import annotations

import asyncio
import base64
import json
from pathlib import Path

import http1
from deployment import HOST, TROUBLE, CannotRun, Daemon, Site, configuration, run
from worker import event_text

SLOTS = 19
MAX_ATTEMPTS = 3
FLAKY = 0
"""The item of the first job whose first run fails, and whose third run fails if there is one."""

ITEMS, MORE_ITEMS = 16, 24
"""Of so many answers in all, one is at most 0.03."""

EVENTS, EVENT_GAP_MS = 20, 50
MORE_AFTER_S = 1.5
READ_FOR_S = 12.0

ROUTE = {
    "name": "reunion-batch",
    "path_prefix": "/pule252/",
    "kind": "batch",
    "service": "caption-llm",
    "timeout_ms": 30000,
    "target_latency_ms": 400,
    "completion_target_ms": 20000,
    "max_attempts": MAX_ATTEMPTS,
    "retention_s": 60,
    "priority": 2,
    "gap_aim_ms": 500,
}
OTHER_ROUTE = {
    "name": "thumb-fetch",
    "path_prefix": "/thumb/",
    "kind": "idempotent",
    "service": "album-app",
    "timeout_ms": 4000,
    "target_latency_ms": 300,
    "max_attempts": 2,
}


def item_id(job: int, number: int) -> str:
    return f"{0xE5B2907C14DA0000 + 256 * job + number:016x}"


def document(job: int, items: int) -> bytes:
    stream = {"do": "stream", "events": EVENTS, "gap_ms": EVENT_GAP_MS}
    flaky = {**stream, "do": "flaky", "fails": [1, 3], "after_ms": 300, "surplus": TROUBLE}
    work = [flaky if (job, n) == (0, FLAKY) else stream for n in range(items)]
    entries = [
        {
            "id": item_id(job, n),
            "path": f"/pule252/{job}/{n:04x}",
            "headers": {"Model": "m", "Token-Count": "540,400"},
            "body": base64.b64encode(json.dumps(work[n]).encode()).decode(),
            "tokens": 940,
        }
        for n in range(items)
    ]
    return json.dumps({"items": entries}).encode()


async def submit(site: Site, daemon: Daemon, job: int, items: int) -> str:
    job_id = f"{0x7C41E09B52D60000 + job:016x}"
    headers = [("Host", HOST), ("Request-Id", job_id), ("Content-Type", "application/json")]
    path = f"/pule252/{job_id[-6:]}"
    answer = await http1.call(daemon.front, "POST", path, headers, document(job, items))
    site.note(what="submitted", job=job_id, status=answer.status)
    if answer.status != 202:
        raise CannotRun(f"the job was answered {answer.status}")
    return job_id


async def read(site: Site, daemon: Daemon, job_id: str, items: int) -> list[dict[str, str]]:
    """Read a job until it is whole, for a limited time."""
    results: list[dict[str, str]] = []
    loop = asyncio.get_running_loop()
    until_s = loop.time() + READ_FOR_S
    while len(results) < items and loop.time() < until_s:
        await asyncio.sleep(0.3)
        target = f"/lots/{job_id}?after={len(results)}"
        answer = await http1.call(daemon.front, "GET", target, [("Host", HOST)])
        results += json.loads(answer.body)["results"] if answer.status == 200 else []
    for result in results:
        site.note(what="listed", job=job_id, item=result["id"], state=result["state"])
    return results


def check(site: Site, results: list[dict[str, str]]) -> list[str]:
    breaches = []
    for result in results:
        text = "\n".join(event_text(result["id"], n) for n in range(1, EVENTS + 1))
        if result["state"] == "completed" and result["text"] != text:
            breaches.append(f"MIXED: the text of item {result['id']} isn't its whole output")
        failed = sum(
            line["what"] == "failed" and line["request"] == result["id"] for line in site.runs
        )
        if result["state"] == "dead_lettered" and failed < MAX_ATTEMPTS:
            breaches.append(
                f"MIXED: item {result['id']} is dead-lettered, though {failed} of its runs have "
                f"failed, and {MAX_ATTEMPTS} may"
            )
    return breaches


async def scenario() -> list[str]:
    async with Site(Path("record.txt"), 2) as site:
        await site.add_worker("caption-llm", SLOTS)
        await site.add_worker("album-app", 6)
        await site.start(configuration(ROUTE, OTHER_ROUTE))
        first, second = site.daemons
        job_id = await submit(site, first, 0, ITEMS)
        await asyncio.sleep(MORE_AFTER_S)
        more_id = await submit(site, first, 1, MORE_ITEMS)
        results = await read(site, second, job_id, ITEMS)
        results += await read(site, second, more_id, MORE_ITEMS)
        return check(site, results)


if __name__ == "__main__":
    raise SystemExit(run(scenario()))
