"""The admission queue under any order of arrivals, ends and departures."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from testtools import TestCase

from mountstand.online.admission import AdmissionQueue, Queued, Refused, Started, Ticket


class AdmissionMachine(RuleBasedStateMachine):
    @initialize(slots=st.integers(1, 6))
    def start(self, slots: int) -> None:
        self.queue = AdmissionQueue()
        self.queue.set_capacity(slots)
        self.now_s = 0.0
        self.running: list[Ticket] = []
        self.waiting: list[Ticket] = []

    @rule(tenant=st.sampled_from("abc"), allowed_s=st.sampled_from([0.05, 0.5, 5.0]))
    def arrive(self, tenant: str, allowed_s: float) -> None:
        before = self.queue.expected_wait_s()
        decision = self.queue.offer(tenant, self.now_s + allowed_s, self.now_s)
        if isinstance(decision, Started):
            self.running.append(decision.ticket)
        elif isinstance(decision, Queued):
            assert before < allowed_s, "what cannot start in time is refused at once"
            self.waiting.append(decision.ticket)
        else:
            assert isinstance(decision, Refused)
            assert decision.retry_after_s > 0

    @rule(index=st.integers(0, 20), service_time_s=st.sampled_from([None, 0.1, 1.0]))
    def end(self, index: int, service_time_s: float | None) -> None:
        if not self.running:
            return
        ticket = self.running.pop(index % len(self.running))
        for started in self.queue.release(ticket, service_time_s):
            earlier = [
                other
                for other in self.waiting
                if other.tenant == started.tenant and other < started and not other.started
            ]
            assert not earlier, "within a tenant the earliest deadline goes first"
            self.waiting.remove(started)
            self.running.append(started)

    @rule(index=st.integers(0, 20))
    def caller_leaves(self, index: int) -> None:
        if self.waiting:
            self.queue.abandon(self.waiting.pop(index % len(self.waiting)))

    @rule()
    def backend_is_full(self) -> None:
        self.queue.record_backend_full()

    @rule(seconds=st.sampled_from([0.01, 1.0]))
    def time_passes(self, seconds: float) -> None:
        self.now_s += seconds

    @invariant()
    def state_is_valid(self) -> None:
        self.queue.validate_state()
        assert self.queue.running.total() == len(self.running)

    @invariant()
    def nobody_waits_while_there_is_room(self) -> None:
        assert not self.waiting or self.running, "a waiting request needs an end to start"


AdmissionMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestAdmissionMachine = AdmissionMachine.TestCase


class TenantFairness(TestCase):
    def test_a_tenant_with_a_flood_does_not_starve_another(self) -> None:
        queue = AdmissionQueue()
        queue.set_capacity(1)
        running = [queue.offer("flood", 100.0, 0.0) for _ in range(2)]
        for _ in range(10):
            queue.offer("flood", 50.0, 0.0)
        queue.offer("small", 100.0, 0.0)
        first = running[0]
        assert isinstance(first, Started)
        started = queue.release(first.ticket, 0.1)
        self.assertEqual(["small"], [ticket.tenant for ticket in started])
