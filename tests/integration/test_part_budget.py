"""How often requests with a part that crashes workers reach workers, over a whole minute.

Real processes, before workers that end as they run such a request and are back a moment later.
Callers send such requests all the time, no two alike, beside sound ones with the same first part.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field

from testtools import TestCase

from tests.integration.test_crashing_part import ask
from tests.integration.test_crashing_request import OTHER_STREAM, SiteWorkers
from tests.integration.test_platform_node import Process, Site
from tests.stand_ins.crashing import RestartingWorkers
from tests.stand_ins.worker import Received

DAEMONS = 4
WORKERS = 10
RESTART_S = 1.5
PLAY_S = 60.0
CONTACT_S = 3.0
CRASHES = 5
"""Crashes under a part after which daemons must hold it back."""

LATE_RUNS_ALLOWED = 3
MIN_SOUND_SHARE = 0.5


@dataclass
class Callers:
    """Callers of requests with bad parts and of sound ones, at all processes."""

    site: Site
    bad_parts: tuple[str, ...]
    gap_s: float = 0.25
    began_s: float = 0.0
    sent_at_s: dict[str, float] = field(default_factory=dict)
    part_by_id: dict[str, str] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def play(self, seconds: float) -> None:
        """Send requests one after the other from each caller, for so many seconds."""
        self.began_s = asyncio.get_running_loop().time()
        end_s = self.began_s + seconds
        parts = [part for part in self.bad_parts for _ in range(3)]
        callers = [self._call(end_s, part, number) for number, part in enumerate(parts)]
        sound = [self._call(end_s, "", number) for number in range(3)]
        await asyncio.gather(*callers, *sound)

    async def _call(self, end_s: float, part: str, caller: int) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            number = next(self._numbers)
            process = self._process(caller + number)
            if process is not None:
                await self._send(process, part, number)
            await asyncio.sleep(self.gap_s)

    def _process(self, number: int) -> Process | None:
        return self.site.processes[number % len(self.site.processes)]

    async def _send(self, process: Process, part: str, number: int) -> None:
        request_id = f"{part or 'good'}-{number}"
        self.sent_at_s[request_id] = asyncio.get_running_loop().time()
        self.part_by_id[request_id] = part
        middle = part or f"cc{number % 3}"
        status = await ask(process, "/stream/x", request_id, middle, number)
        self.statuses[request_id] = status

    def runs_s(self, workers: RestartingWorkers, part: str) -> list[float]:
        """Return when requests with a part reached workers, seconds of the play."""
        return sorted(
            request.at_s - self.began_s
            for request in workers.received()
            if self.part_by_id.get(request.request_id) == part
        )

    def late_runs_s(self, workers: RestartingWorkers, part: str) -> list[float]:
        """Return the runs later than ``CONTACT_S`` after the fifth crash under a part."""
        runs_s = self.runs_s(workers, part)
        if len(runs_s) < CRASHES:
            return []
        return [at_s for at_s in runs_s if at_s > runs_s[CRASHES - 1] + CONTACT_S]

    def sound_share(self, after_s: float) -> float:
        """Return the share of the sound requests sent after some seconds that were served."""
        statuses = [
            status
            for request_id, status in self.statuses.items()
            if not self.part_by_id[request_id]
            and self.sent_at_s[request_id] > self.began_s + after_s
        ]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))


def is_bad(request: Received) -> bool:
    """Return whether a request has a part that crashes its worker."""
    return ",bad" in (request.headers.get("prefix-hash") or "")


class PartBudget(TestCase):
    def check_minute(self, *bad_parts: str) -> None:
        async def scenario() -> None:
            async with Site(DAEMONS) as site:
                workers = RestartingWorkers(
                    SiteWorkers(site), is_bad, (OTHER_STREAM,), restart_s=RESTART_S, unlist_s=3.6
                )
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                callers = Callers(site, bad_parts)
                await callers.play(PLAY_S)
                await workers.stop()
                for part in bad_parts:
                    late_s = callers.late_runs_s(workers, part)
                    self.assertTrue(len(late_s) <= LATE_RUNS_ALLOWED, (part, "late runs", late_s))
                self.assertTrue(callers.sound_share(2 * CONTACT_S + 5) >= MIN_SOUND_SHARE)

        asyncio.run(asyncio.wait_for(scenario(), PLAY_S + 40.0))

    def test_bad_part_reaches_few_workers_in_a_minute(self) -> None:
        """Guards against trials of a bad part that are each allowed and together too many."""
        self.check_minute("bad0")

    def test_two_bad_parts_reach_few_workers_in_a_minute(self) -> None:
        """Guards against trials of a part that count for another, or that two daemons begin."""
        self.check_minute("bad0", "bad1")
