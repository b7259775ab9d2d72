"""Broken streams of the own interface go on at the software version that began them."""

from __future__ import annotations

import socket

from testtools import TestCase

from mountstand.clock import elapsed_s
from mountstand.engines.port import BackendRequest, CallerGone, LoadReport, OpenStream
from mountstand.errors import BackendFailed
from mountstand.online.request import OnlineRequest
from mountstand.online.service import OnlineService
from mountstand.quarantine.threads import ContentQuarantine, TableSuspects
from mountstand.routing.router import Router
from mountstand.store.memory_table import MemoryTable
from mountstand.store.ports import Machine, MachineRole
from mountstand.telemetry.metrics import DaemonMetrics
from tests.stand_ins.report_link import RecordingReportLink

FRAMES = b"".join(b"data: %d\n\n" % n for n in range(3))
END = b"data: [DONE]\n\n"


class BreakingBackend:
    """Breaks the first stream off after some frames; later ones end whole."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    def open_stream(
        self,
        machine: Machine,
        request: BackendRequest,
        timeout_s: float,
        caller_gone: CallerGone | None = None,
    ) -> OpenStream:
        """Answer with frames; refuse to resume."""
        if request.path.endswith("/resume"):
            raise BackendFailed("no such stream")
        self.asked.append(machine.machine_id)
        here, there = socket.socketpair()
        there.sendall(FRAMES if len(self.asked) == 1 else FRAMES + END)
        there.close()
        here.setblocking(False)
        return OpenStream(here, b"", chunked=False)

    def cancel(self, machine: Machine, request_id: str) -> None:
        """Do nothing."""


class Recovery(TestCase):
    def read_stream(self, versions: dict[str, str]) -> bytes:
        """Ask for a stream at workers of these versions, the first one alone at first."""
        router = Router("a", 1)
        machines = [
            Machine(
                machine_id=worker_id,
                role=MachineRole.ENGINE,
                address="127.0.0.1",
                port=1,
                zone="a",
                service="caption",
                software_version=version,
            )
            for worker_id, version in versions.items()
        ]
        self.backend = BreakingBackend()
        metrics = DaemonMetrics()
        quarantine = ContentQuarantine(
            "d",
            RecordingReportLink(),
            TableSuspects(MemoryTable()),
            lambda machine: False,
            metrics,
            1,
        )
        service = OnlineService(router, self.backend, MemoryTable(), metrics, quarantine)  # type: ignore[arg-type]
        self.addCleanup(service.relay.close)
        router.update_machines(machines[:1])
        router.record_load("w0", LoadReport(0, 0, 0, 0, slots=10, leaving=False))
        now_s = elapsed_s()
        request = OnlineRequest(
            "r", "caption", "t", "POST", "/v1/completions", b"{}", now_s, now_s + 4.0
        )
        lease, opened = service.open_stream(request)
        router.update_machines(machines)
        for worker_id in versions:
            router.record_load(worker_id, LoadReport(0, 0, 0, 0, slots=10, leaving=False))
        here, there = socket.socketpair()
        self.addCleanup(here.close)
        here.settimeout(10.0)
        there.setblocking(False)
        service.hold_stream(lease, opened, there, b"", chunked_to_caller=False)
        received = b""
        while piece := here.recv(65536):
            received += piece
        return received

    def test_stream_goes_on_at_its_version(self) -> None:
        """Guards against frames of two software versions in one answer."""
        versions = {"w0": "v1", **{f"w{n}": "v2" for n in range(1, 8)}, "w8": "v1"}
        self.assertEqual(FRAMES + END, self.read_stream(versions))
        self.assertEqual(["w0", "w8"], self.backend.asked)

    def test_stream_ends_where_no_worker_of_its_version_is_left(self) -> None:
        """Guards against frames of two software versions where only others are left."""
        received = self.read_stream({"w0": "v1", "w1": "v2", "w2": "v2"})
        self.assertTrue(received.startswith(FRAMES))
        self.assertIn(b"error", received.removeprefix(FRAMES))
        self.assertEqual({"w0"}, set(self.backend.asked))
