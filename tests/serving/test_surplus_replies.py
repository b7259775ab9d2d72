"""A worker sends an answer twice, the second time in the place of its connection's next answer."""

from __future__ import annotations

import asyncio
from unittest import mock

from testtools import TestCase

from mountstand.serving import connections
from tests.jobs.test_jobs import JobTestCase, submission
from tests.serving.test_forwarder import AT_MOST_ONCE, ForwarderHarness
from tests.stand_ins.harness import run
from tests.stand_ins.worker import Answer, Received, not_run, stream, whole

SERVER_ERROR = whole(b"", "500 Internal Server Error")


def repeated(*script: Answer) -> Answer:
    """Answer as the script says, each time after a copy of the connection's latest answer.

    Each copy has the id of the request to which the answer belonged.
    """
    answers = list(script)
    latest: dict[asyncio.StreamWriter, tuple[Answer, Received]] = {}

    async def answer(request: Received, writer: asyncio.StreamWriter) -> None:
        if writer in latest:
            copied, of_request = latest[writer]
            await copied(of_request, writer)
            await writer.drain()
            await asyncio.sleep(0.02)
        latest[writer] = (answers.pop(0), request)
        await latest[writer][0](request, writer)

    return answer


class SurplusItemReplies(JobTestCase):
    """The item's route gives it up after three failures."""

    def test_copy_of_a_failure_is_no_further_failure_of_the_item(self) -> None:
        """Guards against an item that is given up before it has failed as often as it may."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertEqual(2, len(self.fleet.workers[0].received))

        self.run_scenario(work, (repeated(SERVER_ERROR, stream(4), SERVER_ERROR),))

    def test_copy_of_a_refusal_is_no_refusal_of_the_next_attempt(self) -> None:
        """Guards against an item that counts as not run while a worker runs it."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertEqual(2, len(self.fleet.workers[0].received))

        self.run_scenario(work, (repeated(not_run(), stream(4)),))


class SurplusOnlineReplies(TestCase):
    def test_failure_is_not_taken_for_the_answer_to_the_same_request(self) -> None:
        """Guards against a caller who repeats its request and gets the former answer once more."""

        async def scenario() -> None:
            script = repeated(SERVER_ERROR, whole(b"mended"))
            async with ForwarderHarness(AT_MOST_ONCE, (script,)) as harness:
                self.assertEqual(500, (await harness.send_request("again"))[0])
                status, body, _ = await harness.send_request("again")
                self.assertEqual((200, b"mended"), (status, body))

        run(scenario())

    def test_connections_are_used_for_other_requests(self) -> None:
        """Guards against a new connection for each request after a failure."""

        async def scenario() -> None:
            script = [SERVER_ERROR, whole()]
            async with ForwarderHarness(AT_MOST_ONCE, tuple(script)) as harness:
                self.assertEqual(500, (await harness.send_request("first"))[0])
                for number in range(5):
                    self.assertEqual(200, (await harness.send_request(f"r{number}"))[0])
                self.assertEqual(1, harness.workers[0].connections)

        run(scenario())

    def test_memory_of_a_connection_is_bounded(self) -> None:
        """Guards against ids that pile up on a connection which answers failures for long."""

        async def scenario() -> None:
            async with ForwarderHarness(AT_MOST_ONCE, (SERVER_ERROR,)) as harness:
                with mock.patch.object(connections, "MAX_UNFINISHED_IDS", 2):
                    for number in range(6):
                        await harness.send_request(f"r{number}")
                self.assertEqual(2, harness.workers[0].connections)

        run(scenario())
