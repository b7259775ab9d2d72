"""Quarantines requests that crash workers; for the threads of :mod:`mountstand.daemon`.

The threaded counterpart of :mod:`mountstand.quarantine.service`. Each machine runs one worker, and
keeps its id when the worker restarts, so a crash is identified by the machine and the time.
"""

from __future__ import annotations

import logging
import random
import threading
import time
import uuid
import zlib
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from concurrent.futures import CancelledError, Future, ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, field

from mountstand.background import BackgroundPart, PeriodicTask, stop_tasks
from mountstand.clock import elapsed_s
from mountstand.errors import RequestQuarantined
from mountstand.hashing import content_name
from mountstand.membership.service import MembershipService
from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.sharing import (
    ContentMessage,
    QuarantineMessage,
    ReportLink,
    SuspectObserver,
    SuspectSharing,
)
from mountstand.quarantine.suspect import NEVER_S, CrashByWorker, WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.quarantine.workload import Workload
from mountstand.store.ports import Machine, Put, TablePort, Transaction
from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.metrics import DaemonMetrics

logger = logging.getLogger(__name__)

TICK_S = 0.25
"""Interval of :meth:`SuspectSharing.tick`."""

CRASH_CHECK_THREADS = 2
CRASH_CHECKS = 2
CRASH_CHECK_INTERVAL_S = 0.1
"""A worker counts as crashed if this many checks in a row, at this interval, find that its machine
refuses connections."""

CRASH_DEDUP_WINDOW_S = 2.0
"""Length of the time windows that identify crashes: crashes of one machine in the same window count
once. A worker takes longer than this to restart."""

STORE_INTERVAL_S = 1.0
KEY_PREFIX = "quarantine/"
"""Prefix of the row keys in the table, followed by the content key in hexadecimal."""

CRASH_CHECK_TIMEOUT_S = 5.0
"""How long the sender of a broken request waits for the check of its machine. A check takes up to
two seconds, and waits for others if several machines fail at once."""

CrashCheck = Callable[[Machine], bool]


@dataclass(slots=True)
class PendingCheck:
    """A crash check of one machine, and the broken requests that led to it."""

    sent_at_s: dict[int, float] = field(default_factory=dict)
    """When each request was sent, by content."""

    crashed: Future[bool] = field(default_factory=Future)


