"""Slots are partitioned evenly and mostly within zones, and own slots are used first."""

from __future__ import annotations

import random
from collections import Counter

from testtools import TestCase

from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.prompt import EMPTY_PROMPT, Prompt, PromptPart
from mountstand.serving.slot_shares import _rounded_quotient, partition_slots
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.workers import WorkerDirectory
from tests.serving.test_routing import worker_record
from tests.stand_ins.digest_link import RecordingLink

ZONES = ("a", "b", "c")
DAEMONS = [Peer(f"d{n:02d}", ZONES[n % 3]) for n in range(13)]


def workers(count: int, slots: int = 6) -> list[Worker]:
    """Return workers spread evenly over the zones."""
    return [
        Worker(
            WorkerRecord(f"w{n:02d}", "llm", "127.0.0.1", 9000 + n, ZONES[n % 3], slots, False, 1)
        )
        for n in range(count)
    ]


class SlotPartitionTest(TestCase):
    def test_range_ends_are_those_of_former_versions(self) -> None:
        """Guards against slots that two daemons of different versions both take for theirs."""
        for dividend in range(200):
            for divisor in range(1, 20):
                self.assertEqual(round(dividend / divisor), _rounded_quotient(dividend, divisor))

    def test_any_number_of_slots_is_divided(self) -> None:
        """Guards against daemons that hang for one worker with an absurd number of slots."""
        for slots in (2**53 + 1, 2**60 + 1, 2**63 + 1):
            with self.subTest(slots=slots):
                [slots_by_owner] = partition_slots(DAEMONS, workers(1, slots)).values()
                self.assertEqual(slots, sum(slots_by_owner.values()))
                self.assertEqual(len(DAEMONS), len(slots_by_owner))

    def test_every_slot_has_one_owner_and_shares_are_equal(self) -> None:
        for count in (1, 2, 6, 45, 46):
            with self.subTest(workers=count):
                fleet = workers(count)
                slots_by_owner_by_worker = partition_slots(DAEMONS, fleet)
                self.assertEqual({w.record.worker_id for w in fleet}, set(slots_by_owner_by_worker))
                self.assertEqual(
                    {6},
                    {
                        sum(slots_by_owner.values())
                        for slots_by_owner in slots_by_owner_by_worker.values()
                    },
                )
                totals = Counter({peer.member_id: 0 for peer in DAEMONS})
                for slots_by_owner in slots_by_owner_by_worker.values():
                    totals.update(slots_by_owner)
                self.assertLessEqual(max(totals.values()) - min(totals.values()), 1)

    def test_most_slots_are_in_their_owners_zone(self) -> None:
        fleet = workers(45)
        zone_by_id = {w.record.worker_id: w.record.zone for w in fleet}
        zone_by_daemon = {peer.member_id: peer.zone for peer in DAEMONS}
        same_zone_slots = sum(
            slots
            for worker_id, slots_by_owner in partition_slots(DAEMONS, fleet).items()
            for owner, slots in slots_by_owner.items()
            if zone_by_id[worker_id] == zone_by_daemon[owner]
        )
        self.assertGreater(same_zone_slots, 0.8 * 45 * 6)

    def test_partition_does_not_depend_on_input_order(self) -> None:
        fleet = workers(45)
        self.assertEqual(
            partition_slots(DAEMONS, fleet), partition_slots(DAEMONS[::-1], fleet[::-1])
        )

    def test_partition_is_empty_without_daemons_or_workers(self) -> None:
        self.assertEqual({}, partition_slots([], workers(6)))
        self.assertEqual({}, partition_slots(DAEMONS, []))


class OwnSlotChoiceTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("zone-a", random.Random(3))
        for number in range(8):
            self.directory.put(worker_record(number, slots=4), 0.0)
        link = RecordingLink(Peer("own", "zone-a"), Peer("peer", "zone-a"))
        self.sharing = LoadSharing(self.directory, Peer("own", "zone-a"), link)
        self.sharing.tick(1.0)
        self.own_workers = set(self.directory.chooser.own_slots)

    def choose(self, prompt: Prompt = EMPTY_PROMPT) -> str:
        worker = self.directory.choose("llm", prompt, set(), 1.0)
        assert worker is not None
        worker.in_flight += 1
        return worker.record.worker_id

    def test_own_slots_are_used_first_and_evenly(self) -> None:
        self.assertEqual(4, len(self.own_workers))
        chosen = [self.choose() for _ in range(16)]
        self.assertEqual({worker_id: 4 for worker_id in self.own_workers}, dict(Counter(chosen)))
        self.assertNotIn(self.choose(), self.own_workers)

    def test_own_slots_used_by_peers_are_not_free(self) -> None:
        taken = next(iter(self.own_workers))
        self.directory.workers[taken].peer_online = 4
        self.assertNotIn(taken, {self.choose() for _ in range(12)})

    def test_worker_with_many_pending_prompt_tokens_is_avoided(self) -> None:
        for worker_id in self.own_workers:
            self.directory.workers[worker_id].own_prefill_tokens = 100_000
        self.assertNotIn(self.choose(Prompt((PromptPart("p", 100),))), self.own_workers)

    def test_slots_are_repartitioned_when_worker_leaves(self) -> None:
        removed_id = next(iter(self.own_workers))
        self.directory.remove(removed_id, 9, 1.0)
        self.sharing.tick(1.1)
        self.assertNotIn(removed_id, self.directory.chooser.own_slots)
        self.assertEqual(14, sum(self.directory.chooser.own_slots.values()))

    def test_batch_items_use_own_slots_first(self) -> None:
        worker = self.directory.choose_below_utilization("llm", 1.0, 1.0)
        assert worker is not None
        self.assertIn(worker.record.worker_id, self.own_workers)
