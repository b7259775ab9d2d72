"""Sends batch items to workers and collects their output."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from mountstand.hashing import content_name
from mountstand.jobs.model import ItemResult, ItemState, JobItem
from mountstand.jobs.repository import JobRepository
from mountstand.quarantine.service import RequestQuarantine
from mountstand.quarantine.workload import Workload
from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.configuration import Configuration, Route, WeightedServiceChooser
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.events import EventSplitter, StreamEvent
from mountstand.serving.stream_ends import outlived_by_worker
from mountstand.serving.worker import PendingPrefill, Worker
from mountstand.serving.worker_protocol import Call, ReplyKind, WorkerProtocol
from mountstand.serving.workers import WorkerDirectory
from mountstand.telemetry.decisions import DecisionLog, milliseconds
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.http_client import ClientConnection, ConnectFailed, ReplyBroken

STREAM_STALL_TIMEOUT_S = 2.0
"""Maximum gap between two events of a response stream, after which the attempt fails."""

MAX_OUTPUT_BYTES = 4 * 1024 * 1024
"""Bytes of events in one attempt, beyond which they are taken for garbage and dropped. Results are
read in pages of about a megabyte."""

MAX_OUTPUT_EVENTS = 50_000
"""Events in one attempt, beyond which they are taken for garbage as well."""

RESPONSE_HEAD_TIMEOUT_S = 6.0
"""Maximum wait for a response head, after which the attempt fails."""

WORKER_ERROR_STATUS = 500
"""The worker ran the request and failed. Only this status counts towards ``max_attempts``."""

UNPROCESSABLE_STATUS = 422
"""The worker can never process this request, so the item fails without a retry."""


class WaitCause(Enum):
    """Why an item that is not running has not been sent to a worker; the values are logged."""

    CONFIGURATION = "no configuration"
    QUARANTINE = "quarantine"
    OTHER_SUSPECTS = "other suspects"
    SLOT = "slot"
    STORE_VIEW = "store view too old"
    TERMS_CHANGED = "route or tenant changed"
    SAVING = "failure not saved"
    RETRY = "retry"


@dataclass
class ItemProgress:
    """One item's output so far and the state of its current attempt."""

    index: int
    item: JobItem
    texts: list[str] = field(default_factory=list)
    last_event_id: int | None = None
    """ID of the last complete event, after which the next attempt resumes; ``None`` if it has none
    or there is no output."""

    software_key: int | None = None
    """The software that wrote the output so far, ``None`` if there is none."""

    failures: int = 0
    """Number of ``WORKER_ERROR_STATUS`` responses; broken streams do not count."""

    preempted: bool = False
    """Whether the latest attempt was preempted; reset before the next attempt."""

    connection: ClientConnection | None = None
    call: Call | None = None
    """The request to workers, cached because hashing its content reads the whole body."""

    saved_event_id: int | None = None
    """ID of the last event that was saved to the store."""

    saved_failures: int = 0
    """The number of failures that was saved to the store."""

    run_time_s: float = 0.0
    """Total time that this daemon's attempts at the item spent reading response bodies."""

    block_logged: bool = False
    """Whether ``item_held_back`` was logged since the latest attempt."""

    wait_cause: WaitCause | None = None
    """Why the item waits, ``None`` during an attempt."""

    idle_since_s: float = 0.0
    """When the latest attempt ended, or the item was loaded, in event loop time."""

    restored_from_store: bool = False
    """Whether the first part of the output comes from another process's saved progress."""

    resumed_after_id: int | None = None
    """The event after which the current attempt resumes, ``None`` if it begins anew."""

    sent_at_s: float | None = None
    """When the current attempt sent its request, in event loop time; ``None`` if no worker took it.
    """

    writing_since_s: float | None = None
    """When the first event of the current attempt came, in event loop time."""

    head_received_at_s: float | None = None
    """When the current attempt received a response head with status 200, in event loop time."""

    @property
    def has_unsaved_failures(self) -> bool:
        """Whether the next owner of the job would not know of all failures."""
        return self.failures != self.saved_failures

    @property
    def has_unsaved_progress(self) -> bool:
        """Whether failures, or output that can be continued, are not saved."""
        has_output = self.last_event_id is not None
        return self.has_unsaved_failures or (
            has_output and self.last_event_id != self.saved_event_id
        )

    def truncate(self, event_count: int, last_event_id: int | None) -> None:
        """Drop the output after the first ``event_count`` events."""
        del self.texts[event_count:]
        self.last_event_id = last_event_id

    def restart(self) -> None:
        """Drop the whole output, so that any software may begin the item anew."""
        self.truncate(0, None)
        self.saved_event_id = None
        self.software_key = None

    def preempt(self) -> None:
        """Close the item's connection to free its slot for online requests."""
        self.preempted = True
        if self.connection is not None:
            self.connection.close()


