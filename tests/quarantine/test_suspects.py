"""Blocking and trials of crash suspects, and agreement between daemons."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

import msgspec
from testtools import TestCase

from mountstand.quarantine.reports import build_report, build_reports, merge_report
from mountstand.quarantine.suspect import (
    CRASHES_TO_BLOCK,
    INITIAL_BLOCK_S,
    MAX_CRASHES_KEPT,
    SUSPECT_RETENTION_S,
    TRIAL_BACKOFF_FACTOR,
    TRIAL_DELAY_S,
    TRIAL_JITTER_S,
    WorkerCrash,
    block_duration_s,
    count_crashes,
)
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.wire.gossip import CrashReport, GossipBodies, SuspectEntry

START_S = 1e7
CULPRIT, OTHER, THIRD = 1, 2, 3
RUN_DURATION_S = 0.04


def after_crashes(*contents_by_worker: Iterable[int], gap_s: float = 1.0) -> CrashSuspects:
    """Return suspects after workers 0, 1 and so on crashed while running the given contents."""
    suspects = CrashSuspects()
    for worker, contents in enumerate(contents_by_worker):
        for content in contents:
            suspects.merge(content, {worker: WorkerCrash(START_S + worker * gap_s, RUN_DURATION_S)})
    return suspects


class Blocking(TestCase):
    def test_blocked_after_three_worker_crashes(self) -> None:
        two = after_crashes([CULPRIT], [CULPRIT])
        self.assertEqual(0.0, two.blocked_for_s(CULPRIT, START_S + 2))
        three = after_crashes([CULPRIT], [CULPRIT], [CULPRIT])
        self.assertEqual(INITIAL_BLOCK_S, three.blocked_for_s(CULPRIT, START_S + 2))

    def test_crash_reported_again_counts_once(self) -> None:
        suspects = CrashSuspects()
        for _ in range(5):
            suspects.merge(CULPRIT, {7: WorkerCrash(START_S)})
        self.assertEqual(0.0, suspects.blocked_for_s(CULPRIT, START_S))

    def test_contents_present_at_some_crashes_are_not_blocked(self) -> None:
        """Other contents were running at each crash, but none at all three."""
        suspects = after_crashes([CULPRIT, 10, 11], [CULPRIT, 11, 12], [CULPRIT, 12, 10])
        blocked = suspects.blocked_contents(START_S + 3)
        self.assertEqual({CULPRIT}, blocked)

    def test_crashes_attributed_to_another_content_do_not_count(self) -> None:
        """OTHER was present at three of the four crashes that CULPRIT caused."""
        suspects = after_crashes([CULPRIT, OTHER], [CULPRIT, OTHER], [CULPRIT], [CULPRIT, OTHER])
        self.assertEqual({CULPRIT}, suspects.blocked_contents(START_S + 4))

    def test_two_crashing_contents_are_both_blocked(self) -> None:
        """A common crash is attributed to the content with more; the other needs one more crash."""
        crashes = ([CULPRIT], [OTHER], [CULPRIT], [OTHER], [CULPRIT, OTHER], [OTHER])
        self.assertEqual({OTHER}, after_crashes(*crashes).blocked_contents(START_S + 6))
        suspects = after_crashes(*crashes, [CULPRIT])
        self.assertEqual({CULPRIT, OTHER}, suspects.blocked_contents(START_S + 7))

    def test_innocent_content_beside_two_crashing_ones_is_not_blocked(self) -> None:
        """OTHER ran at two crashes of CULPRIT and at one of THIRD: at three, as each of them."""
        crashes = ([CULPRIT, OTHER], [CULPRIT, OTHER], [THIRD, OTHER], [CULPRIT], [THIRD], [THIRD])
        before = after_crashes(*crashes[:4])
        self.assertTrue(before.requires_trial(OTHER), "THIRD has no other crash yet")
        suspects = after_crashes(*crashes)
        self.assertEqual({THIRD}, suspects.blocked_contents(START_S + 6))
        self.assertTrue(suspects.requires_trial(CULPRIT), "OTHER was present at two of its crashes")
        for content, worker in ((CULPRIT, 10), (THIRD, 11)):
            suspects.begin_trial(content, START_S + 7)
            suspects.merge(content, {worker: WorkerCrash(START_S + 7.1, RUN_DURATION_S)})
        self.assertEqual({CULPRIT, THIRD}, suspects.blocked_contents(START_S + 500))
        suspects.merge(OTHER, {9: WorkerCrash(START_S + 9, RUN_DURATION_S)})
        self.assertTrue(suspects.requires_trial(OTHER))

    def test_contents_present_at_the_same_crashes_are_all_blocked(self) -> None:
        """None has a crash that the others lack, so that none is cleared by the others."""
        suspects = after_crashes(*[[CULPRIT, OTHER, THIRD]] * 3)
        self.assertEqual({CULPRIT, OTHER, THIRD}, suspects.blocked_contents(START_S + 3))

    def test_success_clears_a_blocked_content(self) -> None:
        suspects = after_crashes([OTHER], [OTHER], [OTHER])
        self.assertEqual({OTHER}, suspects.blocked_contents(START_S + 2))
        self.assertTrue(suspects.note_served(OTHER, START_S + 2.1))
        self.assertEqual(set(), suspects.blocked_contents(START_S + 2.1))
        self.assertFalse(suspects.note_served(THIRD, START_S))

    def test_simultaneous_crashes_alone_do_not_block(self) -> None:
        """A popular content may run on all workers of a service when their rack fails."""
        suspects = after_crashes(*[[OTHER]] * 6, gap_s=0.005)
        self.assertEqual(set(), suspects.blocked_contents(START_S + 1))
        suspects.merge(OTHER, {9: WorkerCrash(START_S + 2)})
        self.assertEqual({OTHER}, suspects.blocked_contents(START_S + 2))

    def test_count_crashes(self) -> None:
        def crashes(*spans: tuple[float, float]) -> list[WorkerCrash]:
            return [WorkerCrash(at_s, at_s - started_at_s) for started_at_s, at_s in spans]

        cases = {
            "none": (0, crashes()),
            "consecutive retries on different workers": (3, crashes((0, 1), (1, 2), (2.1, 3))),
            "runs that all started before the first crash": (
                2,
                crashes((0, 3), (1, 3), (2.9, 3.5)),
            ),
            "the same runs in another order": (2, crashes((2.9, 3.5), (0, 3), (1, 3))),
            "two overlapping runs, then one": (3, crashes((0, 1), (0.5, 1.1), (2, 3))),
            "two overlapping runs, twice": (4, crashes((0, 1), (0.5, 1.1), (2, 3), (2, 3))),
        }
        for name, (expected, given_crashes) in cases.items():
            self.assertEqual(expected, count_crashes(given_crashes), name)

    def test_late_report_of_a_crash_before_the_success_changes_nothing(self) -> None:
        suspects = after_crashes([OTHER], [OTHER])
        suspects.note_served(OTHER, START_S + 5)
        late_crashes = {worker: WorkerCrash(START_S + worker) for worker in range(3)}
        self.assertFalse(suspects.merge(OTHER, late_crashes))
        self.assertEqual(set(), suspects.blocked_contents(START_S + 5))


class Trial(TestCase):
    """OTHER is innocent: it ran at two crashes that CULPRIT caused, and at one that THIRD caused.

    This third crash can't be attributed to THIRD yet, which has no other crash. OTHER must be
    blocked briefly and tried, instead of being blocked for the full duration.
    """

    CRASHES = ([CULPRIT, OTHER], [CULPRIT, OTHER], [THIRD, OTHER])
    EARLIEST_TRIAL_S = START_S + 2 + TRIAL_DELAY_S
    LATEST_TRIAL_S = EARLIEST_TRIAL_S + TRIAL_JITTER_S

    def setUp(self) -> None:
        super().setUp()
        self.suspects = after_crashes(*self.CRASHES)

    def assert_blocked_for(self, expected_s: float, suspects: CrashSuspects, now_s: float) -> None:
        """Assert the remaining block time of OTHER, up to the trial jitter."""
        blocked_s = suspects.blocked_for_s(OTHER, now_s)
        self.assertTrue(expected_s - 0.01 <= blocked_s <= expected_s + TRIAL_JITTER_S, blocked_s)

    def crash_trial(self, worker: int, *contents: int) -> None:
        """Start a trial of the first content, and crash its worker while it runs all of them."""
        self.suspects.begin_trial(contents[0], self.LATEST_TRIAL_S)
        for content in contents:
            self.suspects.merge(
                content, {worker: WorkerCrash(self.LATEST_TRIAL_S + RUN_DURATION_S, RUN_DURATION_S)}
            )

    def test_blocked_only_until_the_trial(self) -> None:
        self.assertEqual({OTHER}, self.suspects.blocked_contents(self.EARLIEST_TRIAL_S - 0.1))
        self.assertEqual(set(), self.suspects.blocked_contents(self.LATEST_TRIAL_S))
        self.assertTrue(self.suspects.requires_trial(OTHER))

    def test_each_trial_blocks_for_longer(self) -> None:
        now_s = self.LATEST_TRIAL_S
        for number in range(1, 4):
            self.suspects.begin_trial(OTHER, now_s)
            delay_s = TRIAL_DELAY_S * TRIAL_BACKOFF_FACTOR**number
            self.assert_blocked_for(delay_s, self.suspects, now_s)
            now_s += delay_s + TRIAL_JITTER_S
            self.assertEqual(0.0, self.suspects.blocked_for_s(OTHER, now_s))

    def test_success_of_the_trial_clears_the_content(self) -> None:
        self.suspects.begin_trial(OTHER, self.LATEST_TRIAL_S)
        self.assertTrue(self.suspects.note_served(OTHER, self.LATEST_TRIAL_S + 0.2))
        self.assertEqual(0.0, self.suspects.blocked_for_s(OTHER, self.LATEST_TRIAL_S + 0.2))
        self.assertFalse(self.suspects.requires_trial(OTHER))

    def test_crash_of_the_trial_blocks_the_content(self) -> None:
        self.crash_trial(9, OTHER)
        self.assertFalse(self.suspects.requires_trial(OTHER))
        blocked_s = self.suspects.blocked_for_s(OTHER, self.LATEST_TRIAL_S + RUN_DURATION_S)
        self.assertTrue(abs(blocked_s - block_duration_s(4)) < 0.01, blocked_s)

    def test_trial_crash_beside_a_new_strong_suspect_requires_another_trial(self) -> None:
        self.crash_trial(9, OTHER, THIRD)
        self.assertTrue(self.suspects.requires_trial(OTHER), "THIRD has two crashes now")
        self.assert_blocked_for(
            TRIAL_DELAY_S * TRIAL_BACKOFF_FACTOR,
            self.suspects,
            self.LATEST_TRIAL_S + RUN_DURATION_S,
        )

    def test_contents_present_at_the_same_crashes_are_tried_separately(self) -> None:
        self.suspects = after_crashes(*[[CULPRIT, OTHER]] * 3)
        self.crash_trial(9, CULPRIT)
        self.assertEqual({CULPRIT}, self.suspects.blocked_contents(self.LATEST_TRIAL_S + 10))
        self.assertTrue(self.suspects.requires_trial(OTHER))

    def test_daemons_start_trials_at_different_times(self) -> None:
        trial_at_s = set()
        for name in ("d1", "d2", "d3"):
            suspects = CrashSuspects(name)
            for worker, contents in enumerate(self.CRASHES):
                for content in contents:
                    suspects.merge(content, {worker: WorkerCrash(START_S + worker, RUN_DURATION_S)})
            trial_at_s.add(suspects.blocked_for_s(OTHER, START_S + 2))
        self.assertEqual(3, len(trial_at_s))
        self.assertTrue(max(trial_at_s) <= TRIAL_DELAY_S + TRIAL_JITTER_S, trial_at_s)
        self.assertTrue(min(trial_at_s) >= TRIAL_DELAY_S, trial_at_s)

    def test_report_of_a_trial_blocks_the_content_at_other_daemons(self) -> None:
        receiver = after_crashes(*self.CRASHES)
        self.suspects.begin_trial(OTHER, self.LATEST_TRIAL_S)
        report = build_report(self.suspects, [OTHER], self.LATEST_TRIAL_S)
        self.assertEqual([OTHER], merge_report(receiver, report, self.LATEST_TRIAL_S))
        self.assert_blocked_for(TRIAL_DELAY_S * TRIAL_BACKOFF_FACTOR, receiver, self.LATEST_TRIAL_S)
        self.assertEqual([], merge_report(receiver, report, self.LATEST_TRIAL_S + 0.3))

    def test_reports_that_are_passed_on_keep_the_time_of_a_trial(self) -> None:
        """Guards against a block that ends as the trial seems to begin after its own crash."""
        daemons = self.pass_reports_on(delay_s=0.005)
        for suspects in daemons:
            self.assertFalse(suspects.requires_trial(OTHER))
            blocked_s = suspects.blocked_for_s(OTHER, self.LATEST_TRIAL_S + 1)
            self.assertGreater(blocked_s, INITIAL_BLOCK_S)

    def test_reports_that_are_passed_on_quickly_make_no_time_earlier(self) -> None:
        """Guards against times that go back by a part of a millisecond with each report."""
        for suspects in self.pass_reports_on(delay_s=0.0001):
            suspect = suspects.by_content[OTHER]
            crash = suspect.crash_by_worker[9]
            self.assertGreaterEqual(suspect.trials.last_at_s, self.LATEST_TRIAL_S - 1e-6)
            self.assertGreaterEqual(crash.at_s, self.LATEST_TRIAL_S + RUN_DURATION_S - 1e-6)

    def pass_reports_on(self, delay_s: float) -> tuple[CrashSuspects, ...]:
        """Crash a trial of OTHER, and let three daemons report it to each other many times."""
        daemons = (self.suspects, CrashSuspects("d2"), CrashSuspects("d3"))
        self.crash_trial(9, OTHER)
        now_s = self.LATEST_TRIAL_S + RUN_DURATION_S
        for number in range(60):
            sender, receiver = daemons[number % 3], daemons[(number + 1) % 3]
            now_s += 0.0137
            report = build_report(sender, [CULPRIT, OTHER, THIRD], now_s)
            merge_report(receiver, report, now_s + delay_s)
        return daemons

    def test_report_of_a_trial_before_a_success_leaves_the_next_one(self) -> None:
        old = after_crashes(*self.CRASHES)
        old.begin_trial(OTHER, self.LATEST_TRIAL_S)
        now_s = self.LATEST_TRIAL_S + 5
        self.suspects.note_served(OTHER, now_s)
        for worker in range(20, 23):
            self.suspects.merge(OTHER, {worker: WorkerCrash(now_s + worker, RUN_DURATION_S)})
        now_s += 30
        self.suspects.begin_trial(OTHER, now_s)
        merge_report(self.suspects, build_report(old, [OTHER], now_s), now_s)
        self.assertEqual(now_s, self.suspects.by_content[OTHER].trials.last_at_s)

    def test_daemons_without_support_for_trials_are_compatible(self) -> None:
        class OldEntry(msgspec.Struct, frozen=True, array_like=True):
            content: int
            workers: tuple[int, ...]
            ages_ms: tuple[int, ...]
            ran_ms: tuple[int, ...]
            served_ms: int = -1

        self.suspects.begin_trial(OTHER, self.LATEST_TRIAL_S)
        (entry,) = build_report(self.suspects, [OTHER], self.LATEST_TRIAL_S).suspects
        old = msgspec.msgpack.decode(msgspec.msgpack.encode(entry), type=OldEntry)
        self.assertEqual((entry.workers, entry.ages_ms), (old.workers, old.ages_ms))
        returned = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=SuspectEntry)
        self.assertEqual(0, returned.trials)
        merge_report(self.suspects, CrashReport((returned,)), self.LATEST_TRIAL_S)
        self.assertEqual(1, self.suspects.by_content[OTHER].trials.count)


class Lifetime(TestCase):
    def test_block_runs_out_and_doubles_with_the_next_crash(self) -> None:
        suspects = after_crashes([CULPRIT], [CULPRIT], [CULPRIT])
        unblocked_at_s = START_S + 2 + INITIAL_BLOCK_S
        self.assertEqual(0.0, suspects.blocked_for_s(CULPRIT, unblocked_at_s))
        suspects.merge(CULPRIT, {9: WorkerCrash(unblocked_at_s)})
        self.assertEqual(2 * INITIAL_BLOCK_S, suspects.blocked_for_s(CULPRIT, unblocked_at_s))

    def test_block_duration_is_capped(self) -> None:
        suspects = after_crashes(*[[CULPRIT]] * (MAX_CRASHES_KEPT + 5))
        last_crash_s = START_S + MAX_CRASHES_KEPT + 4
        self.assertEqual(
            block_duration_s(MAX_CRASHES_KEPT), suspects.blocked_for_s(CULPRIT, last_crash_s)
        )
        self.assertEqual(MAX_CRASHES_KEPT, len(suspects.by_content[CULPRIT].crash_by_worker))

    def test_suspects_expire_without_new_evidence(self) -> None:
        suspects = after_crashes([OTHER, CULPRIT], [CULPRIT], [CULPRIT])
        suspects.expire(START_S + SUSPECT_RETENTION_S + 1)
        self.assertEqual([CULPRIT], list(suspects.by_content))
        suspects.expire(START_S + 2 + INITIAL_BLOCK_S + SUSPECT_RETENTION_S)
        self.assertFalse(suspects)
        self.assertFalse(suspects.any_blocked)

    def test_number_of_suspects_is_bounded_and_the_strongest_are_kept(self) -> None:
        suspects = CrashSuspects(max_suspects=100)
        for worker in range(CRASHES_TO_BLOCK):
            suspects.merge(CULPRIT, {worker: WorkerCrash(START_S + worker)})
        for content in range(1000, 5000):
            suspects.merge(content, {99: WorkerCrash(START_S + content)})
            self.assertTrue(len(suspects.by_content) <= 100)
        self.assertEqual({CULPRIT}, suspects.blocked_contents(START_S + 3))


class Agreement(TestCase):
    def test_verdicts_do_not_depend_on_the_order_of_evidence(self) -> None:
        rng = random.Random(5)
        contents = [CULPRIT, OTHER, THIRD, 10, 11, 12]
        evidence = [
            (content, {worker: WorkerCrash(START_S + worker)})
            for worker in range(9)
            for content in rng.sample(contents, 3)
        ]
        verdicts = set()
        for _ in range(50):
            rng.shuffle(evidence)
            suspects = CrashSuspects()
            for content, crash_by_worker in evidence:
                suspects.merge(content, crash_by_worker)
            blocked = suspects.blocked_contents(START_S + 9)
            verdicts.add(tuple(sorted((c, suspects.blocked_for_s(c, START_S)) for c in blocked)))
        self.assertEqual(1, len(verdicts))

    def test_report_is_independent_of_the_clock(self) -> None:
        sender = after_crashes([CULPRIT], [CULPRIT], [CULPRIT])
        sender.merge(OTHER, {5: WorkerCrash(START_S)})
        sender.note_served(OTHER, START_S + 2)
        receiver = CrashSuspects()
        bodies = GossipBodies()
        report = build_report(sender, [CULPRIT, OTHER, 99], START_S + 10)
        decoded = bodies.decode(*bodies.encode(report))
        assert isinstance(decoded, CrashReport)
        self.assertEqual([CULPRIT, OTHER], merge_report(receiver, decoded, 500.0))
        self.assertEqual(INITIAL_BLOCK_S - 8, receiver.blocked_for_s(CULPRIT, 500.0))
        self.assertEqual(492.0, receiver.by_content[OTHER].served_at_s)
        self.assertEqual([], merge_report(receiver, decoded, 500.2))

    def test_reports_fit_into_a_datagram(self) -> None:
        suspects = CrashSuspects()
        for content, worker in itertools.product(
            range(2**63, 2**63 + 100), range(MAX_CRASHES_KEPT)
        ):
            suspects.merge(content, {2**32 - 1 - worker: WorkerCrash(START_S - 500, 70.0)})
        reports = build_reports(suspects, suspects.strongest_first(), START_S + 600)
        self.assertEqual(100, sum(len(report.suspects) for report in reports))
        sizes = [len(GossipBodies().encode(report)[1]) for report in reports]
        self.assertTrue(max(sizes) <= 1200, max(sizes))
