"""Batch jobs under faults: accepted once, listed once, whole, resumed, ended, handed on."""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Callable
from dataclasses import replace

import orjson
from testtools import TestCase

from mountstand.jobs.acceptance import SubmitOutcome
from mountstand.jobs.item_execution import RunnerContext
from mountstand.jobs.model import ItemState, JobSubmission
from mountstand.jobs.owners import Owners
from mountstand.jobs.repository import HEADS_TABLE, JobRepository, partition_names
from mountstand.jobs.service import JobService
from mountstand.platform.ingress import parse_items
from mountstand.serving.configuration import Configuration, RequestKind
from mountstand.serving.slot_demand import WaitingCounts
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, StoreError, StoreRefused, Transaction
from mountstand.store.watch import TableWatcher
from tests.stand_ins.harness import HOST, Fleet, configuration, eventually, route, run
from tests.stand_ins.worker import Answer, StandInWorker, event, reset, silence, stream, whole

BATCH = route(RequestKind.BATCH, max_attempts=3)
TEXT = "\n".join(f"piece {number}" for number in range(1, 5))
INTERNAL_SERVER_ERROR = whole(b"", "500 Internal Server Error")


def submission(job_id: str = "job1", items: int = 3, tokens: int = 0) -> JobSubmission:
    """Return a job of small items, each of ``tokens``."""
    entries = [
        {
            "id": f"{job_id}-i{n}",
            "path": f"/batch/{n}",
            "body": b64encode(b"b%d" % n).decode(),
            "tokens": tokens,
        }
        for n in range(items)
    ]
    document = orjson.dumps({"items": entries})
    return JobSubmission(job_id, HOST, "/batch/x", parse_items(document), document)


class Daemon:
    """The batch part of one daemon before a shared store."""

    def __init__(self, name: str, store: MemoryRowStore, fleet: Fleet, live: set[str]) -> None:
        self.name = name
        self.store = store
        self.fleet = fleet
        self.live = live
        self.route = BATCH
        self.configuration: Configuration | None = configuration(BATCH)
        self.now_ms: int | None = 1000
        self.watcher: TableWatcher
        context = RunnerContext(
            repository=JobRepository(store, store, 4096),
            directory=fleet.directory,
            connections=fleet.connections,
            protocol=fleet.protocol,
            service_chooser=fleet.service_chooser,
            batch_scheduler=fleet.batch_scheduler,
            quarantine=fleet.quarantine,
            metrics=fleet.metrics,
            log=fleet.log,
            configuration=lambda: self.configuration,
            store_age_s=lambda: self.watcher.age_s(asyncio.get_running_loop().time()),
            store_now_ms=self.store_now_ms,
            max_store_age_s=lambda: 3.0,
        )
        owners = Owners(name, lambda: {other: other for other in live}, name)
        self.jobs = JobService(context, owners, parse_items, lambda head: 1000.0)
        self.watcher = TableWatcher(
            store, HEADS_TABLE, partition_names(), self.jobs.apply, fleet.log
        )
        self.tasks: list[asyncio.Task[None]] = []

    def store_now_ms(self) -> int:
        """Return the store's clock, if this daemon knows it."""
        if self.now_ms is None:
            raise StoreRefused("no clock")
        return self.now_ms

    def start(self) -> Daemon:
        """Follow the store and look for jobs."""
        self.live.add(self.name)
        self.tasks = [
            asyncio.create_task(self.watcher.run()),
            asyncio.create_task(self.jobs.run()),
        ]
        return self

    def kill(self) -> None:
        """End without a word."""
        self.live.discard(self.name)
        for task in [*self.tasks, *self.jobs._tasks]:
            task.cancel()

    async def submit(self, job: JobSubmission, time_s: float = 2.0) -> SubmitOutcome:
        """Hand a job in."""
        deadline_s = asyncio.get_running_loop().time() + time_s
        return await self.jobs.submit(job, self.route, deadline_s)

    async def results(self, job_id: str = "job1") -> list[tuple[str, str, str]]:
        """Read every listed result: id, state and text by position."""
        found: list[tuple[str, str, str]] = []
        while True:
            page = await self.jobs.read(job_id, len(found), 0.0, 1_000_000)
            if page is None or not page.results:
                return found
            found += [(r.item_id, r.state.value, r.text) for r in page.results]

    async def wait_for_results(
        self, count: int, job_id: str = "job1"
    ) -> list[tuple[str, str, str]]:
        """Wait until ``count`` results are listed."""
        for _ in range(1000):
            try:
                found = await self.results(job_id)
            except StoreError:
                found = []
            if len(found) >= count:
                return found
            await asyncio.sleep(0.02)
        raise AssertionError(f"{len(found)} of {count} results")


