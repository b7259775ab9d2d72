"""Runs batch items on the workers that this daemon is the batch owner of.

Each worker has one batch owner at a time, by rendezvous hashing over the live daemons, which fills
the worker's idle slots: slots less the online work that own dispatches and load reports show.
Ranges are pulled from job owners only for free slots, so work follows capacity.
"""

from __future__ import annotations

import logging
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from mountstand.background import BackgroundPart, PeriodicTask, stop_tasks
from mountstand.batch.held_range import (
    BatchItem,
    HeldRange,
    RunningItem,
    completed_line,
    error_line,
    failed_line,
    parse_items,
)
from mountstand.batch.item_queue import RETRY_PAUSE_S, ItemQueue, WaitingItem
from mountstand.batch.known_work import KnownWork
from mountstand.batch.model import ItemStatus
from mountstand.batch.owner_client import OwnerClient
from mountstand.batch.range_failures import RangeFailures
from mountstand.batch.range_finisher import RangeFinisher
from mountstand.batch.range_renewal import RangeRenewal
from mountstand.batch.worker_assignment import WorkerAssignment
from mountstand.clock import elapsed_s
from mountstand.engines.port import BackendAnswer, BackendPort, BackendRequest
from mountstand.errors import (
    BackendFailed,
    BackendRefused,
    BackendUnreachable,
    Executed,
    MountstandError,
    PeerUnavailable,
    RequestQuarantined,
)
from mountstand.online.request import request_content_key
from mountstand.process_settings import BatchSettings
from mountstand.quarantine.threads import ContentQuarantine
from mountstand.quarantine.workload import Workload
from mountstand.routing.fleet_view import DispatchOutcome
from mountstand.routing.router import Router
from mountstand.store.ports import Machine, ObjectPort, TablePort
from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.wire.messages import (
    Confirmed,
    DropJob,
    GrantedRanges,
    PullRanges,
    RangeGrant,
    WorkHint,
)

logger = logging.getLogger(__name__)

BATCH_PRIORITY = 10
"""Added to a job's priority; online requests have priority 0 and go before all batch work."""

RENEW_INTERVAL_S = 0.5
RENEW_WINDOW_S = 1.5
"""Without a renewal sent within this time no item of a range starts."""

ITEM_TIMEOUT_S = 120.0
PULL_INTERVAL_S = 0.1
SCHEDULE_INTERVAL_S = 0.05
IDLE_SCHEDULE_INTERVAL_S = 0.5
BROKEN_PAUSE_S = 0.5
"""Pause of an item whose run broke: within it, it is known whether its worker ended."""

STORE_RETRY_S = 0.5
FINISH_THREADS = 4
PREFETCH_FACTOR = 2
"""Items held per slot: one running and one waiting, so that a slot never waits for a pull."""

BYTES_PER_ITEM_RESERVE = 4096
"""Memory counted for an item without a result yet."""


