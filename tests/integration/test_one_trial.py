"""How many daemons try a suspected part, and how often, while reports between them are lost.

Real processes that reach the store, before workers that end as they run requests with a bad part.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field

from testtools import TestCase

from tests.integration.cuttable_site import CuttableProcess, CuttableSite
from tests.integration.test_crashing_request import OTHER_STREAM, SiteWorkers
from tests.integration.test_part_budget import DAEMONS, RESTART_S, WORKERS, Callers, is_bad
from tests.soak.proxy import LinkFaults
from tests.stand_ins.crashing import RestartingWorkers
from tests.stand_ins.harness import run

BAD_PARTS = ("bad0", "bad1", "bad2")
PLAY_S = 4.0
"""Long enough for the first trials of the parts."""

CALLERS_BY_PART = 6
"""As many that each daemon has a request at hand when the trial is due."""

SOUND_CALLERS = 3
"""They clear the first part, so that the bad ones are tried alone."""

STORE_DELAY_S = 0.03
"""Delay of what passes to the store and back, so that its feed is late as well."""

CALL_GAP_S = 0.1


class BusyCallers(Callers):
    """Callers that send requests with bad parts, and sound ones, to all daemons all the time."""

    async def play(self, seconds: float) -> None:
        """Send requests one after the other from each caller, for so many seconds."""
        loop = asyncio.get_running_loop()
        self.began_s = loop.time()
        end_s = self.began_s + seconds
        parts = [part for part in self.bad_parts for _ in range(CALLERS_BY_PART)]
        bad = [self._call(end_s, part, n) for n, part in enumerate(parts)]
        sound = [self._call(end_s, "", n) for n in range(SOUND_CALLERS)]
        await asyncio.gather(*bad, *sound)


@dataclass
class TrialLines:
    """What daemons wrote of one trial: who began it, and each request with the worker chosen."""

    daemons: set[str] = field(default_factory=set)
    attempts: set[tuple[str, str]] = field(default_factory=set)


def trials(site: CuttableSite) -> dict[tuple[str, int], TrialLines]:
    """Return the trials that daemons began, by part and number of the trial."""
    by_trial: dict[tuple[str, int], TrialLines] = defaultdict(TrialLines)
    for process in site.processes:
        for line in process.events("part_tried"):
            trial = by_trial[line["part"], line["trials"]]
            trial.daemons.add(process.name)
            trial.attempts.add((line["request"], line["worker"]))
    return by_trial


def attempts_received(workers: RestartingWorkers) -> set[tuple[str, str]]:
    """Return the requests that reached workers, each with its worker."""
    return {
        (request.request_id, worker.worker_id)
        for worker in [*workers.ended, *workers.running]
        for request in worker.received
    }


class OneTrial(TestCase):
    def test_one_daemon_tries_while_reports_are_lost(self) -> None:
        """Guards against a trial at each daemon that heard of no other one."""

        async def scenario() -> None:
            async with CuttableSite(DAEMONS) as site:
                workers = RestartingWorkers(
                    SiteWorkers(site), is_bad, (OTHER_STREAM,), restart_s=RESTART_S, unlist_s=3.6
                )
                await workers.start(WORKERS)
                await asyncio.sleep(0.5)
                for process in site.processes:
                    assert isinstance(process, CuttableProcess)
                    process.cut_file.write_text("all")
                    process.store.faults = LinkFaults(delay_s=STORE_DELAY_S)
                await BusyCallers(site, BAD_PARTS, CALL_GAP_S).play(PLAY_S)
                await workers.stop()
                received = attempts_received(workers)
                begun = trials(site)
                self.assertTrue(begun, "no trial began")
                for key, trial in begun.items():
                    self.assertEqual(1, len(trial.daemons), (key, trial.daemons))
                    # A trial that reached no worker begins again at its daemon.
                    runs = trial.attempts & received
                    self.assertTrue(len(runs) <= 1, (key, runs))

        run(scenario())
