"""Which contents are blocked: the pure state machine, and that daemons agree on it."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

import msgspec
from testtools import TestCase

from mountstand.quarantine.reports import report_of, reports_of, take_report
from mountstand.quarantine.suspect import (
    CRASHES_TO_BLOCK,
    EVIDENCE_S,
    INITIAL_BLOCK_S,
    MOST_ENDS,
    TRIAL_AFTER_S,
    TRIAL_FACTOR,
    TRIAL_SPREAD_S,
    WorkerCrash,
    block_s,
    counted_ends,
)
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.wire.gossip import CrashReport, GossipBodies, SuspectEntry

START_S = 1e7
CULPRIT, OTHER, THIRD = 1, 2, 3
RAN_S = 0.04


def after_ends(*ends: Iterable[int], gap_s: float = 1.0) -> CrashSuspects:
    """Return suspects after worker 0, 1 and so on ended under the contents given for each."""
    suspects = CrashSuspects()
    for worker, contents in enumerate(ends):
        for content in contents:
            suspects.merge(content, {worker: WorkerCrash(START_S + worker * gap_s, RAN_S)})
    return suspects


class Blocking(TestCase):
    def test_blocked_once_three_workers_ended_under_it(self) -> None:
        two = after_ends([CULPRIT], [CULPRIT])
        self.assertEqual(0.0, two.blocked_for_s(CULPRIT, START_S + 2))
        three = after_ends([CULPRIT], [CULPRIT], [CULPRIT])
        self.assertEqual(INITIAL_BLOCK_S, three.blocked_for_s(CULPRIT, START_S + 2))

    def test_an_end_that_is_told_again_counts_once(self) -> None:
        suspects = CrashSuspects()
        for _ in range(5):
            suspects.merge(CULPRIT, {7: WorkerCrash(START_S)})
        self.assertEqual(0.0, suspects.blocked_for_s(CULPRIT, START_S))

    def test_requests_that_ran_beside_it_are_not_blocked(self) -> None:
        """Others were there at each end, none of them at all three."""
        suspects = after_ends([CULPRIT, 10, 11], [CULPRIT, 11, 12], [CULPRIT, 12, 10])
        blocked = suspects.blocked_contents(START_S + 3)
        self.assertEqual({CULPRIT}, blocked)

    def test_ends_that_a_worse_content_explains_do_not_count(self) -> None:
        """One was beside the culprit three times, and the culprit at a fourth end as well."""
        suspects = after_ends([CULPRIT, OTHER], [CULPRIT, OTHER], [CULPRIT], [CULPRIT, OTHER])
        self.assertEqual({CULPRIT}, suspects.blocked_contents(START_S + 4))

    def test_two_that_crash_workers_are_both_blocked(self) -> None:
        """An end that both were at counts for the worse one; the other is blocked at its next."""
        ends = ([CULPRIT], [OTHER], [CULPRIT], [OTHER], [CULPRIT, OTHER], [OTHER])
        self.assertEqual({OTHER}, after_ends(*ends).blocked_contents(START_S + 6))
        suspects = after_ends(*ends, [CULPRIT])
        self.assertEqual({CULPRIT, OTHER}, suspects.blocked_contents(START_S + 7))

    def test_one_beside_two_that_crash_workers_is_not_blocked(self) -> None:
        """It was at two ends of the first and at one of the second: at three, as each of them."""
        ends = ([CULPRIT, OTHER], [CULPRIT, OTHER], [THIRD, OTHER], [CULPRIT], [THIRD], [THIRD])
        before = after_ends(*ends[:4])
        self.assertTrue(before.is_on_trial(OTHER), "nothing explains its third end yet")
        suspects = after_ends(*ends)
        self.assertEqual({THIRD}, suspects.blocked_contents(START_S + 6))
        self.assertTrue(suspects.is_on_trial(CULPRIT), "since the other was at two of its ends")
        for content, worker in ((CULPRIT, 10), (THIRD, 11)):
            suspects.begin_trial(content, START_S + 7)
            suspects.merge(content, {worker: WorkerCrash(START_S + 7.1, RAN_S)})
        self.assertEqual({CULPRIT, THIRD}, suspects.blocked_contents(START_S + 500))
        suspects.merge(OTHER, {9: WorkerCrash(START_S + 9, RAN_S)})
        self.assertTrue(suspects.is_on_trial(OTHER))

    def test_contents_that_were_always_together_are_all_blocked(self) -> None:
        """None has an end of its own, so none is shown to be innocent."""
        suspects = after_ends(*[[CULPRIT, OTHER, THIRD]] * 3)
        self.assertEqual({CULPRIT, OTHER, THIRD}, suspects.blocked_contents(START_S + 3))

    def test_what_was_served_since_is_not_suspected(self) -> None:
        suspects = after_ends([OTHER], [OTHER], [OTHER])
        self.assertEqual({OTHER}, suspects.blocked_contents(START_S + 2))
        self.assertTrue(suspects.note_served(OTHER, START_S + 2.1))
        self.assertEqual(set(), suspects.blocked_contents(START_S + 2.1))
        self.assertFalse(suspects.note_served(THIRD, START_S))

    def test_workers_that_end_together_have_a_cause_in_common(self) -> None:
        """A content that is asked for often ran at all workers of a service, whose rack failed."""
        suspects = after_ends(*[[OTHER]] * 6, gap_s=0.005)
        self.assertEqual(set(), suspects.blocked_contents(START_S + 1))
        suspects.merge(OTHER, {9: WorkerCrash(START_S + 2)})
        self.assertEqual({OTHER}, suspects.blocked_contents(START_S + 2))

    def test_ends_that_count(self) -> None:
        def ends(*spans: tuple[float, float]) -> list[WorkerCrash]:
            return [WorkerCrash(at_s, at_s - began_s) for began_s, at_s in spans]

        cases = {
            "none": (0, ends()),
            "one try that goes from worker to worker": (3, ends((0, 1), (1, 2), (2.1, 3))),
            "runs that all began before the first end": (2, ends((0, 3), (1, 3), (2.9, 3.5))),
            "the same, in another order": (2, ends((2.9, 3.5), (0, 3), (1, 3))),
            "two at once, then one": (3, ends((0, 1), (0.5, 1.1), (2, 3))),
            "two at once, twice": (4, ends((0, 1), (0.5, 1.1), (2, 3), (2, 3))),
        }
        for name, (expected, given) in cases.items():
            self.assertEqual(expected, counted_ends(given), name)

    def test_a_late_word_of_an_end_before_service_changes_nothing(self) -> None:
        suspects = after_ends([OTHER], [OTHER])
        suspects.note_served(OTHER, START_S + 5)
        late = {worker: WorkerCrash(START_S + worker) for worker in range(3)}
        self.assertFalse(suspects.merge(OTHER, late))
        self.assertEqual(set(), suspects.blocked_contents(START_S + 5))


class Trial(TestCase):
    """One content was beside two others: at two ends of the first, and at one of the second.

    The second had ended one worker when the innocent one had three ends, so that nothing explained
    the third: it was held back for ten minutes, and its job's caller never got its result.
    """

    ENDS = ([CULPRIT, OTHER], [CULPRIT, OTHER], [THIRD, OTHER])
    EARLIEST_S = START_S + 2 + TRIAL_AFTER_S
    HELD_S = EARLIEST_S + TRIAL_SPREAD_S

    def setUp(self) -> None:
        super().setUp()
        self.suspects = after_ends(*self.ENDS)

    def assert_held(self, held_s: float, suspects: CrashSuspects, now_s: float) -> None:
        """Assert for how long the innocent one is held back, but for the daemons' spread."""
        blocked_s = suspects.blocked_for_s(OTHER, now_s)
        self.assertTrue(held_s - 0.01 <= blocked_s <= held_s + TRIAL_SPREAD_S, blocked_s)

    def end_trial(self, worker: int, *contents: int) -> None:
        """Let the first of some contents be tried, and a worker end under all of them."""
        self.suspects.begin_trial(contents[0], self.HELD_S)
        for content in contents:
            self.suspects.merge(content, {worker: WorkerCrash(self.HELD_S + RAN_S, RAN_S)})

    def test_held_back_for_a_moment_only(self) -> None:
        self.assertEqual({OTHER}, self.suspects.blocked_contents(self.EARLIEST_S - 0.1))
        self.assertEqual(set(), self.suspects.blocked_contents(self.HELD_S))
        self.assertTrue(self.suspects.is_on_trial(OTHER))

    def test_held_back_while_it_is_tried_and_longer_with_each_trial(self) -> None:
        now_s = self.HELD_S
        for number in range(1, 4):
            self.suspects.begin_trial(OTHER, now_s)
            held_s = TRIAL_AFTER_S * TRIAL_FACTOR**number
            self.assert_held(held_s, self.suspects, now_s)
            now_s += held_s + TRIAL_SPREAD_S
            self.assertEqual(0.0, self.suspects.blocked_for_s(OTHER, now_s))

    def test_served_in_its_trial_it_is_cleared(self) -> None:
        self.suspects.begin_trial(OTHER, self.HELD_S)
        self.assertTrue(self.suspects.note_served(OTHER, self.HELD_S + 0.2))
        self.assertEqual(0.0, self.suspects.blocked_for_s(OTHER, self.HELD_S + 0.2))
        self.assertFalse(self.suspects.is_on_trial(OTHER))

    def test_one_that_ends_the_worker_of_its_trial_is_blocked(self) -> None:
        self.end_trial(9, OTHER)
        self.assertFalse(self.suspects.is_on_trial(OTHER))
        blocked_s = self.suspects.blocked_for_s(OTHER, self.HELD_S + RAN_S)
        self.assertTrue(abs(blocked_s - block_s(4)) < 0.01, blocked_s)

    def test_an_end_beside_one_that_proves_strong_calls_for_another_trial(self) -> None:
        self.end_trial(9, OTHER, THIRD)
        self.assertTrue(self.suspects.is_on_trial(OTHER), "the third has two ends now")
        self.assert_held(TRIAL_AFTER_S * TRIAL_FACTOR, self.suspects, self.HELD_S + RAN_S)

    def test_of_two_that_were_always_together_each_is_tried(self) -> None:
        self.suspects = after_ends(*[[CULPRIT, OTHER]] * 3)
        self.end_trial(9, CULPRIT)
        self.assertEqual({CULPRIT}, self.suspects.blocked_contents(self.HELD_S + 10))
        self.assertTrue(self.suspects.is_on_trial(OTHER))

    def test_daemons_try_at_different_moments(self) -> None:
        trial_at_s = set()
        for name in ("d1", "d2", "d3"):
            suspects = CrashSuspects(name)
            for worker, contents in enumerate(self.ENDS):
                for content in contents:
                    suspects.merge(content, {worker: WorkerCrash(START_S + worker, RAN_S)})
            trial_at_s.add(suspects.blocked_for_s(OTHER, START_S + 2))
        self.assertEqual(3, len(trial_at_s))
        self.assertTrue(max(trial_at_s) <= TRIAL_AFTER_S + TRIAL_SPREAD_S, trial_at_s)
        self.assertTrue(min(trial_at_s) >= TRIAL_AFTER_S, trial_at_s)

    def test_word_of_a_trial_holds_it_back_at_others(self) -> None:
        heard = after_ends(*self.ENDS)
        self.suspects.begin_trial(OTHER, self.HELD_S)
        report = report_of(self.suspects, [OTHER], self.HELD_S)
        self.assertEqual([OTHER], take_report(heard, report, self.HELD_S))
        self.assert_held(TRIAL_AFTER_S * TRIAL_FACTOR, heard, self.HELD_S)
        self.assertEqual([], take_report(heard, report, self.HELD_S + 0.3))

    def test_daemons_that_know_no_trials_hear_and_are_heard(self) -> None:
        class FormerEntry(msgspec.Struct, frozen=True, array_like=True):
            content: int
            workers: tuple[int, ...]
            ages_ms: tuple[int, ...]
            ran_ms: tuple[int, ...]
            served_ms: int = -1

        self.suspects.begin_trial(OTHER, self.HELD_S)
        (entry,) = report_of(self.suspects, [OTHER], self.HELD_S).suspects
        former = msgspec.msgpack.decode(msgspec.msgpack.encode(entry), type=FormerEntry)
        self.assertEqual((entry.workers, entry.ages_ms), (former.workers, former.ages_ms))
        back = msgspec.msgpack.decode(msgspec.msgpack.encode(former), type=SuspectEntry)
        self.assertEqual(0, back.trials)
        take_report(self.suspects, CrashReport((back,)), self.HELD_S)
        self.assertEqual(1, self.suspects.by_content[OTHER].trials.count)


