"""One daemon's view of the workers: machines, its own requests in flight, and load reports.

A worker is a machine whose role is not ``DAEMON``: an engine or an application. Its worker id is
the machine id.

This module performs no I/O and reads no clock: callers pass the current time. It is not
thread-safe; :class:`mountstand.routing.router.Router` serializes access.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from mountstand.engines.port import LoadFigures, LoadReport
from mountstand.routing.outliers import WorkerHealth, max_excluded_count
from mountstand.store.ports import Machine, MachineRole

LOAD_REPORT_HALF_LIFE_S = 0.5
"""Age at which a load report has half weight.

Most of an engine's requests complete within about a second.
"""

DEFAULT_SLOTS = 16
"""Slots assumed for a worker that has not reported its load yet."""


class DispatchOutcome(Enum):
    """Result of a dispatch, as evidence about the worker's health.

    Only ``SUCCESS`` and ``FAILED`` affect the worker's health.
    """

    SUCCESS = "success"
    REFUSED = "refused"
    """The reachable worker did not execute the request, for example because it is full."""
    FAILED = "failed"
    NEUTRAL = "neutral"
    """The dispatch ended for a reason unrelated to the worker, such as a client disconnect."""


@dataclass
class WorkerState:
    """State of one worker as seen by this daemon.

    ``in_flight`` and ``batch_in_flight`` count this daemon's own online and batch dispatches.
    ``own_in_flight_at_report`` is ``in_flight`` when the latest load report arrived. The worker
    gets no online request and no additional batch item before ``backoff_until_s``.
    """

    machine: Machine
    in_flight: int = 0
    batch_in_flight: int = 0
    report: LoadReport | None = None
    report_time_s: float = 0.0
    own_in_flight_at_report: int = 0
    health: WorkerHealth = field(default_factory=WorkerHealth)
    reported_leaving: bool = False
    drained: bool = False
    backoff_until_s: float = 0.0

    @property
    def worker_id(self) -> str:
        """The machine id assigned by the platform."""
        return self.machine.machine_id

    @property
    def closed_to_new_work(self) -> bool:
        """Whether the worker is leaving or drained.

        A worker is leaving as soon as the machine list or its own load report says so.
        """
        return self.machine.leaving or self.reported_leaving or self.drained

    @property
    def slots(self) -> int:
        """Number of requests that the worker can run concurrently."""
        return self.report.slots if self.report else DEFAULT_SLOTS

    def estimated_load(self, now_s: float) -> float:
        """Return the estimated number of online requests per slot.

        Adds this daemon's requests in flight to those of other daemons. The latter are taken from
        the latest load report and weighted down exponentially with its age.
        """
        others_online = 0.0
        if self.report is not None:
            age_s = max(0.0, now_s - self.report_time_s)
            weight = 0.5 ** (age_s / LOAD_REPORT_HALF_LIFE_S)
            online = self.report.running + self.report.waiting
            online -= self.report.running_batch + self.report.waiting_batch
            others_online = max(0, online - self.own_in_flight_at_report) * weight
        return (self.in_flight + others_online) / self.slots


class FleetView:
    """Registry of all workers that one daemon may dispatch to."""

    def __init__(self) -> None:
        self.workers: dict[str, WorkerState] = {}
        self._by_service: dict[str, list[WorkerState]] = {}
        self._drained_ids: frozenset[str] = frozenset()
        self._drained_zones: frozenset[str] = frozenset()

    def update_machines(self, machines: Iterable[Machine]) -> None:
        """Apply the platform's machine list.

        A worker that remains listed keeps its state unless another process has taken over its
        machine id.
        """
        listed = {m.machine_id: m for m in machines if m.role is not MachineRole.DAEMON}
        for worker_id in list(self.workers):
            if worker_id not in listed:
                del self.workers[worker_id]
        for worker_id, machine in listed.items():
            worker = self.workers.get(worker_id)
            if worker is None or is_replaced(worker.machine, machine):
                self.workers[worker_id] = WorkerState(machine)
            else:
                worker.machine = machine
            self._mark_drained(self.workers[worker_id])
        self._by_service = {}
        for worker in self.workers.values():
            self._by_service.setdefault(worker.machine.service, []).append(worker)

    def set_drained(self, worker_ids: frozenset[str], zones: frozenset[str]) -> bool:
        """Set the workers and zones that operators drain; return whether either set changed."""
        if (worker_ids, zones) == (self._drained_ids, self._drained_zones):
            return False
        self._drained_ids = worker_ids
        self._drained_zones = zones
        for worker in self.workers.values():
            self._mark_drained(worker)
        return True

    def _mark_drained(self, worker: WorkerState) -> None:
        drained_by_id = worker.worker_id in self._drained_ids
        worker.drained = drained_by_id or worker.machine.zone in self._drained_zones

    def record_load(self, worker_id: str, report: LoadReport, now_s: float) -> None:
        """Store a load report received at ``now_s``; ignore reports from unknown workers."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        worker.report = report
        worker.report_time_s = now_s
        worker.own_in_flight_at_report = worker.in_flight
        worker.reported_leaving = report.leaving

    def record_response_load(self, worker_id: str, load: LoadFigures, now_s: float) -> None:
        """Update the latest load report with the load that accompanied a response.

        A response's load is fresher than any polled report. It is ignored before the first polled
        report, because it lacks the worker's models, which only a polled report carries.
        """
        worker = self.workers.get(worker_id)
        if worker is None or worker.report is None:
            return
        worker.report = replace(worker.report, **load.__dict__)
        worker.report_time_s = now_s
        worker.own_in_flight_at_report = worker.in_flight

    def record_dispatch_start(self, worker_id: str, *, batch: bool = False) -> None:
        """Count a dispatch as in flight."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if batch:
            worker.batch_in_flight += 1
        else:
            worker.in_flight += 1

    def record_dispatch_end(
        self, worker_id: str, outcome: DispatchOutcome, now_s: float, *, batch: bool = False
    ) -> None:
        """Remove a dispatch from the in-flight count.

        ``SUCCESS`` and ``FAILED`` also count towards the worker's health.
        """
        worker = self.workers.get(worker_id)
        if worker is None:
            return
        if batch:
            worker.batch_in_flight = max(0, worker.batch_in_flight - 1)
        else:
            worker.in_flight = max(0, worker.in_flight - 1)
        if outcome is DispatchOutcome.SUCCESS:
            worker.health.record_success()
        elif outcome is DispatchOutcome.FAILED:
            worker.health.record_failure(now_s)

    def set_backoff(self, worker_id: str, until_s: float) -> None:
        """Exclude a worker that refused a request from dispatches until ``until_s``."""
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.backoff_until_s = until_s

    def services(self) -> set[str]:
        """Return the services that have at least one worker."""
        return set(self._by_service)

    def models(self) -> dict[str, str]:
        """Map each model name to a service whose engines have it loaded.

        Each engine service's own name is also a key. It maps to that service unless a model has the
        same name.
        """
        service_by_model: dict[str, str] = {}
        for worker in self.workers.values():
            if worker.machine.role is not MachineRole.ENGINE:
                continue
            for model in worker.report.models if worker.report else ():
                service_by_model[model] = worker.machine.service
            service_by_model.setdefault(worker.machine.service, worker.machine.service)
        return service_by_model

    def candidates(self, service: str, now_s: float) -> list[WorkerState]:
        """Return the workers of ``service`` that are neither leaving, drained nor ejected.

        At most ``MAX_EJECTED_FRACTION`` of the available workers are omitted as ejected. Beyond
        that, the ejected workers whose ejection ends soonest are returned too. Backoff is not
        considered: callers check ``backoff_until_s``.
        """
        available = [w for w in self._by_service.get(service, []) if not w.closed_to_new_work]
        ejected = [worker for worker in available if worker.health.is_ejected(now_s)]
        ejected.sort(key=lambda worker: -worker.health.ejected_until_s)
        excluded_ids = {
            worker.worker_id for worker in ejected[: max_excluded_count(len(available))]
        }
        return [worker for worker in available if worker.worker_id not in excluded_ids]


def is_replaced(previous: Machine, listed: Machine) -> bool:
    """Return whether a machine id now identifies another process."""
    return (previous.address, previous.port, previous.service, previous.software_version) != (
        listed.address,
        listed.port,
        listed.service,
        listed.software_version,
    )
