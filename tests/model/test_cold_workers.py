"""What cold workers bear is one bound for all daemons together, in any second.

The load: all callers turn to workers that have just started, at every daemon at once, while daemons
start anew, pause, join, leave, or hear nothing of each other and of the store.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

from testtools import TestCase

from mountstand.limits.dealt import allocated_units
from mountstand.limits.sharing import LimitSharing
from mountstand.serving.cold_workers import (
    ColdBudget,
    ColdStartLimit,
    ColdStartShares,
    ColdStartTolerance,
)

COLD = ColdStartLimit(duration_s=3.0, requests_per_s=22.0)
TOLERANCE = ColdStartTolerance(factor=1.5, slack=5.0)
BOUND = COLD.requests_per_s * TOLERANCE.factor + TOLERANCE.slack
STALE_S = 4.0
"""A daemon knows that its picture of the fleet is older than this."""

STEP_S = 0.01
TOLD_S = 0.4
"""A change of the fleet reaches daemons that hear the store after so long at most."""


class Daemon:
    """One daemon; ``heard_s`` is when it last knew the fleet as it was."""

    def __init__(self, name: str, fleet: list[str], now_s: float) -> None:
        self.limit_sharing = LimitSharing(name)
        self.heard_s = now_s
        self.running = True
        self.cut = False
        self.now_s = now_s
        self.sends = ColdStartShares(
            self.limit_sharing, TOLERANCE, now_s, lambda: self.now_s - self.heard_s <= STALE_S
        )
        self.budget = ColdBudget("w1", COLD, self.sends)
        self.budget.note_cold(float("inf"))
        self.limit_sharing.update_members(fleet, fleet, now_s)


class Fleet:
    """Daemons that all send to one cold worker as much as they may."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.names = [f"d{n}" for n in range(size)]
        self.daemon_by_name = {name: Daemon(name, self.names, 0.0) for name in self.names}
        self.sent_s: list[float] = []
        self.told_at_s: dict[str, float] = {}

    def play(self, seconds: float, each_step: Callable[[], object] = lambda: None) -> None:
        """Let time pass; all daemons that run send whenever they may."""
        for _ in range(round(seconds / STEP_S)):
            self.now_s += STEP_S
            each_step()
            for name, daemon in list(self.daemon_by_name.items()):
                if not daemon.running:
                    continue
                daemon.now_s = self.now_s
                if not daemon.cut:
                    self._hear(name, daemon)
                while daemon.budget.take(self.now_s):
                    self.sent_s.append(self.now_s)

    def _hear(self, name: str, daemon: Daemon) -> None:
        daemon.heard_s = self.now_s
        if self.now_s >= self.told_at_s.get(name, 0.0):
            daemon.limit_sharing.update_members(self.names, self.names, self.now_s, (), 2.0)

    def change(self, names: list[str]) -> None:
        """Let other daemons serve; each of them learns it a little later."""
        self.names = names
        for name in self.daemon_by_name:
            self.told_at_s[name] = self.now_s + self.rng.uniform(0.0, TOLD_S)
        for name in names:
            if name not in self.daemon_by_name:
                self.daemon_by_name[name] = Daemon(name, names, self.now_s)

    def restart(self, name: str) -> None:
        self.daemon_by_name[name] = Daemon(name, self.names, self.now_s)

    def most_in_a_second(self) -> int:
        """Return the most requests of any second."""
        first = most = 0
        for last, at_s in enumerate(self.sent_s):
            while self.sent_s[first] <= at_s - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


class Parts(TestCase):
    def test_parts_add_up_to_the_whole(self) -> None:
        names = [f"d{n}" for n in range(13)]
        for units, size in itertools.product((0, 1, 7, 13, 30), (1, 2, 5, 13)):
            sharers = tuple(names[:size])
            parts = [allocated_units(units, "w1", name, sharers) for name in sharers]
            self.assertEqual(units, sum(parts))
            self.assertTrue(max(parts) - min(parts) <= 1, parts)
        self.assertEqual(0, allocated_units(30, "w1", "stranger", tuple(names)))

    def test_workers_are_dealt_to_different_daemons(self) -> None:
        names = tuple(f"d{n}" for n in range(60))
        owners = {n for n in names for w in range(30) if allocated_units(3, f"w{w}", n, names)}
        self.assertTrue(len(owners) > 40, len(owners))


