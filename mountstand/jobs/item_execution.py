"""Runs one batch item at a worker and collects its output."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from mountstand.hashing import content_name
from mountstand.jobs.model import ItemResult, ItemState, JobItem
from mountstand.jobs.repository import JobRepository
from mountstand.quarantine.service import RequestQuarantine
from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.configuration import Configuration, Route, WeightedServiceChooser
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.events import EventSplitter
from mountstand.serving.worker import PendingPrefill, Worker
from mountstand.serving.worker_protocol import Call, ReplyKind, WorkerProtocol
from mountstand.serving.workers import WorkerDirectory
from mountstand.telemetry.decisions import DecisionLog, milliseconds
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.http_client import ClientConnection, ConnectFailed, ReplyBroken

STALL_S = 2.0
"""An item whose stream says nothing for so long is resumed at another worker."""

FIRST_EVENT_S = 6.0
"""An item that gets no answer for so long is put to another worker."""

FAILED_STATUS = 500
"""A worker ran a request and failed; only these answers use up attempts."""

UNDOABLE_STATUS = 422
"""A worker says that a request can never be done."""


@dataclass
class ItemProgress:
    """What there is of one item's output."""

    index: int
    item: JobItem
    texts: list[str] = field(default_factory=list)
    last_event_id: int | None = None
    failures: int = 0
    preempted: bool = False
    connection: ClientConnection | None = None
    call: Call | None = None
    """The request as workers get it, made once, since hashing its content reads the whole body."""

    saved_event_id: int | None = None
    ran_s: float = 0.0
    """How long attempts that this daemon made ran at workers."""

    held_back: bool = False
    """Whether it was told that the item crashes workers and waits."""

    restored: bool = False
    """Whether another process ran the first part."""

    sent_at_s: float | None = None
    first_event_at_s: float | None = None
    """When the present attempt was sent and when its answer began, on the loop's clock."""

    def preempt(self) -> None:
        """Close the item's stream, since online work needs the slot."""
        self.preempted = True
        if self.connection is not None:
            self.connection.close()


@dataclass(frozen=True)
class RunnerContext:
    """What all runners of a daemon share."""

    repository: JobRepository
    directory: WorkerDirectory
    connections: WorkerConnections
    protocol: WorkerProtocol
    service_chooser: WeightedServiceChooser
    batch_scheduler: BatchScheduler
    quarantine: RequestQuarantine
    metrics: ServingMetrics
    log: DecisionLog
    configuration: Callable[[], Configuration | None]
    store_age_s: Callable[[], float]
    store_now_ms: Callable[[], int]
    max_store_age_s: Callable[[], float]


