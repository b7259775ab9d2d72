"""The serving process as it is started on the platform: real processes before stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from base64 import b64encode
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson
from testtools import TestCase

from mountstand.lab.ports import free_ports
from mountstand.transport.http_client import ClientConnection, ConnectFailed, ReplyBroken, connect
from tests.stand_ins.harness import HOST, eventually, run
from tests.stand_ins.store import StandInStore
from tests.stand_ins.worker import StandInWorker, event, silence, stream, whole

ROOT = Path(__file__).parents[2]
LATE_IN_STOP_S = 2.8
"""Time after SIGTERM at which a daemon still accepts connections, with half of its time left."""

AFTER_ESTIMATES_S = 3.05
"""Time after SIGTERM at which a daemon still accepts connections, and only what is sure to end."""

APPLIED_S = 0.5
"""Time in which a new configuration is in force at every process."""

START_TIMEOUT_S = 20.0


def operator_configuration(version: int = 1, **route_changes: Any) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    routes = [
        {"name": "stream", "path_prefix": "/stream/", "kind": "streaming", "resumable": True},
        {"name": "plain", "path_prefix": "/plain/", "kind": "idempotent"},
        {"name": "batch", "path_prefix": "/batch/", "kind": "batch", "retention_s": 60},
    ]
    common = {
        "host": HOST,
        "service": "llm",
        "timeout_ms": 5000,
        "target_latency_ms": 500,
        "max_attempts": 2,
        "completion_target_ms": 20000,
        "gap_aim_ms": 500,
    }
    return {
        "version": version,
        "routes": [{**common, **route, **route_changes} for route in routes],
        "services": [{"name": "llm", "max_conns": 100}],
        "limits": {"header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


@dataclass
class Answer:
    """An answer as a caller sees it."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


@dataclass
class Process:
    """One serving process with its addresses."""

    name: str
    ports: dict[str, int]
    settings: Path
    process: asyncio.subprocess.Process | None = None
    output: list[dict[str, Any]] = field(default_factory=list)

    async def start(self) -> Process:
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "mountstand.platform",
            cwd=ROOT,
            env={**os.environ, "MOUNTSTAND_SETTINGS": str(self.settings)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.create_task(self._read_output())
        return self

    async def _read_output(self) -> None:
        assert self.process is not None and self.process.stdout is not None
        async for line in self.process.stdout:
            self.output.append(orjson.loads(line))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        assert self.process is not None
        self.process.send_signal(number)

    async def ended(self) -> int:
        """Wait for the end; returns the exit code."""
        assert self.process is not None
        code = await self.process.wait()
        await self._reading
        return code

    def events(self, name: str) -> list[dict[str, Any]]:
        """Return the lines of one event."""
        return [line for line in self.output if line["event"] == name]

    async def call(
        self,
        method: str,
        target: str,
        *,
        port: str = "front",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Make one call on a connection of its own."""
        connection: ClientConnection = await connect("127.0.0.1", self.ports[port], 2.0)
        items = [("Host", HOST), *(headers or {}).items()]
        connection.send(method, target, items, body)
        head = await connection.read_head()
        answer = await connection.read_body()
        connection.close()
        return Answer(head.status, answer, {n.lower(): v for n, v in head.headers})


class Site:
    """A store, workers and serving processes on loopback."""

    def __init__(self, processes: int, *workers: StandInWorker) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.store = StandInStore()
        self.workers = workers
        self.count = processes
        self.processes: list[Process] = []

    async def __aenter__(self) -> Site:
        await self.store.start()
        await self.store.put("op", "config", operator_configuration())
        for worker in self.workers:
            await worker.start()
            await self.list_worker(worker)
        for number in range(self.count):
            self.processes.append(await self._process(f"front-{number}").start())
        for process in self.processes:
            await self.wait_ready(process)
        return self

    async def __aexit__(self, *error: object) -> None:
        for process in self.processes:
            if process.process is not None and process.process.returncode is None:
                process.signal(signal.SIGKILL)
                await process.ended()
        for worker in self.workers:
            await worker.stop()
        await self.store.stop()
        self.folder.cleanup()

    async def add_process(self, name: str) -> Process:
        """Start a further process, and wait until it is ready."""
        process = await self._process(name).start()
        self.processes.append(process)
        await self.wait_ready(process)
        return process

    async def list_worker(
        self, worker: StandInWorker, state: str = "ready", version: str = ""
    ) -> None:
        """Write a worker's row as the worker itself does."""
        row = {
            "service": "llm",
            "address": f"127.0.0.1:{worker.port}",
            "zone": "zone-a",
            "slots": 8,
            "state": state,
        }
        if version:
            row["version"] = version
        await self.store.put("servers", worker.worker_id, row)

    async def kill_and_restart(self, *processes: Process) -> None:
        """Kill processes at once, start them again, and wait until they are ready."""
        for process in processes:
            process.signal(signal.SIGKILL)
        for process in processes:
            await process.ended()
            process.output.clear()
        for process in processes:
            await process.start()
        for process in processes:
            await self.wait_ready(process)

    async def wait_ready(self, process: Process) -> None:
        """Wait until a process says that it is ready."""
        deadline_s = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while asyncio.get_running_loop().time() < deadline_s:
            try:
                answer = await process.call("GET", "/ready", port="ready")
            except (OSError, ReplyBroken, ConnectFailed):
                await asyncio.sleep(0.05)
                continue
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"{process.name} is not ready after {START_TIMEOUT_S} s")

    def _process(self, name: str) -> Process:
        front, ready, directory, gossip, metrics = free_ports(5)
        settings = {
            "node": name,
            "zone": "zone-a",
            "ip": "127.0.0.1",
            "internal_ports": [gossip, gossip],
            "metrics": f"{metrics}/figures",
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "directory": f"127.0.0.1:{directory}",
            },
            "bounds": {"grace_s": 8, "ttl_max_s": 5},
            "limits": {"max_fds": 512, "memory_mb": 256},
            "platform": {"address": f"127.0.0.1:{self.store.port}", "row_bytes": 65536},
        }
        file = Path(self.folder.name) / f"{name}.json"
        file.write_text(json.dumps(settings))
        ports = {"front": front, "ready": ready, "directory": directory, "metrics": metrics}
        return Process(name, ports, file)


