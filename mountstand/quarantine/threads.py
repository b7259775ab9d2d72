"""Holds back requests that crash workers: the part of one daemon of the own interface.

The same suspects as :mod:`mountstand.quarantine.service`, driven from threads. Machines of the
platform's list keep their id when their worker starts again, so an end is named by the machine and
the moment.
"""

from __future__ import annotations

import logging
import random
import threading
import time
import uuid
import zlib
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager

from mountstand.background import PeriodicTask
from mountstand.clock import elapsed_s
from mountstand.errors import RequestQuarantined
from mountstand.hashing import content_name
from mountstand.membership.service import MembershipService
from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.sharing import (
    QuarantineMessage,
    ReportLink,
    SuspectObserver,
    SuspectSharing,
)
from mountstand.quarantine.suspect import NEVER_S, EndByWorker, WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.store.ports import Machine, Put, TablePort, Transaction
from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.metrics import DaemonMetrics

logger = logging.getLogger(__name__)

TICK_S = 0.25
CHECK_THREADS = 2
CHECKS = 2
CHECK_PAUSE_S = 0.1
"""A worker that refuses connections this often, with the pause between, has ended."""

SAME_END_S = 2.0
"""Ends of one machine within this time are one: a worker needs longer to start again."""

STORE_INTERVAL_S = 1.0
KEY_PREFIX = "quarantine/"

HasEnded = Callable[[Machine], bool]