class MembershipReportLink(ReportLink):
    """Sends reports in datagrams of the membership protocol. All daemons serve callers."""

    __slots__ = ("_membership",)

    def __init__(self, membership: MembershipService) -> None:
        self._membership = membership

    def running(self) -> Collection[str]:
        """Return the names of the other daemons that are believed to be up."""
        live = {member.member_id for member in self._membership.live_members()}
        return live - {self._membership.self_id}

    def serving(self) -> Collection[str]:
        """Return all running daemons."""
        return self.running()

    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Send a message to those receivers that are members."""
        for member_id in receivers:
            member = self._membership.member(member_id)
            if member is not None:
                self._membership.send_hint(member, message)


class TableSuspects:
    """Reads and writes suspects in the table. Times are seconds since the epoch."""

    def __init__(self, table: TablePort) -> None:
        self._table = table

    def read(self) -> dict[int, CrashByWorker]:
        """Return crashes by worker key for each content, skipping unreadable rows.

        Raises ``StoreUnavailable``.
        """
        crashes_by_content: dict[int, CrashByWorker] = {}
        for row in self._table.read(prefixes=(KEY_PREFIX,)).rows:
            try:
                content = int(row.key.removeprefix(KEY_PREFIX), 16)
                crashes_by_content[content] = {
                    int(worker): WorkerCrash(float(at_s), float(run_duration_s))
                    for worker, (at_s, run_duration_s) in row.value["ends"].items()
                }
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                logger.warning(
                    "skipping unreadable quarantine row",
                    extra={"key": row.key, "cause": repr(error)},
                )
        return crashes_by_content

    def write(self, crashes_by_content: Mapping[int, CrashByWorker]) -> None:
        """Write crashes, and delete the rows of contents without any.

        Raises ``StoreUnavailable``.
        """
        puts = []
        deletes = []
        for content, crash_by_worker in crashes_by_content.items():
            key = KEY_PREFIX + content_name(content)
            if not crash_by_worker:
                deletes.append(key)
                continue
            crashes = {
                str(worker): [crash.at_s, crash.run_duration_s]
                for worker, crash in crash_by_worker.items()
            }
            puts.append(Put(key=key, value={"ends": crashes}))
        self._table.commit(Transaction(write_id=uuid.uuid4().hex, puts=puts, deletes=deletes))


class ContentQuarantine(SuspectObserver, BackgroundPart):
    """Decides which contents may be sent to workers. Thread-safe.

    The counterpart for the event loop is :class:`mountstand.quarantine.service.RequestQuarantine`.
    ``daemon_name`` names this daemon. ``has_crashed`` performs one check of whether a machine
    refuses connections, or accepts them in a forwarder without a worker behind it.
    """

    name = "quarantine"

    def __init__(
        self,
        daemon_name: str,
        link: ReportLink,
        table: TableSuspects,
        has_crashed: CrashCheck,
        metrics: DaemonMetrics,
        seed: int,
    ) -> None:
        self._lock = threading.RLock()
        self._sharing = SuspectSharing(daemon_name, link, random.Random(seed))
        self._sharing.observer = self
        self._separation = SuspectSeparation(self._sharing.suspects)
        self._table = table
        self._has_crashed = has_crashed
        self._metrics = metrics
        self._loaded = False
        self._stored_contents: set[int] = set()
        self._pending_writes: set[int] = set()
        self._crash_check_pool = ThreadPoolExecutor(
            CRASH_CHECK_THREADS, thread_name_prefix="worker-end"
        )
        self._pending_check_by_machine: dict[str, PendingCheck] = {}
        self._tasks = [
            PeriodicTask("quarantine", TICK_S, self._tick),
            PeriodicTask("quarantine store", STORE_INTERVAL_S, self._sync_table),
        ]

    @property
    def suspects(self) -> CrashSuspects:
        """Contents suspected of crashing workers."""
        return self._sharing.suspects

    def start(self) -> None:
        """Query peers, and start the periodic tasks that exchange and store suspects."""
        with self._lock:
            self._sharing.query_peers(elapsed_s())
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop the periodic tasks and cancel crash checks that have not started."""
        stop_tasks(self._tasks)
        self._crash_check_pool.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            for check in self._pending_check_by_machine.values():
                check.crashed.cancel()

    def check(self, content: int, workload: Workload = Workload.ONLINE) -> None:
        """Raise ``RequestQuarantined`` if a content is blocked."""
        if not self.suspects:
            return
        with self._lock:
            blocked_for_s = self.suspects.blocked_for_s(content, elapsed_s(), workload)
        if blocked_for_s:
            raise self.quarantined_error(content, blocked_for_s)

    def quarantined_error(self, content: int, retry_after_s: float) -> RequestQuarantined:
        """Count a rejected request, and return the error to raise for it."""
        self._metrics.requests_quarantined.inc()
        return RequestQuarantined(f"content {content_name(content)}", retry_after_s=retry_after_s)

    def requires_trial(self, content: int) -> bool:
        """Return whether a content requires a trial, apart from other strong suspects."""
        if not self.suspects:
            return False
        with self._lock:
            return self.suspects.requires_trial(content)

    def note_broken(self, machine: Machine, content: int, sent_at_s: float) -> Future[bool] | None:
        """Record that the connection to a worker broke after the request was sent.

        A crash check of the machine runs in the background, unless one is already pending. Returns
        whether the worker crashed, once that is known; ``None`` for a machine that is leaving.
        """
        if machine.leaving:
            return None
        with self._lock:
            check = self._pending_check_by_machine.get(machine.machine_id)
            is_new = check is None
            if check is None:
                check = PendingCheck()
                self._pending_check_by_machine[machine.machine_id] = check
            check.sent_at_s.setdefault(content, sent_at_s)
        if is_new:
            self._crash_check_pool.submit(self._check_machine, machine)
        return check.crashed

    def may_have_crashed(self, machine: Machine, content: int, sent_at_s: float) -> bool:
        """Record a broken request like :meth:`note_broken`; return if its worker may have crashed.

        Waits for the crash check. ``True`` also if the check has no result within
        ``CRASH_CHECK_TIMEOUT_S``, or this daemon stops. ``False`` for a machine that is leaving.
        """
        crashed = self.note_broken(machine, content, sent_at_s)
        if crashed is None:
            return False
        try:
            return crashed.result(CRASH_CHECK_TIMEOUT_S)
        except (TimeoutError, CancelledError):
            logger.warning("crash check has no result", extra={"worker": machine.machine_id})
            return True

    def is_batch_cause(self, content: int) -> bool:
        """Return whether a batch item is taken for the cause of its worker crashes."""
        with self._lock:
            return self.suspects.is_batch_cause(content)

    @contextmanager
    def running(
        self, content: int, machine: Machine, workload: Workload = Workload.ONLINE
    ) -> Iterator[bool]:
        """Track the run of a strong suspect, so that this daemon sends no other one to the worker.

        Yields whether the content may run: it is not blocked, and :meth:`SuspectSeparation.allows`
        the worker. If it requires a trial, the trial starts here and blocks it on all daemons.
        """
        with self._lock:
            now_s = elapsed_s()
            allowed = self._separation.allows(content, machine.machine_id, now_s)
            allowed = allowed and self._begin_run(content, machine, now_s, workload)
            tracked = allowed and self._separation.track_run(content, machine.machine_id)
        try:
            yield allowed
        finally:
            if tracked:
                with self._lock:
                    self._separation.release_run(content, machine.machine_id)

    def note_served(self, content: int) -> None:
        """Record that a worker answered a request completely, which clears its content."""
        if not self.suspects:
            return
        with self._lock:
            cleared = self._sharing.note_served(content, elapsed_s())
        if cleared:
            log_state_change(logger, "suspect cleared", content=content_name(content))

    def handle(self, sender: str, message: ContentMessage) -> None:
        """Merge a report from another daemon, or answer its query."""
        with self._lock:
            self._sharing.handle(sender, message, elapsed_s())

    # SuspectObserver

    def persist(self, contents: Iterable[int]) -> None:
        """Schedule writes of strong or already stored contents, for the periodic table task."""
        for content in contents:
            if self.suspects.is_strong(content) or content in self._stored_contents:
                self._pending_writes.add(content)

    def on_content_blocked(self, content: int, source: str) -> None:
        """Log a newly blocked content."""
        crashes = len(self.suspects.by_content[content].crash_by_worker)
        log_state_change(
            logger,
            "request quarantined",
            content=content_name(content),
            ends=crashes,
            source=source,
        )

    # Internals

    def _begin_run(self, content: int, machine: Machine, now_s: float, workload: Workload) -> bool:
        """Return whether a content may be sent; start its trial if it requires one."""
        is_trial = self.suspects.requires_trial(content, workload)
        if not self._sharing.begin_run(content, now_s, workload):
            return False
        if is_trial:
            name = content_name(content)
            log_state_change(logger, "suspect tried", content=name, worker=machine.machine_id)
        return True

    def _check_machine(self, machine: Machine) -> None:
        broke_at_s = elapsed_s()
        crashed = True
        for attempt in range(CRASH_CHECKS):
            if attempt:
                time.sleep(CRASH_CHECK_INTERVAL_S)
            crashed = crashed and self._has_crashed(machine)
        with self._lock:
            check = self._pending_check_by_machine.pop(machine.machine_id)
            if crashed:
                self._sharing.note_worker_crash(
                    crash_key(machine), broke_at_s, check.sent_at_s, elapsed_s()
                )
        # Cancelled while this daemon stops.
        if check.crashed.set_running_or_notify_cancel():
            check.crashed.set_result(crashed)
        if crashed:
            broken = len(check.sent_at_s)
            log_state_change(logger, "worker ended", worker=machine.machine_id, broken=broken)

    def _tick(self) -> None:
        with self._lock:
            self._sharing.tick(elapsed_s())
            no_longer_suspected = self._stored_contents - self.suspects.by_content.keys()
            self._pending_writes |= {
                c for c in no_longer_suspected if self._sharing.owns_cleanup(content_name(c))
            }

    def _sync_table(self) -> None:
        """Load the table on first use, then perform pending writes. Raises ``StoreUnavailable``."""
        if not self._loaded:
            self._merge_stored(self._table.read())
            self._loaded = True
        with self._lock:
            contents = set(self._pending_writes)
            crashes_by_content = {
                content: self._crashes_by_wall_clock(content) for content in contents
            }
        if not crashes_by_content:
            return
        self._table.write(crashes_by_content)
        with self._lock:
            self._pending_writes -= contents
            self._stored_contents = (self._stored_contents | contents) - {
                c for c, crashes in crashes_by_content.items() if not crashes
            }

    def _merge_stored(self, crashes_by_content: Mapping[int, CrashByWorker]) -> None:
        with self._lock:
            offset_s = elapsed_s() - time.time()
            for content, crashes in crashes_by_content.items():
                self._stored_contents.add(content)
                self.suspects.merge(content, shift_clock(crashes, offset_s), NEVER_S)
            self._sharing.note_stored(elapsed_s())

    def _crashes_by_wall_clock(self, content: int) -> CrashByWorker:
        suspect = self.suspects.by_content.get(content)
        if suspect is None:
            return {}
        return shift_clock(suspect.crash_by_worker, time.time() - elapsed_s())


def shift_clock(crash_by_worker: CrashByWorker, offset_s: float) -> CrashByWorker:
    """Convert crash times to a clock that is ``offset_s`` ahead."""
    return {
        worker: WorkerCrash(crash.at_s + offset_s, crash.run_duration_s)
        for worker, crash in crash_by_worker.items()
    }


def crash_key(machine: Machine) -> int:
    """Return the worker key under which a crash of a machine's worker is recorded now.

    It is a hash of the machine and the current time window.
    """
    window = int(time.time() / CRASH_DEDUP_WINDOW_S)
    return zlib.crc32(f"{machine.machine_id}@{window}".encode())
