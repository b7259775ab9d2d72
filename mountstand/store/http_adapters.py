"""HTTP adapters of the platform ports, over urllib3.

An operation that the store refused or that never reached it is repeated by the caller; an
operation whose answer was lost is reported as ``WriteOutcomeUnknown`` when it wrote something.
"""

from __future__ import annotations

import logging
from urllib.parse import quote

import orjson
import urllib3
from pydantic import ValidationError

from mountstand.errors import (
    MountstandError,
    NotFound,
    StoreThrottled,
    StoreUnavailable,
    WriteOutcomeUnknown,
)
from mountstand.store.memory_table import TransactionConflict
from mountstand.store.ports import (
    Machine,
    MachineListPort,
    ObjectPort,
    Outcome,
    Row,
    TablePort,
    Transaction,
)
from mountstand.store.rows import DECODE_ERRORS
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.transport.bounded_reply import MAX_REPLY_BYTES, ReplyLimits, bounded_pool
from mountstand.transport.whole_lines import pool_from_url

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
REPLY_TIMEOUTS = 5
"""A reply may take so many times the time-out of its parts in all."""

MAX_OBJECT_BYTES = 256 * 1024 * 1024
"""Most bytes of an object: the results of a range, which its daemon gathers in memory."""

THROTTLED_STATUS = 429
CONFLICT_STATUS = 409
NOT_FOUND_STATUS = 404
NOT_MODIFIED_STATUS = 304
HEADER_BYTES = 160
"""Estimate of a request's or an answer's line and headers, for the count of control traffic."""

CONTROL_STORES = ("table", "machines")
"""Objects hold jobs' items and results, which are no control traffic."""


class StoreClient:
    """One platform endpoint: a pool of kept connections and the translation of failures."""

    def __init__(
        self,
        name: str,
        base_url: str,
        timeout_s: float,
        metrics: DaemonMetrics | None,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        self._name = name
        limits = ReplyLimits(REPLY_TIMEOUTS * timeout_s, max_reply_bytes)
        self._pool = pool_from_url(
            base_url,
            bounded_pool(limits),
            maxsize=16,
            block=False,
            timeout=urllib3.Timeout(connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s),
            retries=False,
        )
        self._metrics = metrics

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        writes: bool,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send one operation and return its answer.

        Raises
        ------
        StoreThrottled, StoreUnavailable
            The operation had no effect.
        WriteOutcomeUnknown
            It writes, and whether it took effect is not known.
        """
        try:
            response = self._pool.request(method, path, body=body, headers=headers)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            raise self._failure(StoreUnavailable, "no connection") from None
        except urllib3.exceptions.HTTPError as problem:
            kind = WriteOutcomeUnknown if writes else StoreUnavailable
            raise self._failure(kind, type(problem).__name__) from None
        if response.status == THROTTLED_STATUS:
            raise self._failure(StoreThrottled, "over the rate limit")
        if response.status >= 500:
            kind = WriteOutcomeUnknown if writes else StoreUnavailable
            raise self._failure(kind, f"status {response.status}")
        self._count("ok")
        if self._metrics is not None and self._name in CONTROL_STORES:
            received = int(response.headers.get("Content-Length", len(response.data)))
            moved = 2 * HEADER_BYTES + len(body or b"") + received
            self._metrics.control_bytes.labels(self._name).inc(moved)
        return response

    def _failure(self, kind: type[MountstandError], detail: str) -> MountstandError:
        self._count(kind.code)
        return kind(f"{self._name}: {detail}")

    def _count(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.store_operations.labels(self._name, outcome).inc()


class HttpTable(TablePort):
    """The table service over HTTP."""

    def __init__(
        self, base_url: str, timeout_s: float = 2.0, metrics: DaemonMetrics | None = None
    ) -> None:
        self._client = StoreClient("table", base_url, timeout_s, metrics)

    def commit(self, transaction: Transaction) -> Outcome:
        """Run ``transaction``; see :meth:`TablePort.commit`."""
        writes = bool(transaction.puts or transaction.deletes)
        body = transaction.model_dump_json().encode()
        response = self._client.call("POST", "/v1/transactions", body, writes=writes)
        if response.status == CONFLICT_STATUS:
            conflict = orjson.loads(response.data)["conflict"]
            row = Row.model_validate(conflict["row"]) if conflict["row"] else None
            raise TransactionConflict(conflict["key"], row)
        try:
            return Outcome.model_validate_json(response.data)
        except ValidationError:
            raise WriteOutcomeUnknown("table: the answer cannot be read") from None


class HttpObjects(ObjectPort):
    """The object store over HTTP."""

    def __init__(
        self, base_url: str, timeout_s: float = 10.0, metrics: DaemonMetrics | None = None
    ) -> None:
        self._client = StoreClient("objects", base_url, timeout_s, metrics, MAX_OBJECT_BYTES)

    def put(self, name: str, body: bytes) -> None:
        """Store an object; repeating the call is harmless, so a lost answer counts as down."""
        self._client.call("PUT", f"/v1/objects/{quote(name)}", body, writes=False)

    def get(self, name: str) -> bytes:
        """Return an object."""
        response = self._client.call("GET", f"/v1/objects/{quote(name)}", writes=False)
        if response.status == NOT_FOUND_STATUS:
            raise NotFound(f"object {name} does not exist")
        return response.data

    def delete(self, name: str) -> None:
        """Remove an object, if it is there."""
        self._client.call("DELETE", f"/v1/objects/{quote(name)}", writes=False)


class HttpMachineList(MachineListPort):
    """The machine list over HTTP."""

    def __init__(
        self, base_url: str, timeout_s: float = 2.0, metrics: DaemonMetrics | None = None
    ) -> None:
        self._client = StoreClient("machines", base_url, timeout_s, metrics)
        self._entity_tag = ""
        self._machines: list[Machine] = []

    def machines(self) -> list[Machine]:
        """Return the list as the platform shows it; the same object while it is unchanged.

        The list of a large fleet is long and changes every few minutes, so it is asked for under
        its entity tag, and compressed.
        """
        headers = {"Accept-Encoding": "gzip"}
        if self._entity_tag:
            headers["If-None-Match"] = self._entity_tag
        response = self._client.call("GET", "/v1/machines", writes=False, headers=headers)
        if response.status == NOT_MODIFIED_STATUS:
            return self._machines
        try:
            records = orjson.loads(response.data)["machines"]
            machines = [each for each in map(_read_machine, records) if each is not None]
            if records and not machines:
                raise ValueError("no machine can be read")
            self._machines = machines
            self._entity_tag = response.headers.get("ETag", "")
            return self._machines
        except DECODE_ERRORS:
            raise StoreUnavailable("machines: the answer cannot be read") from None


def _read_machine(record: object) -> Machine | None:
    """Return a machine of the list, ``None`` for an entry that can't be read."""
    try:
        return Machine.model_validate(record)
    except ValidationError as problem:
        logger.warning("skipping unreadable machine", extra={"cause": repr(problem)})
        return None
