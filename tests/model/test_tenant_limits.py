"""Limits of tenants under cuts, pauses, deaths, restarts of all, losses and lower limits."""

from __future__ import annotations

import asyncio
import random

import hypothesis.strategies as st
from hypothesis import given, settings
from testtools import TestCase

from mountstand.tenants.limits import TenantLimits
from mountstand.tenants.standing import FEW_S, GONE_S, Standing
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import TokenGrant
from tests.model.limit_fleet import NOTICED_S, TOLERANCE, LimitFleet, bound
from tests.stand_ins.paused_clock import run_paused

SMALL = Tenant("small", rate_per_s=5, burst=5)
LARGE = Tenant("large", rate_per_s=40, burst=40)
TENANTS = [SMALL, LARGE]
SIZE = 9

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
    st.tuples(st.just("pass"), st.sampled_from([1, 5, 30, 120])),
)


class Disturbed:
    """A fleet whose daemons are cut, paused and started again while tenants ask for too much."""

    def __init__(self, seed: int) -> None:
        self.fleet = LimitFleet(SIZE, TENANTS, seed)

    async def step(self, name: str, value: int) -> None:
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
        self, seed: int, steps: list[tuple[str, int]]
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
                await run.stream(GONE_S + FEW_S)
                await run.step("heal", 0)
                await run.stream(6.0)
            return run.fleet

        self.assert_within(run_paused(scenario()))

    def test_daemons_that_all_hear_nobody(self) -> None:
        async def scenario() -> LimitFleet:
            run = Disturbed(6)
            await run.fleet.advance(8.0)
            await run.step("cut apart", 0)
            await run.stream(GONE_S + FEW_S)
            return run.fleet

        self.assert_within(run_paused(scenario()))

    def test_a_lower_limit_holds_at_once(self) -> None:
        lower = Tenant("large", rate_per_s=5, burst=5)

        async def scenario() -> int:
            run = Disturbed(5)
            await run.fleet.advance(8.0)
            await run.stream(3.0)
            run.fleet.use_tenants([SMALL, lower])
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
            if rng.random() < tenant.rate_per_s * 0.9 * 0.01:
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
            fleet.ask("d0", "small", 40)
            await fleet.settle()
            return fleet.retry_after_s

        told_s = run_paused(scenario())
        self.assertGreater(len(told_s), 10)
        self.assertEqual(sorted(set(told_s)), told_s, "one after another")
        self.assertAlmostEqual(1 / SMALL.rate_per_s, told_s[0])

    def test_a_request_that_reached_no_worker_is_given_back(self) -> None:
        async def scenario() -> None:
            fleet = LimitFleet(1, [SMALL])
            gate = fleet._gate_by_name["d0"]
            await fleet.advance(10.0)
            for _ in range(100):
                self.assertTrue(gate.take(SMALL))
                gate.give_back(SMALL)

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
        standing = Standing(name)
        standing.use(fleet, fleet, 0.0)
        limits = TenantLimits(standing, TOLERANCE, 7, 0.0)
        limits.use_tenants(TenantIndex(TENANTS), 0.0)
        return limits

    def test_tokens_move_and_none_is_made(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        before = a.own_tokens(LARGE, 20.0) + b.own_tokens(LARGE, 20.0)
        question = a.ask(LARGE, 3.5, ["b"], 20.0)
        self.assertFalse(a.receive("b", b.lend(question, 20.0), 20.0))
        after = a.own_tokens(LARGE, 20.0) + b.own_tokens(LARGE, 20.0)
        self.assertAlmostEqual(before, after)

    def test_an_answer_counts_once_and_only_from_those_asked(self) -> None:
        a, b = self.limits("a"), self.limits("b")
        question = a.ask(LARGE, 1.0, ["b"], 20.0)
        grant = b.lend(question, 20.0)
        before = a.own_tokens(LARGE, 20.0)
        a.receive("stranger", grant, 20.0)
        self.assertEqual(before, a.own_tokens(LARGE, 20.0))
        a.receive("b", grant, 20.0)
        a.receive("b", grant, 20.0)
        self.assertAlmostEqual(before + 1.0, a.own_tokens(LARGE, 20.0))

    def test_answers_that_are_late_or_to_a_former_process_are_dropped(self) -> None:
        a = self.limits("a")
        before = a.own_tokens(LARGE, 20.0)
        question = a.ask(LARGE, 1.0, ["b"], 20.0)
        a.receive("b", TokenGrant(question.number + 5, LARGE.number, 1000), 20.0)
        a.receive("b", TokenGrant(question.number, LARGE.number, 1000), 25.0)
        self.assertEqual(before, a.own_tokens(LARGE, 25.0))

    def test_a_wrong_peer_cannot_fill_a_bucket_beyond_its_depth(self) -> None:
        a = self.limits("a")
        question = a.ask(SMALL, 1.0, ["b"], 20.0)
        a.receive("b", TokenGrant(question.number, SMALL.number, 10**9), 20.0)
        self.assertLessEqual(a.own_tokens(SMALL, 20.0), TOLERANCE.depth_for(SMALL))

    def test_lent_tokens_fade(self) -> None:
        a = self.limits("a")
        own = a.own_tokens(SMALL, 20.0)
        question = a.ask(SMALL, 5.0, ["b"], 20.0)
        a.receive("b", TokenGrant(question.number, SMALL.number, 5000), 20.0)
        self.assertAlmostEqual(own + 5 - 0.5 * SMALL.rate_per_s, a.own_tokens(SMALL, 20.5))
        self.assertAlmostEqual(own, a.own_tokens(SMALL, 30.0))


class Parts(TestCase):
    FLEET = ("a", "b", "c", "d", "e")

    def test_table(self) -> None:
        cases = (
            ("all run", "abcde", 0.0, 1 / 5),
            ("one is silent", "abcd", GONE_S - 0.1, 1 / 5),
            ("one is gone", "abcd", GONE_S, 1 / 4),
            ("most are silent", "ab", FEW_S - 0.1, 1 / 5),
            ("most stay silent", "ab", FEW_S, 0.0),
        )
        for name, running, seconds, expected in cases:
            with self.subTest(name):
                standing = Standing("a")
                standing.use(self.FLEET, running, 100.0)
                self.assertAlmostEqual(expected, standing.share(100.0 + seconds))

    def test_a_daemon_that_does_not_serve_has_no_part_but_may_borrow(self) -> None:
        standing = Standing("x")
        standing.use(self.FLEET, self.FLEET, 0.0)
        self.assertEqual((0.0, list(self.FLEET)), (standing.share(5.0), standing.peers))

    def test_word_from_most_gives_the_part_back(self) -> None:
        standing = Standing("a")
        standing.use(self.FLEET, "a", 0.0)
        standing.use(self.FLEET, "abc", FEW_S + 1)
        self.assertAlmostEqual(1 / 5, standing.share(FEW_S + 1))


class Waiting(TestCase):
    def test_a_caller_that_leaves_while_it_waits_leaves_nothing_behind(self) -> None:
        async def scenario() -> tuple[int, int]:
            fleet = LimitFleet(2, [SMALL])
            fleet.reaches = lambda sender, receiver: False
            gate = fleet._gate_by_name["d0"]
            while gate.take(SMALL):
                pass
            task = asyncio.create_task(gate.borrow(SMALL))
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait([task])
            return gate._shortage_by_tenant["small"].waiting, len(gate._future_by_number)

        self.assertEqual((0, 0), run_paused(scenario()))