class Jobs(TestCase):
    def run_scenario(self, work, *scripts: tuple[Answer, ...], slots: int = 8) -> None:  # type: ignore[no-untyped-def]
        """Run ``work`` with a store, a fleet of stand-in workers, and grants every 20 ms."""

        async def scenario() -> None:
            workers = [StandInWorker(f"w{n}", *script) for n, script in enumerate(scripts)]
            async with Fleet(*workers) as fleet:
                for worker in fleet.directory.workers.values():
                    worker.record = replace(worker.record, slots=slots)
                self.fleet = fleet
                self.store = MemoryRowStore()
                self.live: set[str] = set()
                ticking = asyncio.create_task(self._tick(fleet))
                await work()
                ticking.cancel()

        run(scenario())

    async def _tick(self, fleet: Fleet) -> None:
        while True:
            fleet.batch_scheduler.tick(asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)

    def daemon(self, name: str = "d1") -> Daemon:
        return Daemon(name, self.store, self.fleet, self.live).start()

    def assert_all_completed(self, found: list[tuple[str, str, str]], items: int = 3) -> None:
        """Check that every item is listed once, with its whole text."""
        self.assertEqual(sorted(f"job1-i{n}" for n in range(items)), sorted(r[0] for r in found))
        self.assertEqual({("completed", TEXT)}, {(r[1], r[2]) for r in found})


