"""Limits of tenants under cuts, pauses, deaths, restarts of all, losses and lower limits."""

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
from mountstand.tenants.stored_marks import _encoded
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import GossipBodies, TokenAsk, TokenGrant
from tests.model.limit_fleet import NOTICED_S, TOLERANCE, LimitFleet, bound
from tests.stand_ins.paused_clock import run_paused

SMALL = Tenant("small", requests_per_s=5, burst=5)
LARGE = Tenant("large", requests_per_s=40, burst=40)
TENANTS = [SMALL, LARGE]
SIZE = 9
LONG_CUT_S = 18.0

DAEMON = st.integers(0, SIZE - 1)
STEP = st.one_of(
    st.tuples(st.just("burst at all"), st.integers(1, 40)),
    st.tuples(st.just("burst at one"), DAEMON),
    st.tuples(st.just("stream at all"), st.integers(1, 6)),
    st.tuples(st.just("cut"), st.integers(1, SIZE - 1)),
    st.tuples(st.just("cut apart"), st.just(0)),
    st.tuples(st.just("heal"), st.just(0)),
    st.tuples(st.just("pause"), DAEMON),
    st.tuples(st.just("wake"), st.just(0)),
    st.tuples(st.just("restart"), DAEMON),
    st.tuples(st.just("restart all"), st.just(0)),
    st.tuples(st.just("lose"), st.sampled_from([0, 1, 3])),
    st.tuples(st.just("store"), st.sampled_from(["", "refuse", "lose", "drop"])),
    st.tuples(st.just("pass"), st.sampled_from([1, 5, 30, 120])),
)


NOTHING_BEFORE = PriorUsage()


def started(limit_sharing: LimitSharing, prior_usage: PriorUsage = NOTHING_BEFORE) -> TenantLimits:
    """Return the limits of a process that knows what was before it, and whose row says so."""
    limits = TenantLimits(limit_sharing, CheckpointState(), TOLERANCE, 7)
    limits.set_tenants(TenantIndex(TENANTS))
    limits.apply_prior_usage(prior_usage, 10.0)
    limits.record_checkpoint(UsageSnapshot(limit_sharing.share, prior_usage.by_tenant), 10.0)
    return limits


class Disturbed:
    """A fleet whose daemons are cut, paused and started again while tenants ask for too much."""

    def __init__(self, seed: int) -> None:
        self.fleet = LimitFleet(SIZE, TENANTS, seed)

    async def step(self, name: str, value: Any) -> None:
        fleet = self.fleet
        if name == "burst at all":
            for daemon in fleet.names:
                self.ask(daemon, value)
        elif name == "burst at one":
            self.ask(fleet.names[value], 200)
        elif name == "stream at all":
            for _ in range(100):
                self.ask(fleet.rng.choice(fleet.names), value)
                await fleet.advance(0.02)
        elif name == "cut":
            few = set(fleet.names[:value])
            fleet.reaches = lambda sender, receiver: (sender in few) == (receiver in few)
        elif name == "cut apart":
            fleet.reaches = lambda sender, receiver: sender == receiver
        elif name == "heal":
            fleet.reaches = lambda sender, receiver: True
        elif name == "pause":
            fleet.paused.add(fleet.names[value])
        elif name == "wake":
            fleet.paused.clear()
        elif name == "restart":
            fleet.restart(fleet.names[value])
        elif name == "restart all":
            await fleet.advance(0.5)
            for daemon in fleet.names:
                fleet.restart(daemon)
        elif name == "store":
            fleet.store.fault = lambda call: str(value)
        elif name == "lose":
            fleet.loss = value / 10
        else:
            await fleet.advance(value / 10)
            fleet.notice()

    def ask(self, daemon: str, count: int) -> None:
        for tenant in TENANTS:
            self.fleet.ask(daemon, tenant.name, count)

    async def stream(self, seconds: float) -> None:
        """Ask for far too much for some time, while daemons notice whom they reach."""
        for _ in range(round(seconds / NOTICED_S)):
            for _ in range(30):
                self.ask(self.fleet.rng.choice(self.fleet.names), 6)
                await self.fleet.advance(NOTICED_S / 30)
            self.fleet.notice()
        await self.fleet.settle()


