"""Experiment ``batch-faults``: heaps of jobs while machines die, freeze and stores fail."""

from __future__ import annotations

import random
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from mountstand.checks.history import check_events, write_history
from mountstand.lab.batch_client import BatchClient, LabJob
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan
from mountstand.lab.statistics import percentile

RUN_S = 32.0
HEAP_INTERVAL_S = 10.0
DRAIN_TIMEOUT_S = 90.0
SHARDS = 8
FAULT_INTERVAL_S = 3.0
RESTART_AFTER_S = 2.0
FREEZE_S = 4.0
OUTAGE_S = 4.0
RECOVERY_TIMEOUT_S = 30.0

PLAN = FleetPlan(
    daemons=4,
    engines=6,
    applications=0,
    engine_processes=2,
    engine={"slots": 32, "step_s": 0.005},
    daemon={
        "batch": {
            "shards": SHARDS,
            "lease_s": 1.0,
            "poll_s": 1.0,
            "commit_interval_s": 0.5,
            "table_ops_per_s": 40.0,
        },
        "membership": {"period_s": 0.25},
        "stop_timeout_s": 10.0,
    },
)


@dataclass
class FaultLog:
    """What was done to the fleet."""

    kills: int = 0
    freezes: int = 0
    store_outages: int = 0
    lost_answer_phases: int = 0
    engine_outages: int = 0
    recoveries_s: list[float] = field(default_factory=list)


class FaultSchedule:
    """Disturbs a fleet by a seeded plan; at most one daemon is down or frozen at a time."""

    def __init__(self, fleet: Fleet, source: random.Random) -> None:
        self.log = FaultLog()
        self._fleet = fleet
        self._random = source
        self._down: set[str] = set()

    def run(self, until_s: float) -> None:
        """Disturb until ``until_s``; then everything is whole again."""
        faults = [
            self._kill,
            self._freeze,
            self._table_outage,
            self._lose_answers,
            self._objects_outage,
            self._engine_outage,
            self._kill_in_outage,
        ]
        self._random.shuffle(faults)
        number = 0
        while time.monotonic() < until_s:
            faults[number % len(faults)]()
            number += 1
            time.sleep(self._random.uniform(0.2, 1.0))

    def kill_after_acknowledgement(self, daemon: DaemonAddress) -> None:
        """End a daemon that has just acknowledged a job, and start it again later."""
        self._down.add(daemon.daemon_id)
        self._fleet.kill(daemon.daemon_id)
        self.log.kills += 1
        self._measure_recovery()
        time.sleep(RESTART_AFTER_S)
        self._fleet.start_daemon(daemon)
        self._down.discard(daemon.daemon_id)

    def _kill(self) -> None:
        self.kill_after_acknowledgement(self._random.choice(self._fleet.daemons))

    def _freeze(self) -> None:
        daemon = self._random.choice(self._fleet.daemons)
        self._down.add(daemon.daemon_id)
        self._fleet.freeze(daemon.daemon_id)
        self.log.freezes += 1
        started_s = time.monotonic()
        self._measure_recovery()
        time.sleep(max(0.0, started_s + FREEZE_S - time.monotonic()))
        self._fleet.thaw(daemon.daemon_id)
        self._down.discard(daemon.daemon_id)

    def _table_outage(self) -> None:
        self._outage(self._fleet.table_url)

    def _objects_outage(self) -> None:
        self._outage(self._fleet.objects_url)

    def _outage(self, url: str) -> None:
        self._fleet.set_faults(url, outage=True)
        self.log.store_outages += 1
        time.sleep(OUTAGE_S)
        self._fleet.set_faults(url)

    def _lose_answers(self) -> None:
        for url in (self._fleet.table_url, self._fleet.objects_url):
            self._fleet.set_faults(url, lose_answer_share=0.3, delay_s=0.02)
        self.log.lost_answer_phases += 1
        time.sleep(OUTAGE_S)
        for url in (self._fleet.table_url, self._fleet.objects_url):
            self._fleet.set_faults(url)

    def _engine_outage(self) -> None:
        engine = self._random.choice(self._fleet.engines)
        self._fleet.set_faults(engine.url, outage=True)
        self.log.engine_outages += 1
        time.sleep(OUTAGE_S)
        self._fleet.set_faults(engine.url)

    def _kill_in_outage(self) -> None:
        """Two at once: a daemon dies while the table is down, and again when it is back."""
        self._fleet.set_faults(self._fleet.table_url, outage=True)
        self.log.store_outages += 1
        daemon = self._random.choice(self._fleet.daemons)
        self._down.add(daemon.daemon_id)
        self._fleet.kill(daemon.daemon_id)
        self.log.kills += 1
        time.sleep(OUTAGE_S)
        self._fleet.set_faults(self._fleet.table_url)
        self._measure_recovery()
        self._fleet.start_daemon(daemon)
        self._down.discard(daemon.daemon_id)

    def _measure_recovery(self) -> None:
        """Measure how long it takes until live daemons own every shard again."""
        started_s = time.monotonic()
        while time.monotonic() - started_s < RECOVERY_TIMEOUT_S:
            if self._owned_shards() == set(range(SHARDS)):
                break
            time.sleep(0.05)
        self.log.recoveries_s.append(time.monotonic() - started_s)

    def _owned_shards(self) -> set[int]:
        owned: set[int] = set()
        for daemon in self._fleet.daemons:
            if daemon.daemon_id in self._down:
                continue
            try:
                owned |= set(self._fleet.status(daemon, "owner")["shards"])
            except (urllib3.exceptions.HTTPError, OSError):
                continue
        return owned


