"""Stand-ins for the platform: transactional table, object store, machine list, weight store.

The wire forms are described in ``docs/design/platform-protocols.md``.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from aiohttp import web

from mountstand.emulator.faults import FaultInjector
from mountstand.store.memory_table import MemoryTable, TransactionConflict
from mountstand.store.ports import Machine, Transaction

MAX_OBJECT_BYTES = 64 * 1024 * 1024
WEIGHT_CHUNK_BYTES = 1024 * 1024


class TableApp:
    """The transactional table over HTTP."""

    def __init__(self, seed: int = 0) -> None:
        self.table = MemoryTable()
        self.faults = FaultInjector(seed, time.monotonic)

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(
            middlewares=[self.faults.middleware], client_max_size=MAX_OBJECT_BYTES
        )
        self.faults.install(application)
        application.router.add_post("/v1/transactions", self._handle_transaction)
        return application

    async def _handle_transaction(self, request: web.Request) -> web.Response:
        transaction = Transaction.model_validate_json(await request.read())
        try:
            outcome = self.table.commit(transaction)
        except TransactionConflict as conflict:
            body = conflict.row.model_dump() if conflict.row else None
            return web.json_response({"conflict": {"key": conflict.key, "row": body}}, status=409)
        return web.Response(
            body=outcome.model_dump_json().encode(), content_type="application/json"
        )


class ObjectsApp:
    """The object store over HTTP: whole-object writes, ranged reads, listing by prefix."""

    def __init__(self, seed: int = 0) -> None:
        self.objects: dict[str, bytes] = {}
        self.faults = FaultInjector(seed, time.monotonic)

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(
            middlewares=[self.faults.middleware], client_max_size=MAX_OBJECT_BYTES
        )
        self.faults.install(application)
        router = application.router
        router.add_get("/v1/objects", self._handle_list)
        router.add_put("/v1/objects/{name:.+}", self._handle_put)
        router.add_get("/v1/objects/{name:.+}", self._handle_get)
        router.add_delete("/v1/objects/{name:.+}", self._handle_delete)
        return application

    async def _handle_list(self, request: web.Request) -> web.Response:
        prefix = request.query.get("prefix", "")
        names = sorted(name for name in self.objects if name.startswith(prefix))
        return web.json_response({"names": names})

    async def _handle_put(self, request: web.Request) -> web.Response:
        self.objects[request.match_info["name"]] = await request.read()
        return web.json_response({"stored": True})

    async def _handle_get(self, request: web.Request) -> web.Response:
        body = self.objects.get(request.match_info["name"])
        if body is None:
            return web.json_response({"error": "no such object"}, status=404)
        return web.Response(body=body, content_type="application/octet-stream")

    async def _handle_delete(self, request: web.Request) -> web.Response:
        self.objects.pop(request.match_info["name"], None)
        return web.json_response({"deleted": True})


@dataclass(frozen=True)
class MachineSnapshot:
    """The machine list as it stood at one moment."""

    time_s: float
    machines: dict[str, Machine]


class MachinesApp:
    """The lagging list of live and leaving machines."""

    def __init__(self, lag_s: float = 0.5, seed: int = 0) -> None:
        self.lag_s = lag_s
        self.faults = FaultInjector(seed, time.monotonic)
        self._snapshots = [MachineSnapshot(0.0, {})]

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(
            middlewares=[self.faults.middleware], client_max_size=MAX_OBJECT_BYTES
        )
        self.faults.install(application)
        application.router.add_get("/v1/machines", self._handle_list)
        application.router.add_put("/control/machines/{id}", self._handle_put)
        application.router.add_post("/control/machines", self._handle_put_many)
        application.router.add_delete("/control/machines/{id}", self._handle_delete)
        return application

    def put(self, record: Machine) -> None:
        """Add or replace one machine."""
        self._change(self._snapshots[-1].machines | {record.machine_id: record})

    def _change(self, machines: dict[str, Machine]) -> None:
        now = time.monotonic()
        self._snapshots.append(MachineSnapshot(now, machines))
        while len(self._snapshots) > 1 and self._snapshots[1].time_s < now - self.lag_s:
            self._snapshots.pop(0)

    async def _handle_list(self, request: web.Request) -> web.Response:
        visible_s = time.monotonic() - self.lag_s
        shown = self._snapshots[0]
        for snapshot in self._snapshots:
            if snapshot.time_s <= visible_s:
                shown = snapshot
        entity_tag = f'"{shown.time_s}"'
        if request.headers.get("If-None-Match") == entity_tag:
            return web.Response(status=304, headers={"ETag": entity_tag})
        listed = [
            machine.model_dump(mode="json", exclude_defaults=True)
            for machine in shown.machines.values()
        ]
        response = web.json_response({"machines": listed}, headers={"ETag": entity_tag})
        response.enable_compression()
        return response

    async def _handle_put(self, request: web.Request) -> web.Response:
        self.put(Machine.model_validate_json(await request.read()))
        return web.json_response({"stored": True})

    async def _handle_put_many(self, request: web.Request) -> web.Response:
        found = [Machine.model_validate(line) for line in await request.json()]
        self._change(self._snapshots[-1].machines | {m.machine_id: m for m in found})
        return web.json_response({"stored": len(found)})

    async def _handle_delete(self, request: web.Request) -> web.Response:
        machines = dict(self._snapshots[-1].machines)
        machines.pop(request.match_info["id"], None)
        self._change(machines)
        return web.json_response({"deleted": True})


class WeightsApp:
    """The rate-limited weight store: streams a model version at a bounded rate."""

    def __init__(
        self,
        size_bytes: int = 8 * 1024 * 1024,
        rate_bytes_per_s: int = 64 * 1024 * 1024,
        seed: int = 0,
    ) -> None:
        self.size_bytes = size_bytes
        self.rate_bytes_per_s = rate_bytes_per_s
        self.faults = FaultInjector(seed, time.monotonic)
        self._rate_lock = asyncio.Lock()

    def build(self) -> web.Application:
        """Return the aiohttp application."""
        application = web.Application(middlewares=[self.faults.middleware])
        self.faults.install(application)
        application.router.add_get("/v1/weights/{model}/{version}", self._handle_get)
        return application

    async def _handle_get(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        left = self.size_bytes
        while left > 0:
            chunk = min(left, WEIGHT_CHUNK_BYTES)
            async with self._rate_lock:
                await asyncio.sleep(chunk / self.rate_bytes_per_s)
            await response.write(bytes(chunk))
            left -= chunk
        await response.write_eof()
        return response
