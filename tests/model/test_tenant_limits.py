"""Tenants' limits under partitions, pauses, restarts, message loss and store faults."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import hypothesis.strategies as st
import orjson
from hypothesis import given, settings
from testtools import TestCase

from mountstand.limits.sharing import LimitSharing
from mountstand.serving_settings import StoreSettings
from mountstand.tenants.limits import (
    CHECKPOINT_TRIGGER_FRACTION,
    LOAN_TTL_S,
    MAX_CHECKPOINT_TENANTS,
    TenantLimits,
)
from mountstand.tenants.marks import CheckpointState, PriorUsage, UsageSnapshot
from mountstand.tenants.stored_marks import _encode
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import GossipBodies, TokenAsk, TokenGrant
from tests.model.limit_fleet import REACHABILITY_UPDATE_S, TOLERANCE, LimitFleet, max_per_window
from tests.stand_ins.paused_clock import run_paused

SMALL = Tenant("small", requests_per_s=5, burst=5)
LARGE = Tenant("large", requests_per_s=40, burst=40)
TENANTS = [SMALL, LARGE]
FLEET_SIZE = 9
LONG_PARTITION_S = 18.0

DAEMON = st.integers(0, FLEET_SIZE - 1)
STEP = st.one_of(
    st.tuples(st.just("burst at all daemons"), st.integers(1, 40)),
    st.tuples(st.just("burst at one daemon"), DAEMON),
    st.tuples(st.just("steady load"), st.integers(1, 6)),
    st.tuples(st.just("partition"), st.integers(1, FLEET_SIZE - 1)),
    st.tuples(st.just("isolate all"), st.just(0)),
    st.tuples(st.just("heal"), st.just(0)),
    st.tuples(st.just("pause"), DAEMON),
    st.tuples(st.just("resume"), st.just(0)),
    st.tuples(st.just("restart"), DAEMON),
    st.tuples(st.just("restart all"), st.just(0)),
    st.tuples(st.just("message loss"), st.sampled_from([0, 1, 3])),
    st.tuples(st.just("store fault"), st.sampled_from(["", "refuse", "lose", "drop"])),
    st.tuples(st.just("advance"), st.sampled_from([1, 5, 30, 120])),
)


NO_PRIOR_USAGE = PriorUsage()


def create_limits(
    limit_sharing: LimitSharing, prior_usage: PriorUsage = NO_PRIOR_USAGE
) -> TenantLimits:
    """Return limits that have applied ``prior_usage`` and recorded it as checkpointed."""
    limits = TenantLimits(limit_sharing, CheckpointState(), TOLERANCE, 7)
    limits.set_tenants(TenantIndex(TENANTS))
    limits.apply_prior_usage(prior_usage, 10.0)
    limits.record_checkpoint(UsageSnapshot(limit_sharing.share, prior_usage.by_tenant), 10.0)
    return limits


class FaultScenario:
    """Applies faults to a fleet, and load above the tenants' limits."""

    def __init__(self, seed: int) -> None:
        self.fleet = LimitFleet(FLEET_SIZE, TENANTS, seed)

    async def step(self, name: str, value: Any) -> None:
        fleet = self.fleet
        if name == "burst at all daemons":
            for daemon in fleet.names:
                self.send_requests(daemon, value)
        elif name == "burst at one daemon":
            self.send_requests(fleet.names[value], 200)
        elif name == "steady load":
            for _ in range(100):
                self.send_requests(fleet.rng.choice(fleet.names), value)
                await fleet.advance(0.02)
        elif name == "partition":
            one_side = set(fleet.names[:value])
            fleet.reaches = lambda sender, receiver: (sender in one_side) == (receiver in one_side)
        elif name == "isolate all":
            fleet.reaches = lambda sender, receiver: sender == receiver
        elif name == "heal":
            fleet.reaches = lambda sender, receiver: True
        elif name == "pause":
            fleet.paused.add(fleet.names[value])
        elif name == "resume":
            fleet.paused.clear()
        elif name == "restart":
            fleet.restart(fleet.names[value])
        elif name == "restart all":
            await fleet.advance(0.5)
            for daemon in fleet.names:
                fleet.restart(daemon)
        elif name == "store fault":
            fleet.store.fault = lambda call: str(value)
        elif name == "message loss":
            fleet.loss = value / 10
        else:
            await fleet.advance(value / 10)
            fleet.update_reachability()

    def send_requests(self, daemon: str, count: int) -> None:
        for tenant in TENANTS:
            self.fleet.send_requests(daemon, tenant.name, count)

    async def send_overload(self, seconds: float) -> None:
        """Send requests far above the limits while daemons update their reachability."""
        for _ in range(round(seconds / REACHABILITY_UPDATE_S)):
            for _ in range(30):
                self.send_requests(self.fleet.rng.choice(self.fleet.names), 6)
                await self.fleet.advance(REACHABILITY_UPDATE_S / 30)
            self.fleet.update_reachability()
        await self.fleet.settle()