class Lifetime(TestCase):
    def test_a_block_ends_and_doubles_with_the_next_crash(self) -> None:
        suspects = after_ends([CULPRIT], [CULPRIT], [CULPRIT])
        trial_s = START_S + 2 + INITIAL_BLOCK_S
        self.assertEqual(0.0, suspects.blocked_for_s(CULPRIT, trial_s))
        suspects.merge(CULPRIT, {9: WorkerCrash(trial_s)})
        self.assertEqual(2 * INITIAL_BLOCK_S, suspects.blocked_for_s(CULPRIT, trial_s))

    def test_blocks_stop_growing(self) -> None:
        suspects = after_ends(*[[CULPRIT]] * (MOST_ENDS + 5))
        last_s = START_S + MOST_ENDS + 4
        self.assertEqual(block_s(MOST_ENDS), suspects.blocked_for_s(CULPRIT, last_s))
        self.assertEqual(MOST_ENDS, len(suspects.by_content[CULPRIT].crash_by_worker))

    def test_forgotten_when_nothing_is_heard_for_long(self) -> None:
        suspects = after_ends([OTHER, CULPRIT], [CULPRIT], [CULPRIT])
        suspects.expire(START_S + EVIDENCE_S + 1)
        self.assertEqual([CULPRIT], list(suspects.by_content))
        suspects.expire(START_S + 2 + INITIAL_BLOCK_S + EVIDENCE_S)
        self.assertFalse(suspects)
        self.assertFalse(suspects.any_blocked)

    def test_memory_is_bounded_and_the_strongest_stay(self) -> None:
        suspects = CrashSuspects(most=100)
        for worker in range(CRASHES_TO_BLOCK):
            suspects.merge(CULPRIT, {worker: WorkerCrash(START_S + worker)})
        for content in range(1000, 5000):
            suspects.merge(content, {99: WorkerCrash(START_S + content)})
            self.assertTrue(len(suspects.by_content) <= 100)
        self.assertEqual({CULPRIT}, suspects.blocked_contents(START_S + 3))


