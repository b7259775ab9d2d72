"""Experiment ``shared-fleet``: bursts of online requests with batch off, then with batch on.

Both phases get the same requests at the same times. In every burst all callers arrive within a
second. Batch heaps come every ten seconds and are larger than the idle capacity.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import random
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import orjson

from mountstand.checks.history import Executed, HistoryEvent, check_events
from mountstand.emulator.engine_core import PrefixCache
from mountstand.engines.prefix_blocks import prefix_blocks
from mountstand.lab.batch_client import BatchClient, LabJob
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from mountstand.lab.online import milliseconds, ratio
from mountstand.lab.online_client import (
    LabRequest,
    Measured,
    OnlineClient,
    new_session,
    run_open_loop,
)
from mountstand.lab.statistics import percentile

PHASE_S = 18.0
BURST_INTERVAL_S = 5.0
BURST_REQUESTS = 60
BURST_SPREAD_S = 0.8
STEADY_PER_S = 8
ONLINE_TOKENS = 16
ALBUMS = 24
ALBUM_NOTE_CHARACTERS = 1500
LATE_S = 1.9
STEP_S = 0.008
SLOTS = 16
BATCH_TOKENS = 24
HEAP_INTERVAL_S = 10.0
JOBS_PER_HEAP = 6
CACHE_BLOCKS = 400

ENGINES = {"guild": 6, "franchise": 9}
APPLICATIONS = 3


@dataclass(frozen=True)
class PhaseResult:
    """What callers saw in one phase."""

    measured: list[Measured]
    events: list[HistoryEvent]

    @property
    def totals_s(self) -> list[float]:
        """Times of whole answers."""
        return [seen.total_s for seen in self.measured if seen.ok]

    @property
    def late_share(self) -> float:
        """Share of requests refused, broken or answered too late."""
        late = sum(not seen.ok or seen.total_s > LATE_S for seen in self.measured)
        return late / len(self.measured)

    @property
    def refused(self) -> int:
        """Requests answered with an error."""
        return sum(seen.status not in (0, 200) for seen in self.measured)


def plan_for(fleet: str) -> FleetPlan:
    """Return the plan of one user's fleet."""
    return FleetPlan(
        daemons=3,
        engines=ENGINES[fleet],
        applications=APPLICATIONS,
        engine_processes=3,
        engine={"slots": SLOTS, "step_s": STEP_S, "cache_blocks": CACHE_BLOCKS},
        daemon={"batch": {"max_in_flight": 256}},
    )


