"""Port to a store of versioned rows with conditional transactions and a change feed.

Rows live in a table and, within it, in a part. A transaction touches one part. Versions rise with
every transaction anywhere in the store. Calls are coroutines and raise only the kinds that are
named here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Exceptions by which decoders reject a row of another form. Another writer may have left it, and
it says nothing of other rows."""

ABSENT = 0
"""Version that stands for a row which does not exist."""


class StoreError(Exception):
    """Base of what can go wrong with a call to the store."""


class StoreRefused(StoreError):
    """The store did nothing: not reached, not serving, or over its rate."""


class OutcomeUnknown(StoreError):
    """The call was sent and no answer came; a write may still take effect later."""


class Conflict(StoreError):
    """A condition did not hold; nothing was written."""


class HistoryGone(StoreError):
    """The feed cannot continue from the version asked for; read everything anew."""


@dataclass(frozen=True)
class RowKey:
    """Where a row lives."""

    table: str
    part: str
    key: str


@dataclass(frozen=True)
class StoredRow:
    """One row; ``value`` is ``None`` where the feed tells of a removal."""

    key: RowKey
    version: int
    value: bytes | None


@dataclass(frozen=True)
class RowPage:
    """Rows as of one moment; ``now_ms`` is the store's steady clock."""

    rows: list[StoredRow]
    more: bool
    version: int
    now_ms: int


@dataclass
class Transaction:
    """Conditions, writes and removals that take effect together or not at all."""

    conditions: list[tuple[RowKey, int]] = field(default_factory=list)
    puts: list[tuple[RowKey, bytes]] = field(default_factory=list)
    removals: list[RowKey] = field(default_factory=list)


class RowStore(Protocol):
    """The row store."""

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Read rows with ``first <= key < end``. Raises ``StoreRefused``, ``OutcomeUnknown``."""

    async def commit(self, transaction: Transaction) -> int:
        """Run a transaction; returns its version.

        Raises ``Conflict``, ``StoreRefused`` or ``OutcomeUnknown``.
        """

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Wait for rows of a table that changed after a version.

        Raises ``HistoryGone``, ``StoreRefused`` or ``OutcomeUnknown``.
        """


class ObjectStore(Protocol):
    """Raw objects, written once under unique names."""

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object. Raises ``StoreRefused`` or ``OutcomeUnknown``."""

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none. Raises ``StoreError``."""

    async def drop_object(self, name: str) -> None:
        """Remove an object, if it is there. Raises ``StoreError``."""

    async def list_objects(self, prefix: str) -> list[str]:
        """Return the names that begin with ``prefix``. Raises ``StoreError``."""


async def read_all(
    store: RowStore, table: str, part: str, first: str = "", end: str = ""
) -> RowPage:
    """Read every row of a range, page by page; the version is that of the first page."""
    page = await store.read(table, part, first, end)
    rows = list(page.rows)
    more = page.more
    while more:
        following = await store.read(table, part, rows[-1].key.key + "\x00", end)
        rows += following.rows
        more = following.more and bool(following.rows)
    return RowPage(rows, False, page.version, page.now_ms)
