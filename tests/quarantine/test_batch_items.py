"""Batch items under which workers crashed: owed, unless each crash is theirs alone."""

from __future__ import annotations

from testtools import TestCase

from mountstand.quarantine.batch_verdicts import CRASHES_TO_BLOCK_BATCH, MAX_TRIAL_DELAY_S
from mountstand.quarantine.suspect import (
    INITIAL_BLOCK_S,
    TRIAL_DELAY_S,
    TRIAL_JITTER_S,
    WorkerCrash,
)
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.quarantine.workload import Workload

ITEM = 7
START_S = 1000.0
GAP_S = 10.0
RUN_S = 0.5


def crash_time_s(number: int) -> float:
    """Return when the item's crash ``number`` happens, counted from 0."""
    return START_S + number * GAP_S


def note_crash(suspects: CrashSuspects, number: int) -> float:
    """Record the item's crash ``number`` at a worker of its own; return its time."""
    at_s = crash_time_s(number)
    suspects.merge(ITEM, {100 + number: WorkerCrash(at_s, RUN_S)})
    return at_s


def note_crashes(suspects: CrashSuspects, count: int, *, with_others: bool = False) -> float:
    """Record crashes of the item, each with another worker if asked; return the last time."""
    for number in range(count):
        at_s = note_crash(suspects, number)
        if with_others:
            suspects.merge(1000 + number, {200 + number: WorkerCrash(at_s + 0.05, RUN_S)})
        suspects.begin_trial(ITEM, at_s + 1.0)
    return crash_time_s(count - 1)


class BatchItems(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspects = CrashSuspects("d")

    def blocked_for_s(self, at_s: float) -> float:
        return self.suspects.blocked_for_s(ITEM, at_s, Workload.BATCH)

    def test_three_crashes_block_a_request_and_delay_an_item(self) -> None:
        for number in range(3):
            last_s = note_crash(self.suspects, number)
        self.assertEqual(INITIAL_BLOCK_S, self.suspects.blocked_for_s(ITEM, last_s))
        self.assertTrue(self.blocked_for_s(last_s) >= TRIAL_DELAY_S)
        self.assertTrue(self.blocked_for_s(last_s) <= TRIAL_DELAY_S + TRIAL_JITTER_S)
        self.assertTrue(self.suspects.requires_trial(ITEM, Workload.BATCH))
        self.assertFalse(self.suspects.requires_trial(ITEM))

    def test_crashes_beside_others_never_block_an_item(self) -> None:
        last_s = note_crashes(self.suspects, 20, with_others=True)
        trial_s = last_s + 1.0
        self.assertFalse(self.suspects.is_batch_cause(ITEM))
        self.assertTrue(self.blocked_for_s(trial_s) <= MAX_TRIAL_DELAY_S + TRIAL_JITTER_S)

    def test_item_that_alone_crashes_worker_after_worker_is_blocked(self) -> None:
        last_s = note_crashes(self.suspects, CRASHES_TO_BLOCK_BATCH - 1)
        self.assertFalse(self.suspects.is_batch_cause(ITEM))
        last_s = note_crash(self.suspects, CRASHES_TO_BLOCK_BATCH - 1)
        self.assertTrue(self.suspects.is_batch_cause(ITEM))
        self.assertEqual(INITIAL_BLOCK_S, self.blocked_for_s(last_s))

    def test_crash_of_another_suspect_at_the_same_moment_does_not_excuse_an_item(self) -> None:
        for number in range(3):
            self.suspects.merge(8, {300 + number: WorkerCrash(START_S - 60 + number, RUN_S)})
        note_crashes(self.suspects, CRASHES_TO_BLOCK_BATCH - 1)
        at_s = note_crash(self.suspects, CRASHES_TO_BLOCK_BATCH - 1)
        self.suspects.merge(8, {303: WorkerCrash(at_s, RUN_S)})
        self.assertTrue(self.suspects.is_batch_cause(ITEM))

    def test_crashes_before_a_restart_get_an_item_another_trial(self) -> None:
        """What else crashed then is not known; rows of earlier versions don't tell it either."""
        last_s = note_crashes(self.suspects, CRASHES_TO_BLOCK_BATCH)
        self.suspects.note_resumed(last_s + 1.0)
        self.assertFalse(self.suspects.is_batch_cause(ITEM))
        note_crash(self.suspects, CRASHES_TO_BLOCK_BATCH)
        self.assertTrue(self.suspects.is_batch_cause(ITEM))

    def test_crash_of_a_worker_counts_although_its_other_requests_were_served(self) -> None:
        note_crashes(self.suspects, CRASHES_TO_BLOCK_BATCH - 1)
        at_s = note_crash(self.suspects, CRASHES_TO_BLOCK_BATCH - 1)
        self.suspects.merge(9, {400: WorkerCrash(at_s, RUN_S)})
        self.suspects.note_served(9, at_s + 2.0)
        self.suspects.expire(at_s + 3.0)
        self.assertFalse(self.suspects.is_batch_cause(ITEM))

    def test_served_item_is_free(self) -> None:
        last_s = note_crashes(self.suspects, CRASHES_TO_BLOCK_BATCH)
        self.suspects.note_served(ITEM, last_s + 5.0)
        self.assertEqual(0.0, self.blocked_for_s(last_s + 5.0))
        self.assertFalse(self.suspects.requires_trial(ITEM, Workload.BATCH))
