"""Batch items whose workers crash by bad luck are run again, on both interfaces.

Guards against taking a sound item for one that crashes workers, so that nothing works on it.
"""

from __future__ import annotations

import asyncio
import signal
from base64 import b64encode
from contextlib import suppress

import orjson
from testtools import TestCase

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from mountstand.quarantine.batch_verdicts import CRASHES_TO_BLOCK_BATCH
from mountstand.serving.worker_protocol import Call
from mountstand.transport.http_client import ConnectFailed, ReplyBroken
from tests.integration.helpers import job, submit, wait_completed, wait_until
from tests.integration.test_crashing_request import SiteWorkers, configuration_with_once
from tests.integration.test_platform_node import Process, Site, all_results
from tests.stand_ins.crashing import CrashableWorker, RestartingWorkers
from tests.stand_ins.harness import HOST
from tests.stand_ins.worker import stream

ITEM_BODY = b"sound item"
ITEM_TARGET = "/batch/1"
ITEM_STREAM = stream(60, gap_s=0.1)
WORKERS = 5
BYSTANDERS = 10
"""Online streams that run beside the item, so that all workers are busy. None is sent again, so
that each is at one crash at most."""

OWED_WITHIN_S = 18.0
"""Time in which an item must be done once its workers crash no more."""

CRASH_GAP_S = 0.3
"""Time that the item runs before each crash."""

LONG_RUN_S = 1.2
"""Time that the item runs before each crash of its worker alone, writing for most of it."""

LONG_ITEM_STREAM = stream(100, gap_s=0.1)

RUN_AGAIN_WITHIN_S = 12.0
"""Time from a crash to the next run of the item."""

CRASH_KNOWN_S = 1.0
"""Time until all processes know of a crash, and have stored it."""

SCENARIO_TIMEOUT_S = 120.0


class CrashBurst:
    """Crashes the worker that runs the item, and one that doesn't at the same moment."""

    def __init__(self, site: Site, workers: RestartingWorkers) -> None:
        self._site = site
        self._workers = workers
        self._tasks: list[asyncio.Task[None]] = []

    def start_bystanders(self) -> None:
        """Keep online streams running, each with a content of its own."""
        self._tasks = [asyncio.create_task(self._send_streams(n)) for n in range(BYSTANDERS)]

    def stop_bystanders(self) -> None:
        """End the online streams."""
        for task in self._tasks:
            task.cancel()

    async def crash(self, count: int) -> None:
        """Crash workers ``count`` times, each time once the item has run for a moment."""
        for _ in range(count):
            worker = await self._wait_for_item()
            await asyncio.sleep(CRASH_GAP_S)
            others = [each for each in self._workers.running if each is not worker]
            await self._crash(worker, *others[:1])

    async def crash_alone(self, count: int) -> None:
        """Crash the item's worker ``count`` times, each time once the item has written."""
        for _ in range(count):
            worker = await self._wait_for_item()
            await asyncio.sleep(LONG_RUN_S)
            await self._crash(worker)

    async def _crash(self, *workers: CrashableWorker) -> None:
        for crashing in workers:
            crashing.crashed.set()
            await crashing.stop()

    async def _wait_for_item(self) -> CrashableWorker:
        deadline_s = asyncio.get_running_loop().time() + RUN_AGAIN_WITHIN_S
        while asyncio.get_running_loop().time() < deadline_s:
            for worker in self._workers.running:
                has_item = any(req.body == ITEM_BODY for req in worker.received)
                if has_item and not worker.crashed.is_set():
                    return worker
            await asyncio.sleep(0.02)
        raise AssertionError(f"the item did not run again within {RUN_AGAIN_WITHIN_S} s")

    async def _send_streams(self, number: int) -> None:
        for i in range(1000):
            process = self._site.processes[number % len(self._site.processes)]
            headers = {"Request-Id": f"by-{number}-{i}"}
            with suppress(ReplyBroken, ConnectFailed, OSError):
                await process.call("POST", f"/once/{number}-{i}", headers=headers, body=b"s")
            await asyncio.sleep(0.05)


def item_document() -> bytes:
    """Return a job of one item."""
    item = {"id": "i0", "path": ITEM_TARGET, "body": b64encode(ITEM_BODY).decode()}
    return orjson.dumps({"items": [item]})


async def submit_item(process: Process) -> None:
    """Hand in the job."""
    headers = {"Request-Id": "job1"}
    answer = await process.call("POST", "/batch/x", body=item_document(), headers=headers)
    assert answer.status == 202, answer


