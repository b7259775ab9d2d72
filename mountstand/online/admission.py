"""Admission of online requests: a limit on dispatches and an earliest-deadline queue per service.

Pure state machine. A request that cannot start before its deadline is refused at once, never held
back. Among those waiting, the tenant with the least running work for its weight goes first and,
within a tenant, the request with the earliest deadline.
"""

from __future__ import annotations

import heapq
from collections import Counter
from dataclasses import dataclass, field

FIRST_SERVICE_TIME_S = 0.2
"""Assumed until the first request of a service ends."""

SERVICE_TIME_SMOOTHING = 0.1
LIMIT_DECREASE = 0.9
"""Factor on the limit after a back end refused for lack of room."""

MIN_LIMIT = 2.0
QUEUE_PER_LIMIT = 8
"""Waiting requests allowed per running one; more could not start within usual deadlines."""

MIN_RETRY_AFTER_S = 0.1


@dataclass(order=True)
class Ticket:
    """One request asking to be dispatched; ordered by deadline."""

    deadline_s: float
    sequence: int
    tenant: str = field(compare=False)
    started: bool = field(default=False, compare=False)
    abandoned: bool = field(default=False, compare=False)


@dataclass(frozen=True)
class Started:
    """The ticket may be dispatched now."""

    ticket: Ticket


@dataclass(frozen=True)
class Queued:
    """The ticket waits its turn."""

    ticket: Ticket


@dataclass(frozen=True)
class Refused:
    """The request cannot start in time; ``retry_after_s`` estimates when there will be room."""

    retry_after_s: float


class AdmissionQueue:
    """Admission for one service on one daemon."""

    def __init__(self) -> None:
        self.limit = MIN_LIMIT
        self.service_time_s = FIRST_SERVICE_TIME_S
        self.running: Counter[str] = Counter()
        self.tenant_weights: dict[str, float] = {}
        self._ceiling = MIN_LIMIT
        self._waiting: dict[str, list[Ticket]] = {}
        self._waiting_count = 0
        self._sequence = 0

    def set_capacity(self, slots: int) -> None:
        """Set the greatest limit: twice the slots, so that engines always have a next request."""
        ceiling = max(MIN_LIMIT, 2.0 * slots)
        if ceiling != self._ceiling:
            self.limit = min(ceiling, max(self.limit, ceiling / 2))
            self._ceiling = ceiling

    def offer(self, tenant: str, deadline_s: float, now_s: float) -> Started | Queued | Refused:
        """Ask to dispatch a request that must start before ``deadline_s``."""
        wait_s = self.expected_wait_s()
        if wait_s > 0 and (now_s + wait_s >= deadline_s or self._is_full()):
            return Refused(max(MIN_RETRY_AFTER_S, wait_s))
        if now_s >= deadline_s:
            return Refused(MIN_RETRY_AFTER_S)
        self._sequence += 1
        ticket = Ticket(deadline_s, self._sequence, tenant)
        if self._running_count() < self.limit and not self._waiting_count:
            self._start(ticket)
            return Started(ticket)
        heapq.heappush(self._waiting.setdefault(tenant, []), ticket)
        self._waiting_count += 1
        return Queued(ticket)

    def release(self, ticket: Ticket, service_time_s: float | None) -> list[Ticket]:
        """End a started ticket; return the tickets that start now.

        ``service_time_s`` is ``None`` when the request says nothing about usual service times.
        """
        self.running[ticket.tenant] -= 1
        if not self.running[ticket.tenant]:
            del self.running[ticket.tenant]
        if service_time_s is not None:
            change = service_time_s - self.service_time_s
            self.service_time_s += SERVICE_TIME_SMOOTHING * change
            self.limit = min(self._ceiling, self.limit + 1.0 / self.limit)
        return self._start_waiting()

    def abandon(self, ticket: Ticket) -> None:
        """Remove a waiting ticket whose caller left or whose deadline passed."""
        if not ticket.started and not ticket.abandoned:
            ticket.abandoned = True
            self._waiting_count -= 1

    def record_backend_full(self) -> None:
        """Lower the limit because a back end had no room."""
        self.limit = max(MIN_LIMIT, self.limit * LIMIT_DECREASE)

    def expected_wait_s(self) -> float:
        """Return how long a request that arrives now would wait."""
        if self._running_count() < self.limit and not self._waiting_count:
            return 0.0
        return (self._waiting_count + 1) * self.service_time_s / self.limit

    def validate_state(self) -> None:
        """Assert the invariants; called by tests after every event."""
        waiting = sum(
            not ticket.abandoned and not ticket.started
            for heap in self._waiting.values()
            for ticket in heap
        )
        assert waiting == self._waiting_count, "the waiting count equals the live tickets"
        assert all(count > 0 for count in self.running.values()), "no tenant runs less than nothing"

    def _is_full(self) -> bool:
        return self._waiting_count >= QUEUE_PER_LIMIT * self.limit

    def _running_count(self) -> int:
        return self.running.total()

    def _start(self, ticket: Ticket) -> None:
        ticket.started = True
        self.running[ticket.tenant] += 1

    def _start_waiting(self) -> list[Ticket]:
        started = []
        while self._waiting_count and self._running_count() < self.limit:
            ticket = self._next_waiting()
            self._waiting_count -= 1
            self._start(ticket)
            started.append(ticket)
        return started

    def _next_waiting(self) -> Ticket:
        for tenant in list(self._waiting):
            heap = self._waiting[tenant]
            while heap and heap[0].abandoned:
                heapq.heappop(heap)
            if not heap:
                del self._waiting[tenant]
        tenant = min(self._waiting, key=self._tenant_rank)
        return heapq.heappop(self._waiting[tenant])

    def _tenant_rank(self, tenant: str) -> tuple[float, float]:
        share = self.running[tenant] / self.tenant_weights.get(tenant, 1.0)
        return (share, self._waiting[tenant][0].deadline_s)
