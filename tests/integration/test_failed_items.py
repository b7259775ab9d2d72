"""Batch items of the own interface that fail again and again, while the daemons that run them end.

Real processes, before engines whose answers are never the ones that were asked for.
"""

from __future__ import annotations

import time

import orjson
from testtools import TestCase

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan
from tests.integration.helpers import batch_lines, results, submit, wait_completed, wait_until
from tests.integration.test_batch_faults import DAEMON

JOB = "failing"
MAX_ATTEMPTS = 3
SAVE_S = 0.2
"""Time that a daemon has to store a failure before it is killed."""


class FailedItems(TestCase):
    def setUp(self) -> None:
        super().setUp()
        plan = FleetPlan(
            daemons=3,
            engines=2,
            applications=0,
            daemon=DAEMON,
            engine={"step_s": 0.01, "slots": 16},
        )
        self.fleet = Fleet(plan)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        self.fleet.wait_ready(self.fleet.daemons)
        for engine in self.fleet.engines:
            self.fleet.set_faults(engine.url, cross_share=1.0)

    def running(self) -> list[DaemonAddress]:
        """Return the daemons that have not been killed."""
        processes = self.fleet.processes
        return [each for each in self.fleet.daemons if processes[each.daemon_id].is_running]

    def kill_holder(self) -> None:
        """Kill the daemon that holds the job's only range."""
        for daemon in self.running():
            if self.fleet.status(daemon, "executor")["ranges"]:
                self.fleet.kill(daemon.daemon_id)
                return
        raise AssertionError("no daemon holds the range")

    def runs(self) -> int:
        """Return how often engines ran the item."""
        return len(self.fleet.executions())

    def test_attempts_are_counted_on_after_their_daemon_is_killed(self) -> None:
        """Guards against an item that is tried anew by each daemon that takes over its range."""
        lines = batch_lines(1)
        headers = {"X-Max-Attempts": str(MAX_ATTEMPTS)}
        submit(self.fleet, self.fleet.daemons[0], JOB, lines, **headers)
        for runs in range(1, MAX_ATTEMPTS):
            wait_until(lambda runs=runs: self.runs() >= runs, f"run {runs} of the item")
            time.sleep(SAVE_S)
            self.kill_holder()
        reader = self.running()[0]
        wait_completed(self.fleet, reader, JOB)
        found = results(self.fleet, reader, JOB)
        self.assertEqual(["failed"], [line["status"] for line in found], orjson.dumps(found))
        self.assertEqual(MAX_ATTEMPTS, self.runs())
