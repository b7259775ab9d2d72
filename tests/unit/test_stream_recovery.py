"""Broken streams of the own interface go on at the software version that began them."""

from __future__ import annotations

import socket

from testtools import TestCase

from mountstand.engines.http_backend import HttpBackend
from mountstand.engines.port import BackendRequest, CallerGone, OpenStream
from mountstand.errors import BackendFailed
from mountstand.store.ports import Machine
from tests.stand_ins.own_stream import engine_machine, read_stream

FRAMES = b"".join(b"data: %d\n\n" % n for n in range(3))
END = b"data: [DONE]\n\n"


class BreakingBackend(HttpBackend):
    """Breaks the first stream off after some frames; later ones end whole."""

    def __init__(self) -> None:
        super().__init__()
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
    def read_stream(self, *versions: str) -> bytes:
        """Ask for a stream at ``w0`` and on of these versions, ``w0`` alone at first."""
        self.backend = BreakingBackend()
        machines = [engine_machine(number, 1, version) for number, version in enumerate(versions)]
        return read_stream(self, *machines, backend=self.backend)

    def test_stream_goes_on_at_its_version(self) -> None:
        """Guards against frames of two software versions in one answer."""
        self.assertEqual(FRAMES + END, self.read_stream("v1", *["v2"] * 7, "v1"))
        self.assertEqual(["w0", "w8"], self.backend.asked)

    def test_stream_ends_where_no_worker_of_its_version_is_left(self) -> None:
        """Guards against frames of two software versions where only others are left."""
        received = self.read_stream("v1", "v2", "v2")
        self.assertTrue(received.startswith(FRAMES))
        self.assertIn(b"error", received.removeprefix(FRAMES))
        self.assertEqual({"w0"}, set(self.backend.asked))
