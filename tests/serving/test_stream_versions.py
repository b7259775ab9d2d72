"""Streams go on at workers of the software version that began them, within one answer."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from testtools import TestCase

from tests.serving.test_forwarder import RESUMABLE, ForwarderHarness
from tests.stand_ins.harness import run
from tests.stand_ins.worker import event, not_run, stream


def set_software(harness: ForwarderHarness, **version_by_worker: str) -> None:
    """Let the workers list these software versions."""
    now_s = asyncio.get_running_loop().time()
    for worker_id, version in version_by_worker.items():
        record = harness.fleet.directory.workers[worker_id].record
        harness.fleet.directory.put(replace(record, software_version=version), now_s)


class WithinAnAnswer(TestCase):
    def test_broken_stream_goes_on_at_the_version_that_began_it(self) -> None:
        """Guards against events of two software versions in one answer."""

        async def scenario() -> None:
            broken, whole = stream(6, cut_after=3), stream(6)
            async with ForwarderHarness(RESUMABLE, (broken,), (whole,), (whole,)) as harness:
                set_software(harness, w0="v1", w1="v2", w2="v1")
                workers = harness.fleet.directory.workers
                workers["w1"].in_flight = 1
                workers["w2"].in_flight = 2
                status, body, complete = await harness.send_request()
                self.assertEqual((200, True), (status, complete))
                self.assertEqual(b"".join(event(n) for n in range(1, 7)), body)
                self.assertEqual(["w0", "w2"], harness.fleet.received())

        run(scenario())

    def test_broken_stream_ends_where_no_worker_of_its_version_is_left(self) -> None:
        """Guards against events of two software versions where only others are left."""

        async def scenario() -> None:
            broken, whole = stream(6, cut_after=3), stream(6)
            async with ForwarderHarness(RESUMABLE, (broken,), (whole,), (whole,)) as harness:
                set_software(harness, w0="v1", w1="v2", w2="v2")
                workers = harness.fleet.directory.workers
                workers["w1"].in_flight = workers["w2"].in_flight = 1
                _, body, complete = await harness.send_request()
                self.assertFalse(complete)
                self.assertEqual(b"".join(event(n) for n in range(1, 4)), body)
                self.assertEqual(["w0"], harness.fleet.received())

        run(scenario())

    def test_stream_without_events_may_begin_again_at_any_version(self) -> None:
        """Guards against a refusal of streams that no event binds to a version."""

        async def scenario() -> None:
            broken, whole = stream(6, cut_after=0), stream(6)
            async with ForwarderHarness(RESUMABLE, (broken,), (whole,)) as harness:
                set_software(harness, w0="v1", w1="v2")
                harness.fleet.directory.workers["w1"].in_flight = 1
                _, body, complete = await harness.send_request()
                self.assertTrue(complete)
                self.assertEqual(b"".join(event(n) for n in range(1, 7)), body)
                self.assertEqual(["w0", "w1"], harness.fleet.received())

        run(scenario())

    def test_full_worker_of_the_version_is_asked_again(self) -> None:
        """Guards against streams that end because the other worker of their version was full."""

        async def scenario() -> None:
            broken, whole = stream(6, cut_after=3), stream(6)
            refusals = (not_run(),) * 5
            async with ForwarderHarness(
                RESUMABLE, (broken,), (*refusals, whole), (whole,)
            ) as harness:
                set_software(harness, w0="v1", w1="v1", w2="v2")
                workers = harness.fleet.directory.workers
                workers["w1"].in_flight = workers["w2"].in_flight = 1
                _, _, complete = await harness.send_request()
                self.assertTrue(complete)
                self.assertEqual(["w0", *["w1"] * 6], harness.fleet.received())

        run(scenario())
