"""Prompt parts that crash workers: what blocks them, what clears sound ones, agreement."""

from __future__ import annotations

import asyncio
import random

import msgspec
from testtools import TestCase

from mountstand.quarantine.batch_verdicts import MAX_TRIAL_DELAY_S
from mountstand.quarantine.part_quarantine import (
    JOINT_ITEM_TRIAL_DELAY_S,
    JOINT_TRIAL_DELAY_S,
    PartQuarantine,
)
from mountstand.quarantine.part_verdicts import MAX_SOON_TRIALS
from mountstand.quarantine.reports import build_report, merge_report
from mountstand.quarantine.service import RequestQuarantine
from mountstand.quarantine.started_trials import StartedTrials
from mountstand.quarantine.suspect import (
    INITIAL_BLOCK_S,
    TRIAL_BACKOFF_FACTOR,
    TRIAL_DELAY_S,
    TRIAL_JITTER_S,
    Trials,
)
from mountstand.quarantine.workload import Workload
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.prompt import Prompt, PromptPart, part_key
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.worker_ends import WRITING_PROVES_S, BrokenRun, WorkerCrashDetector
from mountstand.serving.worker_protocol import Call
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.wire.gossip import CrashReport, PartQuery, PartReport, SuspectEntry
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import PausedClockLoop, run_paused
from tests.stand_ins.report_link import RecordingReportLink

FIRST, BAD, SOUND = (part_key(part_id) for part_id in ("first", "bad", "sound"))
SOUND_CALL = Call(
    "r", "h", "POST", "/x", (), b"", Prompt((PromptPart("sound", 1), PromptPart("own", 1)))
)
START_S = 1000.0
RUN_S = 0.05
GAP_S = 1.2
"""Between crashes; more than the error that is allowed for times of other daemons."""


