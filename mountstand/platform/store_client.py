"""The platform's store behind the product's row and object ports."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import orjson

from mountstand.platform import names
from mountstand.serving_settings import SocketAddress
from mountstand.store.rows import (
    DECODE_ERRORS,
    Conflict,
    HistoryGone,
    OutcomeUnknown,
    RowKey,
    RowPage,
    StoredRow,
    StoreRefused,
    Transaction,
)
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.adaptive_timeout import AdaptiveTimeout
from mountstand.transport.http_client import ClientConnection, ConnectFailed, ReplyBroken, connect

SHORTEST_CONNECT_S = 0.15
LONGEST_CONNECT_S = 0.6
CONNECT_FACTOR = 10.0
"""A store that takes so many times the usual time to accept is treated as unreachable from here, so
that a caller is soon told to ask another daemon."""

SHORTEST_CALL_S = 0.8
LONGEST_CALL_S = 2.5
CALL_FACTOR = 8.0
"""A call without an answer for some times its usual time counts as lost, so that a caller who
waits gets another try as soon as the store is back."""

FEED_SLACK_S = 1.0
"""A held feed call that is not answered so long after its wait counts as lost."""

MAX_IDLE = 8
IDLE_S = 5.0

JSON_TYPE = ("Content-Type", "application/json")

Decoded = TypeVar("Decoded")


class NothingThere(StoreRefused):
    """The store knows nothing of what was asked for."""


class PlatformStore:
    """Calls to the store over pooled connections."""

    def __init__(self, address: SocketAddress, metrics: ServingMetrics) -> None:
        self._address = address
        self._metrics = metrics
        self._idle: list[ClientConnection] = []
        self._connect_timeout = AdaptiveTimeout(
            SHORTEST_CONNECT_S, LONGEST_CONNECT_S, CONNECT_FACTOR
        )
        self._call_timeouts: dict[str, AdaptiveTimeout] = {}

    def set_address(self, address: SocketAddress) -> None:
        """Make further calls to ``address``."""
        if address != self._address:
            self._address = address
            self._close_idle()

    # RowStore

    async def read(
        self, table: str, part: str, first: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Read a range of rows."""
        query = {"table": table, "part": part, "limit": str(limit)}
        if first:
            query["from"] = first
        if end:
            query["target_version"] = end
        return _decoded(await self._call("GET", f"{names.ROWS_READ}?{urlencode(query)}"), _page)

    async def commit(self, transaction: Transaction) -> int:
        """Run a transaction."""
        request = orjson.dumps(
            {
                "expected_rev": [
                    {**_key_fields(key), "ver": version} for key, version in transaction.conditions
                ],
                "put": [
                    {**_key_fields(key), "value": b64encode(value).decode()}
                    for key, value in transaction.puts
                ],
                "remove": [_key_fields(key) for key in transaction.removals],
            }
        )
        return _decoded(await self._call("POST", names.ROWS_COMMIT, request), _version)

    async def changes(self, table: str, after: int, wait_ms: int) -> RowPage:
        """Wait for changed rows."""
        query = urlencode({"table": table, "after": after, "wait_ms": wait_ms})
        target = f"{names.ROWS_CHANGES}?{query}"
        timeout_s = wait_ms / 1000 + FEED_SLACK_S
        return _decoded(await self._call("GET", target, b"", timeout_s), _page)

    # ObjectStore

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object."""
        await self._call("PUT", names.OBJECT_PUT + quote(name, safe=""), body)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object."""
        try:
            return await self._call("GET", names.OBJECT_GET + quote(name, safe=""))
        except NothingThere:
            return None

    async def drop_object(self, name: str) -> None:
        """Remove an object."""
        try:
            await self._call("DELETE", names.OBJECT_DROP + quote(name, safe=""))
        except NothingThere:
            return

    async def list_objects(self, prefix: str) -> list[str]:
        """Return the names that begin with a prefix."""
        found: list[str] = []
        while True:
            query = {"path_prefix": prefix}
            if found:
                query["after"] = found[-1]
            body = await self._call("GET", f"{names.OBJECT_LIST}?{urlencode(query)}")
            listed, more = _decoded(body, _object_names)
            found += listed
            if not more or not listed:
                return found

    # Calls

    async def _call(
        self, method: str, target: str, body: bytes = b"", timeout_s: float | None = None
    ) -> bytes:
        """Make one call; without ``timeout_s`` the time-out follows from earlier calls."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        name = target.partition("?")[0].split("/")[1]
        usual = self._call_timeout(name)
        outcome = "lost"
        try:
            status, answer = await self._exchange(method, target, body, timeout_s or usual.value_s)
            outcome = str(status)
            usual.note(loop.time() - began_s)
            return _checked(status, answer)
        except StoreRefused:
            outcome = "refused" if outcome == "lost" else outcome
            raise
        except OutcomeUnknown:
            usual.note_loss()
            raise
        finally:
            self._metrics.store_called(name, outcome, loop.time() - began_s)

    def _call_timeout(self, name: str) -> AdaptiveTimeout:
        found = self._call_timeouts.get(name)
        if found is None:
            found = AdaptiveTimeout(SHORTEST_CALL_S, LONGEST_CALL_S, CALL_FACTOR)
            self._call_timeouts[name] = found
        return found

    async def _exchange(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> tuple[int, bytes]:
        connection = await self._connection()
        headers = [("Host", str(self._address)), JSON_TYPE]
        done = False
        try:
            async with asyncio.timeout(timeout_s):
                connection.send(method, target, headers, body)
                head = await connection.read_head()
                answer = await connection.read_body()
                if head.ends_with_connection:
                    raise OutcomeUnknown("an answer that may have been cut off")
                done = True
                return head.status, answer
        except TimeoutError:
            self._close_idle()
            raise OutcomeUnknown("no answer in time") from None
        except ReplyBroken as problem:
            raise OutcomeUnknown(str(problem)) from None
        finally:
            if done and connection.end_exchange() and len(self._idle) < MAX_IDLE:
                self._idle.append(connection)
            else:
                connection.close()

    def _close_idle(self) -> None:
        """Close all resting connections, after a call without an answer or for a new address.

        Open connections may go silent together, without a reset, while new ones work. Nothing tells
        which of the others are silent too, and a new one costs little.
        """
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _connection(self) -> ClientConnection:
        now_s = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.open and connection.idle_s(now_s) < IDLE_S:
                return connection
            connection.close()
        try:
            connection = await connect(
                self._address.host, self._address.port, self._connect_timeout.value_s
            )
        except ConnectFailed as problem:
            raise StoreRefused(f"no connection: {problem}") from None
        self._connect_timeout.note(asyncio.get_running_loop().time() - now_s)
        return connection


def _checked(status: int, answer: bytes) -> bytes:
    """Return the body of a success; raise what any other status means."""
    if status == 200:
        return answer
    if status == 412:
        raise Conflict
    if status == 410:
        raise HistoryGone
    if status == 404:
        raise NothingThere("status 404")
    if status in (429, 503, 507) or 400 <= status < 500:
        raise StoreRefused(f"status {status}")
    raise OutcomeUnknown(f"status {status}")


def _decoded(body: bytes, decode: Callable[[bytes], Decoded]) -> Decoded:
    """Decode an answer. Raises ``OutcomeUnknown`` for one of another form than expected."""
    try:
        return decode(body)
    except DECODE_ERRORS as error:
        raise OutcomeUnknown(f"an answer that cannot be read: {error!r}") from None


def _version(body: bytes) -> int:
    return int(orjson.loads(body)["ver"])


def _object_names(body: bytes) -> tuple[list[str], bool]:
    """Return the names of a list, and whether there are more."""
    fields = orjson.loads(body)
    return [str(name) for name in fields["names"]], bool(fields.get("more"))


def _key_fields(key: RowKey) -> dict[str, Any]:
    return {"table": key.table, "part": key.part, "key": key.key}


def _page(body: bytes) -> RowPage:
    fields = orjson.loads(body)
    return RowPage(
        [_row(row) for row in fields["rows"]],
        bool(fields.get("more")),
        int(fields["ver"]),
        int(fields.get("now_ms", 0)),
    )


def _row(fields: dict[str, Any]) -> StoredRow:
    gone = bool(fields.get("gone"))
    value = None if gone else _value(fields.get("value", ""))
    key = RowKey(fields["table"], fields.get("part", ""), fields["key"])
    return StoredRow(key, int(fields["ver"]), value)


def _value(text: str) -> bytes:
    """Return a row's value; one that is no base64 is empty, which no decoder of rows accepts.

    Another writer may have left it, and it must not keep the other rows of its page from being
    read.
    """
    try:
        return b64decode(text, validate=True)
    except (ValueError, TypeError):
        return b""
