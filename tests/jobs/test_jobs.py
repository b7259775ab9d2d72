"""Batch jobs under faults: acceptance, exactly-once listing, resumption, cancellation, adoption."""

from __future__ import annotations

import asyncio
import itertools
from base64 import b64encode
from collections.abc import Callable
from dataclasses import replace
from unittest import mock

import orjson
from testtools import TestCase

from mountstand.jobs.acceptance import SubmitOutcome
from mountstand.jobs.item_execution import RunnerContext
from mountstand.jobs.model import ItemState, JobSubmission
from mountstand.jobs.owners import OwnershipRules
from mountstand.jobs.repository import HEADS_TABLE, JobRepository, partition_names
from mountstand.jobs.runner import WAIT_LOG_INTERVAL_S
from mountstand.jobs.service import JobService
from mountstand.platform.ingress import parse_items
from mountstand.serving.configuration import Configuration, RequestKind
from mountstand.serving.slot_demand import WaitingCounts
from mountstand.serving.worker import Worker
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import StoreError, StoreRefused, Transaction
from mountstand.store.watch import TableWatcher
from tests.stand_ins.harness import (
    HOST,
    TEST_TIMEOUT_S,
    Fleet,
    configuration,
    eventually,
    route,
)
from tests.stand_ins.paused_clock import run_paused
from tests.stand_ins.worker import (
    Answer,
    Received,
    StandInWorker,
    event,
    head,
    reset,
    silence,
    stream,
    whole,
)

BATCH = route(RequestKind.BATCH, max_attempts=3)
TEXT = "\n".join(f"piece {number}" for number in range(1, 5))
LATEST_RUN_S = 5.0
"""Time in which a job that was accepted runs while nothing is broken any more."""

INTERNAL_SERVER_ERROR = whole(b"", "500 Internal Server Error")


def submission(job_id: str = "job1", items: int = 3, tokens: int = 0) -> JobSubmission:
    """Return a job of small items with ``tokens`` tokens each."""
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
    """The job service of one daemon on a store shared with others."""

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
        owners = OwnershipRules(name, lambda: {other: other for other in live}, name)
        self.jobs = JobService(context, owners, parse_items, lambda head: 1000.0)
        self.watcher = TableWatcher(
            store, HEADS_TABLE, partition_names(), self.jobs.apply, fleet.log
        )
        self.tasks: list[asyncio.Task[None]] = []

    def store_now_ms(self) -> int:
        """Return the store's clock, or raise ``StoreRefused`` if this daemon does not know it."""
        if self.now_ms is None:
            raise StoreRefused("store clock unknown")
        return self.now_ms

    def start(self) -> Daemon:
        """Start watching the head table and adopting jobs."""
        self.live.add(self.name)
        self.tasks = [
            asyncio.create_task(self.watcher.run()),
            asyncio.create_task(self.jobs.run()),
        ]
        return self

    def kill(self) -> None:
        """Stop abruptly, without releasing any job."""
        self.live.discard(self.name)
        for task in [*self.tasks, *self.jobs._tasks]:
            task.cancel()

    async def submit(self, job: JobSubmission, timeout_s: float = 2.0) -> SubmitOutcome:
        """Submit a job with a deadline ``timeout_s`` from now."""
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        return await self.jobs.submit(job, self.route, deadline_s)

    async def results(self, job_id: str = "job1") -> list[tuple[str, str, str]]:
        """Read the id, state and text of every listed result, in order of position."""
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
        raise AssertionError(f"timed out with {len(found)} of {count} results listed")


class JobTestCase(TestCase):
    def run_scenario(self, work, *scripts: tuple[Answer, ...], slots: int = 8) -> None:  # type: ignore[no-untyped-def]
        """Run ``work`` with a store, stand-in workers, and a scheduler that ticks every 20 ms."""

        async def scenario() -> None:
            workers = [StandInWorker(f"w{n}", *script) for n, script in enumerate(scripts)]
            async with Fleet(*workers) as fleet:
                for worker in fleet.directory.workers.values():
                    worker.record = replace(worker.record, slots=slots)
                self.fleet = fleet
                self.store = MemoryRowStore()
                self.live: set[str] = set()
                ticker = asyncio.create_task(self._tick_scheduler(fleet))
                try:
                    await work()
                except BaseException:
                    print(fleet.log.stream.getvalue())
                    raise
                ticker.cancel()

        run_paused(asyncio.wait_for(scenario(), TEST_TIMEOUT_S))

    async def _tick_scheduler(self, fleet: Fleet) -> None:
        while True:
            fleet.batch_scheduler.tick(asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)

    def daemon(self, name: str = "d1") -> Daemon:
        return Daemon(name, self.store, self.fleet, self.live).start()

    def assert_all_completed(self, found: list[tuple[str, str, str]], items: int = 3) -> None:
        """Check that every item is listed exactly once, with its complete text."""
        self.assertEqual(sorted(f"job1-i{n}" for n in range(items)), sorted(r[0] for r in found))
        self.assertEqual({("completed", TEXT)}, {(r[1], r[2]) for r in found})


