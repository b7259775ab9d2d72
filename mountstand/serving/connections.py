"""Pools connections to workers.

A non-repeatable request that was sent over a pooled connection to a dead worker must not be
retried, since it is not known whether it ran. Such a request therefore reuses a connection only if
the worker, on any connection, sent something or accepted a connection within
``MAX_WORKER_SILENCE_S``. Otherwise a new connection is opened: if that fails, another worker can
safely be tried. A repeatable request reuses any connection that is open and within its idle limit.

A worker may send an answer twice, the second time in the place of the connection's next answer. The
request's id tells such an answer from one to another request, but not from one to a further attempt
at the same request. So no attempt uses a connection on which an earlier one was answered.
"""

from __future__ import annotations

import asyncio

from mountstand.serving.idle_limit import IdleLimit
from mountstand.serving.reply_budget import ReplyBudget
from mountstand.serving.worker import Worker
from mountstand.transport.adaptive_timeout import AdaptiveTimeout
from mountstand.transport.forwarders import TURNED_AWAY_S
from mountstand.transport.http_client import ClientConnection, ConnectFailed, connect
from mountstand.transport.pauses import ProcessPauses

MIN_CONNECT_TIMEOUT_S = 0.1
MAX_CONNECT_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_FACTOR = 10.0
"""The connect timeout as a multiple of the usual connect time. It is short so that the request has
time left for another worker."""

MAX_WORKER_SILENCE_S = 0.5
"""Time without contact to a worker after which non-repeatable requests use a new connection."""

KEEP_ALIVE_MARGIN_S = 0.5
"""How long before the worker's announced keep-alive timeout a connection is no longer reused.
Workers announce whole seconds, so the real timeout may be shorter."""

DEFAULT_KEEP_ALIVE_S = 0.3
"""Keep-alive timeout assumed for workers that announce none. Since less than one second cannot be
announced, theirs is taken to be shorter than that."""


MAX_UNFINISHED_IDS = 64
"""Requests to be tried again that one connection may have answered, before it is closed."""


class ClosedOnAccept(ConnectFailed):
    """A connection was accepted, and closed or reset before any data was exchanged."""


class WorkerConnections:
    """Opens connections to workers and keeps idle ones for reuse."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}
        self._timeout = AdaptiveTimeout(
            MIN_CONNECT_TIMEOUT_S, MAX_CONNECT_TIMEOUT_S, CONNECT_TIMEOUT_FACTOR
        )
        self._idle_limit = IdleLimit()
        self.pauses = ProcessPauses()
        self.reply_budget = ReplyBudget()

    async def check_reachable(self, worker: Worker) -> None:
        """Raise ``ConnectFailed`` unless ``worker`` accepts a connection.

        The result is recorded in the worker's state and so affects routing, unlike :meth:`probe`.
        """
        connection = await self._open(worker)
        connection.close()

    async def probe(self, worker: Worker) -> None:
        """Raise ``ConnectFailed`` unless ``worker`` accepts a connection and keeps it open.

        The result does not affect routing, because a full worker may also close connections and
        must not be avoided by all daemons for that. Raises ``ClosedOnAccept`` if the connection
        was accepted and closed at once: the listener may be a port forwarder whose worker is gone.
        """
        record = worker.record
        try:
            connection = await connect(record.host, record.port, self._timeout.value_s)
        except ConnectFailed as error:
            if error.reset:
                raise ClosedOnAccept("reset while it was opened") from None
            raise
        try:
            await asyncio.sleep(TURNED_AWAY_S)
            if not connection.open:
                raise ClosedOnAccept("accepted and closed at once")
        finally:
            connection.close()

    async def acquire(
        self, worker: Worker, *, request_id: str, repeatable: bool
    ) -> ClientConnection:
        """Return a pooled or new connection to ``worker``. Raises ``ConnectFailed``.

        A request that is not ``repeatable`` gets a pooled connection only if the worker was heard
        from recently; none gets one on which an earlier attempt at it was answered.
        """
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        pooled = self._take_pooled(worker, request_id, now_s, repeatable)
        if pooled is not None:
            return pooled
        return await self._open(worker)

    async def _open(self, worker: Worker) -> ClientConnection:
        loop = asyncio.get_running_loop()
        try:
            started_at_s = loop.time()
            connection = await connect(
                worker.record.host, worker.record.port, self._timeout.value_s
            )
            self._timeout.note(loop.time() - started_at_s)
        except ConnectFailed:
            worker.note_connect_failed(loop.time())
            raise
        worker.note_connected(loop.time())
        return connection

    def release(
        self,
        worker: Worker,
        connection: ClientConnection,
        max_idle_connections: int,
        *,
        unfinished_id: str | None = None,
    ) -> None:
        """Return a connection to the pool, which keeps at most ``max_idle_connections`` per worker.

        A connection that cannot carry another request is closed. ``unfinished_id`` is the id of the
        request that it carried, unless that has got its final answer.
        """
        # Contact includes the accepting of a connection; data is only what the worker sent itself.
        worker.last_contact_s = max(worker.last_contact_s, connection.last_received_at_s)
        worker.last_data_s = max(worker.last_data_s, connection.last_bytes_at_s)
        if not connection.end_exchange():
            return
        if unfinished_id is not None:
            connection.unfinished_ids.add(unfinished_id)
        idle = self._idle.setdefault(worker.incarnation, [])
        is_worn = len(connection.unfinished_ids) > MAX_UNFINISHED_IDS
        if is_worn or len(idle) >= max_idle_connections:
            connection.close()
        else:
            idle.append(connection)

    def sweep(self, listed_incarnations: set[str], now_s: float) -> None:
        """Close connections that were idle too long or whose worker process is gone.

        ``listed_incarnations`` holds the incarnations of all workers in the directory.
        """
        for incarnation, idle in list(self._idle.items()):
            still_idle = []
            for connection in idle:
                usable = connection.open and self._within_idle_limit(connection, now_s)
                if usable and incarnation in listed_incarnations:
                    still_idle.append(connection)
                else:
                    connection.close()
            if still_idle:
                self._idle[incarnation] = still_idle
            else:
                del self._idle[incarnation]

    def note_broken(self, connection: ClientConnection) -> None:
        """Lower the idle limit if the worker had dropped an idle connection without notice."""
        now_s = asyncio.get_running_loop().time()
        if connection.was_forgotten(now_s, self._timeout.usual_s):
            self._idle_limit.note_reset(connection.idle_s(now_s), now_s)

    def _within_idle_limit(self, connection: ClientConnection, now_s: float) -> bool:
        """Return whether the peer is not expected to have begun closing the idle connection."""
        if connection.keep_alive_s is None:
            max_idle_time_s = DEFAULT_KEEP_ALIVE_S
        else:
            max_idle_time_s = connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
        return connection.idle_s(now_s) < min(max_idle_time_s, self._idle_limit.value_s(now_s))

    def _take_pooled(
        self, worker: Worker, request_id: str, now_s: float, repeatable: bool
    ) -> ClientConnection | None:
        idle = self._idle.get(worker.incarnation, [])
        last_contact_s = worker.last_contact_s
        for connection in reversed(idle[:]):
            if request_id in connection.unfinished_ids:
                continue
            idle.remove(connection)
            last_contact_s = max(last_contact_s, connection.last_received_at_s)
            usable = connection.open and self._within_idle_limit(connection, now_s)
            if usable and (repeatable or now_s - last_contact_s <= MAX_WORKER_SILENCE_S):
                return connection
            connection.close()
        return None
