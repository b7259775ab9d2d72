"""Room for rises that come again, and the pace that due times ask of batch items."""

from __future__ import annotations

from testtools import TestCase

from mountstand.serving.pace import MOST_CREDIT, PACE_SHARE, Pace
from mountstand.serving.rises import HALF_LIFE_S, HORIZON_S, RiseMemory

TICK_S = 0.1


class Rises(TestCase):
    def play(self, *levels: tuple[int, float]) -> tuple[RiseMemory, float]:
        """Note levels, each for some seconds; returns the memory and the time."""
        memory = RiseMemory()
        now_s = 1000.0
        for level, seconds in levels:
            for _ in range(round(seconds / TICK_S)):
                now_s += TICK_S
                memory.note(level, now_s)
        return memory, now_s

    def test_table(self) -> None:
        cases = (
            ("steady load", ((50, 10.0),), 0),
            ("a rise", ((50, 5.0), (250, 1.0)), 200),
            ("a fall is none", ((250, 5.0), (50, 1.0)), 0),
            ("the higher of two", ((50, 3.0), (250, 2.0), (50, 3.0), (100, 0.2)), 200),
            ("slower than batch items leave", ((0, 5.0), (50, 2.0), (100, 2.0), (150, 2.0)), 50),
        )
        for name, levels, expected in cases:
            with self.subTest(name):
                memory, now_s = self.play(*levels)
                self.assertAlmostEqual(expected, memory.expected(now_s), delta=expected * 0.2)

    def test_a_rise_that_does_not_come_again_is_forgotten(self) -> None:
        memory, now_s = self.play((50, 5.0), (250, 2.0), (50, HALF_LIFE_S))
        self.assertAlmostEqual(100, memory.expected(now_s), delta=15)
        memory, now_s = self.play((50, 5.0), (250, 2.0), (50, 8 * HALF_LIFE_S))
        self.assertLess(memory.expected(now_s), 2)

    def test_a_memory_without_notes_expects_nothing(self) -> None:
        self.assertEqual(0.0, RiseMemory().expected(5.0))

    def test_only_so_many_levels_are_kept(self) -> None:
        memory, _ = self.play(*[(level, TICK_S) for level in range(500)])
        self.assertLessEqual(len(memory._recent), HORIZON_S / TICK_S + 2)


class Paces(TestCase):
    def begun(self, items: int, left_s: float, seconds: float) -> int:
        """Return how many of some items begin within a time, none of them ending."""
        pace = Pace()
        now_s = 100.0
        begun = 0
        pace.due([], now_s)
        for _ in range(round(seconds / TICK_S)):
            now_s += TICK_S
            due = pace.due([left_s] * (items - begun), now_s)
            due = min(due, items - begun)
            pace.note_begun(due)
            begun += due
        return begun

    def test_most_items_begin_within_their_share_of_the_time(self) -> None:
        left_s = 10.0
        begun = self.begun(100, left_s, left_s * PACE_SHARE)
        self.assertTrue(50 <= begun <= 75, begun)
        self.assertGreaterEqual(self.begun(100, left_s, 4 * left_s * PACE_SHARE), 95)

    def test_what_must_begin_now_is_due_at_once(self) -> None:
        pace = Pace()
        pace.due([], 100.0)
        self.assertEqual(3, pace.due([0.0, -1.0, 0.05, 1000.0], 100.1))

    def test_after_a_time_without_slots_not_all_begin_together(self) -> None:
        pace = Pace()
        pace.due([], 100.0)
        for tenth in range(40):
            pace.due([100.0] * 500, 100.1 + tenth / 10)
        expected = 500 * TICK_S / (100.0 * PACE_SHARE)
        self.assertLessEqual(pace.due([100.0] * 500, 104.1), expected + MOST_CREDIT)