class WindowBound(TestCase):
    def assert_within_bound(self, fleet: LimitFleet, *context: object) -> None:
        for tenant in TENANTS:
            peak = fleet.peak_in_window(tenant.name)
            self.assertLessEqual(peak, max_per_window(tenant), (tenant.name, *context))

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1000), st.lists(STEP, min_size=4, max_size=20))
    def test_admitted_requests_never_exceed_the_bound_in_any_window(
        self, seed: int, steps: list[tuple[str, Any]]
    ) -> None:
        async def scenario() -> LimitFleet:
            faults = FaultScenario(seed)
            for name, value in steps:
                await faults.step(name, value)
            await faults.fleet.settle()
            return faults.fleet

        self.assert_within_bound(run_paused(scenario()), steps)

    def test_simultaneous_burst_at_all_daemons_stays_within_bound(self) -> None:
        async def scenario() -> LimitFleet:
            faults = FaultScenario(1)
            await faults.fleet.advance(60.0)
            await faults.step("burst at all daemons", 40)
            await faults.send_overload(6.0)
            return faults.fleet

        self.assert_within_bound(run_paused(scenario()))

    def test_restart_of_all_daemons_does_not_admit_a_second_burst(self) -> None:
        async def scenario() -> LimitFleet:
            faults = FaultScenario(3)
            await faults.fleet.advance(8.0)
            await faults.step("burst at all daemons", 30)
            await faults.step("restart all", 0)
            await faults.step("burst at all daemons", 30)
            await faults.send_overload(6.0)
            return faults.fleet

        self.assert_within_bound(run_paused(scenario()))

    def test_both_sides_of_a_long_partition_together_stay_within_bound(self) -> None:
        async def scenario() -> LimitFleet:
            faults = FaultScenario(4)
            await faults.fleet.advance(8.0)
            for side_size in (1, 4, 7):
                await faults.step("partition", side_size)
                await faults.send_overload(LONG_PARTITION_S)
                await faults.step("heal", 0)
                await faults.send_overload(6.0)
            return faults.fleet

        self.assert_within_bound(run_paused(scenario()))

    def test_mutually_isolated_daemons_stay_within_bound(self) -> None:
        async def scenario() -> LimitFleet:
            faults = FaultScenario(6)
            await faults.fleet.advance(8.0)
            await faults.step("isolate all", 0)
            await faults.send_overload(LONG_PARTITION_S)
            return faults.fleet

        self.assert_within_bound(run_paused(scenario()))

    def test_lowered_limit_takes_effect_immediately(self) -> None:
        lower = Tenant("large", requests_per_s=5, burst=5)

        async def scenario() -> int:
            faults = FaultScenario(5)
            await faults.fleet.advance(8.0)
            await faults.send_overload(3.0)
            faults.fleet.set_tenants([SMALL, lower])
            faults.fleet.admitted_at_s["large"].clear()
            await faults.send_overload(9.0)
            return faults.fleet.peak_in_window("large")

        self.assertLessEqual(run_paused(scenario()), max_per_window(lower))


