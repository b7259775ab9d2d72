"""Model tests of the fleet-wide request limit for cold workers, which holds within any second.

All daemons send to a cold worker as much as they may, while daemons restart, pause, join, leave or
are partitioned from the store and their peers.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from unittest import mock

from testtools import TestCase

from mountstand.limits.dealt import allocated_units
from mountstand.limits.sharing import LimitSharing
from mountstand.serving import cold_workers
from mountstand.serving.cold_workers import (
    ColdStartBudget,
    ColdStartLimit,
    ColdStartShares,
    ColdStartTolerance,
)

LIMIT = ColdStartLimit(duration_s=3.0, requests_per_s=22.0)
TOLERANCE = ColdStartTolerance(factor=1.5, slack=5.0)
MAX_REQUESTS_PER_S = LIMIT.requests_per_s * TOLERANCE.factor + TOLERANCE.slack
MAX_VIEW_AGE_S = 4.0
"""A daemon treats an older view of the fleet as stale."""

STEP_S = 0.01
MAX_PROPAGATION_S = 0.4
"""Longest time until a change of the fleet reaches a daemon that is not partitioned."""


class Daemon:
    """A daemon; ``view_updated_s`` is when its view of the fleet was last up to date."""

    def __init__(self, name: str, fleet: list[str], now_s: float) -> None:
        self.limit_sharing = LimitSharing(name)
        self.view_updated_s = now_s
        self.running = True
        self.partitioned = False
        self.now_s = now_s
        self.shares = ColdStartShares(
            self.limit_sharing,
            TOLERANCE,
            now_s,
            lambda: self.now_s - self.view_updated_s <= MAX_VIEW_AGE_S,
        )
        self.budget = ColdStartBudget("w1", LIMIT, self.shares)
        self.budget.extend_cold_period(float("inf"))
        self.limit_sharing.update_members(fleet, fleet, now_s)


class Fleet:
    """Daemons that all send as many requests as allowed to one cold worker."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 1000.0
        self.names = [f"d{n}" for n in range(size)]
        self.daemon_by_name = {name: Daemon(name, self.names, 0.0) for name in self.names}
        self.sent_at_s: list[float] = []
        self.view_update_at_s: dict[str, float] = {}

    def run(self, duration_s: float, on_step: Callable[[], object] = lambda: None) -> None:
        """Advance the time step by step; all running daemons send whenever they may."""
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            on_step()
            for name, daemon in list(self.daemon_by_name.items()):
                if not daemon.running:
                    continue
                daemon.now_s = self.now_s
                if not daemon.partitioned:
                    self._update_view(name, daemon)
                while daemon.budget.try_acquire(self.now_s):
                    self.sent_at_s.append(self.now_s)

    def _update_view(self, name: str, daemon: Daemon) -> None:
        daemon.view_updated_s = self.now_s
        if self.now_s >= self.view_update_at_s.get(name, 0.0):
            daemon.limit_sharing.update_members(self.names, self.names, self.now_s, (), 2.0)

    def change_members(self, names: list[str]) -> None:
        """Change the daemons that serve; each daemon learns of it after a random delay."""
        self.names = names
        for name in self.daemon_by_name:
            self.view_update_at_s[name] = self.now_s + self.rng.uniform(0.0, MAX_PROPAGATION_S)
        for name in names:
            if name not in self.daemon_by_name:
                self.daemon_by_name[name] = Daemon(name, names, self.now_s)

    def restart(self, name: str) -> None:
        self.daemon_by_name[name] = Daemon(name, self.names, self.now_s)

    def peak_requests_in_a_second(self) -> int:
        """Return the highest number of requests sent within any second."""
        first = peak = 0
        for last, at_s in enumerate(self.sent_at_s):
            while self.sent_at_s[first] <= at_s - 1.0:
                first += 1
            peak = max(peak, last - first + 1)
        return peak


class ShareDistribution(TestCase):
    def test_shares_add_up_to_the_limit(self) -> None:
        names = [f"d{n}" for n in range(13)]
        for units, size in itertools.product((0, 1, 7, 13, 30), (1, 2, 5, 13)):
            sharers = tuple(names[:size])
            shares = [allocated_units(units, "w1", name, sharers) for name in sharers]
            self.assertEqual(units, sum(shares))
            self.assertTrue(max(shares) - min(shares) <= 1, shares)
        self.assertEqual(0, allocated_units(30, "w1", "stranger", tuple(names)))

    def test_shares_of_many_workers_go_to_different_daemons(self) -> None:
        names = tuple(f"d{n}" for n in range(60))
        owners = {n for n in names for w in range(30) if allocated_units(3, f"w{w}", n, names)}
        self.assertTrue(len(owners) > 40, len(owners))


