"""Batch work's use of the platform: a rate that settings bound, and patience with throttling."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from typing import TypeVar

from mountstand.clock import elapsed_s
from mountstand.errors import StoreThrottled
from mountstand.store.ports import ObjectPort, Outcome, TablePort, Transaction

THROTTLE_TRIES = 5
THROTTLE_PAUSE_S = 0.1

Result = TypeVar("Result")


class Pacer:
    """Spaces operations evenly; a burst of a fifth of a second is allowed."""

    def __init__(self, operations_per_s: float) -> None:
        self._interval_s = 1.0 / operations_per_s
        self._burst_s = max(0.2, self._interval_s)
        self._next_s = 0.0
        self._lock = threading.Lock()

    def wait(self) -> None:
        """Wait until the next operation may start."""
        with self._lock:
            now_s = elapsed_s()
            self._next_s = max(self._next_s, now_s - self._burst_s) + self._interval_s
            wait_s = self._next_s - now_s
        if wait_s > 0:
            time.sleep(wait_s)


def repeat_throttled(pacer: Pacer, operation: Callable[[], Result]) -> Result:
    """Run ``operation`` under ``pacer``; a throttled one had no effect and is repeated."""
    for _ in range(THROTTLE_TRIES - 1):
        pacer.wait()
        try:
            return operation()
        except StoreThrottled as error:
            time.sleep(error.retry_after_s or THROTTLE_PAUSE_S)
    pacer.wait()
    return operation()


class PacedTable(TablePort):
    """A table port under a rate."""

    def __init__(self, table: TablePort, operations_per_s: float) -> None:
        self._table = table
        self._pacer = Pacer(operations_per_s)

    def commit(self, transaction: Transaction) -> Outcome:
        """Run ``transaction``; see :meth:`TablePort.commit`."""
        return repeat_throttled(self._pacer, lambda: self._table.commit(transaction))


class PacedObjects(ObjectPort):
    """An object port under a rate."""

    def __init__(self, objects: ObjectPort, operations_per_s: float) -> None:
        self._objects = objects
        self._pacer = Pacer(operations_per_s)

    def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        repeat_throttled(self._pacer, lambda: self._objects.put(name, body))

    def get(self, name: str) -> bytes:
        """Return an object."""
        return repeat_throttled(self._pacer, lambda: self._objects.get(name))

    def delete(self, name: str) -> None:
        """Remove an object."""
        repeat_throttled(self._pacer, lambda: self._objects.delete(name))
