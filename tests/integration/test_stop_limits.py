"""A process that is told to stop hears it and ends in bounded time, whatever keeps its threads."""

from __future__ import annotations

import subprocess
import sys

from testtools import TestCase

ENDS_S = 30.0
"""The processes end within some seconds by themselves; this leaves room on a busy machine."""

SET_UP = """
import os, signal
from mountstand.cli import stopping
from mountstand.cli.stopping import StopSignals
from mountstand.telemetry.logs import configure_logging

configure_logging("limits")
"""


class LimitsTestCase(TestCase):
    def started(self, steps: str) -> subprocess.Popen[bytes]:
        """Start a process whose log nobody reads."""
        child = subprocess.Popen(
            [sys.executable, "-c", SET_UP + steps],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        for stream in (child.stdout, child.stderr):
            assert stream is not None
            self.addCleanup(stream.close)
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        return child

    def code(self, child: subprocess.Popen[bytes]) -> int | None:
        """Return the code with which a process ends, ``None`` if it doesn't."""
        try:
            return child.wait(ENDS_S)
        except subprocess.TimeoutExpired:
            return None


class SignalIsHeard(LimitsTestCase):
    def test_beside_a_flood_of_others(self) -> None:
        """Signals that nobody reads yet fill the socket; the next one's number is dropped."""
        child = self.started("""
stopping.log_stacks = lambda event: None
signals = StopSignals()
for _ in range(5_000):
    signal.raise_signal(signal.SIGUSR1)
signal.raise_signal(signal.SIGTERM)
signals.wait()
os._exit(0)
""")
        self.assertEqual(0, self.code(child))
