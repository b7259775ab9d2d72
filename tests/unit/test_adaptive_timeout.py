"""Time-outs follow usual times, within bounds."""

from __future__ import annotations

from testtools import TestCase

from mountstand.transport.adaptive_timeout import AdaptiveTimeout


class Timeout(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timeout = AdaptiveTimeout(0.1, 2.0, 10.0)

    def test_a_longer_time_counts_at_once_and_shorter_ones_slowly(self) -> None:
        self.timeout.note(0.05)
        self.assertAlmostEqual(0.5, self.timeout.value_s)
        self.timeout.note(0.001)
        self.assertTrue(0.35 < self.timeout.value_s < 0.5)

    def test_bounds(self) -> None:
        self.timeout.note(0.001)
        self.assertEqual(0.1, self.timeout.value_s)
        self.timeout.note(5.0)
        self.assertEqual(2.0, self.timeout.value_s)

    def test_losses_raise_it_to_its_bound(self) -> None:
        before_s = self.timeout.value_s
        self.timeout.note_loss()
        self.assertAlmostEqual(1.5 * before_s, self.timeout.value_s)
        for _ in range(50):
            self.timeout.note_loss()
        self.assertEqual(2.0, self.timeout.value_s)