class Bound(TestCase):
    def assert_within(self, fleet: LimitFleet, *context: object) -> None:
        for tenant in TENANTS:
            most = fleet.most_in_window(tenant.name)
            self.assertLessEqual(most, bound(tenant), (tenant.name, *context))

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1000), st.lists(STEP, min_size=4, max_size=20))
    def test_no_window_holds_more_than_the_bound(
        self, seed: int, steps: list[tuple[str, Any]]
    ) -> None:
        async def scenario() -> LimitFleet:
            run = Disturbed(seed)
            for name, value in steps:
                await run.step(name, value)
            await run.fleet.settle()
            return run.fleet

        self.assert_within(run_paused(scenario()), steps)

    def test_a_burst_at_all_daemons_at_once(self) -> None:
        async def scenario() -> LimitFleet:
            run = Disturbed(1)
            await run.fleet.advance(60.0)
            await run.step("burst at all", 40)
            await run.stream(6.0)
            return run.fleet

        self.assert_within(run_paused(scenario()))

    def test_a_restart_of_all_does_not_give_a_burst_away_twice(self) -> None:
        async def scenario() -> LimitFleet:
            run = Disturbed(3)
            await run.fleet.advance(8.0)
            await run.step("burst at all", 30)
            await run.step("restart all", 0)
            await run.step("burst at all", 30)
            await run.stream(6.0)
            return run.fleet

        self.assert_within(run_paused(scenario()))

    def test_both_sides_of_a_long_cut_stay_within_the_bound_together(self) -> None:
        async def scenario() -> LimitFleet:
            run = Disturbed(4)
            await run.fleet.advance(8.0)
            for few in (1, 4, 7):
                await run.step("cut", few)
                await run.stream(LONG_CUT_S)
                await run.step("heal", 0)
                await run.stream(6.0)
            return run.fleet

        self.assert_within(run_paused(scenario()))

    def test_daemons_that_all_hear_nobody(self) -> None:
        async def scenario() -> LimitFleet:
            run = Disturbed(6)
            await run.fleet.advance(8.0)
            await run.step("cut apart", 0)
            await run.stream(LONG_CUT_S)
            return run.fleet

        self.assert_within(run_paused(scenario()))

    def test_a_lower_limit_holds_at_once(self) -> None:
        lower = Tenant("large", requests_per_s=5, burst=5)

        async def scenario() -> int:
            run = Disturbed(5)
            await run.fleet.advance(8.0)
            await run.stream(3.0)
            run.fleet.set_tenants([SMALL, lower])
            run.fleet.admitted_s["large"].clear()
            await run.stream(9.0)
            return run.fleet.most_in_window("large")

        self.assertLessEqual(run_paused(scenario()), bound(lower))


