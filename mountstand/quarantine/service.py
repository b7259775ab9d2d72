"""Holds back requests that crash workers: the part of one serving process.

All daemons hold a content back within moments of the third end under it, wherever it comes, and
whether or not the store serves them (:mod:`mountstand.quarantine.sharing`).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager

from mountstand.hashing import content_name
from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.sharing import (
    QuarantineMessage,
    ReportLink,
    SuspectObserver,
    SuspectSharing,
)
from mountstand.quarantine.stored import StoredSuspects
from mountstand.serving.worker import Worker
from mountstand.serving.worker_ends import WorkerCrashDetector, WorkerCrashObserver
from mountstand.serving.worker_protocol import Call
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics

TICK_S = 0.1
"""How often it is looked whether something is to be told, while anything is known."""


class RequestQuarantine(WorkerCrashObserver, SuspectObserver):
    """Decides which requests may be sent to workers.

    ``own`` is the name of this daemon. ``on_blocked`` is told of each content that becomes blocked.
    """

    def __init__(
        self,
        own: str,
        ends: WorkerCrashDetector,
        link: ReportLink,
        rng: random.Random,
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self._ends = ends
        self._metrics = metrics
        self._log = log
        self._sharing = SuspectSharing(own, link, rng)
        self._sharing.observer = self
        self.suspects = self._sharing.suspects
        self._separation = SuspectSeparation(self.suspects)
        self._stored: StoredSuspects | None = None
        self.on_blocked: Callable[[int], None] = lambda content: None
        self._wakened = asyncio.Event()
        ends.observers.append(self)

    # What the serving path asks and tells

    def blocked_for_s(self, call: Call) -> float:
        """Return for how long a request may not be sent to workers, 0 if it may be."""
        if not self.suspects.any_blocked:
            return 0.0
        now_s = asyncio.get_running_loop().time()
        return self.suspects.blocked_for_s(call.content_key, now_s)

    def note_broken(self, worker: Worker, call: Call, sent_at_s: float) -> None:
        """Note that an exchange broke at a worker after the request was sent."""
        self._ends.note_broken(worker, call, sent_at_s)

    async def wait_until_checked(self, worker: Worker) -> None:
        """Wait until it is known whether a worker at which an exchange broke has ended."""
        await self._ends.wait_until_checked(worker)

    def is_suspect(self, call: Call) -> bool:
        """Return whether a worker ended under a request's content lately."""
        if not self.suspects:
            return False
        suspect = self.suspects.by_content.get(call.content_key)
        return suspect is not None and bool(suspect.crash_by_worker)

    def allows(self, call: Call, worker: Worker) -> bool:
        """Return whether a request may run at a worker beside what this daemon has there."""
        if not self.suspects:
            return True
        now_s = asyncio.get_running_loop().time()
        return self._separation.allows(call.content_key, worker.record.worker_id, now_s)

    def requires_trial(self, call: Call) -> bool:
        """Return whether a request may run only where no other suspect does."""
        return self.suspects.any_on_trial and self.suspects.is_on_trial(call.content_key)

    @contextmanager
    def running(self, call: Call, worker: Worker) -> Iterator[None]:
        """Keep other suspects away from a worker while a suspect runs there.

        Call it at the moment that :meth:`blocked_for_s` and :meth:`allows` were asked: the trial
        of a content that was held back begins here, and holds it back everywhere else.
        """
        worker_id = worker.record.worker_id
        if self.requires_trial(call):
            self._begin_trial(call, worker_id)
        entered = bool(self.suspects) and self._separation.enter(call.content_key, worker_id)
        try:
            yield
        finally:
            if entered:
                self._separation.leave(call.content_key, worker_id)

    def _begin_trial(self, call: Call, worker_id: str) -> None:
        self._sharing.begin(call.content_key, asyncio.get_running_loop().time())
        self._log.event(
            "suspect_tried",
            content=content_name(call.content_key),
            request=call.request_id,
            worker=worker_id,
            trials=self.suspects.by_content[call.content_key].trials.count,
        )

    def note_served(self, call: Call) -> None:
        """Note that a worker answered a request whole: what is served does not crash workers."""
        if not self.suspects:
            return
        content = call.content_key
        if self._sharing.note_served(content, asyncio.get_running_loop().time()):
            name = content_name(content)
            self._log.event("suspect_cleared", content=name, request=call.request_id)

    def on_worker_crash(
        self, worker: Worker, sent_at_s: Mapping[int, float], ended_at_s: float
    ) -> None:
        """Suspect all contents that broke as a worker ended."""
        now_s = asyncio.get_running_loop().time()
        self._sharing.note_worker_crash(worker.key, ended_at_s, sent_at_s, now_s)
        self._wakened.set()

    # Other daemons and the store

    def attach_store(self, stored: StoredSuspects) -> None:
        """Keep suspects in the store, and take what its rows say."""
        self._stored = stored
        stored.on_news = self._note_stored

    def handle(self, sender: str, message: QuarantineMessage) -> None:
        """Take what another daemon tells, or answer it."""
        self._sharing.handle(sender, message, asyncio.get_running_loop().time())
        self._wakened.set()

    def query_peers(self) -> None:
        """Ask other daemons what they know: this one starts, or stood still."""
        self._sharing.query_peers()
        self._wakened.set()

    async def run(self) -> None:
        """Ask once, then tell again, remind and forget, until cancelled."""
        self.query_peers()
        while True:
            if self._sharing.idle:
                self._wakened.clear()
                await self._wakened.wait()
            await asyncio.sleep(TICK_S)
            self._sharing.tick(asyncio.get_running_loop().time())
            self._metrics.contents_blocked(len(self._sharing.blocked))
            self._remove_forgotten()

    def _note_stored(self) -> None:
        self._sharing.note_stored(asyncio.get_running_loop().time())
        self._wakened.set()

    def _remove_forgotten(self) -> None:
        """Remove rows of contents that are not known any more; one daemon does so for each."""
        if self._stored is None:
            return
        for content in self._stored.forgotten_rows():
            if self._sharing.is_keeper(content_name(content)):
                self._stored.want(content)

    # SuspectObserver

    def store(self, contents: Iterable[int]) -> None:
        """Have contents written to the store."""
        if self._stored is not None:
            for content in contents:
                self._stored.want(content)

    def note_blocked(self, content: int, source: str) -> None:
        """Tell of a content that is held back from now on, and of what is known of it."""
        crash_by_worker = self.suspects.by_content[content].crash_by_worker
        now_s = asyncio.get_running_loop().time()
        self._log.event(
            "request_quarantined",
            content=content_name(content),
            ends=len(crash_by_worker),
            workers=sorted(crash_by_worker),
            for_s=round(self.suspects.blocked_for_s(content, now_s), 1),
            trial=self.suspects.is_on_trial(content),
            source=source,
        )
        self.on_blocked(content)
