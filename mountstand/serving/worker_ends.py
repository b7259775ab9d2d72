"""Finds out which workers ended while they ran requests.

An exchange that breaks says little: a link may have failed, or the worker may have closed this
connection alone. Whether its process is gone shows in a moment, as its machine refuses connections
until the worker is back some seconds later. A worker that leaves as planned is expected to end.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping

from mountstand.hashing import content_name
from mountstand.serving.connections import ClosedOnAccept, WorkerConnections
from mountstand.serving.worker import Worker
from mountstand.serving.worker_protocol import Call
from mountstand.telemetry.decisions import DecisionLog, milliseconds
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.forwarders import TURNED_AWAY_PAUSE_S
from mountstand.transport.http_client import ConnectFailed

REFUSALS_NEEDED = 2
"""Refused connects that tell an end: a worker with too many connections may refuse one as well."""

PAUSE_S = 0.1
"""Time between checks. Workers need seconds to start again, so that none is taken for its
successor."""

AVOIDED_S = 2 * TURNED_AWAY_PAUSE_S
"""For so long a worker that turned a check away gets no new work; further checks prolong it."""

MOST_CHECKS = 3
"""A worker that neither accepts nor refuses twice in so many checks is behind a broken link, as far
as is known."""

LAST_WORDS_S = 0.1
"""What a worker sent before it ended is read so much later at most, beside other requests."""

SETTLED_S = 0.25
"""Longest wait for a check: two refusals take 0.1 s, and one that takes longer tells no end."""

KEYS_TOLD = 20
"""Contents that a line names at most; engines run about as many requests at once."""


class WorkerCrashObserver(ABC):
    """Is told of workers that ended."""

    __slots__ = ()

    @abstractmethod
    def on_worker_crash(
        self, worker: Worker, sent_at_s: Mapping[int, float], ended_at_s: float
    ) -> None:
        """Take when ``worker`` ended, and when each content was sent that broke there."""


class WorkerCrashDetector:
    """Checks workers at which exchanges broke, each once at a time."""

    def __init__(
        self, connections: WorkerConnections, metrics: ServingMetrics, log: DecisionLog
    ) -> None:
        self._connections = connections
        self._metrics = metrics
        self._log = log
        self._sent_at_s_by_worker: dict[str, dict[int, float]] = {}
        self._check_by_worker: dict[str, asyncio.Task[None]] = {}
        self.observers: list[WorkerCrashObserver] = []

    def note_broken(self, worker: Worker, call: Call, sent_at_s: float) -> None:
        """Note that the exchange of ``call`` broke at ``worker`` after it was sent there."""
        if worker.leaving_since_s is not None:
            return
        worker_id = worker.record.worker_id
        sent = self._sent_at_s_by_worker.setdefault(worker_id, {})
        sent.setdefault(call.content_key, sent_at_s)
        if worker_id not in self._check_by_worker:
            self._check_by_worker[worker_id] = asyncio.create_task(self._check(worker))

    async def wait_until_checked(self, worker: Worker) -> None:
        """Wait until it is known whether a worker ended, if it is being checked, for a moment."""
        check = self._check_by_worker.get(worker.record.worker_id)
        if check is not None:
            await asyncio.wait([check], timeout=SETTLED_S)

    async def _check(self, worker: Worker) -> None:
        broke_at_s = asyncio.get_running_loop().time()
        try:
            ended = await self._has_crashed(worker)
        finally:
            sent_at_s = self._sent_at_s_by_worker.pop(worker.record.worker_id)
            del self._check_by_worker[worker.record.worker_id]
        if not ended:
            return
        worker.note_connect_failed(asyncio.get_running_loop().time())
        self._metrics.worker_ended()
        self._log.event(
            "worker_ended",
            worker=worker.record.worker_id,
            worker_version=worker.record.version,
            contents=[content_name(key) for key in sorted(sent_at_s)[:KEYS_TOLD]],
            broken=len(sent_at_s),
        )
        for observer in self.observers:
            observer.on_worker_crash(worker, sent_at_s, broke_at_s)

    async def _has_crashed(self, worker: Worker) -> bool:
        """Return whether nothing listens at a worker's address, or nobody answers behind it.

        A full worker turns connections away too, but is heard on those that it has.
        """
        began_s = asyncio.get_running_loop().time()
        refusals = turned_away = 0
        for number in range(1, MOST_CHECKS + 1):
            pause_s = PAUSE_S
            try:
                await self._connections.probe(worker)
            except ClosedOnAccept:
                turned_away += 1
                pause_s = TURNED_AWAY_PAUSE_S
                # Full or dead, it would break off at once whatever is sent to it meanwhile.
                worker.extend_backoff(asyncio.get_running_loop().time() + AVOIDED_S)
            except ConnectFailed as problem:
                refusals += problem.refused
            else:
                self._note_alive(worker, "accepts", number, turned_away, began_s)
                return False
            if refusals >= REFUSALS_NEEDED:
                return True
            await asyncio.sleep(pause_s)
        said_s = worker.last_data_s
        ended = turned_away == MOST_CHECKS and said_s <= began_s + LAST_WORDS_S
        if not ended:
            self._note_alive(worker, "said something or unclear", MOST_CHECKS, turned_away, began_s)
        return ended

    def _note_alive(
        self, worker: Worker, cause: str, checks: int, turned_away: int, began_s: float
    ) -> None:
        """Tell why a worker at which an exchange broke is not taken as ended."""
        now_s = asyncio.get_running_loop().time()
        said_s = worker.last_data_s
        self._log.event(
            "worker_not_ended",
            worker=worker.record.worker_id,
            cause=cause,
            checks=checks,
            turned_away=turned_away,
            after_ms=milliseconds(now_s - began_s),
            said_after_ms=milliseconds(said_s - began_s) if said_s > began_s else None,
        )
