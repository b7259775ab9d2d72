"""The processes of a soak: a store, workers and real serving processes behind fault proxies."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
from base64 import b64encode
from pathlib import Path
from typing import Any

from mountstand.lab.ports import free_ports
from mountstand.store.rows import RowKey, Transaction
from mountstand.transport.http_client import ConnectFailed, ReplyBroken, connect
from tests.soak.crashing import AWAY_S, CrashingRuns
from tests.soak.history import CANCEL_S, DRAIN_S, MAX_ATTEMPTS, History
from tests.soak.proxy import FaultProxy
from tests.soak.tenants import OVERSHOOT, SLACK, WINDOW_S, SoakTenants
from tests.soak.workers import EVENT_GAP_S, SLOTS, SoakWorker
from tests.soak.zones import REGION, ZONES, SoakZones
from tests.stand_ins.store import StandInStore

ROOT = Path(__file__).parents[2]
HOST = "soak.example"
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
GRACE_S = 8.0
ONLINE_TIMEOUT_S = 4.0
READY_TIMEOUT_S = 20.0
LAPSE_S = 3.6
"""The platform's entry of a worker that crashed goes after three heartbeats."""


def configuration(
    version: int,
    extra_prefixes: list[str],
    tenants: list[dict[str, Any]],
    service: dict[str, Any],
) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    routes = [
        {"name": "stream", "path_prefix": "/stream/", "kind": "streaming", "resumable": True},
        {"name": "whole-stream", "path_prefix": "/single/", "kind": "streaming"},
        {"name": "plain", "path_prefix": "/plain/", "kind": "idempotent"},
        {"name": "once", "path_prefix": "/once/", "kind": "non_idempotent"},
        {"name": "batch", "path_prefix": "/batch/", "kind": "batch", "retention_s": 600},
    ]
    routes += [
        {"name": f"extra-{prefix}", "path_prefix": prefix, "kind": "idempotent"}
        for prefix in extra_prefixes
    ]
    common = {
        "host": HOST,
        "service": "llm",
        "timeout_ms": ONLINE_TIMEOUT_S * 1000,
        "target_latency_ms": 500,
        "max_attempts": MAX_ATTEMPTS,
        "completion_target_ms": 20000,
        "gap_aim_ms": 500,
    }
    return {
        "version": version,
        "routes": [{**common, **route} for route in routes],
        "services": [{"name": "llm", "max_conns": 200, **service}],
        "limits": {"header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants,
    }


class ServingProcess:
    """One serving process; every way to it and from it passes a proxy."""

    def __init__(
        self,
        name: str,
        zone: str,
        store_port: int,
        folder: Path,
        rng: random.Random,
        bounds: dict[str, Any],
    ) -> None:
        self.name = name
        self.zone = zone
        self._bounds = bounds
        self.front, self.ready, self.directory, self.gossip = free_ports(4)
        self.caller_link = FaultProxy(self.front, rng)
        self.store_link = FaultProxy(store_port, rng)
        self.disturbed_until_s = 0.0
        self.stopping = False
        self.frozen = False
        self.code = ROOT
        """Folder of the code that the next start takes."""

        self.unplanned_ends = 0
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None

    @property
    def running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, and its proxies if this is the first start."""
        if not self.caller_link.port:
            await self.caller_link.start()
            await self.store_link.start()
            self._settings.write_text(json.dumps(self._fields()))
        self.stopping = False
        self.frozen = False
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "mountstand.platform",
                cwd=self.code,
                env={**os.environ, "MOUNTSTAND_SETTINGS": str(self._settings)},
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(number)

    async def wait_ended(self, limit_s: float) -> bool:
        """Wait for the end; returns whether it came within ``limit_s``."""
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), limit_s)
        except TimeoutError:
            return False
        return True

    async def stop(self) -> None:
        """End the process and its proxies."""
        if self.running:
            self.signal(signal.SIGKILL)
            await self.wait_ended(5.0)
        self.caller_link.stop()
        self.store_link.stop()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            conn = await connect("127.0.0.1", self.ready, 0.5)
            try:
                async with asyncio.timeout(1.0):
                    conn.send("GET", "/ready", [("Host", "ready")], b"")
                    return (await conn.read_head()).status == 200
            finally:
                conn.close()
        except (ConnectFailed, ReplyBroken, TimeoutError, OSError):
            return False

    def note_disturbed(self, until_s: float) -> None:
        """Bind no rule with a time to this process until ``until_s`` and contact is back."""
        self.disturbed_until_s = max(self.disturbed_until_s, until_s + CONTACT_S)

    def in_touch(self, since_s: float) -> bool:
        """Return whether nothing has disturbed the process since ``since_s``."""
        return self.running and since_s > self.disturbed_until_s

    def _fields(self) -> dict[str, Any]:
        return {
            "node": self.name,
            "zone": self.zone,
            "zones": dict.fromkeys(ZONES, REGION),
            "ip": "127.0.0.1",
            "internal_ports": [self.gossip, self.gossip],
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
                "directory": f"127.0.0.1:{self.directory}",
            },
            "bounds": {
                "grace_s": GRACE_S,
                "ttl_max_s": 5,
                "contact_ms": CONTACT_S * 1000,
                "cancel_ms": CANCEL_S * 1000,
                "drain_ms": DRAIN_S * 1000,
                "quota_window_s": WINDOW_S,
                "quota_overshoot": OVERSHOOT,
                "quota_slack": SLACK,
                **self._bounds,
            },
            "limits": {"max_fds": 512, "memory_mb": 256},
            "platform": {"address": f"127.0.0.1:{self.store_link.port}", "row_bytes": 65536},
        }


class Site:
    """Everything that one soak runs."""

    def __init__(
        self,
        processes: int,
        workers: int,
        folder: Path,
        rng: random.Random,
        crash_rng: random.Random,
        *,
        zones: bool = False,
        code: Path = ROOT,
        event_gap_s: float = EVENT_GAP_S,
        versions: bool = False,
    ) -> None:
        self._versions = ("v1", "v2") if versions else ("",)
        self._event_gap_s = event_gap_s
        self._code = code
        self.history = History()
        self.zones = SoakZones(self.history, played=zones)
        self.crashing = CrashingRuns(self.history)
        self._crash_rng = crash_rng
        self._restarts: set[asyncio.Task[None]] = set()
        self.crashes = 0
        self.history.all_in_touch = self.all_in_touch
        self.store = StandInStore()
        self.rng = rng
        self.workers: list[SoakWorker] = []
        self.worker_links: dict[str, FaultProxy] = {}
        self.processes: list[ServingProcess] = []
        self.config_version = 0
        self.extra_prefixes: list[str] = []
        self.tenants = SoakTenants(rng)
        self.store_disturbed_until_s = 0.0
        self._folder = folder
        self._counts = (processes, workers)
        self._next_worker = 0

    async def start(self) -> None:
        """Start all and wait until each process is ready."""
        processes, workers = self._counts
        await self.store.start()
        self.write_configuration()
        for _ in range(workers):
            await self.add_worker()
        for i in range(processes):
            zone = self.zones.zone_of(i)
            bounds = self.zones.settings()
            process = ServingProcess(
                f"front-{i}", zone, self.store.port, self._folder, self.rng, bounds
            )
            process.code = self._code
            self.processes.append(process)
            await process.start()
        for process in self.processes:
            await self.wait_ready(process)

    async def stop(self) -> None:
        """End everything that this soak started."""
        for task in list(self._restarts):
            task.cancel()
        for process in self.processes:
            await process.stop()
        for worker in self.workers:
            await worker.server.stop()
        for link in self.worker_links.values():
            link.stop()
        await self.store.stop()

    async def wait_ready(self, process: ServingProcess) -> None:
        """Wait until a process is ready."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + READY_TIMEOUT_S
        while not await process.is_ready():
            if loop.time() > deadline_s:
                raise AssertionError(f"{process.name} not ready after {READY_TIMEOUT_S} s")
            await asyncio.sleep(0.05)

    def all_in_touch(self, since_s: float) -> bool:
        """Return whether nothing has disturbed any process since ``since_s``."""
        return all(process.in_touch(since_s) for process in self.processes)

    def write_configuration(self) -> int:
        """Write the next version; returns it."""
        self.config_version += self.rng.randint(1, 5)
        entries = self.tenants.entries()
        service = self.zones.service()
        fields = configuration(self.config_version, self.extra_prefixes, entries, service)
        self._write_row("op", "config", fields)
        return self.config_version

    async def add_worker(self) -> SoakWorker:
        """Start a worker and list it."""
        worker = SoakWorker(
            f"w{self._next_worker}",
            self.history,
            self.rng,
            self.crashing,
            self._note_crash,
            self.zones,
            self._event_gap_s,
            self._versions[self._next_worker % len(self._versions)],
        )
        self.zones.add_worker(worker.worker_id, self._next_worker)
        self._next_worker += 1
        await worker.server.start()
        link = await FaultProxy(worker.server.port, self.rng).start()
        self.workers.append(worker)
        self.worker_links[worker.worker_id] = link
        self.list_worker(worker, "ready")
        return worker

    def crash_some(self, share: float) -> None:
        """Crash a share of the workers at the same moment, whatever they run."""
        live = [worker for worker in self.workers if not worker.crashed]
        for worker in self._crash_rng.sample(live, round(share * len(live))):
            worker.crashed = True
            self._note_crash(worker)

    def _note_crash(self, worker: SoakWorker) -> None:
        task = asyncio.create_task(self._replace_crashed(worker))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _replace_crashed(self, worker: SoakWorker) -> None:
        """Let a worker end without a word; a new one starts, and the old entry lapses later."""
        self.crashes += 1
        if worker in self.workers:
            self.workers.remove(worker)
        self.worker_links[worker.worker_id].stop()
        await worker.server.stop()
        away_s = self._crash_rng.uniform(*AWAY_S)
        await asyncio.sleep(away_s)
        await self.add_worker()
        await asyncio.sleep(max(0.0, LAPSE_S - away_s))
        self.store.rows.apply(Transaction(removals=[RowKey("servers", "", worker.worker_id)]))

    def list_worker(self, worker: SoakWorker, state: str) -> None:
        """Write a worker's row as the worker does."""
        row = {
            "service": "llm",
            "address": f"127.0.0.1:{self.worker_links[worker.worker_id].port}",
            "slots": SLOTS,
            "state": state,
            **self.zones.row_of(worker.worker_id),
        }
        if worker.software_version:
            row["version"] = worker.software_version
        self._write_row("servers", worker.worker_id, row)
        if state == "draining" and worker.draining_since_s is None:
            worker.draining_since_s = asyncio.get_running_loop().time()

    def evacuate(self, zone: str) -> None:
        """Take a zone out of use."""
        self._write_row("op", f"evacuate/{zone}", {})
        self.zones.evacuated_since_s[zone] = asyncio.get_running_loop().time()

    def take_back(self, zone: str) -> None:
        """Take the evacuation of a zone back; its workers have started anew meanwhile."""
        del self.zones.evacuated_since_s[zone]
        back = self.zones.return_workers(zone)
        for worker in self.workers:
            if worker.worker_id in back:
                state = "ready" if worker.draining_since_s is None else "draining"
                self.list_worker(worker, state)
        self.store.rows.apply(Transaction(removals=[RowKey("op", "", f"evacuate/{zone}")]))

    async def retire_worker(self, worker: SoakWorker) -> None:
        """Take a drained worker away."""
        key = RowKey("servers", "", worker.worker_id)
        self.store.rows.apply(Transaction(removals=[key]))
        await worker.server.stop()
        self.worker_links[worker.worker_id].stop()
        if worker in self.workers:
            self.workers.remove(worker)

    def _write_row(self, table: str, key: str, fields: dict[str, Any]) -> None:
        """Write past the store's faults: the platform serves its operator throughout."""
        row = (RowKey(table, "", key), json.dumps(fields).encode())
        self.store.rows.apply(Transaction(puts=[row]))


def job_document(item_ids: list[str]) -> bytes:
    """Return a batch job as callers hand it in."""
    items = [
        {"id": item_id, "path": f"/batch/{item_id}", "body": b64encode(item_id.encode()).decode()}
        for item_id in item_ids
    ]
    return json.dumps({"items": items}).encode()
