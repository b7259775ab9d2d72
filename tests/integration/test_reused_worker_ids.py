"""Streams at a worker that is back under its id with another version, unheard of by the daemon."""

from __future__ import annotations

import asyncio

from tests.integration.cuttable_site import CuttableProcess, CuttableSite
from tests.integration.test_out_of_step import HEALED_S, workers_of
from tests.integration.test_platform_node import ResolvingTestCase
from tests.integration.test_stream_versions import EVENT_GAP_S, EVENTS, Caller
from tests.stand_ins.harness import eventually, run
from tests.stand_ins.worker import StandInWorker, stream

STREAMS = 8
CUT_BEFORE_S = 0.3
JOIN_S = 0.3


def reached(*workers: StandInWorker) -> set[str]:
    """Return the ids of the requests that reached any of some workers."""
    return {request.request_id for worker in workers for request in worker.received}


class ReusedIds(ResolvingTestCase):
    async def begin_and_break(self, process: CuttableProcess) -> list[Caller]:
        """Begin streams at a process, and break them off after some events."""
        callers = [Caller(number) for number in range(STREAMS)]
        tasks = [asyncio.create_task(caller.begin(process)) for caller in callers]
        await eventually(lambda: all(caller.events > 2 for caller in callers), "all have begun")
        for caller in callers:
            assert caller.connection is not None
            caller.connection.close()
        for task in tasks:
            task.cancel()
        return callers

    def test_streams_begun_at_a_worker_that_came_back_unnoticed_are_not_joined(self) -> None:
        """Guards against an origin that names the version which a worker's id had before."""

        async def scenario() -> None:
            workers = workers_of("v1", 3)
            async with CuttableSite(4, *workers) as site:
                await self.check_resolve(site)
                cut = site.processes[-1]
                assert isinstance(cut, CuttableProcess)
                cut.cut()
                await asyncio.sleep(CUT_BEFORE_S)
                former = workers[-1]
                await former.stop()
                successor = StandInWorker(former.worker_id, stream(EVENTS, gap_s=EVENT_GAP_S))
                successor.port = former.port
                await successor.start()
                site.workers = (*workers[:-1], successor)
                await site.list_worker(successor, version="v2")
                await asyncio.sleep(JOIN_S)
                callers = await self.begin_and_break(cut)
                cut.heal()
                await asyncio.sleep(HEALED_S)
                await asyncio.gather(*(caller.go_on(site.processes[0]) for caller in callers))
                first, second = reached(*workers[:-1]), reached(successor)
                ids = {caller.first_id: {caller.first_id, caller.again_id} for caller in callers}
                self.assertNotEqual(set(), second)
                self.assertEqual(
                    [], [each for each in ids if ids[each] & first and ids[each] & second]
                )

        run(scenario())
