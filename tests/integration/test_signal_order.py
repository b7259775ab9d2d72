"""SIGTERM is heard in whatever order it and the main thread's wait for it come.

A handler of Python's runs in the main thread alone, where that looks for signals between two of its
steps. The former one set an event on which the main thread waited. A signal after the last look
before that wait was lost until the next one: the daemon served on and never stopped.
``forced_order`` makes that order come.
"""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

from testtools import TestCase

from tests.integration import test_planned_stop
from tests.integration.helpers import wait_until

FOLDER = Path(__file__).parent / "forced_order"
HEARD_S = 30.0
"""A process that hears its signal ends at once; this leaves room on a busy machine."""


def force_order(case: TestCase, command: str, moment: str, receiver: str) -> Path:
    """Force the order in processes that the test starts with ``command``; return the report."""
    folder = tempfile.TemporaryDirectory(prefix="mountstand-order-")
    case.addCleanup(folder.cleanup)
    report = Path(folder.name) / "report"
    environment = {
        "PYTHONPATH": os.pathsep.join([str(FOLDER), os.environ.get("PYTHONPATH", str(Path.cwd()))]),
        "FORCED_ORDER_COMMAND": command,
        "FORCED_ORDER_MOMENT": moment,
        "FORCED_ORDER_RECEIVER": receiver,
        "FORCED_ORDER_REPORT": str(report),
    }
    patch = mock.patch.dict(os.environ, environment)
    patch.start()
    case.addCleanup(patch.stop)
    return report


class PlannedStopInForcedOrder(test_planned_stop.PlannedStop):
    """The steps of the planned stop, unchanged: SIGTERM just before the daemon's wait for it."""

    MOMENT = "before"
    RECEIVER = "main"

    def setUp(self) -> None:
        super().setUp()
        self.report = force_order(self, "serve", self.MOMENT, self.RECEIVER)

    def test_requests_in_progress_end_whole(self) -> None:
        super().test_requests_in_progress_end_whole()
        self.assertIn("sent\n", self.report.read_text())


class SignalInForcedOrder(TestCase):
    """Each order and receiver, in a process that does nothing but wait."""

    PROCESS = """
import os, signal, threading
import sitecustomize
sitecustomize.patch_stop_signals(sitecustomize.ORDER)
from mountstand.cli.stopping import StopSignals

def by_socket():
    return StopSignals().wait

def by_handler():
    told_to_stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: told_to_stop.set())
    return told_to_stop.wait

wait = {way}()
os.write(1, b"w")
sitecustomize.ORDER.arm()
wait()
os._exit(0)
"""

    def started(self, way: str, moment: str, receiver: str) -> tuple[subprocess.Popen[bytes], Path]:
        """Start a process, send SIGTERM as it is about to wait; return it and its report."""
        report = force_order(self, "forced", moment, receiver)
        child = subprocess.Popen(
            [sys.executable, "-c", self.PROCESS.format(way=way), "forced"], stdout=subprocess.PIPE
        )
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        assert child.stdout is not None
        self.addCleanup(child.stdout.close)
        self.assertEqual(b"w", child.stdout.read(1))
        child.terminate()
        return child, report

    def test_the_socket_hears_each(self) -> None:
        for moment in ("before", "inside"):
            for receiver in ("main", "other"):
                child, report = self.started("by_socket", moment, receiver)
                self.assertEqual(0, child.wait(HEARD_S), (moment, receiver))
                self.assertIn(f"moment {moment}, receiver {receiver}\n", report.read_text())

    def test_a_handler_loses_them(self) -> None:
        """An event that a handler sets hears only what reaches a main thread that sleeps."""
        for moment, receiver in (("before", "main"), ("before", "other"), ("inside", "other")):
            child, report = self.started("by_handler", moment, receiver)
            wait_until(lambda: "SigCgt" in report.read_text(), "its stack is reported")  # noqa: B023
            self.assertIsNone(child.poll(), (moment, receiver))
            self.assertIn("wait (threading.py", report.read_text())
        child, _ = self.started("by_handler", "inside", "main")
        self.assertEqual(0, child.wait(HEARD_S))