def job_document(items: int) -> bytes:
    """Return a batch job as callers hand it in."""
    return orjson.dumps(
        {
            "items": [
                {"id": f"i{n}", "path": f"/batch/{n}", "body": b64encode(b"%d" % n).decode()}
                for n in range(items)
            ]
        }
    )


async def all_results(process: Process, job_id: str, items: int) -> list[dict[str, Any]]:
    """Read a job to its end as a caller does."""
    found: list[dict[str, Any]] = []
    for _ in range(200):
        answer = await process.call(
            "GET", f"/lots/{job_id}?after={len(found)}", headers={"Wait-Ms": "200"}
        )
        if answer.status == 200:
            found += orjson.loads(answer.body)["results"]
        if len(found) == items:
            return found
    raise AssertionError(f"{len(found)} of {items} results")


class ResolvingTestCase(TestCase):
    """A test case with processes that come to know each other."""

    async def check_resolve(self, site: Site) -> None:
        """Wait until the first process refers callers to all processes."""
        addresses = {f"127.0.0.1:{process.ports['front']}" for process in site.processes}
        for _ in range(100):
            answer = await site.processes[0].call(
                "GET", f"/resolve?name={HOST}&zone=zone-a", port="directory"
            )
            found = orjson.loads(answer.body)
            if set(found["addresses"]) == addresses:
                self.assertTrue(0 < found["ttl_s"] <= 5)
                return
            await asyncio.sleep(0.05)
        raise AssertionError(f"{found['addresses']} instead of {addresses}")


