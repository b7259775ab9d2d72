"""Sound batch items get their trials while other items go on crashing workers.

Guards against accepted items that are not done in time, since workers are kept for trials that are
over, and against a crashing item that runs too often, since its trials share a worker with another.
"""

from __future__ import annotations

import pytest

from tests.model.quarantine_fleet import QuarantineFleet, SimulatedItem

DAEMONS = 3
RUN_DURATION_RANGE_S = (0.5, 2.0)
DONE_WITHIN_S = 20.0
"""Time in which the results of a job are due."""

GRACE_S = 1.0
"""Time after a third crash in which all daemons get to know of it."""

RUNS_AFTER_GRACE = 3
"""Runs of a crashing item that may start later."""


@pytest.mark.parametrize(
    ("seed", "workers", "crashing", "sound"),
    [
        *((seed, 3, 2, 12) for seed in (1174, 1503, 1811, 2127, 2306, 2316)),
        *((seed, 4, 3, 16) for seed in (1098, 1101, 1213, 1594, 1837, 2409)),
    ],
)
def test_sound_items_are_done_beside_items_that_crash_workers(
    seed: int, workers: int, crashing: int, sound: int
) -> None:
    fleet = QuarantineFleet(seed, DAEMONS, workers)
    fleet.crashing_contents = {1000 + number for number in range(crashing)}
    for content in fleet.crashing_contents:
        SimulatedItem(fleet, fleet.random_daemon(), content)
    items = [
        SimulatedItem(fleet, fleet.random_daemon(), content, RUN_DURATION_RANGE_S)
        for content in range(sound)
    ]
    fleet.clock.run_until(fleet.clock.now_s + DONE_WITHIN_S)
    assert [number for number, item in enumerate(items) if not item.done] == []
    fleet.clock.run_until(fleet.clock.now_s + 2 * DONE_WITHIN_S)
    late = {content: fleet.late_runs(content, GRACE_S) for content in fleet.crashing_contents}
    assert max(late.values()) <= RUNS_AFTER_GRACE, late