class Running(Jobs):
    def test_job_is_run_and_read_from_any_position(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            self.assertEqual(SubmitOutcome.ACCEPTED, await daemon.submit(submission()))
            found = await daemon.wait_for_results(3)
            self.assert_all_completed(found)
            page = await daemon.jobs.read("job1", 2, 0.0, 1_000_000)
            assert page is not None
            self.assertEqual((3, 3), (page.total, page.next_position))
            self.assertEqual(found[2][0], page.results[0].item_id)
            self.assertEqual(b"b1", await daemon.jobs.item_body("job1", "job1-i1"))
            self.assertIsNone(await daemon.jobs.read("unknown", 0, 0.0, 1000))

        self.run_scenario(work, (stream(4),))

    def test_a_job_over_the_bound_of_its_route_is_refused_until_items_have_ended(self) -> None:
        async def work() -> None:
            bounded = replace(BATCH, max_waiting_tokens=700)
            first, second = self.daemon("d1"), self.daemon("d2")
            for daemon in (first, second):
                daemon.route = bounded
                daemon.configuration = configuration(bounded)
            held = self.fleet.queue.demand.peers_by_service
            held["llm"] = WaitingCounts(1)
            accepted = await first.submit(submission(tokens=200))
            self.assertEqual(SubmitOutcome.ACCEPTED, accepted)
            more = submission("job2", tokens=200)
            await eventually(lambda: second.jobs._heads, "the second daemon sees the job")
            self.assertEqual(SubmitOutcome.OVER_QUOTA, await first.submit(more))
            self.assertEqual(SubmitOutcome.OVER_QUOTA, await second.submit(more))
            second.jobs._heads.clear()
            again = await second.submit(submission(tokens=200))
            self.assertEqual(SubmitOutcome.ACCEPTED, again, "it is there already")
            held.clear()
            await first.wait_for_results(3)
            await eventually(
                lambda: not any(head.is_open for head, _ in first.jobs._heads.values()),
                "the feed tells the daemon that the job is done",
            )
            self.assertEqual(SubmitOutcome.ACCEPTED, await first.submit(more))

        self.run_scenario(work, (stream(4),))

    def test_large_results_span_rows(self) -> None:
        async def answer(request, writer):  # type: ignore[no-untyped-def]
            body = b"id: 1\ndata: " + b"z" * 20000 + b"\n\n"
            await whole(body, "200 OK", "Content-Type: text/event-stream")(request, writer)

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=5))
            found = await daemon.wait_for_results(5)
            self.assertEqual({20000}, {len(text) for _, _, text in found})

        self.run_scenario(work, (answer,))

    def test_cut_stream_goes_on_after_its_last_whole_event(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            asked = [received.resume_after for received in self.fleet.workers[0].received]
            self.assertEqual([0, 2], asked)

        self.run_scenario(work, (stream(4, cut_after=2), stream(4)))

    def test_undoable_and_failing_items_end_after_exactly_what_is_due(self) -> None:
        for name, script, runs in (
            ("422 at once", whole(b"", "422 Unprocessable"), 1),
            ("500 after max_attempts", INTERNAL_SERVER_ERROR, 3),
        ):
            with self.subTest(name):

                async def work(runs: int = runs) -> None:
                    daemon = self.daemon()
                    await daemon.submit(submission(items=1))
                    found = await daemon.wait_for_results(1)
                    self.assertEqual(
                        [("job1-i0", ItemState.INTERNAL_SERVER_ERROR.value, "")], found
                    )
                    self.assertEqual(runs, len(self.fleet.workers[0].received))

                self.run_scenario(work, (script,))

    def test_resets_and_refusals_use_up_no_attempts(self) -> None:
        full = whole(b"", "503 Service Unavailable", "Not-Run: 1")

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)

        self.run_scenario(work, (reset, full, reset, reset, full, stream(4)))

    def test_preempted_item_goes_on_later(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            worker = self.fleet.workers[0]
            await eventually(lambda: worker.received, "the item runs")
            await asyncio.sleep(0.25)
            placement = self.fleet.batch_scheduler._placements_by_worker_id["w0"][0]
            placement.preempt()
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertTrue(worker.received[1].resume_after >= 1)

        self.run_scenario(work, (stream(4, gap_s=0.1),))


class Store(Jobs):
    def set_fault(self, fault: Callable[[str], str]) -> None:
        self.store.fault = fault

    def test_lost_answers_of_every_second_write_list_nothing_twice(self) -> None:
        async def work() -> None:
            calls = iter(range(10_000))
            self.set_fault(lambda call: "lose" if call == "commit" and next(calls) % 2 == 0 else "")
            daemon = self.daemon()
            self.assertEqual(SubmitOutcome.ACCEPTED, await daemon.submit(submission(items=6)))
            self.assert_all_completed(await daemon.wait_for_results(6), 6)

        self.run_scenario(work, (stream(4),))

    def test_results_wait_while_the_store_is_down(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission())
            self.set_fault(lambda call: "refuse" if call == "commit" else "")
            await eventually(lambda: len(self.fleet.workers[0].received) == 3, "items run")
            await asyncio.sleep(0.5)
            self.assertEqual([], await daemon.results())
            self.set_fault(lambda call: "")
            self.assert_all_completed(await daemon.wait_for_results(3))
            self.assertEqual(3, len(self.fleet.workers[0].received), "no item ran again")

        self.run_scenario(work, (stream(4),))

    def test_refused_job_never_runs(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            writes = ("commit", "put_object")
            self.set_fault(lambda call: "refuse" if call in writes else "")
            self.assertEqual(SubmitOutcome.REFUSED, await daemon.submit(submission()))
            self.set_fault(lambda call: "")
            await asyncio.sleep(1.0)
            self.assertEqual([], self.fleet.workers[0].received)

        self.run_scenario(work, (stream(4),))

    def test_job_is_refused_while_the_clock_of_the_store_is_not_known(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            daemon.now_ms = None
            self.assertEqual(SubmitOutcome.REFUSED, await daemon.submit(submission()))
            self.assertIsNone(await daemon.jobs.read("job1", 0, 0.0, 1000))

        self.run_scenario(work, (stream(4),))

    def test_ended_job_is_kept_while_the_clock_of_the_store_is_not_known(self) -> None:
        """A daemon that has just started took its own clock for the store's and dropped it."""

        async def work() -> None:
            first = self.daemon("d1")
            await first.submit(submission())
            await first.wait_for_results(3)
            first.now_ms = None
            await first.jobs.cancel("job1")
            await asyncio.sleep(1.2)
            self.assertEqual(3, len(await first.results()))
            first.now_ms = 2_000_000
            await asyncio.sleep(1.2)
            self.assertEqual([], await first.results(), "an old job is dropped")

        self.run_scenario(work, (stream(4),))

    def test_job_is_taken_soon_after_a_silent_store_is_back(self) -> None:
        """Found by a score: a pending try kept a job waiting until its caller gave up."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.watcher.loaded.wait()
            self.set_fault(lambda call: "hang")
            asyncio.get_running_loop().call_later(0.5, self.set_fault, lambda call: "")
            outcome = await asyncio.wait_for(daemon.submit(submission(), 4.0), 1.5)
            self.assertEqual(SubmitOutcome.ACCEPTED, outcome)

        self.run_scenario(work, (stream(4),))

    def test_lost_write_is_not_called_refused(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            lost = {"commit": "drop", "put_object": "refuse"}
            self.set_fault(lambda call: lost.get(call, ""))
            self.assertEqual(SubmitOutcome.OUTCOME_UNKNOWN, await daemon.submit(submission(), 0.5))

        self.run_scenario(work, (stream(4),))

    def test_job_whose_part_takes_no_writes_is_kept_as_an_object(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            other = self.daemon("d2")
            await other.watcher.loaded.wait()
            self.set_fault(lambda call: "refuse" if call == "commit" else "")
            self.assertEqual(SubmitOutcome.ACCEPTED, await daemon.submit(submission()))
            page = await other.jobs.read("job1", 0, 0.0, 1000)
            assert page is not None
            self.assertEqual((3, []), (page.total, page.results))
            self.assertEqual(b"b2", await other.jobs.item_body("job1", "job1-i2"))
            self.set_fault(lambda call: "")
            self.assert_all_completed(await other.wait_for_results(3))

        self.run_scenario(work, (stream(4),))

    def test_job_bound_to_regions_is_refused_rather_than_kept_where_all_read_it(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            bound = replace(BATCH, regions=frozenset({"north"}))
            daemon.route, daemon.configuration = bound, configuration(bound)
            self.set_fault(lambda call: "refuse" if call == "commit" else "")
            self.assertEqual(SubmitOutcome.REFUSED, await daemon.submit(submission()))
            self.assertEqual([], await self.store.list_objects("accepted/"))

        self.run_scenario(work, (stream(4),))

    def test_job_bound_to_regions_is_not_adopted_elsewhere(self) -> None:
        async def work() -> None:
            bound = replace(BATCH, regions=frozenset({"north"}))
            daemon, other = self.daemon("d1"), self.daemon("d2")
            for each in (daemon, other):
                each.configuration = configuration(bound)
            other.jobs._owners._is_in_regions = lambda name, regions: name == "d1"
            await daemon.submit(submission())
            await other.watcher.loaded.wait()
            daemon.kill()
            await asyncio.sleep(2.0)
            self.assertEqual({}, other.jobs._runners)
            other.configuration = configuration(BATCH)
            await eventually(lambda: other.jobs._runners, "adopted once it may be")

        self.run_scenario(work, (silence,))

    def test_job_kept_as_an_object_outlives_its_daemon(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            other = self.daemon("d2")
            await other.watcher.loaded.wait()
            self.set_fault(lambda call: "refuse" if call == "commit" else "")
            await daemon.submit(submission())
            daemon.kill()
            self.set_fault(lambda call: "")
            self.assert_all_completed(await other.wait_for_results(3))

        self.run_scenario(work, (stream(4),))

    def test_late_write_beside_an_object_makes_one_job(self) -> None:
        """A row write without an answer takes effect after the same job was kept as an object."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.watcher.loaded.wait()
            commits = iter(["lose"])
            self.set_fault(lambda call: next(commits, "") if call == "commit" else "")
            self.assertEqual(SubmitOutcome.ACCEPTED, await daemon.submit(submission(items=6)))
            self.assert_all_completed(await daemon.wait_for_results(6), 6)
            await asyncio.sleep(1.5)
            self.assert_all_completed(await daemon.results(), 6)

        self.run_scenario(work, (stream(4, gap_s=0.05),))

    def test_item_that_was_listed_meanwhile_is_not_listed_again(self) -> None:
        """Found by a hunt: two runners of one process listed an item at two positions."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=2))
            runner = daemon.jobs._runners["job1"]
            found = await daemon.wait_for_results(1)
            index = int(found[0][0][-1])
            again = next(r for r in await self._listed(daemon) if r.index == index)
            runner._finished.append(again)
            runner._changed.set()
            self.assert_all_completed(await daemon.wait_for_results(2), 2)

        self.run_scenario(work, (stream(4), stream(4, gap_s=0.3)), slots=2)

    async def _listed(self, daemon: Daemon):  # type: ignore[no-untyped-def]
        page = await daemon.jobs.read("job1", 0, 0.0, 1_000_000)
        return page.results if page else []


class Owning(Jobs):
    def test_job_of_a_dead_owner_goes_on_elsewhere_with_its_progress(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission(items=1))
            saved = RowKey("job_progress", "", "")
            await eventually(
                lambda: any(key.table == saved.table for key in self.store.rows), "it is saved"
            )
            first.kill()
            self.assert_all_completed(await second.wait_for_results(1), 1)
            asked = [received.resume_after for received in self.fleet.workers[0].received]
            self.assertTrue(asked[-1] >= 1, asked)

        self.run_scenario(work, (stream(4, gap_s=0.8),))

    def test_owner_that_wakes_lists_nothing(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission())
            runner = first.jobs._runners["job1"]
            first.watcher._apply = lambda change: None
            self.live.discard("d1")
            found = await second.wait_for_results(3)
            self.assert_all_completed(found)
            await eventually(lambda: runner._stopped, "the old owner stops")
            self.assertEqual(found, await second.results())

        self.run_scenario(work, (silence, silence, silence, stream(4)))

    def test_planned_stop_hands_a_job_on_at_once(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission(items=2))
            await eventually(lambda: len(self.fleet.workers[0].received) == 2, "items run")
            await asyncio.sleep(0.3)
            await asyncio.wait_for(first.jobs.drain(), 1.0)
            self.assert_all_completed(await second.wait_for_results(2), 2)
            asked = [received.resume_after for received in self.fleet.workers[0].received]
            self.assertTrue(all(after >= 1 for after in asked[2:]), asked)

        self.run_scenario(work, (stream(4, gap_s=0.2),))

    def test_planned_stop_waits_for_no_slot(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission())
            await asyncio.wait_for(daemon.jobs.drain(), 1.0)

        self.run_scenario(work, (stream(4),), slots=1)


class Order(TestCase):
    """Which daemon adopts a job first."""

    NAMES = tuple(f"d{i}" for i in range(9))

    def ranks(self, serving: frozenset[str]) -> dict[str, int]:
        live = {name: name for name in self.NAMES}
        return {
            name: Owners(name, lambda: live, name, lambda: serving).rank("job1")
            for name in self.NAMES
        }

    def test_all_daemons_have_different_ranks(self) -> None:
        for serving in (frozenset(), frozenset({"d2", "d5"}), frozenset(self.NAMES)):
            self.assertEqual(list(range(9)), sorted(self.ranks(serving).values()))

    def test_daemons_that_serve_callers_come_first(self) -> None:
        ranks = self.ranks(frozenset({"d2", "d5", "gone"}))
        self.assertEqual({0, 1}, {ranks["d2"], ranks["d5"]})


class Ending(Jobs):
    def test_ended_job_starts_nothing_more_and_keeps_what_is_listed(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission(items=6))
            await first.wait_for_results(1)
            self.assertTrue(await second.jobs.cancel("job1"))
            self.assertTrue(await second.jobs.cancel("job1"), "ending again is answered alike")
            listed = await second.results()
            runs = len(self.fleet.workers[0].received)
            await asyncio.sleep(0.6)
            self.assertTrue(len(self.fleet.workers[0].received) <= runs + 1)
            self.assertEqual(listed, await second.results())
            self.assertFalse(await second.jobs.cancel("unknown"))

        self.run_scenario(work, (stream(4, gap_s=0.1),), slots=1)

    def test_nothing_starts_without_fresh_contact_to_the_store(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.watcher.loaded.wait()
            daemon.watcher.fresh_at_s = float("-inf")
            for task in daemon.tasks:
                task.cancel()
            await daemon.submit(submission())
            await asyncio.sleep(0.5)
            self.assertEqual([], self.fleet.workers[0].received)

        self.run_scenario(work, (stream(4),))

    def test_ended_while_its_head_row_is_missing(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.watcher.loaded.wait()
            self.store.fault = lambda call: "refuse" if call == "commit" else ""
            await daemon.submit(submission())
            self.store.fault = lambda call: ""
            self.assertTrue(await daemon.jobs.cancel("job1"))
            await eventually(lambda: not daemon.jobs._runners, "the runner stops")

        self.run_scenario(work, (silence,))


class Cleaning(Jobs):
    def test_old_job_leaves_nothing_behind(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission())
            await daemon.wait_for_results(3)
            daemon.jobs._keep_s = lambda head: -1.0
            await eventually(lambda: not self.store.rows, "every row is gone")

        self.run_scenario(work, (stream(4),))


class Helpers(TestCase):
    def test_event_and_transaction_helpers(self) -> None:
        self.assertIn(b"id: 3", event(3))
        self.assertEqual([], Transaction().puts)
