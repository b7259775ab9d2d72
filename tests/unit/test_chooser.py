"""Tests of worker selection with a seeded random number generator."""

from __future__ import annotations

import random

from testtools import TestCase

from mountstand.engines.port import LoadReport
from mountstand.routing.chooser import RouteRequest, WorkerChooser
from mountstand.routing.fleet_view import DispatchOutcome, FleetView
from mountstand.store.ports import Machine, MachineRole, MachineState

PREFIX_BLOCKS = ("block1", "block2", "block3")


def make_machine(
    number: int, zone: str, state: MachineState = MachineState.LIVE, software_version: str = ""
) -> Machine:
    return Machine(
        machine_id=f"w{number}",
        role=MachineRole.ENGINE,
        address="127.0.0.1",
        port=1000 + number,
        zone=zone,
        service="caption",
        state=state,
        software_version=software_version,
    )


class TestWorkerChooser(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.view = FleetView()
        self.chooser = WorkerChooser(self.view, "home", random.Random(1))
        zones = ("home", "home", "away", "away")
        self.view.update_machines(make_machine(n, zone) for n, zone in enumerate(zones))
        for number in range(4):
            self.record_load_report(number, 0)

    def record_load_report(self, number: int, running: int, *, leaving: bool = False) -> None:
        report = LoadReport(running, 0, 0, 0, slots=10, leaving=leaving)
        self.view.record_load(f"w{number}", report, 100.0)

    def chosen_worker_ids(self, **keywords) -> set[str]:
        request = RouteRequest("caption", **keywords)
        choices = (self.chooser.choose(request, 100.0) for _ in range(60))
        return {worker.worker_id for worker in choices if worker}

    def test_prefers_home_zone_until_overloaded(self) -> None:
        self.assertEqual({"w0", "w1"}, self.chosen_worker_ids())
        self.record_load_report(0, 10)
        self.assertEqual({"w1"}, self.chosen_worker_ids())
        self.record_load_report(1, 10)
        # Home workers may still be chosen once all zones are considered.
        self.assertEqual({"w2", "w3"}, self.chosen_worker_ids() - {"w0", "w1"})

    def test_only_workers_of_the_wanted_software_version(self) -> None:
        """Guards against a stream that another software version goes on with."""
        versions = ("v1", "v2", "v2", "v1")
        self.view.update_machines(
            make_machine(n, "home", software_version=version) for n, version in enumerate(versions)
        )
        self.assertEqual({"w0", "w3"}, self.chosen_worker_ids(software_version="v1"))
        excluded = frozenset({"w0"})
        self.assertEqual({"w3"}, self.chosen_worker_ids(software_version="v1", excluded=excluded))
        self.assertEqual(set(), self.chosen_worker_ids(software_version="v3"))

    def test_prefers_prefix_holder_within_load_limit(self) -> None:
        self.chooser.prefix_index.record_stored(PREFIX_BLOCKS[0], "w1")
        self.chooser.prefix_index.record_stored(PREFIX_BLOCKS[1], "w1")
        self.assertEqual({"w1"}, self.chosen_worker_ids(prefix=PREFIX_BLOCKS[:2]))
        for _ in range(8):
            self.view.record_dispatch_start("w1")
        self.assertEqual({"w0"}, self.chosen_worker_ids(prefix=PREFIX_BLOCKS[:2]))

    def test_skips_ineligible_workers(self) -> None:
        cases = {
            "leaving according to its load report": lambda: self.record_load_report(
                0, 0, leaving=True
            ),
            "leaving according to the machine list": lambda: self.view.update_machines(
                [make_machine(0, "home", MachineState.LEAVING), make_machine(1, "home")]
            ),
            "drained": lambda: self.view.set_drained(frozenset({"w0"}), frozenset()),
            "ejected": lambda: [
                self.view.record_dispatch_end("w0", DispatchOutcome.FAILED, 100.0) for _ in range(3)
            ],
            "backing off after a refusal": lambda: self.view.set_backoff("w0", 101.0),
        }
        for reason, make_ineligible in cases.items():
            self.set_up_two_home_workers()
            make_ineligible()
            self.assertEqual({"w1"}, self.chosen_worker_ids(), reason)

    def set_up_two_home_workers(self) -> None:
        self.view = FleetView()
        self.chooser = WorkerChooser(self.view, "home", random.Random(1))
        self.view.update_machines(make_machine(n, "home") for n in range(2))
        for number in range(2):
            self.record_load_report(number, 0)

    def test_excludes_at_most_half_of_workers_as_ejected(self) -> None:
        for number in range(4):
            for _ in range(3):
                self.view.record_dispatch_end(
                    f"w{number}", DispatchOutcome.FAILED, 100.0 + number / 10
                )
        self.assertEqual(2, len(self.view.candidates("caption", 100.5)))

    def test_zero_weight_excludes_zone_and_partial_weight_limits_it(self) -> None:
        self.chooser.zone_weights = {"home": 0.0}
        self.assertEqual({"w2", "w3"}, self.chosen_worker_ids())
        self.chooser.zone_weights = {"home": 0.5}
        # A request goes home if either of the two home workers is kept: probability 0.75.
        request = RouteRequest("caption")
        zones = [self.chooser.choose(request, 100.0).machine.zone for _ in range(400)]
        self.assertTrue(0.6 < zones.count("home") / 400 < 0.9, zones.count("home"))
