"""Placement steps: order, rate, and replicas kept through a version change."""

from __future__ import annotations

from testtools import TestCase

from mountstand.placement.reconciler import (
    EngineState,
    PlacementTarget,
    is_reached,
    next_loads,
)


def engines(*versions: str) -> list[EngineState]:
    """Return engines with these versions; a trailing ``+`` means loading."""
    return [
        EngineState(f"e{n}", v.rstrip("+"), loading=v.endswith("+")) for n, v in enumerate(versions)
    ]


class Reconciler(TestCase):
    def test_steps(self) -> None:
        target = PlacementTarget("caption", "2", replicas=2, max_loads=2)
        cases = [
            ("nothing to do", ("2", "2", "2"), []),
            ("empty engines first", ("1", "", "1", "1"), ["e1", "e0"]),
            ("replicas are kept", ("1", "1", "1"), ["e0"]),
            ("the rate is kept", ("1", "1", "1", "1", "1", "1"), ["e0", "e1"]),
            ("loads in progress count", ("+", "1", "1", "1", "1"), ["e1"]),
            ("a load takes a replica away", ("+", "1", "1"), []),
            ("a single engine must stop to change", ("1",), ["e0"]),
        ]
        for name, versions, expected in cases:
            self.assertEqual(expected, next_loads(target, engines(*versions)), name)

    def test_a_change_ends_and_never_has_too_few_replicas(self) -> None:
        target = PlacementTarget("caption", "2", replicas=3, max_loads=2)
        fleet = engines("1", "1", "1", "1", "")
        for _ in range(20):
            chosen = set(next_loads(target, fleet))
            fleet = [
                EngineState(e.worker_id, "", loading=True) if e.worker_id in chosen else e
                for e in fleet
            ]
            serving = sum(1 for e in fleet if e.version and not e.loading)
            self.assertTrue(serving >= target.replicas, fleet)
            done = next((e for e in fleet if e.loading), None)
            fleet = [EngineState(e.worker_id, target.version) if e is done else e for e in fleet]
        self.assertTrue(is_reached(target, fleet), fleet)

    def test_leaving_engines_get_nothing(self) -> None:
        target = PlacementTarget("caption", "2", replicas=1, max_loads=2)
        fleet = [EngineState("e0", "1", leaving=True), EngineState("e1", "2")]
        self.assertEqual([], next_loads(target, fleet))
        self.assertTrue(is_reached(target, fleet))
