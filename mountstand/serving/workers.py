"""Directory of the workers that the platform lists, and selection among them by service."""

from __future__ import annotations

import random
import sys
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, replace

from mountstand.serving.cold_workers import ColdStartBudget, ColdStartLimit, ColdStartShares
from mountstand.serving.prompt import EMPTY_PROMPT, Prompt
from mountstand.serving.residency import ANYWHERE, Geography, Regions
from mountstand.serving.software import SoftwareHistory
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.worker_choice import WorkerChooser
from mountstand.serving.worker_health import eject_outliers

MAX_CANDIDATES = 256
"""Larger services are first sampled down to this many workers, which bounds the cost of a choice:
looking at 3,000 takes 9 ms. The least loaded worker of such a sample is hardly fuller than that of
the whole service."""

LEAVING_RETENTION_S = 10.0
"""How long the state of a leaving worker is kept in case the platform lists it again."""


class WorkerDirectory:
    """All workers that the platform lists, and those that left recently.

    A worker is leaving if it is draining or no longer listed, and withdrawn if it is leaving or its
    zone is evacuated.

    ``withdrawn_grace_s`` is how long a withdrawn worker may still be used if no other worker of its
    service is reachable. Indexes are rebuilt lazily by the first look-up after a change, since
    startup brings thousands of changes at once. A pool is the part of a service's workers that is
    in given regions, or that runs a given version of its software; the service's name stands for
    the pool of all its workers, so all look-ups by service also take the name of a pool.
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
        self._rng = rng
        self.withdrawn_grace_s = withdrawn_grace_s
        self.chooser = WorkerChooser(zone, rng)
        self._geography = geography or Geography()
        self._pool_by_name: dict[str, _Pool] = {}
        self._evacuated_since_s: dict[str, float] = {}
        self.software_history = SoftwareHistory()
        self._cold_limit_by_service: Mapping[str, ColdStartLimit] = {}
        self._cold_shares: ColdStartShares | None = None

    def put(self, record: WorkerRecord, now_s: float) -> bool:
        """Store a worker's record unless it is outdated; return whether its state changed.

        It did if the worker is new, has restarted, starts or stops draining, or is listed again.
        """
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
        self.software_history.note(record.service, known.software_key, now_s)
        if known.cold_budget is not None:
            known.cold_budget.extend_cold_period(now_s + record.cold_remaining_s)
        if not record.draining:
            known.leaving_since_s = None
        elif known.leaving_since_s is None:
            known.leaving_since_s = now_s
        self._index = None
        return changed

    def _add(self, record: WorkerRecord, former: Worker | None, now_s: float) -> Worker:
        """Add a worker with fresh state.

        ``former`` is the previous process with the same id, if any; a restarted worker is cold.
        """
        worker = Worker(record)
        worker.evacuated_since_s = self._evacuated_since_s.get(record.zone)
        self.workers[record.worker_id] = worker
        self._update_cold_budget(worker, now_s)
        if former is not None:
            worker.assume_restarted(now_s)
        return worker

    def remove(self, worker_id: str, version: int, now_s: float, *, unseen: bool = False) -> bool:
        """Mark a worker that is no longer listed as leaving; return whether that is new.

        Workers that still serve can vanish from the list, all of them at once if the store missed
        some heartbeats; they are listed again one heartbeat later. ``unseen`` tells that it came
        and went without being listed here.
        """
        known = self.workers.get(worker_id)
        if known is None:
            if unseen:
                self.software_history.note_unseen(now_s)
            return False
        if known.leaving_since_s is not None:
            return False
        if version < known.record.version:
            return False
        known.leaving_since_s = now_s
        self._index = None
        return True

    def replace_all(self, records: Iterable[WorkerRecord], now_s: float) -> None:
        """Apply a complete list: update the listed workers and mark all others as leaving."""
        self.software_history.watch_from(now_s)
        listed = {record.worker_id: record for record in records}
        for worker_id, known in self.workers.items():
            if worker_id not in listed:
                self.remove(worker_id, known.record.version, now_s)
        for record in listed.values():
            self.put(record, now_s)

    def pool_name(self, service: str, regions: Regions | None) -> str:
        """Return the name of a service's pool in ``regions``, or the service's if unrestricted."""
        if regions is None:
            return service
        name = f"{service} in {', '.join(sorted(regions))}"
        if name not in self._pool_by_name:
            self._pool_by_name[name] = _Pool(service, regions)
            self._index = None
        return name

    def software_pool_name(self, software_key: int, regions: Regions | None) -> str:
        """Return the name of the pool of the workers in ``regions`` with a software."""
        name = f"software {software_key:08x}"
        if regions is not None:
            name += f" in {', '.join(sorted(regions))}"
        if name not in self._pool_by_name:
            self._pool_by_name[name] = _Pool(regions=regions, software_key=software_key)
            self._index = None
        return name

    def service_of_software(self, software_key: int) -> str | None:
        """Return the service of a software that has workers, ``None`` if it has none."""
        return self._indexed().service_by_software.get(software_key)

    @property
    def service_by_software(self) -> Mapping[int, str]:
        """The service of each software that has workers, those that have just left included."""
        return self._indexed().service_by_software

    def pool_contains(self, pool_name: str, worker: Worker) -> bool:
        """Return whether a worker belongs to a pool or service."""
        definition = self._pool_by_name.get(pool_name)
        if definition is None:
            return pool_name == worker.record.service
        return definition.contains(worker, self._geography)

    def pool_names_of(self, worker: Worker) -> list[str]:
        """Return the names of a worker's service and of all pools that contain it."""
        pool_names = [name for name in self._pool_by_name if self.pool_contains(name, worker)]
        return [worker.record.service, *pool_names]

    @property
    def pool_names(self) -> list[str]:
        """Names of the services that have workers and of all pools created so far."""
        return [*self.services, *self._pool_by_name]

    def set_evacuated_zones(self, zones: Collection[str], now_s: float) -> list[Worker]:
        """Withdraw the workers of exactly these zones; return the newly withdrawn ones.

        Workers of a zone that is in use again may have restarted meanwhile and count as cold.
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
        self, limit_by_service: Mapping[str, ColdStartLimit], shares: ColdStartShares, now_s: float
    ) -> None:
        """Set the cold-start limits by service, and this daemon's shares in them."""
        self._cold_limit_by_service = limit_by_service
        self._cold_shares = shares
        for worker in self.workers.values():
            self._update_cold_budget(worker, now_s)

    def _update_cold_budget(self, worker: Worker, now_s: float) -> None:
        """Create, update or remove a worker's cold-start budget as its service's limit demands."""
        record = worker.record
        limit = self._cold_limit_by_service.get(record.service)
        if limit is None or self._cold_shares is None:
            worker.cold_budget = None
        elif worker.cold_budget is None:
            worker.cold_budget = ColdStartBudget(record.worker_id, limit, self._cold_shares)
            worker.cold_budget.extend_cold_period(now_s + record.cold_remaining_s)
        else:
            worker.cold_budget.limit = limit

    def eject_failing_workers(self, now_s: float) -> list[Worker]:
        """Eject workers that fail far more often than others; return the newly ejected ones."""
        newly: list[Worker] = []
        for service in self.services:
            workers = self.active_workers(service)
            ejected = eject_outliers([worker.health for worker in workers], now_s)
            if ejected:
                newly += [worker for worker in workers if worker.health in ejected]
        return newly

    def sweep(self, now_s: float) -> None:
        """Drop idle workers that have been leaving for more than ``LEAVING_RETENTION_S`` ago.

        Also drops the pools of software that no worker has any more.
        """
        for worker_id, known in list(self.workers.items()):
            since_s = known.leaving_since_s
            if (
                since_s is not None
                and not known.in_flight
                and now_s - since_s > LEAVING_RETENTION_S
            ):
                del self.workers[worker_id]
                self._index = None
        for key, service in self._indexed().service_by_software.items():
            self.software_history.note(service, key, now_s)
        self.software_history.expire(now_s)
        self._drop_pools_without_software()

    def _drop_pools_without_software(self) -> None:
        service_by_software = self._indexed().service_by_software
        for name, pool in list(self._pool_by_name.items()):
            if pool.software_key is not None and pool.software_key not in service_by_software:
                del self._pool_by_name[name]
                self._index = None

    def forget(self, worker: Worker) -> None:
        """Drop a worker whose address now belongs to another worker."""
        if self.workers.get(worker.record.worker_id) is worker:
            del self.workers[worker.record.worker_id]
            self._index = None

    def active_workers(self, service: str) -> list[Worker]:
        """Return the workers of a service that are not withdrawn; do not modify the list."""
        return self._indexed().active_by_service.get(service, [])

    def recently_withdrawn(self, service: str, now_s: float) -> list[Worker]:
        """Return the workers that were withdrawn within the last ``withdrawn_grace_s``."""
        return [
            worker
            for worker in self._indexed().withdrawn_by_service.get(service, [])
            if worker.withdrawn_since_s is not None
            and now_s - worker.withdrawn_since_s <= self.withdrawn_grace_s
        ]

    def choose(
        self,
        service: str,
        prompt: Prompt,
        tried: set[str],
        now_s: float,
        accepts: Callable[[Worker], bool] = lambda worker: True,
    ) -> Worker | None:
        """Choose a worker for an online request; return ``None`` if no untried one can be used.

        ``tried`` holds ids of workers to skip; ``accepts`` may rule out further ones.
        """
        candidates: list[Worker] = []
        if prompt.affinity_key is None:
            candidates = [
                worker
                for worker in self._random_candidates(service)
                if worker.is_available(now_s)
                and worker.record.worker_id not in tried
                and accepts(worker)
            ]
        if not candidates:
            candidates = [w for w in self._candidates(service, tried, now_s) if accepts(w)]
        return self.chooser.choose(candidates, prompt, now_s) if candidates else None

    def choose_below_utilization(
        self, service: str, max_utilization: float, now_s: float
    ) -> Worker | None:
        """Choose a worker that stays within ``max_utilization`` with one more request, if any.

        The utilization is the share of slots in use, not weighted by slowdown.
        """

        def has_room(worker: Worker) -> bool:
            load = worker.estimated_load(now_s) + 1
            return worker.is_available(now_s) and load <= worker.slots() * max_utilization

        candidates = [worker for worker in self._random_candidates(service) if has_room(worker)]
        if not candidates:
            candidates = [worker for worker in self.active_workers(service) if has_room(worker)]
        if not candidates:
            return None
        return self.chooser.choose_least_loaded(candidates, EMPTY_PROMPT, now_s)

    def choose_own_slot(self, service: str, now_s: float) -> Worker | None:
        """Choose a worker at which one of this daemon's own slots is free, if any."""
        own_slots = self.chooser.own_slots
        own = [w for w in self.active_workers(service) if w.record.worker_id in own_slots]
        available = [worker for worker in own if worker.is_available(now_s)]
        return self.chooser.choose_own_slot(available, sys.maxsize, now_s)

    def _random_candidates(self, service: str) -> list[Worker]:
        """Return a random sample if a service has more than ``MAX_CANDIDATES``, else nothing."""
        workers = self.active_workers(service)
        if len(workers) <= MAX_CANDIDATES:
            return []
        return self._rng.sample(workers, MAX_CANDIDATES)

    def slots(self) -> int:
        """Return the total number of slots of all workers that are not withdrawn."""
        return self._indexed().slots

    @property
    def services(self) -> list[str]:
        """Sorted names of the services that have workers."""
        return self._indexed().services

    @property
    def by_key(self) -> dict[int, Worker]:
        """All workers by :attr:`Worker.key`; do not modify."""
        return self._indexed().by_key

    def _candidates(self, service: str, tried: set[str], now_s: float) -> list[Worker]:
        """Return the untried workers of the first non-empty group, without those at a cold limit.

        The groups are: healthy, ejected, recently withdrawn, in backoff. The list may be empty.
        """
        untried = [
            worker
            for worker in self.active_workers(service)
            if worker.record.worker_id not in tried and worker.within_cold_limit(now_s)
        ]
        reachable = [worker for worker in untried if worker.backoff_until_s <= now_s]
        healthy = [worker for worker in reachable if not worker.health.is_ejected(now_s)]
        if healthy or reachable:
            return healthy or reachable
        withdrawn = [
            worker
            for worker in self.recently_withdrawn(service, now_s)
            if worker.record.worker_id not in tried
            and worker.backoff_until_s <= now_s
            and worker.within_cold_limit(now_s)
        ]
        return withdrawn or untried

    def _indexed(self) -> _WorkerIndex:
        if self._index is None:
            self._index = _WorkerIndex(self.workers.values())
            for name in self._pool_by_name:
                members = [
                    worker for worker in self.workers.values() if self.pool_contains(name, worker)
                ]
                self._index.add_pool(name, members)
        return self._index


