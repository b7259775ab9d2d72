"""Experiment ``configuration``: two operators race while daemons die, freeze, are cut and start.

An operator sets a counter in one branch, always under the revision it read. Observers ask every
daemon which revision is in force. A change counts as in force everywhere when every daemon that was
reachable all along has it.
"""

from __future__ import annotations

import contextlib
import json
import random
import threading
import time
from dataclasses import dataclass, field
from typing import Any

import orjson
import urllib3

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan
from mountstand.lab.statistics import percentile

RUN_S = 25.0
CHANGE_INTERVAL_S = 0.15
OBSERVE_INTERVAL_S = 0.02
SETTLE_S = 8.0
FREEZE_S = 3.0
OUTAGE_S = 4.0
REQUEST_TIMEOUT_S = 5.0
OBSERVE_TIMEOUT_S = 0.5
BRANCHES = ("services/caption", "tenants/guild")

PLAN = FleetPlan(
    daemons=5,
    engines=2,
    applications=0,
    engine_processes=1,
    daemon={"membership": {"period_s": 0.25}, "batch": {"shards": 4}},
)


@dataclass(frozen=True)
class AcceptedChange:
    """A change that an operator was told is accepted."""

    revision: int
    path: str
    value: int
    time_s: float


@dataclass(frozen=True)
class Observation:
    """What a daemon said of its tree."""

    daemon_id: str
    time_s: float
    process_number: int
    revision: int
    values: dict[str, int]


@dataclass
class ConfigurationRecord:
    """All that was seen."""

    accepted: list[AcceptedChange] = field(default_factory=list)
    conflicts: int = 0
    refused: int = 0
    unclear: int = 0
    observations: list[Observation] = field(default_factory=list)
    disturbed: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    lock: threading.Lock = field(default_factory=threading.Lock)


class Operator(threading.Thread):
    """Changes both branches in one transaction or one of them, again and again."""

    def __init__(self, fleet: Fleet, record: ConfigurationRecord, seed: int, until_s: float):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._record = record
        self._random = random.Random(seed)
        self._until_s = until_s
        self._next_value = seed % 1000 * 100_000 + 1

    def run(self) -> None:
        """Change until the time is over."""
        while time.monotonic() < self._until_s:
            daemon = self._random.choice(self._fleet.daemons)
            try:
                self._change(daemon)
            except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                self._record.unclear += 1
            time.sleep(self._random.uniform(0.5, 1.5) * CHANGE_INTERVAL_S)

    def _change(self, daemon: DaemonAddress) -> None:
        http = self._fleet.http
        answer = http.request(
            "GET", f"{daemon.control_url}/settings/tree", timeout=OBSERVE_TIMEOUT_S
        )
        branches = orjson.loads(answer.data)["branches"]
        paths = [self._random.choice(BRANCHES)] if self._random.random() < 0.5 else BRANCHES
        self._next_value = self._next_value % 600_000 + 1
        changes = [
            {
                "path": path,
                "values": {"default_deadline_ms": self._next_value},
                "expected_revision": branches.get(path, {"revision": 0})["revision"],
            }
            for path in paths
        ]
        answer = http.request(
            "POST",
            f"{daemon.control_url}/settings/apply",
            body=json.dumps({"changes": changes}),
            timeout=REQUEST_TIMEOUT_S,
        )
        self._note(orjson.loads(answer.data), answer.status, list(paths))

    def _note(self, document: dict[str, Any], status: int, paths: list[str]) -> None:
        with self._record.lock:
            if status == 200:
                for path in paths:
                    self._record.accepted.append(
                        AcceptedChange(
                            document["revision"], path, self._next_value, time.monotonic()
                        )
                    )
            elif document["code"] == "settings_conflict":
                self._record.conflicts += 1
            elif document["executed"] == "no":
                self._record.refused += 1
            else:
                self._record.unclear += 1


class Observer(threading.Thread):
    """Asks one daemon for its tree, again and again."""

    def __init__(
        self, fleet: Fleet, daemon: DaemonAddress, record: ConfigurationRecord, until_s: float
    ) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._daemon = daemon
        self._record = record
        self._until_s = until_s

    def run(self) -> None:
        """Observe until the time is over."""
        while time.monotonic() < self._until_s:
            process = self._fleet.processes[self._daemon.daemon_id].process.pid
            with contextlib.suppress(urllib3.exceptions.HTTPError, ValueError, KeyError):
                self._observe(process)
            time.sleep(OBSERVE_INTERVAL_S)

    def _observe(self, process: int) -> None:
        base = self._daemon.control_url
        ready = self._fleet.http.request("GET", f"{base}/readyz", timeout=OBSERVE_TIMEOUT_S)
        if ready.status != 200:
            return
        answer = self._fleet.http.request("GET", f"{base}/settings/tree", timeout=OBSERVE_TIMEOUT_S)
        tree = orjson.loads(answer.data)
        values = {
            path: branch["values"]["default_deadline_ms"]
            for path, branch in tree["branches"].items()
        }
        with self._record.lock:
            self._record.observations.append(
                Observation(
                    self._daemon.daemon_id, time.monotonic(), process, tree["revision"], values
                )
            )