class MembershipReportLink(ReportLink):
    """Sends reports in the datagrams of failure detection; all daemons serve callers."""

    __slots__ = ("_membership",)

    def __init__(self, membership: MembershipService) -> None:
        self._membership = membership

    def running(self) -> Collection[str]:
        """Return the other daemons that are believed to run."""
        live = {member.member_id for member in self._membership.live_members()}
        return live - {self._membership.self_id}

    def serving(self) -> Collection[str]:
        """Return the same."""
        return self.running()

    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Send a message to daemons."""
        for member_id in receivers:
            member = self._membership.member(member_id)
            if member is not None:
                self._membership.send_hint(member, message)


class TableSuspects:
    """Suspects in the table, by content; times are seconds since the epoch."""

    def __init__(self, table: TablePort) -> None:
        self._table = table

    def read(self) -> dict[int, EndByWorker]:
        """Return ends of workers by content. Raises ``StoreUnavailable``."""
        ends_by_content: dict[int, EndByWorker] = {}
        for row in self._table.read(prefixes=(KEY_PREFIX,)).rows:
            try:
                content = int(row.key.removeprefix(KEY_PREFIX), 16)
                ends_by_content[content] = {
                    int(worker): WorkerCrash(float(at_s), float(ran_s))
                    for worker, (at_s, ran_s) in row.value["ends"].items()
                }
            except (ValueError, KeyError, TypeError, AttributeError) as problem:
                logger.warning("unreadable row", extra={"key": row.key, "cause": repr(problem)})
        return ends_by_content

    def write(self, ends_by_content: Mapping[int, EndByWorker]) -> None:
        """Write ends; a content without any loses its row. Raises ``StoreUnavailable``."""
        puts = []
        deletes = []
        for content, crash_by_worker in ends_by_content.items():
            key = KEY_PREFIX + content_name(content)
            if not crash_by_worker:
                deletes.append(key)
                continue
            ends = {str(worker): [end.at_s, end.ran_s] for worker, end in crash_by_worker.items()}
            puts.append(Put(key=key, value={"ends": ends}))
        self._table.commit(Transaction(write_id=uuid.uuid4().hex, puts=puts, deletes=deletes))


class ContentQuarantine(SuspectObserver):
    """Decides which contents may be sent to workers; thread-safe."""

    def __init__(
        self,
        own: str,
        link: ReportLink,
        table: TableSuspects,
        has_ended: HasEnded,
        metrics: DaemonMetrics,
        seed: int,
    ) -> None:
        self._lock = threading.RLock()
        self._sharing = SuspectSharing(own, link, random.Random(seed))
        self._sharing.observer = self
        self._separation = SuspectSeparation(self._sharing.suspects)
        self._table = table
        self._has_crashed = has_ended
        self._metrics = metrics
        self._loaded = False
        self._kept: set[int] = set()
        self._to_store: set[int] = set()
        self._checkers = ThreadPoolExecutor(CHECK_THREADS, thread_name_prefix="worker-end")
        self._sent_at_s_by_machine: dict[str, dict[int, float]] = {}
        self._tasks = [
            PeriodicTask("quarantine", TICK_S, self._tick),
            PeriodicTask("quarantine store", STORE_INTERVAL_S, self._use_table),
        ]

    @property
    def suspects(self) -> CrashSuspects:
        """What is known of contents that crash workers."""
        return self._sharing.suspects

    def start(self) -> None:
        """Ask other daemons and the table what they know, and go on telling."""
        with self._lock:
            self._sharing.query_peers()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Tell nothing more."""
        for task in self._tasks:
            task.stop()
        self._checkers.shutdown(wait=False, cancel_futures=True)

    def check(self, content: int) -> None:
        """Raise ``RequestQuarantined`` for a content that may not be sent to workers."""
        if not self.suspects:
            return
        with self._lock:
            blocked_for_s = self.suspects.blocked_for_s(content, elapsed_s())
        if blocked_for_s:
            raise self.quarantined_error(content, blocked_for_s)

    def quarantined_error(self, content: int, retry_after_s: float) -> RequestQuarantined:
        """Count a content that is not sent to a worker; return the error that says so."""
        self._metrics.requests_quarantined.inc()
        return RequestQuarantined(f"content {content_name(content)}", retry_after_s=retry_after_s)

    def requires_trial(self, content: int) -> bool:
        """Return whether a content may run only where no other suspect does."""
        if not self.suspects:
            return False
        with self._lock:
            return self.suspects.is_on_trial(content)

    def note_broken(self, machine: Machine, content: int, sent_at_s: float) -> None:
        """Note that an exchange broke at a worker after the request was sent."""
        if machine.leaving:
            return
        with self._lock:
            sent = self._sent_at_s_by_machine.get(machine.machine_id)
            if sent is not None:
                sent.setdefault(content, sent_at_s)
                return
            self._sent_at_s_by_machine[machine.machine_id] = {content: sent_at_s}
        self._checkers.submit(self._check_machine, machine)

    @contextmanager
    def running(self, content: int, machine: Machine) -> Iterator[bool]:
        """Keep other suspects away from a worker while a suspect runs there.

        The value is whether the content may run there, beside what this daemon has there already.
        The trial of one that was held back begins here, and holds it back everywhere else.
        """
        with self._lock:
            now_s = elapsed_s()
            allowed = self._separation.allows(content, machine.machine_id, now_s)
            allowed = allowed and self._begin(content, machine, now_s)
            entered = allowed and self._separation.enter(content, machine.machine_id)
        try:
            yield allowed
        finally:
            if entered:
                with self._lock:
                    self._separation.leave(content, machine.machine_id)

    def note_served(self, content: int) -> None:
        """Note that a worker answered a request whole."""
        if not self.suspects:
            return
        with self._lock:
            cleared = self._sharing.note_served(content, elapsed_s())
        if cleared:
            log_state_change(logger, "suspect cleared", content=content_name(content))

    def handle(self, sender: str, message: QuarantineMessage) -> None:
        """Take what another daemon tells, or answer it."""
        with self._lock:
            self._sharing.handle(sender, message, elapsed_s())

    # SuspectObserver

    def store(self, contents: Iterable[int]) -> None:
        """Have contents written to the table, by its own task."""
        for content in contents:
            if self.suspects.is_strong(content) or content in self._kept:
                self._to_store.add(content)

    def note_blocked(self, content: int, source: str) -> None:
        """Tell of a content that is held back from now on."""
        ends = len(self.suspects.by_content[content].crash_by_worker)
        log_state_change(
            logger, "request quarantined", content=content_name(content), ends=ends, source=source
        )

    # Internals

    def _begin(self, content: int, machine: Machine, now_s: float) -> bool:
        """Return whether a content may be sent; note its trial if this is one."""
        on_trial = self.suspects.is_on_trial(content)
        if not self._sharing.begin(content, now_s):
            return False
        if on_trial:
            name = content_name(content)
            log_state_change(logger, "suspect tried", content=name, worker=machine.machine_id)
        return True

    def _check_machine(self, machine: Machine) -> None:
        broke_at_s = elapsed_s()
        ended = True
        for number in range(CHECKS):
            if number:
                time.sleep(CHECK_PAUSE_S)
            ended = ended and self._has_crashed(machine)
        with self._lock:
            sent_at_s = self._sent_at_s_by_machine.pop(machine.machine_id)
            if ended:
                self._sharing.note_worker_crash(
                    end_key(machine), broke_at_s, sent_at_s, elapsed_s()
                )
        if ended:
            broken = len(sent_at_s)
            log_state_change(logger, "worker ended", worker=machine.machine_id, broken=broken)

    def _tick(self) -> None:
        with self._lock:
            self._sharing.tick(elapsed_s())
            forgotten = self._kept - self.suspects.by_content.keys()
            self._to_store |= {c for c in forgotten if self._sharing.is_keeper(content_name(c))}

    def _use_table(self) -> None:
        """Read the table once, then write what is wanted. Raises ``StoreUnavailable``."""
        if not self._loaded:
            self._take_stored(self._table.read())
            self._loaded = True
        with self._lock:
            contents = set(self._to_store)
            ended = {content: self._ends_by_wall_clock(content) for content in contents}
        if not ended:
            return
        self._table.write(ended)
        with self._lock:
            self._to_store -= contents
            self._kept = (self._kept | contents) - {c for c, ends in ended.items() if not ends}

    def _take_stored(self, ends_by_content: Mapping[int, EndByWorker]) -> None:
        with self._lock:
            offset_s = elapsed_s() - time.time()
            for content, ends in ends_by_content.items():
                self._kept.add(content)
                self.suspects.merge(content, moved(ends, offset_s), NEVER_S)
            self._sharing.note_stored(elapsed_s())

    def _ends_by_wall_clock(self, content: int) -> EndByWorker:
        suspect = self.suspects.by_content.get(content)
        if suspect is None:
            return {}
        return moved(suspect.crash_by_worker, time.time() - elapsed_s())


def moved(crash_by_worker: EndByWorker, by_s: float) -> EndByWorker:
    """Return ends on a clock that shows ``by_s`` seconds more."""
    return {w: WorkerCrash(end.at_s + by_s, end.ran_s) for w, end in crash_by_worker.items()}


def end_key(machine: Machine) -> int:
    """Return the number that stands for the end of a machine's worker at this moment."""
    moment = int(time.time() / SAME_END_S)
    return zlib.crc32(f"{machine.machine_id}@{moment}".encode())
