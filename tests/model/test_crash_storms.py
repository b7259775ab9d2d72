"""Batch items complete soon after bursts in which several workers crash at once.

Guards against blocking a sound item for crashes that it did not cause.
"""

from __future__ import annotations

import itertools
import random

import pytest

from tests.model.quarantine_fleet import QuarantineFleet, SimulatedItem, send_repeatedly

CRASHED_SHARE = 0.3
CRASHES_PER_BURST = 5
CRASH_GAP_S = 0.4
BURST_GAP_S = 6.0
BURSTS = 8
RUN_DURATION_RANGE_S = (1.0, 6.0)
OWED_WITHIN_S = 18.0
"""Time in which all items must be done once no more workers crash."""

SIMULATIONS = 10


def incomplete_items(seed: int, loss_probability: float) -> int:
    """Return how many items are not done ``OWED_WITHIN_S`` after the last burst."""
    fleet = QuarantineFleet(seed, daemons=4, workers=9, loss_probability=loss_probability)
    rng = random.Random(seed)
    contents = itertools.count(1000)
    items: list[SimulatedItem] = []

    def submit() -> None:
        daemon = fleet.random_daemon()
        for _ in range(rng.randint(1, 20)):
            items.append(SimulatedItem(fleet, daemon, next(contents), RUN_DURATION_RANGE_S))

    for burst in range(BURSTS):
        fleet.clock.call_later(burst * BURST_GAP_S + rng.uniform(0, BURST_GAP_S), submit)
        for n in range(CRASHES_PER_BURST):
            at_s = 5.0 + burst * BURST_GAP_S + n * CRASH_GAP_S
            fleet.clock.call_later(at_s, lambda: fleet.crash_some(CRASHED_SHARE))
    # Single requests keep the workers busy, so that daemons notice their crashes.
    for content in range(40):
        send_repeatedly(fleet, content, 100, 0.5)
    last_crash_s = 5.0 + (BURSTS - 1) * BURST_GAP_S + CRASHES_PER_BURST * CRASH_GAP_S
    fleet.clock.run_until(fleet.clock.now_s + last_crash_s + OWED_WITHIN_S)
    return sum(not item.done for item in items)


@pytest.mark.parametrize("loss_probability", [0.0, 0.3])
def test_all_items_complete_soon_after_the_last_burst(loss_probability: float) -> None:
    incomplete = {seed: incomplete_items(seed, loss_probability) for seed in range(SIMULATIONS)}
    assert {seed: count for seed, count in incomplete.items() if count} == {}
