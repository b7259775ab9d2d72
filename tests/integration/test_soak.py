"""The soak's own checks, and the seeds that ever failed."""

from __future__ import annotations

import asyncio
import tempfile
import tomllib
from itertools import pairwise
from pathlib import Path

import pytest
from testtools import TestCase

from tests.soak.__main__ import Soak, run_soak
from tests.soak.crashing import CrashingRuns
from tests.soak.history import BatchJob, History, OnlineRequest, Run, item_text
from tests.soak.zones import HELD_S, MOST_COLD, SoakZones
from tests.stand_ins.paused_clock import PausedClockLoop, run_paused

REGRESSIONS = tomllib.loads((Path(__file__).parents[1] / "soak/regressions.toml").read_text())


@pytest.mark.parametrize("case", REGRESSIONS["soak"], ids=lambda case: f"seed-{case['seed']}")
def test_seed_breaks_no_promise(case: dict[str, object]) -> None:
    options = Soak(
        seed=int(str(case["seed"])),
        duration_s=float(str(case["duration_s"])),
        keep_open=bool(case.get("keep_open", False)),
        series=bool(case.get("series", False)),
        zones=bool(case.get("zones", False)),
        bursts=bool(case.get("bursts", False)),
        versions=bool(case.get("versions", False)),
        workers=int(str(case.get("workers", Soak.workers))),
        fault_gap_s=float(str(case.get("fault_gap_s", Soak.fault_gap_s))),
    )
    with tempfile.TemporaryDirectory() as folder:
        figures = asyncio.run(run_soak(options, Path(folder)))
    assert figures["violations"] == []
    assert figures["requests"] > 0 and figures["batch_items"] > 0


class Checks(TestCase):
    """Each rule is found when it is broken."""

    def setUp(self) -> None:
        super().setUp()
        self.history = History()
        self.history.all_in_touch = lambda since_s: True
        self.once = OnlineRequest("once-1", False, 0.0, 4.0)
        self.job = BatchJob("job-1", ["item-1", "item-2"], accepted_at_s=0.0)
        self.history.online["once-1"] = self.once
        self.history.jobs["job-1"] = self.job
        for item_id in self.job.item_ids:
            self.history.job_by_item[item_id] = self.job

    def rules(self) -> list[str]:
        return [violation.rule for violation in self.history.violations]

    def page(self, after: int, *items: tuple[str, str, str]) -> None:
        results = [dict(zip(("id", "state", "text"), item, strict=True)) for item in items]
        self.history.note_page(self.job, after, results, 1.0)

    def test_a_cold_worker_gets_more_than_it_bears(self) -> None:
        """What its link held back and lets through at once was sent within the bound."""

        async def play() -> None:
            zones = SoakZones(self.history, played=True)
            zones.add_worker("w0", 0)
            zones.note_link_harmed("w0")
            zones.note_link_mended("w0")
            for _ in range(int(MOST_COLD)):
                zones.note_run("w0", "once-1")
            await asyncio.sleep(HELD_S)
            for _ in range(int(MOST_COLD)):
                zones.note_run("w0", "once-1")
            self.assertEqual([], self.rules())
            zones.note_run("w0", "once-1")
            self.assertEqual(["FAILBACK"], self.rules())

        run_paused(play())

    def test_second_run_of_what_may_run_once(self) -> None:
        self.history.note_run("once-1", Run("w0", 1.0))
        self.history.note_run("once-1", Run("w1", 1.1))
        self.assertEqual(["TWICE"], self.rules())

    def test_refusal_after_a_run_and_run_after_a_refusal(self) -> None:
        self.history.note_run("once-1", Run("w0", 1.0))
        self.history.note_answer(self.once, 503, 1.1)
        other = OnlineRequest("once-2", False, 0.0, 4.0)
        self.history.online["once-2"] = other
        self.history.note_answer(other, 429, 1.0)
        self.history.note_run("once-2", Run("w0", 1.5))
        self.assertEqual(["REFUSED", "REFUSED"], self.rules())

    def test_run_that_goes_on_at_another_software_version(self) -> None:
        self.history.note_run("item-1", Run("w0", 1.0, software_version="v1"))
        self.history.note_run("item-1", Run("w2", 2.0, 5, software_version="v1"))
        self.history.note_run("item-1", Run("w1", 3.0, software_version="v2"))
        self.history.note_run("item-1", Run("w3", 4.0, 2, software_version="v2"))
        self.assertEqual([], self.rules())
        self.history.note_run("item-2", Run("w0", 1.0, software_version="v1"))
        self.history.note_run("item-2", Run("w1", 2.0, 2, software_version="v2"))
        self.assertEqual(["ORDER"], self.rules())

    def test_run_that_nobody_asked_for(self) -> None:
        self.history.note_run("strange", Run("w0", 1.0))
        self.assertEqual(["UNASKED"], self.rules())

    def test_run_at_a_worker_that_has_long_been_leaving(self) -> None:
        self.history.note_run("once-1", Run("w0", 9.0, draining_since_s=1.0))
        self.assertEqual(["DRAIN"], self.rules())

    def test_item_of_a_job_that_ended_or_was_refused(self) -> None:
        self.job.ended_at_s = 1.0
        self.history.note_run("item-1", Run("w0", 9.0))
        self.job.refused_everywhere = True
        self.history.note_run("item-1", Run("w0", 9.0))
        self.assertEqual(["UNASKED", "REFUSED"], self.rules())

    def test_results(self) -> None:
        good = ("item-1", "completed", item_text("item-1"))
        self.page(0, good)
        self.page(0, good)
        self.assertEqual([], self.rules())
        self.page(0, ("item-2", "completed", item_text("item-2")))
        self.page(1, ("item-1", "completed", item_text("item-1")))
        self.assertEqual(["TWICE", "TWICE"], self.rules())

    def test_text_that_is_not_whole_and_item_given_up_without_cause(self) -> None:
        self.page(0, ("item-1", "completed", "item-1:1"), ("item-2", "dead_lettered", ""))
        self.assertEqual(["MIXED", "MIXED"], self.rules())

    def test_a_request_that_crashes_workers_and_comes_on_and_on(self) -> None:
        self.job.item_ids.append("item-3-crash")
        at_s = [0.0, 0.1, 0.2, 1.0, 2.0, 5.0, 6.0, 7.0, 8.0]

        async def play() -> None:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, PausedClockLoop)
            crashing = CrashingRuns(self.history)
            for i, gap_s in enumerate(after - before for before, after in pairwise([0.0, *at_s])):
                loop.advance(gap_s)
                crashing.in_touch_by_id[f"r{i}"] = lambda: True
                crashing.note(f"r{i}", b"crash-1")
                crashing.in_touch_by_id[f"out-{i}"] = lambda: False
                crashing.note(f"out-{i}", b"crash-2")

        run_paused(play())
        self.assertEqual(["BUDGET"], self.rules())
        self.assertEqual("r8", self.history.violations[0].subject)

    def test_an_item_may_be_given_up_once_workers_failed_it_often_enough(self) -> None:
        self.history.failed_answers.update({"item-1": 3, "item-2": 2})
        self.page(0, ("item-1", "dead_lettered", ""), ("item-2", "dead_lettered", ""))
        self.assertEqual(["MIXED"], self.rules())
        self.assertIn("item-2", self.history.violations[0].detail)

    def test_items_that_are_missing_at_the_end(self) -> None:
        self.history.check_ends(60.0)
        self.assertEqual(["LOST"], self.rules())
