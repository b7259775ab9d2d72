"""The platform's store over HTTP: the in-memory row store behind the published calls."""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from typing import Any
from urllib.parse import parse_qs, unquote

import orjson

from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import (
    Conflict,
    HistoryGone,
    OutcomeUnknown,
    RowKey,
    RowPage,
    StoredRow,
    StoreRefused,
    Transaction,
)
from mountstand.transport.http_server import HttpServer, Responder, ServerLimits, ServerRequest

JSON = [("Content-Type", "application/json")]


def row_fields(row: StoredRow) -> dict[str, Any]:
    """Return a row as the store writes it."""
    fields: dict[str, Any] = {
        "table": row.key.table,
        "part": row.key.part,
        "key": row.key.key,
        "ver": row.version,
    }
    if row.value is None:
        fields["gone"] = True
    else:
        fields["value"] = b64encode(row.value).decode()
    return fields


class StandInStore:
    """Serves ``rows`` on loopback."""

    def __init__(self) -> None:
        self.rows = MemoryRowStore()
        self.port = 0
        self._server = HttpServer(self._handle, ServerLimits(max_body_bytes=16 * 1024 * 1024))

    async def start(self) -> StandInStore:
        """Begin to listen."""
        self.port = await self._server.start("127.0.0.1", self.port)
        return self

    async def stop(self) -> None:
        """Close the listener and every connection."""
        self._server.stop_listening()
        for connection in list(self._server.connections):
            connection.abort()

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a worker does."""
        row = (RowKey(table, "", key), orjson.dumps(value))
        return await self.rows.commit(Transaction(puts=[row]))

    async def remove(self, table: str, key: str) -> int:
        """Remove a row as the platform does."""
        return await self.rows.commit(Transaction(removals=[RowKey(table, "", key)]))

    async def _handle(self, request: ServerRequest, responder: Responder) -> None:
        try:
            status, body = await self._answer(request)
        except Conflict:
            status, body = 412, orjson.dumps({"rows": []})
        except HistoryGone:
            status, body = 410, b"{}"
        except StoreRefused:
            status, body = 503, b"{}"
        except OutcomeUnknown:
            responder.abort()
            return
        responder.send(status, JSON, body)

    async def _answer(self, request: ServerRequest) -> tuple[int, bytes]:
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        path = request.path
        if path == "/rows-get":
            page = await self.rows.read(
                query["table"],
                query.get("part", ""),
                query.get("from", ""),
                query.get("target_version", ""),
                int(query.get("limit", 500)),
            )
            return 200, self._page(page)
        if path == "/rows-feed":
            page = await self.rows.changes(
                query["table"], int(query["after"]), int(query.get("wait_ms", 0))
            )
            return 200, self._page(page)
        if path == "/rows-tx":
            version = await self.rows.commit(self._transaction(orjson.loads(request.body)))
            return 200, orjson.dumps({"ver": version, "now_ms": 1})
        return await self._object(request, path, query)

    async def _object(
        self, request: ServerRequest, path: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        if path == "/blob-list":
            names = await self.rows.list_objects(query.get("path_prefix", ""))
            after = query.get("after", "")
            return 200, orjson.dumps({"names": [n for n in names if n > after], "more": False})
        name = unquote(path.split("/", 2)[2])
        if request.method == "PUT":
            await self.rows.put_object(name, request.body)
            return 200, b"{}"
        if request.method == "DELETE":
            await self.rows.drop_object(name)
            return 200, b"{}"
        found = await self.rows.get_object(name)
        return (404, b"") if found is None else (200, found)

    def _transaction(self, fields: dict[str, Any]) -> Transaction:
        def key(entry: dict[str, Any]) -> RowKey:
            return RowKey(entry["table"], entry.get("part", ""), entry["key"])

        return Transaction(
            conditions=[(key(entry), entry["ver"]) for entry in fields.get("expected_rev", [])],
            puts=[(key(entry), b64decode(entry["value"])) for entry in fields.get("put", [])],
            removals=[key(entry) for entry in fields.get("remove", [])],
        )

    def _page(self, page: RowPage) -> bytes:
        return orjson.dumps(
            {
                "rows": [row_fields(row) for row in page.rows],
                "more": page.more,
                "ver": page.version,
                "now_ms": page.now_ms,
            }
        )


async def settle(turns: int = 5) -> None:
    """Let other tasks run for some turns of the loop."""
    for _ in range(turns):
        await asyncio.sleep(0)
