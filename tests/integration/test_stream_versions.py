"""Streams that callers take up again, across real processes and software versions of workers."""

from __future__ import annotations

import asyncio
import signal

from mountstand.transport.http_client import ClientConnection, ReplyBroken, connect
from tests.integration.test_platform_node import Answer, Process, ResolvingTestCase, Site
from tests.stand_ins.harness import HOST, eventually, run
from tests.stand_ins.worker import StandInWorker, event, stream

EVENTS = 40
EVENT_GAP_S = 0.05
STREAMS = 6
FIRST_WORKERS = 2
"""Workers of the version that begins the streams; as few are enough to go on."""

OTHER_WORKERS = 4
ROWS_WRITTEN_S = 0.7
"""Time until the processes have stored which versions they see, and what began at which."""

LIFETIME_S = 10.5
"""A little more than a stream may last: twice the time-out of its route."""


class VersionedSite(Site):
    """A site whose workers list the software version that their name begins with."""

    async def list_worker(
        self, worker: StandInWorker, state: str = "ready", version: str = ""
    ) -> None:
        """Write a worker's row as the worker itself does."""
        await super().list_worker(worker, state, version or worker.worker_id.partition("-")[0])

    async def add_workers(self, workers: list[StandInWorker]) -> None:
        """Start and list further workers, and wait until every process knows them."""
        for worker in workers:
            await worker.start()
            await self.list_worker(worker)
        await eventually(
            lambda: all(knows(each, worker) for each in self.running() for worker in workers),
            "the workers are known",
        )

    def running(self) -> list[Process]:
        """Return the processes that have not ended."""
        return [each for each in self.processes if each.process and each.process.returncode is None]


def knows(process: Process, worker: StandInWorker) -> bool:
    """Return whether a process has logged that a worker is listed."""
    lines = process.events("worker_changed")
    return any(line["worker"] == worker.worker_id for line in lines)


class Caller:
    """A caller of one stream, which may take it up at another process."""

    def __init__(self, number: int) -> None:
        self.first_id = f"first-{number}"
        self.again_id = f"again-{number}"
        self.received = b""
        self.connection: ClientConnection | None = None

    @property
    def events(self) -> int:
        """How many whole events came."""
        return self.received.count(b"\n\n")

    async def begin(self, process: Process) -> None:
        """Ask for the stream and read it until it breaks off."""
        connection = await connect("127.0.0.1", process.ports["front"], 2.0)
        connection.send(
            "POST", "/stream/x", [("Host", HOST), ("Request-Id", self.first_id)], b"a prompt"
        )
        self.connection = connection
        try:
            await connection.read_head()
            while (piece := await connection.read_piece()) is not None:
                self.received += piece
        except ReplyBroken:
            return

    async def go_on(self, process: Process, *, names_first: bool = True) -> Answer:
        """Take the stream up at a process, after the events that came."""
        headers = {"Request-Id": self.again_id, "Last-Event-Id": str(self.events)}
        if names_first:
            headers["Resumes"] = self.first_id
        return await process.call("POST", "/stream/x", body=b"a prompt", headers=headers)


def versions_by_request(workers: tuple[StandInWorker, ...]) -> dict[str, set[str]]:
    """Return the versions of the workers that each request reached."""
    versions: dict[str, set[str]] = {}
    for worker in workers:
        for received in worker.received:
            version = worker.worker_id.partition("-")[0]
            versions.setdefault(received.request_id, set()).add(version)
    return versions


