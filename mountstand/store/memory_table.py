"""An in-memory transactional table: the truth inside the emulator and inside model tests."""

from __future__ import annotations

from mountstand.errors import NotFound, WriteConflict
from mountstand.store.ports import ABSENT, ObjectPort, Outcome, Row, TablePort, Transaction


class TransactionConflict(WriteConflict):
    """A condition did not hold; carries the row that was found instead."""

    def __init__(self, key: str, row: Row | None) -> None:
        super().__init__(f"row {key} has another version")
        self.key = key
        self.row = row


class MemoryTable(TablePort):
    """Rows in a dictionary; one commit runs at a time."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self._version = 0

    def commit(self, transaction: Transaction) -> Outcome:
        """Run ``transaction``; see :meth:`TablePort.commit`."""
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else ABSENT) != condition.version:
                raise TransactionConflict(condition.key, row)
        if transaction.puts or transaction.deletes:
            self._version += 1
        for put in transaction.puts:
            self.rows[put.key] = Row(
                key=put.key,
                version=self._version,
                write_id=transaction.write_id,
                value=put.value,
            )
        for key in transaction.deletes:
            self.rows.pop(key, None)
        return Outcome(version=self._version, rows=self._read(transaction))

    def _read(self, transaction: Transaction) -> list[Row]:
        found = [self.rows[key] for key in transaction.read_keys if key in self.rows]
        for prefix in transaction.read_prefixes:
            keys = sorted(key for key in self.rows if key.startswith(prefix))
            found.extend(self.rows[key] for key in keys)
        return found


class MemoryObjects(ObjectPort):
    """Objects in a dictionary."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        self.objects[name] = body

    def get(self, name: str) -> bytes:
        """Return an object, or raise ``NotFound``."""
        if name not in self.objects:
            raise NotFound(f"object {name} does not exist")
        return self.objects[name]

    def delete(self, name: str) -> None:
        """Remove an object, if it is there."""
        self.objects.pop(name, None)
