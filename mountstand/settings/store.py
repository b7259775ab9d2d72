"""The settings tree in the platform's table.

``settings/head`` holds the global revision; every accepted change rewrites it, so its version
orders all changes. ``settings/branch/{path}`` holds a branch and the revision that set it;
``settings/revision/{number}`` holds what a revision changed.
"""

from __future__ import annotations

import time
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from mountstand.errors import (
    Executed,
    SettingsConflict,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from mountstand.settings.schema import BranchValues
from mountstand.settings.tree import Branch, BranchChange, Revision, SettingsTree
from mountstand.store.ports import (
    ABSENT,
    Condition,
    Outcome,
    Put,
    Row,
    TablePort,
    Transaction,
)

HEAD_ROW = "settings/head"
BRANCH_PREFIX = "settings/branch/"
REVISION_PREFIX = "settings/revision/"
TRIES = 10
RESOLVE_TRIES = 4
PAUSE_S = 0.1


@dataclass(frozen=True)
class RequestedChange:
    """A change as an operator asks for it.

    ``expected_revision`` is the revision of the branch that the operator saw; ``None`` takes
    whatever is there.
    """

    path: str
    values: BranchValues | None
    expected_revision: int | None = None


class SettingsStore:
    """Reads and writes of the tree."""

    def __init__(self, table: TablePort) -> None:
        self._table = table

    def read_tree(self) -> SettingsTree:
        """Return the whole tree. Raises ``StoreUnavailable``."""
        outcome = self._table.read(HEAD_ROW, prefixes=(BRANCH_PREFIX,))
        return tree_from_rows(outcome)

    def read_revision(self) -> int:
        """Return the revision in the table. Raises ``StoreUnavailable``."""
        return head_revision(self._table.read(HEAD_ROW).row(HEAD_ROW))

    def read_revisions(self, first: int, last: int) -> list[Revision]:
        """Return the revisions from ``first`` to ``last``."""
        keys = [revision_row(number) for number in range(first, last + 1)]
        rows = self._table.read(*keys).rows
        return [Revision.model_validate(row.value) for row in rows]

    def apply(self, requested: list[RequestedChange], operator: str) -> Revision:
        """Make changes as one transaction; return the accepted revision.

        Raises
        ------
        SettingsConflict
            A branch has another revision than expected; names it with its present value.
        StoreUnavailable
            The store is down; nothing was written (``executed: no``).
        WriteOutcomeUnknown
            The store went away and it is not known whether the change was accepted.
        """
        for _ in range(TRIES):
            keys = [HEAD_ROW, *(BRANCH_PREFIX + change.path for change in requested)]
            outcome = self._table.read(*keys)
            check_expected(requested, outcome)
            head = outcome.row(HEAD_ROW)
            revision = Revision(
                number=head_revision(head) + 1,
                changes=[BranchChange(path=c.path, values=c.values) for c in requested],
                operator=operator,
                time_s=time.time(),
            )
            if self._write(head.version if head else ABSENT, revision):
                return revision
        raise SettingsConflict("other changes came first each time; nothing was changed")

    def _write(self, head_version: int, revision: Revision) -> bool:
        """Write a revision; return ``False`` when another came first."""
        transaction = build_transaction(uuid.uuid4().hex, head_version, revision)
        maybe_written = False
        for _ in range(RESOLVE_TRIES):
            try:
                self._table.commit(transaction)
                return True
            except WriteConflict:
                if not maybe_written:
                    return False
                return self._was_written(transaction, revision)
            except WriteOutcomeUnknown:
                maybe_written = True
            except StoreUnavailable:
                if not maybe_written:
                    raise
            time.sleep(PAUSE_S)
        raise WriteOutcomeUnknown("the change may have been accepted; read it back")

    def _was_written(self, transaction: Transaction, revision: Revision) -> bool:
        key = revision_row(revision.number)
        for _ in range(RESOLVE_TRIES):
            try:
                row = self._table.read(key).row(key)
                return row is not None and row.write_id == transaction.write_id
            except StoreUnavailable:
                time.sleep(PAUSE_S)
        raise WriteOutcomeUnknown(
            "the change may have been accepted; read it back", executed=Executed.UNKNOWN
        )


def revision_row(number: int) -> str:
    """Return the row key of a revision."""
    return f"{REVISION_PREFIX}{number:012d}"


def head_revision(head: Row | None) -> int:
    """Return the revision that the head row holds."""
    return int(head.value["revision"]) if head else 0


def tree_from_rows(outcome: Outcome) -> SettingsTree:
    """Return the tree that rows read at one moment hold."""
    branches = {
        row.key[len(BRANCH_PREFIX) :]: Branch.model_validate(row.value)
        for row in outcome.rows
        if row.key.startswith(BRANCH_PREFIX)
    }
    return SettingsTree(revision=head_revision(outcome.row(HEAD_ROW)), branches=branches)


def check_expected(requested: Iterable[RequestedChange], outcome: Outcome) -> None:
    """Raise ``SettingsConflict`` when a branch is not as the operator saw it."""
    for change in requested:
        row = outcome.row(BRANCH_PREFIX + change.path)
        branch = Branch.model_validate(row.value) if row else None
        found = branch.revision if branch else 0
        if change.expected_revision not in (None, found):
            value = branch.values.model_dump(exclude_none=True) if branch else {}
            raise SettingsConflict(
                f"{change.path or '(root)'} is at revision {found} with {value}, not at"
                f" {change.expected_revision}"
            )


def build_transaction(write_id: str, head_version: int, revision: Revision) -> Transaction:
    """Return the transaction that makes ``revision`` the next one."""
    puts = [
        Put(key=HEAD_ROW, value={"revision": revision.number}),
        Put(key=revision_row(revision.number), value=revision.model_dump(mode="json")),
    ]
    deletes = []
    for change in revision.changes:
        key = BRANCH_PREFIX + change.path
        if change.values is None:
            deletes.append(key)
        else:
            branch = Branch(values=change.values, revision=revision.number)
            puts.append(Put(key=key, value=branch.model_dump(mode="json")))
    return Transaction(
        write_id=write_id,
        conditions=[Condition(key=HEAD_ROW, version=head_version)],
        puts=puts,
        deletes=deletes,
    )
