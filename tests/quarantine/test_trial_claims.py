"""Claims to trials: one trial for the whole fleet, whatever becomes of the reports."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import replace

from testtools import TestCase

from mountstand.quarantine.claimer import STORE_PAUSE_S
from mountstand.quarantine.suspect import NEVER_S, TRIAL_DELAY_S, TRIAL_JITTER_S, Trials
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.quarantine.trial_claims import (
    CLAIM_HOLD_S,
    CLAIM_RETENTION_S,
    CLAIM_ROW_PREFIX,
    CLAIM_TIMEOUT_S,
    CUT_OFF_DELAY_S,
    UNCLAIMED_DELAY_S,
    KnownClaims,
    TrialClaim,
    refusal_without_store,
)
from mountstand.quarantine.workload import Workload
from mountstand.serving.prompt import Prompt, PromptPart
from mountstand.serving.worker_protocol import Call
from tests.quarantine.test_service import CULPRIT, Daemon, Network, NetworkTestCase, worker

PROMPT = Prompt((PromptPart("bad", 1), PromptPart("own", 1)))
(PART,) = PROMPT.shared_keys
WITH_PART = replace(CULPRIT, prompt=PROMPT)
ITEM = replace(WITH_PART, workload=Workload.BATCH)
CULPRIT_ITEM = replace(CULPRIT, workload=Workload.BATCH)


class ClaimsTestCase(NetworkTestCase):
    async def let_workers_crash(self, network: Network) -> None:
        """Let each daemon observe the crashes of three workers, so that a trial is due at all."""
        await asyncio.sleep(1.0)
        for daemon in network.by_name.values():
            for number in range(3):
                run = replace(WITH_PART, body=b"%d" % number)
                daemon.observe_crash(number, run)
        await asyncio.sleep(1.5)

    def isolate(self, network: Network) -> None:
        """Drop all datagrams from now on, and refuse all feeds and reads but those of claims."""
        network.drops = lambda sender, receiver: True
        network.store.fault = lambda call: "refuse" if call == "changes" else ""

    async def begins_trial(self, daemon: Daemon, call: Call = WITH_PART) -> bool:
        """Let a daemon send a request as it comes; return whether it reaches a worker."""
        quarantine = daemon.quarantine
        if quarantine.blocked_for_s(call):
            return False
        while quarantine.requires_claim(call):
            if await quarantine.claim_trials(call):
                return False
            if quarantine.blocked_for_s(call):
                quarantine.release_claims(call)
                return False
        with quarantine.running(call, worker(1)):
            return True

    async def trials_at(self, network: Network, *names: str) -> list[str]:
        """Send the same request to some daemons at one moment; return which of them ran it."""
        daemons = [network.by_name[name] for name in names]
        calls = [replace(WITH_PART, request_id=name) for name in names]
        ran = await asyncio.gather(*map(self.begins_trial, daemons, calls))
        return [name for name, each in zip(names, ran, strict=True) if each]

    async def trials(self, network: Network, call: Call = WITH_PART) -> list[str]:
        """Send the same request to all daemons at one moment; return which of them ran it."""
        daemons = list(network.by_name.values())
        calls = [replace(call, request_id=daemon.name) for daemon in daemons]
        ran = await asyncio.gather(*map(self.begins_trial, daemons, calls))
        return [daemon.name for daemon, each in zip(daemons, ran, strict=True) if each]


class OneTrial(ClaimsTestCase):
    def test_daemons_that_ask_at_one_moment_begin_one_trial(self) -> None:
        """Guards against a trial at each daemon whose reports are lost or late."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            self.isolate(network)
            self.assertEqual(1, len(await self.trials(network)))
            await asyncio.sleep(1.0)
            self.assertEqual([], await self.trials(network))

        self.run_on_network(work)

    def test_items_begin_one_trial(self) -> None:
        """Guards against items that each owner of a job tries."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            self.isolate(network)
            self.assertEqual(1, len(await self.trials(network, ITEM)))

        self.run_on_network(work)

    def test_second_trial_is_claimed_over_the_first(self) -> None:
        """Guards against a claim that stands in the way of all later trials."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            self.isolate(network)
            self.assertEqual(1, len(await self.trials(network)))
            await asyncio.sleep(8.0 + TRIAL_JITTER_S)
            self.assertEqual(1, len(await self.trials(network)))
            await asyncio.sleep(CLAIM_HOLD_S)
            self.assertEqual([], await self.trials(network))
            counts = {
                daemon.quarantine.parts.suspects.by_content[PART].trials.count
                for daemon in network.by_name.values()
            }
            self.assertEqual({2}, counts)

        self.run_on_network(work)

    def test_requests_of_one_daemon_begin_one_trial(self) -> None:
        """Guards against a second request that comes while the first waits for the store."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            daemon = network.by_name["a"]
            calls = [replace(WITH_PART, request_id=f"r{n}") for n in range(3)]
            ran = await asyncio.gather(*(self.begins_trial(daemon, call) for call in calls))
            self.assertEqual(1, sum(ran))

        self.run_on_network(work)

    def test_refusal_tells_when_the_next_trial_comes(self) -> None:
        """Guards against callers that come again at once beside a trial of another daemon."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            self.isolate(network)
            self.assertTrue(await self.begins_trial(network.by_name["a"]))
            other = network.by_name["b"]
            refused_for_s = await other.quarantine.claim_trials(WITH_PART)
            self.assertTrue(CLAIM_HOLD_S - 0.1 < refused_for_s <= CLAIM_HOLD_S, refused_for_s)
            await asyncio.sleep(refused_for_s)
            refused_for_s = await other.quarantine.claim_trials(WITH_PART)
            self.assertGreater(refused_for_s, 4 * TRIAL_DELAY_S - CLAIM_HOLD_S - 1.0)
            causes = [line["cause"] for line in other.log.lines("trial_refused")]
            self.assertEqual(["claimed by another daemon", "tried by another daemon"], causes)

        self.run_on_network(work)

    def test_trial_that_no_worker_ran_begins_again_without_a_claim(self) -> None:
        """Guards against a sound part that waits since its trial found a worker gone."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            quarantine = network.by_name["a"].quarantine
            self.assertEqual(0.0, await quarantine.claim_trials(WITH_PART))
            with quarantine.running(WITH_PART, worker(1)) as trials:
                pass
            trials.note_not_run()
            other = replace(WITH_PART, request_id="other")
            self.assertEqual(0.0, quarantine.blocked_for_s(other))
            self.assertFalse(quarantine.requires_claim(other))

        self.run_on_network(work)

    def test_claim_that_is_not_used_is_left_to_the_next_request(self) -> None:
        """Guards against seconds without a trial since a claiming request was not sent."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            quarantine = network.by_name["a"].quarantine
            self.assertEqual(0.0, await quarantine.claim_trials(WITH_PART))
            quarantine.release_claims(WITH_PART)
            await asyncio.sleep(0.5)
            next_call = replace(WITH_PART, request_id="next")
            begun = await self.begins_trial(network.by_name["a"], next_call)
            self.assertTrue(begun)

        self.run_on_network(work)

    def test_claim_whose_answer_is_lost_is_no_trial_of_another(self) -> None:
        """Guards against a daemon that holds back as its own claim was stored unheard."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            self.isolate(network)
            network.store.fault = lambda call: {"changes": "refuse", "commit": "lose"}.get(call, "")
            self.assertFalse(await self.begins_trial(network.by_name["a"]))
            self.isolate(network)
            await asyncio.sleep(STORE_PAUSE_S)
            self.assertEqual(["a"], await self.trials(network))

        self.run_on_network(work)

    def test_claim_under_which_no_trial_began_holds_others_up_for_a_moment(self) -> None:
        """Guards against a sound part that nobody tries since claims of others are never used."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            quarantine = network.by_name["a"].quarantine
            self.assertEqual(0.0, await quarantine.claim_trials(WITH_PART))
            self.assertEqual([], await self.trials_at(network, "b", "c"))
            await asyncio.sleep(CLAIM_HOLD_S)
            self.assertEqual(1, len(await self.trials_at(network, "b", "c")))

        self.run_on_network(work)

    def test_part_is_tried_though_no_claim_is_answered(self) -> None:
        """Guards against claims that are stored unheard, count as trials, and use them up."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            network.store.fault = lambda call: "lose" if call == "commit" else ""
            ran: list[str] = []
            for _ in range(10):
                ran += await self.trials(network)
                if ran:
                    break
                await asyncio.sleep(0.5)
            self.assertEqual(1, len(ran))
            for daemon in network.by_name.values():
                trials = daemon.quarantine.parts.suspects.by_content[PART].trials
                self.assertLessEqual(trials.count, 1, daemon.name)

        self.run_on_network(work)

    def test_claim_is_removed_with_its_suspect(self) -> None:
        """Guards against rows of claims that nobody removes."""

        async def work(network: Network) -> None:
            for number in range(3):
                network.by_name["a"].observe_crash(number)
            await asyncio.sleep(1.0)
            self.assertTrue(await self.begins_trial(network.by_name["a"], CULPRIT_ITEM))
            await asyncio.sleep(0.5)
            name = f"{CULPRIT.content_key:016x}"
            self.assertIn(CLAIM_ROW_PREFIX + name, network.store_rows())
            network.by_name["a"].quarantine.note_served(CULPRIT)
            await asyncio.sleep(1.0)
            self.assertNotIn(CLAIM_ROW_PREFIX + name, network.store_rows())

        self.run_on_network(work)


class WithoutStore(ClaimsTestCase):
    def test_one_daemon_tries_while_the_store_is_away(self) -> None:
        """Guards against parts that nobody tries, or all, while the store gives no answer."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            network.drops = lambda sender, receiver: True
            network.store.fault = lambda call: "hang"
            self.assertEqual(1, len(await self.trials(network)))
            self.assertEqual([], await self.trials(network))

        self.run_on_network(work)

    def test_request_waits_a_moment_for_the_store(self) -> None:
        """Guards against callers that wait for a store that is silent."""

        async def work(network: Network) -> None:
            await self.let_workers_crash(network)
            network.store.fault = lambda call: "hang"
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            await self.trials(network)
            self.assertLess(loop.time() - began_s, CLAIM_TIMEOUT_S + 0.1)
            began_s = loop.time()
            await self.trials(network)
            self.assertEqual(began_s, loop.time())

        self.run_on_network(work)