def online_requests(phase: str, seed: int) -> list[tuple[float, LabRequest]]:
    """Return a phase's requests with their times; only the ids differ between phases."""
    source = random.Random(seed)
    times = [n / STEADY_PER_S for n in range(int(PHASE_S * STEADY_PER_S))]
    burst_s = 2.0
    while burst_s < PHASE_S - BURST_SPREAD_S:
        times += [burst_s + source.random() * BURST_SPREAD_S for _ in range(BURST_REQUESTS)]
        burst_s += BURST_INTERVAL_S
    requests = []
    for number, at_s in enumerate(sorted(times)):
        album = source.randrange(ALBUMS)
        note = f"album {album} of seed {seed}: " + f"note {album} " * (ALBUM_NOTE_CHARACTERS // 8)
        prompt = f"{note} photo {source.randrange(10_000)}"
        requests.append(
            (at_s, LabRequest(f"{phase}-{number}", "caption", prompt, ONLINE_TOKENS, False))
        )
    return requests


def run_phase(base_urls: list[str], phase: str, seed: int) -> PhaseResult:
    """Send a phase's requests; runs in a process of its own."""

    async def run() -> OnlineClient:
        async with new_session() as session:
            client = OnlineClient(session)
            await run_open_loop(client, base_urls, online_requests(phase, seed))
            return client

    client = asyncio.run(run())
    return PhaseResult(client.measured, client.events())


def run_shared_fleet(fleet_name: str, seed: int) -> dict[str, Any]:
    """Run the experiment; return its closing line."""
    with (
        Fleet(plan_for(fleet_name)) as fleet,
        ProcessPoolExecutor(1, mp_context=multiprocessing.get_context("spawn")) as pool,
    ):
        urls = [daemon.callers_url for daemon in fleet.daemons]
        off = pool.submit(run_phase, urls, "off", seed).result()
        client = BatchClient(fleet)
        running = pool.submit(run_phase, urls, "on", seed)
        started_s = time.monotonic()
        jobs = submit_heaps(client, seed, started_s)
        on = running.result()
        elapsed_s = time.monotonic() - started_s
        done = sum(completed_items(client, job) for job in jobs)
        executions = [
            Executed(
                label=e["label"],
                dispatch=e["request_id"],
                started_s=e["started_s"],
                worker=e["worker"],
            )
            for e in fleet.executions()
        ]
        hits = prefix_hits(fleet)
    report = check_events([*off.events, *on.events, *executions])
    batch_per_s = done / elapsed_s
    possible_per_s = idle_items_per_s(ENGINES[fleet_name], len(on.measured), elapsed_s)
    return {
        "experiment": "shared-fleet",
        "fleet": fleet_name,
        "seed": seed,
        "online_requests": len(on.measured),
        "online_p50_ms": milliseconds(percentile(on.totals_s, 50)),
        "online_p99_ms": milliseconds(percentile(on.totals_s, 99)),
        "online_p50_ms_batch_off": milliseconds(percentile(off.totals_s, 50)),
        "online_p99_ms_batch_off": milliseconds(percentile(off.totals_s, 99)),
        "online_p99_harm_ratio": ratio(percentile(on.totals_s, 99), percentile(off.totals_s, 99)),
        "online_late_share": round(on.late_share, 4),
        "online_late_share_batch_off": round(off.late_share, 4),
        "batch_items_per_s": round(batch_per_s, 1),
        "batch_throughput_ratio": ratio(batch_per_s, possible_per_s),
        "prefix_hit_ratio": hits,
        "prefix_hit_ratio_random": random_prefix_hits(seed, ENGINES[fleet_name]),
        "refused": on.refused + off.refused,
        "false_refusals": report.ran_after_refusal,
        "crossed": report.crossed,
        "truncated": report.truncated,
    }


def submit_heaps(client: BatchClient, seed: int, started_s: float) -> list[LabJob]:
    """Submit a heap of jobs every ten seconds while the phase runs; return the jobs."""
    jobs: list[LabJob] = []
    heap = 0
    while time.monotonic() - started_s < PHASE_S - 1.0:
        for number in range(JOBS_PER_HEAP):
            job = LabJob(f"heap-{seed}-{heap}-{number}", 2000, BATCH_TOKENS, "caption")
            client.submit(job, client.fleet.daemons[number % len(client.fleet.daemons)])
            jobs.append(job)
        heap += 1
        next_s = started_s + heap * HEAP_INTERVAL_S
        time.sleep(max(0.0, min(next_s, started_s + PHASE_S) - time.monotonic()))
    return jobs


def completed_items(client: BatchClient, job: LabJob) -> int:
    """Return how many items of a job are complete."""
    document = client.document(job, client.fleet.daemons[0])
    return int(document["request_counts"]["completed"]) if document else 0


def idle_items_per_s(engines: int, online_requests: int, elapsed_s: float) -> float:
    """Return the batch items a second that the slots left by online requests could run."""
    slot_seconds = engines * SLOTS * elapsed_s - online_requests * ONLINE_TOKENS * STEP_S
    return slot_seconds / (BATCH_TOKENS * STEP_S) / elapsed_s


def prefix_hits(fleet: Fleet) -> float:
    """Return the share of prompt blocks that engines found in their caches."""
    cached = total = 0
    for engine in fleet.engines:
        answer = orjson.loads(fleet.http.request("GET", f"{engine.url}/control/cache").data)
        cached += answer["cached_blocks"]
        total += answer["prompt_blocks"]
    return ratio(cached, total)


def random_prefix_hits(seed: int, engines: int) -> float:
    """Return the same share for the same requests under a random choice of engine."""
    source = random.Random(seed)
    caches = [PrefixCache(CACHE_BLOCKS) for _ in range(engines)]
    cached = total = 0
    for phase in ("off", "on"):
        for _, request in online_requests(phase, seed):
            blocks = prefix_blocks(request.prompt)
            cache = source.choice(caches)
            cached += cache.match(blocks)
            total += len(blocks)
            cache.store(blocks)
    return ratio(cached, total)