class ShareComputation(TestCase):
    """Shares are computed anew only when the daemons that share a limit change."""

    RESERVE_S = 2.0

    def setUp(self) -> None:
        super().setUp()
        self.daemon = Daemon("a", ["a", "b"], 0.0)
        self.daemon.now_s = MAX_VIEW_AGE_S

    def computations(self, serving: str, running: str, now_s: float) -> int:
        """Update the members twice; return how often a share was computed."""
        with mock.patch.object(cold_workers, "allocated_units", wraps=allocated_units) as computed:
            for _ in range(2):
                sharing = self.daemon.limit_sharing
                sharing.update_members(list(serving), list(running), now_s, (), self.RESERVE_S)
                self.daemon.shares.share("w1", LIMIT, self.daemon.now_s)
        return computed.call_count

    def test_unchanged_sharers_cost_nothing(self) -> None:
        self.assertEqual(1, self.computations("ab", "ab", 10.0))
        self.assertEqual(0, self.computations("ba", "ba", 10.1))
        self.assertEqual(0, self.computations("ab", "a", 10.2), "b is not believed to run")
        self.assertEqual([], self.daemon.limit_sharing.peers)

    def test_a_change_and_the_end_of_a_reservation_count(self) -> None:
        self.assertEqual(1, self.computations("ab", "ab", 10.0))
        self.assertEqual(1, self.computations("abc", "abc", 10.1), "c serves")
        self.assertEqual(0, self.computations("ab", "ab", 10.2), "the share of c is reserved")
        self.assertEqual(1, self.computations("ab", "ab", 10.2 + self.RESERVE_S), "no more")
        self.assertEqual(("a", "b"), self.daemon.limit_sharing.sharers)


class FleetLimit(TestCase):
    def test_stable_fleet_of_any_size_uses_the_whole_limit(self) -> None:
        for size in (1, 12, 40, 370):
            fleet = Fleet(size, 1)
            fleet.run(3.0)
            per_s = len(fleet.sent_at_s) / 3.0
            self.assertTrue(LIMIT.requests_per_s <= per_s <= MAX_REQUESTS_PER_S, (size, per_s))
            self.assertTrue(fleet.peak_requests_in_a_second() <= MAX_REQUESTS_PER_S, size)

    def test_limit_holds_while_all_daemons_restart_repeatedly(self) -> None:
        fleet = Fleet(12, 2)
        for _ in range(4):
            fleet.run(2.0)
            for name in list(fleet.names):
                fleet.restart(name)
        fleet.run(3.0)
        self.assertTrue(
            fleet.peak_requests_in_a_second() <= MAX_REQUESTS_PER_S,
            fleet.peak_requests_in_a_second(),
        )
        recent = [at_s for at_s in fleet.sent_at_s if at_s > fleet.now_s - 1.0]
        self.assertTrue(
            len(recent) >= LIMIT.requests_per_s, "daemons send again after the last restart"
        )

    def test_limit_holds_while_daemons_leave_one_by_one(self) -> None:
        fleet = Fleet(12, 3)
        for _ in range(10):
            leaving = fleet.names[0]
            fleet.change_members(fleet.names[1:])
            fleet.run(0.6)
            fleet.daemon_by_name[leaving].running = False
        self.assertTrue(
            fleet.peak_requests_in_a_second() <= MAX_REQUESTS_PER_S,
            fleet.peak_requests_in_a_second(),
        )

    def test_limit_holds_while_many_daemons_join_at_once(self) -> None:
        fleet = Fleet(6, 4)
        fleet.run(2.0)
        fleet.change_members([*fleet.names, *(f"new{n}" for n in range(18))])
        fleet.run(3.0)
        self.assertTrue(
            fleet.peak_requests_in_a_second() <= MAX_REQUESTS_PER_S,
            fleet.peak_requests_in_a_second(),
        )

    def test_partitioned_daemons_keep_their_share_and_stop_once_their_view_is_stale(self) -> None:
        fleet = Fleet(12, 5)
        fleet.run(1.0)
        partitioned = fleet.names[:4]
        for name in partitioned:
            fleet.daemon_by_name[name].partitioned = True
        fleet.run(6.0)
        self.assertTrue(
            fleet.peak_requests_in_a_second() <= MAX_REQUESTS_PER_S,
            fleet.peak_requests_in_a_second(),
        )
        for name in partitioned:
            self.assertFalse(fleet.daemon_by_name[name].budget.has_capacity(fleet.now_s))

    def test_limit_holds_while_daemons_pause_and_resume(self) -> None:
        fleet = Fleet(12, 6)

        def toggle_random_daemon() -> None:
            daemon = fleet.daemon_by_name[fleet.rng.choice(fleet.names)]
            daemon.running = not daemon.running

        for _ in range(20):
            toggle_random_daemon()
            fleet.run(0.4)
        self.assertTrue(
            fleet.peak_requests_in_a_second() <= MAX_REQUESTS_PER_S,
            fleet.peak_requests_in_a_second(),
        )


class Budget(TestCase):
    def test_requests_sent_before_the_cold_period_count(self) -> None:
        daemon = Daemon("d1", ["d1"], 0.0)
        daemon.now_s = daemon.view_updated_s = 100.0
        budget = ColdStartBudget("w2", LIMIT, daemon.shares)
        self.assertTrue(all(budget.try_acquire(100.0) for _ in range(40)), "warm: no limit")
        budget.extend_cold_period(103.0)
        self.assertFalse(budget.try_acquire(100.5))
        self.assertTrue(budget.try_acquire(101.2))
        self.assertTrue(all(budget.try_acquire(103.0) for _ in range(40)), "warm again")

    def test_limit_below_the_number_of_daemons_is_not_exceeded(self) -> None:
        """Guards against rounding up each daemon's share of less than one request."""
        low_limit = ColdStartLimit(3.0, 2.0)
        names = [f"d{n}" for n in range(12)]
        shares = []
        for name in names:
            daemon = Daemon(name, names, 0.0)
            daemon.now_s = daemon.view_updated_s = 100.0
            shares.append(daemon.shares.share("w1", low_limit, 100.0))
        self.assertEqual(TOLERANCE.shared_requests(low_limit), sum(shares))
        self.assertEqual({0, 1}, set(shares))
