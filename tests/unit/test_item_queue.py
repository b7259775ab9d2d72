"""The order in which waiting batch items start."""

from __future__ import annotations

from testtools import TestCase

from mountstand.batch.held_range import BatchItem, HeldRange
from mountstand.batch.item_queue import RETRY_PAUSE_S, ItemQueue
from mountstand.batch.range_failures import RangeFailures
from mountstand.store.memory_table import MemoryTable
from mountstand.wire.messages import RangeGrant, RangeKey

WINDOW_S = 1.5
NOW_S = 100.0


def held(name: str, *, service: str = "llm", priority: int = 5, due_s: float = 0.0) -> HeldRange:
    """Return a range whose lease was renewed just now."""
    key = RangeKey(name, 1, 0)
    grant = RangeGrant(key, 0, 1, "input", "output", service, "t", priority, True, 3, due_s)
    return HeldRange(grant, "owner", NOW_S, [], RangeFailures(MemoryTable(), key))


def item(index: int = 0) -> BatchItem:
    """Return an item."""
    return BatchItem(index, None, "/x", b"")


class Order(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.queue = ItemQueue(WINDOW_S)

    def taken(self, service: str = "llm", now_s: float = NOW_S) -> list[str]:
        """Take all items that may start; returns the names of their jobs."""
        found = []
        while (waiting := self.queue.take(service, now_s)) is not None:
            found.append(waiting.held.grant.key.job_key)
        return found

    def test_priority_then_due_time_then_arrival(self) -> None:
        ranges = [
            held("late"),
            held("due", due_s=500.0),
            held("urgent", priority=1),
            held("due first", due_s=200.0),
            held("later"),
        ]
        for each in ranges:
            self.queue.push(each, item())
        self.assertEqual(["urgent", "due first", "due", "late", "later"], self.taken())

    def test_other_services_keep_their_place(self) -> None:
        self.queue.push(held("other", service="vision", priority=0), item())
        self.queue.push(held("own"), item())
        self.assertEqual(["own"], self.taken())
        self.assertEqual(1, len(self.queue))
        self.assertEqual(["other"], self.taken("vision"))

    def test_items_of_dropped_ranges_go(self) -> None:
        dropped = held("dropped")
        self.queue.push(dropped, item())
        dropped.dropped = True
        self.assertEqual([], self.taken())
        self.assertEqual(0, len(self.queue))

    def test_without_a_fresh_lease_an_item_is_paused(self) -> None:
        stale = held("stale")
        self.queue.push(stale, item())
        late_s = NOW_S + WINDOW_S + 0.1
        self.assertEqual([], self.taken(now_s=late_s))
        self.assertEqual(1, len(self.queue))
        stale.renewed_s = late_s
        self.queue.wake(late_s)
        self.assertEqual([], self.taken(now_s=late_s))
        self.queue.wake(late_s + RETRY_PAUSE_S)
        self.assertEqual(["stale"], self.taken(now_s=late_s + RETRY_PAUSE_S))
