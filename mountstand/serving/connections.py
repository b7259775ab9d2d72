"""Connections to workers, pooled per worker.

A pooled connection to a worker that died silently would cost a request that may run only once, so
for such a request a connection is used again only while the worker was heard from a moment ago, on
any connection. Otherwise a new one is made: a failed connect is a safe reason to try another
worker. A request that may be repeated takes any connection that is still open.
"""

from __future__ import annotations

import asyncio

from mountstand.serving.idle_limit import IdleLimit
from mountstand.serving.worker import Worker
from mountstand.transport.adaptive_timeout import AdaptiveTimeout
from mountstand.transport.forwarders import TURNED_AWAY_S
from mountstand.transport.http_client import ClientConnection, ConnectFailed, connect

SHORTEST_CONNECT_S = 0.1
LONGEST_CONNECT_S = 0.5
CONNECT_FACTOR = 10.0
"""A worker that takes so many times the usual time to accept is treated as unreachable, so that the
request still has time for another."""

HEARD_S = 0.5
"""How recent the last sign of life must be for a pooled connection to be used."""

KEEP_ALIVE_MARGIN_S = 0.5
"""Workers tell their idle time in whole seconds; a connection is left alone this long before."""

UNTOLD_IDLE_S = 0.3
"""Idle time assumed where a worker tells none: it is then less than a second."""


class ClosedOnAccept(ConnectFailed):
    """A connection was accepted and closed before anything was said."""


class WorkerConnections:
    """Opens and keeps connections to workers."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}
        self._timeout = AdaptiveTimeout(SHORTEST_CONNECT_S, LONGEST_CONNECT_S, CONNECT_FACTOR)
        self._rest_limit = IdleLimit()

    async def check(self, worker: Worker) -> None:
        """Find out whether ``worker`` accepts connections. Raises ``ConnectFailed``."""
        connection = await self._open(worker)
        connection.close()

    async def probe(self, worker: Worker) -> None:
        """Connect to ``worker`` and learn nothing from it for routing. Raises ``ConnectFailed``.

        A full worker may turn a connection away; it must not be avoided for that by all daemons.
        ``ClosedOnAccept`` tells of a connection that was accepted and closed at once: what listens
        there may be a port forwarder whose worker is gone.
        """
        record = worker.record
        try:
            connection = await connect(record.host, record.port, self._timeout.value_s)
        except ConnectFailed as problem:
            if problem.reset:
                raise ClosedOnAccept("reset while it was opened") from None
            raise
        try:
            await asyncio.sleep(TURNED_AWAY_S)
            if not connection.open:
                raise ClosedOnAccept("accepted and closed at once")
        finally:
            connection.close()

    async def acquire(self, worker: Worker, *, repeatable: bool) -> ClientConnection:
        """Return an open connection to ``worker``. Raises ``ConnectFailed``."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        pooled = self._take_pooled(worker, now_s, repeatable)
        if pooled is not None:
            return pooled
        return await self._open(worker)

    async def _open(self, worker: Worker) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            began_s = loop.time()
            connection = await connect(
                worker.record.host, worker.record.port, self._timeout.value_s
            )
            self._timeout.note(loop.time() - began_s)
        except ConnectFailed:
            worker.note_connect_failed(loop.time())
            raise
        worker.note_connected(loop.time())
        return connection

    def release(self, worker: Worker, connection: ClientConnection, limit: int) -> None:
        """Take a connection back; at most ``limit`` idle ones per worker are kept."""
        worker.last_contact_s = max(worker.last_contact_s, connection.last_received_at_s)
        worker.last_data_s = max(worker.last_data_s, connection.last_bytes_at_s)
        if not connection.end_exchange():
            return
        idle = self._idle.setdefault(worker.incarnation, [])
        if len(idle) >= limit:
            connection.close()
        else:
            idle.append(connection)

    def sweep(self, listed: set[str], now_s: float) -> None:
        """Close connections that rested too long or whose worker's process is gone.

        ``listed`` are the incarnations of the workers that are listed.
        """
        for incarnation, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                usable = connection.open and self._rested_well(connection, now_s)
                if usable and incarnation in listed:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[incarnation] = kept
            else:
                del self._idle[incarnation]

    def note_broken(self, connection: ClientConnection) -> None:
        """Learn from an exchange that broke: the worker may have forgotten the connection."""
        now_s = asyncio.get_running_loop().time()
        if connection.was_forgotten(now_s, self._timeout.usual_s):
            self._rest_limit.note_reset(connection.idle_s(now_s), now_s)

    def _rested_well(self, connection: ClientConnection, now_s: float) -> bool:
        """Return whether a connection's peer surely has not begun to close it for resting."""
        if connection.keep_alive_s is None:
            allowed_s = UNTOLD_IDLE_S
        else:
            allowed_s = connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
        return connection.idle_s(now_s) < min(allowed_s, self._rest_limit.value_s(now_s))

    def _take_pooled(
        self, worker: Worker, now_s: float, repeatable: bool
    ) -> ClientConnection | None:
        idle = self._idle.get(worker.incarnation, [])
        heard_s = worker.last_contact_s
        while idle:
            connection = idle.pop()
            heard_s = max(heard_s, connection.last_received_at_s)
            usable = connection.open and self._rested_well(connection, now_s)
            if usable and (repeatable or now_s - heard_s <= HEARD_S):
                return connection
            connection.close()
        return None