class BelowLimit(TestCase):
    async def admitted_fraction(self, fleet: LimitFleet, tenant: Tenant, daemons: int) -> float:
        """Return the fraction of requests admitted at a load of 0.9 of the limit."""
        rng = random.Random(11)
        await fleet.advance(10.0)
        for _ in range(2000):
            if rng.random() < tenant.requests_per_s * 0.9 * 0.01:
                fleet.send_requests(fleet.names[rng.randrange(daemons)], tenant.name)
            await fleet.advance(0.01)
        await fleet.settle()
        return len(fleet.admitted_at_s[tenant.name]) / fleet.sent_by_tenant[tenant.name]

    def test_load_below_limit_is_admitted_at_all_daemons_or_at_one(self) -> None:
        for tenant in TENANTS:
            for daemons in (FLEET_SIZE, 1):
                with self.subTest(tenant=tenant.name, daemons=daemons):

                    async def scenario(tenant: Tenant = tenant, daemons: int = daemons) -> float:
                        fleet = LimitFleet(FLEET_SIZE, TENANTS)
                        return await self.admitted_fraction(fleet, tenant, daemons)

                    self.assertGreaterEqual(run_paused(scenario()), 0.99)

    def test_burst_of_small_tenant_at_one_daemon_is_admitted(self) -> None:
        async def scenario() -> int:
            fleet = LimitFleet(FLEET_SIZE, TENANTS)
            await fleet.advance(10.0)
            fleet.send_requests("d3", "small", 5)
            await fleet.settle()
            return len(fleet.admitted_at_s["small"])

        self.assertEqual(5, run_paused(scenario()))

    def test_restarted_daemon_borrows(self) -> None:
        async def scenario() -> int:
            fleet = LimitFleet(FLEET_SIZE, TENANTS)
            await fleet.advance(10.0)
            fleet.restart("d3")
            fleet.send_requests("d3", "small", 5)
            await fleet.settle()
            return len(fleet.admitted_at_s["small"])

        self.assertEqual(5, run_paused(scenario()))

    def test_retry_after_is_when_usage_expires_and_never_decreases(self) -> None:
        async def scenario() -> list[float]:
            fleet = LimitFleet(1, [SMALL])
            await fleet.advance(10.0)
            fleet.send_requests("d0", "small", 60)
            await fleet.settle()
            return fleet.retry_after_s

        retry_after_s = run_paused(scenario())
        self.assertGreater(len(retry_after_s), 5)
        self.assertEqual(
            sorted(retry_after_s), retry_after_s, "a later rejection must not get an earlier time"
        )
        self.assertAlmostEqual(TOLERANCE.window_s, retry_after_s[0], delta=0.2)

    def test_refund_restores_quota(self) -> None:
        async def scenario() -> None:
            fleet = LimitFleet(1, [SMALL])
            gate = fleet._gate_by_name["d0"]
            await fleet.advance(10.0)
            for _ in range(100):
                self.assertTrue(gate.try_acquire(SMALL))
                gate.refund(SMALL)

        run_paused(scenario())

    def test_tenant_without_limit_is_never_rejected(self) -> None:
        async def scenario() -> LimitFleet:
            fleet = LimitFleet(3, [Tenant("free")])
            fleet.send_requests("d0", "free", 1000)
            await fleet.settle()
            return fleet

        fleet = run_paused(scenario())
        self.assertEqual((1000, 0), (len(fleet.admitted_at_s["free"]), fleet.message_count))

    def test_tenant_at_limit_is_rejected_without_borrowing_every_time(self) -> None:
        async def scenario() -> int:
            fleet = LimitFleet(FLEET_SIZE, TENANTS)
            await fleet.advance(10.0)
            for _ in range(100):
                fleet.send_requests("d0", "small", 5)
                await fleet.advance(0.01)
            await fleet.settle()
            return fleet.message_count

        self.assertLess(run_paused(scenario()), 500)


