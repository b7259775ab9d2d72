"""Daemons are stopped and started in turn while an item of a batch job fails at each run."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from pathlib import Path

import http1
from deployment import HOST, TERM, TROUBLE, CannotRun, Daemon, Site, configuration, run

WORKERS, SLOTS = 2, 8
MAX_ATTEMPTS = 3
FAILS_AFTER_MS = 3000
JOB = "7c41e09b52d6a3f8"
ITEM = "e5b2907c14da6f38"
STOPS = 5
FAILURES_PER_STOP = 2
STOP_INTERVAL_S = 8.0
"""A daemon that was stopped is back for more than ``contact_ms`` before the next one is stopped."""

FAILED_WITHIN_S = 15.0
READ_UNTIL_S = 25.0
CONTACT_S = 3.0
HANDED_ON_S = 1.0
"""Runs that begin sooner after a SIGTERM may be of the daemon that got it, and don't count."""

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


def document() -> bytes:
    work = json.dumps({"do": "fail", "after_ms": FAILS_AFTER_MS}).encode()
    headers = {"Model": "m", "Token-Count": "540,400"}
    item = {
        "id": ITEM,
        "path": "/pule252/3/91c4",
        "headers": headers,
        "body": base64.b64encode(work).decode(),
        "tokens": 940,
    }
    return json.dumps({"items": [item]}).encode()


sent_after: list[tuple[int, bool]] = []
"""For each run of the item: the answers of 500 before it, and whether its sender was in touch."""


def note_run(site: Site, line: dict[str, object]) -> None:
    if line["what"] == "runs" and line["request"] == ITEM:
        sent_after.append((count(site, "failed"), all_in_touch(time.time())))


def count(site: Site, what: str) -> int:
    """Return how often workers have told something of the item."""
    return sum(line["what"] == what and line["request"] == ITEM for line in site.runs)


async def wait_for(condition: object, timeout_s: float) -> bool:
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while loop.time() < until_s:
        if condition():  # type: ignore[operator]
            return True
        await asyncio.sleep(0.05)
    return False


async def read(site: Site, daemon: Daemon) -> list[dict[str, str]]:
    answer = await http1.call(daemon.front, "GET", f"/lots/{JOB}?after=0", [("Host", HOST)])
    site.note(what="read", by=daemon.name, status=answer.status, body=answer.body.decode())
    return json.loads(answer.body)["results"] if answer.status == 200 else []


async def is_listed(site: Site) -> bool:
    for daemon in site.daemons:
        if daemon.process is not None and daemon.process.returncode is None:
            if await read(site, daemon):
                return True
    return False


async def stop_and_start(site: Site, daemon: Daemon) -> None:
    """Stop a daemon as planned, and start it again once it has ended."""
    global last_stop_s
    last_stop_s = time.time()
    struck[daemon.name] = float("inf")
    daemon.send_signal(TERM)
    await daemon.ended()
    await daemon.start()
    struck[daemon.name] = time.time()
    await daemon.wait_ready()
    site.note(what="ready again", daemon=daemon.name)


last_stop_s = 0.0
"""When the last SIGTERM was sent."""

struck: dict[str, float] = {}
"""When each daemon that was stopped was started again, infinite while it stops."""


def all_in_touch(at_s: float) -> bool:
    """Return whether every daemon that may have sent something then was in touch.

    One that is stopping has handed its jobs on, and sends nothing more once that is done.
    """
    if at_s - last_stop_s < HANDED_ON_S:
        return False
    started = [each for each in struck.values() if each != float("inf")]
    return all(at_s - each > CONTACT_S for each in started)


def owner(site: Site) -> str:
    """Return the daemon that took the item's job last, as its log tells."""
    taken = [
        (line["time_s"], daemon.name)
        for daemon in site.daemons
        for line in [*daemon.events("job_adopted"), *daemon.events("job_submitted")]
        if line["job"] == JOB
    ]
    return max(taken)[1]


async def scenario() -> list[str]:
    async with Site(Path("record.txt"), 3) as site:
        site.on_run = lambda line: note_run(site, line)
        for _ in range(WORKERS):
            await site.add_worker("caption-llm", SLOTS)
        await site.start(configuration(ROUTE))
        headers = [("Host", HOST), ("Request-Id", JOB), ("Content-Type", "application/json")]
        answer = await http1.call(
            site.daemons[0].front, "POST", "/pule252/7c41e0", headers, document()
        )
        site.note(what="submitted", status=answer.status)
        if answer.status != 202:
            raise CannotRun(f"the job was answered {answer.status}")
        restarts = []
        loop = asyncio.get_running_loop()
        next_stop_s = 0.0
        for _ in range(STOPS if TROUBLE else 0):
            before = count(site, "failed")
            failed = await wait_for(
                lambda: count(site, "failed") >= before + FAILURES_PER_STOP, FAILED_WITHIN_S
            )
            if not failed:
                break
            await asyncio.sleep(max(0.4, next_stop_s - loop.time()))
            next_stop_s = loop.time() + STOP_INTERVAL_S
            name = owner(site)
            daemon = next(each for each in site.daemons if each.name == name)
            site.note(what="SIGTERM", to=name, failed=count(site, "failed"))
            restarts.append(asyncio.create_task(stop_and_start(site, daemon)))
        await asyncio.gather(*restarts)
        until_s = loop.time() + READ_UNTIL_S
        while not await is_listed(site) and loop.time() < until_s:
            await asyncio.sleep(0.5)
        return check(site)


def check(site: Site) -> list[str]:
    """Return the runs that began after three times ``max_attempts`` answers of 500."""
    return [
        f"BUDGET: item {ITEM} was sent again after {failed} answers of 500"
        for failed, in_touch in sent_after
        if failed >= 3 * MAX_ATTEMPTS and in_touch
    ]


if __name__ == "__main__":
    raise SystemExit(run(scenario()))
