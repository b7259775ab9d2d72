"""Streams through the own interface's relay, before engines of a test."""

from __future__ import annotations

import socket

from testtools import TestCase

from mountstand.clock import elapsed_s
from mountstand.engines.http_backend import HttpBackend
from mountstand.engines.port import BackendPort, LoadReport
from mountstand.online.request import OnlineRequest
from mountstand.online.service import OnlineService
from mountstand.quarantine.threads import ContentQuarantine, TableSuspects
from mountstand.routing.router import Router
from mountstand.store.memory_table import MemoryTable
from mountstand.store.ports import Machine, MachineRole
from mountstand.telemetry.metrics import DaemonMetrics
from tests.stand_ins.report_link import RecordingReportLink

DEADLINE_S = 4.0
READ_TIMEOUT_S = 15.0


def engine_machine(number: int, port: int, software_version: str = "") -> Machine:
    """Return an engine as the platform lists it."""
    return Machine(
        machine_id=f"w{number}",
        role=MachineRole.ENGINE,
        address="127.0.0.1",
        port=port,
        zone="a",
        service="caption",
        software_version=software_version,
    )


def read_stream(test: TestCase, *machines: Machine, backend: BackendPort | None = None) -> bytes:
    """Return what a caller gets whose stream begins at the first machine, ``w0``.

    The machines are engines that listen, unless there is a ``backend`` in their place.
    """
    router = Router("a", 1)
    metrics = DaemonMetrics()
    quarantine = ContentQuarantine(
        "d",
        RecordingReportLink(),
        TableSuspects(MemoryTable()),
        lambda machine: False,
        metrics,
        1,
    )
    service = OnlineService(router, backend or HttpBackend(), MemoryTable(), metrics, quarantine)
    test.addCleanup(service.relay.close)
    router.update_machines(machines[:1])
    router.record_load("w0", LoadReport(0, 0, 0, 0, slots=10, leaving=False))
    now_s = elapsed_s()
    request = OnlineRequest(
        "r", "caption", "t", "POST", "/v1/completions", b"{}", now_s, now_s + DEADLINE_S
    )
    lease, opened = service.open_stream(request)
    router.update_machines(machines)
    for machine in machines:
        router.record_load(machine.machine_id, LoadReport(0, 0, 0, 0, slots=10, leaving=False))
    here, there = socket.socketpair()
    test.addCleanup(here.close)
    here.settimeout(READ_TIMEOUT_S)
    there.setblocking(False)
    service.hold_stream(lease, opened, there, b"", chunked_to_caller=False)
    received = b""
    while piece := here.recv(65536):
        received += piece
    return received
