"""The lab shows what a daemon logged if its stop failed: the log goes with the lab's folder."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

from mountstand.lab.fleet import Fleet, FleetProcess, logger
from mountstand.lab.fleet_plan import FleetPlan

NAME = "daemon-0"
SAID = "stacks of all threads"


class FailedStop(TestCase):
    def end_with(self, code: int) -> Fleet:
        """Return a fleet with a process that logged and ended."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        log = Path(folder.name) / "log"
        fleet = Fleet(FleetPlan(daemons=0, engines=0, applications=0))
        self.addCleanup(fleet.stop)
        script = f"import sys; print({SAID!r}); sys.exit({code})"
        with log.open("wb") as output:
            process = subprocess.Popen([sys.executable, "-c", script], stdout=output)
        process.wait()
        fleet.processes[NAME] = FleetProcess(NAME, process, log)
        return fleet

    def test_the_log_is_shown_if_the_code_is_not_0(self) -> None:
        fleet = self.end_with(1)
        with self.assertLogs(logger) as logged:
            self.assertEqual(1, fleet.terminate(NAME))
        self.assertIn(SAID, logged.output[0])

    def test_a_whole_stop_shows_nothing(self) -> None:
        fleet = self.end_with(0)
        with self.assertNoLogs(logger):
            self.assertEqual(0, fleet.terminate(NAME))
