"""State that this daemon keeps per worker: platform record, load, reachability and health."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from functools import cached_property

from mountstand.serving.cold_workers import ColdStartBudget
from mountstand.serving.prompt import Prompt
from mountstand.serving.software import software_key
from mountstand.serving.worker_health import WorkerHealth, new_health

LOAD_REPORT_MAX_AGE_S = 2.0
"""Older load reports are ignored; a request typically lasts about this long."""

MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 4.0
"""Bounds on the slowdown that a worker may report, so that a wrong value can neither attract nor
repel all traffic. A shared machine may legitimately be 2.5 times slower than usual."""

SLOWDOWN_TIME_CONSTANT_S = 0.5
"""Time constant of the exponential decay of a reported slowdown towards the worker's average. Load
from other tenants of its machine changes many times a second."""

SLOWDOWN_EWMA_WEIGHT = 0.05
"""Weight of a new report in the moving average of a worker's slowdown."""

CONNECT_BACKOFF_S = 1.0
"""Backoff after the first failed connect; doubled on each consecutive failure."""

MAX_CONNECT_BACKOFF_S = 4.0

RECENT_CONTACT_S = 0.3
"""A peer's report that a worker is unreachable is ignored after a more recent contact with it."""

OVERLOAD_BACKOFF_S = 0.1
"""Backoff after a worker refused a request for lack of capacity, or stalled."""


@dataclass(frozen=True)
class WorkerRecord:
    """A worker as listed by the platform."""

    worker_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    version: int
    started_at_ms: int = 0
    """Start time of the worker's process in Unix milliseconds, 0 if unknown. A worker may restart
    under the same id; the new process has none of the old one's state."""

    cold_remaining_s: float = 0.0
    """Remaining length of the cold-start period when the record was written."""

    software_version: str = ""
    """Version of the worker's software; empty if it names none."""


@dataclass(frozen=True)
class LoadReport:
    """Load that a worker reported in a reply."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    """Current processing time on the worker's machine as a multiple of the usual one."""

    @property
    def total(self) -> int:
        """Running and queued requests."""
        return self.running + self.waiting


