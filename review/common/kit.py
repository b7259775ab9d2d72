"""A small deployment on loopback: real serving processes before stand-ins for store and workers.

The processes are started with the ``run`` line of ``deploy/system.toml``. Store and workers are the
project's own stand-ins, in the process of the script. Everything that is sent, answered and run is
written to ``record.txt`` in the folder of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from mountstand.transport.http_client import ConnectFailed, ReplyBroken, connect
from tests.stand_ins.store import StandInStore
from tests.stand_ins.worker import StandInWorker

ROOT = Path(__file__).resolve().parents[2]
HOST = "review.example"
LOCAL = "127.0.0.1"
ZONE = "hobart-a"
START_TIMEOUT_S = 25.0
LIMIT_S = 110.0
PORTS = (12000, 32000)
HELD, BROKEN, NOT_RUN = 0, 1, 2

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case is played."""


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """The record of one play."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line)


def free_ports(count: int) -> list[int]:
    """Return free ports, below those that the system gives to outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.randint(*PORTS)
        with contextlib.suppress(OSError):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(type=kind) as probe:
                    probe.bind((LOCAL, port))
            if port not in ports:
                ports.append(port)
    return ports


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration as the operator writes it, with the figures of the site's sheet."""
    common = {"host": HOST, "service": "caption-llm", "max_attempts": 2, "gap_aim_ms": 500}
    routes = [
        {
            "name": "photo-caption",
            "path_prefix": "/caption/",
            "kind": "streaming",
            "resumable": True,
            "timeout_ms": 8000,
            "target_latency_ms": 300,
        },
        {
            "name": "reunion-batch",
            "path_prefix": "/batch/",
            "kind": "batch",
            "max_attempts": 3,
            "timeout_ms": 30000,
            "target_latency_ms": 400,
            "completion_target_ms": 20000,
            "retention_s": 60,
        },
        {
            "name": "thumb-fetch",
            "path_prefix": "/thumb/",
            "kind": "idempotent",
            "service": "album-app",
            "timeout_ms": 4000,
            "target_latency_ms": 400,
        },
    ]
    return {
        "version": version,
        "routes": [{**common, **route, **changes} for route in routes],
        "services": [
            {"name": "caption-llm", "max_conns": 300},
            {"name": "album-app", "max_conns": 110},
        ],
        "limits": {"header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


class Daemon:
    """One serving process."""

    def __init__(self, name: str, store_port: int, folder: Path, record: Record) -> None:
        front, ready, directory, control, gossip = free_ports(5)
        self.name = name
        self.front, self.ready, self.control = front, ready, control
        self._folder = folder
        self._record = record
        self._process: asyncio.subprocess.Process | None = None
        self.settings: dict[str, Any] = {
            "node": name,
            "role": "serve",
            "machine_class": "front",
            "serves": ["front", "directory", "control"],
            "ip": LOCAL,
            "zone": ZONE,
            "region": "tas-south",
            "zones": {ZONE: "tas-south"},
            "listen": {
                "front": f"{LOCAL}:{front}",
                "ready": f"{LOCAL}:{ready}",
                "directory": f"{LOCAL}:{directory}",
                "control": f"{LOCAL}:{control}",
            },
            "internal_ports": [gossip, gossip],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.717, "cores": 3, "memory_mb": 330, "max_fds": 8200},
            "bounds": {
                "addr_reuse_s": 2,
                "contact_ms": 3000,
                "ack_ms": 4000,
                "drain_ms": 2000,
                "grace_s": 8,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "finish_s": 18,
                "status_s": 120,
                "cancel_ms": 3000,
                "settle_ms": 1000,
                "ttl_max_s": 5,
            },
            "platform": {
                "address": f"{LOCAL}:{store_port}",
                "form": "table",
                "row_bytes": 65536,
                "history_s": 20,
            },
        }

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["serve"]["run"].split()
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words,
                cwd=ROOT,
                env={**kept, "PYTHONPATH": "target/deps:.", "MOUNTSTAND_SETTINGS": str(file)},
                stdout=log,
                stderr=log,
            )
        self._record.note(f"{self.name} started, pid {self._process.pid}")

    @property
    def running(self) -> bool:
        """Whether the process exists."""
        return self._process is not None and self._process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self._process is not None and self.running:
            self._record.note(f"{self.name} gets {number.name}")
            self._process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end; returns the exit code."""
        assert self._process is not None
        code = await self._process.wait()
        self._record.note(f"{self.name} ended with {code}")
        return code

    async def wait_ready(self) -> None:
        """Wait until the process says that it is ready."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + START_TIMEOUT_S
        while loop.time() < deadline_s:
            try:
                status, _ = await call(self.ready, "GET", "/ready")
            except (OSError, ConnectFailed, ReplyBroken, TimeoutError):
                status = 0
            if status == 200:
                self._record.note(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {START_TIMEOUT_S} s")

    def log_lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of one event in the process's log."""
        lines = (self._folder / f"{self.name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if f'"{event}"' in line]


async def call(
    port: int,
    method: str,
    target: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; returns status and whole body."""
    conn = await connect(LOCAL, port, 1.0)
    try:
        async with asyncio.timeout(timeout_s):
            conn.send(method, target, [("Host", HOST), *(headers or {}).items()], body)
            head = await conn.read_head()
            return head.status, await conn.read_body()
    finally:
        conn.close()


class Site:
    """A store, and the daemons and workers that a case adds."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = StandInStore()
        self.daemons: list[Daemon] = []
        self.workers: list[StandInWorker] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)

    async def __aenter__(self) -> Site:
        await self.store.start()
        await self.store.put("op", "config", configuration())
        return self

    async def __aexit__(self, *error: object) -> None:
        for daemon in self.daemons:
            if daemon.running:
                daemon.signal(signal.SIGKILL)
                await daemon.ended()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        self._folder.cleanup()

    async def add_worker(
        self, worker: StandInWorker, service: str = "caption-llm", slots: int = 19
    ) -> StandInWorker:
        """Start a worker and list it as it lists itself."""
        await worker.start()
        self.workers.append(worker)
        await self.list_worker(worker, service, slots)
        return worker

    async def list_worker(
        self, worker: StandInWorker, service: str, slots: int, state: str = "ready"
    ) -> None:
        """Write a worker's row."""
        row = {
            "service": service,
            "address": f"{LOCAL}:{worker.port}",
            "zone": ZONE,
            "version": "1",
            "slots": slots,
            "state": state,
            "cold_left_ms": 0,
            "seq": 1,
        }
        await self.store.put("servers", worker.worker_id, row)
        self.record.note(f"store: servers/{worker.worker_id} is {state}")

    def daemon(self, name: str, store_port: int | None = None) -> Daemon:
        """Return a new daemon, not yet started."""
        daemon = Daemon(name, store_port or self.store.port, self.folder, self.record)
        self.daemons.append(daemon)
        return daemon


def play(case: str, scenario: Callable[[Record], Awaitable[bool]]) -> None:
    """Run a case, whose scenario returns whether the rule held, and exit."""
    record = Record(Path(case).resolve().parent)
    record.note(f"TROUBLE={int(TROUBLE)}")
    try:
        held = asyncio.run(asyncio.wait_for(scenario(record), LIMIT_S))
    except (CannotRun, TimeoutError, OSError, ConnectFailed) as problem:
        record.note(f"the case could not run: {problem!r}")
        sys.exit(NOT_RUN)
    record.note("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