async def wait_done(process: Process) -> None:
    """Wait until the item is done, for at most ``OWED_WITHIN_S``."""
    async with asyncio.timeout(OWED_WITHIN_S):
        (result,) = await all_results(process, "job1", 1)
    assert result["state"] == "completed", result


async def restart_all(site: Site) -> None:
    """Kill all processes at once, and start them again."""
    for process in site.processes:
        process.signal(signal.SIGKILL)
    for process in site.processes:
        await process.ended()
        await process.start()
    for process in site.processes:
        await site.wait_ready(process)


class Platform(TestCase):
    def run_burst(self, crashes: int, then: str = "") -> None:
        """Crash workers under the item; ``then`` "kill" its owner or "restart" all processes."""

        async def scenario() -> None:
            async with Site(2) as site:
                await site.store.put("op", "config", configuration_with_once())
                workers = RestartingWorkers(SiteWorkers(site), lambda req: False, (ITEM_STREAM,))
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                burst = CrashBurst(site, workers)
                burst.start_bystanders()
                await asyncio.sleep(0.5)
                owner, reader = site.processes
                await submit_item(owner)
                await burst.crash(crashes)
                burst.stop_bystanders()
                await asyncio.sleep(CRASH_KNOWN_S)
                if then == "kill":
                    owner.signal(signal.SIGKILL)
                elif then == "restart":
                    await restart_all(site)
                await wait_done(reader)
                await workers.stop()

        asyncio.run(asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S))

    def test_item_is_done_after_three_crashes(self) -> None:
        self.run_burst(3)

    def test_item_is_done_after_eight_crashes(self) -> None:
        """More than it takes to block an item at whose crashes no other worker crashed."""
        self.run_burst(8)

    def test_item_is_done_by_the_next_owner(self) -> None:
        self.run_burst(3, "kill")

    def test_item_is_done_after_a_restart_of_all_processes(self) -> None:
        self.run_burst(3, "restart")

    def test_item_whose_runs_get_on_is_done_after_single_crashes(self) -> None:
        """Guards against a block of a long item whose worker crashes again and again by chance."""

        async def scenario() -> None:
            async with Site(2) as site:
                workers = RestartingWorkers(
                    SiteWorkers(site), lambda req: False, (LONG_ITEM_STREAM,)
                )
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                await submit_item(site.processes[0])
                await CrashBurst(site, workers).crash_alone(CRASHES_TO_BLOCK_BATCH)
                await wait_done(site.processes[1])
                await workers.stop()

        asyncio.run(asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S))

    def test_item_that_earlier_versions_blocked_is_done(self) -> None:
        """Rows of the store that were written by a version that blocks such an item."""

        async def scenario() -> None:
            async with Site(2) as site:
                await restart_all_on_rows(site)
                workers = RestartingWorkers(SiteWorkers(site), lambda req: False, (ITEM_STREAM,))
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                await submit_item(site.processes[0])
                await wait_done(site.processes[1])
                await workers.stop()

        asyncio.run(asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S))


async def restart_all_on_rows(site: Site) -> None:
    """Store four crashes of the item's content, half a minute apart, and start anew."""
    content = Call("i0", HOST, "POST", ITEM_TARGET, (), ITEM_BODY).content_key
    now_ms = (await site.store.rows.read("crash_suspects", "")).now_ms
    ends = {str(worker): [now_ms - 30_000 * worker, 300] for worker in range(1, 5)}
    await site.store.put("crash_suspects", f"{content:016x}", {"ends": ends})
    await restart_all(site)


class OwnInterface(TestCase):
    def test_item_is_done_after_its_workers_crashed(self) -> None:
        """Three runs of the item end with their workers, as many as an item has attempts."""
        plan = FleetPlan(daemons=2, engines=5, applications=0, proxied=True)
        with Fleet(plan) as fleet:
            self._crash(fleet, "unlucky")
            line = {"custom_id": "i0", "body": {"model": "caption", "prompt": "unlucky"}}
            submit(fleet, fleet.daemons[0], "unlucky-job", orjson.dumps(line))
            wait_until(
                lambda: sum(run["label"].endswith(":0") for run in fleet.executions()) >= 3,
                "the item has run three times",
            )
            self._crash(fleet, "")
            wait_completed(fleet, fleet.daemons[1], "unlucky-job")
            counts = job(fleet, fleet.daemons[1], "unlucky-job")["request_counts"]
            self.assertEqual(1, counts["completed"], counts)

    def _crash(self, fleet: Fleet, text: str) -> None:
        for engine in fleet.engines:
            fleet.set_proxy(engine, crash_on=text)