class Decision(TestCase):
    def refused(
        self,
        answering: Collection[str],
        listed: Collection[str],
        overdue_s: float,
        waited_s: float = 0.0,
    ) -> str:
        refusal = refusal_without_store("part", "a", answering, listed, overdue_s, waited_s)
        return refusal.cause if refusal else ""

    def test_daemon_that_hears_nobody_waits_for_long(self) -> None:
        """Guards against a trial at each daemon that is cut off, and none at the last one alive."""
        waited_s = CUT_OFF_DELAY_S - 0.01
        self.assertEqual("cut off", self.refused((), ("b", "c"), 100.0, waited_s))
        self.assertEqual("", self.refused((), ("b", "c"), 100.0, CUT_OFF_DELAY_S))
        self.assertEqual("", self.refused((), (), 100.0))

    def test_those_that_answer_each_other_take_turns(self) -> None:
        """Guards against several daemons, or none, that try without the store."""
        names = {"a", "b", "c"}
        for waited_s, allowed in ((0.0, 1), (0.99, 1), (1.0, 2), (2.0, 3)):
            refusals = [
                refusal_without_store("part", name, names - {name}, names - {name}, 2.0, waited_s)
                for name in names
            ]
            self.assertEqual(allowed, refusals.count(None), waited_s)

    def test_trial_without_store_comes_later(self) -> None:
        """Guards against a daemon cut from the store that tries before those that reach it."""
        self.assertEqual("store away", self.refused((), (), UNCLAIMED_DELAY_S / 2))
        self.assertEqual("", self.refused((), (), UNCLAIMED_DELAY_S))


