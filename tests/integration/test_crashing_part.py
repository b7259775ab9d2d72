"""One part of a prompt that crashes the workers which begin to write an answer on it.

Real processes, before workers that end as they run such a request and are back a moment later. No
two of these requests are alike; sound requests share their caller and all their other parts.
"""

from __future__ import annotations

import asyncio
import itertools
from base64 import b64encode

import orjson
from testtools import TestCase

from mountstand.transport.http_client import ConnectFailed, ReplyBroken
from tests.integration.test_crashing_request import CONTACT_S, OTHER_STREAM, SiteWorkers
from tests.integration.test_platform_node import Process, Site
from tests.stand_ins.crashing import RestartingWorkers
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Received, stream

BAD_PART = "bad0"
CRASHES_ALLOWED = 5
LATE_RUNS_ALLOWED = 3
WORKERS = 5
TRIES = 64
TRY_GAP_S = 0.3
UNLUCKY_REQUESTS = (3, 1, 1)
"""Requests whose workers crash by chance: three at first, then two in which the part is tried."""

CRASH_KNOWN_S = 1.0
"""Time in which a crash is noticed, told to all processes and stored."""

NEXT_TRIAL_S = 11.0
"""Time after the last crash by which the part has been tried again: the trial comes after 8 s."""

SCENARIO_TIMEOUT_S = 60.0
"""Limit of a play that waits for trials for 20 s, and restarts all processes."""

SOUND_WITHIN_S = 6.0
"""Time in which ``MIN_SOUND_REQUESTS`` are served one after the other, 0.3 s each."""

ITEM_EVENTS = (
    "claim_unanswered",
    "items_waiting",
    "part_cleared",
    "part_quarantined",
    "part_tried",
    "trial_claimed",
    "trial_refused",
)
"""Lines that tell why items wait."""

MIN_SOUND_REQUESTS = 8
MIN_SOUND_SHARE = 0.5
"""How many sound requests must come once all know of the part, and what share must be served."""


def prompt(middle: str, number: int) -> str:
    """Return the parts of a prompt: a first one that all share, a middle one, an own one."""
    return f"aa:300,{middle}:200,{number:06x}:100"


def is_bad(request: Received) -> bool:
    """Return whether a request has the part that crashes its worker."""
    return f",{BAD_PART}:" in (request.headers.get("prefix-hash") or "")


async def ask(process: Process, target: str, request_id: str, middle: str, number: int) -> int:
    """Send a request with a body of its own; returns its status, or 0 where it broke off."""
    headers = {"Request-Id": request_id, "Prefix-Hash": prompt(middle, number)}
    body = request_id.encode()
    try:
        answer = await process.call("POST", target, headers=headers, body=body)
    except (ReplyBroken, ConnectFailed):
        return 0
    return answer.status


def lines_of(site: Site, events: tuple[str, ...]) -> str:
    """Return the lines of some events of all processes, by time."""
    found = [line for process in site.processes for name in events for line in process.events(name)]
    ordered = sorted(found, key=lambda line: line["time_s"])
    return "\n".join(orjson.dumps(line).decode() for line in ordered)


class Traffic:
    """Bad and sound requests by turns, at any process, and what became of them."""

    def __init__(self, site: Site, target: str) -> None:
        self._site = site
        self._target = target
        self._number = 0
        self.sent_at_s: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def send(self, tries: int) -> None:
        """Send so many bad requests, and as many sound ones between them."""
        for _ in range(tries):
            self._begin("bad", BAD_PART)
            await asyncio.sleep(TRY_GAP_S / 2)
            self._begin("good", f"cc{self._number % 3}")
            await asyncio.sleep(TRY_GAP_S / 2)
        await asyncio.gather(*self._tasks)

    def _begin(self, kind: str, middle: str) -> None:
        self._tasks.append(asyncio.create_task(self._ask(f"{kind}-{self._number}", middle)))
        self._number += 1

    async def _ask(self, request_id: str, middle: str) -> None:
        process = self._site.processes[self._number % len(self._site.processes)]
        self.sent_at_s[request_id] = asyncio.get_running_loop().time()
        number = self._number
        self.statuses[request_id] = await ask(process, self._target, request_id, middle, number)

    def known_s(self, workers: RestartingWorkers) -> float:
        """Return when all processes must know of the part."""
        bad = sorted(self.sent_at_s[r.request_id] for r in workers.received() if is_bad(r))
        return bad[CRASHES_ALLOWED - 1] + CONTACT_S if len(bad) >= CRASHES_ALLOWED else 1e18

    def late_runs(self, workers: RestartingWorkers) -> list[str]:
        """Return the bad requests that reached workers though all must have known."""
        known_s = self.known_s(workers)
        reached = [r.request_id for r in workers.received() if is_bad(r)]
        return [request_id for request_id in reached if self.sent_at_s[request_id] > known_s]

    def late_sound_statuses(self, workers: RestartingWorkers) -> list[int]:
        """Return the statuses of the sound requests that were sent well after that time."""
        known_s = self.known_s(workers) + CONTACT_S
        return [
            status
            for request_id, status in self.statuses.items()
            if request_id.startswith("good") and self.sent_at_s[request_id] > known_s
        ]


class UnluckyRequests:
    """Tells which requests meet the crash of their worker, whatever they are, at each attempt."""

    def __init__(self) -> None:
        self.left = 0
        self._request_ids: set[str] = set()

    def crashes(self, request: Received) -> bool:
        """Return whether the worker of a request crashes."""
        if self.left and request.request_id not in self._request_ids:
            self.left -= 1
            self._request_ids.add(request.request_id)
        return request.request_id in self._request_ids


