"""A stand-in for the platform's metadata store: rows, transactions, feeds and objects on loopback.

It answers as the pages say and keeps everything in memory. ``fault`` may make it refuse or be silent.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, unquote

import http1

HELD_HISTORY_S = 20.0


class Store:
    """The rows and objects, and the server before them."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[int, bytes]] = {}
        self.objects: dict[str, bytes] = {}
        self.version = 0
        self.history: list[tuple[float, int, tuple[str, str, str], bytes | None]] = []
        self.history_from = 0
        self.changed = asyncio.Event()
        self.fault: Callable[[str], str] = lambda call: ""
        self.commits: list[dict[str, Any]] = []
        self.on_commit: Callable[[dict[str, Any]], None] = lambda fields: None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def now_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def put(self, table: str, key: str, value: Any, part: str = "") -> int:
        """Write a row as the operator or a worker does; returns its version."""
        return self._apply([((table, part, key), json.dumps(value).encode())], [])

    def remove(self, table: str, key: str, part: str = "") -> int:
        return self._apply([], [(table, part, key)])

    def value(self, table: str, part: str, key: str) -> Any:
        found = self.rows.get((table, part, key))
        return json.loads(found[1]) if found else None

    def _apply(
        self, puts: list[tuple[tuple[str, str, str], bytes]], removals: list[tuple[str, str, str]]
    ) -> int:
        self.version += 1
        now_s = time.monotonic()
        for key, value in puts:
            self.rows[key] = (self.version, value)
            self.history.append((now_s, self.version, key, value))
        for key in removals:
            self.rows.pop(key, None)
            self.history.append((now_s, self.version, key, None))
        while self.history and now_s - self.history[0][0] > HELD_HISTORY_S:
            self.history_from = self.history.pop(0)[1]
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await http1.read_request(reader)) is not None:
                name = request.path.split("/")[1]
                fault = self.fault(name)
                if fault == "silent":
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                status, body = (
                    (503, b"{}") if fault == "busy" else await self._answer(name, request)
                )
                writer.write(http1.answer(status, [("Content-Type", "application/json")], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, name: str, request: http1.Request) -> tuple[int, bytes]:
        query = {key: values[0] for key, values in parse_qs(request.query).items()}
        if name == "rows-get":
            return self._get(query)
        if name == "rows-feed":
            return await self._feed(query)
        if name == "rows-parts":
            parts = sorted({key[1] for key in self.rows if key[0] == query["table"]})
            return 200, json.dumps({"parts": parts, "more": False}).encode()
        if name == "rows-tx":
            return self._commit(json.loads(request.body))
        if name == "blob-list":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            names = sorted(n for n in self.objects if n.startswith(prefix) and n > after)
            return 200, json.dumps({"names": names[:1000], "more": len(names) > 1000}).encode()
        key = unquote(request.path.split("/", 2)[2])
        if name == "blob-put":
            if request.headers.get("if-none-match") == "*" and key in self.objects:
                return 412, b"{}"
            self.objects[key] = request.body
            return 200, b"{}"
        if name == "blob-drop":
            self.objects.pop(key, None)
            return 200, b"{}"
        found = self.objects.get(key)
        return (404, b"") if found is None else (200, found)

    def _row(self, key: tuple[str, str, str], version: int, value: bytes | None) -> dict[str, Any]:
        fields: dict[str, Any] = dict(zip(("table", "part", "key"), key), ver=version)
        if value is None:
            return {**fields, "gone": True}
        return {**fields, "value": base64.b64encode(value).decode()}

    def _page(self, rows: list[dict[str, Any]], more: bool) -> bytes:
        page = {"rows": rows, "more": more, "ver": self.version, "now_ms": self.now_ms()}
        return json.dumps(page).encode()

    def _get(self, query: dict[str, str]) -> tuple[int, bytes]:
        first, end = query.get("from", ""), query.get("target_version", "")
        place = (query["table"], query.get("part", ""))
        keys = sorted(
            key
            for key in self.rows
            if key[:2] == place and key[2] >= first and (not end or key[2] < end)
        )
        limit = min(500, int(query.get("limit", 500)))
        rows = [self._row(key, *self.rows[key]) for key in keys[:limit]]
        return 200, self._page(rows, len(keys) > limit)

    async def _feed(self, query: dict[str, str]) -> tuple[int, bytes]:
        after, table = int(query["after"]), query["table"]
        until_s = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        while True:
            if after < self.history_from:
                return 410, b"{}"
            rows = [
                self._row(key, version, value)
                for _, version, key, value in self.history
                if version > after and key[0] == table
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._page(rows, False)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _commit(self, fields: dict[str, Any]) -> tuple[int, bytes]:
        def key(entry: dict[str, Any]) -> tuple[str, str, str]:
            return entry["table"], entry.get("part", ""), entry["key"]

        entries = [
            *fields.get("expected_rev", []),
            *fields.get("put", []),
            *fields.get("remove", []),
        ]
        if len({entry.get("part", "") for entry in entries}) > 1 or len(entries) > 100:
            return 400, b"{}"
        if any(
            entry["table"] == "servers"
            for entry in [*fields.get("put", []), *fields.get("remove", [])]
        ):
            return 403, b"{}"
        for entry in fields.get("expected_rev", []):
            present = self.rows.get(key(entry))
            if (present[0] if present else 0) != entry["ver"]:
                return 412, json.dumps({"rows": []}).encode()
        puts = [(key(entry), base64.b64decode(entry["value"])) for entry in fields.get("put", [])]
        version = self._apply(puts, [key(entry) for entry in fields.get("remove", [])])
        return 200, json.dumps({"ver": version, "now_ms": self.now_ms()}).encode()