class WholePath(ResolvingTestCase):
    def test_online_batch_resolve_and_figures(self) -> None:
        async def scenario() -> None:
            async with Site(2, StandInWorker("w0", stream(4))) as site:
                first, second = site.processes
                answer = await first.call("POST", "/stream/x", headers={"Request-Id": "r1"})
                self.assertEqual(200, answer.status)
                self.assertEqual(b"".join(event(n) for n in range(1, 5)), answer.body)
                self.assertEqual("stamp-r1", answer.headers["response-stamp"])
                self.assertEqual(404, (await first.call("GET", "/none/x")).status)

                await self.check_resolve(site)
                handed_in = await first.call(
                    "POST", "/batch/x", body=job_document(3), headers={"Request-Id": "job1"}
                )
                again = await second.call(
                    "POST", "/batch/x", body=job_document(3), headers={"Request-Id": "job1"}
                )
                self.assertEqual([202, 202], [handed_in.status, again.status])
                results = await all_results(second, "job1", 3)
                self.assertEqual({"completed"}, {result["state"] for result in results})
                self.assertEqual(404, (await second.call("GET", "/lots/none?after=0")).status)

                figures = await first.call("GET", "/figures", port="metrics")
                self.assertIn(b"mountstand_requests_total", figures.body)
                self.assertIn(b"mountstand_request_seconds_bucket", figures.body)

        run(scenario())

    def test_malformed_jobs_get_a_400(self) -> None:
        cases = {
            "no json": b"{",
            "no items": b'{"items":[]}',
            "no list": b'{"items":3}',
            "no item": b'{"items":[null]}',
            "no id": b'{"items":[{"path":"/batch/1"}]}',
            "bad base64": b'{"items":[{"id":"a","path":"/batch/1","body":"?"}]}',
            "twice": b'{"items":[{"id":"a","path":"/b"},{"id":"a","path":"/b"}]}',
            "too many": job_document(201),
        }

        async def scenario() -> None:
            async with Site(1, StandInWorker("w0")) as site:
                for name, body in cases.items():
                    headers = {"Request-Id": f"job-{name.replace(' ', '-')}"}
                    answer = await site.processes[0].call(
                        "POST", "/batch/x", body=body, headers=headers
                    )
                    self.assertEqual(400, answer.status, name)

        run(scenario())


