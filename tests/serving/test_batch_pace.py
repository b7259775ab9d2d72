"""Batch items are spread over a share of the time that they have."""

from __future__ import annotations

from testtools import TestCase

from mountstand.serving.batch_pace import paced_until, slots_for

RUN_S = 3.0
ITEMS = 50


class Pace(TestCase):
    def slots(self, count: int, left_s: float, run_s: float | None = RUN_S) -> int:
        return slots_for([left_s] * count, run_s, 0.0, 0.0)

    def test_half_of_the_time_that_is_left_is_planned(self) -> None:
        self.assertEqual(15.0, paced_until(10.0, 20.0))
        self.assertEqual(10.0, paced_until(10.0, 5.0), "already due: no time to spread over")

    def test_as_many_run_as_end_all_of_them_by_then(self) -> None:
        self.assertEqual(15, self.slots(ITEMS, left_s=10.0))

    def test_all_run_once_no_time_is_left(self) -> None:
        self.assertEqual(ITEMS, self.slots(ITEMS, left_s=RUN_S))
        self.assertEqual(ITEMS, self.slots(ITEMS, left_s=-1.0))

    def test_one_runs_however_much_time_there_is(self) -> None:
        self.assertEqual(1, self.slots(1, left_s=1000.0))
        self.assertEqual(0, self.slots(0, left_s=1000.0))

    def test_a_few_run_while_nothing_is_known_of_how_long_they_take(self) -> None:
        self.assertEqual(6, self.slots(ITEMS, left_s=10.0, run_s=None))

    def test_items_that_run_on_tell_that_the_guess_was_too_small(self) -> None:
        begun = slots_for([10.0] * ITEMS, None, 0.0, 0.0)
        after = slots_for([10.0] * ITEMS, None, 4.0, 4.0)
        self.assertGreater(after, 4 * begun)

    def test_a_heap_at_an_even_pace_ends_in_time_with_about_the_same_slots_throughout(self) -> None:
        """One item more or less starts as others end; nothing is left for a rush at the end."""
        tick_s, left, used = 0.1, ITEMS, []
        running: list[float] = []
        now_s = 0.0
        while left:
            running = [end_s for end_s in running if end_s > now_s]
            waiting = left - len(running)
            wanted = slots_for([10.0] * left, RUN_S, 0.0, now_s)
            running += [now_s + RUN_S] * min(waiting, max(0, wanted - len(running)))
            used.append(len(running))
            now_s += tick_s
            left -= sum(end_s <= now_s for end_s in running)
        self.assertLess(now_s, 10.0 + RUN_S)
        self.assertLessEqual(max(used), 22)
