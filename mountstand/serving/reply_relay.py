"""Reads a worker's answer and passes it on to the caller, as it comes or once it is whole."""

from __future__ import annotations

import asyncio

from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.configuration import Route
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.events import EventSplitter, StreamEvent
from mountstand.serving.exchange import Exchange, Outcome, WorkerSilent
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import ReplyKind, WorkerProtocol
from mountstand.serving.workers import WorkerDirectory
from mountstand.transport.http_client import ClientConnection, ConnectFailed, ReplyHead

WHOLE_ANSWER_BYTES = 512 * 1024
"""Answers up to this size are held until they are whole, so that a broken one can be retried."""

SUSPICION_S = 0.5
"""Silence of a worker after which it is checked by a new connection."""

STALL_GAPS = 2.0
"""A resumable stream is resumed elsewhere after so many of the longest pauses that are in time."""

HANG_S = 1.5
"""A worker that says nothing for so long counts as failing, while it is waited for. Full workers
refuse sooner, and what all of a service do alike ejects none."""

EVENT_STREAM = "text/event-stream"


class ReplyRelay:
    """Passes the answers of one attempt after the other on."""

    def __init__(
        self,
        directory: WorkerDirectory,
        connections: WorkerConnections,
        protocol: WorkerProtocol,
        batch_scheduler: BatchScheduler,
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._protocol = protocol
        self._batch_scheduler = batch_scheduler

    async def run(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection
    ) -> Outcome:
        """Pass the answer to a request that was sent on; returns how the attempt ended.

        Raises ``ReplyBroken`` and ``WorkerSilent``.
        """
        head = await self._read_head(exchange, worker, connection)
        now_s = asyncio.get_running_loop().time()
        worker.note_reply(now_s)
        reply_summary = self._protocol.reply_summary(head)
        if reply_summary.load is not None:
            exchange.load = reply_summary.load
            worker.note_load(reply_summary.load, now_s)
            self._batch_scheduler.preempt_for_online(worker, now_s)
        if reply_summary.kind is not ReplyKind.ANSWERED:
            exchange.runs -= 1
            return self._note_refusal(exchange, worker, reply_summary.kind, now_s)
        content_type = (head.headers.get("content-type") or "").lower()
        if head.status == 200 and content_type.startswith(EVENT_STREAM):
            return await self._relay_stream(exchange, worker, connection, head)
        if exchange.responder.started:
            exchange.cause = f"status {head.status} on resuming"
            return Outcome.BROKEN_MIDWAY
        return await self._relay_whole(exchange, connection, head)

    async def _read_head(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection
    ) -> ReplyHead:
        loop = asyncio.get_running_loop()
        counted = False
        while True:
            try:
                async with asyncio.timeout(SUSPICION_S):
                    return await connection.read_head()
            except TimeoutError:
                if not counted and loop.time() - exchange.sent_at_s > HANG_S:
                    counted = True
                    worker.health.own.add(loop.time(), failed=True)
                if exchange.route.repeatable:
                    await self._check_alive(worker)

    async def _check_alive(self, worker: Worker) -> None:
        """Check a silent worker. Raises ``WorkerSilent`` if it accepts no connection either."""
        loop = asyncio.get_running_loop()
        if loop.time() - worker.last_contact_s < SUSPICION_S:
            return
        try:
            await self._connections.check(worker)
        except ConnectFailed:
            raise WorkerSilent("silent and unreachable") from None

    def _note_refusal(
        self, exchange: Exchange, worker: Worker, kind: ReplyKind, now_s: float
    ) -> Outcome:
        if kind is ReplyKind.OTHER_WORKER:
            exchange.cause = "another worker at the address"
            self._directory.forget(worker)
            return Outcome.OTHER_WORKER
        exchange.cause = "worker full"
        worker.note_overloaded(now_s)
        return Outcome.NOT_RUN

    async def _relay_whole(
        self, exchange: Exchange, connection: ClientConnection, head: ReplyHead
    ) -> Outcome:
        """Pass on an answer that is no event stream; a small one only once it is whole."""
        responder = exchange.responder
        pieces: list[bytes] = []
        held_bytes = 0
        while (piece := await connection.read_piece()) is not None:
            if responder.started:
                responder.write(piece)
                await responder.drain()
                continue
            pieces.append(piece)
            held_bytes += len(piece)
            if held_bytes > WHOLE_ANSWER_BYTES:
                responder.start(head.status, head.headers.end_to_end(), head.length)
                responder.write(b"".join(pieces))
        if head.status >= 500 and exchange.may_run_again:
            exchange.cause = f"status {head.status}"
            return Outcome.FAILED
        if responder.started:
            responder.finish()
        else:
            responder.send(head.status, head.headers.end_to_end(), b"".join(pieces))
        return Outcome.DELIVERED

    async def _relay_stream(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection, head: ReplyHead
    ) -> Outcome:
        """Pass whole events on as they come; a stream resumed here keeps its first head."""
        responder = exchange.responder
        splitter = EventSplitter()
        stall_s = self._stall_limit_s(exchange.route)
        if not responder.started:
            responder.start(head.status, head.headers.end_to_end(), head.length)
        while True:
            piece = await self._read_event_bytes(worker, connection, stall_s)
            if piece is None:
                break
            events = splitter.feed(piece)
            if events:
                await self._pass_on(exchange, events)
        if splitter.partial:
            exchange.cause = "ended within an event"
            return Outcome.BROKEN_MIDWAY
        responder.finish()
        return Outcome.DELIVERED

    async def _read_event_bytes(
        self, worker: Worker, connection: ClientConnection, stall_s: float | None
    ) -> bytes | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(stall_s):
                piece = await connection.read_piece()
        except TimeoutError:
            worker.note_overloaded(loop.time())
            raise WorkerSilent("stalled between events") from None
        worker.last_data_s = loop.time()
        return piece

    async def _pass_on(self, exchange: Exchange, events: list[StreamEvent]) -> None:
        for event in events:
            if event.event_id is not None:
                exchange.last_event_id = event.event_id
        exchange.end_reading()
        if exchange.first_event_at_s is None:
            exchange.first_event_at_s = asyncio.get_running_loop().time()
        exchange.responder.write(b"".join(event.raw for event in events))
        await exchange.responder.drain()

    def _stall_limit_s(self, route: Route) -> float | None:
        if not route.resumable or route.event_gap_s is None:
            return None
        return max(SUSPICION_S, route.event_gap_s * STALL_GAPS)