class BatchExecutor(BackgroundPart):
    """Runs batch items on one daemon; thread-safe."""

    name = "batch executor"

    def __init__(
        self,
        settings: BatchSettings,
        router: Router,
        backend: BackendPort,
        table: TablePort,
        objects: ObjectPort,
        self_id: str,
        assignment: WorkerAssignment,
        owners: OwnerClient,
        metrics: DaemonMetrics,
        quarantine: ContentQuarantine,
    ) -> None:
        self._settings = settings
        self._router = router
        self._backend = backend
        self._table = table
        self._objects = objects
        self._self_id = self_id
        self._assignment = assignment
        self._owners = owners
        self._metrics = metrics
        self._quarantine = quarantine
        self._changed = threading.Condition()
        self._held: dict[tuple[str, int], HeldRange] = {}
        self._waiting = ItemQueue(RENEW_WINDOW_S)
        self._in_flight = 0
        self._known_work = KnownWork()
        self._stopping = False
        self._draining = False
        self._runners = ThreadPoolExecutor(settings.max_in_flight, thread_name_prefix="batch-item")
        self._finisher = RangeFinisher(self_id, objects, owners, self._forget)
        self._finishers = ThreadPoolExecutor(FINISH_THREADS, thread_name_prefix="batch-finish")
        self._scheduler = threading.Thread(
            target=self._schedule, name="batch-schedule", daemon=True
        )
        self._pull_task = PeriodicTask("range pull", PULL_INTERVAL_S, self._pull)
        renewal = RangeRenewal(self_id, owners, self._held_ranges, self._drop)
        self._tasks = [
            self._pull_task,
            PeriodicTask("range renewal", RENEW_INTERVAL_S, renewal.run),
        ]

    def start(self) -> None:
        """Start running items."""
        self._scheduler.start()
        for task in self._tasks:
            task.start()

    def drain(self, timeout_s: float) -> bool:
        """Take no new ranges and finish those held; return whether all are finished."""
        deadline_s = elapsed_s() + timeout_s
        with self._changed:
            self._draining = True
            while self._held and elapsed_s() < deadline_s:
                self._changed.wait(0.1)
            return not self._held

    def stop(self) -> None:
        """Drop what is held and stop."""
        self._finisher.stop()
        with self._changed:
            self._stopping = True
            held = list(self._held)
        for job_key, range_index in held:
            self._drop(job_key, range_index)
        stop_tasks(self._tasks)
        with self._changed:
            self._changed.notify_all()
        self._runners.shutdown(wait=False, cancel_futures=True)
        self._finishers.shutdown(wait=False, cancel_futures=True)

    def handle_work_hint(self, owner_id: str, hint: WorkHint) -> None:
        """Note that an owner has unassigned items."""
        self._known_work.note(owner_id, hint)
        self._pull_task.trigger()

    def handle_drop(self, drop: DropJob) -> Confirmed:
        """Drop every range of a cancelled job and cancel its items at the engines."""
        self.cancel_job(drop.job_key)
        return Confirmed(True)

    def cancel_job(self, job_key: str) -> None:
        """Drop every range of a job; no item of it starts after this returns."""
        with self._changed:
            indexes = [index for key, index in self._held if key == job_key]
        for index in indexes:
            self._drop(job_key, index)

    def status(self) -> dict[str, object]:
        """Return what this daemon runs, for operators."""
        with self._changed:
            return {
                "ranges": len(self._held),
                "queued_items": len(self._waiting),
                "in_flight": self._in_flight,
                "buffered_bytes": self._buffered_bytes(),
            }

    # Pulling

    def _pull(self) -> None:
        owners = self._known_work.owners()
        if not owners:
            return
        workers = self._assignment.own_workers()
        wanted = self._wanted_items(workers)
        services = tuple(sorted({worker.service for worker in workers}))
        for owner_id in owners:
            if wanted <= 0:
                return
            wanted -= self._pull_from(owner_id, services, wanted)

    def _wanted_items(self, workers: list[Machine]) -> int:
        with self._changed:
            if self._stopping or self._draining:
                return 0
            if self._buffered_bytes() >= self._settings.buffer_bytes:
                return 0
            waiting = len(self._waiting)
        slots = sum(self._router.batch_slot_limit(worker.machine_id) for worker in workers)
        target = min(slots, self._settings.max_in_flight) * PREFETCH_FACTOR
        return target - waiting - self._in_flight

    def _pull_from(self, owner_id: str, services: tuple[str, ...], wanted: int) -> int:
        sent_s = elapsed_s()
        request = PullRanges(self._self_id, services, wanted)
        try:
            reply = self._owners.call(owner_id, request)
        except PeerUnavailable:
            self._known_work.forget(owner_id)
            return 0
        assert isinstance(reply, GrantedRanges)
        if not reply.pending_items:
            self._known_work.forget(owner_id)
        for grant in reply.grants:
            self._finishers.submit(self._take_range, grant, owner_id, sent_s)
        return sum(grant.item_count for grant in reply.grants)

    def _take_range(self, grant: RangeGrant, owner_id: str, sent_s: float) -> None:
        """Read a granted range's items and queue them; without them the lease runs out."""
        failures = RangeFailures(self._table, grant.key)
        try:
            body = self._objects.get(grant.object_name)
            items = parse_items(grant, body)
            if grant.repeatable:
                failures.read()
        except MountstandError as error:
            log_state_change(logger, "range input cannot be read", code=error.code)
            return
        except Exception:
            logger.exception("range input is not valid", extra={"object": grant.object_name})
            return
        held = HeldRange(grant, owner_id, sent_s, items, failures)
        identity = (grant.key.job_key, grant.key.range_index)
        with self._changed:
            if self._stopping or identity in self._held:
                return
            self._held[identity] = held
            for item in items:
                self._queue(held, item)
            self._changed.notify_all()
        if held.is_complete:
            self._finish_once(held)

    def _queue(self, held: HeldRange, item: BatchItem) -> None:
        """Queue an item of a new range, or end it if no attempt is left."""
        failures = held.failures.count(item.index)
        if failures < held.grant.max_attempts:
            self._waiting.push(held, item)
            return
        error = BackendFailed(f"each of {failures} attempts failed")
        self._record(held, item, ItemStatus.FAILED, error_line(item, ItemStatus.FAILED, error))

    # Scheduling

    def _schedule(self) -> None:
        while True:
            with self._changed:
                if self._stopping:
                    return
                if not self._waiting:
                    self._changed.wait(IDLE_SCHEDULE_INTERVAL_S)
                    continue
                self._waiting.wake(elapsed_s())
            workers = self._assignment.own_workers()
            started = self._start_items(workers) if workers else 0
            with self._changed:
                if not started:
                    self._changed.wait(SCHEDULE_INTERVAL_S)

    def _start_items(self, workers: list[Machine]) -> int:
        started = 0
        for worker in workers:
            room = self._router.batch_headroom(worker.machine_id)
            for _ in range(room):
                taken = self._take_item(worker)
                if taken is None:
                    break
                self._runners.submit(self._run_item, taken.held, taken.item, worker)
                started += 1
        return started

    def _take_item(self, worker: Machine) -> WaitingItem | None:
        """Take the next item that may start, and count it as running."""
        with self._changed:
            if self._in_flight >= self._settings.max_in_flight:
                return None
            if self._buffered_bytes() >= 2 * self._settings.buffer_bytes:
                return None
            taken = self._waiting.take(worker.service, elapsed_s())
            if taken is not None:
                self._in_flight += 1
                self._router.begin_batch_dispatch(worker.machine_id)
            return taken

    # Running

    def _run_item(self, held: HeldRange, item: BatchItem, worker: Machine) -> None:
        outcome = DispatchOutcome.NEUTRAL
        try:
            outcome = self._run_once(held, item, worker)
        except Exception:
            logger.exception("batch item failed unexpectedly")
            self._pause(held, item)
        finally:
            self._router.end_batch_dispatch(worker.machine_id, outcome)
            with self._changed:
                self._in_flight -= 1
                held.running.pop(item.index, None)
                self._changed.notify_all()
            if held.is_complete:
                self._finish_once(held)
            else:
                held.failures.save()

    def _run_once(self, held: HeldRange, item: BatchItem, worker: Machine) -> DispatchOutcome:
        if is_past_due(held):
            detail = "the due time passed before the item was started"
            line = failed_line(item, ItemStatus.EXPIRED, "expired", detail, Executed.NO)
            self._record(held, item, ItemStatus.EXPIRED, line)
            return DispatchOutcome.NEUTRAL
        if not self._are_failures_saved(held, item):
            self._pause(held, item, STORE_RETRY_S)
            return DispatchOutcome.NEUTRAL
        content = item_content_key(held, item)
        try:
            self._quarantine.check(content, Workload.BATCH)
        except RequestQuarantined as error:
            if not self._quarantine.is_batch_cause(content):
                self._pause(held, item, error.retry_after_s or RETRY_PAUSE_S)
                return DispatchOutcome.NEUTRAL
            self._record(held, item, ItemStatus.FAILED, error_line(item, ItemStatus.FAILED, error))
            return DispatchOutcome.NEUTRAL
        request = BackendRequest(
            request_id=uuid.uuid4().hex,
            method="POST",
            path=item.path,
            body=item.body,
            priority=BATCH_PRIORITY + held.grant.priority,
            label=f"{held.grant.key.job_key}:{item.index}",
        )
        with self._quarantine.running(content, worker, Workload.BATCH) as allowed:
            if not allowed:
                self._pause(held, item)
                return DispatchOutcome.NEUTRAL
            return self._dispatch(held, item, worker, request, content)

    def _are_failures_saved(self, held: HeldRange, item: BatchItem) -> bool:
        """Return whether an item's failed attempts are in the table, after another try."""
        if not held.failures.is_saved(item.index):
            held.failures.save()
        return held.failures.is_saved(item.index)

    def _dispatch(
        self,
        held: HeldRange,
        item: BatchItem,
        worker: Machine,
        request: BackendRequest,
        content: int,
    ) -> DispatchOutcome:
        if not self._note_running(held, item, RunningItem(worker, request.request_id)):
            return DispatchOutcome.NEUTRAL
        sent_at_s = elapsed_s()
        try:
            answer = self._backend.call(worker, request, ITEM_TIMEOUT_S)
        except MountstandError as error:
            crashed = isinstance(error, BackendFailed) and self._quarantine.may_have_crashed(
                worker, content, sent_at_s
            )
            return self._handle_failure(held, item, worker, error, crashed=crashed)
        self._quarantine.note_served(content)
        self._router.record_response_load(worker.machine_id, answer.load)
        self._record_answer(held, item, answer)
        return DispatchOutcome.SUCCESS

    def _note_running(self, held: HeldRange, item: BatchItem, running: RunningItem) -> bool:
        """Note where an item runs; return ``False`` when it may not start any more."""
        with self._changed:
            if held.dropped or item.index in held.results:
                return False
            if elapsed_s() - held.renewed_s > RENEW_WINDOW_S:
                self._waiting.pause(held, item, elapsed_s() + RETRY_PAUSE_S)
                return False
            held.running[item.index] = running
            return True

    def _record_answer(self, held: HeldRange, item: BatchItem, answer: BackendAnswer) -> None:
        if answer.status < 400:
            line = completed_line(item, answer)
            self._record(held, item, ItemStatus.COMPLETED, line)
            return
        detail = f"the back end answered with status {answer.status}"
        line = failed_line(item, ItemStatus.FAILED, "backend_rejected", detail, Executed.NO)
        self._record(held, item, ItemStatus.FAILED, line)

    def _handle_failure(
        self,
        held: HeldRange,
        item: BatchItem,
        worker: Machine,
        error: MountstandError,
        *,
        crashed: bool,
    ) -> DispatchOutcome:
        """Pause or end an item whose dispatch failed.

        A run that may have ended with the crash of its worker is not one of the item's attempts.
        The quarantine bounds such runs.
        """
        if held.dropped:
            return DispatchOutcome.NEUTRAL
        if error.executed is Executed.NO:
            if isinstance(error, BackendRefused):
                self._router.set_backoff(worker.machine_id, error.retry_after_s or RETRY_PAUSE_S)
            self._pause(held, item)
            unreachable = isinstance(error, BackendUnreachable)
            return DispatchOutcome.FAILED if unreachable else DispatchOutcome.REFUSED
        if not held.grant.repeatable:
            line = error_line(item, ItemStatus.OUTCOME_UNKNOWN, error)
            self._record(held, item, ItemStatus.OUTCOME_UNKNOWN, line)
            return DispatchOutcome.FAILED
        if crashed:
            self._pause(held, item)
            return DispatchOutcome.FAILED
        if held.failures.add(item.index) >= held.grant.max_attempts:
            self._record(held, item, ItemStatus.FAILED, error_line(item, ItemStatus.FAILED, error))
        else:
            self._pause(held, item, BROKEN_PAUSE_S)
        return DispatchOutcome.FAILED

    def _pause(self, held: HeldRange, item: BatchItem, pause_s: float = RETRY_PAUSE_S) -> None:
        with self._changed:
            self._waiting.pause(held, item, elapsed_s() + pause_s)

    def _record(self, held: HeldRange, item: BatchItem, status: ItemStatus, line: bytes) -> None:
        self._metrics.batch_items.labels(status.value).inc()
        with self._changed:
            held.record(item, status, line)
            self._metrics.batch_buffer_bytes.set(self._buffered_bytes())

    def _buffered_bytes(self) -> int:
        return sum(
            held.result_bytes + BYTES_PER_ITEM_RESERVE * (len(held.items) - len(held.results))
            for held in self._held.values()
        )

    # Finishing

    def _finish_once(self, held: HeldRange) -> None:
        """Hand a complete range to a finisher, from whichever thread completed it."""
        with self._changed:
            if held.dropped or held.finishing:
                return
            held.finishing = True
        self._finishers.submit(self._finisher.finish, held)

    def _forget(self, held: HeldRange) -> None:
        key = held.grant.key
        with self._changed:
            self._held.pop((key.job_key, key.range_index), None)
            self._metrics.batch_buffer_bytes.set(self._buffered_bytes())
            self._changed.notify_all()

    # Leases of ranges

    def _held_ranges(self) -> list[HeldRange]:
        with self._changed:
            return list(self._held.values())

    def _drop(self, job_key: str, range_index: int) -> None:
        with self._changed:
            held = self._held.pop((job_key, range_index), None)
            if held is None:
                return
            held.dropped = True
            running = list(held.running.values())
            self._changed.notify_all()
        for item in running:
            self._backend.cancel(item.machine, item.request_id)


def item_content_key(held: HeldRange, item: BatchItem) -> int:
    """Return the number that stands for what an item asks and for whom."""
    grant = held.grant
    return request_content_key(grant.service, grant.tenant, "POST", item.path, item.body)


def is_past_due(held: HeldRange) -> bool:
    """Return whether the job's due time has passed."""
    return bool(held.grant.due_time_s) and time.time() > held.grant.due_time_s
