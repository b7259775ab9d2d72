"""What this daemon knows of each worker: the platform's word, load, and own observations."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import cached_property

from mountstand.hashing import rendezvous_weight
from mountstand.serving.prompt import Prompt
from mountstand.serving.spread import UsualDurations, level_after, weights_below
from mountstand.serving.worker_health import WorkerHealth, judge, new_health

LOAD_TRUST_S = 2.0
"""A load report older than this says nothing: requests last about as long."""

SAMPLE_SIZE = 4
"""Workers compared per choice while the picture of their load is fresh. Few enough that daemons
with equal pictures do not all pick one."""

SPREAD_SIZE = 64
"""Workers that a choice by chance considers at most, so that it costs the same in any fleet."""

UNSEEN_PER_WORKER = 0.5
"""Up to so many requests per worker that peers began unseen, the picture of the load is fresh."""

UNREACHABLE_S = 1.0
"""First pause after a connection that failed; doubled on each further failure."""

LONGEST_UNREACHABLE_S = 4.0

PEER_DOUBT_S = 0.3
"""A worker heard from more recently is reachable from here, whatever a peer says."""

FULL_S = 0.1
"""Pause after a worker refused because it was full."""

FORGET_S = 10.0
"""A worker that left is forgotten after so long, so that it may still be listed again."""

FULL = 1.0
"""Fill below which it matters little how even loads are. Spreading over all free slots leaves room
for a rise of traffic that nobody can have seen yet."""

AFFINITY_FILL = 0.9
"""A home worker filled beyond this share of its slots gives the request to the next home."""


@dataclass(frozen=True)
class WorkerRecord:
    """A worker as the platform lists it; every start has an id of its own."""

    worker_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    version: int


@dataclass(frozen=True)
class LoadReport:
    """Load that a worker told with an answer."""

    running: int
    waiting: int
    slots: int

    @property
    def total(self) -> int:
        """Requests that run or wait."""
        return self.running + self.waiting


@dataclass
class Worker:
    """One worker and what was observed of it."""

    record: WorkerRecord
    in_flight: int = 0
    batch_in_flight: int = 0
    peer_online: int = 0
    peer_batch: int = 0
    load: LoadReport | None = None
    load_at_s: float = float("-inf")
    known_at_load: int = 0
    avoid_until_s: float = 0.0
    connect_failures: int = 0
    last_heard_s: float = float("-inf")
    unreachable_at_s: float = float("-inf")
    leaving_since_s: float | None = None
    health: WorkerHealth = field(default_factory=new_health)

    @cached_property
    def key(self) -> int:
        """The number that stands for this worker among daemons."""
        return zlib.crc32(self.record.worker_id.encode())

    @property
    def known(self) -> int:
        """What all daemons are known to have in flight here."""
        return self.in_flight + self.peer_online + self.peer_batch

    @property
    def online(self) -> int:
        """Online requests that all daemons are known to have in flight here."""
        return self.in_flight - self.batch_in_flight + self.peer_online

    @property
    def batch(self) -> int:
        """Batch items that all daemons are known to have in flight here."""
        return self.batch_in_flight + self.peer_batch

    def note_load(self, load: LoadReport, now_s: float) -> None:
        """Take a load report."""
        self.load = load
        self.load_at_s = now_s
        self.known_at_load = self.known

    def note_heard(self, now_s: float) -> None:
        """Note that the worker said something."""
        self.last_heard_s = now_s
        self.connect_failures = 0

    def note_connect_failed(self, now_s: float) -> None:
        """Avoid the worker for a while, longer each time."""
        pause_s = min(LONGEST_UNREACHABLE_S, UNREACHABLE_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.unreachable_at_s = now_s
        self.avoid_until_s = now_s + pause_s

    def note_unreachable_for_peer(self, now_s: float) -> None:
        """Avoid the worker for a while on a peer's word, unless it was just heard from."""
        if now_s - self.last_heard_s > PEER_DOUBT_S:
            self.avoid_until_s = max(self.avoid_until_s, now_s + UNREACHABLE_S)

    def note_full(self, now_s: float) -> None:
        """Avoid the worker for a moment."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + FULL_S)

    def slots(self) -> int:
        """Return how many requests run at once."""
        return max(1, self.record.slots)

    def takes_work(self, now_s: float) -> bool:
        """Return whether the worker stays, is reachable as far as is known, and not ejected."""
        avoided = self.avoid_until_s > now_s or self.health.is_ejected(now_s)
        return self.leaving_since_s is None and not avoided

    def estimated_load(self, now_s: float) -> float:
        """Estimate how many requests run or wait there.

        A fresh report plus what became known since; without one, what is known.
        """
        if self.load is not None and now_s - self.load_at_s <= LOAD_TRUST_S:
            change = self.known - self.known_at_load
            return max(float(self.in_flight), float(self.load.total + change))
        return float(self.known)


class WorkerDirectory:
    """All workers that the platform lists, and those that left a moment ago.

    ``leaving_use_s`` is how long a worker that is leaving may still be used where no other is left,
    ``picture_age_s`` how old what peers tell of their requests is on average.
    """

    def __init__(self, zone: str, source: random.Random, leaving_use_s: float = 1.0) -> None:
        self.workers: dict[str, Worker] = {}
        self._by_service: dict[str, list[Worker]] = {}
        self._zone = zone
        self._source = source
        self.leaving_use_s = leaving_use_s
        self.picture_age_s = 0.0
        self.durations = UsualDurations()

    def put(self, record: WorkerRecord, now_s: float) -> bool:
        """Take a worker's newest record; returns whether it says something new."""
        known = self.workers.get(record.worker_id)
        if known is None:
            known = Worker(record)
            self.workers[record.worker_id] = known
            changed = True
        elif known.record.version > record.version:
            return False
        else:
            changed = known.record.draining != record.draining
            changed = changed or (known.leaving_since_s is not None and not record.draining)
            known.record = record
        if not record.draining:
            known.leaving_since_s = None
        elif known.leaving_since_s is None:
            known.leaving_since_s = now_s
        self._index()
        return changed

    def remove(self, worker_id: str, version: int, now_s: float) -> bool:
        """Note that the platform lists a worker no longer; returns whether that is new.

        The list loses workers that still serve, and all of them at once when the store was down
        for some heartbeats; they are listed again a heartbeat later.
        """
        known = self.workers.get(worker_id)
        if known is None or known.leaving_since_s is not None:
            return False
        if version < known.record.version:
            return False
        known.leaving_since_s = now_s
        self._index()
        return True

    def replace_all(self, records: Iterable[WorkerRecord], now_s: float) -> None:
        """Take a complete list."""
        listed = {record.worker_id: record for record in records}
        for worker_id, known in self.workers.items():
            if worker_id not in listed:
                self.remove(worker_id, known.record.version, now_s)
        for record in listed.values():
            self.put(record, now_s)

    def judge_health(self, now_s: float) -> list[Worker]:
        """Eject workers that fail far more often than others; returns the new ones."""
        newly: list[Worker] = []
        for service in self._by_service:
            workers = self.of_service(service)
            ejected = judge([worker.health for worker in workers], now_s)
            newly += [worker for worker in workers if worker.health in ejected]
        return newly

    def sweep(self, now_s: float) -> None:
        """Forget workers that left long ago."""
        for worker_id, known in list(self.workers.items()):
            since_s = known.leaving_since_s
            if since_s is not None and not known.in_flight and now_s - since_s > FORGET_S:
                del self.workers[worker_id]

    def forget(self, worker: Worker) -> None:
        """Drop a worker that another one answered for at its address."""
        if self.workers.get(worker.record.worker_id) is worker:
            del self.workers[worker.record.worker_id]
            self._index()

    def of_service(self, service: str) -> list[Worker]:
        """Return the workers of a service that take new work."""
        return [w for w in self._by_service.get(service, []) if w.leaving_since_s is None]

    def just_left(self, service: str, now_s: float) -> list[Worker]:
        """Return workers that began to leave a moment ago and still serve."""
        return [
            worker
            for worker in self._by_service.get(service, [])
            if worker.leaving_since_s is not None
            and now_s - worker.leaving_since_s <= self.leaving_use_s
        ]

    def choose(
        self,
        service: str,
        prompt: Prompt,
        tried: set[str],
        now_s: float,
        allows: Callable[[Worker], bool] = lambda worker: True,
    ) -> Worker | None:
        """Choose the worker for an online request, or ``None`` where there is none left.

        Of the workers that would be asked, those are left out that ``allows`` says no to.
        """
        candidates = [w for w in self._candidates(service, tried, now_s) if allows(w)]
        if not candidates:
            return None
        key = prompt.affinity_key
        if key is not None:
            return self._choose_home(candidates, key, now_s)
        return self._choose_least_loaded(candidates, now_s)

    def choose_below(self, service: str, fill: float, now_s: float) -> Worker | None:
        """Choose a worker that one more request fills to ``fill`` of its slots at most."""
        candidates = [
            worker
            for worker in self.of_service(service)
            if worker.takes_work(now_s)
            and worker.estimated_load(now_s) + 1 <= worker.slots() * fill
        ]
        return self._choose_least_loaded(candidates, now_s) if candidates else None

    @property
    def services(self) -> list[str]:
        """The services that have workers."""
        return list(self._by_service)

    def _candidates(self, service: str, tried: set[str], now_s: float) -> list[Worker]:
        untried = [w for w in self.of_service(service) if w.record.worker_id not in tried]
        reachable = [worker for worker in untried if worker.avoid_until_s <= now_s]
        sound = [worker for worker in reachable if not worker.health.is_ejected(now_s)]
        if sound or reachable:
            return sound or reachable
        leaving = [
            worker
            for worker in self.just_left(service, now_s)
            if worker.record.worker_id not in tried and worker.avoid_until_s <= now_s
        ]
        return leaving or untried

    def _choose_home(self, candidates: list[Worker], key: str, now_s: float) -> Worker:
        homes = sorted(
            candidates, key=lambda w: rendezvous_weight(key, w.record.worker_id), reverse=True
        )
        for worker in homes:
            if worker.estimated_load(now_s) < worker.slots() * AFFINITY_FILL:
                return worker
        return self._choose_least_loaded(candidates, now_s)

    def _choose_least_loaded(self, candidates: list[Worker], now_s: float) -> Worker:
        """Choose a worker so that the loads even out, given what peers send unseen meanwhile."""
        spread = self._sample(candidates, SPREAD_SIZE)
        unseen = self.durations.arrivals(
            spread[0].record.service,
            sum(worker.peer_online for worker in spread),
            self.picture_age_s,
        )
        if unseen > UNSEEN_PER_WORKER * len(spread):
            level = max(FULL, level_after(_fills(spread, now_s), unseen))
            return self._choose_by_weight(spread, level, now_s)
        sample = self._sample(candidates, SAMPLE_SIZE)

        def cost(worker: Worker) -> tuple[float, bool, float]:
            fill = worker.estimated_load(now_s) / worker.slots()
            elsewhere = worker.record.zone != self._zone
            return (round(fill, 2), elsewhere, self._source.random())

        return min(sample, key=cost)

    def _choose_by_weight(self, candidates: list[Worker], level: float, now_s: float) -> Worker:
        """Choose a worker by chance, the likelier the more it lacks to ``level``."""
        weights = weights_below(_fills(candidates, now_s), level)
        if not any(weights):
            return self._source.choice(candidates)
        return self._source.choices(candidates, weights)[0]

    def _sample(self, candidates: list[Worker], size: int) -> list[Worker]:
        return candidates if len(candidates) <= size else self._source.sample(candidates, size)

    def _index(self) -> None:
        by_service: dict[str, list[Worker]] = {}
        for worker in self.workers.values():
            by_service.setdefault(worker.record.service, []).append(worker)
        self._by_service = by_service


def _fills(workers: list[Worker], now_s: float) -> list[tuple[float, int]]:
    """Return each worker's fill, as a share of its slots, and its slots."""
    return [(worker.estimated_load(now_s) / worker.slots(), worker.slots()) for worker in workers]
