"""Experiment ``online``: what the daemon adds to a request, while it holds many streams.

One daemon holds about 375 streams at 42 ms a token (40 new ones a second). Beside them, the same
short requests go by turns through the daemon and straight to an engine that is otherwise idle.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import EngineGroup, FleetPlan
from mountstand.lab.online_client import LabRequest, OnlineClient, new_session, run_open_loop
from mountstand.lab.statistics import percentile

STREAMS = 375
TOKEN_S = 0.042
ARRIVALS_PER_S = 40
STREAM_TOKENS = round(STREAMS / ARRIVALS_PER_S / TOKEN_S)
WARM_UP_S = 10.0
MEASURE_S = 15.0
PROBE_INTERVAL_S = 0.02
PROBE_TOKENS = 2

PLAN = FleetPlan(
    daemons=1,
    engines=4,
    applications=0,
    engine_processes=2,
    engine={"slots": 128, "step_s": TOKEN_S, "waiting_limit": 512},
    groups=(EngineGroup("probe", 1, {"slots": 64, "step_s": 0.002}),),
)


def run_online(seed: int) -> dict[str, Any]:
    """Run the experiment; return its closing line."""
    with Fleet(PLAN) as fleet:
        return asyncio.run(measure(fleet, seed))


async def measure(fleet: Fleet, seed: int) -> dict[str, Any]:
    """Hold the streams, probe, and read the daemon's own processor time."""
    daemon = fleet.daemons[0]
    pid = fleet.processes[daemon.daemon_id].process.pid
    engine_url = fleet.grouped_engines["probe"][0].url
    loop = asyncio.get_running_loop()
    # A process of its own, so that its tokens do not delay the measuring client.
    spawning = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(1, mp_context=spawning) as pool:
        background = loop.run_in_executor(pool, hold_streams, daemon.callers_url, seed)
        await asyncio.sleep(WARM_UP_S)
        cpu_before_s, started_s = processor_time_s(pid), time.monotonic()
        async with new_session() as session:
            through, direct = await probe(session, daemon.callers_url, engine_url)
        cpu_s, elapsed_s = processor_time_s(pid) - cpu_before_s, time.monotonic() - started_s
        held = held_streams(fleet, daemon.control_url)
        load = await background
    through_s = [seen.first_token_s for seen in through.measured if seen.ok]
    direct_s = [seen.first_token_s for seen in direct.measured if seen.ok]
    tokens = STREAMS / TOKEN_S * elapsed_s + PROBE_TOKENS * len(through_s)
    return {
        "experiment": "online",
        "seed": seed,
        "streams_held": held,
        "streams_whole": load.whole,
        "streams_sent": load.sent,
        "probes": len(through_s),
        "first_token_direct_ms_p50": milliseconds(percentile(direct_s, 50)),
        "first_token_through_ms_p50": milliseconds(percentile(through_s, 50)),
        "first_token_overhead_ms_p50": milliseconds(
            percentile(through_s, 50) - percentile(direct_s, 50)
        ),
        "first_token_direct_ms_p99": milliseconds(percentile(direct_s, 99)),
        "first_token_through_ms_p99": milliseconds(percentile(through_s, 99)),
        "relay_overhead_ratio_p50": ratio(percentile(through_s, 50), percentile(direct_s, 50)),
        "relay_overhead_ratio_p99": ratio(percentile(through_s, 99), percentile(direct_s, 99)),
        "longest_token_gap_ms_p95": milliseconds(load.longest_gap_s_p95),
        "daemon_core_share": round(cpu_s / elapsed_s, 3),
        "tokens_per_core_second": round(tokens / cpu_s) if cpu_s else 0,
    }


@dataclass(frozen=True)
class HeldStreams:
    """What became of the background streams."""

    sent: int
    whole: int
    longest_gap_s_p95: float


def hold_streams(base_url: str, seed: int) -> HeldStreams:
    """Send the background streams and check each; runs in a process of its own."""

    async def run() -> OnlineClient:
        async with new_session() as session:
            client = OnlineClient(session)
            await run_open_loop(client, [base_url], background_requests(seed))
            return client

    measured = asyncio.run(run()).measured
    gaps_s = [seen.longest_gap_s for seen in measured if seen.ok]
    whole = sum(seen.ok and seen.own for seen in measured)
    return HeldStreams(len(measured), whole, percentile(gaps_s, 95))


def background_requests(seed: int) -> list[tuple[float, LabRequest]]:
    """Return the streams to hold, each with its time."""
    count = int((WARM_UP_S + MEASURE_S) * ARRIVALS_PER_S)
    return [
        (
            n / ARRIVALS_PER_S,
            LabRequest(f"hold-{seed}-{n}", "caption", f"hold {seed} {n}", STREAM_TOKENS),
        )
        for n in range(count)
    ]


async def probe(
    session: Any, daemon_url: str, engine_url: str
) -> tuple[OnlineClient, OnlineClient]:
    """Send the same short requests by turns through the daemon and straight to the engine."""
    through, direct = OnlineClient(session), OnlineClient(session)
    ends_s = time.monotonic() + MEASURE_S
    number = 0
    while time.monotonic() < ends_s:
        request = LabRequest(f"probe-{number}", "probe", f"probe {number}", PROBE_TOKENS)
        await through.send(daemon_url, request)
        await direct.send(engine_url, request)
        number += 1
        await asyncio.sleep(PROBE_INTERVAL_S)
    return through, direct


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def held_streams(fleet: Fleet, control_url: str) -> int:
    """Return how many streams a daemon holds now."""
    answer = fleet.http.request("GET", f"{control_url}/metrics")
    for line in answer.data.decode().splitlines():
        if line.startswith("mountstand_streams_held "):
            return int(float(line.split()[1]))
    return 0


def milliseconds(seconds: float) -> float:
    """Return milliseconds with two decimals."""
    return round(seconds * 1000, 2)


def ratio(part: float, whole: float) -> float:
    """Return ``part / whole`` with three decimals; 0 without a whole."""
    return round(part / whole, 3) if whole else 0.0