def disturb(
    fleet: Fleet, record: ConfigurationRecord, source: random.Random, until_s: float
) -> None:
    """Kill, freeze and start daemons and take the table away, by a seeded plan."""
    number = 0
    while time.monotonic() < until_s - OUTAGE_S - 1.0:
        daemon = source.choice(fleet.daemons)
        started_s = time.monotonic()
        fault = ("kill", "freeze", "start in outage", "outage")[number % 4]
        number += 1
        if fault == "kill":
            fleet.kill(daemon.daemon_id)
            time.sleep(1.0)
            fleet.start_daemon(daemon)
            fleet.wait_ready([daemon])
        elif fault == "freeze":
            fleet.freeze(daemon.daemon_id)
            time.sleep(FREEZE_S)
            fleet.thaw(daemon.daemon_id)
        else:
            fleet.set_faults(fleet.table_url, outage=True)
            if fault == "start in outage":
                fleet.kill(daemon.daemon_id)
                fleet.start_daemon(daemon)
            time.sleep(OUTAGE_S)
            fleet.set_faults(fleet.table_url)
        if fault != "outage":
            record.disturbed.setdefault(daemon.daemon_id, []).append(
                (started_s, time.monotonic() + 1.0)
            )


def run_configuration(seed: int) -> dict[str, Any]:
    """Run the experiment; return its closing line."""
    record = ConfigurationRecord()
    with Fleet(PLAN) as fleet:
        until_s = time.monotonic() + RUN_S
        operators = [Operator(fleet, record, seed + n, until_s) for n in range(2)]
        observers = [Observer(fleet, d, record, until_s + SETTLE_S) for d in fleet.daemons]
        for thread in [*operators, *observers]:
            thread.start()
        disturb(fleet, record, random.Random(seed), until_s)
        for thread in [*operators, *observers]:
            thread.join()
        final = {d.daemon_id: fleet.status(d, "settings")["revision"] for d in fleet.daemons}
        tree = orjson.loads(
            fleet.http.request("GET", f"{fleet.daemons[0].control_url}/settings/tree").data
        )
    return summarize(seed, record, final, tree)


def summarize(
    seed: int, record: ConfigurationRecord, final: dict[str, int], tree: dict[str, Any]
) -> dict[str, Any]:
    """Return the closing line."""
    delays_s = in_force_delays_s(record)
    return {
        "experiment": "configuration",
        "seed": seed,
        "accepted": len({change.revision for change in record.accepted}),
        "conflicts": record.conflicts,
        "refused_in_outage": record.refused,
        "unclear": record.unclear,
        "in_force_s_p50": round(percentile(delays_s, 50), 3),
        "in_force_s_p99": round(percentile(delays_s, 99), 3),
        "in_force_s_max": round(max(delays_s, default=0.0), 3),
        "reverts": count_reverts(record),
        "lost_accepted": count_lost(record, final, tree),
        "half_applied": count_half_applied(record),
        "revisions_agree": len(set(final.values())) == 1,
        "observations": len(record.observations),
    }


def in_force_delays_s(record: ConfigurationRecord) -> list[float]:
    """Return, for each change and each daemon not disturbed then, the time until it had it."""
    by_daemon: dict[str, list[Observation]] = {}
    for observation in record.observations:
        by_daemon.setdefault(observation.daemon_id, []).append(observation)
    delays = []
    for change in record.accepted:
        for daemon_id, observations in by_daemon.items():
            if was_disturbed(record, daemon_id, change.time_s):
                continue
            seen = [o.time_s for o in observations if o.revision >= change.revision]
            delays.append(max(0.0, min(seen) - change.time_s) if seen else float("inf"))
    return delays


def was_disturbed(record: ConfigurationRecord, daemon_id: str, time_s: float) -> bool:
    """Return whether a daemon was dead or frozen at that time, or soon after."""
    return any(
        start_s - 1.0 <= time_s <= end_s for start_s, end_s in record.disturbed.get(daemon_id, [])
    )


def count_reverts(record: ConfigurationRecord) -> int:
    """Return how often a daemon showed a lower revision than it had shown before."""
    highest: dict[str, int] = {}
    reverts = 0
    for observation in sorted(record.observations, key=lambda o: o.time_s):
        before = highest.get(observation.daemon_id, 0)
        reverts += observation.revision < before
        highest[observation.daemon_id] = max(before, observation.revision)
    return reverts


def count_lost(record: ConfigurationRecord, final: dict[str, int], tree: dict[str, Any]) -> int:
    """Return how many accepted changes are neither in force nor overridden by a later one."""
    lost = 0
    newest: dict[str, AcceptedChange] = {}
    for change in record.accepted:
        lost += any(revision < change.revision for revision in final.values())
        if change.path not in newest or newest[change.path].revision < change.revision:
            newest[change.path] = change
    for path, change in newest.items():
        branch = tree["branches"].get(path, {"revision": 0, "values": {}})
        same = branch["values"].get("default_deadline_ms") == change.value
        lost += branch["revision"] < change.revision
        lost += branch["revision"] == change.revision and not same
    return lost


def count_half_applied(record: ConfigurationRecord) -> int:
    """Return how many observations show only a part of a transaction."""
    by_revision: dict[int, list[AcceptedChange]] = {}
    for change in record.accepted:
        by_revision.setdefault(change.revision, []).append(change)
    return sum(
        observation.values.get(change.path) != change.value
        for observation in record.observations
        for change in by_revision.get(observation.revision, [])
    )
