"""Experiment ``scale``: what control costs a real daemon beside hollow daemons and workers.

Three fleet sizes up to the one to design for. Two real daemons run beside hollow ones that share
four processes; all workers but two are lines of the machine list that one stand-in answers for.
"""

from __future__ import annotations

import json
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import orjson

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from mountstand.lab.hollow import HollowSpecification
from mountstand.lab.online import processor_time_s
from mountstand.lab.ports import LOOPBACK, free_ports
from mountstand.lab.statistics import percentile
from mountstand.process_settings import SecuritySettings

SIZES = ((46, 537), (123, 1433), (370, 4300))
"""Daemons and workers: an eighth, a third, and all of the size to design for."""

REAL_DAEMONS = 2
HOLLOW_PROCESSES = 4
PERIOD_S = 1.0
RUN_S = 40.0
SETTLE_S = 22.0
"""The real daemons own all shards until they know the hollow ones, and then hand most over."""

WINDOW_S = 12.0
CHANGES = 8
CHANGE_INTERVAL_S = 1.0
ZONES = tuple(f"zone-{n}" for n in range(14))

CONTROL_KINDS = ("table", "machines", "worker", "peer")

PLAN = FleetPlan(
    zones=ZONES,
    daemons=REAL_DAEMONS,
    engines=2,
    applications=0,
    engine_processes=1,
    daemon={
        "membership": {"period_s": PERIOD_S},
        "batch": {"shards": 512},
        "platform": {"machines_poll_s": 1.0},
    },
)


@dataclass
class HollowFleet:
    """The hollow processes of one size."""

    processes: list[subprocess.Popen[bytes]]

    def results(self) -> list[dict[str, Any]]:
        """Wait for the processes and return what they measured."""
        found = []
        for process in self.processes:
            output, _ = process.communicate(timeout=RUN_S + 60.0)
            found.append(orjson.loads(output))
        return found


def run_scale(seed: int) -> dict[str, Any]:
    """Run every size; return the closing line."""
    sizes = [run_size(daemons, workers, seed) for daemons, workers in SIZES]
    return {"experiment": "scale", "seed": seed, "sizes": sizes}


def run_size(daemons: int, workers: int, seed: int) -> dict[str, Any]:
    """Run one size; return its line."""
    with Fleet(PLAN) as fleet:
        members = list_members(fleet, daemons)
        register(fleet, members, workers)
        hollow = start_hollow(fleet, members, seed)
        time.sleep(SETTLE_S)
        before = [measure_daemon(fleet, n) for n in range(REAL_DAEMONS)]
        started_s = time.monotonic()
        accepted_s = change_settings(fleet)
        time.sleep(max(0.0, started_s + WINDOW_S - time.monotonic()))
        after = [measure_daemon(fleet, n) for n in range(REAL_DAEMONS)]
        elapsed_s = time.monotonic() - started_s
        seen = len(fleet.status(fleet.daemons[0], "members"))
        results = hollow.results()
    delays = in_force_delays_s(accepted_s, results)
    cpu = [b["cpu_s"] - a["cpu_s"] for a, b in zip(before, after, strict=True)]
    control = [b["control_bytes"] - a["control_bytes"] for a, b in zip(before, after, strict=True)]
    by_kind = {
        f"{kind}_bytes_per_s": round(
            max(b[f"{kind}_bytes"] - a[f"{kind}_bytes"] for a, b in zip(before, after, strict=True))
            / elapsed_s
        )
        for kind in CONTROL_KINDS
    }
    gossip = [b["gossip_bytes"] - a["gossip_bytes"] for a, b in zip(before, after, strict=True)]
    return {
        "daemons": daemons,
        "workers": workers,
        "members_seen": seen,
        "hollow_members_seen": min(r["live_seen"] for r in results),
        "per_daemon_core_share": round(max(cpu) / elapsed_s, 4),
        "per_daemon_bytes_per_s": round((max(control) + max(gossip)) / elapsed_s),
        "gossip_bytes_per_s": round(max(gossip) / elapsed_s),
        **by_kind,
        "per_daemon_rss_mb": round(max(m["rss_mb"] for m in after), 1),
        "hollow_core_share": round(max(r["core_share"] for r in results), 4),
        "hollow_bytes_per_s": round(max(r["bytes_per_s"] for r in results)),
        "in_force_s_p99": round(percentile(delays, 99), 3),
        "in_force_s_max": round(max(delays, default=0.0), 3),
        "in_force_seen": len(delays),
        "in_force_expected": len(accepted_s) * (daemons - REAL_DAEMONS),
    }