class PartTestCase(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.begin_anew()

    def begin_anew(self) -> None:
        """Begin without any evidence."""
        self.link = RecordingReportLink("d2")
        self.quarantine = PartQuarantine("d1", self.link, random.Random(1), RecordingLog())
        self.worker = 0
        self.now_s = START_S

    def crash(self, *runs: tuple[int, ...], new: bool = True) -> None:
        """Let a worker crash that ran requests with these parts, after ``GAP_S``."""
        self.now_s += GAP_S
        self.worker += 1
        by_content = {
            self.worker * 100 + n: BrokenRun(self.now_s - RUN_S, parts)
            for n, parts in enumerate(runs)
        }
        self.quarantine.note_worker_crash(
            self.worker, self.now_s, by_content, list(by_content) if new else [], self.now_s
        )

    def held(self, *parts: int) -> float:
        return self.quarantine.blocked_for_s(parts, self.now_s)

    def held_for_items(self, *parts: int) -> float:
        return self.quarantine.blocked_for_s(parts, self.now_s, Workload.BATCH)

    def assert_next_trial(self, backoff_steps: int, *parts: int, joint: bool = False) -> None:
        """Check how long requests with these parts wait: neither less nor more."""
        delay_s = TRIAL_DELAY_S * TRIAL_BACKOFF_FACTOR**backoff_steps
        delay_s += JOINT_TRIAL_DELAY_S if joint else 0.0
        self.assertGreaterEqual(self.held(*parts), delay_s)
        self.assertLessEqual(self.held(*parts), delay_s + TRIAL_JITTER_S)

    def assert_no_soon_trial(self, *parts: int) -> None:
        """Check that requests with these parts wait for the full delay: neither less nor more."""
        self.assertGreaterEqual(round(self.held(*parts), 6), INITIAL_BLOCK_S)
        self.assertLessEqual(self.held(*parts), INITIAL_BLOCK_S + TRIAL_JITTER_S)

    def serve(self, *parts: int) -> None:
        self.quarantine.note_served(parts, "r", self.now_s)

    def try_once(self, *parts: int) -> StartedTrials:
        """Wait until a request with these parts may be tried, and begin its trial."""
        self.now_s += self.held(*parts)
        self.assertEqual(0, self.held(*parts))
        ids = {FIRST: "first", BAD: "bad", SOUND: "sound"}
        prompt = Prompt((*(PromptPart(ids[part], 1) for part in parts), PromptPart("own", 1)))
        call = Call("r", "h", "POST", "/x", (), b"", prompt)
        trials = StartedTrials()
        suspects = self.quarantine.suspects
        trials.add(suspects, self.quarantine.begin_trials(call, "w", self.now_s))
        return trials


class Blocking(PartTestCase):
    def test_part_is_held_back_for_a_trial_after_three_contents_crashed(self) -> None:
        for _ in range(2):
            self.crash((FIRST, BAD))
            self.serve(FIRST)
        self.assertEqual(0, self.held(FIRST, BAD))
        self.crash((FIRST, BAD))
        self.serve(FIRST)
        self.assertTrue(TRIAL_DELAY_S <= self.held(FIRST, BAD) <= TRIAL_DELAY_S + TRIAL_JITTER_S)

    def test_trial_that_crashes_its_worker_delays_the_part_alone(self) -> None:
        """Guards against a block of the first part, which sound requests have too."""
        for _ in range(3):
            self.crash((FIRST, BAD))
            self.serve(FIRST)
        self.try_once(FIRST, BAD)
        self.crash((FIRST, BAD))
        self.assert_next_trial(1, FIRST, BAD)
        self.assertEqual(0, self.held(FIRST, SOUND))

    def test_one_content_that_crashes_again_and_again_blames_no_part(self) -> None:
        """Guards against a block of parts where the request as a whole is the cause."""
        self.crash((FIRST, SOUND))
        for _ in range(5):
            self.crash((FIRST, SOUND), new=False)
        self.assertEqual(0, self.held(FIRST, SOUND))

    def test_parts_beside_the_bad_one_are_cleared_by_answers(self) -> None:
        """Guards against sound requests held back for what ran beside them."""
        for _ in range(4):
            self.crash((FIRST, BAD), (FIRST, SOUND))
            self.serve(FIRST, SOUND)
        self.assertEqual(0, self.held(FIRST, SOUND))
        self.assertLess(0, self.held(FIRST, BAD))

    def test_success_during_the_hold_clears_a_part(self) -> None:
        for _ in range(3):
            self.crash((SOUND,))
        self.assertLess(0, self.held(SOUND))
        self.serve(SOUND)
        self.assertEqual(0, self.held(SOUND))

    def test_request_with_two_suspected_parts_is_tried_after_those_with_one(self) -> None:
        """Guards against a trial that blocks a sound part together with the bad one."""
        for _ in range(3):
            self.crash((FIRST, BAD))
        alone_s, joint_s = self.held(FIRST), self.held(FIRST, BAD)
        self.assertGreaterEqual(joint_s, TRIAL_DELAY_S + JOINT_TRIAL_DELAY_S)
        self.assertLess(alone_s, joint_s)
        self.try_once(FIRST)
        self.serve(FIRST)
        self.assertEqual(0, self.held(FIRST))
        self.try_once(FIRST, BAD)
        self.crash((FIRST, BAD))
        self.assert_next_trial(1, FIRST, BAD)
        self.assertEqual(0, self.held(FIRST))

    def test_item_with_two_suspected_parts_is_tried_after_those_with_one(self) -> None:
        """Guards against bad items that take every trial of a part which sound items have too."""
        for _ in range(3):
            self.crash((FIRST, BAD))
        alone_s, joint_s = self.held_for_items(FIRST), self.held_for_items(FIRST, BAD)
        self.assertLessEqual(alone_s, TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.assertGreaterEqual(joint_s, TRIAL_DELAY_S + JOINT_ITEM_TRIAL_DELAY_S)
        self.try_once(FIRST, BAD)
        self.crash((FIRST, BAD))
        alone_s, joint_s = self.held_for_items(FIRST), self.held_for_items(FIRST, BAD)
        self.assertLessEqual(alone_s, MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.assertGreaterEqual(joint_s, MAX_TRIAL_DELAY_S + JOINT_ITEM_TRIAL_DELAY_S)

    def test_item_at_whose_run_a_worker_crashed_is_tried_after_the_others(self) -> None:
        """Guards against bad items that take the trials of sound ones with as many suspects."""
        for _ in range(3):
            self.crash((FIRST, BAD), (FIRST, SOUND))
        sound_s = self.quarantine.blocked_for_s((FIRST, SOUND), self.now_s, Workload.BATCH)
        bad_s = self.quarantine.blocked_for_s(
            (FIRST, BAD), self.now_s, Workload.BATCH, has_crashed=True
        )
        self.assertAlmostEqual(bad_s, sound_s + JOINT_ITEM_TRIAL_DELAY_S)

    def test_parts_that_always_come_together_wait_longer_after_each_trial(self) -> None:
        """Guards against frequent trials where no request has one of the parts alone."""
        for _ in range(3):
            self.crash((FIRST, BAD))
        for trials in range(1, MAX_SOON_TRIALS + 2):
            self.try_once(FIRST, BAD)
            self.crash((FIRST, BAD))
            self.assert_joint_trial(trials)

    def assert_joint_trial(self, after_trials: int) -> None:
        """Check when a request with both parts is tried; one alone may be tried before."""
        delay_s = INITIAL_BLOCK_S
        if after_trials < MAX_SOON_TRIALS:
            delay_s = MAX_TRIAL_DELAY_S + JOINT_TRIAL_DELAY_S
        self.assertGreaterEqual(round(self.held(FIRST, BAD), 6), delay_s)
        self.assertLessEqual(self.held(FIRST, BAD), delay_s + TRIAL_JITTER_S)

    def crash_together(self) -> None:
        """Let two parts crash workers, the last times in trials of both."""
        for _ in range(3):
            self.crash((FIRST, BAD))
        for _ in range(MAX_SOON_TRIALS):
            self.try_once(FIRST, BAD)
            self.crash((FIRST, BAD))

    def test_part_that_crashed_only_beside_the_bad_one_is_soon_tried_alone(self) -> None:
        """Guards against a first part that is held back for minutes with the bad one."""
        for _ in range(3):
            self.crash((FIRST, BAD))
        for _ in range(MAX_SOON_TRIALS):
            self.try_once(FIRST, BAD)
            self.crash((FIRST, BAD))
        self.assertLessEqual(self.held(FIRST), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.assert_joint_trial(MAX_SOON_TRIALS)
        bad_trial_at_s = self.now_s + INITIAL_BLOCK_S
        self.try_once(FIRST)
        self.assertLessEqual(self.held(FIRST), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.now_s += GAP_S
        self.serve(FIRST)
        self.assertEqual(0, self.held(FIRST, SOUND))
        self.assertGreaterEqual(self.now_s + self.held(BAD), bad_trial_at_s)
        self.assertGreaterEqual(self.now_s + self.held(FIRST, BAD), bad_trial_at_s)

    def test_first_part_that_crashes_its_own_trial_waits_longer(self) -> None:
        """Guards against a bad part that is taken for sound as it crashed only beside another."""
        for _ in range(3):
            self.crash((FIRST, SOUND))
        for _ in range(2):
            self.try_once(FIRST, SOUND)
            self.crash((FIRST, SOUND))
        for _ in range(MAX_SOON_TRIALS - 2):
            self.try_once(FIRST)
            self.crash((FIRST,))
        self.assert_no_soon_trial(FIRST)
        self.assertGreaterEqual(self.held(FIRST, SOUND), self.held(FIRST) - TRIAL_JITTER_S)
        self.assertLessEqual(self.held(SOUND), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)

    def test_item_with_one_of_the_parts_that_crashed_together_is_soon_tried(self) -> None:
        """Guards against sound items that wait for minutes beside bad ones."""
        self.crash_together()
        self.assertGreaterEqual(self.held_for_items(FIRST, BAD), INITIAL_BLOCK_S)
        self.assertLessEqual(self.held_for_items(FIRST), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.serve(FIRST)
        self.now_s += GAP_S
        self.assertEqual(0, self.held_for_items(FIRST))

    def test_bad_part_reaches_few_workers_in_ten_minutes(self) -> None:
        """Guards against worker after worker for the trials of a part that crashes all of them."""
        tried_s = []
        while self.now_s < START_S + 600.0:
            if self.held(FIRST, BAD) == 0:
                if self.quarantine.suspects.requires_trial(BAD):
                    self.try_once(FIRST, BAD)
                tried_s.append(self.now_s)
                self.crash((FIRST, BAD))
                self.serve(FIRST)
            self.now_s += 0.3
        late = [at_s for at_s in tried_s if at_s > tried_s[4] + 3.0]
        self.assertLessEqual(len(late), 3)

    def test_first_part_is_served_again_soon_after_crashes_of_all_workers(self) -> None:
        """Guards against minutes without service after chance crashes of sound trials."""
        for _ in range(3):
            self.crash((FIRST, SOUND))
        self.serve(FIRST, SOUND)
        self.now_s += GAP_S
        for _ in range(3):
            self.crash((FIRST,))
        for _ in range(3):
            self.try_once(FIRST)
            self.crash((FIRST,))
            self.assertLessEqual(self.held(FIRST), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)
            self.assertLessEqual(self.held_for_items(FIRST), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)

    def test_part_that_was_never_served_is_tried_again_soon_after_a_bout_of_crashes(self) -> None:
        """Guards against minutes without service as all workers crash in turn."""
        for _ in range(3):
            self.crash((FIRST,))
        for _ in range(MAX_SOON_TRIALS - 1):
            self.try_once(FIRST)
            self.crash((FIRST,))
            self.assert_next_trial(1, FIRST)
            self.assertLessEqual(self.held_for_items(FIRST), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.try_once(FIRST)
        self.crash((FIRST,))
        self.assert_no_soon_trial(FIRST)

    def crash_in_trials(self, trials: int) -> None:
        """Crash a worker in each of the soon trials that are left."""
        for _ in range(trials - 1):
            self.try_once(BAD)
            self.crash((BAD,))
            self.assert_next_trial(1, BAD)
        self.try_once(BAD)
        self.crash((BAD,))
        self.assert_no_soon_trial(BAD)

    def test_each_crash_before_the_first_trial_leaves_one_trial_less(self) -> None:
        """Guards against more workers for a bad part than eight, or than three in trials."""
        for crashes, trials in ((3, 5), (4, 4), (5, 3), (6, 3), (9, 3)):
            self.begin_anew()
            for _ in range(crashes):
                self.crash((BAD,))
            self.crash_in_trials(trials)

    def test_crash_of_a_repeat_leaves_few_trials(self) -> None:
        """Guards against workers that nobody counts, as their requests were sent before."""
        self.crash((BAD,))
        self.crash((BAD,), new=False)
        for _ in range(2):
            self.crash((BAD,))
        self.crash_in_trials(3)

    def test_crash_of_a_repeat_does_not_count_once_the_part_was_served(self) -> None:
        """Guards against few trials of a sound part for what happened long ago."""
        self.crash((BAD,))
        self.crash((BAD,), new=False)
        self.now_s += 2 * GAP_S
        self.serve(BAD)
        self.now_s += GAP_S
        for _ in range(3):
            self.crash((BAD,))
        self.crash_in_trials(5)

    def test_trial_whose_crash_nobody_knows_leaves_few_trials(self) -> None:
        """Guards against a worker that crashed as all daemons were killed, and is not counted."""
        for _ in range(3):
            self.crash((BAD,))
        self.try_once(BAD)
        self.assert_next_trial(1, BAD)
        self.crash_in_trials(2)

    def test_part_that_was_served_has_as_many_trials(self) -> None:
        """Guards against trials without end of a part that crashes workers since it was served."""
        for _ in range(3):
            self.crash((BAD,))
        self.serve(BAD)
        self.now_s += GAP_S
        for _ in range(5):
            self.crash((BAD,))
        self.crash_in_trials(3)

    def test_crash_of_a_trial_among_others_blocks_nothing(self) -> None:
        """Guards against a block of a whole route in a burst of crashes with another cause."""
        for _ in range(3):
            self.crash((SOUND,))
        self.try_once(SOUND)
        self.crash((SOUND,))
        other = {999: BrokenRun(self.now_s - RUN_S, (FIRST,))}
        self.quarantine.note_worker_crash(99, self.now_s, other, [999], self.now_s)
        self.assertLess(self.held(SOUND), INITIAL_BLOCK_S)

    def test_items_are_tried_again_within_seconds(self) -> None:
        """Guards against sound items that wait for minutes after bursts of crashes."""
        for number in range(2 + MAX_SOON_TRIALS):
            self.crash((SOUND,))
            other = {900 + number: BrokenRun(self.now_s - RUN_S, (part_key(f"other {number}"),))}
            self.quarantine.note_worker_crash(
                500 + number, self.now_s, other, list(other), self.now_s
            )
            self.try_once(SOUND)
            self.assertLessEqual(self.held_for_items(SOUND), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.assertGreater(self.held(SOUND), MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)

    def test_trial_that_no_worker_ran_begins_again_at_once(self) -> None:
        """Guards against a route that waits longer after each trial at a worker that is gone."""
        for _ in range(3):
            self.crash((FIRST, BAD))
        trials = self.try_once(FIRST, BAD)
        self.assertGreater(self.held(FIRST, BAD), TRIAL_DELAY_S)
        self.assertGreater(self.held_for_items(BAD), TRIAL_DELAY_S)
        self.quarantine.suspects.merge(BAD, {}, trials=Trials(1, self.now_s - 0.001))
        trials.note_not_run()
        self.assertEqual(0, self.held(FIRST, BAD))
        self.assertEqual(0, self.held_for_items(FIRST))
        self.try_once(FIRST, BAD)
        self.assertEqual(1, self.quarantine.suspects.by_content[BAD].trials.count)
        self.assertGreater(self.held(FIRST), TRIAL_DELAY_S)
        self.assertGreater(self.held(FIRST, BAD), TRIAL_DELAY_S)

    def test_trial_of_another_daemon_does_not_begin_again(self) -> None:
        """Guards against two trials at once."""
        for _ in range(3):
            self.crash((BAD,))
        trials = self.try_once(BAD)
        self.quarantine.suspects.merge(BAD, {}, trials=Trials(2, self.now_s))
        trials.note_not_run()
        self.assertGreater(self.held(BAD), TRIAL_DELAY_S)

    def test_trial_that_no_worker_ran_does_not_begin_again_once_the_part_is_blocked(self) -> None:
        for _ in range(3):
            self.crash((BAD,))
        trials = self.try_once(BAD)
        trials.note_not_run()
        self.assertEqual(0, self.held(BAD))
        self.crash((BAD,))
        self.assert_next_trial(1, BAD)

    def test_trial_that_no_worker_ran_leaves_the_next_one_alone(self) -> None:
        """Guards against two trials at once after one that other daemons' trials have replaced."""
        for _ in range(3):
            self.crash((BAD,))
        self.try_once(BAD).note_not_run()
        self.quarantine.suspects.merge(BAD, {}, trials=Trials(2, self.now_s))
        self.assertGreater(self.held(BAD), TRIAL_DELAY_S)
        self.try_once(BAD)
        self.assertGreater(self.held(BAD), TRIAL_DELAY_S)

    def test_requests_without_parts_are_never_held_back(self) -> None:
        for _ in range(4):
            self.crash(())
        self.assertEqual(0, self.held())


class Writing(TestCase):
    """A part that crashes workers does so as they begin to write."""

    def test_run_that_wrote_for_long_blames_no_part(self) -> None:
        """Guards against parts of long items that are held back after bursts of crashes."""

        async def scenario() -> list[tuple[int, ...]]:
            loop = asyncio.get_running_loop()
            assert isinstance(loop, PausedClockLoop)
            now_s = loop.time()
            crash_detector = WorkerCrashDetector(
                WorkerConnections(), ServingMetrics(), RecordingLog()
            )
            runs = []
            for writing_since_s in (None, now_s - WRITING_PROVES_S / 2, now_s - 1.0):
                worker = Worker(WorkerRecord("w", "llm", "127.0.0.1", 1, "a", 4, False, 1))
                crash_detector.note_broken(worker, SOUND_CALL, now_s - 2.0, writing_since_s)
                runs += crash_detector._runs_by_worker.pop("w").values()
                crash_detector._check_by_worker.pop("w").cancel()
            return [run.part_keys for run in runs]

        self.assertEqual([(SOUND,), (SOUND,), ()], run_paused(scenario()))

    def test_run_that_goes_on_writing_clears_its_parts(self) -> None:
        """Guards against sound parts that wait for the end of a long item."""

        async def scenario() -> None:
            metrics, log = ServingMetrics(), RecordingLog()
            quarantine = RequestQuarantine(
                "d1",
                WorkerCrashDetector(WorkerConnections(), metrics, log),
                RecordingReportLink(),
                random.Random(1),
                metrics,
                log,
            )
            now_s = asyncio.get_running_loop().time()
            for n in range(3):
                run = {n: BrokenRun(now_s - 5 + n - RUN_S, (SOUND,))}
                quarantine.parts.note_worker_crash(n, now_s - 5 + n, run, [n], now_s)
            self.assertTrue(quarantine.parts.is_suspect((SOUND,)))
            quarantine.note_writing(SOUND_CALL, now_s - WRITING_PROVES_S / 2, resumed=False)
            self.assertTrue(quarantine.parts.is_suspect((SOUND,)))
            quarantine.note_writing(SOUND_CALL, now_s - 2 * WRITING_PROVES_S, resumed=False)
            self.assertFalse(quarantine.parts.is_suspect((SOUND,)))

        run_paused(scenario())


class Messages(PartTestCase):
    def test_daemons_agree_and_answer_queries(self) -> None:
        async def scenario() -> None:
            other = PartQuarantine(
                "d2", RecordingReportLink("d1"), random.Random(2), RecordingLog()
            )
            for _ in range(3):
                self.crash((BAD,))
            self.quarantine.handle("d2", PartQuery(), self.now_s)
            answer, receivers = self.link.sent[-1]
            self.assertEqual({"d2"}, set(receivers))
            assert isinstance(answer, PartReport)
            other.handle("d1", answer, self.now_s)
            self.assertLess(0, other.blocked_for_s((BAD,), self.now_s))

        asyncio.run(scenario())


class Versions(PartTestCase):
    """The version before knows nothing of crashes that don't count."""

    def test_reports_are_read_by_the_version_before_and_after(self) -> None:
        class OldEntry(msgspec.Struct, frozen=True, array_like=True):
            content: int
            workers: tuple[int, ...]
            ages_ms: tuple[int, ...]
            ran_ms: tuple[int, ...]
            served_ms: int = -1
            trials: int = 0
            tried_ms: int = 0

        self.crash((BAD,))
        self.crash((BAD,), new=False)
        suspects = self.quarantine.suspects
        (entry,) = build_report(suspects, [BAD], self.now_s).suspects
        self.assertTrue(entry.uncounted)
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(entry), type=OldEntry)
        self.assertEqual(entry.workers, old.workers)
        returned = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=SuspectEntry)
        self.assertFalse(returned.uncounted)
        merge_report(suspects, CrashReport((returned,)), self.now_s)
        self.assertTrue(suspects.by_content[BAD].has_uncounted_crashes)


class Keys(TestCase):
    def test_last_part_has_no_key(self) -> None:
        """Guards against a block of a whole session by its own part."""
        prompt = Prompt((PromptPart("first", 10), PromptPart("bad", 5), PromptPart("own", 3)))
        self.assertEqual((FIRST, BAD), prompt.shared_keys)
        self.assertEqual((), Prompt((PromptPart("own", 3),)).shared_keys)