@dataclass(frozen=True)
class RunnerContext:
    """Services and state shared by all job runners of a daemon.

    ``store_age_s`` returns the age of this daemon's view of the store. Items start only while it is
    at most ``max_store_age_s``.
    """

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
    """Runs the items of one job at workers."""

    def __init__(self, context: RunnerContext, job_id: str, host: str, tenant: str = "") -> None:
        self._context = context
        self._job_id = job_id
        self._host = host
        self._tenant = tenant

    async def attempt(
        self, progress: ItemProgress, route: Route, worker: Worker
    ) -> ItemResult | None:
        """Make one attempt; return the final result, or ``None`` if the item must be retried.

        The item begins anew if other software than the worker's wrote its output so far, or if no
        run can go on after its last event.
        """
        has_other_software = progress.software_key not in (None, worker.software_key)
        if has_other_software or (progress.texts and progress.last_event_id is None):
            self._restart(progress, worker)
        with self._context.quarantine.running(self._call(progress), worker) as trials:
            result = await self._attempt(progress, route, worker)
        if result is not None:
            return result
        if progress.sent_at_s is None:
            trials.note_not_run()
        else:
            await self._context.quarantine.wait_until_checked(worker)
        return None

    def _restart(self, progress: ItemProgress, worker: Worker) -> None:
        self._log(
            "item_restarted",
            item=progress.item.item_id,
            worker=worker.record.worker_id,
            software=worker.record.software_version,
            events=len(progress.texts),
        )
        progress.restart()

    async def _attempt(
        self, progress: ItemProgress, route: Route, worker: Worker
    ) -> ItemResult | None:
        progress.sent_at_s = progress.head_received_at_s = progress.writing_since_s = None
        pending_prefill = PendingPrefill(worker, progress.item.prompt)
        item_id = progress.item.item_id
        result: ItemResult | None = None
        try:
            progress.connection = await self._context.connections.acquire(
                worker, request_id=item_id, repeatable=True
            )
            if progress.preempted:
                return None
            result = await self._exchange(
                progress, route, worker, progress.connection, pending_prefill
            )
            return result
        except (ConnectFailed, ReplyBroken, TimeoutError) as error:
            # A TimeoutError has no text.
            cause = "preempted" if progress.preempted else str(error) or "silent"
            if isinstance(error, ReplyBroken) and progress.connection is not None:
                self._context.connections.note_broken(progress.connection)
            if not isinstance(error, ConnectFailed) and not progress.preempted:
                self._record_broken_attempt(progress, worker)
            self._log_failed_attempt(progress, worker, cause)
            return None
        finally:
            pending_prefill.end()
            if progress.connection is not None:
                self._context.connections.release(
                    worker,
                    progress.connection,
                    1,
                    unfinished_id=None if result is not None else item_id,
                )
                progress.connection = None

    async def _exchange(
        self,
        progress: ItemProgress,
        route: Route,
        worker: Worker,
        connection: ClientConnection,
        pending_prefill: PendingPrefill,
    ) -> ItemResult | None:
        context = self._context
        loop = asyncio.get_running_loop()
        call = self._call(progress)
        # False while the worker's cold-start rate limit allows no further request.
        if not worker.admit_send(loop.time()):
            self._log_failed_attempt(progress, worker, "worker cold")
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
        progress.resumed_after_id = progress.last_event_id
        async with asyncio.timeout(RESPONSE_HEAD_TIMEOUT_S):
            response_head = await connection.read_head()
        pending_prefill.end()
        worker.note_reply(loop.time())
        reply_summary = context.protocol.reply_summary(response_head)
        if reply_summary.load is not None:
            worker.note_load(reply_summary.load, loop.time())
        if reply_summary.kind is ReplyKind.OTHER_WORKER:
            context.directory.forget(worker)
            progress.sent_at_s = None
            return None
        if reply_summary.kind is ReplyKind.NOT_RUN:
            worker.note_overloaded(loop.time())
            progress.sent_at_s = None
            return None
        if response_head.status != 200:
            return self._handle_error_status(progress, route, worker, response_head.status)
        head_received_at_s = loop.time()
        progress.head_received_at_s = head_received_at_s
        try:
            await self._collect(progress, worker, connection)
        finally:
            progress.run_time_s += loop.time() - head_received_at_s
        if response_head.ends_with_connection and not await outlived_by_worker(
            context.connections, worker, connection
        ):
            self._make_suspect(progress, worker)
            self._log_failed_attempt(progress, worker, "ended with its worker")
            return None
        worker.health.own.add(loop.time(), failed=False)
        context.quarantine.note_served(call)
        if not progress.restored_from_store:
            context.batch_scheduler.durations.observe(worker.record.service, progress.run_time_s)
        self._log(
            "item_completed",
            item=progress.item.item_id,
            worker=worker.record.worker_id,
            software=worker.record.software_version,
            **self._attempt_log_fields(progress),
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
        """Append complete events to the output until the stream ends.

        Raises ``ReplyBroken`` if the stream ends within an event, ``TimeoutError`` if it stalls.
        """
        splitter = EventSplitter()
        loop = asyncio.get_running_loop()
        budget = self._context.connections.reply_budget
        event_count, last_event_id = len(progress.texts), progress.last_event_id
        output_bytes = 0
        stall = asyncio.timeout(STREAM_STALL_TIMEOUT_S)
        async with stall:
            with budget.holding() as held:
                while (chunk := await connection.read_piece()) is not None:
                    received_at_s = connection.last_bytes_at_s
                    worker.last_contact_s = max(worker.last_contact_s, received_at_s)
                    worker.last_data_s = max(worker.last_data_s, received_at_s)
                    output_bytes += len(chunk)
                    new_events = self._append_events(progress, worker, splitter.feed(chunk))
                    if new_events:
                        stall.reschedule(loop.time() + STREAM_STALL_TIMEOUT_S)
                    held.set(output_bytes)
                    has_too_many = len(progress.texts) - event_count > MAX_OUTPUT_EVENTS
                    if output_bytes > MAX_OUTPUT_BYTES or has_too_many or held.is_too_large:
                        progress.truncate(event_count, last_event_id)
                        raise ReplyBroken("output without end")
                    await budget.give_way(new_events)
        if splitter.partial_bytes:
            raise ReplyBroken("ended within an event")

    def _append_events(
        self, progress: ItemProgress, worker: Worker, events: list[StreamEvent]
    ) -> int:
        """Append events to the output of an item; return how many there were, with comments."""
        for event in events:
            if event.is_comment:
                continue
            progress.texts.append(event.data.decode("utf-8", "replace"))
            progress.last_event_id = event.event_id
        if events:
            progress.software_key = worker.software_key
            self._note_writing(progress)
        return len(events)

    def _note_writing(self, progress: ItemProgress) -> None:
        if progress.writing_since_s is None:
            progress.writing_since_s = asyncio.get_running_loop().time()
        self._context.quarantine.note_writing(
            self._call(progress),
            progress.writing_since_s,
            resumed=bool(progress.resumed_after_id),
        )

    def _record_broken_attempt(self, progress: ItemProgress, worker: Worker) -> None:
        """Count a broken or timed-out attempt against the worker and make the item a suspect."""
        self._make_suspect(progress, worker)
        worker.health.own.add(asyncio.get_running_loop().time(), failed=True)

    def _make_suspect(self, progress: ItemProgress, worker: Worker) -> None:
        """Make the item a suspect if its worker is found to have crashed."""
        if progress.sent_at_s is not None:
            self._context.quarantine.note_broken(
                worker, self._call(progress), progress.sent_at_s, progress.writing_since_s
            )

    def _handle_error_status(
        self, progress: ItemProgress, route: Route, worker: Worker, status: int
    ) -> ItemResult | None:
        self._log_failed_attempt(progress, worker, f"status {status}")
        if status == UNPROCESSABLE_STATUS:
            return self.fail_item(progress, "cannot be done", route.name)
        if status == WORKER_ERROR_STATUS:
            progress.failures += 1
            worker.health.own.add(asyncio.get_running_loop().time(), failed=True)
        if progress.failures >= route.max_attempts:
            return self.fail_item(progress, "attempts used up", route.name)
        return None

    def blocked_for_s(self, progress: ItemProgress) -> float:
        """Return how long the quarantine still blocks an item, or 0 if it may run."""
        return self._context.quarantine.blocked_for_s(self._call(progress))

    def allows(self, progress: ItemProgress, worker: Worker) -> bool:
        """Return whether the quarantine lets an item run at a worker.

        The answer depends on the other items suspected of crashing workers that run there.
        """
        return self._context.quarantine.allows(self._call(progress), worker)

    def requires_claim(self, progress: ItemProgress) -> bool:
        """Return whether an item must claim trials before it runs."""
        return self._context.quarantine.requires_claim(self._call(progress))

    async def claim_trials(self, progress: ItemProgress) -> bool:
        """Claim the trials that an item would begin; return whether it may begin them."""
        return not await self._context.quarantine.claim_trials(self._call(progress))

    def release_claims(self, progress: ItemProgress) -> None:
        """Give up claims to trials that an item did not begin."""
        self._context.quarantine.release_claims(self._call(progress))

    def content_name(self, progress: ItemProgress) -> str:
        """Return the name of an item's content, as the log lines of the quarantine give it."""
        return content_name(self._call(progress).content_key)

    def fail_item(self, progress: ItemProgress, cause: str, route: str) -> ItemResult:
        """Log that an item has failed permanently, and return its result."""
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
                workload=Workload.BATCH,
            )
        return progress.call

    def _log_failed_attempt(self, progress: ItemProgress, worker: Worker, cause: str) -> None:
        self._log(
            "item_attempt_failed",
            item=progress.item.item_id,
            worker=worker.record.worker_id,
            software=worker.record.software_version,
            cause=cause,
            content=self.content_name(progress),
            failures=progress.failures,
            last_event=progress.last_event_id,
            in_flight=worker.in_flight,
            load=worker.load.total if worker.load else None,
            **self._attempt_log_fields(progress),
        )

    def _attempt_log_fields(self, progress: ItemProgress) -> dict[str, float | int | None]:
        """Return log fields for the current attempt's timings, total run time and prompt size."""
        now_s = asyncio.get_running_loop().time()
        sent_at_s, head_received_at_s = progress.sent_at_s, progress.head_received_at_s
        prompt = progress.item.prompt
        return {
            "read_ms": milliseconds(head_received_at_s - sent_at_s)
            if head_received_at_s and sent_at_s
            else None,
            "ms": milliseconds(now_s - sent_at_s) if sent_at_s else None,
            "ran_ms": milliseconds(progress.run_time_s),
            "shared_tokens": prompt.shared_tokens,
            "own_tokens": prompt.own_tokens,
        }

    def _log(self, event: str, **fields: object) -> None:
        self._context.log.event(event, job=self._job_id, **fields)
