"""Quarantines requests that crash workers; runs on the event loop of a serving process.

All daemons block a content within moments of its third worker crash, wherever the crashes were
observed and even if the store is unavailable (:mod:`mountstand.quarantine.sharing`).
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager

from mountstand.hashing import content_name
from mountstand.quarantine.claimer import TrialClaimer
from mountstand.quarantine.part_quarantine import PartQuarantine
from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.sharing import (
    QuarantineMessage,
    ReportLink,
    SuspectObserver,
    SuspectSharing,
)
from mountstand.quarantine.started_trials import StartedTrials
from mountstand.quarantine.stored import StoredSuspects
from mountstand.serving.worker import Worker
from mountstand.serving.worker_ends import (
    BrokenRun,
    WorkerCrashDetector,
    WorkerCrashObserver,
    proves_sound,
)
from mountstand.serving.worker_protocol import Call
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.wire.gossip import PartQuery, PartReport

TICK_S = 0.1
"""Interval of :meth:`SuspectSharing.tick` while there are suspects or outstanding queries."""


class RequestQuarantine(WorkerCrashObserver, SuspectObserver):
    """Decides which requests may be sent to workers, on the event loop.

    The counterpart for threads is :class:`mountstand.quarantine.threads.ContentQuarantine`.
    ``daemon_name`` names this daemon. ``on_blocked`` is called with each newly blocked content.
    """

    def __init__(
        self,
        daemon_name: str,
        crash_detector: WorkerCrashDetector,
        link: ReportLink,
        rng: random.Random,
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self._daemon_name = daemon_name
        self._link = link
        self._crash_detector = crash_detector
        self._metrics = metrics
        self._log = log
        self._sharing = SuspectSharing(daemon_name, link, rng)
        self._sharing.observer = self
        self.suspects = self._sharing.suspects
        self._separation = SuspectSeparation(self.suspects)
        self.parts = PartQuarantine(daemon_name, link, rng, log)
        self._stored: StoredSuspects | None = None
        self._claimer: TrialClaimer | None = None
        self.on_blocked: Callable[[int], None] = lambda content: None
        self._wake_event = asyncio.Event()
        crash_detector.observers.append(self)

    # Called by the serving path

    def blocked_for_s(self, call: Call) -> float:
        """Return the remaining block time of a request, 0 if it may be sent to workers."""
        now_s = asyncio.get_running_loop().time()
        part_blocked_for_s = self.parts.blocked_for_s(
            call.prompt.shared_keys,
            now_s,
            call.workload,
            has_crashed=bool(self.suspects) and self._has_crashes(call.content_key),
        )
        if not self.suspects.any_blocked:
            return part_blocked_for_s
        blocked_for_s = self.suspects.blocked_for_s(call.content_key, now_s, call.workload)
        return max(blocked_for_s, part_blocked_for_s)

    def note_broken(
        self, worker: Worker, call: Call, sent_at_s: float, writing_since_s: float | None
    ) -> None:
        """Record that the connection to a worker broke after the request was sent.

        ``writing_since_s`` is when the first event of this run came, if any.
        """
        self._crash_detector.note_broken(worker, call, sent_at_s, writing_since_s)

    def note_writing(self, call: Call, writing_since_s: float, *, resumed: bool) -> None:
        """Record that a run goes on writing, which clears the parts of its prompt after a while.

        A run that ``resumed`` an output clears its content too. It began where an earlier run
        ended, so the content did not cause that end. A content that crashes workers later in its
        output crashes the next run at once.
        """
        if not (self.parts.suspects or self.suspects) or not proves_sound(writing_since_s):
            return
        now_s = asyncio.get_running_loop().time()
        self.parts.note_served(call.prompt.shared_keys, call.request_id, now_s)
        if resumed:
            self._clear(call, now_s)

    async def wait_until_checked(self, worker: Worker) -> bool:
        """Wait for the pending crash check of a worker, if there is one, up to a timeout.

        Returns whether it found that the worker has crashed.
        """
        return await self._crash_detector.wait_until_checked(worker)

    def is_suspect(self, call: Call) -> bool:
        """Return whether a request's content or a part has crashes that no success cleared."""
        if self.parts.is_suspect(call.prompt.shared_keys):
            return True
        suspect = self.suspects.by_content.get(call.content_key)
        return suspect is not None and bool(suspect.crash_by_worker)

    def allows(self, call: Call, worker: Worker) -> bool:
        """Return whether a request may run on a worker (:meth:`SuspectSeparation.allows`)."""
        if not self.suspects:
            return True
        now_s = asyncio.get_running_loop().time()
        return self._separation.allows(call.content_key, worker.record.worker_id, now_s)

    def requires_trial(self, call: Call) -> bool:
        """Return whether a request requires a trial, apart from other strong suspects."""
        if not self.suspects:
            return False
        return self.suspects.requires_trial(call.content_key, call.workload)

    def requires_claim(self, call: Call) -> bool:
        """Return whether a request must claim trials before it is sent (:meth:`claim_trials`)."""
        if self._claimer is None or not (self.suspects or self.parts.suspects):
            return False
        return self._claimer.requires_claim(call)

    async def claim_trials(self, call: Call) -> float:
        """Claim the trials that a request would begin, so that no other daemon begins them.

        Returns 0 if it may be sent, as far as :meth:`blocked_for_s`, :meth:`allows` and
        :meth:`requires_claim` still say so, else the time after which it may be tried again.
        Call :meth:`release_claims` if it is not sent.
        """
        assert self._claimer is not None
        return await self._claimer.claim(call, lambda: self.blocked_for_s(call))

    def release_claims(self, call: Call) -> None:
        """Let other requests begin the trials that a request has claimed and did not begin."""
        if self._claimer is not None:
            self._claimer.release(call)

    @contextmanager
    def running(self, call: Call, worker: Worker) -> Iterator[StartedTrials]:
        """Track the run of a strong suspect, so that this daemon sends no other one to the worker.

        Enter it right after :meth:`blocked_for_s` and :meth:`allows`, without awaiting in between.
        If the content or a part requires a trial, the trial starts here and blocks it on all
        daemons; it was claimed before (:meth:`claim_trials`). Yields the trials that started.
        """
        worker_id = worker.record.worker_id
        now_s = asyncio.get_running_loop().time()
        trials = StartedTrials()
        if self._claimer is not None:
            self._claimer.note_begun(call)
        trials.add(self.parts.suspects, self.parts.begin_trials(call, worker_id, now_s))
        if self.requires_trial(call):
            self._begin_trial(call, worker_id)
            trials.add(self.suspects, (call.content_key,))
        tracked = bool(self.suspects) and self._separation.track_run(call.content_key, worker_id)
        try:
            yield trials
        finally:
            if tracked:
                self._separation.release_run(call.content_key, worker_id)

    def _begin_trial(self, call: Call, worker_id: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self._sharing.begin_run(call.content_key, now_s, call.workload)
        self._log.event(
            "suspect_tried",
            content=content_name(call.content_key),
            request=call.request_id,
            worker=worker_id,
            trials=self.suspects.by_content[call.content_key].trials.count,
        )

    def note_served(self, call: Call, *, succeeded: bool = True) -> None:
        """Record that a worker answered a request completely, which clears its content.

        It clears the parts of its prompt too if the answer is one of success.
        """
        now_s = asyncio.get_running_loop().time()
        if succeeded:
            self.parts.note_served(call.prompt.shared_keys, call.request_id, now_s)
        self._clear(call, now_s)

    def _clear(self, call: Call, now_s: float) -> None:
        if self.suspects and self._sharing.note_served(call.content_key, now_s):
            name = content_name(call.content_key)
            self._log.event("suspect_cleared", content=name, request=call.request_id)

    def on_worker_crash(
        self, worker: Worker, run_by_content: Mapping[int, BrokenRun], crashed_at_s: float
    ) -> None:
        """Suspect what was running on connections from this daemon when the worker crashed."""
        now_s = asyncio.get_running_loop().time()
        new_contents = [key for key in run_by_content if not self._has_crashes(key)]
        self.parts.note_worker_crash(worker.key, crashed_at_s, run_by_content, new_contents, now_s)
        sent_at_s = {content: run.sent_at_s for content, run in run_by_content.items()}
        self._sharing.note_worker_crash(worker.key, crashed_at_s, sent_at_s, now_s)
        self._wake_event.set()

    def _has_crashes(self, content: int) -> bool:
        suspect = self.suspects.by_content.get(content)
        return suspect is not None and bool(suspect.crash_by_worker)

    # Sharing with other daemons and the store

    def attach_store(
        self, stored: StoredSuspects, stored_parts: StoredSuspects | None = None
    ) -> None:
        """Persist suspects in the store, and merge what other daemons have stored."""
        self._stored = stored
        stored.on_change = self._note_stored
        if stored_parts is None:
            return
        self.parts.attach_store(stored_parts, self._note_stored)
        self._claimer = TrialClaimer(self._daemon_name, self._link, stored, stored_parts, self._log)

    def handle(self, sender: str, message: QuarantineMessage) -> None:
        """Merge a report from another daemon, or answer its query."""
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, PartReport | PartQuery):
            self.parts.handle(sender, message, now_s)
        else:
            self._sharing.handle(sender, message, now_s)
        self._wake_event.set()

    def query_peers(self) -> None:
        """Query peers for their suspects, after a start or a suspension of this daemon."""
        now_s = asyncio.get_running_loop().time()
        self._sharing.query_peers(now_s)
        self.parts.query_peers(now_s)
        self._wake_event.set()

    async def run(self) -> None:
        """Query peers, then exchange and expire suspects while there are any, until cancelled."""
        self.query_peers()
        while True:
            if self._sharing.idle and self.parts.idle:
                self._wake_event.clear()
                await self._wake_event.wait()
            await asyncio.sleep(TICK_S)
            now_s = asyncio.get_running_loop().time()
            self._sharing.tick(now_s)
            self.parts.tick(now_s)
            self._metrics.contents_blocked(len(self._sharing.last_blocked))
            self._remove_stale_rows()

    def _note_stored(self) -> None:
        now_s = asyncio.get_running_loop().time()
        self._sharing.note_stored(now_s)
        self.parts.note_stored(now_s)
        self._wake_event.set()

    def _remove_stale_rows(self) -> None:
        """Remove rows of contents no longer suspected. One daemon is responsible for each row."""
        if self._stored is None:
            return
        for content in self._stored.contents_with_stale_row():
            if self._sharing.owns_cleanup(content_name(content)):
                self._stored.request_write(content)

    # SuspectObserver

    def persist(self, contents: Iterable[int]) -> None:
        """Schedule writes of contents to the store."""
        if self._stored is not None:
            for content in contents:
                self._stored.request_write(content)

    def on_content_blocked(self, content: int, source: str) -> None:
        """Log a newly blocked content with its evidence, and call ``on_blocked``."""
        crash_by_worker = self.suspects.by_content[content].crash_by_worker
        now_s = asyncio.get_running_loop().time()
        self._log.event(
            "request_quarantined",
            content=content_name(content),
            ends=len(crash_by_worker),
            workers=sorted(crash_by_worker),
            for_s=round(self.suspects.blocked_for_s(content, now_s), 1),
            trial=self.suspects.requires_trial(content),
            source=source,
        )
        self.on_blocked(content)
