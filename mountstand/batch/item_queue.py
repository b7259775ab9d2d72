"""Items that wait at an executor: in order of priority and due time, or paused for a moment."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass

from mountstand.batch.held_range import BatchItem, HeldRange

RETRY_PAUSE_S = 0.1
"""Pause of an item that was refused, or whose range has no fresh lease."""


@dataclass(frozen=True, slots=True)
class WaitingItem:
    """An item with its range."""

    held: HeldRange
    item: BatchItem


class ItemQueue:
    """Waiting items of all held ranges. Not thread-safe by itself."""

    def __init__(self, renew_window_s: float) -> None:
        self._renew_window_s = renew_window_s
        self._ready: list[tuple[int, float, int, WaitingItem]] = []
        self._paused: list[tuple[float, WaitingItem]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        """Return how many items wait."""
        return len(self._ready) + len(self._paused)

    def push(self, held: HeldRange, item: BatchItem) -> None:
        """Let an item wait for its turn."""
        due_s = held.grant.due_time_s or float("inf")
        entry = (held.grant.priority, due_s, next(self._sequence), WaitingItem(held, item))
        heapq.heappush(self._ready, entry)

    def pause(self, held: HeldRange, item: BatchItem, until_s: float) -> None:
        """Let an item wait for a moment before it waits for its turn."""
        self._paused.append((until_s, WaitingItem(held, item)))

    def wake(self, now_s: float) -> None:
        """Let items whose pause is over wait for their turn."""
        waking = [waiting for until_s, waiting in self._paused if until_s <= now_s]
        self._paused = [entry for entry in self._paused if entry[0] > now_s]
        for waiting in waking:
            self.push(waiting.held, waiting.item)

    def take(self, service: str, now_s: float) -> WaitingItem | None:
        """Take the next item of a service that may start, if there is one.

        Items of dropped ranges go; those of ranges without a fresh lease are paused.
        """
        skipped = []
        found = None
        while self._ready and found is None:
            entry = heapq.heappop(self._ready)
            waiting = entry[3]
            if waiting.held.dropped:
                continue
            if waiting.held.grant.service != service:
                skipped.append(entry)
            elif now_s - waiting.held.renewed_s > self._renew_window_s:
                self._paused.append((now_s + RETRY_PAUSE_S, waiting))
            else:
                found = waiting
        for entry in skipped:
            heapq.heappush(self._ready, entry)
        return found