class Bound(TestCase):
    def test_a_calm_fleet_of_any_size_uses_what_the_worker_bears(self) -> None:
        for size in (1, 12, 40, 370):
            fleet = Fleet(size, 1)
            fleet.play(3.0)
            per_s = len(fleet.sent_s) / 3.0
            self.assertTrue(COLD.requests_per_s <= per_s <= BOUND, (size, per_s))
            self.assertTrue(fleet.most_in_a_second() <= BOUND, size)

    def test_all_daemons_start_anew_at_once_again_and_again(self) -> None:
        fleet = Fleet(12, 2)
        for _ in range(4):
            fleet.play(2.0)
            for name in list(fleet.names):
                fleet.restart(name)
        fleet.play(3.0)
        self.assertTrue(fleet.most_in_a_second() <= BOUND, fleet.most_in_a_second())
        late = [at_s for at_s in fleet.sent_s if at_s > fleet.now_s - 1.0]
        self.assertTrue(len(late) >= COLD.requests_per_s, "it is used again soon")

    def test_daemons_leave_one_after_the_other(self) -> None:
        fleet = Fleet(12, 3)
        for _ in range(10):
            gone = fleet.names[0]
            fleet.change(fleet.names[1:])
            fleet.play(0.6)
            fleet.daemon_by_name[gone].running = False
        self.assertTrue(fleet.most_in_a_second() <= BOUND, fleet.most_in_a_second())

    def test_daemons_join_in_a_crowd(self) -> None:
        fleet = Fleet(6, 4)
        fleet.play(2.0)
        fleet.change([*fleet.names, *(f"new{n}" for n in range(18))])
        fleet.play(3.0)
        self.assertTrue(fleet.most_in_a_second() <= BOUND, fleet.most_in_a_second())

    def test_some_hear_neither_the_store_nor_their_peers(self) -> None:
        """They go on by their picture, each with its own part, and stop once it is too old."""
        fleet = Fleet(12, 5)
        fleet.play(1.0)
        cut = fleet.names[:4]
        for name in cut:
            fleet.daemon_by_name[name].cut = True
        fleet.play(6.0)
        self.assertTrue(fleet.most_in_a_second() <= BOUND, fleet.most_in_a_second())
        for name in cut:
            self.assertFalse(fleet.daemon_by_name[name].budget.allows(fleet.now_s))

    def test_daemons_pause_and_go_on(self) -> None:
        fleet = Fleet(12, 6)

        def pause_or_go_on() -> None:
            daemon = fleet.daemon_by_name[fleet.rng.choice(fleet.names)]
            daemon.running = not daemon.running

        for _ in range(20):
            pause_or_go_on()
            fleet.play(0.4)
        self.assertTrue(fleet.most_in_a_second() <= BOUND, fleet.most_in_a_second())


class Worker(TestCase):
    def test_what_was_sent_before_the_worker_turned_cold_counts(self) -> None:
        daemon = Daemon("d1", ["d1"], 0.0)
        daemon.now_s = daemon.heard_s = 100.0
        budget = ColdBudget("w2", COLD, daemon.sends)
        self.assertTrue(all(budget.take(100.0) for _ in range(40)), "warm: no bound")
        budget.note_cold(103.0)
        self.assertFalse(budget.take(100.5))
        self.assertTrue(budget.take(101.2))
        self.assertTrue(all(budget.take(103.0) for _ in range(40)), "warm again")

    def test_a_bound_below_a_daemon_s_part_is_kept_whole(self) -> None:
        """With less than one request for each daemon, some send one and the others none."""
        slow = ColdStartLimit(3.0, 2.0)
        names = [f"d{n}" for n in range(12)]
        parts = []
        for name in names:
            daemon = Daemon(name, names, 0.0)
            daemon.now_s = daemon.heard_s = 100.0
            parts.append(daemon.sends.part("w1", slow, 100.0))
        self.assertEqual(TOLERANCE.shared_out(slow), sum(parts))
        self.assertEqual({0, 1}, set(parts))