class CrashingPart(TestCase):
    def check(self, traffic: Traffic, workers: RestartingWorkers, name: str) -> None:
        late = traffic.late_runs(workers)
        self.assertTrue(len(late) <= LATE_RUNS_ALLOWED, (name, "late runs", late))
        statuses = traffic.late_sound_statuses(workers)
        self.assertTrue(len(statuses) >= MIN_SOUND_REQUESTS, (name, "too few to tell", statuses))
        share = sum(status == 200 for status in statuses) / len(statuses)
        self.assertTrue(share >= MIN_SOUND_SHARE, (name, "sound requests", share))

    def test_requests_with_the_part_are_held_back_and_others_served(self) -> None:
        """Guards against worker after worker that requests with one part in common crash."""

        async def scenario(target: str) -> None:
            async with Site(3) as site:
                workers = RestartingWorkers(SiteWorkers(site), is_bad, (OTHER_STREAM,))
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                traffic = Traffic(site, target)
                await traffic.send(TRIES)
                await workers.stop()
                self.check(traffic, workers, target)

        for target in ("/stream/x", "/plain/x"):
            run(scenario(target))

    def test_crashes_that_end_an_answer_without_length_count_too(self) -> None:
        """Guards against answers that end with their connection and are taken for whole."""

        async def scenario() -> None:
            async with Site(3) as site:
                workers = RestartingWorkers(
                    SiteWorkers(site), is_bad, (OTHER_STREAM,), closes_cleanly=True
                )
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                traffic = Traffic(site, "/stream/x")
                await traffic.send(TRIES)
                await workers.stop()
                self.check(traffic, workers, "without length")

        run(scenario())

    def test_part_stays_held_back_when_all_processes_are_lost(self) -> None:
        """Guards against a count that begins anew once all daemons have been restarted."""

        async def scenario() -> None:
            async with Site(2) as site:
                workers = RestartingWorkers(SiteWorkers(site), is_bad, (OTHER_STREAM,))
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                traffic = Traffic(site, "/plain/x")
                await traffic.send(16)
                await asyncio.sleep(CONTACT_S)
                await site.kill_and_restart(*site.processes)
                await asyncio.sleep(0.5)
                await traffic.send(12)
                await workers.stop()
                self.check(traffic, workers, "restarted")

        run(scenario())

    def test_part_that_all_requests_share_is_tried_again_after_workers_crashed_by_chance(
        self,
    ) -> None:
        """Guards against a block for minutes after one trial whose worker crashed by chance."""

        async def scenario() -> tuple[list[int], float]:
            async with Site(3) as site:
                unlucky = UnluckyRequests()
                workers = RestartingWorkers(SiteWorkers(site), unlucky.crashes, (OTHER_STREAM,))
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                numbers = itertools.count()

                async def send() -> int:
                    number = next(numbers)
                    process = site.processes[number % len(site.processes)]
                    middle = f"c{number}"
                    return await ask(process, "/stream/x", f"r{number}", middle, number)

                for requests in UNLUCKY_REQUESTS:
                    unlucky.left = requests
                    while unlucky.left:
                        await send()
                        await asyncio.sleep(TRY_GAP_S)
                    last_crash_s = asyncio.get_running_loop().time()
                    await asyncio.sleep(CRASH_KNOWN_S)
                await site.kill_and_restart(*site.processes)
                while asyncio.get_running_loop().time() < last_crash_s + NEXT_TRIAL_S:
                    await send()
                    await asyncio.sleep(TRY_GAP_S)
                began_s = asyncio.get_running_loop().time()
                statuses = [await send() for _ in range(MIN_SOUND_REQUESTS)]
                duration_s = asyncio.get_running_loop().time() - began_s
                await workers.stop()
                return statuses, duration_s

        limited = asyncio.wait_for(scenario(), SCENARIO_TIMEOUT_S)
        statuses, duration_s = asyncio.run(limited)
        self.assertEqual([200] * MIN_SOUND_REQUESTS, statuses)
        self.assertTrue(duration_s <= SOUND_WITHIN_S, duration_s)

    def test_items_with_the_part_wait_and_the_others_are_done(self) -> None:
        """Guards against items that crash worker after worker, each with another item's body."""

        async def scenario() -> None:
            async with Site(2) as site:
                workers = RestartingWorkers(SiteWorkers(site), is_bad, (stream(4),))
                await workers.start(WORKERS)
                items = [
                    {
                        "id": f"i{n}",
                        "path": f"/batch/{n}",
                        "body": b64encode(b"%d" % n).decode(),
                        "headers": {"Prefix-Hash": prompt("cc" if n % 4 else BAD_PART, n)},
                    }
                    for n in range(48)
                ]
                document = orjson.dumps({"items": items})
                headers = {"Request-Id": "job1"}
                first, second = site.processes
                answer = await first.call("POST", "/batch/x", body=document, headers=headers)
                self.assertEqual(202, answer.status)
                await asyncio.sleep(16.0)
                await workers.stop()
                runs_s = sorted(r.at_s for r in workers.received() if is_bad(r))
                known_s = runs_s[CRASHES_ALLOWED - 1] + CONTACT_S
                late = [at_s - known_s for at_s in runs_s if at_s > known_s]
                self.assertTrue(len(late) <= LATE_RUNS_ALLOWED, ("items", "late runs", late))
                page = orjson.loads((await second.call("GET", "/lots/job1?after=0")).body)
                done = {result["id"] for result in page["results"]}
                sound = {f"i{n}" for n in range(48) if n % 4}
                self.assertEqual(sound, done, lines_of(site, ITEM_EVENTS))

        run(scenario())
