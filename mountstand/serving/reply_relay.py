"""Reads a worker's reply and relays it to the caller, streamed or buffered."""

from __future__ import annotations

import asyncio

from mountstand.quarantine.service import RequestQuarantine
from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.configuration import Route
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.events import EventSplitter, StreamEvent
from mountstand.serving.exchange import Exchange, Outcome, WorkerUnresponsive
from mountstand.serving.reply_budget import HeldReply
from mountstand.serving.stream_ends import outlived_by_worker
from mountstand.serving.stream_versions import StreamVersions
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import ReplyKind, WorkerProtocol
from mountstand.serving.workers import WorkerDirectory
from mountstand.transport.http_client import (
    ClientConnection,
    ConnectFailed,
    ReplyBroken,
    ReplyHead,
)

MAX_BUFFERED_REPLY_BYTES = 512 * 1024
"""Replies up to this size are buffered until complete, so that a broken one can be retried."""

SILENCE_BEFORE_CHECK_S = 0.5
"""How long a worker may be silent before it is checked with a new connection. Also the shortest
stall timeout of streams."""

STALL_TIMEOUT_FACTOR = 2.0
"""A resumable stream is resumed at another worker after a pause of this many times the route's
``event_gap_s``, the longest expected pause between events, but not before
``SILENCE_BEFORE_CHECK_S``."""

SLOW_HEAD_THRESHOLD_S = 1.5
"""Time without a reply head after which a failure is counted in the worker's health statistics;
the request keeps waiting. Full workers refuse sooner. A delay common to all workers of a service
ejects none, since ejection compares workers with each other."""

EVENT_STREAM = "text/event-stream"


