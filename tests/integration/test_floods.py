"""Workers that send bytes without end: the daemon keeps its memory, and time for others."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass
from typing import Any

from testtools import TestCase

from mountstand.lab.ports import free_ports
from mountstand.transport.http_client import ConnectFailed, ReplyBroken
from tests.integration.test_platform_node import ROOT, Process, Site, operator_configuration
from tests.stand_ins.flooding_worker import FORMS
from tests.stand_ins.harness import run
from tests.stand_ins.worker import StandInWorker, whole

APPLIED_S = 1.0
DEADLINE_MS = 2000
REQUESTS = 20
SOUND_WITHIN_S = 0.5
"""The target latency of the route on which sound requests come."""

MAX_PEAK_MB = 128
"""Half of what the settings of the process allow it."""

MAX_RUN_S = 15.0


@dataclass
class Play:
    """What was seen of one daemon beside a flood."""

    slowest_sound_s: float
    lost: int
    peak_mb: float


async def flood(form: str, requests: int = REQUESTS) -> Play:
    """Let requests meet a flooding worker, while others go to a sound one."""
    async with Site(1, StandInWorker("w0", whole())) as site:
        [port] = free_ports(1)
        worker = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests.stand_ins.flooding_worker", str(port), form, cwd=ROOT
        )
        try:
            await site.store.put("op", "config", configuration())
            row = {"service": "bad", "address": f"127.0.0.1:{port}", "zone": "zone-a"}
            await site.store.put("servers", "w1", {**row, "slots": 512, "state": "ready"})
            await asyncio.sleep(APPLIED_S)
            return await play(site.processes[0], requests)
        finally:
            worker.kill()
            await worker.wait()


def configuration() -> dict[str, Any]:
    """Return a configuration whose routes below ``/bad`` lead to the flooding worker alone."""
    fields = operator_configuration(2)
    bad = [
        {**route, "service": "bad", "path_prefix": "/bad" + route["path_prefix"]}
        for route in fields["routes"]
    ]
    for route in bad:
        route["name"] = "bad " + route["name"]
    fields["services"].append({"name": "bad", "max_conns": 512})
    return {**fields, "routes": [*fields["routes"], *bad]}


async def play(process: Process, requests: int) -> Play:
    """Send the bad requests at once, and a sound one every 50 ms until they have ended."""
    loop = asyncio.get_running_loop()
    kinds = ("plain", "stream")
    bad = asyncio.gather(
        *(ask(process, f"/bad/{kinds[n % 2]}/x", f"bad-{n}") for n in range(requests))
    )
    slowest_s, lost, number = 0.0, 0, 0
    until_s = loop.time() + MAX_RUN_S
    while not bad.done() and loop.time() < until_s:
        began_s = loop.time()
        status = await ask(process, "/plain/x", f"sound-{number}")
        slowest_s = max(slowest_s, loop.time() - began_s)
        lost += status != 200
        number += 1
        await asyncio.sleep(0.05)
    bad.cancel()
    assert process.process is not None
    return Play(slowest_s, lost, peak_mb(process.process.pid))


async def ask(process: Process, target: str, request_id: str) -> int:
    """Send a request; return its status, 0 where it has none."""
    headers = {"Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS)}
    try:
        async with asyncio.timeout(2 * DEADLINE_MS / 1000):
            return (await process.call("POST", target, headers=headers)).status
    except (ReplyBroken, ConnectFailed, TimeoutError):
        return 0


def peak_mb(pid: int) -> float:
    """Return the most memory that a process has had."""
    with open(f"/proc/{pid}/status") as file:
        lines = dict(line.split(":", 1) for line in file)
    return int(lines["VmHWM"].split()[0]) / 1024


class Floods(TestCase):
    def check(self, form: str) -> None:
        play = run(flood(form))
        self.assertEqual(0, play.lost, f"{form}: {play}")
        self.assertLess(play.slowest_sound_s, SOUND_WITHIN_S, f"{form}: {play}")
        self.assertLess(play.peak_mb, MAX_PEAK_MB, f"{form}: {play}")


def one_form(form: str):  # type: ignore[no-untyped-def]
    """Return the test of one form."""

    def test(self: Floods) -> None:
        """Guards against memory that grows, and sound requests that wait, beside a flood."""
        self.check(form)

    return test


for each in FORMS:
    setattr(Floods, f"test_{each.replace(' ', '_')}_without_end", one_form(each))