class Lending(TestCase):
    def limits(self, name: str, fleet: tuple[str, ...] = ("a", "b")) -> TenantLimits:
        limit_sharing = LimitSharing(name)
        limit_sharing.update_members(fleet, fleet)
        return create_limits(limit_sharing)

    def borrowed_quota(self, limits: TenantLimits, now_s: float) -> float:
        """Return how much quota is available in addition to the daemon's own."""
        shortfall = limits.shortfall(LARGE, 1000, now_s)
        return 1000 - shortfall - limits.available(LARGE, now_s)

    def test_lent_quota_is_unavailable_until_borrowers_request_leaves_window(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        before = b.available(LARGE, 20.0)
        self.assertFalse(
            a.receive_grant(
                "b", b.lend(a.create_borrow_request(LARGE, 3.5, ["b"], 20.0), 20.0), 20.0
            )
        )
        self.assertAlmostEqual(3.5, self.borrowed_quota(a, 20.0))
        self.assertAlmostEqual(
            before - 3.5, b.available(LARGE, 20.0 + TOLERANCE.window_s + LOAN_TTL_S)
        )
        self.assertAlmostEqual(before, b.available(LARGE, 20.2 + TOLERANCE.window_s + LOAN_TTL_S))

    def test_borrowed_quota_expires(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        a.receive_grant("b", b.lend(a.create_borrow_request(LARGE, 3.5, ["b"], 20.0), 20.0), 20.0)
        self.assertAlmostEqual(0.0, self.borrowed_quota(a, 20.1 + LOAN_TTL_S))

    def test_duplicate_and_unsolicited_grants_are_ignored(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        grant = b.lend(a.create_borrow_request(LARGE, 1.0, ["b"], 20.0), 20.0)
        a.receive_grant("stranger", grant, 20.0)
        self.assertAlmostEqual(0.0, self.borrowed_quota(a, 20.0))
        a.receive_grant("b", grant, 20.0)
        a.receive_grant("b", grant, 20.0)
        self.assertAlmostEqual(1.0, self.borrowed_quota(a, 20.0))

    def test_late_grants_and_grants_to_previous_process_are_ignored(self) -> None:
        a = self.limits("a")
        borrow_request = a.create_borrow_request(LARGE, 1.0, ["b"], 20.0)
        a.receive_grant("b", TokenGrant(borrow_request.number + 5, LARGE.number, 1000), 20.0)
        a.receive_grant(
            "b", TokenGrant(borrow_request.number, LARGE.number, 1000), 20.0 + LOAN_TTL_S
        )
        self.assertAlmostEqual(0.0, self.borrowed_quota(a, 20.0))

    def test_oversized_grant_is_capped_at_fleet_quota(self) -> None:
        a = self.limits("a")
        borrow_request = a.create_borrow_request(LARGE, 1.0, ["b"], 20.0)
        a.receive_grant("b", TokenGrant(borrow_request.number, LARGE.number, 10**9), 20.0)
        self.assertLessEqual(round(self.borrowed_quota(a, 20.0), 9), TOLERANCE.fleet_quota(LARGE))


class Checkpoints(TestCase):
    """Quota that is available after a restart, given the predecessor's checkpoint."""

    def single_daemon(self, prior_usage: PriorUsage = NO_PRIOR_USAGE) -> TenantLimits:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members(["a"], ["a"])
        return create_limits(limit_sharing, prior_usage)

    def consume_all(self, limits: TenantLimits, now_s: float) -> int:
        """Consume all quota, with every checkpoint written, and return the amount consumed."""
        consumed = before = 0
        while True:
            limits.record_checkpoint(limits.snapshot(now_s), now_s)
            while limits.try_acquire(LARGE, now_s):
                consumed += 1
            if consumed == before:
                return consumed
            before = consumed

    def test_only_startup_quota_is_available_before_checkpoint_is_read(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members(["a"], ["a"])
        limits = TenantLimits(limit_sharing, CheckpointState(), TOLERANCE, 7)
        limits.set_tenants(TenantIndex(TENANTS))
        self.assertAlmostEqual(TOLERANCE.startup_quota(LARGE), limits.available(LARGE, 0.1))

    def test_prior_usage_reduces_quota_until_it_leaves_the_window(self) -> None:
        quota, allowance = (
            TOLERANCE.fleet_quota(LARGE),
            TOLERANCE.fleet_uncheckpointed_allowance(LARGE),
        )
        prior_usage = PriorUsage((10.0,), 1.0, {LARGE.number: ((8.0, 60.0), (9.5, 20.0))})
        limits = self.single_daemon(prior_usage)
        cases = (
            ("all prior usage counts", 10.1, quota - allowance - 80),
            ("the first amount has expired", 13.2, quota - allowance - 20),
            ("both amounts have expired", 14.7, allowance),
            ("the uncheckpointed allowance has expired", 15.2, allowance),
        )
        for name, now_s, expected in cases:
            with self.subTest(name):
                expected_available = min(allowance, max(0.0, expected))
                self.assertAlmostEqual(expected_available, limits.available(LARGE, now_s))

    def test_tenant_missing_from_checkpoint_is_charged_the_uncheckpointed_allowance(self) -> None:
        prior_usage = PriorUsage((10.0,), 1.0, {SMALL.number: ((8.0, 5.0),)})
        allowance = TOLERANCE.fleet_uncheckpointed_allowance(LARGE)
        limits = self.single_daemon(prior_usage)
        self.assertAlmostEqual(allowance, limits.available(LARGE, 10.1))
        consumed = self.consume_all(limits, 10.1)
        self.assertAlmostEqual(TOLERANCE.fleet_quota(LARGE) - allowance, consumed, delta=1)

    def test_each_start_within_the_window_is_charged_an_allowance(self) -> None:
        prior_usage = PriorUsage((8.0, 10.0), 0.4, {})
        expected = TOLERANCE.fleet_quota(
            LARGE
        ) - 2 * 0.4 * TOLERANCE.fleet_uncheckpointed_allowance(LARGE)
        self.assertAlmostEqual(
            min(expected, TOLERANCE.fleet_uncheckpointed_allowance(LARGE)),
            self.single_daemon(prior_usage).available(LARGE, 10.1),
        )

    def test_fleet_quota_and_startup_quota_together_stay_within_bound(self) -> None:
        """Within one window, a process may use its quota and its successor the startup quota."""
        for tenant in TENANTS:
            quota, startup_quota = TOLERANCE.fleet_quota(tenant), TOLERANCE.startup_quota(tenant)
            self.assertLessEqual(quota + startup_quota, max_per_window(tenant))

    def test_consumption_stops_at_uncheckpointed_allowance_until_checkpoint_is_written(
        self,
    ) -> None:
        limits = self.single_daemon()
        write_requests: list[int] = []
        limits.checkpoint.on_write_requested = lambda: write_requests.append(1)
        consumed = 0
        while limits.try_acquire(LARGE, 20.0):
            consumed += 1
            if len(write_requests) == 1:
                consumed_at_request = consumed
        allowance = TOLERANCE.fleet_uncheckpointed_allowance(LARGE)
        self.assertAlmostEqual(allowance, consumed, delta=1)
        self.assertAlmostEqual(
            allowance * CHECKPOINT_TRIGGER_FRACTION, consumed_at_request, delta=2
        )
        consumed += self.consume_all(limits, 20.0)
        self.assertAlmostEqual(TOLERANCE.fleet_quota(LARGE), consumed, delta=1)

    def test_grown_share_is_usable_only_after_a_new_checkpoint(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members(["a", "b"], ["a"])
        limits = create_limits(limit_sharing)
        before = limits.available(LARGE, 20.0)
        write_requests: list[int] = []
        limits.checkpoint.on_write_requested = lambda: write_requests.append(1)
        limit_sharing.update_members(["a"], ["a"])
        self.assertAlmostEqual(before, limits.available(LARGE, 30.0))
        self.assertTrue(write_requests)
        limits.record_checkpoint(limits.snapshot(30.0), 30.0)
        self.assertAlmostEqual(2 * before, limits.available(LARGE, 30.0))

    def test_checkpoint_contains_only_tenants_with_highest_usage(self) -> None:
        tenants = [Tenant(f"t{n}", requests_per_s=10, burst=10) for n in range(1400)]
        limits = self.single_daemon()
        limits.set_tenants(TenantIndex(tenants))
        for n, tenant in enumerate(tenants):
            for _ in range(20 if n % 2 else 2):
                self.assertTrue(limits.try_acquire(tenant, 20.0))
        snapshot = limits.snapshot(20.0)
        self.assertEqual(MAX_CHECKPOINT_TENANTS, len(snapshot.by_tenant))
        self.assertTrue(all(int(t.name[1:]) % 2 for t in tenants if t.number in snapshot.by_tenant))
        limits.record_checkpoint(snapshot, 20.0)
        allowance = TOLERANCE.fleet_uncheckpointed_allowance(tenants[0])
        self.assertAlmostEqual(allowance - 2, limits.available(tenants[0], 20.0))

    def test_largest_checkpoint_fits_into_a_row(self) -> None:
        amounts = tuple((20.0 - n * 0.1, 1.234) for n in reversed(range(55)))
        encoded = _encode({2**31 + n: amounts for n in range(MAX_CHECKPOINT_TENANTS)}, 20.0)
        self.assertLessEqual(len(orjson.dumps(encoded)), StoreSettings.row_bytes)


class FleetCrash(TestCase):
    """Crash of all daemons while one tenant sends far more than its limit.

    Tenants within their limits must be admitted at their usual rate after the restart, because
    the checkpoints record their earlier usage by tenant and time.
    """

    FLEET_SIZE = 12
    USUAL_LOAD = 0.6
    """Usual load of a tenant, as a fraction of its limit."""

    def simulate(self, store_fault: str = "") -> tuple[LimitFleet, list[float]]:
        """Return the fleet and the fraction of usual load admitted in each second after a crash."""
        usual = [Tenant(f"t{n}", requests_per_s=40, burst=40) for n in range(4)]
        hot = Tenant("hot", requests_per_s=40, burst=40)

        async def scenario() -> tuple[LimitFleet, list[float]]:
            fleet = LimitFleet(self.FLEET_SIZE, [*usual, hot], 5)
            admitted_fractions = []

            async def run_second() -> float:
                before = [
                    (fleet.sent_by_tenant[t.name], len(fleet.admitted_at_s[t.name])) for t in usual
                ]
                for _ in range(100):
                    for tenant in usual:
                        if fleet.rng.random() < tenant.requests_per_s * self.USUAL_LOAD * 0.01:
                            fleet.send_requests(fleet.rng.choice(fleet.names), tenant.name)
                    fleet.send_requests(fleet.rng.choice(fleet.names), hot.name, 3)
                    await fleet.advance(0.01)
                await fleet.settle()
                sent = sum(fleet.sent_by_tenant[t.name] for t in usual) - sum(a for a, _ in before)
                admitted = sum(len(fleet.admitted_at_s[t.name]) for t in usual) - sum(
                    g for _, g in before
                )
                return admitted / sent

            for _ in range(10):
                await run_second()
            fleet.store.fault = lambda call: store_fault
            await fleet.advance(0.5)
            for name in fleet.names:
                fleet.restart(name)
            for number in range(6):
                if number == 2:
                    fleet.store.fault = lambda call: ""
                admitted_fractions.append(await run_second())
            return fleet, admitted_fractions

        return run_paused(scenario())

    def test_callers_within_limits_are_admitted_after_crash(self) -> None:
        fleet, admitted_fractions = self.simulate()
        self.assertGreaterEqual(min(admitted_fractions[1:]), 0.95, admitted_fractions)
        self.assertGreaterEqual(admitted_fractions[0], 0.6, admitted_fractions)
        self.assertLessEqual(
            fleet.peak_in_window("hot"), max_per_window(fleet.tenants.by_name["hot"])
        )

    def test_bound_holds_while_store_is_unavailable(self) -> None:
        fleet, admitted_fractions = self.simulate("refuse")
        for name in fleet.admitted_at_s:
            self.assertLessEqual(
                fleet.peak_in_window(name), max_per_window(fleet.tenants.by_name[name])
            )
        self.assertGreaterEqual(admitted_fractions[-1], 0.95, admitted_fractions)


class LimitShares(TestCase):
    FLEET = ("a", "b", "c", "d", "e")

    def test_shares_are_equal_regardless_of_unreachable_daemons(self) -> None:
        for running, peers in (("abcde", ["b", "c", "d", "e"]), ("ac", ["c"]), ("", [])):
            with self.subTest(running):
                limit_sharing = LimitSharing("a")
                limit_sharing.update_members(self.FLEET, running)
                self.assertEqual((1 / 5, peers), (limit_sharing.share, limit_sharing.peers))

    def test_usage_of_departed_daemons_counts_until_it_leaves_the_window(self) -> None:
        """After three of four daemons stop in turn, the last must not start with the full limit."""

        async def scenario() -> int:
            fleet = LimitFleet(4, [SMALL])
            stops = {300: "d1", 380: "d2", 460: "d3"}
            await fleet.advance(10.0)
            for tick in range(1000):
                if tick in stops:
                    fleet.leaving.add(stops[tick])
                    fleet.update_reachability()
                for name in fleet.names:
                    if name not in fleet.leaving and tick % 5 == 0:
                        fleet.send_requests(name, SMALL.name)
                await fleet.advance(0.01)
            await fleet.settle()
            return fleet.peak_in_window(SMALL.name)

        self.assertLessEqual(run_paused(scenario()), max_per_window(SMALL))

    def test_share_of_departed_daemon_is_redistributed_after_reservation(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members("abcd", "abcd", 100.0, (), 5.5)
        limit_sharing.update_members("abc", "abc", 101.0, "d", 5.5)
        self.assertEqual((1 / 4, True), (limit_sharing.share, limit_sharing.has_reserved_shares))
        limit_sharing.update_members("abc", "abc", 106.6, "d", 5.5)
        self.assertEqual((1 / 3, False), (limit_sharing.share, limit_sharing.has_reserved_shares))
        limit_sharing.update_members("abcd", "abcd", 107.0, (), 5.5)
        self.assertEqual(1 / 4, limit_sharing.share)

    def test_starting_process_reserves_shares_of_leaving_daemons(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members("ab", "ab", 100.0, "cd", 5.5)
        self.assertEqual(1 / 4, limit_sharing.share)

    def test_daemon_that_does_not_serve_has_no_share_but_may_borrow(self) -> None:
        limit_sharing = LimitSharing("x")
        limit_sharing.update_members(self.FLEET, self.FLEET)
        self.assertEqual((0.0, list(self.FLEET)), (limit_sharing.share, limit_sharing.peers))


class MessageOverhead(TestCase):
    """Traffic between daemons must not grow with the number of tenants."""

    def test_borrow_request_and_grant_are_small(self) -> None:
        bodies = GossipBodies()
        largest = 2**62 - 1, 2**32 - 1, 1_000_000
        for message in (TokenAsk(*largest), TokenGrant(*largest)):
            self.assertLessEqual(len(bodies.encode(message)[1]), 24)

    def test_many_tenants_below_limit_cause_no_messages(self) -> None:
        async def scenario() -> tuple[int, int]:
            tenants = [Tenant(f"t{n}", requests_per_s=20, burst=20) for n in range(1400)]
            fleet = LimitFleet(12, tenants)
            await fleet.advance(10.0)
            for tenant in tenants:
                for name in fleet.names:
                    fleet.send_requests(name, tenant.name)
            await fleet.settle()
            return sum(map(len, fleet.admitted_at_s.values())), fleet.message_count

        self.assertEqual((12 * 1400, 0), run_paused(scenario()))


class WaitingRequests(TestCase):
    def test_cancelled_request_leaves_no_pending_state(self) -> None:
        async def scenario() -> tuple[int, int]:
            fleet = LimitFleet(2, [SMALL])
            fleet.reaches = lambda sender, receiver: False
            gate = fleet._gate_by_name["d0"]
            while gate.try_acquire(SMALL):
                pass
            task = asyncio.create_task(gate.borrow_or_reject(SMALL))
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait([task])
            return gate._shortage_by_tenant["small"].waiting_requests, len(
                gate._round_done_by_request
            )

        self.assertEqual((0, 0), run_paused(scenario()))