def list_members(fleet: Fleet, daemons: int) -> list[dict[str, Any]]:
    """Return every daemon of the fleet, the real ones first."""
    members = [{"id": d.daemon_id, "port": d.control_port, "zone": d.zone} for d in fleet.daemons]
    ports = free_ports(daemons - REAL_DAEMONS)
    for number, port in enumerate(ports):
        members.append({"id": f"hollow-{number}", "port": port, "zone": ZONES[number % 14]})
    return members


def register(fleet: Fleet, members: list[dict[str, Any]], workers: int) -> None:
    """Put hollow daemons and workers on the machine list."""
    engine = fleet.engines[0]
    machines = [
        {
            "machine_id": member["id"],
            "role": "daemon",
            "address": LOOPBACK,
            "port": member["port"],
            "zone": member["zone"],
        }
        for member in members[REAL_DAEMONS:]
    ]
    for number in range(workers - len(fleet.engines)):
        line = engine.machine()
        line |= {"machine_id": f"worker-{number}", "zone": ZONES[number % 14]}
        line |= {"service": f"model-{number % 15}"}
        machines.append(line)
    fleet.http.request("POST", f"{fleet.machines_url}/control/machines", body=json.dumps(machines))


def start_hollow(fleet: Fleet, members: list[dict[str, Any]], seed: int) -> HollowFleet:
    """Start the hollow processes."""
    hollow = len(members) - REAL_DAEMONS
    share = -(-hollow // HOLLOW_PROCESSES)
    processes = []
    for number in range(HOLLOW_PROCESSES):
        first = REAL_DAEMONS + number * share
        specification = HollowSpecification(
            members=members,
            first=first,
            count=min(share, len(members) - first),
            keys=SecuritySettings().cluster_keys,
            period_s=PERIOD_S,
            run_s=RUN_S,
            seed=seed,
        )
        file = Path(fleet.folder) / f"hollow-{number}.json"
        file.write_text(json.dumps(asdict(specification)))
        processes.append(
            subprocess.Popen(
                [sys.executable, "-m", "mountstand.lab.hollow", str(file)],
                stdout=subprocess.PIPE,
            )
        )
    return HollowFleet(processes)


def change_settings(fleet: Fleet) -> dict[int, float]:
    """Make changes through one real daemon; return when each revision was accepted."""
    accepted_s = {}
    for number in range(CHANGES):
        change = {"path": "services/caption", "values": {"replicas": number + 1}}
        answer = fleet.http.request(
            "POST",
            f"{fleet.daemons[0].control_url}/settings/apply",
            body=json.dumps({"changes": [change]}),
        )
        accepted_s[orjson.loads(answer.data)["revision"]] = time.monotonic()
        time.sleep(CHANGE_INTERVAL_S)
    return accepted_s


def in_force_delays_s(accepted_s: dict[int, float], results: list[dict[str, Any]]) -> list[float]:
    """Return, for each change and hollow daemon, how long it took to be in force there."""
    delays = []
    for result in results:
        for in_force_s in result["in_force_s"]:
            times = {int(revision): time_s for revision, time_s in in_force_s.items()}
            for revision, at_s in accepted_s.items():
                reached = [time_s for number, time_s in times.items() if number >= revision]
                if reached:
                    delays.append(max(0.0, min(reached) - at_s))
    return delays


def measure_daemon(fleet: Fleet, number: int) -> dict[str, float]:
    """Return what a real daemon has used so far."""
    daemon = fleet.daemons[number]
    pid = fleet.processes[daemon.daemon_id].process.pid
    metrics = fleet.http.request("GET", f"{daemon.control_url}/metrics").data.decode()
    return {
        "cpu_s": processor_time_s(pid),
        "rss_mb": resident_mb(pid),
        "gossip_bytes": sum_metric(metrics, "mountstand_datagram_bytes_total"),
        "control_bytes": sum_metric(metrics, "mountstand_control_bytes_total"),
        **{
            f"{kind}_bytes": sum_metric(metrics, f'mountstand_control_bytes_total{{kind="{kind}"')
            for kind in CONTROL_KINDS
        },
    }


def resident_mb(pid: int) -> float:
    """Return a process's resident memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def sum_metric(metrics: str, name: str) -> float:
    """Return the sum of a metric over its labels."""
    return sum(
        float(line.rsplit(" ", 1)[1]) for line in metrics.splitlines() if line.startswith(name)
    )
