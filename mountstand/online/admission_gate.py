"""Blocking front of the admission queues: one thread per request waits here for its turn."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from mountstand.clock import elapsed_s, wait_until
from mountstand.errors import Overloaded
from mountstand.online.admission import AdmissionQueue, Queued, Refused, Ticket

QueueCapacity = Callable[[str], int]
"""Returns the slots of a service's workers."""


class AdmissionGate:
    """Admission for all services of one daemon."""

    def __init__(self, capacity: QueueCapacity) -> None:
        self._capacity = capacity
        self._lock = threading.Lock()
        self._queues: dict[str, AdmissionQueue] = {}
        self._turns: dict[int, threading.Event] = {}
        self._tenant_weights: dict[str, float] = {}

    def set_tenant_weights(self, weights: dict[str, float]) -> None:
        """Take over tenant weights from the settings."""
        with self._lock:
            self._tenant_weights = dict(weights)
            for queue in self._queues.values():
                queue.tenant_weights = self._tenant_weights

    def enter(self, service: str, tenant: str, deadline_s: float) -> Ticket:
        """Wait for permission to dispatch; raise ``Overloaded`` when it cannot come in time."""
        capacity = self._capacity(service)
        turn = threading.Event()
        with self._lock:
            queue = self._queue(service)
            queue.set_capacity(capacity)
            decision = queue.offer(tenant, deadline_s, elapsed_s())
            if isinstance(decision, Refused):
                raise Overloaded(retry_after_s=decision.retry_after_s)
            ticket = decision.ticket
            if isinstance(decision, Queued):
                self._turns[id(ticket)] = turn
        if ticket.started:
            return ticket
        wait_until(turn, deadline_s)
        with self._lock:
            self._turns.pop(id(ticket), None)
            if not ticket.started:
                queue.abandon(ticket)
                raise Overloaded(retry_after_s=queue.expected_wait_s())
        return ticket

    def leave(self, service: str, ticket: Ticket, service_time_s: float | None) -> None:
        """End a dispatch and wake those whose turn it is."""
        with self._lock:
            for started in self._queue(service).release(ticket, service_time_s):
                turn = self._turns.pop(id(started), None)
                if turn is not None:
                    turn.set()

    def record_backend_full(self, service: str) -> None:
        """Lower the service's limit because a back end had no room."""
        with self._lock:
            self._queue(service).record_backend_full()

    @contextmanager
    def admitted(self, service: str, tenant: str, deadline_s: float) -> Iterator[Ticket]:
        """Hold permission to dispatch for the length of the block."""
        ticket = self.enter(service, tenant, deadline_s)
        started_s = elapsed_s()
        try:
            yield ticket
        finally:
            self.leave(service, ticket, elapsed_s() - started_s)

    def _queue(self, service: str) -> AdmissionQueue:
        if service not in self._queues:
            self._queues[service] = AdmissionQueue()
            self._queues[service].tenant_weights = self._tenant_weights
        return self._queues[service]
