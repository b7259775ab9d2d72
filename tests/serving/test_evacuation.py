"""Tests of zone evacuation: workers and daemons of the zone, its status row, and its end.

An evacuated zone gets no new work while other zones have workers, so that it is empty within
seconds. Its workers count as cold when the evacuation ends, since they may have restarted.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import orjson
from testtools import TestCase

from mountstand.limits.sharing import LimitSharing
from mountstand.platform.operator_rows import evacuated_zone
from mountstand.serving.cold_workers import ColdStartLimit, ColdStartShares, ColdStartTolerance
from mountstand.serving.evacuation import ZoneEvacuations
from mountstand.serving.evacuation_status import EvacuationStatusPublisher
from mountstand.serving.load_groups import Peer, peers_outside_zones
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.worker import WorkerRecord
from mountstand.serving.workers import WorkerDirectory
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey
from mountstand.store.watch import TableChange
from tests.serving.test_feeds import row
from tests.stand_ins.digest_link import RecordingLink
from tests.stand_ins.harness import RecordingLog, run


def record(number: int, zone: str, **changes: object) -> WorkerRecord:
    base = WorkerRecord(f"w{number}", "llm", "127.0.0.1", 9000 + number, zone, 4, False, 1)
    return replace(base, **changes)  # type: ignore[arg-type]


class EvacuationRows(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.changes: list[frozenset[str]] = []
        self.log = RecordingLog()
        self.evacuations = ZoneEvacuations(evacuated_zone, self.log, self.changes.append)

    def apply_row(
        self, version: int, zone: str, value: object = None, complete: bool = False
    ) -> None:
        rows = [row("op", f"evacuate/{zone}", version, value)]
        self.evacuations.apply(TableChange(rows, complete))

    def test_a_zone_is_evacuated_while_its_row_exists(self) -> None:
        self.apply_row(5, "a", {})
        self.apply_row(6, "b", {})
        self.apply_row(7, "a")
        self.assertEqual([{"a"}, {"a", "b"}, {"b"}], self.changes)
        self.assertEqual(2, len(self.log.lines("zone_evacuated")))
        self.assertEqual(["a"], [line["zone"] for line in self.log.lines("zone_returned")])

    def test_a_complete_change_without_the_row_ends_the_evacuation(self) -> None:
        self.apply_row(5, "a", {})
        self.evacuations.apply(TableChange([row("op", "config", 4, {})], True))
        self.assertEqual(frozenset(), self.evacuations.zones)

    def test_older_rows_and_repeats_are_ignored(self) -> None:
        self.apply_row(5, "a", {})
        self.apply_row(4, "a")
        self.apply_row(5, "a", {})
        self.assertEqual([{"a"}], self.changes)

    def test_a_row_with_an_invalid_value_still_evacuates(self) -> None:
        self.apply_row(5, "a", b"?")
        self.assertEqual({"a"}, self.evacuations.zones)


class WorkersInEvacuatedZones(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("c", random.Random(3), withdrawn_grace_s=1.0)
        for number in range(6):
            self.directory.put(record(number, "ab"[number % 2]), 0.0)

    def chosen_zones(self, now_s: float) -> set[str]:
        """Return the zones of the workers in a sample of choices."""
        choices = [self.directory.choose("llm", EMPTY_PROMPT, set(), now_s) for _ in range(60)]
        return {worker.record.zone for worker in choices if worker is not None}

    def test_an_evacuated_zone_gets_no_work_while_others_serve(self) -> None:
        withdrawn = self.directory.set_evacuated_zones({"b"}, 10.0)
        self.assertEqual(3, len(withdrawn))
        self.assertEqual({"a"}, self.chosen_zones(10.0))
        self.assertEqual(12, self.directory.slots())
        self.assertEqual([], self.directory.set_evacuated_zones({"b"}, 11.0), "already evacuated")

    def test_a_worker_that_starts_in_an_evacuated_zone_gets_no_work(self) -> None:
        self.directory.set_evacuated_zones({"b"}, 10.0)
        self.directory.put(record(7, "b"), 10.5)
        self.assertEqual({"a"}, self.chosen_zones(10.5))

    def test_without_other_workers_a_zone_serves_for_the_grace_period(self) -> None:
        self.directory.set_evacuated_zones({"a", "b"}, 10.0)
        self.assertEqual({"a", "b"}, self.chosen_zones(10.9))
        self.assertEqual(set(), self.chosen_zones(11.1))

    def test_workers_are_used_again_after_the_evacuation(self) -> None:
        self.directory.set_evacuated_zones({"b"}, 10.0)
        self.directory.set_evacuated_zones(set(), 20.0)
        self.assertEqual({"a", "b"}, self.chosen_zones(20.0))

    def test_workers_count_as_cold_after_the_evacuation(self) -> None:
        limit_sharing = LimitSharing("d1")
        limit_sharing.update_members(["d1"], ["d1"])
        shares = ColdStartShares(limit_sharing, ColdStartTolerance(), 0.0, lambda: True)
        self.directory.set_cold_start_limits({"llm": ColdStartLimit(3.0, 2.0)}, shares, 0.0)
        self.directory.set_evacuated_zones({"b"}, 10.0)
        self.directory.set_evacuated_zones(set(), 20.0)
        worker = self.directory.workers["w1"]
        self.assertEqual([True, True, False], [worker.admit_send(20.0) for _ in range(3)])
        self.assertTrue(worker.admit_send(23.1), "no longer cold")
        self.assertTrue(all(self.directory.workers["w0"].admit_send(20.0) for _ in range(9)))


class DaemonsInEvacuatedZones(TestCase):
    def test_daemons_in_an_evacuated_zone_serve_no_callers(self) -> None:
        directory = WorkerDirectory("a", random.Random(3))
        directory.put(record(0, "a"), 0.0)
        link = RecordingLink(*(Peer(f"d{n}", "ab"[n % 2]) for n in range(4)))
        sharing = LoadSharing(directory, Peer("d0", "a"), link)
        sharing.tick(0.1)
        self.assertEqual({"d0", "d1", "d2", "d3"}, sharing.serving)
        sharing.set_evacuated_zones(frozenset({"b"}))
        sharing.tick(0.2)
        self.assertEqual({"d0", "d2"}, sharing.serving)
        owners = directory.chooser.slot_owners_by_service["llm"]["w0"]
        self.assertEqual({"d0", "d2"}, set(owners), "only serving daemons own slots")
        sharing.set_evacuated_zones(frozenset())
        sharing.tick(0.3)
        self.assertEqual({"d0", "d1", "d2", "d3"}, sharing.serving)

    def test_daemons_in_an_evacuated_zone_serve_if_there_are_no_others(self) -> None:
        peers = [Peer("d0", "a"), Peer("d1", "a")]
        self.assertEqual(peers, peers_outside_zones(peers, {"a", "b"}))
        self.assertEqual(peers, peers_outside_zones(peers, {"b"}))


class StatusRow(TestCase):
    def test_row_follows_the_counts_and_is_removed_after_the_evacuation(self) -> None:
        async def scenario() -> None:
            store, log = MemoryRowStore(), RecordingLog()
            directory = WorkerDirectory("c", random.Random(3))
            for number in range(4):
                directory.put(record(number, "ab"[number % 2]), 0.0)
            evacuations = ZoneEvacuations(evacuated_zone, log, lambda zones: None)
            is_writer = True
            status = EvacuationStatusPublisher(
                store,
                directory,
                evacuations,
                lambda zone: RowKey("status", "", f"evacuate/{zone}"),
                lambda zone: is_writer,
                log,
            )

            async def read_status() -> dict[str, Any] | None:
                page = await store.read("status", "", "", "", 5)
                return orjson.loads(page.rows[0].value) if page.rows else None

            worker = directory.workers["w1"]
            worker.in_flight, worker.batch_in_flight, worker.peer_online = 3, 1, 4
            await status.publish({"b"})
            value = await read_status()
            assert value is not None
            counts = (value["state"], value["requests"], value["items"])
            self.assertEqual(("emptying", 6, 1), counts)
            version = (await store.read("status", "", "", "", 5)).version
            await status.publish({"b"})
            self.assertEqual(version, (await store.read("status", "", "", "", 5)).version)
            store.fault = lambda call: "refuse"
            worker.in_flight = worker.batch_in_flight = worker.peer_online = 0
            await status.publish({"b"})
            self.assertTrue(log.lines("evacuation_untold"))
            store.fault = lambda call: ""
            await status.publish({"b"})
            value = await read_status()
            assert value is not None
            self.assertEqual("empty", value["state"])
            await status.publish(set())
            self.assertIsNone(await read_status())
            is_writer = False
            await status.publish({"b"})
            self.assertIsNone(await read_status(), "this daemon is not the writer")

        run(scenario())
