"""A wait of the lab ends as soon as a process has ended that the lab did not end.

A start whose machine list, table or daemon was ended by a signal from elsewhere waited for 20 s and
then told only that a daemon was not ready: an end by a signal has a negative code, and the lab
looked for positive ones.
"""

from __future__ import annotations

import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

from testtools import TestCase

from mountstand.lab.fleet import READY_TIMEOUT_S, Fleet, FleetProcess
from mountstand.lab.fleet_plan import FleetPlan

NAME = "platform"
SAID = "what it logged"
ENDS_AT_ONCE = f"print({SAID!r})"
RUNS_ON = f"{ENDS_AT_ONCE}; import time; time.sleep(600)"
END_S = 30.0


class EndOfProcesses(TestCase):
    def fleet_with(self, script: str) -> Fleet:
        """Return a fleet with one process, which has begun to run ``script``."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log = Path(folder.name) / "log"
        fleet = Fleet(FleetPlan(daemons=0, engines=0, applications=0))
        self.addCleanup(fleet.stop)
        with log.open("wb") as output:
            process = subprocess.Popen([sys.executable, "-u", "-c", script], stdout=output)
        fleet.processes[NAME] = FleetProcess(NAME, process, log)
        deadline_s = time.monotonic() + END_S
        while SAID not in log.read_text() and time.monotonic() < deadline_s:
            time.sleep(0.01)
        return fleet

    def failure_of_wait(self, fleet: Fleet) -> str:
        """Return what a wait for something that never comes says before its time is over."""
        started_s = time.monotonic()
        problem = self.assertRaises(RuntimeError, fleet._wait_for, lambda: "not yet", "it is ready")
        self.assertTrue(time.monotonic() - started_s < READY_TIMEOUT_S)
        return str(problem)

    def test_a_signal_from_elsewhere_is_told(self) -> None:
        for number in (signal.SIGKILL, signal.SIGTERM):
            fleet = self.fleet_with(RUNS_ON)
            process = fleet.processes[NAME].process
            process.send_signal(number)
            process.wait(END_S)
            text = self.failure_of_wait(fleet)
            self.assertIn(f"{NAME} ended with {-number}", text)
            self.assertIn(SAID, text)

    def test_an_end_with_code_0_is_told(self) -> None:
        fleet = self.fleet_with(ENDS_AT_ONCE)
        fleet.processes[NAME].process.wait(END_S)
        self.assertIn(f"{NAME} ended with 0", self.failure_of_wait(fleet))

    def test_what_the_lab_ended_keeps_no_wait_from_going_on(self) -> None:
        for end in (Fleet.kill, Fleet.terminate):
            fleet = self.fleet_with(RUNS_ON)
            end(fleet, NAME)
            answers: Iterator[str | None] = iter(["not yet", "not yet", None])
            fleet._wait_for(partial(next, answers), "it is ready")
