"""The choice of a worker, by tables, with a seeded random source."""

from __future__ import annotations

import random

from testtools import TestCase

from mountstand.engines.port import LoadReport
from mountstand.routing.chooser import RouteRequest, WorkerChooser
from mountstand.routing.fleet_view import DispatchOutcome, FleetView
from mountstand.store.ports import Machine, MachineRole, MachineState

PREFIX = ("block1", "block2", "block3")


def machine(number: int, zone: str, state: MachineState = MachineState.LIVE) -> Machine:
    return Machine(
        machine_id=f"w{number}",
        role=MachineRole.ENGINE,
        address="127.0.0.1",
        port=1000 + number,
        zone=zone,
        service="caption",
        state=state,
    )


class Chooser(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.view = FleetView()
        self.chooser = WorkerChooser(self.view, "home", random.Random(1))
        zones = ("home", "home", "away", "away")
        self.view.update_machines(machine(n, zone) for n, zone in enumerate(zones))
        for number in range(4):
            self.load(number, 0)

    def load(self, number: int, running: int, *, leaving: bool = False) -> None:
        report = LoadReport(running, 0, 0, 0, slots=10, leaving=leaving)
        self.view.record_load(f"w{number}", report, 100.0)

    def chosen(self, **keywords) -> set[str]:
        request = RouteRequest("caption", **keywords)
        found = (self.chooser.choose(request, 100.0) for _ in range(60))
        return {worker.worker_id for worker in found if worker}

    def test_home_zone_first_and_spill_by_load(self) -> None:
        self.assertEqual({"w0", "w1"}, self.chosen())
        self.load(0, 10)
        self.assertEqual({"w1"}, self.chosen())
        self.load(1, 10)
        self.assertEqual({"w2", "w3"}, self.chosen() - {"w0", "w1"})

    def test_the_holder_of_the_prefix_within_its_bound(self) -> None:
        self.chooser.prefix_index.record_stored(PREFIX[0], "w1")
        self.chooser.prefix_index.record_stored(PREFIX[1], "w1")
        self.assertEqual({"w1"}, self.chosen(prefix=PREFIX[:2]))
        for _ in range(8):
            self.view.begin_dispatch("w1")
        self.assertEqual({"w0"}, self.chosen(prefix=PREFIX[:2]))

    def test_who_gets_nothing(self) -> None:
        cases = {
            "leaving by its report": lambda: self.load(0, 0, leaving=True),
            "leaving by the list": lambda: self.view.update_machines(
                [machine(0, "home", MachineState.LEAVING), machine(1, "home")]
            ),
            "drained": lambda: self.view.set_drained(frozenset({"w0"}), frozenset()),
            "ejected": lambda: [
                self.view.end_dispatch("w0", DispatchOutcome.FAILED, 100.0) for _ in range(3)
            ],
            "refused a moment ago": lambda: self.view.set_backoff("w0", 101.0),
        }
        for name, happen in cases.items():
            self.setUp_again()
            happen()
            self.assertEqual({"w1"}, self.chosen(), name)

    def setUp_again(self) -> None:  # noqa: N802
        self.view = FleetView()
        self.chooser = WorkerChooser(self.view, "home", random.Random(1))
        self.view.update_machines(machine(n, "home") for n in range(2))
        for number in range(2):
            self.load(number, 0)

    def test_at_most_half_are_ejected(self) -> None:
        for number in range(4):
            for _ in range(3):
                self.view.end_dispatch(f"w{number}", DispatchOutcome.FAILED, 100.0 + number / 10)
        self.assertEqual(2, len(self.view.candidates("caption", 100.5)))

    def test_a_drained_zone_gets_nothing_and_a_weight_gives_its_share(self) -> None:
        self.chooser.zone_weights = {"home": 0.0}
        self.assertEqual({"w2", "w3"}, self.chosen())
        self.chooser.zone_weights = {"home": 0.5}
        request = RouteRequest("caption")
        zones = [self.chooser.choose(request, 100.0).machine.zone for _ in range(400)]
        self.assertTrue(0.6 < zones.count("home") / 400 < 0.9, zones.count("home"))
