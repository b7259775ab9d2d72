"""Failed attempts of a range's items, kept in the table for the daemon that holds the range next.

The daemon that holds a range may end at any time. If the count of an item's attempts ended with it,
an item that fails always would be tried anew by each daemon that takes the range over.
"""

from __future__ import annotations

import logging
import threading
import uuid
from collections import Counter

from mountstand.batch.model import failures_row
from mountstand.errors import WriteConflict
from mountstand.store.ports import ABSENT, Condition, Put, TablePort, Transaction
from mountstand.telemetry.logs import log_state_change
from mountstand.wire.messages import RangeKey

logger = logging.getLogger(__name__)


class RangeFailures:
    """Counts the failed attempts of the items of one range; thread-safe."""

    __slots__ = (
        "_count_by_item",
        "_is_delayed",
        "_key",
        "_lock",
        "_row_key",
        "_saving",
        "_table",
        "_unsaved",
        "_version",
    )

    def __init__(self, table: TablePort, key: RangeKey) -> None:
        self._table = table
        self._key = key
        self._row_key = failures_row(key.job_key, key.range_index)
        self._version = ABSENT
        self._count_by_item: Counter[int] = Counter()
        self._unsaved: set[int] = set()
        self._is_delayed = False
        self._lock = threading.Lock()
        self._saving = threading.Lock()

    def read(self) -> None:
        """Take over the counts in the table, where they are higher than the known ones.

        Raises
        ------
        MountstandError
            The table does not answer or refuses.
        """
        row = self._table.read(self._row_key).row(self._row_key)
        if row is None:
            self._version = ABSENT
            return
        self._version = row.version
        with self._lock:
            self._count_by_item |= {int(item): count for item, count in row.value["counts"].items()}

    def count(self, item: int) -> int:
        """Return how many attempts of an item have failed, at this daemon and at former holders."""
        with self._lock:
            return self._count_by_item[item]

    def add(self, item: int) -> int:
        """Count a failed attempt of an item, which is to be saved; return the new count."""
        with self._lock:
            self._count_by_item[item] += 1
            self._unsaved.add(item)
            return self._count_by_item[item]

    def is_saved(self, item: int) -> bool:
        """Return whether all failed attempts of an item are in the table."""
        with self._lock:
            return item not in self._unsaved

    def save(self) -> None:
        """Write counts that are not saved, unless another thread is at it.

        Counts stay unsaved where the table doesn't take them (:meth:`is_saved`).
        """
        if not self._saving.acquire(blocking=False):
            return
        try:
            while self._unsaved:
                self._save_once()
        except Exception as error:
            self._note_delayed(error)
        else:
            self._is_delayed = False
        finally:
            self._saving.release()

    def _save_once(self) -> None:
        """Write all counts, or read those that another daemon has written meanwhile."""
        with self._lock:
            counts = dict(self._count_by_item)
        value = {"counts": {str(item): count for item, count in counts.items()}}
        transaction = Transaction(
            write_id=uuid.uuid4().hex,
            conditions=[Condition(key=self._row_key, version=self._version)],
            puts=[Put(key=self._row_key, value=value)],
        )
        try:
            self._version = self._table.commit(transaction).version
        except WriteConflict:
            self.read()
            return
        with self._lock:
            saved = {item for item in self._unsaved if self._count_by_item[item] == counts[item]}
            self._unsaved -= saved

    def _note_delayed(self, error: Exception) -> None:
        if not self._is_delayed:
            log_state_change(
                logger,
                "failures of items cannot be saved yet",
                job=self._key.job_key,
                range=self._key.range_index,
                cause=repr(error),
            )
        self._is_delayed = True
