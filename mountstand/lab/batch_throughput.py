"""Experiment ``batch-throughput``: items a second over the engines' own limit."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from mountstand.lab.batch_client import BatchClient, LabJob
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from mountstand.lab.online_client import LabRequest, OnlineClient, new_session

JOBS = 4
ITEMS_PER_JOB = 3000
TOKENS = 32
SLOTS = 32
ENGINES = 6
STEP_S = 0.01
DEADLINE_S = 120.0
DIRECT_ITEMS = JOBS * ITEMS_PER_JOB // 2

PLAN = FleetPlan(
    daemons=3,
    engines=ENGINES,
    applications=0,
    engine_processes=3,
    engine={"slots": SLOTS, "step_s": STEP_S, "waiting_limit": 64},
    daemon={"batch": {"shards": 16, "max_in_flight": 256}},
)


def run_batch_throughput(seed: int) -> dict[str, Any]:
    """Run the experiment; return its closing line."""
    with Fleet(PLAN) as fleet:
        direct_per_s = asyncio.run(drive_directly(fleet, seed))
        client = BatchClient(fleet)
        jobs = [
            LabJob(f"throughput-{seed}-{n}", ITEMS_PER_JOB, TOKENS, PLAN.model_service)
            for n in range(JOBS)
        ]
        started_s = time.monotonic()
        for number, job in enumerate(jobs):
            client.submit(job, fleet.daemons[number % len(fleet.daemons)])
        ended = client.wait_ended(jobs, fleet.daemons[0], started_s + DEADLINE_S)
        elapsed_s = time.monotonic() - started_s
    items = JOBS * ITEMS_PER_JOB
    return {
        "experiment": "batch-throughput",
        "seed": seed,
        "all_ended": ended,
        "items": items,
        "elapsed_s": round(elapsed_s, 2),
        "items_per_s": round(items / elapsed_s, 1),
        "direct_items_per_s": round(direct_per_s, 1),
        "slot_limit_items_per_s": round(ENGINES * SLOTS / (TOKENS * STEP_S), 1),
        "throughput_ratio": round(items / elapsed_s / direct_per_s, 3),
    }


async def drive_directly(fleet: Fleet, seed: int) -> float:
    """Keep every slot of every engine full; return items a second."""
    numbers = iter(range(DIRECT_ITEMS))
    async with new_session() as session:
        client = OnlineClient(session)
        started_s = time.monotonic()
        await asyncio.gather(
            *(
                drive_slot(client, engine.url, numbers, seed)
                for engine in fleet.engines
                for _ in range(round(SLOTS * 1.125))
            )
        )
        elapsed_s = time.monotonic() - started_s
    whole = sum(seen.ok for seen in client.measured)
    return whole / elapsed_s


async def drive_slot(client: OnlineClient, url: str, numbers: Any, seed: int) -> None:
    """Send one item after another to one engine."""
    for number in numbers:
        await client.send(
            url,
            LabRequest(
                f"direct-{seed}-{number}",
                PLAN.model_service,
                f"direct {seed} {number}",
                TOKENS,
                stream=False,
            ),
        )