class Stops(TestCase):
    def test_planned_stop_finishes_what_runs_and_hands_jobs_on(self) -> None:
        async def scenario() -> None:
            worker = StandInWorker("w0", stream(10, gap_s=0.15))
            async with Site(2, worker) as site:
                first, second = site.processes
                await first.call(
                    "POST", "/batch/x", body=job_document(2), headers={"Request-Id": "job1"}
                )
                asking = asyncio.create_task(
                    first.call("POST", "/stream/x", headers={"Request-Id": "r1"})
                )
                await eventually(lambda: len(worker.received) == 3, "all three run")
                first.signal(signal.SIGTERM)
                answer = await asking
                self.assertEqual(10, answer.body.count(b"data: "))
                self.assertEqual(503, (await first.call("GET", "/ready", port="ready")).status)
                self.assertEqual(0, await first.ended())
                results = await all_results(second, "job1", 2)
                self.assertEqual({"completed"}, {result["state"] for result in results})
                self.assertTrue(first.events("daemon_stopped")[0]["jobs_handed_on"])

        run(scenario())

    def test_stream_that_cannot_be_whole_by_the_end_is_refused(self) -> None:
        """Guards against streams that are taken late in a planned stop and cut off midway."""

        async def scenario() -> None:
            worker = StandInWorker("w0", whole(), stream(12, gap_s=0.4))
            async with Site(2, worker) as site:
                process = site.processes[0]
                ask = {"headers": {"Request-Id": "r1", "Deadline-Ms": "8000"}}
                self.assertEqual(200, (await process.call("POST", "/plain/x", **ask)).status)
                worker.script = [stream(12, gap_s=0.4)]
                process.signal(signal.SIGTERM)
                await asyncio.sleep(LATE_IN_STOP_S)
                answer = await process.call("POST", "/stream/x", **ask)
                self.assertEqual(503, answer.status)
                self.assertIn("retry-after", answer.headers)
                worker.script = [whole()]
                self.assertEqual(200, (await process.call("POST", "/plain/x", **ask)).status)
                self.assertEqual(0, await process.ended())
                self.assertEqual(2, len(worker.received))

        run(scenario())

    def test_late_request_is_refused_however_short_earlier_ones_were(self) -> None:
        """Guards against requests that are taken late in a planned stop and cut at its end.

        Nobody can repeat them; they come on a kept connection and on a new one.
        """

        async def scenario() -> None:
            worker = StandInWorker("w0", whole())
            async with Site(1, worker) as site:
                [process] = site.processes
                version = operator_configuration(2, kind="non_idempotent", timeout_ms=8000)
                await site.store.put("op", "config", version)
                await asyncio.sleep(APPLIED_S)
                ask = {"headers": {"Request-Id": "r1", "Deadline-Ms": "8000"}}
                for _ in range(3):
                    self.assertEqual(200, (await process.call("POST", "/plain/x", **ask)).status)
                kept = await connect("127.0.0.1", process.ports["front"], 2.0)
                worker.script = [silence]
                process.signal(signal.SIGTERM)
                await asyncio.sleep(AFTER_ESTIMATES_S)
                kept.send("POST", "/plain/x", [("Host", HOST), *ask["headers"].items()])
                self.assertEqual(503, (await kept.read_head()).status)
                answer = await process.call("POST", "/plain/x", **ask)
                self.assertEqual(503, answer.status)
                self.assertIn("retry-after", answer.headers)
                self.assertEqual(0, await process.ended())
                self.assertEqual(3, len(worker.received))

        run(scenario())

    def test_stop_ends_within_a_short_grace(self) -> None:
        """Guards against a process that is killed as it waits for callers longer than it may."""

        async def scenario(grace_s: float) -> None:
            async with Site(0) as site:
                process = site._process("front-0")
                settings = json.loads(process.settings.read_text())
                settings["bounds"]["grace_s"] = grace_s
                process.settings.write_text(json.dumps(settings))
                site.processes.append(await process.start())
                await site.wait_ready(process)
                loop = asyncio.get_running_loop()
                stopped_s = loop.time()
                process.signal(signal.SIGTERM)
                self.assertEqual(0, await process.ended())
                self.assertLess(loop.time() - stopped_s, grace_s)

        for grace_s in (1.0, 2.0, 3.5):
            run(scenario(grace_s))

    def test_signals_until_the_end_leave_the_exit_code(self) -> None:
        """Guards against a signal that ends a stopped process once the loop is closed."""

        async def scenario(number: signal.Signals) -> None:
            async with Site(1) as site:
                [process] = site.processes
                process.signal(signal.SIGTERM)
                ending = asyncio.create_task(process.ended())
                assert process.process is not None
                while not ending.done():
                    # Not by the process's own method, which may take the exit code from the loop.
                    with contextlib.suppress(ProcessLookupError):
                        os.kill(process.process.pid, number)
                    await asyncio.sleep(0.002)
                self.assertEqual(0, ending.result(), number.name)

        for number in (signal.SIGTERM, signal.SIGHUP):
            run(scenario(number))

    def test_job_goes_on_when_its_daemon_is_killed(self) -> None:
        async def scenario() -> None:
            worker = StandInWorker("w0", stream(12, gap_s=0.2))
            async with Site(2, worker) as site:
                first, second = site.processes
                await first.call(
                    "POST", "/batch/x", body=job_document(2), headers={"Request-Id": "job1"}
                )
                await eventually(lambda: len(worker.received) == 2, "the items run")
                first.signal(signal.SIGKILL)
                await first.ended()
                worker.script = [stream(12)]
                results = await all_results(second, "job1", 2)
                expected = "\n".join(f"piece {n}" for n in range(1, 13))
                self.assertEqual({expected}, {result["text"] for result in results})

        run(scenario())


