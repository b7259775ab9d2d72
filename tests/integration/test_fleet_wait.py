"""A failed wait of the lab tells whether the stores worked or only a daemon did not see it."""

from __future__ import annotations

from functools import partial
from unittest import mock

from testtools import TestCase

from mountstand.lab import fleet as lab
from mountstand.lab.fleet import Fleet, unconnected
from mountstand.lab.fleet_plan import FleetPlan

STORES = ("table", "objects", "machines")
NEVER = "not yet"


class FailedWait(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet(FleetPlan(daemons=0, engines=0, applications=0))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        for port in (self.fleet.table_port, self.fleet.objects_port, self.fleet.machines_port):
            self.fleet._wait_for(partial(unconnected, port), f"port {port} listens")

    def said_by_store(self) -> dict[str, str]:
        """Return what a failed wait says of each store."""
        with mock.patch.object(lab, "READY_TIMEOUT_S", 0.2):
            problem = self.assertRaises(TimeoutError, self.fleet._wait_for, lambda: NEVER, "ready")
        lines = [line.partition(": ") for line in str(problem).splitlines()]
        return {name: said for name, _, said in lines if name in STORES}

    def test_stores_that_work(self) -> None:
        self.fleet.http.request("GET", f"{self.fleet.machines_url}/v1/machines")
        said = self.said_by_store()
        self.assertEqual(set(STORES), set(said))
        self.assertIn('{"GET": 1}', said["machines"])
        for text in said.values():
            self.assertNotIn("Error", text)

    def test_stores_that_do_not_answer(self) -> None:
        self.fleet.freeze("platform")
        said = self.said_by_store()
        self.assertEqual(set(STORES), set(said))
        for text in said.values():
            self.assertIn("ReadTimeoutError", text)
