"""Requests that claim a trial before they are sent: what becomes of them and of their slots."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
from testtools import TestCase

from mountstand.hashing import content_name
from mountstand.quarantine.stored import PART_ROW_PREFIX, StoredSuspects
from mountstand.serving.configuration import RequestKind
from mountstand.serving.prompt import Prompt, PromptPart
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import Transaction
from tests.serving.test_forwarder import REPEATABLE, ForwarderHarness
from tests.stand_ins.harness import eventually, route, run
from tests.stand_ins.worker import whole

PROMPT = Prompt((PromptPart("part", 1), PromptPart("own", 1)))
(PART,) = PROMPT.shared_keys
LAST_CRASH_AGO_S = 3.0
STORE_NOW_MS = 1_000_000


class ClaimingHarness(ForwarderHarness):
    """A daemon with a store, for which the trial of a part is due."""

    async def __aenter__(self) -> ClaimingHarness:
        await super().__aenter__()
        self.prompt = PROMPT
        self.store = MemoryRowStore()
        quarantine, log = self.fleet.quarantine, self.fleet.log
        self.stored_parts = StoredSuspects(
            quarantine.parts.suspects, self.store, lambda: STORE_NOW_MS, log, PART_ROW_PREFIX
        )
        stored = StoredSuspects(quarantine.suspects, self.store, lambda: STORE_NOW_MS, log)
        quarantine.attach_store(stored, self.stored_parts)
        now_s = asyncio.get_running_loop().time()
        for worker in (1, 2, 3):
            at_s = now_s - LAST_CRASH_AGO_S
            quarantine.parts._sharing.note_worker_crash(worker, at_s, {PART: at_s}, now_s)
        return self

    @property
    def slots_taken(self) -> int:
        """The slots that requests hold at the worker."""
        return self.fleet.directory.workers["w0"].in_flight

    def claim_for_another(self) -> None:
        """Write another daemon's claim to the first trial."""
        fields = {"trial": 1, "at": STORE_NOW_MS, "by": "other", "token": "other"}
        key = self.stored_parts.claim_key(PART)
        self.store.apply(Transaction(puts=[(key, orjson.dumps(fields))]))


Play = Callable[[ClaimingHarness], Awaitable[Any]]


class ClaimedTrials(TestCase):
    def play(self, body: Play) -> None:
        async def scenario() -> None:
            tested_route = route(RequestKind.REPEATABLE, timeout_s=REPEATABLE.timeout_s)
            async with ClaimingHarness(tested_route, (whole(),)) as harness:
                await body(harness)
                await eventually(lambda: harness.slots_taken == 0, "the slot is free")

        run(scenario())

    def test_trial_is_claimed_and_run(self) -> None:
        """Guards against trials that never begin."""

        async def body(harness: ClaimingHarness) -> None:
            status, _, _ = await harness.send_request()
            self.assertEqual(200, status)
            self.assertIn(harness.stored_parts.claim_key(PART), harness.store.rows)
            (line,) = harness.fleet.log.lines("trial_claimed")
            self.assertEqual(1, line["trials"])
            self.assertIn(content_name(PART), line["suspect"])

        self.play(body)

    def test_request_is_rejected_while_another_daemon_tries(self) -> None:
        """Guards against a second trial, and against a slot that a refused request keeps."""

        async def body(harness: ClaimingHarness) -> None:
            harness.claim_for_another()
            status, _, _ = await harness.send_request()
            self.assertEqual((503, []), (status, harness.fleet.received()))
            self.assertRegex(harness.last_head.lower(), r"retry-after: 1\.[45]")

        self.play(body)

    def test_deadline_that_ends_a_claim_frees_the_slot(self) -> None:
        """Guards against a slot that is lost as a request ends while the store is asked."""

        async def body(harness: ClaimingHarness) -> None:
            harness.store.fault = lambda call: "hang"
            harness.deadline_s = 0.1
            status, _, _ = await harness.send_request()
            self.assertEqual((503, []), (status, harness.fleet.received()))
            harness.store.fault = lambda call: ""
            harness.deadline_s = None
            status, _, _ = await harness.send_request("r2")
            self.assertEqual(200, status)

        self.play(body)

    def test_stop_that_begins_meanwhile_rejects_the_request(self) -> None:
        """Guards against a request that is sent though it can't end before its daemon."""

        async def body(harness: ClaimingHarness) -> None:
            loop = asyncio.get_running_loop()

            def stop_then_answer(call: str) -> str:
                harness.forwarder.begin_stop(loop.time())
                return ""

            harness.store.fault = stop_then_answer
            status, _, _ = await harness.send_request()
            self.assertEqual((503, []), (status, harness.fleet.received()))
            self.assertEqual(1, len(harness.fleet.log.lines("trial_claimed")))

        self.play(body)

    def test_block_that_comes_meanwhile_rejects_the_request(self) -> None:
        """Guards against a trial beside a crash that was heard of while the store was asked."""

        async def body(harness: ClaimingHarness) -> None:
            loop = asyncio.get_running_loop()

            def crash_then_answer(call: str) -> str:
                sharing = harness.fleet.quarantine.parts._sharing
                sharing.note_worker_crash(9, loop.time(), {PART: loop.time()}, loop.time())
                return ""

            harness.store.fault = crash_then_answer
            status, _, _ = await harness.send_request()
            self.assertEqual((503, []), (status, harness.fleet.received()))

        self.play(body)
