"""A planned stop while the store says nothing: it takes seconds, and the shards go on elsewhere.

The stop released the leases of its shards one after the other, each with two tries of the store's
time-out: 65 s with 16 shards, in a minute of which the daemon logged nothing.
"""

from __future__ import annotations

import time

from testtools import TestCase

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan
from tests.integration.helpers import wait_until

STOP_S = 20.0
"""An idle daemon stops within 1 to 2 s; this leaves room for a few calls and a busy machine."""

SHARDS = 64


class StopWithoutStore(TestCase):
    def owned(self, fleet: Fleet, daemon: DaemonAddress) -> int:
        """Return how many shards a daemon holds."""
        return len(fleet.status(daemon, "owner")["shards"])

    def test_the_time_does_not_grow_with_the_shards(self) -> None:
        settings = {"batch": {"shards": SHARDS}}
        with Fleet(FleetPlan(daemons=1, engines=1, applications=0, daemon=settings)) as fleet:
            [daemon] = fleet.daemons
            wait_until(lambda: self.owned(fleet, daemon) == SHARDS, "all shards are claimed")
            fleet.freeze("platform")
            started_s = time.monotonic()
            code = fleet.terminate(daemon.daemon_id)
            took_s = time.monotonic() - started_s
            log = fleet.processes[daemon.daemon_id].log.read_text()
        self.assertEqual(0, code, log)
        self.assertLess(took_s, STOP_S, log)
        self.assertIn("shards not released", log)

    def test_leases_that_were_not_released_run_out(self) -> None:
        with Fleet(FleetPlan(daemons=2, engines=1, applications=0)) as fleet:
            leaving, staying = fleet.daemons
            wait_until(
                lambda: sum(self.owned(fleet, daemon) for daemon in fleet.daemons) == 16,
                "all shards are claimed",
            )
            self.assertGreater(self.owned(fleet, leaving), 0)
            fleet.freeze("platform")
            code = fleet.terminate(leaving.daemon_id)
            fleet.thaw("platform")
            wait_until(lambda: self.owned(fleet, staying) == 16, "the other has all shards")
            log = fleet.processes[leaving.daemon_id].log.read_text()
        self.assertEqual(0, code, log)
        self.assertIn("shards not released", log)
