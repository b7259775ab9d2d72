"""Runs the items of one batch job and lists their results.

One process owns a job at a time, by the job's head row. Items run only on workers that online work
leaves idle, and give way to it by closing their stream, to be resumed at another worker after the
last whole event. Results wait in memory until a conditional write of the head lists them; a
process that lost the job cannot list anything.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from mountstand.jobs.model import ItemResult, ItemState, JobHead, JobItem, SavedProgress
from mountstand.jobs.repository import JobRepository, new_write_id
from mountstand.serving.batch_room import BatchRoom, Placement, Urgency
from mountstand.serving.configuration import Configuration, Route, ShareChooser
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.events import EventSplitter
from mountstand.serving.worker_protocol import Call, ReplyKind, WorkerProtocol
from mountstand.serving.workers import Worker, WorkerDirectory
from mountstand.store.rows import ABSENT, Conflict, OutcomeUnknown, StoreError
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.http_client import ClientConnection, ConnectFailed, ReplyBroken

STALL_S = 2.0
"""An item whose stream says nothing for so long is resumed at another worker."""

FIRST_EVENT_S = 6.0
"""An item that gets no answer for so long is put to another worker."""

SAVE_S = 1.5
"""How often the events of running items are kept in the store: a crash costs this much of a run,
a save costs one call per job."""

RETRY_FIRST_S = 0.1
RETRY_LONGEST_S = 0.5
"""Pause of a failed write to the store, and of an item after a failure."""

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
    saved_event_id: int | None = None

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
    shares: ShareChooser
    room: BatchRoom
    metrics: ServingMetrics
    log: DecisionLog
    configuration: Callable[[], Configuration | None]
    store_age_s: Callable[[], float]
    store_now_ms: Callable[[], int]
    contact_limit_s: float


class JobRunner:
    """Runs one job until it is done, ended, lost or released."""

    def __init__(
        self,
        context: RunnerContext,
        head: JobHead,
        version: int,
        items: tuple[JobItem, ...],
        saved: Iterable[SavedProgress] = (),
    ) -> None:
        self._context = context
        self.head = head
        self._version = version
        self._items = items
        self._progress = {
            index: ItemProgress(index, item)
            for index, item in enumerate(items)
            if not head.is_listed(index)
        }
        self._saved: set[int] = set()
        for item in saved:
            self._restore(item)
        self._finished: deque[ItemResult] = deque()
        self._listing: dict[str, list[ItemResult]] = {}
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._waiting_tasks: set[asyncio.Task[None]] = set()
        self._draining = False
        self._over = False

    @property
    def items(self) -> tuple[JobItem, ...]:
        """The items of the job."""
        return self._items

    async def run(self) -> None:
        """Run until nothing is left to do here; cancels its items when it ends."""
        for progress in self._progress.values():
            task = asyncio.create_task(self._run_item(progress))
            self._tasks.add(task)
            task.add_done_callback(self._note_task_done)
        saving = asyncio.create_task(self._save_regularly())
        try:
            await self._list_results()
        finally:
            self._over = True
            saving.cancel()
            for task in self._tasks:
                task.cancel()

    def _note_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._changed.set()

    def handle_head(self, head: JobHead, version: int) -> None:
        """Take a head that the feed tells; one that another process wrote ends the run."""
        if version <= self._version:
            return
        if head.ended or head.owner != self.head.owner:
            self._over = True
            self._changed.set()

    def drain(self) -> None:
        """Start no more items; list what has ended and release the job.

        While the store takes no writes, the items that run go on.
        """
        self._draining = True
        for task in list(self._waiting_tasks):
            task.cancel()
        self._changed.set()

    # Listing

    async def _list_results(self) -> None:
        pause_s = RETRY_FIRST_S
        while not self._over and self.head.open:
            if not self._finished and self._version != ABSENT and not self._draining:
                self._changed.clear()
                await self._changed.wait()
                continue
            try:
                if self._draining and not self._finished:
                    await self._release()
                    return
                await self._list_once()
                pause_s = RETRY_FIRST_S
            except Conflict:
                await self._reload()
            except StoreError as problem:
                self._log("listing_delayed", cause=type(problem).__name__, detail=str(problem))
                await asyncio.sleep(pause_s * random.uniform(0.7, 1.0))
                pause_s = min(RETRY_LONGEST_S, pause_s * 2)
                await self._reload_after(problem)

    async def _list_once(self) -> None:
        self._drop_listed()
        results: list[ItemResult] = []
        for result in self._finished:
            if not self._context.repository.fits(results, result):
                break
            results.append(result)
        write_id = new_write_id()
        head = self.head.with_results(results, write_id)
        self._listing[write_id] = results
        self._version = await self._context.repository.change_head(
            head, self._version, results, self._saved
        )
        self._note_listed(head)

    def _note_listed(self, head: JobHead) -> None:
        self.head = head
        self._listing.clear()
        self._drop_listed()
        self._log("results_listed", listed=head.listed, total=head.total, version=self._version)

    def _drop_listed(self) -> None:
        """Forget results of items that are listed; each item is listed once, whoever ran it."""
        self._finished = deque(r for r in self._finished if not self.head.is_listed(r.index))

    async def _reload_after(self, problem: StoreError) -> None:
        """Learn what became of a write whose answer was lost."""
        if isinstance(problem, OutcomeUnknown):
            try:
                await self._reload()
            except StoreError:
                return

    async def _reload(self) -> None:
        """Read the head: a write of this process goes on from there, any other ends the run."""
        try:
            found = await self._context.repository.load(self.head.job_id)
        except StoreError:
            await asyncio.sleep(RETRY_FIRST_S)
            return
        if found is None:
            self._over = self._version != ABSENT
            return
        head, version = found
        if version == self._version:
            return
        if head.owner != self.head.owner or head.ended:
            self._log("job_lost", owner=head.owner, ended=head.ended, version=version)
            self._over = True
            return
        self._version = version
        self._note_listed(head)

    async def _release(self) -> None:
        """Give the job up with what its items have, so that another daemon goes on at once."""
        await self._save()
        head = replace(self.head, owner="", write_id=new_write_id())
        await self._context.repository.change_head(head, self._version)
        self._log("job_released", listed=head.listed, total=head.total)

    # Progress

    def _restore(self, saved: SavedProgress) -> None:
        progress = self._progress.get(saved.index)
        if progress is not None:
            progress.texts = list(saved.texts)
            progress.last_event_id = saved.last_event_id
            progress.saved_event_id = saved.last_event_id
            progress.failures = saved.failures
            self._saved.add(saved.index)

    async def _save_regularly(self) -> None:
        """Keep what items have, so that a crash costs little."""
        while not self._over:
            await asyncio.sleep(SAVE_S * random.uniform(0.8, 1.2))
            try:
                await self._save()
            except StoreError:
                continue

    async def _save(self) -> None:
        changed = [
            progress
            for progress in self._progress.values()
            if progress.last_event_id is not None
            and progress.last_event_id != progress.saved_event_id
        ]
        if not changed or self._version == ABSENT:
            return
        saved = [
            SavedProgress(p.index, p.last_event_id or 0, p.failures, list(p.texts)) for p in changed
        ]
        await self._context.repository.save_progress(self.head, self._version, saved)
        for progress, item in zip(changed, saved, strict=True):
            progress.saved_event_id = item.last_event_id
            self._saved.add(item.index)

    # Items

    async def _run_item(self, progress: ItemProgress) -> None:
        while not self._over:
            result = await self._try_item(progress)
            if result is not None:
                self._context.metrics.batch_item_ended(result.state.value)
                self._progress.pop(progress.index, None)
                self._finished.append(result)
                self._changed.set()
                return
            if self._draining:
                break
            if not progress.preempted:
                await asyncio.sleep(RETRY_FIRST_S * random.uniform(0.5, 1.5))
        self._changed.set()

    async def _try_item(self, progress: ItemProgress) -> ItemResult | None:
        """Make one attempt; returns the item's end, or ``None`` if it must be tried again."""
        configuration = self._context.configuration()
        if configuration is None or self._draining:
            return None
        route = configuration.match(self.head.host, progress.item.target)
        if route is None:
            return self._failed(progress, "route removed", "")
        if self._expired(route):
            return self._failed(progress, "retention over", route.name)
        placement = await self._wait_for_slot(route)
        try:
            if self._draining or not self._surely_open():
                return None
            progress.preempted = False
            placement.preempt = progress.preempt
            return await self._attempt(progress, route, placement.worker)
        finally:
            self._context.room.release(placement)

    async def _wait_for_slot(self, route: Route) -> Placement:
        task = asyncio.current_task()
        assert task is not None
        self._waiting_tasks.add(task)
        try:
            return await self._context.room.acquire(
                self._context.shares.choose(route), self._urgency(route)
            )
        finally:
            self._waiting_tasks.discard(task)

    def _surely_open(self) -> bool:
        """Return whether an end of the job would have been seen."""
        return self._context.store_age_s() <= self._context.contact_limit_s

    def _urgency(self, route: Route) -> Urgency:
        age_s = (self._context.store_now_ms() - self.head.accepted_ms) / 1000
        left_s = route.completion_target_s - age_s
        now_s = asyncio.get_running_loop().time()
        return Urgency(left_s < 0, now_s + left_s)

    def _expired(self, route: Route) -> bool:
        age_s = (self._context.store_now_ms() - self.head.accepted_ms) / 1000
        return route.retention_s > 0 and age_s > route.retention_s

    async def _attempt(
        self, progress: ItemProgress, route: Route, worker: Worker
    ) -> ItemResult | None:
        try:
            progress.connection = await self._context.connections.acquire(worker, repeatable=True)
            if progress.preempted:
                return None
            return await self._exchange(progress, route, worker, progress.connection)
        except (ConnectFailed, ReplyBroken, TimeoutError) as problem:
            cause = "preempted" if progress.preempted else str(problem) or "silent"
            if not progress.preempted and not isinstance(problem, ConnectFailed):
                worker.health.own.add(asyncio.get_running_loop().time(), failed=True)
            self._log_attempt(progress, worker, cause)
            return None
        finally:
            if progress.connection is not None:
                self._context.connections.release(worker, progress.connection, 1)
                progress.connection = None

    async def _exchange(
        self, progress: ItemProgress, route: Route, worker: Worker, connection: ClientConnection
    ) -> ItemResult | None:
        context = self._context
        loop = asyncio.get_running_loop()
        call = self._call(progress)
        headers = context.protocol.request_headers(call, worker, None, progress.last_event_id)
        connection.send(
            call.method,
            call.target,
            headers,
            call.body,
            lambda reply: context.protocol.belongs_to(call, reply),
        )
        async with asyncio.timeout(FIRST_EVENT_S):
            head = await connection.read_head()
        worker.note_heard(loop.time())
        meaning = context.protocol.meaning(head)
        if meaning.load is not None:
            worker.note_load(meaning.load, loop.time())
        if meaning.kind is ReplyKind.OTHER_WORKER:
            context.directory.forget(worker)
            return None
        if meaning.kind is ReplyKind.NOT_RUN:
            worker.note_full(loop.time())
            return None
        if head.status != 200:
            return self._note_failure(progress, route, worker, head.status)
        await self._collect(progress, worker, connection)
        worker.health.own.add(loop.time(), failed=False)
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
            worker.last_heard_s = loop.time()
            for event in splitter.feed(piece):
                progress.texts.append(event.data.decode("utf-8", "replace"))
                progress.last_event_id = event.event_id
        if splitter.partial:
            raise ReplyBroken("ended within an event")

    def _note_failure(
        self, progress: ItemProgress, route: Route, worker: Worker, status: int
    ) -> ItemResult | None:
        self._log_attempt(progress, worker, f"status {status}")
        if status == UNDOABLE_STATUS:
            return self._failed(progress, "cannot be done", route.name)
        if status == FAILED_STATUS:
            progress.failures += 1
            worker.health.own.add(asyncio.get_running_loop().time(), failed=True)
        if progress.failures >= route.max_attempts:
            return self._failed(progress, "attempts used up", route.name)
        return None

    def _failed(self, progress: ItemProgress, cause: str, route: str) -> ItemResult:
        self._log("item_given_up", item=progress.item.item_id, cause=cause, route=route)
        return ItemResult(progress.index, progress.item.item_id, ItemState.FAILED, "")

    def _call(self, progress: ItemProgress) -> Call:
        item = progress.item
        return Call(
            item.item_id, self.head.host, "POST", item.target, item.headers, item.body, item.prompt
        )

    def _log_attempt(self, progress: ItemProgress, worker: Worker, cause: str) -> None:
        self._log(
            "item_attempt_failed",
            item=progress.item.item_id,
            worker=worker.record.worker_id,
            cause=cause,
            failures=progress.failures,
            last_event=progress.last_event_id,
            in_flight=worker.in_flight,
            load=worker.load.total if worker.load else None,
        )

    def _log(self, event: str, **fields: object) -> None:
        self._context.log.event(event, job=self.head.job_id, **fields)