class TakenUp(ResolvingTestCase):
    def workers(self, version: str, count: int) -> list[StandInWorker]:
        answer = stream(EVENTS, gap_s=EVENT_GAP_S)
        return [StandInWorker(f"{version}-{n}", answer) for n in range(count)]

    async def begin_streams(self, site: VersionedSite, process: Process) -> list[Caller]:
        """Begin streams at a process and wait until each has some events.

        They begin once the processes know each other.
        """
        await self.check_resolve(site)
        callers = [Caller(number) for number in range(STREAMS)]
        self.reading = [asyncio.create_task(caller.begin(process)) for caller in callers]
        await eventually(lambda: all(caller.events > 2 for caller in callers), "all have begun")
        return callers

    async def kill(self, process: Process) -> None:
        process.signal(signal.SIGKILL)
        await process.ended()
        await asyncio.gather(*self.reading)

    def check_answers(
        self, site: VersionedSite, callers: list[Caller], answers: list[Answer]
    ) -> None:
        whole = b"".join(event(n) for n in range(1, EVENTS + 1))
        for caller, answer in zip(callers, answers, strict=True):
            self.assertEqual(200, answer.status, caller.again_id)
            prefix = b"".join(event(n) for n in range(1, caller.events + 1))
            self.assertEqual(whole, prefix + answer.body)
        versions = versions_by_request(site.workers)
        reached = {caller.again_id: versions.get(caller.again_id) for caller in callers}
        self.assertEqual({caller.again_id: {"v1"} for caller in callers}, reached)

    def test_streams_go_on_at_their_version_after_their_daemon_was_killed(self) -> None:
        """Guards against a stream that another version goes on with once its daemon is gone."""

        async def scenario() -> None:
            first_workers = self.workers("v1", FIRST_WORKERS)
            others = self.workers("v2", OTHER_WORKERS)
            async with VersionedSite(3, *first_workers) as site:
                callers = await self.begin_streams(site, site.processes[0])
                site.workers = (*first_workers, *others)
                await site.add_workers(others)
                await self.kill(site.processes[0])
                second, third = site.processes[1:]
                # A daemon without the store knows what it was told before.
                site.store.rows.fault = lambda call: "refuse"
                answers = await asyncio.gather(
                    *(
                        caller.go_on(second if number % 2 else third)
                        for number, caller in enumerate(callers)
                    )
                )
                self.check_answers(site, callers, answers)

        run(scenario())

    def test_streams_go_on_at_a_daemon_that_has_just_started(self) -> None:
        """Guards against a stream that a new daemon refuses, or sends to any version."""

        async def scenario() -> None:
            first_workers = self.workers("v1", FIRST_WORKERS)
            others = self.workers("v2", OTHER_WORKERS)
            async with VersionedSite(3, *first_workers) as site:
                callers = await self.begin_streams(site, site.processes[0])
                site.workers = (*first_workers, *others)
                await site.add_workers(others)
                await self.kill(site.processes[0])
                await site.kill_and_restart(site.processes[1])
                answers = [await caller.go_on(site.processes[1]) for caller in callers]
                self.check_answers(site, callers, answers)

        run(scenario())

    def test_unknown_stream_is_refused_beside_two_versions(self) -> None:
        """Guards against a stream of unknown origin that any version goes on with."""

        async def scenario() -> None:
            workers = [*self.workers("v1", 1), *self.workers("v2", 1)]
            async with VersionedSite(1, *workers) as site:
                caller = Caller(0)
                caller.received = event(1)
                for names_first in (True, False):
                    answer = await caller.go_on(site.processes[0], names_first=names_first)
                    self.assertEqual(503, answer.status)
                    self.assertIn("retry-after", answer.headers)
                self.assertEqual([], [*workers[0].received, *workers[1].received])

        run(scenario())

    def test_stream_without_a_worker_of_its_version_is_refused(self) -> None:
        """Guards against a stream that goes on at another version once its own is gone."""

        async def scenario() -> None:
            first_workers, others = self.workers("v1", 1), self.workers("v2", 1)
            async with VersionedSite(2, *first_workers) as site:
                callers = await self.begin_streams(site, site.processes[0])
                site.workers = (*first_workers, *others)
                await site.add_workers(others)
                await self.kill(site.processes[0])
                await first_workers[0].stop()
                answers = [await caller.go_on(site.processes[1]) for caller in callers]
                self.assertEqual({503}, {answer.status for answer in answers})
                self.assertEqual([], others[0].received)

        run(scenario())

    async def restart_all(self, site: VersionedSite) -> None:
        """Kill all processes at once and start them again."""
        await site.kill_and_restart(*site.processes)
        await asyncio.gather(*self.reading)

    def test_streams_go_on_at_their_version_after_all_daemons_were_killed(self) -> None:
        """Guards against streams that are refused, or joined from two versions, then."""

        async def scenario() -> None:
            first_workers = self.workers("v1", FIRST_WORKERS)
            others = self.workers("v2", OTHER_WORKERS)
            async with VersionedSite(3, *first_workers) as site:
                callers = await self.begin_streams(site, site.processes[0])
                site.workers = (*first_workers, *others)
                await site.add_workers(others)
                await asyncio.sleep(ROWS_WRITTEN_S)
                await self.restart_all(site)
                answers = [
                    await caller.go_on(site.processes[number % 3])
                    for number, caller in enumerate(callers)
                ]
                self.check_answers(site, callers, answers)

        run(scenario())

    def test_unnamed_streams_of_a_version_that_left_are_refused_after_all_daemons_were_killed(
        self,
    ) -> None:
        """Guards against text joined from two versions where new daemons see one alone."""

        async def scenario() -> None:
            first_workers, others = self.workers("v1", 2), self.workers("v2", 2)
            async with VersionedSite(3, *first_workers) as site:
                callers = await self.begin_streams(site, site.processes[0])
                site.workers = (*first_workers, *others)
                await site.add_workers(others)
                await asyncio.sleep(ROWS_WRITTEN_S)
                for worker in first_workers:
                    await site.store.remove("servers", worker.worker_id)
                    await worker.stop()
                await self.restart_all(site)
                for names_first in (True, False):
                    answers = [
                        await caller.go_on(site.processes[1], names_first=names_first)
                        for caller in callers
                    ]
                    self.assertEqual({503}, {answer.status for answer in answers}, names_first)
                self.assertEqual([], [*others[0].received, *others[1].received])

        run(scenario())

    def test_named_streams_go_on_after_all_daemons_were_killed_beside_one_version(self) -> None:
        """Guards against streams that are refused for long though there was one version only."""

        async def scenario() -> None:
            workers = self.workers("v1", 3)
            async with VersionedSite(2, *workers) as site:
                await self.check_resolve(site)
                await asyncio.sleep(LIFETIME_S)
                callers = await self.begin_streams(site, site.processes[0])
                await self.restart_all(site)
                answers = [await caller.go_on(site.processes[1]) for caller in callers]
                self.check_answers(site, callers, answers)

        run(scenario())