class Agreement(TestCase):
    def test_daemons_agree_in_whatever_order_they_hear(self) -> None:
        rng = random.Random(5)
        contents = [CULPRIT, OTHER, THIRD, 10, 11, 12]
        statements = [
            (content, {worker: WorkerCrash(START_S + worker)})
            for worker in range(9)
            for content in rng.sample(contents, 3)
        ]
        verdicts = set()
        for _ in range(50):
            rng.shuffle(statements)
            suspects = CrashSuspects()
            for content, crash_by_worker in statements:
                suspects.merge(content, crash_by_worker)
            blocked = suspects.blocked_contents(START_S + 9)
            verdicts.add(tuple(sorted((c, suspects.blocked_for_s(c, START_S)) for c in blocked)))
        self.assertEqual(1, len(verdicts))

    def test_a_report_says_the_same_on_another_clock(self) -> None:
        told = after_ends([CULPRIT], [CULPRIT], [CULPRIT])
        told.merge(OTHER, {5: WorkerCrash(START_S)})
        told.note_served(OTHER, START_S + 2)
        heard = CrashSuspects()
        bodies = GossipBodies()
        report = report_of(told, [CULPRIT, OTHER, 99], START_S + 10)
        decoded = bodies.decode(*bodies.encode(report))
        assert isinstance(decoded, CrashReport)
        self.assertEqual([CULPRIT, OTHER], take_report(heard, decoded, 500.0))
        self.assertEqual(INITIAL_BLOCK_S - 8, heard.blocked_for_s(CULPRIT, 500.0))
        self.assertEqual(492.0, heard.by_content[OTHER].served_at_s)
        self.assertEqual([], take_report(heard, decoded, 500.2))

    def test_reports_fit_a_datagram(self) -> None:
        suspects = CrashSuspects()
        for content, worker in itertools.product(range(2**63, 2**63 + 100), range(MOST_ENDS)):
            suspects.merge(content, {2**32 - 1 - worker: WorkerCrash(START_S - 500, 70.0)})
        reports = reports_of(suspects, suspects.strongest(), START_S + 600)
        self.assertEqual(100, sum(len(report.suspects) for report in reports))
        sizes = [len(GossipBodies().encode(report)[1]) for report in reports]
        self.assertTrue(max(sizes) <= 1200, max(sizes))