class BelowTheLimit(TestCase):
    async def share_let_through(self, fleet: LimitFleet, tenant: Tenant, daemons: int) -> float:
        """Return the share that is let through of requests that come at 0.9 of the limit."""
        rng = random.Random(11)
        await fleet.advance(10.0)
        for _ in range(2000):
            if rng.random() < tenant.requests_per_s * 0.9 * 0.01:
                fleet.ask(fleet.names[rng.randrange(daemons)], tenant.name)
            await fleet.advance(0.01)
        await fleet.settle()
        return len(fleet.admitted_s[tenant.name]) / fleet.asked[tenant.name]

    def test_nearly_all_is_let_through_wherever_it_comes(self) -> None:
        for tenant in TENANTS:
            for daemons in (SIZE, 1):
                with self.subTest(tenant=tenant.name, daemons=daemons):

                    async def scenario(tenant: Tenant = tenant, daemons: int = daemons) -> float:
                        fleet = LimitFleet(SIZE, TENANTS)
                        return await self.share_let_through(fleet, tenant, daemons)

                    self.assertGreaterEqual(run_paused(scenario()), 0.99)

    def test_one_burst_of_a_small_tenant_at_one_daemon(self) -> None:
        async def scenario() -> int:
            fleet = LimitFleet(SIZE, TENANTS)
            await fleet.advance(10.0)
            fleet.ask("d3", "small", 5)
            await fleet.settle()
            return len(fleet.admitted_s["small"])

        self.assertEqual(5, run_paused(scenario()))

    def test_a_daemon_that_just_started_borrows(self) -> None:
        async def scenario() -> int:
            fleet = LimitFleet(SIZE, TENANTS)
            await fleet.advance(10.0)
            fleet.restart("d3")
            fleet.ask("d3", "small", 5)
            await fleet.settle()
            return len(fleet.admitted_s["small"])

        self.assertEqual(5, run_paused(scenario()))

    def test_callers_are_told_when_a_request_fits(self) -> None:
        async def scenario() -> list[float]:
            fleet = LimitFleet(1, [SMALL])
            await fleet.advance(10.0)
            fleet.ask("d0", "small", 60)
            await fleet.settle()
            return fleet.retry_after_s

        told_s = run_paused(scenario())
        self.assertGreater(len(told_s), 5)
        self.assertEqual(sorted(told_s), told_s, "one after another")
        self.assertAlmostEqual(TOLERANCE.window_s, told_s[0], delta=0.2)

    def test_a_request_that_reached_no_worker_is_given_back(self) -> None:
        async def scenario() -> None:
            fleet = LimitFleet(1, [SMALL])
            gate = fleet._gate_by_name["d0"]
            await fleet.advance(10.0)
            for _ in range(100):
                self.assertTrue(gate.try_acquire(SMALL))
                gate.refund(SMALL)

        run_paused(scenario())

    def test_tenants_without_a_limit_are_never_refused(self) -> None:
        async def scenario() -> LimitFleet:
            fleet = LimitFleet(3, [Tenant("free")])
            fleet.ask("d0", "free", 1000)
            await fleet.settle()
            return fleet

        fleet = run_paused(scenario())
        self.assertEqual((1000, 0), (len(fleet.admitted_s["free"]), fleet.messages))

    def test_a_tenant_at_its_limit_is_refused_without_asking_each_time(self) -> None:
        async def scenario() -> int:
            fleet = LimitFleet(SIZE, TENANTS)
            await fleet.advance(10.0)
            for _ in range(100):
                fleet.ask("d0", "small", 5)
                await fleet.advance(0.01)
            await fleet.settle()
            return fleet.messages

        self.assertLess(run_paused(scenario()), 500)


