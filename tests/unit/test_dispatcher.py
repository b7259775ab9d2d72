"""Time of the tries of an online request of the own interface."""

from __future__ import annotations

import time

from testtools import TestCase

from mountstand.clock import elapsed_s
from mountstand.engines.port import BackendAnswer, BackendRequest, CallerGone, LoadReport
from mountstand.errors import DeadlineExceeded
from mountstand.online.dispatcher import Dispatcher
from mountstand.online.request import OnlineRequest
from mountstand.quarantine.threads import ContentQuarantine, TableSuspects
from mountstand.routing.router import Router
from mountstand.store.memory_table import MemoryTable
from mountstand.store.ports import Machine, MachineRole
from mountstand.telemetry.metrics import DaemonMetrics
from tests.stand_ins.report_link import RecordingReportLink

DEADLINE_S = 4.0
ANSWER_S = 1.5
"""More than half, and less than all, of the time left after a frozen worker had its half."""


class FreezingBackend:
    """Freezes the first worker that is asked, and lets all others answer after a while."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    def call(
        self,
        machine: Machine,
        request: BackendRequest,
        timeout_s: float,
        caller_gone: CallerGone | None = None,
    ) -> BackendAnswer:
        """Answer, or wait until ``timeout_s`` has passed."""
        self.asked.append(machine.machine_id)
        needed_s = ANSWER_S if machine.machine_id != self.asked[0] else DEADLINE_S
        time.sleep(min(needed_s, timeout_s))
        if needed_s > timeout_s:
            raise DeadlineExceeded()
        return BackendAnswer(200, "application/json", b"{}", None)

    def cancel(self, machine: Machine, request_id: str) -> None:
        """Do nothing."""


class Tries(TestCase):
    def dispatcher(self, workers: int) -> Dispatcher:
        router = Router("a", 1)
        router.update_machines(
            Machine(
                machine_id=f"w{n}",
                role=MachineRole.ENGINE,
                address="127.0.0.1",
                port=1,
                zone="a",
                service="caption",
            )
            for n in range(workers)
        )
        for n in range(workers):
            router.record_load(f"w{n}", LoadReport(0, 0, 0, 0, slots=10, leaving=False))
        metrics = DaemonMetrics()
        table = TableSuspects(MemoryTable())
        quarantine = ContentQuarantine(
            "d", RecordingReportLink(), table, lambda machine: False, metrics, 1
        )
        self.backend = FreezingBackend()
        return Dispatcher(router, self.backend, metrics, lambda service: None, quarantine)  # type: ignore[arg-type]

    def test_last_worker_gets_all_the_time_left_beside_a_frozen_one(self) -> None:
        """Otherwise a request fails although its deadline leaves a good worker time enough."""
        now_s = elapsed_s()
        request = OnlineRequest(
            "r", "caption", "t", "POST", "/v1/completions", b"{}", now_s, now_s + DEADLINE_S
        )
        dispatched = self.dispatcher(2).call(request)
        self.assertEqual(200, dispatched.result.status)
        self.assertEqual(["w0", "w1"], sorted(self.backend.asked))
