"""Detects workers that crashed while they ran requests.

A broken exchange alone does not prove a crash: the link may have failed, or the worker may have
closed just this connection. So the worker's address is probed: after a crash, its machine refuses
connections for some seconds until the worker has restarted. Workers that are leaving are expected
to exit and are not checked.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from mountstand.hashing import content_name
from mountstand.serving.connections import ClosedOnAccept, WorkerConnections
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import Call
from mountstand.telemetry.decisions import DecisionLog, milliseconds
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.forwarders import TURNED_AWAY_PAUSE_S
from mountstand.transport.http_client import ConnectFailed

MIN_REFUSALS = 2
"""Refused connects that prove a crash. A live worker with too many connections may refuse one."""

PROBE_INTERVAL_S = 0.1
"""Time between probes; much less than a restart takes, so a restarted worker cannot answer them."""

AVOID_AFTER_CLOSE_S = 2 * TURNED_AWAY_PAUSE_S
"""How long a worker that closes a probe's connection at once is avoided; each such probe extends
this."""

MAX_PROBES = 3
"""Maximum number of probes per check. If all of them are accepted and closed at once and the worker
sends no data meanwhile, it counts as crashed; otherwise as alive, as the link may have failed."""

BUFFERED_DATA_GRACE_S = 0.1
"""Data that a worker sent before a crash may still be read for this long after the crash."""

CHECK_WAIT_TIMEOUT_S = 0.25
"""How long a caller waits for a check: two refused probes take 0.1 s, and a check that takes longer
than this usually does not show a crash. It runs on, but the caller continues without its result."""

WRITING_PROVES_S = 0.5
"""A part of a prompt that crashes workers does so as they begin to write an answer on it. A run
that has written for this long shows that its parts are sound, and that the content is where it
began."""

MAX_LOGGED_CONTENTS = 20
"""Maximum number of content keys in a log line, about as many as requests run at a worker."""


@dataclass(frozen=True, slots=True)
class BrokenRun:
    """A run that broke: when it was sent, and the keys of its prompt's shared parts.

    ``part_keys`` is empty if the run had written long enough to show that they are sound.
    """

    sent_at_s: float
    part_keys: tuple[int, ...] = ()


class WorkerCrashObserver(ABC):
    """Is notified of worker crashes."""

    __slots__ = ()

    @abstractmethod
    def on_worker_crash(
        self, worker: Worker, run_by_content: Mapping[int, BrokenRun], noticed_at_s: float
    ) -> None:
        """Handle a crash of ``worker``, noticed at ``noticed_at_s`` by the first broken exchange.

        ``run_by_content`` maps the content key of each broken request to its run.
        """


class WorkerCrashDetector:
    """Checks workers whose exchanges broke, with at most one running check per worker."""

    def __init__(
        self, connections: WorkerConnections, metrics: ServingMetrics, log: DecisionLog
    ) -> None:
        self._connections = connections
        self._metrics = metrics
        self._log = log
        self._runs_by_worker: dict[str, dict[int, BrokenRun]] = {}
        self._check_by_worker: dict[str, asyncio.Task[bool]] = {}
        self.observers: list[WorkerCrashObserver] = []

    def note_broken(
        self, worker: Worker, call: Call, sent_at_s: float, writing_since_s: float | None = None
    ) -> None:
        """Record that the exchange of ``call`` with ``worker`` broke; start a check if none runs.

        ``writing_since_s`` is when the worker's first event came, if any. Leaving workers are
        ignored.
        """
        if worker.leaving_since_s is not None:
            return
        worker_id = worker.record.worker_id
        runs = self._runs_by_worker.setdefault(worker_id, {})
        part_keys = () if proves_sound(writing_since_s) else call.prompt.shared_keys
        runs.setdefault(call.content_key, BrokenRun(sent_at_s, part_keys))
        if worker_id not in self._check_by_worker:
            self._check_by_worker[worker_id] = asyncio.create_task(self._check(worker))

    async def wait_until_checked(self, worker: Worker) -> bool:
        """Wait for a running check of ``worker``, if any, up to ``CHECK_WAIT_TIMEOUT_S``.

        Returns whether it found that the worker has crashed.
        """
        check = self._check_by_worker.get(worker.record.worker_id)
        if check is None:
            return False
        await asyncio.wait([check], timeout=CHECK_WAIT_TIMEOUT_S)
        return check.done() and not check.cancelled() and check.result()

    async def _check(self, worker: Worker) -> bool:
        broke_at_s = asyncio.get_running_loop().time()
        try:
            crashed = await self._has_crashed(worker)
        finally:
            runs = self._runs_by_worker.pop(worker.record.worker_id)
            del self._check_by_worker[worker.record.worker_id]
        if not crashed:
            return False
        worker.note_connect_failed(asyncio.get_running_loop().time())
        self._metrics.worker_ended()
        self._log.event(
            "worker_ended",
            worker=worker.record.worker_id,
            worker_version=worker.record.version,
            contents=[content_name(key) for key in sorted(runs)[:MAX_LOGGED_CONTENTS]],
            broken=len(runs),
        )
        for observer in self.observers:
            observer.on_worker_crash(worker, runs, broke_at_s)
        return True

    async def _has_crashed(self, worker: Worker) -> bool:
        """Return whether nothing listens at a worker's address, or only a port forwarder does.

        A forwarder of a dead worker accepts connections and closes them at once. A full worker
        does so too, but keeps sending data on its existing connections.
        """
        began_s = asyncio.get_running_loop().time()
        refusals = closed_on_accept = 0
        for probe in range(1, MAX_PROBES + 1):
            pause_s = PROBE_INTERVAL_S
            try:
                await self._connections.probe(worker)
            except ClosedOnAccept:
                closed_on_accept += 1
                pause_s = TURNED_AWAY_PAUSE_S
                # Whether full or dead, it would close any new connection at once.
                worker.extend_backoff(asyncio.get_running_loop().time() + AVOID_AFTER_CLOSE_S)
            except ConnectFailed as problem:
                refusals += problem.refused
            else:
                self._log_not_crashed(worker, "accepts", probe, closed_on_accept, began_s)
                return False
            if refusals >= MIN_REFUSALS:
                return True
            await asyncio.sleep(pause_s)
        last_data_s = worker.last_data_s
        crashed = closed_on_accept == MAX_PROBES and last_data_s <= began_s + BUFFERED_DATA_GRACE_S
        if not crashed:
            self._log_not_crashed(
                worker, "said something or unclear", MAX_PROBES, closed_on_accept, began_s
            )
        return crashed

    def _log_not_crashed(
        self, worker: Worker, cause: str, probes: int, closed_on_accept: int, began_s: float
    ) -> None:
        """Log why a worker with a broken exchange does not count as crashed."""
        now_s = asyncio.get_running_loop().time()
        last_data_s = worker.last_data_s
        self._log.event(
            "worker_not_ended",
            worker=worker.record.worker_id,
            cause=cause,
            checks=probes,
            turned_away=closed_on_accept,
            after_ms=milliseconds(now_s - began_s),
            said_after_ms=milliseconds(last_data_s - began_s) if last_data_s > began_s else None,
        )


def proves_sound(writing_since_s: float | None) -> bool:
    """Return whether a run has written for long enough since its first event to count as sound."""
    if writing_since_s is None:
        return False
    return asyncio.get_running_loop().time() - writing_since_s > WRITING_PROVES_S