@dataclass
class Worker:
    """A worker with its observed load, reachability and health.

    ``in_flight`` counts this daemon's requests and ``batch_in_flight`` the batch items among them;
    ``peer_online`` and ``peer_batch`` count the requests that other daemons reported. ``online``,
    ``batch`` and ``total_in_flight`` are the totals over all daemons.
    """

    record: WorkerRecord
    in_flight: int = 0
    batch_in_flight: int = 0
    peer_online: int = 0
    peer_batch: int = 0
    own_prefill_tokens: int = 0
    peer_prefill_tokens: int = 0
    """Prompt tokens that this daemon and its peers have sent and the worker still has to prefill.
    An upper bound: prefixes in the worker's cache need no prefill."""

    load: LoadReport | None = None
    load_at_s: float = float("-inf")
    total_in_flight_at_load: int = 0
    average_slowdown: float = 1.0
    backoff_until_s: float = 0.0
    connect_failures: int = 0
    last_contact_s: float = float("-inf")
    """Last accepted connect or reply. A port forwarder accepts connects even for a dead worker."""

    last_data_s: float = float("-inf")
    """When this daemon last received data from the worker itself: an event or another part of a
    reply. Events of online streams update only this time: they prove that the worker runs, but not
    that idle connections to it still work, so their reuse depends on ``last_contact_s`` alone."""

    last_connect_failure_s: float = float("-inf")
    leaving_since_s: float | None = None
    evacuated_since_s: float | None = None
    cold_budget: ColdStartBudget | None = None
    """Limits requests during a cold start; ``None`` if the service has no such limit."""

    grant_expiries_s: list[float] = field(default_factory=list)
    health: WorkerHealth = field(default_factory=new_health)

    @cached_property
    def incarnation(self) -> str:
        """Identifier of the worker's process: its id and, if known, its start time."""
        record = self.record
        return (
            f"{record.worker_id}@{record.started_at_ms}"
            if record.started_at_ms
            else record.worker_id
        )

    @cached_property
    def key(self) -> int:
        """Number that identifies the worker's process in messages between daemons."""
        return zlib.crc32(self.incarnation.encode())

    @cached_property
    def software_key(self) -> int:
        """Number that stands for the service and version of the worker's software."""
        return software_key(self.record.service, self.record.software_version)

    @property
    def withdrawn_since_s(self) -> float | None:
        """Since when the worker gets no new work because it is leaving or its zone is evacuated."""
        times_s = (self.leaving_since_s, self.evacuated_since_s)
        return min((time_s for time_s in times_s if time_s is not None), default=None)

    @property
    def total_in_flight(self) -> int:
        """Known in-flight requests of all daemons, online and batch."""
        return self.in_flight + self.peer_online + self.peer_batch

    @property
    def online(self) -> int:
        """Known in-flight online requests of all daemons."""
        return self.in_flight - self.batch_in_flight + self.peer_online

    @property
    def batch(self) -> int:
        """Known in-flight batch items of all daemons."""
        return self.batch_in_flight + self.peer_batch

    @property
    def pending_prefill_tokens(self) -> int:
        """Known prompt tokens of all daemons that the worker still has to prefill."""
        return self.own_prefill_tokens + self.peer_prefill_tokens

    def note_load(self, load: LoadReport, now_s: float) -> None:
        """Record a load report and include its slowdown, if any, in the average."""
        self.load = load
        self.load_at_s = now_s
        self.total_in_flight_at_load = self.total_in_flight
        if load.slowdown is not None:
            self.average_slowdown += SLOWDOWN_EWMA_WEIGHT * (
                _clamped_slowdown(load.slowdown) - self.average_slowdown
            )

    def slowdown(self, now_s: float) -> float:
        """Return the estimated slowdown: the last report, decaying to the worker's average."""
        if self.load is None or self.load.slowdown is None:
            return self.average_slowdown
        weight = math.exp((self.load_at_s - now_s) / SLOWDOWN_TIME_CONSTANT_S)
        return (
            self.average_slowdown
            + (_clamped_slowdown(self.load.slowdown) - self.average_slowdown) * weight
        )

    def weighted_utilization(self, now_s: float, extra_requests: int = 0) -> float:
        """Return the share of slots in use, with ``extra_requests`` more, times the slowdown."""
        return (self.estimated_load(now_s) + extra_requests) / self.slots() * self.slowdown(now_s)

    def note_connected(self, now_s: float) -> None:
        """Record that a connection to the worker's address was accepted."""
        self.last_contact_s = now_s
        self.connect_failures = 0

    def note_reply(self, now_s: float) -> None:
        """Record that the worker sent a reply or part of one."""
        self.note_connected(now_s)
        self.last_data_s = now_s

    def note_connect_failed(self, now_s: float) -> None:
        """Avoid the worker, with exponential backoff over consecutive failures."""
        backoff_s = min(MAX_CONNECT_BACKOFF_S, CONNECT_BACKOFF_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.last_connect_failure_s = now_s
        self._back_off(now_s + backoff_s)

    def note_peer_reported_unreachable(self, now_s: float) -> None:
        """Avoid the worker on a peer's report, unless this daemon had contact with it recently."""
        if now_s - self.last_contact_s > RECENT_CONTACT_S:
            self._back_off(max(self.backoff_until_s, now_s + CONNECT_BACKOFF_S))

    def _back_off(self, until_s: float) -> None:
        """Avoid the worker until ``until_s``, which replaces any backoff in force.

        It may have restarted by then, so it counts as cold from then on.
        """
        self.backoff_until_s = until_s
        self.assume_restarted(until_s)

    def assume_restarted(self, at_s: float) -> None:
        """Treat the worker as cold from ``at_s`` on; restarts may go unreported."""
        if self.cold_budget is not None:
            self.cold_budget.extend_cold_period(at_s + self.cold_budget.limit.duration_s)

    def note_overloaded(self, now_s: float) -> None:
        """Avoid the worker for ``OVERLOAD_BACKOFF_S``."""
        self.extend_backoff(now_s + OVERLOAD_BACKOFF_S)

    def extend_backoff(self, until_s: float) -> None:
        """Avoid the worker until ``until_s``, unless a longer backoff is in force."""
        self.backoff_until_s = max(self.backoff_until_s, until_s)

    def note_slot_granted(self, until_s: float) -> None:
        """Count a slot granted to another daemon as in use until ``until_s``."""
        self.grant_expiries_s.append(until_s)

    def note_slot_returned(self) -> None:
        """Record that another daemon returned a granted slot unused."""
        if self.grant_expiries_s:
            self.grant_expiries_s.pop()

    def granted_slots(self, now_s: float) -> int:
        """Return how many slots are granted to other daemons, without expired grants."""
        if self.grant_expiries_s:
            self.grant_expiries_s = [
                expiry_s for expiry_s in self.grant_expiries_s if expiry_s > now_s
            ]
        return len(self.grant_expiries_s)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether the estimated load leaves a slot for one more request."""
        return self.estimated_load(now_s) + 1 <= self.slots()

    def slots(self) -> int:
        """Return how many requests the worker runs concurrently, at least 1."""
        return max(1, self.record.slots)

    def is_available(self, now_s: float) -> bool:
        """Return whether the worker is eligible for one more request.

        It must not be withdrawn, in backoff, ejected or, during a cold start, at its limit. Its
        load and free slots are not considered.
        """
        if self.leaving_since_s is not None or self.evacuated_since_s is not None:
            return False
        if self.backoff_until_s > now_s or self.health.is_ejected(now_s):
            return False
        return self.within_cold_limit(now_s)

    def within_cold_limit(self, now_s: float) -> bool:
        """Return whether the cold-start limit, if any, allows one more request."""
        return self.cold_budget is None or self.cold_budget.has_capacity(now_s)

    def admit_send(self, now_s: float) -> bool:
        """Return whether a request may be sent; if so, charge it to any cold-start budget."""
        return self.cold_budget is None or self.cold_budget.try_acquire(now_s)

    def estimated_load(self, now_s: float) -> float:
        """Estimate the number of running and queued requests.

        This is the last load report plus the change in known in-flight requests since; without a
        recent report, the known in-flight requests alone.
        """
        if self.load is not None and now_s - self.load_at_s <= LOAD_REPORT_MAX_AGE_S:
            change = self.total_in_flight - self.total_in_flight_at_load
            return max(float(self.in_flight), float(self.load.total + change))
        return float(self.total_in_flight)


def _clamped_slowdown(slowdown: float) -> float:
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


class PendingPrefill:
    """Counts a prompt's tokens as pending at its worker until the first event of the reply."""

    __slots__ = ("_tokens", "_worker")

    def __init__(self, worker: Worker, prompt: Prompt) -> None:
        self._worker = worker
        self._tokens = prompt.tokens
        worker.own_prefill_tokens += self._tokens

    def end(self) -> None:
        """Stop counting, as prefill is done or the request has ended. Idempotent."""
        self._worker.own_prefill_tokens -= self._tokens
        self._tokens = 0
