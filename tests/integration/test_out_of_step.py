"""Streams that callers take up at a daemon that missed a new software version of the workers."""

from __future__ import annotations

import asyncio
import signal

from tests.integration.cuttable_site import CuttableProcess, CuttableSite
from tests.integration.test_platform_node import Answer, Process, ResolvingTestCase
from tests.integration.test_stream_versions import (
    EVENT_GAP_S,
    EVENTS,
    LIFETIME_S,
    Caller,
    VersionedSite,
    versions_by_request,
)
from tests.stand_ins.harness import eventually, run
from tests.stand_ins.worker import StandInWorker, stream

STREAMS = 12
TRIES = 3
TRY_GAP_S = 0.15
CUT_BEFORE_S = 0.3
"""How long the daemon has been cut off as the new version joins."""

JOIN_S = 0.3
"""Time in which the other daemons list the workers that joined."""

HEALED_S = 3.0
"""Time within which a daemon that is connected again knows what it missed."""


def workers_of(version: str, count: int) -> list[StandInWorker]:
    """Return workers that are to list a version."""
    answer = stream(EVENTS, gap_s=EVENT_GAP_S)
    return [StandInWorker(f"{version}-{n}", answer) for n in range(count)]


class OutOfStep(ResolvingTestCase):
    async def begin_and_break(self, site: CuttableSite) -> list[Caller]:
        """Begin streams at all processes but the last one, and break them off after some events."""
        callers = [Caller(number) for number in range(STREAMS)]
        others = site.processes[:-1]
        tasks = [
            asyncio.create_task(caller.begin(others[number % len(others)]))
            for number, caller in enumerate(callers)
        ]
        await eventually(lambda: all(caller.events > 2 for caller in callers), "all have begun")
        for caller in callers:
            assert caller.connection is not None
            caller.connection.close()
        for task in tasks:
            task.cancel()
        return callers

    async def take_up(self, caller: Caller, process: Process, *, names_first: bool) -> Answer:
        """Take a stream up again, some times if it is refused."""
        for _ in range(TRIES):
            answer = await caller.go_on(process, names_first=names_first)
            if answer.status == 200:
                break
            await asyncio.sleep(TRY_GAP_S)
        return answer

    def mixed(self, site: VersionedSite, callers: list[Caller]) -> list[str]:
        """Return the streams that reached workers of several versions."""
        versions = versions_by_request(site.workers)
        return [
            caller.first_id
            for caller in callers
            if len(versions.get(caller.first_id, set()) | versions.get(caller.again_id, set())) > 1
        ]

    def check_cut(self, *, names_first: bool, datagrams: str = "all") -> None:
        async def scenario() -> None:
            first_workers = workers_of("v1", 3)
            others = workers_of("v2", 4)
            async with CuttableSite(4, *first_workers) as site:
                cut = await self.know_lifetime(site)
                cut.cut(datagrams)
                await asyncio.sleep(CUT_BEFORE_S)
                callers = await self.join_and_break(site, others)
                await asyncio.gather(
                    *(self.take_up(caller, cut, names_first=names_first) for caller in callers)
                )
                self.assertNotEqual({}, versions_by_request(others))
                self.assertEqual([], self.mixed(site, callers))
                if names_first:
                    cut.heal()
                    await self.check_healed(site, callers, cut)

        run(scenario())

    async def know_lifetime(self, site: CuttableSite) -> CuttableProcess:
        """Return the last process once it knows the workers of a stream's lifetime."""
        await self.check_resolve(site)
        await asyncio.sleep(LIFETIME_S)
        last = site.processes[-1]
        assert isinstance(last, CuttableProcess)
        return last

    async def join_and_break(
        self, site: CuttableSite, workers: list[StandInWorker]
    ) -> list[Caller]:
        """List further workers, then begin streams and break them off."""
        site.workers = (*site.workers, *workers)
        for worker in workers:
            await worker.start()
            await site.list_worker(worker)
        await asyncio.sleep(JOIN_S)
        return await self.begin_and_break(site)

    async def check_healed(
        self, site: CuttableSite, callers: list[Caller], process: Process
    ) -> None:
        """Check that each stream goes on at its version once the daemon is connected again."""
        await asyncio.sleep(HEALED_S)
        answers = await asyncio.gather(*(caller.go_on(process) for caller in callers))
        self.assertEqual([200] * len(callers), [answer.status for answer in answers])
        self.assertEqual([], self.mixed(site, callers))

    def test_named_streams_are_not_joined_at_a_daemon_that_missed_a_new_version(self) -> None:
        """Guards against a stream of a new version that goes on at the only one known there."""
        self.check_cut(names_first=True)

    def test_unnamed_streams_are_not_joined_at_a_daemon_that_missed_a_new_version(self) -> None:
        """Guards against the same for callers that name no stream."""
        self.check_cut(names_first=False)

    def test_streams_are_not_joined_where_only_a_new_call_to_the_store_tells_the_version(
        self,
    ) -> None:
        """Guards against an old list that decides while feeds are silent and no peer is left."""

        async def scenario() -> None:
            others = workers_of("v2", 4)
            async with CuttableSite(3, *workers_of("v1", 3)) as site:
                last = await self.know_lifetime(site)
                last.cut_file.write_text("all")
                last.store.mute_open()
                callers = await self.join_and_break(site, others)
                self.assertNotEqual({}, versions_by_request(tuple(others)))
                for process in site.processes[:-1]:
                    process.signal(signal.SIGKILL)
                await asyncio.gather(
                    *(
                        self.take_up(caller, last, names_first=number % 2 == 0)
                        for number, caller in enumerate(callers)
                    )
                )
                self.assertEqual([], self.mixed(site, callers))

        run(scenario())