class ItemExecutor:
    """Puts the items of one job to workers."""

    def __init__(self, context: RunnerContext, job_id: str, host: str, tenant: str = "") -> None:
        self._context = context
        self._job_id = job_id
        self._host = host
        self._tenant = tenant

    async def attempt(
        self, progress: ItemProgress, route: Route, worker: Worker
    ) -> ItemResult | None:
        """Make one attempt; returns the item's end, or ``None`` if it must be tried again."""
        with self._context.quarantine.running(self._call(progress), worker):
            result = await self._attempt(progress, route, worker)
        if result is None and progress.sent_at_s is not None:
            await self._context.quarantine.wait_until_checked(worker)
        return result

    async def _attempt(
        self, progress: ItemProgress, route: Route, worker: Worker
    ) -> ItemResult | None:
        progress.sent_at_s = progress.first_event_at_s = None
        reading = PendingPrefill(worker, progress.item.prompt)
        try:
            progress.connection = await self._context.connections.acquire(worker, repeatable=True)
            if progress.preempted:
                return None
            return await self._exchange(progress, route, worker, progress.connection, reading)
        except (ConnectFailed, ReplyBroken, TimeoutError) as problem:
            cause = "preempted" if progress.preempted else str(problem) or "silent"
            if isinstance(problem, ReplyBroken) and progress.connection is not None:
                self._context.connections.note_broken(progress.connection)
            if not isinstance(problem, ConnectFailed) and not progress.preempted:
                self._note_broken(progress, worker)
            self._log_attempt(progress, worker, cause)
            return None
        finally:
            reading.end()
            if progress.connection is not None:
                self._context.connections.release(worker, progress.connection, 1)
                progress.connection = None

    async def _exchange(
        self,
        progress: ItemProgress,
        route: Route,
        worker: Worker,
        connection: ClientConnection,
        reading: PendingPrefill,
    ) -> ItemResult | None:
        context = self._context
        loop = asyncio.get_running_loop()
        call = self._call(progress)
        if not worker.admit_send(loop.time()):
            self._log_attempt(progress, worker, "worker cold")
            context.metrics.send_withheld()
            return None
        headers = context.protocol.request_headers(call, worker, None, progress.last_event_id)
        connection.send(
            call.method,
            call.target,
            headers,
            call.body,
            lambda reply: context.protocol.is_reply_to(call, reply),
        )
        progress.sent_at_s = loop.time()
        async with asyncio.timeout(FIRST_EVENT_S):
            head = await connection.read_head()
        reading.end()
        worker.note_reply(loop.time())
        reply_summary = context.protocol.reply_summary(head)
        if reply_summary.load is not None:
            worker.note_load(reply_summary.load, loop.time())
        if reply_summary.kind is ReplyKind.OTHER_WORKER:
            context.directory.forget(worker)
            return None
        if reply_summary.kind is ReplyKind.NOT_RUN:
            worker.note_overloaded(loop.time())
            return None
        if head.status != 200:
            return self._note_failure(progress, route, worker, head.status)
        began_s = loop.time()
        progress.first_event_at_s = began_s
        try:
            await self._collect(progress, worker, connection)
        finally:
            progress.ran_s += loop.time() - began_s
        worker.health.own.add(loop.time(), failed=False)
        context.quarantine.note_served(call)
        if not progress.restored:
            context.batch_scheduler.durations.observe(worker.record.service, progress.ran_s)
        self._log(
            "item_completed",
            item=progress.item.item_id,
            worker=worker.record.worker_id,
            **self._run_times(progress),
        )
        return ItemResult(
            progress.index,
            progress.item.item_id,
            ItemState.COMPLETED,
            "\n".join(progress.texts),
        )

    async def _collect(
        self, progress: ItemProgress, worker: Worker, connection: ClientConnection
    ) -> None:
        """Collect whole events until the stream's end. Raises ``ReplyBroken``."""
        splitter = EventSplitter()
        loop = asyncio.get_running_loop()
        while True:
            async with asyncio.timeout(STALL_S):
                piece = await connection.read_piece()
            if piece is None:
                break
            worker.last_contact_s = worker.last_data_s = loop.time()
            for event in splitter.feed(piece):
                progress.texts.append(event.data.decode("utf-8", "replace"))
                progress.last_event_id = event.event_id
        if splitter.partial:
            raise ReplyBroken("ended within an event")

    def _note_broken(self, progress: ItemProgress, worker: Worker) -> None:
        """Count an attempt that broke or fell silent against its worker, and suspect the item."""
        if progress.sent_at_s is not None:
            call = self._call(progress)
            self._context.quarantine.note_broken(worker, call, progress.sent_at_s)
        worker.health.own.add(asyncio.get_running_loop().time(), failed=True)

    def _note_failure(
        self, progress: ItemProgress, route: Route, worker: Worker, status: int
    ) -> ItemResult | None:
        self._log_attempt(progress, worker, f"status {status}")
        if status == UNDOABLE_STATUS:
            return self.given_up(progress, "cannot be done", route.name)
        if status == FAILED_STATUS:
            progress.failures += 1
            worker.health.own.add(asyncio.get_running_loop().time(), failed=True)
        if progress.failures >= route.max_attempts:
            return self.given_up(progress, "attempts used up", route.name)
        return None

    def blocked_for_s(self, progress: ItemProgress) -> float:
        """Return for how long an item may not be sent to workers, 0 if it may be."""
        return self._context.quarantine.blocked_for_s(self._call(progress))

    def allows(self, progress: ItemProgress, worker: Worker) -> bool:
        """Return whether an item may run at a worker beside other suspects that run there."""
        return self._context.quarantine.allows(self._call(progress), worker)

    def given_up(self, progress: ItemProgress, cause: str, route: str) -> ItemResult:
        """Return the end of an item that is given up."""
        self._log("item_given_up", item=progress.item.item_id, cause=cause, route=route)
        return ItemResult(progress.index, progress.item.item_id, ItemState.FAILED, "")

    def _call(self, progress: ItemProgress) -> Call:
        if progress.call is None:
            item = progress.item
            progress.call = Call(
                request_id=item.item_id,
                host=self._host,
                method="POST",
                target=item.target,
                headers=item.headers,
                body=item.body,
                prompt=item.prompt,
                tenant=self._tenant,
            )
        return progress.call

    def _log_attempt(self, progress: ItemProgress, worker: Worker, cause: str) -> None:
        self._log(
            "item_attempt_failed",
            item=progress.item.item_id,
            worker=worker.record.worker_id,
            cause=cause,
            content=content_name(self._call(progress).content_key),
            failures=progress.failures,
            last_event=progress.last_event_id,
            in_flight=worker.in_flight,
            load=worker.load.total if worker.load else None,
            **self._run_times(progress),
        )

    def _run_times(self, progress: ItemProgress) -> dict[str, float | int | None]:
        """Return what a line tells of the present attempt's times and of the item's prompt."""
        now_s = asyncio.get_running_loop().time()
        sent_s, first_s = progress.sent_at_s, progress.first_event_at_s
        prompt = progress.item.prompt
        return {
            "read_ms": milliseconds(first_s - sent_s) if first_s and sent_s else None,
            "ms": milliseconds(now_s - sent_s) if sent_s else None,
            "ran_ms": milliseconds(progress.ran_s),
            "shared_tokens": prompt.shared_tokens,
            "own_tokens": prompt.own_tokens,
        }

    def _log(self, event: str, **fields: object) -> None:
        self._context.log.event(event, job=self._job_id, **fields)