class Changes(TestCase):
    def test_configuration_and_draining_worker_are_in_force_soon(self) -> None:
        async def scenario() -> None:
            old, new = StandInWorker("w0", whole(b"old")), StandInWorker("w1", whole(b"new"))
            async with Site(1, old) as site:
                process = site.processes[0]
                ask = {"headers": {"Request-Id": "r1"}}
                self.assertEqual(b"old", (await process.call("POST", "/plain/x", **ask)).body)
                await new.start()
                await site.list_worker(new)
                await site.list_worker(old, "draining")
                await eventually(
                    lambda: (
                        any(line["worker"] == "w0" for line in process.events("worker_changed"))
                        and any(line["worker"] == "w1" for line in process.events("worker_changed"))
                    ),
                    "the list is seen",
                    2.0,
                )
                bodies = {(await process.call("POST", "/plain/x", **ask)).body for _ in range(10)}
                self.assertEqual({b"new"}, bodies)
                changed = operator_configuration(2, path_prefix="/moved/")
                await site.store.put("op", "config", changed)
                await eventually(
                    lambda: len(process.events("configuration_applied")) == 2, "it is applied", 2.0
                )
                self.assertEqual(404, (await process.call("POST", "/plain/x", **ask)).status)
                await new.stop()

        run(scenario())

    def test_store_outage_leaves_online_requests_alone(self) -> None:
        async def scenario() -> None:
            async with Site(1, StandInWorker("w0", whole(b"ok"))) as site:
                process = site.processes[0]
                site.store.rows.fault = lambda call: "refuse"
                await eventually(lambda: process.events("dependency_lost"), "it is noticed", 5.0)
                answer = await process.call("POST", "/plain/x", headers={"Request-Id": "r1"})
                self.assertEqual((200, b"ok"), (answer.status, answer.body))
                job = await process.call(
                    "POST", "/batch/x", body=job_document(1), headers={"Request-Id": "job1"}
                )
                self.assertEqual(503, job.status)
                self.assertIn("retry-after", job.headers)
                unsure = await process.call("GET", "/lots/job1?after=0")
                self.assertEqual(503, unsure.status)

        run(scenario())


class Reloading(TestCase):
    def test_moved_store_is_used_after_a_reload_and_wrong_settings_change_nothing(self) -> None:
        async def scenario() -> None:
            async with Site(1, StandInWorker("w0", whole(b"ok"))) as site:
                process = site.processes[0]
                settings = json.loads(process.settings.read_text())
                process.settings.write_text("{")
                process.signal(signal.SIGHUP)
                await eventually(lambda: process.events("reload_failed"), "it is told")
                moved = await StandInStore().start()
                moved.rows = site.store.rows
                await site.store.stop()
                settings["platform"]["address"] = f"127.0.0.1:{moved.port}"
                process.settings.write_text(json.dumps(settings))
                process.signal(signal.SIGHUP)
                await eventually(lambda: process.events("reload"), "it is told")
                self.assertEqual(["store"], process.events("reload")[0]["changed"])
                await eventually(lambda: process.events("dependency_regained"), "it is used", 5.0)
                job = await process.call(
                    "POST", "/batch/x", body=job_document(1), headers={"Request-Id": "job1"}
                )
                self.assertEqual(202, job.status)
                await moved.stop()

        run(scenario())


class Explaining(TestCase):
    def test_a_process_that_stood_still_tells_it(self) -> None:
        async def scenario() -> None:
            async with Site(1, StandInWorker("w0")) as site:
                process = site.processes[0]
                process.signal(signal.SIGSTOP)
                await asyncio.sleep(1.5)
                process.signal(signal.SIGCONT)
                await eventually(lambda: process.events("process_paused"), "it is told")
                self.assertGreater(process.events("process_paused")[0]["for_s"], 0.9)

        run(scenario())

    def test_failed_request_is_traced_from_its_id(self) -> None:
        async def scenario() -> None:
            async with Site(1, StandInWorker("w0", silence)) as site:
                process = site.processes[0]
                answer = await process.call(
                    "POST",
                    "/plain/x",
                    headers={"Request-Id": "slow-1", "Deadline-Ms": "300"},
                )
                self.assertEqual(504, answer.status)
                await eventually(lambda: process.events("request_ended"), "it is told")
                line = process.events("request_ended")[0]
                self.assertEqual(
                    ("slow-1", "plain", "w0", 504, "deadline"),
                    tuple(line[key] for key in ("request", "route", "worker", "status", "cause")),
                )

        run(scenario())
