"""A zone that the operator takes out of use: its workers, its daemons, and its return.

The load: a zone with a share of all workers and daemons is to be emptied within seconds while the
others take its work; what comes back may have started anew.
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


class Rows(TestCase):
    """What the operator's rows say, as they come."""

    def setUp(self) -> None:
        super().setUp()
        self.told: list[frozenset[str]] = []
        self.log = RecordingLog()
        self.evacuations = ZoneEvacuations(evacuated_zone, self.log, self.told.append)

    def tell(self, version: int, zone: str, value: object = None, complete: bool = False) -> None:
        change = [row("op", f"evacuate/{zone}", version, value)]
        self.evacuations.apply(TableChange(change, complete))

    def test_a_zone_is_evacuated_while_its_row_is_there(self) -> None:
        self.tell(5, "a", {})
        self.tell(6, "b", {})
        self.tell(7, "a")
        self.assertEqual([{"a"}, {"a", "b"}, {"b"}], self.told)
        self.assertEqual(2, len(self.log.lines("zone_evacuated")))
        self.assertEqual(["a"], [line["zone"] for line in self.log.lines("zone_returned")])

    def test_a_complete_list_without_the_row_takes_it_back(self) -> None:
        self.tell(5, "a", {})
        self.evacuations.apply(TableChange([row("op", "config", 4, {})], True))
        self.assertEqual(frozenset(), self.evacuations.zones)

    def test_older_word_changes_nothing_and_repeats_tell_nothing(self) -> None:
        self.tell(5, "a", {})
        self.tell(4, "a")
        self.tell(5, "a", {})
        self.assertEqual([{"a"}], self.told)

    def test_a_row_with_strange_content_still_evacuates(self) -> None:
        self.tell(5, "a", b"?")
        self.assertEqual({"a"}, self.evacuations.zones)


class Workers(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("c", random.Random(3), withdrawn_grace_s=1.0)
        for number in range(6):
            self.directory.put(record(number, "ab"[number % 2]), 0.0)

    def chosen(self, now_s: float) -> set[str]:
        found = [self.directory.choose("llm", EMPTY_PROMPT, set(), now_s) for _ in range(60)]
        return {worker.record.zone for worker in found if worker is not None}

    def test_an_evacuated_zone_gets_nothing_while_others_serve(self) -> None:
        newly = self.directory.set_evacuated_zones({"b"}, 10.0)
        self.assertEqual(3, len(newly))
        self.assertEqual({"a"}, self.chosen(10.0))
        self.assertEqual(12, self.directory.slots())
        self.assertEqual([], self.directory.set_evacuated_zones({"b"}, 11.0), "nothing new")

    def test_a_worker_that_starts_in_an_evacuated_zone_gets_nothing(self) -> None:
        self.directory.set_evacuated_zones({"b"}, 10.0)
        self.directory.put(record(7, "b"), 10.5)
        self.assertEqual({"a"}, self.chosen(10.5))

    def test_where_no_other_worker_is_left_it_serves_for_a_moment_only(self) -> None:
        self.directory.set_evacuated_zones({"a", "b"}, 10.0)
        self.assertEqual({"a", "b"}, self.chosen(10.9))
        self.assertEqual(set(), self.chosen(11.1))

    def test_it_is_used_again_once_the_evacuation_is_taken_back(self) -> None:
        self.directory.set_evacuated_zones({"b"}, 10.0)
        self.directory.set_evacuated_zones(set(), 20.0)
        self.assertEqual({"a", "b"}, self.chosen(20.0))

    def test_workers_that_come_back_are_taken_as_cold(self) -> None:
        limit_sharing = LimitSharing("d1")
        limit_sharing.update_members(["d1"], ["d1"])
        sends = ColdStartShares(limit_sharing, ColdStartTolerance(), 0.0, lambda: True)
        self.directory.set_cold_start_limits({"llm": ColdStartLimit(3.0, 2.0)}, sends, 0.0)
        self.directory.set_evacuated_zones({"b"}, 10.0)
        self.directory.set_evacuated_zones(set(), 20.0)
        worker = self.directory.workers["w1"]
        self.assertEqual([True, True, False], [worker.admit_send(20.0) for _ in range(3)])
        self.assertTrue(worker.admit_send(23.1), "warm again")
        self.assertTrue(all(self.directory.workers["w0"].admit_send(20.0) for _ in range(9)))


class Daemons(TestCase):
    def test_daemons_of_an_evacuated_zone_serve_no_callers(self) -> None:
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
        self.assertEqual({"d0", "d2"}, set(owners), "slots are dealt to daemons that serve")
        sharing.set_evacuated_zones(frozenset())
        sharing.tick(0.3)
        self.assertEqual({"d0", "d1", "d2", "d3"}, sharing.serving)

    def test_they_do_where_there_are_no_others(self) -> None:
        peers = [Peer("d0", "a"), Peer("d1", "a")]
        self.assertEqual(peers, peers_outside_zones(peers, {"a", "b"}))
        self.assertEqual(peers, peers_outside_zones(peers, {"b"}))


class Status(TestCase):
    """The operator reads how far an evacuation is."""

    def test_counts_are_told_when_they_change_and_taken_back_in_the_end(self) -> None:
        async def scenario() -> None:
            store, log = MemoryRowStore(), RecordingLog()
            directory = WorkerDirectory("c", random.Random(3))
            for number in range(4):
                directory.put(record(number, "ab"[number % 2]), 0.0)
            evacuations = ZoneEvacuations(evacuated_zone, log, lambda zones: None)
            writes = True
            status = EvacuationStatusPublisher(
                store,
                directory,
                evacuations,
                lambda zone: RowKey("status", "", f"evacuate/{zone}"),
                lambda zone: writes,
                log,
            )

            async def row() -> dict[str, Any] | None:
                page = await store.read("status", "", "", "", 5)
                return orjson.loads(page.rows[0].value) if page.rows else None

            worker = directory.workers["w1"]
            worker.in_flight, worker.batch_in_flight, worker.peer_online = 3, 1, 4
            await status.tell({"b"})
            found = await row()
            assert found is not None
            counts = (found["state"], found["requests"], found["items"])
            self.assertEqual(("emptying", 6, 1), counts)
            version = (await store.read("status", "", "", "", 5)).version
            await status.tell({"b"})
            self.assertEqual(version, (await store.read("status", "", "", "", 5)).version)
            store.fault = lambda call: "refuse"
            worker.in_flight = worker.batch_in_flight = worker.peer_online = 0
            await status.tell({"b"})
            self.assertTrue(log.lines("evacuation_untold"))
            store.fault = lambda call: ""
            await status.tell({"b"})
            found = await row()
            assert found is not None
            self.assertEqual("empty", found["state"])
            await status.tell(set())
            self.assertIsNone(await row())
            writes = False
            await status.tell({"b"})
            self.assertIsNone(await row(), "another daemon writes")

        run(scenario())