class ReplyRelay:
    """Relays the reply of each attempt from its worker to the caller."""

    def __init__(
        self,
        directory: WorkerDirectory,
        connections: WorkerConnections,
        protocol: WorkerProtocol,
        batch_scheduler: BatchScheduler,
        quarantine: RequestQuarantine,
        stream_versions: StreamVersions,
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._budget = connections.reply_budget
        self._protocol = protocol
        self._batch_scheduler = batch_scheduler
        self._quarantine = quarantine
        self._stream_versions = stream_versions

    async def run(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection
    ) -> Outcome:
        """Relay the reply to a request that was sent, and return how the attempt ended.

        Raises ``ReplyBroken`` and ``WorkerUnresponsive``.
        """
        head = await self._read_head(exchange, worker, connection)
        now_s = asyncio.get_running_loop().time()
        worker.note_reply(now_s)
        summary = self._protocol.reply_summary(head)
        if summary.load is not None:
            exchange.reported_load = summary.load
            worker.note_load(summary.load, now_s)
            self._batch_scheduler.preempt_for_online(worker, now_s)
        if summary.kind is not ReplyKind.ANSWERED:
            # A refused request did not run, so it is not counted as a run after all.
            exchange.runs -= 1
            return self._handle_refusal(exchange, worker, summary.kind, now_s)
        content_type = (head.headers.get("content-type") or "").lower()
        if head.status == 200 and content_type.startswith(EVENT_STREAM):
            return await self._relay_stream(exchange, worker, connection, head)
        if exchange.responder.started:
            exchange.cause = f"status {head.status} on resuming"
            return Outcome.BROKEN_MIDWAY
        return await self._relay_body(exchange, worker, connection, head)

    async def _read_head(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection
    ) -> ReplyHead:
        """Wait for the reply head. Checks a silent worker if the request is repeatable."""
        loop = asyncio.get_running_loop()
        failure_counted = False
        while True:
            try:
                async with asyncio.timeout(SILENCE_BEFORE_CHECK_S):
                    return await connection.read_head()
            except TimeoutError:
                if not failure_counted and loop.time() - exchange.sent_at_s > SLOW_HEAD_THRESHOLD_S:
                    failure_counted = True
                    worker.health.own.add(loop.time(), failed=True)
                if exchange.route.repeatable:
                    await self._check_silent_worker(worker)

    async def _check_silent_worker(self, worker: Worker) -> None:
        """Raise ``WorkerUnresponsive`` if a silent worker accepts no new connection either.

        Skips the check if there was contact with the worker, on any connection, within
        ``SILENCE_BEFORE_CHECK_S``.
        """
        loop = asyncio.get_running_loop()
        if loop.time() - worker.last_contact_s < SILENCE_BEFORE_CHECK_S:
            return
        try:
            await self._connections.check_reachable(worker)
        except ConnectFailed:
            raise WorkerUnresponsive("silent and unreachable") from None

    def _handle_refusal(
        self, exchange: Exchange, worker: Worker, kind: ReplyKind, now_s: float
    ) -> Outcome:
        if kind is ReplyKind.OTHER_WORKER:
            exchange.cause = "another worker at the address"
            self._directory.forget(worker)
            return Outcome.OTHER_WORKER
        exchange.cause = "worker full"
        exchange.refusing_worker_ids.add(worker.record.worker_id)
        worker.note_overloaded(now_s)
        return Outcome.NOT_RUN

    async def _relay_body(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection, head: ReplyHead
    ) -> Outcome:
        """Relay a reply that is not an event stream.

        A reply larger than ``MAX_BUFFERED_REPLY_BYTES``, or a large one while memory is short, is
        relayed before it is complete. Raises ``ReplyBroken`` for one without a length that may have
        ended with its worker.
        """
        responder = exchange.responder
        may_run_again = head.status >= 500 and exchange.may_run_again
        buffered = bytearray()
        with self._budget.holding() as held:
            while (piece := await connection.read_piece()) is not None:
                if responder.started:
                    responder.write(piece)
                    await responder.drain()
                    continue
                buffered += piece
                held.set(len(buffered))
                if len(buffered) > MAX_BUFFERED_REPLY_BYTES or held.is_too_large:
                    if may_run_again:
                        # Nothing of it may reach the caller before another worker's reply.
                        break
                    responder.start(head.status, head.headers.end_to_end(), head.length)
                    responder.write(bytes(buffered))
                    buffered.clear()
                    held.set(0)
        if may_run_again:
            exchange.cause = f"status {head.status}"
            return Outcome.FAILED
        if head.ends_with_connection and not await outlived_by_worker(
            self._connections, worker, connection
        ):
            raise ReplyBroken("ended with its worker")
        if responder.started:
            responder.finish()
        else:
            responder.send(head.status, head.headers.end_to_end(), bytes(buffered))
        return Outcome.DELIVERED

    async def _relay_stream(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection, head: ReplyHead
    ) -> Outcome:
        """Relay complete events as they arrive.

        The caller of a resumed stream keeps the head that the first worker sent.
        """
        responder = exchange.responder
        splitter = EventSplitter()
        stall_timeout_s = self._stall_timeout_s(exchange.route)
        if not responder.started:
            # Another run that goes on with the stream may write more or less than this one.
            length = None if exchange.route.resumable else head.length
            responder.start(head.status, head.headers.end_to_end(), length)
        with self._budget.holding() as held:
            while event_count := await self._relay_next_events(
                exchange, worker, connection, splitter, held, stall_timeout_s
            ):
                await responder.drain()
                await self._budget.give_way(event_count)
        if splitter.partial_bytes:
            exchange.cause = "ended within an event"
            self._note_broken(exchange, worker)
            return Outcome.BROKEN_MIDWAY
        if head.ends_with_connection and not await outlived_by_worker(
            self._connections, worker, connection
        ):
            exchange.cause = "ended with its worker"
            self._note_broken(exchange, worker)
            # A crash counts before the request may run again.
            await self._quarantine.wait_until_checked(worker)
            return Outcome.BROKEN_MIDWAY
        responder.finish()
        return Outcome.DELIVERED

    def _note_broken(self, exchange: Exchange, worker: Worker) -> None:
        self._quarantine.note_broken(
            worker, exchange.call, exchange.sent_at_s, exchange.writing_since_s
        )

    async def _relay_next_events(
        self,
        exchange: Exchange,
        worker: Worker,
        connection: ClientConnection,
        splitter: EventSplitter,
        held: HeldReply,
        stall_timeout_s: float | None,
    ) -> int:
        """Read until some events are complete, and write them; return how many, 0 at the end."""
        events = await self._read_events(worker, connection, splitter, held, stall_timeout_s)
        if events:
            self._bind_stream(exchange, worker)
            self._write_events(exchange, events)
        return len(events)

    async def _read_events(
        self,
        worker: Worker,
        connection: ClientConnection,
        splitter: EventSplitter,
        held: HeldReply,
        stall_timeout_s: float | None,
    ) -> list[StreamEvent]:
        """Read until an event is complete; return no events at the end of the stream.

        Raises ``WorkerUnresponsive`` if no event is complete within ``stall_timeout_s``, and
        ``ReplyBroken`` for a large event while memory is short.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(stall_timeout_s):
                while (piece := await connection.read_piece()) is not None:
                    worker.last_data_s = max(worker.last_data_s, connection.last_bytes_at_s)
                    events = splitter.feed(piece)
                    held.set(splitter.partial_bytes)
                    if events:
                        return events
                    if held.is_too_large:
                        raise ReplyBroken("no memory for a large event")
                return []
        except TimeoutError:
            # A stalled worker gets no new requests for a moment, like one that is full.
            worker.note_overloaded(loop.time())
            raise WorkerUnresponsive("stalled between events") from None

    def _bind_stream(self, exchange: Exchange, worker: Worker) -> None:
        """Bind a resumable stream to the software of its first event's worker.

        Other daemons are told before the caller gets the event, so that they know the stream when
        the caller takes it up there.
        """
        if exchange.route.resumable and exchange.software_key is None:
            exchange.software_key = worker.software_key
            self._stream_versions.note_begun(exchange.call.request_id, worker.software_key)

    def _write_events(self, exchange: Exchange, events: list[StreamEvent]) -> None:
        for event in events:
            if event.is_comment:
                continue
            exchange.last_event_has_id = event.event_id is not None
            if event.event_id is not None:
                exchange.last_event_id = event.event_id
        exchange.end_pending_prefill()
        now_s = asyncio.get_running_loop().time()
        if exchange.first_event_at_s is None:
            exchange.first_event_at_s = now_s
        if exchange.writing_since_s is None:
            exchange.writing_since_s = now_s
        self._quarantine.note_writing(
            exchange.call, exchange.writing_since_s, resumed=exchange.has_gone_on
        )
        exchange.responder.write(b"".join(event.raw for event in events))

    def _stall_timeout_s(self, route: Route) -> float | None:
        """Return the longest allowed time without data, or ``None`` if there is no limit."""
        if not route.resumable or route.event_gap_s is None:
            return None
        return max(SILENCE_BEFORE_CHECK_S, route.event_gap_s * STALL_TIMEOUT_FACTOR)
