"""A request that crashes the workers that run it: how often real processes send it on.

Both interfaces, before workers that end as they run it and are back a moment later.
"""

from __future__ import annotations

import asyncio
import signal
import time
from base64 import b64encode
from typing import Any

import orjson
import urllib3
from testtools import TestCase

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from mountstand.transport.http_client import ConnectFailed, ReplyBroken
from tests.integration.helpers import job, submit, wait_completed, wait_until
from tests.integration.test_platform_node import Process, Site, operator_configuration
from tests.stand_ins.crashing import RestartingWorkers, WorkerList
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Received, StandInWorker, stream

BAD = b"crashes workers"
CRASHES_ALLOWED = 3
RETRIES_ALLOWED = 3
"""A request may crash so many workers, and reach so many more once all know of it."""

CONTACT_S = 3.0
"""Time within which processes must know what happened."""

WORKERS = 5
TRIES = 30
TRY_GAP_S = 0.3
OTHER_STREAM = stream(6, gap_s=0.05)


def is_bad(request: Received) -> bool:
    """Return whether a request crashes its worker."""
    return request.body == BAD


def configuration_with_once() -> dict[str, Any]:
    """Return the usual configuration with a route for requests that may run once only."""
    fields = operator_configuration()
    once = {**fields["routes"][1], "name": "once", "path_prefix": "/once/"}
    fields["routes"].append({**once, "kind": "non_idempotent"})
    return {**fields, "version": 2}


class SiteWorkers(WorkerList):
    """Lists workers in the store of a site."""

    def __init__(self, site: Site) -> None:
        self._site = site

    async def list_worker(self, worker: StandInWorker) -> None:
        await self._site.list_worker(worker)

    async def unlist_worker(self, worker: StandInWorker) -> None:
        await self._site.store.remove("servers", worker.worker_id)


async def ask(process: Process, target: str, request_id: str, body: bytes) -> int:
    """Send a request; returns its status, or 0 where the answer broke off."""
    try:
        answer = await process.call("POST", target, headers={"Request-Id": request_id}, body=body)
    except (ReplyBroken, ConnectFailed):
        return 0
    return answer.status


def late_runs(workers: RestartingWorkers, at_s_by_id: dict[str, float]) -> list[str]:
    """Return the ids of bad requests that were sent long after the third worker had ended."""
    bad = sorted(at_s_by_id[r.request_id] for r in workers.received() if is_bad(r))
    if len(bad) < CRASHES_ALLOWED:
        return []
    known_s = bad[CRASHES_ALLOWED - 1] + CONTACT_S
    return [
        r.request_id for r in workers.received() if is_bad(r) and at_s_by_id[r.request_id] > known_s
    ]


class Repeats(TestCase):
    def test_an_online_request_is_held_back(self) -> None:
        """It comes again at any process, with ids of its own, on each kind of route."""

        async def scenario(target: str) -> None:
            async with Site(3) as site:
                await site.store.put("op", "config", configuration_with_once())
                workers = RestartingWorkers(SiteWorkers(site), is_bad, (OTHER_STREAM,))
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                at_s_by_id: dict[str, float] = {}
                statuses = []
                for i in range(TRIES):
                    at_s_by_id[f"bad-{i}"] = asyncio.get_running_loop().time()
                    process = site.processes[i % len(site.processes)]
                    statuses.append(await ask(process, target, f"bad-{i}", BAD))
                    await asyncio.sleep(TRY_GAP_S)
                await workers.stop()
                late = late_runs(workers, at_s_by_id)
                self.assertTrue(len(late) <= RETRIES_ALLOWED, (target, late, len(workers.ended)))
                self.assertEqual(503, statuses[-1], target)

        for target in ("/stream/x", "/plain/x", "/once/x"):
            run(scenario(target))

    def test_it_stays_held_back_when_all_processes_are_lost(self) -> None:
        async def scenario() -> None:
            async with Site(2) as site:
                workers = RestartingWorkers(SiteWorkers(site), is_bad, (OTHER_STREAM,))
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                for i in range(8):
                    await ask(site.processes[i % 2], "/plain/x", f"bad-{i}", BAD)
                    await asyncio.sleep(TRY_GAP_S)
                await asyncio.sleep(CONTACT_S)
                before = sum(is_bad(request) for request in workers.received())
                await site.kill_and_restart(*site.processes)
                await asyncio.sleep(0.5)
                statuses = {
                    await ask(site.processes[i % 2], "/plain/x", f"again-{i}", BAD)
                    for i in range(6)
                }
                after = sum(is_bad(request) for request in workers.received())
                await workers.stop()
                self.assertEqual(({503}, before), (statuses, after))

        run(scenario())

    def test_a_batch_item_is_held_back_and_the_others_are_done(self) -> None:
        """Also once another process has taken the job over."""

        async def scenario() -> None:
            async with Site(2) as site:
                workers = RestartingWorkers(SiteWorkers(site), is_bad, (stream(4),))
                await workers.start(WORKERS)
                items = [
                    {"id": f"i{n}", "path": f"/batch/{n}", "body": b64encode(body).decode()}
                    for n, body in enumerate([b"good", BAD, b"good as well"])
                ]
                first, second = site.processes
                document = orjson.dumps({"items": items})
                headers = {"Request-Id": "job1"}
                answer = await first.call("POST", "/batch/x", body=document, headers=headers)
                self.assertEqual(202, answer.status)
                await asyncio.sleep(5.0)
                first.signal(signal.SIGKILL)
                await asyncio.sleep(5.0)
                await workers.stop()
                runs = sum(is_bad(request) for request in workers.received())
                self.assertTrue(runs <= CRASHES_ALLOWED + RETRIES_ALLOWED, runs)
                page = orjson.loads((await second.call("GET", "/lots/job1?after=0")).body)
                self.assertEqual({"i0", "i2"}, {result["id"] for result in page["results"]})

        run(scenario())


