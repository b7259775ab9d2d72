"""A whole fleet on loopback as separate processes, for experiments and tests.

The lab starts processes; daemons and stand-ins never do.
"""

from __future__ import annotations

import json
import logging
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import orjson
import urllib3

from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan, WorkerAddress
from mountstand.lab.ports import LOOPBACK, accepts_connections, free_ports
from mountstand.lab.toml_writer import to_toml

logger = logging.getLogger(__name__)

READY_TIMEOUT_S = 20.0
POLL_S = 0.05
STOP_TIMEOUT_S = 30.0
DUMPED_CHARACTERS = 20_000
"""A daemon has some 180 threads, which stand at ten places or so, in 8,000 characters."""

STACKS_WAIT_S = 2.0
"""Time to log the stacks when asked, for a process that still hears signals."""

STORE_TIMEOUT_S = 2.0
"""As long as a daemon waits for an answer of the table."""

ENDING_SIGNALS = frozenset({signal.SIGKILL, signal.SIGTERM, signal.SIGABRT})


@dataclass
class FleetProcess:
    """One process of the fleet."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    told_to_end: bool = False
    """Whether the lab has sent it a signal that ends it."""

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.is_running:
            self.told_to_end |= number in ENDING_SIGNALS
            self.process.send_signal(number)

    def unexpected_code(self) -> int | None:
        """Return the exit code of a process that failed or ended untold, ``None`` for others.

        A signal from elsewhere ends it with a negative code: the system's, when memory runs out,
        among them.
        """
        code = self.process.poll()
        if code is None or (self.told_to_end and code <= 0):
            return None
        return code

    def dump(self) -> str:
        """End a process that hangs; return the end of its log with the stacks of its threads.

        A daemon is asked for them first: what the interpreter prints at its end is cut short.
        """
        self.send(signal.SIGUSR1)
        time.sleep(STACKS_WAIT_S)
        self.send(signal.SIGABRT)
        self.process.wait(STOP_TIMEOUT_S)
        return self.log_end()

    def log_end(self) -> str:
        """Return the end of the log, long enough for the stacks of all threads."""
        return self.log.read_text(errors="replace")[-DUMPED_CHARACTERS:]


class Fleet:
    """Starts, disturbs and stops the processes of a :class:`FleetPlan`."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.http = urllib3.PoolManager(num_pools=256, maxsize=32, retries=False)
        self.processes: dict[str, FleetProcess] = {}
        self._folder = tempfile.TemporaryDirectory(prefix="mountstand-lab-")
        self._path = Path(self._folder.name)
        grouped = sum(group.count for group in plan.groups)
        workers = plan.engines + plan.applications + grouped
        per_worker = 3 if plan.proxied else 1
        ports = iter(free_ports(5 + per_worker * workers + 2 * plan.daemons))
        self.table_port, self.objects_port, self.machines_port = (next(ports) for _ in range(3))
        self._table_proxy_port, self._table_proxy_control_port = next(ports), next(ports)
        self.engines = [
            self._worker("engine", n, plan.model_service, ports) for n in range(plan.engines)
        ]
        self.applications = [
            self._worker("application", n, plan.application_service, ports)
            for n in range(plan.applications)
        ]
        self.grouped_engines = {
            group.service: [
                self._worker("engine", n, group.service, ports) for n in range(group.count)
            ]
            for group in plan.groups
        }
        self.daemons = [
            DaemonAddress(f"daemon-{n}", self._zone(n), next(ports), next(ports))
            for n in range(plan.daemons)
        ]

    def __enter__(self) -> Fleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def table_url(self) -> str:
        """Base of the table stand-in, past any proxy."""
        return f"http://{LOOPBACK}:{self.table_port}"

    @property
    def table_proxy_control_url(self) -> str:
        """Control interface of the proxy before the table."""
        return f"http://{LOOPBACK}:{self._table_proxy_control_port}"

    @property
    def objects_url(self) -> str:
        """Base of the object store stand-in."""
        return f"http://{LOOPBACK}:{self.objects_port}"

    @property
    def machines_url(self) -> str:
        """Base of the machine list stand-in."""
        return f"http://{LOOPBACK}:{self.machines_port}"

    @property
    def folder(self) -> Path:
        """Folder for files of this fleet's processes."""
        return self._path

    @property
    def workers(self) -> list[WorkerAddress]:
        """Every worker of the fleet."""
        grouped = [worker for group in self.grouped_engines.values() for worker in group]
        return [*self.engines, *self.applications, *grouped]

    def start(self) -> None:
        """Start everything and wait until every daemon is ready and sees the others."""
        self._start_stand_ins()
        self.wait_for_workers()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        self.wait_ready(self.daemons)

    def stop(self) -> None:
        """End every process that this fleet started."""
        for process in self.processes.values():
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        for process in self.processes.values():
            process.process.wait(STOP_TIMEOUT_S)
        self._folder.cleanup()

    def start_daemon(self, daemon: DaemonAddress, **changes: Any) -> FleetProcess:
        """Start one daemon; ``changes`` are laid over its settings."""
        settings: dict[str, Any] = {
            "daemon_id": daemon.daemon_id,
            "zone": daemon.zone,
            "address": LOOPBACK,
            "port": daemon.port,
            "control_port": daemon.control_port,
            "platform": {
                "table_url": self._listed_table_url(),
                "objects_url": self.objects_url,
                "machines_url": self.machines_url,
                "machines_poll_s": 0.3,
            },
            "seed": self.plan.seed,
        }
        for key, value in {**self.plan.daemon, **changes}.items():
            merged = {**settings.get(key, {}), **value} if isinstance(value, dict) else value
            settings[key] = merged
        file = self._write_settings(daemon.daemon_id, settings)
        return self._spawn(daemon.daemon_id, "serve", "--settings", str(file))

    def kill(self, name: str) -> None:
        """End a process at once, as a lost machine does."""
        process = self.processes[name]
        process.send(signal.SIGKILL)
        process.process.wait(STOP_TIMEOUT_S)

    def terminate(self, name: str) -> int:
        """Ask a daemon for a planned stop; return its exit code.

        The end of its log is logged if that is not 0, since the log goes with the fleet's folder.
        """
        process = self.processes[name]
        process.send(signal.SIGTERM)
        try:
            code = process.process.wait(STOP_TIMEOUT_S + 60.0)
        except subprocess.TimeoutExpired:
            raise TimeoutError(f"{name} does not end:\n{process.dump()}") from None
        if code:
            logger.warning("%s ended with %d:\n%s", name, code, process.log_end())
        return code

    def freeze(self, name: str) -> None:
        """Stop a process where it is."""
        self.processes[name].send(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.processes[name].send(signal.SIGCONT)

    def set_proxy(self, worker: WorkerAddress, **plan: Any) -> None:
        """Set what the proxy before a worker does; without arguments it passes all on."""
        self.set_faults(f"http://{LOOPBACK}:{worker.proxy_control_port}", **plan)

    def _listed_table_url(self) -> str:
        port = self._table_proxy_port if self.plan.proxied else self.table_port
        return f"http://{LOOPBACK}:{port}"

    def set_faults(self, url: str, **plan: Any) -> None:
        """Set the faults of one stand-in; without arguments it works as it should."""
        self.http.request("PUT", f"{url}/control/faults", body=json.dumps(plan))

    def operations(self, url: str) -> int:
        """Return how many operations a stand-in has run."""
        answer = self.http.request("GET", f"{url}/control/operations")
        return sum(orjson.loads(answer.data).values())

    def executions(self) -> list[dict[str, Any]]:
        """Return what every worker that can be asked has run."""
        found = []
        for worker in self.workers:
            answer = self.http.request("GET", f"{worker.url}/control/executions", timeout=10.0)
            for execution in orjson.loads(answer.data)["executions"]:
                found.append(execution | {"worker": worker.worker_id})
        return found

    def leave(self, worker: WorkerAddress) -> None:
        """Make a worker leave by its own report and refuse new work."""
        self.http.request("POST", f"{worker.url}/control/leave")

    def status(self, daemon: DaemonAddress, part: str) -> Any:
        """Return one part of a daemon's status."""
        answer = self.http.request("GET", f"{daemon.control_url}/status/{part}", timeout=5.0)
        return orjson.loads(answer.data)

    def wait_for_workers(self) -> None:
        """Wait until every worker listens; a daemon may be ready before a stand-in is."""
        for worker in self.workers:
            self._wait_for(partial(unconnected, worker.listed_port), f"{worker.worker_id} listens")

    def wait_ready(self, daemons: Iterable[DaemonAddress]) -> None:
        """Wait until the daemons are ready and list every worker and running daemon."""
        for daemon in daemons:
            self._wait_for(partial(self._unready, daemon), f"{daemon.daemon_id} is ready")

    def _unready(self, daemon: DaemonAddress) -> str | None:
        """Return why a daemon is not ready, ``None`` if it is."""
        answer = self.http.request("GET", f"{daemon.control_url}/readyz", timeout=2.0)
        if answer.status != 200:
            return f"readyz: {answer.status} {answer.data.decode(errors='replace')}"
        live = [m for m in self.status(daemon, "members") if m["state"] == "alive"]
        workers = len(self.status(daemon, "workers"))
        running = sum(
            self.processes[d.daemon_id].is_running
            for d in self.daemons
            if d.daemon_id in self.processes
        )
        if len(live) < running:
            return f"sees {len(live)} of {running} daemons"
        if workers != len(self.workers):
            return f"lists {workers} of {len(self.workers)} workers"
        return None

    def _wait_for(self, unmet: Callable[[], str | None], what: str) -> None:
        """Wait until ``unmet`` returns ``None``; a failure tells what it returned last."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        reason: str | None = None
        while time.monotonic() < deadline_s:
            try:
                reason = unmet()
                if reason is None:
                    return
            except (urllib3.exceptions.HTTPError, OSError) as problem:
                reason = repr(problem)
            self._check_processes()
            time.sleep(POLL_S)
        raise TimeoutError(
            f"not so after {READY_TIMEOUT_S} s: {what}; last seen: {reason}\n"
            f"{self._describe_stores()}\n{self._dump_daemons()}"
        )

    def _describe_stores(self) -> str:
        """Return what each store has run and after what time it answers.

        A daemon that waits for a store tells that the store failed, not whether it works.
        """
        urls = {"table": self.table_url, "objects": self.objects_url, "machines": self.machines_url}
        return "\n".join(f"{name}: {self._describe_store(url)}" for name, url in urls.items())

    def _describe_store(self, url: str) -> str:
        asked_s = time.monotonic()
        try:
            answer = self.http.request("GET", f"{url}/control/operations", timeout=STORE_TIMEOUT_S)
            said = answer.data.decode(errors="replace")
        except urllib3.exceptions.HTTPError as problem:
            said = repr(problem)
        return f"after {time.monotonic() - asked_s:.2f} s: {said}"

    def _dump_daemons(self) -> str:
        """End the daemons; return what their logs say, and where their threads stood."""
        names = [daemon.daemon_id for daemon in self.daemons if daemon.daemon_id in self.processes]
        return "\n".join(self.processes[name].dump() for name in names)

    def _check_processes(self) -> None:
        for process in self.processes.values():
            code = process.unexpected_code()
            if code is not None:
                text = process.log.read_text()[-2000:]
                raise RuntimeError(f"{process.name} ended with {code}: {text}")

    def _start_stand_ins(self) -> None:
        machines = [worker.machine() for worker in self.workers]
        for daemon in self.daemons:
            machines.append(
                {
                    "machine_id": daemon.daemon_id,
                    "role": "daemon",
                    "address": LOOPBACK,
                    "port": daemon.control_port,
                    "zone": daemon.zone,
                    "service": "",
                }
            )
        platform = [
            {"kind": "table", "port": self.table_port, "seed": self.plan.seed},
            {"kind": "objects", "port": self.objects_port, "seed": self.plan.seed},
            {
                "kind": "machines",
                "port": self.machines_port,
                "machines": machines,
                "machines_lag_s": self.plan.machines_lag_s,
            },
        ]
        self._spawn_stand_ins("platform", platform)
        engines = [self._stand_in(worker, n) for n, worker in enumerate(self.engines)]
        for n in range(self.plan.engine_processes):
            share = engines[n :: self.plan.engine_processes]
            if share:
                self._spawn_stand_ins(f"engines-{n}", share)
        if self.plan.proxied:
            self._spawn_stand_ins("proxies", self._proxies())
        for group in self.plan.groups:
            members = self.grouped_engines[group.service]
            stand_ins = [self._stand_in(w, n, group.engine) for n, w in enumerate(members)]
            self._spawn_stand_ins(f"engines-{group.service}", stand_ins)
        if self.applications:
            self._spawn_stand_ins(
                "applications", [self._stand_in(w, n) for n, w in enumerate(self.applications)]
            )

    def _proxies(self) -> list[dict[str, Any]]:
        ways = [(w.proxy_control_port, w.listed_port, w.port) for w in self.workers]
        ways.append((self._table_proxy_control_port, self._table_proxy_port, self.table_port))
        return [
            {"kind": "proxy", "port": control, "proxied_port": proxied, "target_port": target}
            for control, proxied, target in ways
        ]

    def _stand_in(
        self, worker: WorkerAddress, number: int, engine: dict[str, Any] | None = None
    ) -> dict[str, Any]:
        settings = {"kind": worker.role, "port": worker.port, "seed": self.plan.seed + number}
        if worker.role == "engine":
            settings["engine"] = {
                "model": worker.service,
                **(self.plan.engine if engine is None else engine),
            }
        else:
            settings["application"] = {"service": worker.service, **self.plan.application}
        return settings

    def _spawn_stand_ins(self, name: str, stand_ins: list[dict[str, Any]]) -> None:
        file = self._write_settings(name, {"stand_in": stand_ins})
        self._spawn(name, "emulate", "fleet", "--settings", str(file))

    def _spawn(self, name: str, *arguments: str) -> FleetProcess:
        log = self._path / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "mountstand", *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1", "PYTHONFAULTHANDLER": "1"},
            )
        self.processes[name] = FleetProcess(name, process, log)
        return self.processes[name]

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        file = self._path / f"{name}.toml"
        file.write_text(to_toml(settings))
        return file

    def _zone(self, number: int) -> str:
        return self.plan.zones[number % len(self.plan.zones)]

    def _worker(self, role: str, number: int, service: str, ports: Iterator[int]) -> WorkerAddress:
        port = next(ports)
        listed_port, control_port = port, 0
        if self.plan.proxied:
            listed_port, control_port = next(ports), next(ports)
        return WorkerAddress(
            f"{role}-{service}-{number}",
            role,
            self._zone(number),
            service,
            port,
            listed_port,
            control_port,
        )


def unconnected(port: int) -> str | None:
    """Return why a port of this machine cannot be connected to, ``None`` if it can."""
    return None if accepts_connections(port) else f"no connection to port {port}"
