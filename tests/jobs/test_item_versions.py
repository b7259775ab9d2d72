"""Batch items go on at the software version that wrote their output so far, or begin anew."""

from __future__ import annotations

import asyncio
import zlib
from dataclasses import replace

import orjson

from mountstand.jobs.repository import PROGRESS_TABLE
from tests.jobs.test_jobs import TEXT, JobTestCase, submission
from tests.stand_ins.harness import eventually
from tests.stand_ins.worker import Received, chunk, event, head, reset, silence, stream


async def three_events_then_silence(request: Received, writer: asyncio.StreamWriter) -> None:
    """Answer with three events of a stream, and say no more until the caller leaves."""
    encoding = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    writer.write(head(request, "200 OK", *encoding))
    for number in range(1, 4):
        writer.write(chunk(event(number)))
    await silence(request, writer)


class ItemVersions(JobTestCase):
    def set_software(self, **version_by_worker: str) -> None:
        now_s = asyncio.get_running_loop().time()
        for worker_id, version in version_by_worker.items():
            record = self.fleet.directory.workers[worker_id].record
            self.fleet.directory.put(replace(record, software_version=version), now_s)

    def remove_workers(self, *worker_ids: str) -> None:
        now_s = asyncio.get_running_loop().time()
        for worker_id in worker_ids:
            self.fleet.directory.remove(worker_id, 2, now_s)

    def resumed_after(self) -> list[tuple[str, int]]:
        """Return the worker of each request, and the event that it was to go on after."""
        return [
            (worker.worker_id, received.resume_after)
            for worker in self.fleet.workers
            for received in worker.received
        ]

    def test_broken_item_goes_on_at_its_version_alone(self) -> None:
        """Guards against an output that two software versions wrote."""

        async def work() -> None:
            self.set_software(w0="v1", w1="v2", w2="v2", w3="v2")
            daemon = self.daemon()
            self.remove_workers("w1", "w2", "w3")
            await daemon.submit(submission(items=1))
            await eventually(lambda: self.fleet.workers[0].received, "the item runs")
            self.set_software(w1="v2", w2="v2", w3="v2")
            found = await daemon.wait_for_results(1)
            self.assertEqual(("completed", TEXT), found[0][1:])
            self.assertEqual([("w0", 0), ("w0", 3)], self.resumed_after())

        broken, whole = stream(4, gap_s=0.05, cut_after=3), stream(4)
        self.run_scenario(work, (broken, whole), (whole,), (whole,), (whole,))

    def test_broken_item_begins_anew_where_its_version_is_gone(self) -> None:
        """Guards against an output that two software versions wrote, and against a lost item."""

        async def work() -> None:
            self.set_software(w0="v1", w1="v2")
            daemon = self.daemon()
            self.remove_workers("w1")
            await daemon.submit(submission(items=1))
            await eventually(lambda: self.fleet.workers[0].received, "the item runs")
            self.set_software(w1="v2")
            self.remove_workers("w0")
            found = await daemon.wait_for_results(1)
            self.assertEqual(("completed", TEXT), found[0][1:])
            self.assertEqual([("w0", 0), ("w1", 0)], self.resumed_after())

        self.run_scenario(work, (stream(4, gap_s=0.1, cut_after=3), reset), (stream(4),))

    def test_saved_progress_binds_the_next_owner_too(self) -> None:
        """Guards against a new owner that goes on at any version with what the former one saved."""

        async def work() -> None:
            await self.save_progress_and_die()
            self.set_software(w1="v2")
            self.remove_workers("w0")
            found = await self.daemon("d2").wait_for_results(1)
            self.assertEqual(("completed", TEXT), found[0][1:])
            self.assertEqual([("w0", 0), ("w1", 0)], self.resumed_after())

        self.run_scenario(work, (three_events_then_silence,), (stream(4),))

    async def save_progress_and_die(self) -> None:
        """Let an item's owner save progress that a worker of v1 made, and die."""
        self.set_software(w0="v1", w1="v2")
        first = self.daemon("d1")
        self.remove_workers("w1")
        await first.submit(submission(items=1))
        await eventually(self.saved_progress, "progress is saved", 15.0)
        first.kill()

    def saved_progress(self) -> list[bytes]:
        return [
            row.value
            for key, row in self.store.rows.items()
            if key.table == PROGRESS_TABLE and row.value
        ]

    def test_progress_of_the_former_version_of_the_program_begins_anew(self) -> None:
        """Guards against progress of unknown origin that is continued at any version."""

        async def work() -> None:
            await self.save_progress_and_die()
            for key, row in list(self.store.rows.items()):
                if key.table == PROGRESS_TABLE and row.value:
                    fields = orjson.loads(zlib.decompress(row.value))
                    value = zlib.compress(orjson.dumps(fields[:4]), 1)
                    self.store.rows[key] = replace(row, value=value)
            self.set_software(w1="v2")
            found = await self.daemon("d2").wait_for_results(1)
            self.assertEqual(("completed", TEXT), found[0][1:])
            self.assertEqual(0, self.resumed_after()[-1][1])

        self.run_scenario(work, (three_events_then_silence, stream(4)), (stream(4),))
