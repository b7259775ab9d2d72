"""Experiment ``faults``: online load through kills, freezes, leaving workers and a planned stop."""

from __future__ import annotations

import asyncio
import multiprocessing
import random
import threading
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import orjson

from mountstand.checks.history import Executed, NotRepeatableSent, check_events
from mountstand.lab.batch_client import BatchClient, LabJob
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from mountstand.lab.online_client import (
    LabRequest,
    Measured,
    OnlineClient,
    new_session,
    run_open_loop,
)

RUN_S = 30.0
REQUESTS_PER_S = 20
STREAM_TOKENS = 60
NOT_REPEATABLE_SHARE = 0.15
DEADLINE_MS = 15_000
STOPPED_DAEMON = 2
STOP_AT_S = 20.0
START_DELAY_S = 2.0

PLAN = FleetPlan(
    daemons=3,
    engines=8,
    applications=0,
    engine_processes=4,
    proxied=True,
    engine={"slots": 16, "step_s": 0.01},
    daemon={"stop_timeout_s": 30.0},
)


def requests_for(seed: int, daemon: int) -> list[tuple[float, LabRequest]]:
    """Return the requests that one daemon's callers send."""
    source = random.Random(f"{seed} {daemon}")
    last_s = STOP_AT_S if daemon == STOPPED_DAEMON else RUN_S
    per_daemon = REQUESTS_PER_S / PLAN.daemons
    return [
        (
            n / per_daemon,
            LabRequest(
                request_id=f"daemon{daemon}-{n}",
                model=PLAN.model_service,
                prompt=f"{seed} {daemon} {n}",
                tokens=STREAM_TOKENS,
                stream=source.random() < 0.7,
                deadline_ms=DEADLINE_MS,
                repeatable=source.random() >= NOT_REPEATABLE_SHARE,
            ),
        )
        for n in range(int(last_s * per_daemon))
    ]


def send_all(urls: list[str], seed: int, started_s: float) -> list[list[Measured]]:
    """Send every daemon's requests; runs in a process of its own."""

    async def run() -> list[OnlineClient]:
        async with new_session() as session:
            clients = [OnlineClient(session) for _ in urls]
            await asyncio.gather(
                *(
                    run_open_loop(client, [url], requests_for(seed, number), started_s)
                    for number, (client, url) in enumerate(zip(clients, urls, strict=True))
                )
            )
            return clients

    return [client.measured for client in asyncio.run(run())]


def run_faults(seed: int) -> dict[str, Any]:
    """Run the experiment; return its closing line."""
    with (
        Fleet(PLAN) as fleet,
        ProcessPoolExecutor(1, mp_context=multiprocessing.get_context("spawn")) as pool,
    ):
        batch = BatchClient(fleet)
        job = LabJob(f"beside-{seed}", 3000, 16, PLAN.model_service)
        batch.submit(job, fleet.daemons[0])
        started_s = time.monotonic() + START_DELAY_S
        urls = [daemon.callers_url for daemon in fleet.daemons]
        running = pool.submit(send_all, urls, seed, started_s)
        # The last requests are sent just before, so that they are in progress at the stop.
        stop_s = started_s + STOP_AT_S + 0.1 - time.monotonic()
        stopping = threading.Timer(stop_s, fleet.terminate, [stopped_name(fleet)])
        stopping.start()
        left = disturb(fleet, started_s)
        measured = running.result()
        stopping.join()
        exit_code = fleet.processes[stopped_name(fleet)].process.poll()
        batch.wait_ended([job], fleet.daemons[0], time.monotonic() + 60.0)
        batch.read_results(job, fleet.daemons[0])
        batch.record_executions()
        after_leaving_s = max(last_dispatch_after_leaving_s(fleet, name) for name in left)
    return summarize(seed, measured, batch, exit_code, after_leaving_s)


def stopped_name(fleet: Fleet) -> str:
    """Return the name of the daemon that gets the planned stop."""
    return fleet.daemons[STOPPED_DAEMON].daemon_id


def disturb(fleet: Fleet, started_s: float) -> list[int]:
    """Break, freeze and take away back ends; return the numbers of those that left."""
    engines = fleet.engines
    schedule = [
        (2.0, lambda: fleet.set_proxy(engines[0], cut=True)),
        (5.0, lambda: fleet.set_proxy(engines[0])),
        (6.0, lambda: fleet.set_proxy(engines[1], freeze=True)),
        (9.0, lambda: fleet.set_proxy(engines[1])),
        (10.0, lambda: fleet.leave(engines[2])),
        (13.0, lambda: fleet.set_faults(engines[3].url, truncate_share=0.5, cross_share=0.2)),
        (17.0, lambda: fleet.set_faults(engines[3].url)),
        (19.0, lambda: fleet.freeze("engines-0")),
        (21.5, lambda: fleet.thaw("engines-0")),
        (23.0, lambda: fleet.leave(engines[5])),
    ]
    for at_s, action in schedule:
        time.sleep(max(0.0, started_s + at_s - time.monotonic()))
        action()
    return [2, 5]


def last_dispatch_after_leaving_s(fleet: Fleet, number: int) -> float:
    """Return how long after it left a worker still got new work."""
    url = f"{fleet.engines[number].url}/control/executions"
    answer = orjson.loads(fleet.http.request("GET", url).data)
    return float(answer["last_dispatch_after_leaving_s"])


def summarize(
    seed: int,
    measured: list[list[Measured]],
    batch: BatchClient,
    exit_code: int | None,
    after_leaving_s: float,
) -> dict[str, Any]:
    """Return the closing line."""
    everything = [seen for part in measured for seen in part]
    client = OnlineClient(session=None, measured=everything)
    once = [
        NotRepeatableSent(request=seen.request.request_id)
        for seen in everything
        if not seen.request.repeatable
    ]
    executed = [event for event in batch.events if isinstance(event, Executed)]
    report = check_events([*client.events(), *once, *batch.events])
    failed = [seen for seen in everything if seen.request.repeatable and not seen.ok]
    stopped = measured[STOPPED_DAEMON]
    return {
        "experiment": "faults",
        "seed": seed,
        "requests": len(everything),
        "answered": sum(seen.ok for seen in everything),
        "failed_repeatable": len(failed),
        "failed_codes": sorted({seen.code or "cut off" for seen in failed}),
        "failed_not_repeatable": sum(
            not seen.ok and not seen.request.repeatable for seen in everything
        ),
        "cut_off_by_planned_stop": sum(
            not seen.ok and seen.sent_s + 5.0 > last_sent_s(stopped) for seen in stopped
        ),
        "planned_stop_exit_code": exit_code,
        "dispatched_after_leaving_s": round(after_leaving_s, 2),
        "executions": len(executed),
        "not_repeatable_ran_twice": report.not_repeatable_ran_twice,
        "false_refusals": report.ran_after_refusal,
        "crossed": report.crossed,
        "truncated": report.truncated,
        "batch_lost": report.lost,
        "batch_duplicated": report.duplicated,
    }


def last_sent_s(measured: list[Measured]) -> float:
    """Return when the last request was sent."""
    return max(seen.sent_s for seen in measured)