def run_batch_faults(seed: int, history: Path | None = None) -> dict[str, Any]:
    """Run the experiment; return its closing line."""
    source = random.Random(seed)
    with Fleet(PLAN) as fleet:
        client = BatchClient(fleet)
        schedule = FaultSchedule(fleet, source)
        started_s = time.monotonic()
        ends_s = started_s + RUN_S
        jobs, cancelled = start_jobs(client, schedule, source, ends_s)
        everything = [*jobs, *cancelled]
        ended = client.wait_ended(everything, fleet.daemons[0], time.monotonic() + DRAIN_TIMEOUT_S)
        elapsed_s = time.monotonic() - started_s
        # Status reads of callers are theirs; the rest is what running the jobs costs.
        table_operations = fleet.operations(fleet.table_url) - client.reads
        object_operations = fleet.operations(fleet.objects_url)
        time.sleep(1.0)
        for job in everything:
            client.read_results(job, source.choice(fleet.daemons))
        client.record_executions()
    if history is not None:
        write_history(history, client.events)
    report = check_events(client.events)
    thousands = max(1, report.completed) / 1000
    return {
        "experiment": "batch-faults",
        "seed": seed,
        "all_ended": ended,
        "elapsed_s": round(elapsed_s, 1),
        **report.as_dict(),
        "kills": schedule.log.kills,
        "freezes": schedule.log.freezes,
        "store_outages": schedule.log.store_outages,
        "lost_answer_phases": schedule.log.lost_answer_phases,
        "engine_outages": schedule.log.engine_outages,
        "recovery_s_p99": round(percentile(schedule.log.recoveries_s, 99), 2),
        "caller_status_reads": client.reads,
        "table_ops_per_1000_items": round(table_operations / thousands, 2),
        "object_ops_per_1000_items": round(object_operations / thousands, 2),
    }


def start_jobs(
    client: BatchClient, schedule: FaultSchedule, source: random.Random, ends_s: float
) -> tuple[list[LabJob], list[LabJob]]:
    """Submit heaps and disturb the fleet until ``ends_s``; return jobs and cancelled jobs."""
    jobs: list[LabJob] = []
    cancelled: list[LabJob] = []
    first = LabJob("acknowledged", 500, 8, PLAN.model_service)
    daemon = source.choice(client.fleet.daemons)
    client.submit(first, daemon)
    jobs.append(first)
    heaps = threading.Thread(
        target=submit_heaps, args=(client, source.randrange(2**32), ends_s, jobs, cancelled)
    )
    heaps.start()
    schedule.kill_after_acknowledgement(daemon)
    schedule.run(ends_s)
    heaps.join()
    client.fleet.wait_ready(client.fleet.daemons)
    return jobs, cancelled


def submit_heaps(
    client: BatchClient,
    seed: int,
    ends_s: float,
    jobs: list[LabJob],
    cancelled: list[LabJob],
) -> None:
    """Submit a heap of jobs every ten seconds; cancel one job of each."""
    source = random.Random(seed)
    heap = 0
    model = PLAN.model_service
    while time.monotonic() < ends_s - 3.0:
        heap_ends_s = time.monotonic() + HEAP_INTERVAL_S
        new = [
            LabJob(f"heap{heap}-large{n}", 4000, 8, model, priority=source.randrange(10))
            for n in range(3)
        ]
        new.append(LabJob(f"heap{heap}-once", 160, 8, model, repeatable=False, priority=1))
        doomed = LabJob(f"heap{heap}-cancelled", 4000, 8, model, priority=0)
        threads = [
            threading.Thread(target=client.submit_until_accepted, args=(job, ends_s + 30.0))
            for job in [*new, doomed]
        ]
        for thread in threads:
            thread.start()
        jobs += new
        time.sleep(source.uniform(1.0, 3.0))
        for thread in threads:
            thread.join()
        cancel_or_keep(client, source, doomed, jobs, cancelled)
        client.submit(new[0], source.choice(client.fleet.daemons))
        heap += 1
        time.sleep(max(0.0, min(heap_ends_s, ends_s) - time.monotonic()))


def cancel_or_keep(
    client: BatchClient,
    source: random.Random,
    job: LabJob,
    jobs: list[LabJob],
    cancelled: list[LabJob],
) -> None:
    """Cancel a job; when that is not acknowledged, it counts as neither kept nor cancelled."""
    for _ in range(10):
        daemon = source.choice(client.fleet.daemons)
        if client.cancel(job, daemon):
            cancelled.append(job)
            return
        document = client.document(job, daemon)
        if document is not None and document["status"] == "completed":
            jobs.append(job)
            return
        time.sleep(0.3)
    cancelled.append(job)