class RunningTest(JobTestCase):
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

    def test_job_over_the_quota_of_its_route_is_refused_until_items_finish(self) -> None:
        async def work() -> None:
            limited_route = replace(BATCH, max_waiting_tokens=700)
            first, second = self.daemon("d1"), self.daemon("d2")
            for daemon in (first, second):
                daemon.route = limited_route
                daemon.configuration = configuration(limited_route)
            # Demand reported by peers keeps the batch items waiting.
            peer_demand = self.fleet.queue.demand.peers_by_service
            peer_demand["llm"] = WaitingCounts(1)
            accepted = await first.submit(submission(tokens=200))
            self.assertEqual(SubmitOutcome.ACCEPTED, accepted)
            second_job = submission("job2", tokens=200)
            await eventually(lambda: second.jobs._heads, "second daemon sees the job")
            self.assertEqual(SubmitOutcome.OVER_QUOTA, await first.submit(second_job))
            self.assertEqual(SubmitOutcome.OVER_QUOTA, await second.submit(second_job))
            second.jobs._heads.clear()
            resubmitted = await second.submit(submission(tokens=200))
            self.assertEqual(
                SubmitOutcome.ACCEPTED,
                resubmitted,
                "resubmission of an accepted job must be accepted",
            )
            peer_demand.clear()
            await first.wait_for_results(3)
            await eventually(
                lambda: not any(head.is_open for head, _ in first.jobs._heads.values()),
                "first daemon sees that the job is complete",
            )
            self.assertEqual(SubmitOutcome.ACCEPTED, await first.submit(second_job))

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

    def test_interrupted_stream_resumes_after_its_last_complete_event(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            resume_positions = [
                received.resume_after for received in self.fleet.workers[0].received
            ]
            self.assertEqual([0, 2], resume_positions)

        self.run_scenario(work, (stream(4, cut_after=2), stream(4)))

    def test_item_that_cannot_run_is_logged_with_the_cause(self) -> None:
        """Otherwise nothing tells why an accepted item is neither done nor given up."""

        async def work() -> None:
            daemon = self.daemon()
            (item,) = submission(items=1).items
            # Takes all slots of the only worker.
            self.fleet.directory.workers["w0"].in_flight = 8
            await daemon.submit(submission(items=1))
            runner = daemon.jobs._runners["job1"]
            await eventually(lambda: runner._progress, "item loaded")
            progress = runner._progress[0]
            await eventually(lambda: progress.wait_cause is not None, "item waits")
            progress.idle_since_s -= 2 * WAIT_LOG_INTERVAL_S
            runner._log_waiting()
            (line,) = self.fleet.log.lines("items_waiting")
            self.assertEqual((1, item.item_id), (line["count"], line["item"]))
            self.assertEqual(({"slot": 1}, "slot"), (line["causes"], line["cause"]))
            self.assertGreaterEqual(line["idle_s"], 2 * WAIT_LOG_INTERVAL_S)

        self.run_scenario(work, (stream(4),))

    def test_item_is_retried_after_an_event_id_that_is_no_number(self) -> None:
        """Otherwise the error ends the item's task, and nothing works on the item any more."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertEqual([], self.fleet.log.lines("item_task_failed"))

        event_with_long_id = b"id: " + b"9" * 5000 + b"\ndata: x\n\n"
        garbled = whole(event_with_long_id, "200 OK", "Content-Type: text/event-stream")
        self.run_scenario(work, (garbled, stream(4)))

    def test_output_without_length_that_ends_with_its_worker_is_not_whole(self) -> None:
        """Guards against a part of an output that is listed as the whole of it."""

        async def crash_between_events(request: Received, writer: asyncio.StreamWriter) -> None:
            writer.write(head(request, "200 OK", "Content-Type: text/event-stream") + event(1))
            await writer.drain()
            writer.close()
            await self.fleet.workers[0].stop()

        async def work() -> None:
            daemon = self.daemon()
            self.fleet.directory.workers["w1"].in_flight = 8
            await daemon.submit(submission(items=1))
            await eventually(lambda: self.fleet.workers[0].received, "the item runs")
            self.fleet.directory.workers["w1"].in_flight = 0
            self.assert_all_completed(await daemon.wait_for_results(1), 1)

        self.run_scenario(work, (crash_between_events,), (stream(4),))

    def test_item_is_retried_after_an_unexpected_error(self) -> None:
        """Guards against an item that is dropped without a line, while its job stays open."""

        async def work() -> None:
            note_reply = Worker.note_reply
            failures = iter([ValueError("unexpected")])

            def fail_once(worker: Worker, now_s: float) -> None:
                for failure in failures:
                    raise failure
                note_reply(worker, now_s)

            with mock.patch.object(Worker, "note_reply", fail_once):
                daemon = self.daemon()
                await daemon.submit(submission(items=1))
                self.assert_all_completed(await daemon.wait_for_results(1), 1)
            (line,) = self.fleet.log.lines("item_task_failed")
            self.assertIn("unexpected", line["cause"])

        self.run_scenario(work, (stream(4),))

    def test_failing_items_end_after_the_expected_number_of_attempts(self) -> None:
        for name, script, attempts in (
            ("422 after one attempt", whole(b"", "422 Unprocessable"), 1),
            ("500 after max_attempts", INTERNAL_SERVER_ERROR, 3),
        ):
            with self.subTest(name):

                async def work(attempts: int = attempts) -> None:
                    daemon = self.daemon()
                    await daemon.submit(submission(items=1))
                    found = await daemon.wait_for_results(1)
                    self.assertEqual([("job1-i0", ItemState.FAILED.value, "")], found)
                    self.assertEqual(attempts, len(self.fleet.workers[0].received))

                self.run_scenario(work, (script,))

    def test_resets_and_refusals_do_not_count_as_attempts(self) -> None:
        worker_full = whole(b"", "503 Service Unavailable", "Not-Run: 1")

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            self.assert_all_completed(await daemon.wait_for_results(1), 1)

        self.run_scenario(work, (reset, worker_full, reset, reset, worker_full, stream(4)))

    def test_preempted_item_resumes_later(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=1))
            worker = self.fleet.workers[0]
            await eventually(lambda: worker.received, "item starts")
            await asyncio.sleep(0.25)
            placement = self.fleet.batch_scheduler._placements_by_worker_id["w0"][0]
            placement.preempt()
            self.assert_all_completed(await daemon.wait_for_results(1), 1)
            self.assertTrue(worker.received[1].resume_after >= 1)

        self.run_scenario(work, (stream(4, gap_s=0.1),))


class StoreFaultTest(JobTestCase):
    def set_fault(self, fault: Callable[[str], str]) -> None:
        self.store.fault = fault

    def test_no_item_is_listed_twice_when_every_second_write_loses_its_reply(self) -> None:
        async def work() -> None:
            calls = iter(range(10_000))
            self.set_fault(lambda call: "lose" if call == "commit" and next(calls) % 2 == 0 else "")
            daemon = self.daemon()
            self.assertEqual(SubmitOutcome.ACCEPTED, await daemon.submit(submission(items=6)))
            self.assert_all_completed(await daemon.wait_for_results(6), 6)

        self.run_scenario(work, (stream(4),))

    def test_results_are_listed_after_the_store_recovers(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission())
            self.set_fault(lambda call: "refuse" if call == "commit" else "")
            await eventually(lambda: len(self.fleet.workers[0].received) == 3, "all items start")
            await asyncio.sleep(0.5)
            self.assertEqual([], await daemon.results())
            self.set_fault(lambda call: "")
            self.assert_all_completed(await daemon.wait_for_results(3))
            self.assertEqual(3, len(self.fleet.workers[0].received), "items must not run again")

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

    def test_job_is_refused_while_the_store_clock_is_unknown(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            daemon.now_ms = None
            self.assertEqual(SubmitOutcome.REFUSED, await daemon.submit(submission()))
            self.assertIsNone(await daemon.jobs.read("job1", 0, 0.0, 1000))

        self.run_scenario(work, (stream(4),))

    def test_cancelled_job_is_kept_while_the_store_clock_is_unknown(self) -> None:
        """A daemon must not compute a job's age from its own clock and delete the job too early."""

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
            self.assertEqual([], await first.results(), "expired job must be deleted")

        self.run_scenario(work, (stream(4),))

    def test_job_is_accepted_soon_after_an_unresponsive_store_recovers(self) -> None:
        """A pending write must not delay acceptance until the caller times out."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.watcher.loaded.wait()
            self.set_fault(lambda call: "hang")
            asyncio.get_running_loop().call_later(0.5, self.set_fault, lambda call: "")
            outcome = await asyncio.wait_for(daemon.submit(submission(), 4.0), 1.5)
            self.assertEqual(SubmitOutcome.ACCEPTED, outcome)

        self.run_scenario(work, (stream(4),))

    def test_accepted_job_runs_soon_if_the_reply_of_its_write_was_lost(self) -> None:
        """Guards against an accepted job that waits a second for each daemon that ranks before."""

        async def work() -> None:
            daemon = self.daemon("d0")
            await daemon.watcher.loaded.wait()
            self.live.update(f"d{n}" for n in range(1, 60))
            rank_by_job_id = {f"job{n}": daemon.jobs._owners.rank(f"job{n}") for n in range(20)}
            job_id = max(rank_by_job_id, key=lambda name: rank_by_job_id[name])
            self.assertGreater(rank_by_job_id[job_id], 30)
            fault_by_call = {"commit": iter(["lose"]), "put_object": itertools.repeat("refuse")}
            self.set_fault(lambda call: next(fault_by_call.get(call, iter(())), ""))
            self.assertEqual(SubmitOutcome.ACCEPTED, await daemon.submit(submission(job_id)))
            async with asyncio.timeout(LATEST_RUN_S):
                results = await daemon.wait_for_results(3, job_id)
            self.assertEqual({"completed"}, {state for _, state, _ in results})

        self.run_scenario(work, (stream(4),))

    def test_lost_write_has_an_unknown_outcome(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            lost = {"commit": "drop", "put_object": "refuse"}
            self.set_fault(lambda call: lost.get(call, ""))
            self.assertEqual(SubmitOutcome.OUTCOME_UNKNOWN, await daemon.submit(submission(), 0.5))

        self.run_scenario(work, (stream(4),))

    def test_job_is_stored_as_fallback_object_if_its_partition_rejects_writes(self) -> None:
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

    def test_region_bound_job_is_refused_rather_than_stored_as_fallback_object(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            region_bound = replace(BATCH, regions=frozenset({"north"}))
            daemon.route, daemon.configuration = region_bound, configuration(region_bound)
            self.set_fault(lambda call: "refuse" if call == "commit" else "")
            self.assertEqual(SubmitOutcome.REFUSED, await daemon.submit(submission()))
            self.assertEqual([], await self.store.list_objects("accepted/"))

        self.run_scenario(work, (stream(4),))

    def test_region_bound_job_is_not_adopted_in_another_region(self) -> None:
        async def work() -> None:
            region_bound = replace(BATCH, regions=frozenset({"north"}))
            daemon, other = self.daemon("d1"), self.daemon("d2")
            for each in (daemon, other):
                each.configuration = configuration(region_bound)
            other.jobs._owners._is_in_regions = lambda name, regions: name == "d1"
            await daemon.submit(submission())
            await other.watcher.loaded.wait()
            daemon.kill()
            await asyncio.sleep(2.0)
            self.assertEqual({}, other.jobs._runners)
            other.configuration = configuration(BATCH)
            await eventually(
                lambda: other.jobs._runners, "job is adopted after its region limit is lifted"
            )

        self.run_scenario(work, (silence,))

    def test_job_stored_as_fallback_object_is_adopted_after_its_daemon_dies(self) -> None:
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

    def test_row_write_and_object_write_of_a_job_make_one_job(self) -> None:
        """A row write takes effect but loses its reply, so fallback objects are written too."""

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

    def test_item_listed_by_another_runner_is_not_listed_again(self) -> None:
        """Two runners in one process must not list an item at two positions."""

        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission(items=2))
            runner = daemon.jobs._runners["job1"]
            found = await daemon.wait_for_results(1)
            index = int(found[0][0][-1])
            duplicate = next(r for r in await self._read_results(daemon) if r.index == index)
            runner._finished.append(duplicate)
            runner._wake_event.set()
            self.assert_all_completed(await daemon.wait_for_results(2), 2)

        self.run_scenario(work, (stream(4), stream(4, gap_s=0.3)), slots=2)

    async def _read_results(self, daemon: Daemon):  # type: ignore[no-untyped-def]
        page = await daemon.jobs.read("job1", 0, 0.0, 1_000_000)
        return page.results if page else []


class OwnershipTest(JobTestCase):
    def test_job_of_a_dead_owner_resumes_elsewhere_from_its_saved_progress(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission(items=1))
            await eventually(
                lambda: any(key.table == "job_progress" for key in self.store.rows),
                "progress is saved",
            )
            first.kill()
            self.assert_all_completed(await second.wait_for_results(1), 1)
            resume_positions = [
                received.resume_after for received in self.fleet.workers[0].received
            ]
            self.assertTrue(resume_positions[-1] >= 1, resume_positions)

        self.run_scenario(work, (stream(4, gap_s=0.8),))

    def test_former_owner_that_misses_its_replacement_lists_nothing(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission())
            runner = first.jobs._runners["job1"]
            first.watcher._apply = lambda change: None
            self.live.discard("d1")
            found = await second.wait_for_results(3)
            self.assert_all_completed(found)
            await eventually(lambda: runner._stopped, "former owner stops")
            self.assertEqual(found, await second.results())

        self.run_scenario(work, (silence, silence, silence, stream(4)))

    def test_drain_releases_a_job_promptly(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission(items=2))
            await eventually(lambda: len(self.fleet.workers[0].received) == 2, "all items start")
            await asyncio.sleep(0.3)
            await asyncio.wait_for(first.jobs.drain(), 1.0)
            self.assert_all_completed(await second.wait_for_results(2), 2)
            resume_positions = [
                received.resume_after for received in self.fleet.workers[0].received
            ]
            self.assertTrue(all(after >= 1 for after in resume_positions[2:]), resume_positions)

        self.run_scenario(work, (stream(4, gap_s=0.2),))

    def test_drain_does_not_wait_for_a_slot(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission())
            await asyncio.wait_for(daemon.jobs.drain(), 1.0)

        self.run_scenario(work, (stream(4),), slots=1)


class AdoptionOrderTest(TestCase):
    """Ranking that decides which daemon adopts a job first."""

    NAMES = tuple(f"d{i}" for i in range(9))

    def ranks(self, serving: frozenset[str]) -> dict[str, int]:
        live = {name: name for name in self.NAMES}
        return {
            name: OwnershipRules(name, lambda: live, name, lambda: serving).rank("job1")
            for name in self.NAMES
        }

    def test_all_daemons_have_distinct_ranks(self) -> None:
        for serving in (frozenset(), frozenset({"d2", "d5"}), frozenset(self.NAMES)):
            self.assertEqual(list(range(9)), sorted(self.ranks(serving).values()))

    def test_daemons_that_serve_callers_rank_first(self) -> None:
        ranks = self.ranks(frozenset({"d2", "d5", "gone"}))
        self.assertEqual({0, 1}, {ranks["d2"], ranks["d5"]})


class CancellationTest(JobTestCase):
    def test_cancelled_job_starts_no_items_and_keeps_listed_results(self) -> None:
        async def work() -> None:
            first, second = self.daemon("d1"), self.daemon("d2")
            await second.watcher.loaded.wait()
            await first.submit(submission(items=6))
            await first.wait_for_results(1)
            self.assertTrue(await second.jobs.cancel("job1"))
            self.assertTrue(await second.jobs.cancel("job1"), "cancelling again must succeed")
            listed = await second.results()
            request_count = len(self.fleet.workers[0].received)
            await asyncio.sleep(0.6)
            self.assertTrue(len(self.fleet.workers[0].received) <= request_count + 1)
            self.assertEqual(listed, await second.results())
            self.assertFalse(await second.jobs.cancel("unknown"))

        self.run_scenario(work, (stream(4, gap_s=0.1),), slots=1)

    def test_no_item_starts_without_recent_contact_to_the_store(self) -> None:
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

    def test_job_without_a_head_row_can_be_cancelled(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.watcher.loaded.wait()
            self.store.fault = lambda call: "refuse" if call == "commit" else ""
            await daemon.submit(submission())
            self.store.fault = lambda call: ""
            self.assertTrue(await daemon.jobs.cancel("job1"))
            await eventually(lambda: not daemon.jobs._runners, "runner stops")

        self.run_scenario(work, (silence,))


class RetentionTest(JobTestCase):
    def test_expired_job_leaves_no_rows(self) -> None:
        async def work() -> None:
            daemon = self.daemon()
            await daemon.submit(submission())
            await daemon.wait_for_results(3)
            daemon.jobs._retention_s_for = lambda head: -1.0
            await eventually(lambda: not self.store.rows, "all rows of the expired job are deleted")

        self.run_scenario(work, (stream(4),))


class HelperTest(TestCase):
    """The stand-in worker's event helper and the defaults of a transaction."""

    def test_stand_in_event_has_its_id_and_new_transaction_writes_nothing(self) -> None:
        self.assertIn(b"id: 3", event(3))
        self.assertEqual([], Transaction().puts)
