"""A batch route moves to another service while items wait for slots, and the old workers leave."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from pathlib import Path

import http1
from deployment import HOST, TROUBLE, CannotRun, Daemon, Site, WorkerProcess, configuration, run
from worker import event_text

OLD, NEW = "caption-llm", "caption-llm-b"
SLOTS = 2
OLD_WORKERS = 7
"""Of so many, a share of 0.15 is one worker."""

NEW_WORKERS = 7
ITEMS = 40
EVENTS, EVENT_GAP_MS = 160, 50
JOB = "7c41e09b52d6a3f8"
MOVED_AFTER_S = 1.0
LEAVE_AFTER_S = 2.5
LEAVE_GAP_S = 1.0
"""The old workers leave one after the other, the first of them more than ``config_apply_ms`` after the
configuration that moves the route was acknowledged."""

DRAIN_S = 2.0
SERVES_ON_S = 1.0
FINISH_S = 18.0
CALM_S = 5.0
NOTHING_FINISHED_S = 3.0


def route(service: str) -> dict[str, object]:
    return {
        "name": "reunion-batch",
        "path_prefix": "/pule252/",
        "kind": "batch",
        "service": service,
        "timeout_ms": 30000,
        "target_latency_ms": 400,
        "completion_target_ms": 20000,
        "max_attempts": 3,
        "retention_s": 60,
        "priority": 2,
        "gap_aim_ms": 500,
    }


def other_route(service: str) -> dict[str, object]:
    """Return a route that keeps a service in the configuration; nobody asks for it."""
    return {
        "name": f"idle-{service}",
        "path_prefix": f"/idle-{service}/",
        "kind": "idempotent",
        "service": service,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "max_attempts": 2,
    }


def item_id(number: int) -> str:
    return f"{0xE5B2907C14DA6F00 + number:016x}"


def document() -> bytes:
    work = json.dumps({"do": "stream", "events": EVENTS, "gap_ms": EVENT_GAP_MS}).encode()
    items = [
        {
            "id": item_id(number),
            "path": f"/pule252/3/{number:04x}",
            "headers": {"Model": "m", "Token-Count": "540,400"},
            "body": base64.b64encode(work).decode(),
            "tokens": 940,
        }
        for number in range(ITEMS)
    ]
    return json.dumps({"items": items}).encode()


async def read(site: Site, daemon: Daemon) -> list[dict[str, str]]:
    """Read the whole job at a daemon, page by page, as far as it is listed."""
    results: list[dict[str, str]] = []
    while True:
        target = f"/lots/{JOB}?after={len(results)}"
        answer = await http1.call(daemon.front, "GET", target, [("Host", HOST)])
        page = json.loads(answer.body)["results"] if answer.status == 200 else []
        results += page
        if not page:
            site.note(what="read", by=daemon.name, status=answer.status, listed=len(results))
            return results


async def move(site: Site) -> None:
    """Move the route, then take the old service's workers away as planned."""
    await asyncio.sleep(MOVED_AFTER_S)
    site.store.put("op", "config", configuration(route(NEW), other_route(OLD), version=2))
    site.note(what="configuration 2 acknowledged", service=NEW)
    await asyncio.sleep(LEAVE_AFTER_S)
    leaving = []
    for worker in site.workers[:OLD_WORKERS]:
        leaving.append(asyncio.create_task(leave(site, worker)))
        await asyncio.sleep(LEAVE_GAP_S)
    await asyncio.gather(*leaving)


async def leave(site: Site, worker: WorkerProcess) -> None:
    """Let a worker leave: it says ``draining``, serves on as long as it has to, and ends."""
    worker.list("draining")
    site.note(what="worker says draining", worker=worker.worker_id)
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    site.store.remove("servers", worker.worker_id)
    assert worker.process is not None
    worker.process.terminate()
    await worker.process.wait()
    site.note(what="worker has left", worker=worker.worker_id)


def breach(site: Site, listed: set[str], now_s: float) -> list[str]:
    """Return the items that are lost by the rule's own conditions, as far as workers tell."""
    unlisted = {item_id(number) for number in range(ITEMS)} - listed
    running = {}
    last_had_s = last_finished_s = 0.0
    for line in site.runs:
        if line.get("request") not in {item_id(number) for number in range(ITEMS)}:
            continue
        if line["what"] == "runs":
            running[line["request"]] = line["worker"]
        else:
            running.pop(line["request"], None)
        if line["request"] in unlisted:
            last_had_s = line["at"]
        if line["what"] == "ended":
            last_finished_s = line["at"]
    calm = now_s - last_had_s > CALM_S and now_s - last_finished_s > NOTHING_FINISHED_S
    if not unlisted or running or not calm:
        return []
    had = f"has had one for {now_s - last_had_s:.0f} s" if last_had_s else "has ever had it"
    return [
        f"LOST: item {each} is not listed; no worker {had}, and {NEW_WORKERS * SLOTS} slots are free"
        for each in sorted(unlisted)
    ]


async def scenario() -> list[str]:
    async with Site(Path("record.txt"), 2) as site:
        for _ in range(OLD_WORKERS):
            await site.add_worker(OLD, SLOTS)
        for _ in range(NEW_WORKERS):
            await site.add_worker(NEW, SLOTS)
        await site.start(configuration(route(OLD), other_route(NEW)))
        headers = [("Host", HOST), ("Request-Id", JOB), ("Content-Type", "application/json")]
        sent_s = time.time()
        answer = await http1.call(
            site.daemons[0].front, "POST", "/pule252/7c41e0", headers, document()
        )
        site.note(what="submitted", status=answer.status)
        if answer.status != 202:
            raise CannotRun(f"the job was answered {answer.status}")
        moving = asyncio.create_task(move(site)) if TROUBLE else None
        moved_s = MOVED_AFTER_S + LEAVE_AFTER_S + OLD_WORKERS * LEAVE_GAP_S + DRAIN_S + SERVES_ON_S
        end_s = sent_s + moved_s + FINISH_S + CALM_S + 2.0
        listed: set[str] = set()
        while time.time() < end_s and len(listed) < ITEMS:
            await asyncio.sleep(0.5)
            for daemon in site.daemons:
                results = await read(site, daemon)
                listed |= {each["id"] for each in results}
                expected = {
                    item_id(n): "\n".join(event_text(item_id(n), e) for e in range(1, EVENTS + 1))
                    for n in range(ITEMS)
                }
                wrong = [
                    each
                    for each in results
                    if each["state"] != "completed" or each["text"] != expected[each["id"]]
                ]
                if wrong:
                    return [f"MIXED: item {each['id']} is listed wrongly" for each in wrong]
        if moving is not None:
            await moving
        return breach(site, listed, time.time())


if __name__ == "__main__":
    raise SystemExit(run(scenario()))
