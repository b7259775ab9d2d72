"""Slots are dealt out whole, evenly, mostly within zones, and taken before those of others."""

from __future__ import annotations

import random
from collections import Counter

from testtools import TestCase

from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.prompt import EMPTY_PROMPT, Prompt, PromptPart
from mountstand.serving.slot_shares import partition_slots
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.workers import WorkerDirectory
from tests.serving.test_routing import worker_record
from tests.stand_ins.digest_link import RecordingLink

ZONES = ("a", "b", "c")
DAEMONS = [Peer(f"d{n:02d}", ZONES[n % 3]) for n in range(13)]


def workers(count: int, slots: int = 6) -> list[Worker]:
    """Return workers spread over the zones."""
    return [
        Worker(
            WorkerRecord(f"w{n:02d}", "llm", "127.0.0.1", 9000 + n, ZONES[n % 3], slots, False, 1)
        )
        for n in range(count)
    ]


class Dealing(TestCase):
    def test_every_slot_is_dealt_once_and_evenly(self) -> None:
        for count in (1, 2, 6, 45, 46):
            with self.subTest(workers=count):
                fleet = workers(count)
                dealt = partition_slots(DAEMONS, fleet)
                self.assertEqual({w.record.worker_id for w in fleet}, set(dealt))
                self.assertEqual({6}, {sum(by_owner.values()) for by_owner in dealt.values()})
                totals = Counter({peer.member_id: 0 for peer in DAEMONS})
                for by_owner in dealt.values():
                    totals.update(by_owner)
                self.assertLessEqual(max(totals.values()) - min(totals.values()), 1)

    def test_most_slots_are_in_the_daemons_own_zone(self) -> None:
        fleet = workers(45)
        zone_by_id = {w.record.worker_id: w.record.zone for w in fleet}
        zone_by_daemon = {peer.member_id: peer.zone for peer in DAEMONS}
        near = sum(
            slots
            for worker_id, by_owner in partition_slots(DAEMONS, fleet).items()
            for owner, slots in by_owner.items()
            if zone_by_id[worker_id] == zone_by_daemon[owner]
        )
        self.assertGreater(near, 0.8 * 45 * 6)

    def test_the_order_of_the_lists_does_not_matter(self) -> None:
        fleet = workers(45)
        self.assertEqual(
            partition_slots(DAEMONS, fleet), partition_slots(DAEMONS[::-1], fleet[::-1])
        )

    def test_nothing_is_dealt_where_nobody_serves_or_nothing_is_there(self) -> None:
        self.assertEqual({}, partition_slots([], workers(6)))
        self.assertEqual({}, partition_slots(DAEMONS, []))


class Choice(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("zone-a", random.Random(3))
        for number in range(8):
            self.directory.put(worker_record(number, slots=4), 0.0)
        link = RecordingLink(Peer("own", "zone-a"), Peer("peer", "zone-a"))
        self.sharing = LoadSharing(self.directory, Peer("own", "zone-a"), link)
        self.sharing.tick(1.0)
        self.mine = set(self.directory.chooser.own_slots)

    def choose(self, prompt: Prompt = EMPTY_PROMPT) -> str:
        worker = self.directory.choose("llm", prompt, set(), 1.0)
        assert worker is not None
        worker.in_flight += 1
        return worker.record.worker_id

    def test_own_slots_are_taken_first_and_evenly(self) -> None:
        self.assertEqual(4, len(self.mine))
        chosen = [self.choose() for _ in range(16)]
        self.assertEqual({worker_id: 4 for worker_id in self.mine}, dict(Counter(chosen)))
        self.assertNotIn(self.choose(), self.mine)

    def test_slots_that_others_took_are_not_free(self) -> None:
        taken = next(iter(self.mine))
        self.directory.workers[taken].peer_online = 4
        self.assertNotIn(taken, {self.choose() for _ in range(12)})

    def test_a_worker_with_much_to_read_is_passed_over(self) -> None:
        for worker_id in self.mine:
            self.directory.workers[worker_id].own_prefill_tokens = 100_000
        self.assertNotIn(self.choose(Prompt((PromptPart("p", 100),))), self.mine)

    def test_workers_that_left_or_came_are_dealt_anew(self) -> None:
        gone = next(iter(self.mine))
        self.directory.remove(gone, 9, 1.0)
        self.sharing.tick(1.1)
        self.assertNotIn(gone, self.directory.chooser.own_slots)
        self.assertEqual(14, sum(self.directory.chooser.own_slots.values()))

    def test_batch_items_take_own_slots_first_too(self) -> None:
        worker = self.directory.choose_below_utilization("llm", 1.0, 1.0)
        assert worker is not None
        self.assertIn(worker.record.worker_id, self.mine)