class Lending(TestCase):
    def limits(self, name: str, fleet: tuple[str, ...] = ("a", "b")) -> TenantLimits:
        limit_sharing = LimitSharing(name)
        limit_sharing.update_members(fleet, fleet)
        return started(limit_sharing)

    def borrowed(self, limits: TenantLimits, now_s: float) -> float:
        """Return how much more fits than this daemon's own part holds."""
        shortfall = limits.shortfall(LARGE, 1000, now_s)
        return 1000 - shortfall - limits.left(LARGE, now_s)

    def test_what_is_lent_is_missing_until_the_borrowers_request_counts_no_more(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        before = b.left(LARGE, 20.0)
        self.assertFalse(a.receive_grant("b", b.lend(a.ask(LARGE, 3.5, ["b"], 20.0), 20.0), 20.0))
        self.assertAlmostEqual(3.5, self.borrowed(a, 20.0))
        self.assertAlmostEqual(before - 3.5, b.left(LARGE, 20.0 + TOLERANCE.window_s + LOAN_TTL_S))
        self.assertAlmostEqual(before, b.left(LARGE, 20.2 + TOLERANCE.window_s + LOAN_TTL_S))

    def test_what_is_borrowed_expires(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        a.receive_grant("b", b.lend(a.ask(LARGE, 3.5, ["b"], 20.0), 20.0), 20.0)
        self.assertAlmostEqual(0.0, self.borrowed(a, 20.1 + LOAN_TTL_S))

    def test_an_answer_counts_once_and_only_from_those_asked(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        grant = b.lend(a.ask(LARGE, 1.0, ["b"], 20.0), 20.0)
        a.receive_grant("stranger", grant, 20.0)
        self.assertAlmostEqual(0.0, self.borrowed(a, 20.0))
        a.receive_grant("b", grant, 20.0)
        a.receive_grant("b", grant, 20.0)
        self.assertAlmostEqual(1.0, self.borrowed(a, 20.0))

    def test_answers_that_are_late_or_to_a_former_process_are_dropped(self) -> None:
        a = self.limits("a")
        question = a.ask(LARGE, 1.0, ["b"], 20.0)
        a.receive_grant("b", TokenGrant(question.number + 5, LARGE.number, 1000), 20.0)
        a.receive_grant("b", TokenGrant(question.number, LARGE.number, 1000), 20.0 + LOAN_TTL_S)
        self.assertAlmostEqual(0.0, self.borrowed(a, 20.0))

    def test_a_wrong_peer_cannot_lend_more_than_there_is(self) -> None:
        a = self.limits("a")
        question = a.ask(LARGE, 1.0, ["b"], 20.0)
        a.receive_grant("b", TokenGrant(question.number, LARGE.number, 10**9), 20.0)
        self.assertLessEqual(round(self.borrowed(a, 20.0), 9), TOLERANCE.fleet_quota(LARGE))


class StartsAndMarks(TestCase):
    """What a process may use after others, by what the store has of them."""

    def lone(self, prior_usage: PriorUsage = NOTHING_BEFORE) -> TenantLimits:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members(["a"], ["a"])
        return started(limit_sharing, prior_usage)

    def take_all(self, limits: TenantLimits, now_s: float) -> int:
        """Take all that may be taken while the store takes each row; returns how much it was."""
        taken = before = 0
        while True:
            limits.record_checkpoint(limits.snapshot(now_s), now_s)
            while limits.try_acquire(LARGE, now_s):
                taken += 1
            if taken == before:
                return taken
            before = taken

    def test_before_the_store_is_read_little_is_there(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members(["a"], ["a"])
        limits = TenantLimits(limit_sharing, CheckpointState(), TOLERANCE, 7)
        limits.set_tenants(TenantIndex(TENANTS))
        self.assertAlmostEqual(TOLERANCE.startup_quota(LARGE), limits.left(LARGE, 0.1))

    def test_what_processes_before_used_is_missing_until_its_window_is_over(self) -> None:
        whole, allowance = (
            TOLERANCE.fleet_quota(LARGE),
            TOLERANCE.fleet_uncheckpointed_allowance(LARGE),
        )
        told = PriorUsage((10.0,), 1.0, {LARGE.number: ((8.0, 60.0), (9.5, 20.0))})
        limits = self.lone(told)
        cases = (
            ("all counts", 10.1, whole - allowance - 80),
            ("the first amount counts no more", 13.2, whole - allowance - 20),
            ("nor the second", 14.7, allowance),
            ("nor what may have been unmarked", 15.2, allowance),
        )
        for name, now_s, expected in cases:
            with self.subTest(name):
                left = min(allowance, max(0.0, expected))
                self.assertAlmostEqual(left, limits.left(LARGE, now_s))

    def test_a_tenant_that_the_store_does_not_name_may_have_used_what_is_unmarked(self) -> None:
        told = PriorUsage((10.0,), 1.0, {SMALL.number: ((8.0, 5.0),)})
        allowance = TOLERANCE.fleet_uncheckpointed_allowance(LARGE)
        limits = self.lone(told)
        self.assertAlmostEqual(allowance, limits.left(LARGE, 10.1))
        taken = self.take_all(limits, 10.1)
        self.assertAlmostEqual(TOLERANCE.fleet_quota(LARGE) - allowance, taken, delta=1)

    def test_several_starts_within_a_window_count_each(self) -> None:
        told = PriorUsage((8.0, 10.0), 0.4, {})
        expected = TOLERANCE.fleet_quota(
            LARGE
        ) - 2 * 0.4 * TOLERANCE.fleet_uncheckpointed_allowance(LARGE)
        self.assertAlmostEqual(
            min(expected, TOLERANCE.fleet_uncheckpointed_allowance(LARGE)),
            self.lone(told).left(LARGE, 10.1),
        )

    def test_two_processes_together_keep_the_bound(self) -> None:
        for tenant in TENANTS:
            whole, start = TOLERANCE.fleet_quota(tenant), TOLERANCE.startup_quota(tenant)
            self.assertLessEqual(whole + start, bound(tenant))

    def test_beyond_the_unmarked_allowance_the_store_must_know(self) -> None:
        limits = self.lone()
        wanted: list[int] = []
        limits.marks.on_write_requested = lambda: wanted.append(1)
        taken = 0
        while limits.try_acquire(LARGE, 20.0):
            taken += 1
            if len(wanted) == 1:
                asked_at = taken
        allowance = TOLERANCE.fleet_uncheckpointed_allowance(LARGE)
        self.assertAlmostEqual(allowance, taken, delta=1)
        self.assertAlmostEqual(allowance * CHECKPOINT_TRIGGER_FRACTION, asked_at, delta=2)
        taken += self.take_all(limits, 20.0)
        self.assertAlmostEqual(TOLERANCE.fleet_quota(LARGE), taken, delta=1)

    def test_a_part_that_has_grown_is_told_before_more_goes_unmarked(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members(["a", "b"], ["a"])
        limits = started(limit_sharing)
        before = limits.left(LARGE, 20.0)
        wanted: list[int] = []
        limits.marks.on_write_requested = lambda: wanted.append(1)
        limit_sharing.update_members(["a"], ["a"])
        self.assertAlmostEqual(before, limits.left(LARGE, 30.0))
        self.assertTrue(wanted)
        limits.record_checkpoint(limits.snapshot(30.0), 30.0)
        self.assertAlmostEqual(2 * before, limits.left(LARGE, 30.0))

    def test_a_row_names_those_that_used_much_and_few_of_many_tenants(self) -> None:
        tenants = [Tenant(f"t{n}", requests_per_s=10, burst=10) for n in range(1400)]
        limits = self.lone()
        limits.set_tenants(TenantIndex(tenants))
        for n, tenant in enumerate(tenants):
            for _ in range(20 if n % 2 else 2):
                self.assertTrue(limits.try_acquire(tenant, 20.0))
        snapshot = limits.snapshot(20.0)
        self.assertEqual(MAX_CHECKPOINT_TENANTS, len(snapshot.by_tenant))
        self.assertTrue(all(int(t.name[1:]) % 2 for t in tenants if t.number in snapshot.by_tenant))
        limits.record_checkpoint(snapshot, 20.0)
        allowance = TOLERANCE.fleet_uncheckpointed_allowance(tenants[0])
        self.assertAlmostEqual(allowance - 2, limits.left(tenants[0], 20.0))

    def test_a_row_of_many_tenants_fits(self) -> None:
        amounts = tuple((20.0 - n * 0.1, 1.234) for n in reversed(range(55)))
        encoded = _encoded({2**31 + n: amounts for n in range(MAX_CHECKPOINT_TENANTS)}, 20.0)
        self.assertLessEqual(len(orjson.dumps(encoded)), StoreSettings.row_bytes)


class AfterTheDeathOfAll(TestCase):
    """All daemons are killed at once while a tenant sends many times its usual.

    Callers within their limits must not pay for that: what they used before is known to the store
    by tenant and time, so they go on at their usual rate.
    """

    SIZE = 12
    USUAL = 0.6
    """What tenants usually ask for, as a share of their limit's rate."""

    def play(self, store_fault: str = "") -> tuple[LimitFleet, list[float]]:
        """Return the fleet, and by second the share let through of what was asked below limits."""
        usual = [Tenant(f"t{n}", requests_per_s=40, burst=40) for n in range(4)]
        hot = Tenant("hot", requests_per_s=40, burst=40)

        async def scenario() -> tuple[LimitFleet, list[float]]:
            fleet = LimitFleet(self.SIZE, [*usual, hot], 5)
            shares = []

            async def second() -> float:
                before = [(fleet.asked[t.name], len(fleet.admitted_s[t.name])) for t in usual]
                for _ in range(100):
                    for tenant in usual:
                        if fleet.rng.random() < tenant.requests_per_s * self.USUAL * 0.01:
                            fleet.ask(fleet.rng.choice(fleet.names), tenant.name)
                    fleet.ask(fleet.rng.choice(fleet.names), hot.name, 3)
                    await fleet.advance(0.01)
                await fleet.settle()
                asked = sum(fleet.asked[t.name] for t in usual) - sum(a for a, _ in before)
                got = sum(len(fleet.admitted_s[t.name]) for t in usual) - sum(g for _, g in before)
                return got / asked

            for _ in range(10):
                await second()
            fleet.store.fault = lambda call: store_fault
            await fleet.advance(0.5)
            for name in fleet.names:
                fleet.restart(name)
            for number in range(6):
                if number == 2:
                    fleet.store.fault = lambda call: ""
                shares.append(await second())
            return fleet, shares

        return run_paused(scenario())

    def test_callers_within_their_limits_go_on(self) -> None:
        fleet, shares = self.play()
        self.assertGreaterEqual(min(shares[1:]), 0.95, shares)
        self.assertGreaterEqual(shares[0], 0.6, shares)
        self.assertLessEqual(fleet.most_in_window("hot"), bound(fleet.tenants.by_name["hot"]))

    def test_while_the_store_is_down_the_bound_holds(self) -> None:
        fleet, shares = self.play("refuse")
        for name in fleet.admitted_s:
            self.assertLessEqual(fleet.most_in_window(name), bound(fleet.tenants.by_name[name]))
        self.assertGreaterEqual(shares[-1], 0.95, shares)


class Parts(TestCase):
    FLEET = ("a", "b", "c", "d", "e")

    def test_parts_are_even_whoever_is_silent(self) -> None:
        for running, peers in (("abcde", ["b", "c", "d", "e"]), ("ac", ["c"]), ("", [])):
            with self.subTest(running):
                limit_sharing = LimitSharing("a")
                limit_sharing.update_members(self.FLEET, running)
                self.assertEqual((1 / 5, peers), (limit_sharing.share, limit_sharing.peers))

    def test_what_daemons_used_that_left_counts_until_their_window_is_over(self) -> None:
        """Three of four stop one after the other; the last must not begin with the whole limit."""

        async def scenario() -> int:
            fleet = LimitFleet(4, [SMALL])
            stops = {300: "d1", 380: "d2", 460: "d3"}
            await fleet.advance(10.0)
            for tick in range(1000):
                if tick in stops:
                    fleet.leaving.add(stops[tick])
                    fleet.notice()
                for name in fleet.names:
                    if name not in fleet.leaving and tick % 5 == 0:
                        fleet.ask(name, SMALL.name)
                await fleet.advance(0.01)
            await fleet.settle()
            return fleet.most_in_window(SMALL.name)

        self.assertLessEqual(run_paused(scenario()), bound(SMALL))

    def test_the_part_of_a_daemon_that_left_is_shared_out_once_it_does_not_count(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members("abcd", "abcd", 100.0, (), 5.5)
        limit_sharing.update_members("abc", "abc", 101.0, "d", 5.5)
        self.assertEqual((1 / 4, True), (limit_sharing.share, limit_sharing.has_reserved_shares))
        limit_sharing.update_members("abc", "abc", 106.6, "d", 5.5)
        self.assertEqual((1 / 3, False), (limit_sharing.share, limit_sharing.has_reserved_shares))
        limit_sharing.update_members("abcd", "abcd", 107.0, (), 5.5)
        self.assertEqual(1 / 4, limit_sharing.share)

    def test_a_process_that_starts_counts_those_that_are_leaving(self) -> None:
        limit_sharing = LimitSharing("a")
        limit_sharing.update_members("ab", "ab", 100.0, "cd", 5.5)
        self.assertEqual(1 / 4, limit_sharing.share)

    def test_a_daemon_that_does_not_serve_has_no_part_but_may_borrow(self) -> None:
        limit_sharing = LimitSharing("x")
        limit_sharing.update_members(self.FLEET, self.FLEET)
        self.assertEqual((0.0, list(self.FLEET)), (limit_sharing.share, limit_sharing.peers))


class Sizes(TestCase):
    """Bytes between daemons do not grow with the number of tenants."""

    def test_a_question_and_a_grant_are_small(self) -> None:
        bodies = GossipBodies()
        largest = 2**62 - 1, 2**32 - 1, 1_000_000
        for message in (TokenAsk(*largest), TokenGrant(*largest)):
            self.assertLessEqual(len(bodies.encode(message)[1]), 24)

    def test_many_tenants_at_their_usual_rate_are_never_asked_for(self) -> None:
        async def scenario() -> tuple[int, int]:
            tenants = [Tenant(f"t{n}", requests_per_s=20, burst=20) for n in range(1400)]
            fleet = LimitFleet(12, tenants)
            await fleet.advance(10.0)
            for tenant in tenants:
                for name in fleet.names:
                    fleet.ask(name, tenant.name)
            await fleet.settle()
            return sum(map(len, fleet.admitted_s.values())), fleet.messages

        self.assertEqual((12 * 1400, 0), run_paused(scenario()))


class Waiting(TestCase):
    def test_a_caller_that_leaves_while_it_waits_leaves_nothing_behind(self) -> None:
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
            return gate._shortage_by_tenant["small"].waiting_requests, len(gate._future_by_number)

        self.assertEqual((0, 0), run_paused(scenario()))
