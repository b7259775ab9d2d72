"""At most one dispatch of a keyed not-repeatable request, across resends and daemons.

The intent is written to the table before the dispatch, the outcome after it. A resend that finds an
intent gets the stored outcome or ``OutcomeUnknown``; it is never dispatched again.
"""

from __future__ import annotations

import base64
import hashlib
import uuid
from collections.abc import Callable

from mountstand.engines.port import BackendAnswer
from mountstand.errors import (
    Executed,
    IdempotencyConflict,
    MountstandError,
    OutcomeUnknown,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from mountstand.online.request import OnlineRequest
from mountstand.store.ports import ABSENT, Condition, Put, Row, TablePort, Transaction

FINISH_TRIES = 3
INTENT_TRIES = 3
MAX_STORED_BYTES = 256 * 1024
"""Larger answers are not stored; a resend then gets ``OutcomeUnknown``."""


class IdempotentRunner:
    """Runs keyed not-repeatable requests at most once."""

    def __init__(self, table: TablePort) -> None:
        self._table = table

    def run(self, request: OnlineRequest, dispatch: Callable[[], BackendAnswer]) -> BackendAnswer:
        """Return the stored outcome of the key, or dispatch and store the outcome."""
        key = f"idempotency/{request.tenant}/{request.idempotency_key}"
        fingerprint = request_fingerprint(request)
        intent = {"fingerprint": fingerprint, "state": "dispatched"}
        version = self._record_intent(key, intent)
        if isinstance(version, Row):
            return stored_answer(version, fingerprint)
        try:
            answer = dispatch()
        except MountstandError as error:
            if error.executed is Executed.NO:
                self._withdraw_intent(key, version)
            raise
        self._record_outcome(key, version, intent, answer)
        return answer

    def _record_intent(self, key: str, intent: dict[str, str]) -> int | Row:
        """Write the intent; return its version, or the row of an earlier one."""
        for _ in range(INTENT_TRIES):
            write_id = uuid.uuid4().hex
            try:
                outcome = self._table.commit(
                    Transaction(
                        write_id=write_id,
                        conditions=[Condition(key=key, version=ABSENT)],
                        puts=[Put(key=key, value=intent)],
                    )
                )
                return outcome.version
            except WriteConflict:
                row = self._table.read(key).row(key)
            except WriteOutcomeUnknown:
                row = self._read_back(key)
            if row is None:
                continue
            return row.version if row.write_id == write_id else row
        raise StoreUnavailable("the intent could not be recorded", executed=Executed.NO)

    def _read_back(self, key: str) -> Row | None:
        try:
            return self._table.read(key).row(key)
        except StoreUnavailable:
            raise StoreUnavailable("the intent could not be confirmed") from None

    def _withdraw_intent(self, key: str, version: int) -> None:
        """Remove the intent of a request that was not run, so that a resend may run it."""
        removal = Transaction(
            write_id=uuid.uuid4().hex,
            conditions=[Condition(key=key, version=version)],
            deletes=[key],
        )
        try:
            self._table.commit(removal)
        except MountstandError:
            # The intent stays: a resend is answered OutcomeUnknown, which is safe.
            return

    def _record_outcome(
        self, key: str, version: int, intent: dict[str, str], answer: BackendAnswer
    ) -> None:
        if len(answer.body) > MAX_STORED_BYTES:
            return
        value = intent | {
            "state": "done",
            "status": str(answer.status),
            "content_type": answer.content_type,
            "body": base64.b64encode(answer.body).decode(),
        }
        record = Transaction(
            write_id=uuid.uuid4().hex,
            conditions=[Condition(key=key, version=version)],
            puts=[Put(key=key, value=value)],
        )
        for _ in range(FINISH_TRIES):
            try:
                self._table.commit(record)
                return
            except WriteConflict:
                return
            except StoreUnavailable:
                continue


def request_fingerprint(request: OnlineRequest) -> str:
    """Return a hash that tells whether two requests are the same."""
    content = b"\x00".join(
        [request.service.encode(), request.method.encode(), request.path.encode(), request.body]
    )
    return hashlib.sha256(content).hexdigest()


def stored_answer(row: Row, fingerprint: str) -> BackendAnswer:
    """Return the answer kept in ``row``, or raise what the resend must be told."""
    if row.value["fingerprint"] != fingerprint:
        raise IdempotencyConflict()
    if row.value["state"] != "done":
        raise OutcomeUnknown()
    return BackendAnswer(
        int(row.value["status"]),
        row.value["content_type"],
        base64.b64decode(row.value["body"]),
    )