class Claims(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.suspects = CrashSuspects("a")
        self.claims = KnownClaims(self.suspects, "")

    def suspect(self) -> None:
        self.suspects.merge(1, {}, NEVER_S, Trials(1, 10.0))

    def held_for_s(self, now_s: float) -> float:
        return self.claims.held_for_s(1, now_s)

    def test_claim_of_another_holds_for_a_moment_and_is_no_trial(self) -> None:
        """Guards against a claim that nobody notices, and one that counts though none began."""
        self.suspect()
        self.claims.note_row(1, 5, TrialClaim(Trials(2, 20.0), "other"))
        self.assertEqual(CLAIM_HOLD_S - 1.0, self.held_for_s(21.0))
        self.assertEqual(0.0, self.held_for_s(20.0 + CLAIM_HOLD_S))
        self.assertTrue(self.claims.is_claimed_by_other(1))
        self.assertEqual(Trials(1, 10.0), self.suspects.by_content[1].trials)
        self.assertEqual(5, self.claims.version(1))

    def test_claim_that_comes_before_its_suspect_holds_later(self) -> None:
        """Guards against a claim that is forgotten as its crashes are heard of after it."""
        self.claims.note_row(1, 5, TrialClaim(Trials(2, 20.0), "other"))
        self.assertEqual(0.0, self.held_for_s(20.0))
        self.suspect()
        self.assertEqual(CLAIM_HOLD_S, self.held_for_s(20.0))

    def test_claim_does_not_hold_once_its_trial_is_known(self) -> None:
        """Guards against the claim of a former trial that holds the next one up."""
        self.suspect()
        self.claims.note_row(1, 5, TrialClaim(Trials(1, 20.0), "other"))
        self.assertEqual(0.0, self.held_for_s(20.0))

    def test_own_claim_does_not_hold_before_it_is_used(self) -> None:
        """Guards against a daemon that is held back by a claim of its own."""
        self.suspect()
        self.claims.note_claiming(1, "own")
        self.claims.note_row(1, 5, TrialClaim(Trials(2, 20.0), "own"))
        self.assertEqual(0.0, self.held_for_s(20.0))
        self.claims.note_begun(1)
        self.assertEqual(CLAIM_HOLD_S, self.held_for_s(20.0))

    def test_older_row_is_passed_over(self) -> None:
        """Guards against a late feed that brings a former claim back."""
        self.suspect()
        self.claims.note_row(1, 5, TrialClaim(Trials(2, 20.0), "other"))
        self.claims.note_row(1, 4, TrialClaim(Trials(3, 30.0), "late"))
        self.assertEqual((5, CLAIM_HOLD_S), (self.claims.version(1), self.held_for_s(20.0)))

    def test_old_claim_of_an_unknown_suspect_is_stale(self) -> None:
        """Guards against rows that stay for good, and against those that others still need."""
        self.claims.note_row(1, 5, TrialClaim(Trials(2, 20.0), "other"))
        self.assertEqual([], self.claims.stale(20.0 + CLAIM_RETENTION_S))
        self.assertEqual([1], self.claims.stale(21.0 + CLAIM_RETENTION_S))
