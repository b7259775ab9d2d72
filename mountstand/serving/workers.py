"""The workers that the platform lists, by service, and which of them may be asked."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from mountstand.serving.cold_workers import ColdBudget, ColdStartLimit, ColdStartShares
from mountstand.serving.prompt import EMPTY_PROMPT, Prompt
from mountstand.serving.residency import Geography, Regions
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.worker_choice import WorkerChooser
from mountstand.serving.worker_health import judge

MOST_CONSIDERED = 256
"""Workers that a choice looks at, drawn by chance where a service has more: looking at 3,000 takes
9 ms, and the least loaded of 256 is hardly fuller than that of all."""

FORGET_S = 10.0
"""A worker that left is forgotten after so long, so that it may still be listed again."""


class WorkerDirectory:
    """All workers that the platform lists, and those that left a moment ago.

    ``withdrawn_grace_s`` is how long a worker that is leaving may still be used where no other is left.
    Indexes are made anew by the first look-up after a change: a start brings thousands of changes
    at once. Where requests may be served in some regions alone, the workers of a service there are
    a pool with a name of its own, which stands for a service in all look-ups.
    """

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        withdrawn_grace_s: float = 1.0,
        geography: Geography | None = None,
    ) -> None:
        self.workers: dict[str, Worker] = {}
        self._index: _WorkerIndex | None = None
        self._source = rng
        self.withdrawn_grace_s = withdrawn_grace_s
        self.chooser = WorkerChooser(zone, rng)
        self._geography = geography or Geography()
        self._pool_by_name: dict[str, _Pool] = {}
        self._evacuated_since_s: dict[str, float] = {}
        self._cold_by_service: Mapping[str, ColdStartLimit] = {}
        self._cold_sends: ColdStartShares | None = None

    def put(self, record: WorkerRecord, now_s: float) -> bool:
        """Take a worker's newest record; returns whether it says something new."""
        known = self.workers.get(record.worker_id)
        if known is not None and known.record.version > record.version:
            return False
        if known is None or _has_restarted(known.record, record):
            known = self._add(record, known, now_s)
            changed = True
        else:
            changed = known.record.draining != record.draining
            changed = changed or (known.leaving_since_s is not None and not record.draining)
            started_at_ms = record.started_at_ms or known.record.started_at_ms
            known.record = replace(record, started_at_ms=started_at_ms)
            known.evacuated_since_s = self._evacuated_since_s.get(record.zone)
        if known.cold is not None:
            known.cold.note_cold(now_s + record.cold_remaining_s)
        if not record.draining:
            known.leaving_since_s = None
        elif known.leaving_since_s is None:
            known.leaving_since_s = now_s
        self._index = None
        return changed

    def _add(self, record: WorkerRecord, former: Worker | None, now_s: float) -> Worker:
        """Know a worker of which nothing is known but its record.

        ``former`` is the process that had its id before; one that has just started is cold.
        """
        worker = Worker(record)
        worker.evacuated_since_s = self._evacuated_since_s.get(record.zone)
        self.workers[record.worker_id] = worker
        self._budget(worker, now_s)
        if former is not None:
            worker.assume_restarted(now_s)
        return worker

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
        self._index = None
        return True

    def replace_all(self, records: Iterable[WorkerRecord], now_s: float) -> None:
        """Take a complete list."""
        listed = {record.worker_id: record for record in records}
        for worker_id, known in self.workers.items():
            if worker_id not in listed:
                self.remove(worker_id, known.record.version, now_s)
        for record in listed.values():
            self.put(record, now_s)

    def pool_name(self, service: str, regions: Regions | None) -> str:
        """Return the name of the workers of a service in ``regions``: the service's own for all."""
        if regions is None:
            return service
        name = f"{service} in {', '.join(sorted(regions))}"
        if name not in self._pool_by_name:
            self._pool_by_name[name] = _Pool(service, regions)
            self._index = None
        return name

    def pool_contains(self, pool_name: str, worker: Worker) -> bool:
        """Return whether a pool or service has a worker."""
        found = self._pool_by_name.get(pool_name)
        if found is None:
            return pool_name == worker.record.service
        allowed = self._geography.allows(found.regions, worker.record.zone)
        return allowed and found.service == worker.record.service

    def pool_names_of(self, worker: Worker) -> list[str]:
        """Return the names of all pools that a worker is in, its service's first."""
        pool_names = [name for name in self._pool_by_name if self.pool_contains(name, worker)]
        return [worker.record.service, *pool_names]

    @property
    def pool_names(self) -> list[str]:
        """The services that have workers, and the pools that requests asked for."""
        return [*self.services, *self._pool_by_name]

    def set_evacuated_zones(self, zones: Collection[str], now_s: float) -> list[Worker]:
        """Use the workers of these zones no more, and those of all others; return the new ones.

        Workers of a zone that is used again may have started anew meanwhile.
        """
        since_s = self._evacuated_since_s
        self._evacuated_since_s = {zone: since_s.get(zone, now_s) for zone in zones}
        newly: list[Worker] = []
        for worker in self.workers.values():
            before_s = worker.evacuated_since_s
            worker.evacuated_since_s = self._evacuated_since_s.get(worker.record.zone)
            if before_s is None and worker.evacuated_since_s is not None:
                newly.append(worker)
            elif before_s is not None and worker.evacuated_since_s is None:
                worker.assume_restarted(now_s)
        self._index = None
        return newly

    def set_cold_start_limits(
        self, cold_by_service: Mapping[str, ColdStartLimit], sends: ColdStartShares, now_s: float
    ) -> None:
        """Send workers of these services no more than they bear while they are cold."""
        self._cold_by_service = cold_by_service
        self._cold_sends = sends
        for worker in self.workers.values():
            self._budget(worker, now_s)

    def _budget(self, worker: Worker, now_s: float) -> None:
        """Give a worker a budget for its cold starts, or take it away."""
        record = worker.record
        cold = self._cold_by_service.get(record.service)
        if cold is None or self._cold_sends is None:
            worker.cold = None
        elif worker.cold is None:
            worker.cold = ColdBudget(record.worker_id, cold, self._cold_sends)
            worker.cold.note_cold(now_s + record.cold_remaining_s)
        else:
            worker.cold.cold = cold

    def eject_failing_workers(self, now_s: float) -> list[Worker]:
        """Eject workers that fail far more often than others; returns the new ones."""
        newly: list[Worker] = []
        for service in self.services:
            workers = self.active_workers(service)
            ejected = judge([worker.health for worker in workers], now_s)
            if ejected:
                newly += [worker for worker in workers if worker.health in ejected]
        return newly

    def sweep(self, now_s: float) -> None:
        """Forget workers that left long ago."""
        for worker_id, known in list(self.workers.items()):
            since_s = known.leaving_since_s
            if since_s is not None and not known.in_flight and now_s - since_s > FORGET_S:
                del self.workers[worker_id]
                self._index = None

    def forget(self, worker: Worker) -> None:
        """Drop a worker that another one answered for at its address."""
        if self.workers.get(worker.record.worker_id) is worker:
            del self.workers[worker.record.worker_id]
            self._index = None

    def active_workers(self, service: str) -> list[Worker]:
        """Return the workers of a service that take new work; the list is not to be changed."""
        return self._indexed().staying_by_service.get(service, [])

    def just_left(self, service: str, now_s: float) -> list[Worker]:
        """Return workers that were withdrawn a moment ago and still serve."""
        return [
            worker
            for worker in self._indexed().leaving_by_service.get(service, [])
            if worker.withdrawn_since_s is not None
            and now_s - worker.withdrawn_since_s <= self.withdrawn_grace_s
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
        candidates: list[Worker] = []
        if prompt.affinity_key is None:
            candidates = [
                worker
                for worker in self._drawn(service)
                if worker.is_available(now_s)
                and worker.record.worker_id not in tried
                and allows(worker)
            ]
        if not candidates:
            candidates = [w for w in self._candidates(service, tried, now_s) if allows(w)]
        return self.chooser.choose(candidates, prompt, now_s) if candidates else None

    def choose_below_utilization(self, service: str, fill: float, now_s: float) -> Worker | None:
        """Choose a worker that one more request fills to ``fill`` of its slots at most."""

        def has_room(worker: Worker) -> bool:
            filled = worker.estimated_load(now_s) + 1
            return worker.is_available(now_s) and filled <= worker.slots() * fill

        candidates = [worker for worker in self._drawn(service) if has_room(worker)]
        if not candidates:
            candidates = [worker for worker in self.active_workers(service) if has_room(worker)]
        if not candidates:
            return None
        return self.chooser.choose_least_loaded(candidates, EMPTY_PROMPT, now_s)

    def choose_own_slot(self, service: str, now_s: float) -> Worker | None:
        """Choose a worker of which one of this daemon's own slots is free, if there is any."""
        own_slots = self.chooser.own_slots
        own = [w for w in self.active_workers(service) if w.record.worker_id in own_slots]
        usable = [worker for worker in own if worker.is_available(now_s)]
        return self.chooser.choose_own_slot(usable, sys.maxsize, now_s)

    def _drawn(self, service: str) -> list[Worker]:
        """Return some workers of a service that has many, else none."""
        workers = self.active_workers(service)
        if len(workers) <= MOST_CONSIDERED:
            return []
        return self._source.sample(workers, MOST_CONSIDERED)

    def slots(self) -> int:
        """Return how many requests all listed workers run at once."""
        return self._indexed().slots

    @property
    def services(self) -> list[str]:
        """The services that have workers."""
        return self._indexed().services

    @property
    def by_key(self) -> dict[int, Worker]:
        """All workers by the numbers that stand for them among daemons; not to be changed."""
        return self._indexed().by_key

    def _candidates(self, service: str, tried: set[str], now_s: float) -> list[Worker]:
        untried = [
            worker
            for worker in self.active_workers(service)
            if worker.record.worker_id not in tried and worker.bears_one(now_s)
        ]
        reachable = [worker for worker in untried if worker.backoff_until_s <= now_s]
        sound = [worker for worker in reachable if not worker.health.is_ejected(now_s)]
        if sound or reachable:
            return sound or reachable
        leaving = [
            worker
            for worker in self.just_left(service, now_s)
            if worker.record.worker_id not in tried
            and worker.backoff_until_s <= now_s
            and worker.bears_one(now_s)
        ]
        return leaving or untried

    def _indexed(self) -> _WorkerIndex:
        if self._index is None:
            self._index = _WorkerIndex(self.workers.values())
            for name in self._pool_by_name:
                held = [
                    worker for worker in self.workers.values() if self.pool_contains(name, worker)
                ]
                self._index.add_pool(name, held)
        return self._index


def _has_restarted(known: WorkerRecord, record: WorkerRecord) -> bool:
    """Return whether a record is that of a later process than the known one, under the same id.

    A record that does not tell when its process started says nothing of that.
    """
    return (
        known.started_at_ms > 0
        and record.started_at_ms > 0
        and known.started_at_ms != record.started_at_ms
    )


@dataclass(frozen=True, slots=True)
class _Pool:
    """The workers of a service in some regions."""

    service: str
    regions: Regions


class _WorkerIndex:
    """Look-ups over workers as they are at one moment."""

    __slots__ = ("by_key", "leaving_by_service", "services", "slots", "staying_by_service")

    def __init__(self, workers: Iterable[Worker]) -> None:
        self.by_key: dict[int, Worker] = {}
        self.staying_by_service: dict[str, list[Worker]] = {}
        self.leaving_by_service: dict[str, list[Worker]] = {}
        self.slots = 0
        for worker in workers:
            self.by_key[worker.key] = worker
            self._add(worker.record.service, worker)
            self.slots += worker.slots() if worker.withdrawn_since_s is None else 0
        self.services = sorted(self.staying_by_service.keys() | self.leaving_by_service.keys())

    def add_pool(self, name: str, workers: Iterable[Worker]) -> None:
        """Add the workers of a pool under its name."""
        for worker in workers:
            self._add(name, worker)

    def _add(self, name: str, worker: Worker) -> None:
        staying = worker.withdrawn_since_s is None
        by_name = self.staying_by_service if staying else self.leaving_by_service
        by_name.setdefault(name, []).append(worker)
