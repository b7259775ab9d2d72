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
    """Never answers the first request, and lets its worker answer later ones if ``recovers``."""

    def __init__(self, *, recovers: bool) -> None:
        self.asked: list[str] = []
        self._recovers = recovers

    def call(
        self,
        machine: Machine,
        request: BackendRequest,
        timeout_s: float,
        caller_gone: CallerGone | None = None,
    ) -> BackendAnswer:
        """Answer, or wait until ``timeout_s`` has passed."""
        self.asked.append(machine.machine_id)
        is_first = len(self.asked) == 1
        frozen = is_first or (machine.machine_id == self.asked[0] and not self._recovers)
        needed_s = DEADLINE_S if frozen else ANSWER_S
        time.sleep(min(needed_s, timeout_s))
        if needed_s > timeout_s:
            raise DeadlineExceeded()
        return BackendAnswer(200, "application/json", b"{}", None)

    def cancel(self, machine: Machine, request_id: str) -> None:
        """Do nothing."""


class Tries(TestCase):
    def dispatcher(self, workers: int, *, recovers: bool = False) -> Dispatcher:
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
        self.backend = FreezingBackend(recovers=recovers)
        return Dispatcher(router, self.backend, metrics, lambda service: None, quarantine)  # type: ignore[arg-type]

    def request(self) -> OnlineRequest:
        now_s = elapsed_s()
        return OnlineRequest(
            "r", "caption", "t", "POST", "/v1/completions", b"{}", now_s, now_s + DEADLINE_S
        )

    def test_only_worker_is_asked_again_if_a_connection_to_it_went_silent(self) -> None:
        """Otherwise the silent connection takes all of the request's time."""
        dispatched = self.dispatcher(1, recovers=True).call(self.request())
        self.assertEqual(200, dispatched.result.status)
        self.assertEqual(["w0", "w0"], self.backend.asked)

    def test_last_worker_gets_all_the_time_left_beside_a_frozen_one(self) -> None:
        """Otherwise a request fails although its deadline leaves a good worker time enough."""
        dispatched = self.dispatcher(2).call(self.request())
        self.assertEqual(200, dispatched.result.status)
        self.assertEqual(["w0", "w1"], sorted(self.backend.asked))
