"""Failed attempts of batch items, counted on by each daemon that holds their range."""

from __future__ import annotations

from unittest import mock

from testtools import TestCase

from mountstand.batch.range_failures import RangeFailures
from mountstand.errors import StoreUnavailable, WriteOutcomeUnknown
from mountstand.store.memory_table import MemoryTable
from mountstand.store.ports import Outcome, Transaction
from mountstand.wire.messages import RangeKey

KEY = RangeKey("tenant/job", 1, 0)


class Failures(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = MemoryTable()
        self.first = RangeFailures(self.table, KEY)
        self.commit = self.table.commit

    def lose_answer(self, transaction: Transaction) -> Outcome:
        """Commit and lose the answer."""
        self.commit(transaction)
        raise WriteOutcomeUnknown("lost")

    def next_holder(self) -> RangeFailures:
        """Return the counts as the daemon that takes the range over reads them."""
        failures = RangeFailures(self.table, KEY)
        failures.read()
        return failures

    def test_next_holder_counts_on(self) -> None:
        """Guards against an item that is tried anew by each holder of its range."""
        self.first.read()
        self.first.add(3)
        self.first.add(3)
        self.first.add(7)
        self.first.save()
        second = self.next_holder()
        self.assertEqual([2, 1, 0], [second.count(item) for item in (3, 7, 8)])
        self.assertEqual(3, second.add(3))
        second.save()
        self.assertEqual(3, self.next_holder().count(3))

    def test_a_former_holder_lowers_no_count(self) -> None:
        """Guards against a holder that was cut off and writes what it knew."""
        second = self.next_holder()
        for _ in range(3):
            second.add(3)
        second.add(4)
        second.save()
        self.first.add(3)
        self.first.add(5)
        self.first.save()
        third = self.next_holder()
        self.assertEqual([3, 1, 1], [third.count(item) for item in (3, 4, 5)])

    def test_counts_are_saved_once_the_table_answers(self) -> None:
        """Guards against a count that an outage of the table makes forgotten."""
        self.first.add(3)
        with mock.patch.object(self.table, "commit", side_effect=StoreUnavailable("away")):
            self.first.save()
            self.assertFalse(self.first.is_saved(3))
            self.assertTrue(self.first.is_saved(4))
        self.first.save()
        self.assertTrue(self.first.is_saved(3))
        self.assertEqual(1, self.next_holder().count(3))

    def test_an_unexpected_error_is_logged_and_the_count_kept(self) -> None:
        """Guards against an error that ends a thread of the executor without a line."""
        self.first.add(3)
        refuse = mock.patch.object(self.table, "commit", side_effect=RuntimeError("unexpected"))
        with refuse, self.assertLogs("mountstand.batch.range_failures", "INFO"):
            self.first.save()
        self.assertFalse(self.first.is_saved(3))
        self.first.save()
        self.assertEqual(1, self.next_holder().count(3))

    def test_a_lost_answer_counts_no_failure_twice(self) -> None:
        """Guards against a write that took effect and is taken for another daemon's."""
        self.first.add(3)
        with mock.patch.object(self.table, "commit", self.lose_answer):
            self.first.save()
        self.assertFalse(self.first.is_saved(3))
        self.first.save()
        self.assertTrue(self.first.is_saved(3))
        self.assertEqual(1, self.next_holder().count(3))