def _has_restarted(known: WorkerRecord, record: WorkerRecord) -> bool:
    """Return whether two records with the same worker id belong to different processes.

    Without both start times, only another software version tells.
    """
    if known.software_version != record.software_version:
        return True
    return (
        known.started_at_ms > 0
        and record.started_at_ms > 0
        and known.started_at_ms != record.started_at_ms
    )


@dataclass(frozen=True, slots=True)
class _Pool:
    """Definition of a pool: a service or a software, restricted to some regions."""

    service: str | None = None
    regions: Regions | None = ANYWHERE
    software_key: int | None = None

    def contains(self, worker: Worker, geography: Geography) -> bool:
        """Return whether a worker belongs to the pool."""
        if not geography.allows(self.regions, worker.record.zone):
            return False
        if self.software_key is not None:
            return self.software_key == worker.software_key
        return self.service == worker.record.service


class _WorkerIndex:
    """Look-up tables for one state of the directory."""

    __slots__ = (
        "active_by_service",
        "by_key",
        "service_by_software",
        "services",
        "slots",
        "withdrawn_by_service",
    )

    def __init__(self, workers: Iterable[Worker]) -> None:
        self.by_key: dict[int, Worker] = {}
        self.active_by_service: dict[str, list[Worker]] = {}
        self.withdrawn_by_service: dict[str, list[Worker]] = {}
        self.service_by_software: dict[int, str] = {}
        self.slots = 0
        for worker in workers:
            self.by_key[worker.key] = worker
            self.service_by_software[worker.software_key] = worker.record.service
            self._add(worker.record.service, worker)
            self.slots += worker.slots() if worker.withdrawn_since_s is None else 0
        self.services = sorted(self.active_by_service.keys() | self.withdrawn_by_service.keys())

    def add_pool(self, name: str, workers: Iterable[Worker]) -> None:
        """Index the workers of a pool under its name."""
        for worker in workers:
            self._add(name, worker)

    def _add(self, name: str, worker: Worker) -> None:
        active = worker.withdrawn_since_s is None
        by_name = self.active_by_service if active else self.withdrawn_by_service
        by_name.setdefault(name, []).append(worker)