class OwnInterface(TestCase):
    """The product's own interface on emulated engines, each behind a proxy that crashes for it."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        plan = FleetPlan(daemons=2, engines=5, applications=0, proxied=True)
        cls.fleet = Fleet(plan)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def crash_on(self, text: str) -> None:
        """Let all engines crash on requests that hold a text."""
        for engine in self.fleet.engines:
            self.fleet.set_proxy(engine, crash_on=text)

    def complete(self, daemon: int, request_id: str, prompt: str, *, stream: bool) -> Any:
        """Send a completion; returns the answer, or ``None`` where it broke off."""
        body = {"model": "caption", "prompt": prompt, "max_tokens": 40, "stream": stream}
        try:
            return self.fleet.http.request(
                "POST",
                f"{self.fleet.daemons[daemon].callers_url}/v1/completions",
                body=orjson.dumps(body),
                headers={"X-Request-Id": request_id, "X-Deadline-Ms": "4000"},
            )
        except urllib3.exceptions.ProtocolError:
            return None

    def runs(self, label: str) -> int:
        """Return how many runs there were of requests whose label begins so."""
        return sum(run["label"].startswith(label) for run in self.fleet.executions())

    def test_an_online_request_is_held_back_at_all_daemons(self) -> None:
        for stream_wanted in (False, True):
            name = f"crash-{stream_wanted}".lower()
            self.crash_on(name)
            for i in range(4):
                self.complete(i % 2, f"{name}-early-{i}", name, stream=stream_wanted)
                time.sleep(0.8)
            time.sleep(CONTACT_S)
            answers = [
                self.complete(i % 2, f"{name}-late-{i}", name, stream=stream_wanted)
                for i in range(10)
            ]
            self.assertTrue(self.runs(f"{name}-late") <= RETRIES_ALLOWED, name)
            self.assertEqual(503, answers[-1].status, answers[-1].data)
            problem = orjson.loads(answers[-1].data)
            self.assertEqual(("request_quarantined", "no"), (problem["code"], problem["executed"]))
            self.assertTrue(float(answers[-1].headers["Retry-After"]) > 1.0)
            wait_until(
                lambda: self.complete(0, "good", "a harbour", stream=False).status == 200,
                "others are served",
            )

    def test_a_batch_item_fails_and_the_others_are_done(self) -> None:
        self.crash_on("crash-batch")
        lines = [
            {"custom_id": f"i{n}", "body": {"model": "caption", "prompt": prompt, "max_tokens": 99}}
            for n, prompt in enumerate(["a harbour", "crash-batch", "a beach"])
        ]
        body = b"\n".join(map(orjson.dumps, lines))
        submit(self.fleet, self.fleet.daemons[0], "crashing-job", body, **{"X-Max-Attempts": "20"})
        wait_completed(self.fleet, self.fleet.daemons[1], "crashing-job")
        counts = job(self.fleet, self.fleet.daemons[1], "crashing-job")
        self.assertEqual(2, counts["request_counts"]["completed"], counts)
