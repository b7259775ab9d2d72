"""Many daemons spread requests by the same stale load snapshot."""

from __future__ import annotations

import random
from collections import Counter

from testtools import TestCase

from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.slot_demand import SlotDemand, WaitingCounts, WorkKind, service_key
from mountstand.serving.spread import (
    DurationAverages,
    deficits_below,
    stochastic_round,
    utilization_after,
)
from mountstand.serving.workers import WorkerDirectory
from tests.serving.test_routing import worker_record
from tests.stand_ins.digest_link import RecordingLink


class SpreadTest(TestCase):
    CASES = (
        ("no arrivals", [(0.5, 10), (0.2, 10)], 0.0, 0.2),
        ("least loaded worker is filled", [(0.5, 10), (0.2, 10)], 2.0, 0.4),
        ("both workers are filled", [(0.5, 10), (0.2, 10)], 5.0, 0.6),
        ("workers with more slots take more", [(0.0, 30), (0.0, 10)], 8.0, 0.2),
        ("single worker", [(1.5, 4)], 2.0, 2.0),
    )

    def test_utilization_after_arrivals(self) -> None:
        for name, utilizations, arrivals, expected in self.CASES:
            with self.subTest(name):
                level = utilization_after(utilizations, arrivals)
                self.assertAlmostEqual(expected, level)
                self.assertAlmostEqual(arrivals, sum(deficits_below(utilizations, level)))

    def test_stochastic_round_keeps_the_mean(self) -> None:
        rng = random.Random(5)
        rounded = [stochastic_round(2.25, rng) for _ in range(4000)]
        self.assertEqual({2, 3}, set(rounded))
        self.assertTrue(2.2 < sum(rounded) / 4000 < 2.3)

    def test_expected_arrivals_follow_littles_law(self) -> None:
        durations = DurationAverages()
        self.assertEqual(
            0.0, durations.estimated_recent_starts("llm", 90, 0.3), "no duration is known yet"
        )
        durations.observe("llm", 0.9)
        self.assertAlmostEqual(30.0, durations.estimated_recent_starts("llm", 90, 0.3))


class StaleLoadSnapshotTest(TestCase):
    """Ninety daemons choose by the same snapshot, before any learns of the others' choices."""

    WORKERS = 36
    DAEMONS = 90

    def directory(self, seed: int) -> WorkerDirectory:
        directory = WorkerDirectory("zone-a", random.Random(seed))
        directory.chooser.peer_load_age_s = 0.3
        directory.chooser.durations.observe("llm", 0.9)
        for i in range(self.WORKERS):
            directory.put(worker_record(i, slots=9), 0.0)
            directory.workers[f"w{i}"].peer_online = 5 + i % 6
        return directory

    def test_requests_spread_evenly_by_stale_snapshot(self) -> None:
        load_by_id = Counter({f"w{i}": 5 + i % 6 for i in range(self.WORKERS)})
        for seed in range(self.DAEMONS):
            worker = self.directory(seed).choose("llm", EMPTY_PROMPT, set(), 0.0)
            assert worker is not None
            load_by_id[worker.record.worker_id] += 1
        mean_load = sum(load_by_id.values()) / self.WORKERS
        self.assertLessEqual(max(load_by_id.values()), mean_load + 6, load_by_id)
        self.assertGreaterEqual(min(load_by_id.values()), mean_load - 5, load_by_id)

    def test_fresh_snapshot_selects_least_loaded_workers(self) -> None:
        chosen: list[int] = []
        for seed in range(self.DAEMONS):
            directory = self.directory(seed)
            directory.chooser.peer_load_age_s = 0.01
            worker = directory.choose("llm", EMPTY_PROMPT, set(), 0.0)
            assert worker is not None
            chosen.append(worker.peer_online)
        mean = sum(chosen) / len(chosen)
        self.assertLess(mean, 6.1, "the minimum of four samples from 5 to 10 averages 5.8")

    def test_batch_items_spread_over_workers_with_free_slots(self) -> None:
        granted: Counter[str] = Counter()
        for seed in range(self.DAEMONS):
            worker = self.directory(seed).choose_below_utilization("llm", 0.9, 0.0)
            assert worker is not None
            granted[worker.record.worker_id] += 1
        self.assertEqual({0, 1, 2}, {int(name[1:]) % 6 for name in granted})
        self.assertLessEqual(max(granted.values()), 14, granted)


class SlotDemandTest(TestCase):
    def test_waiting_counts_are_exchanged_in_digests(self) -> None:
        own, peer = Peer("own", "zone-a"), Peer("peer", "zone-a")
        directory = WorkerDirectory("zone-a", random.Random(1))
        directory.put(worker_record(0), 0.0)
        demand, link = SlotDemand(), RecordingLink(peer)
        sharing = LoadSharing(directory, own, link, {WorkKind.BATCH: demand})
        demand.own_by_service["llm"] = WaitingCounts(4, 2)
        sharing.tick(0.0)
        digest = link.digests[-1]
        position = digest.keys.index(service_key("llm", WorkKind.BATCH))
        self.assertEqual((4, 2), (digest.waiting[position], digest.late[position]))
        sharing.handle("peer", digest, 0.0)
        self.assertEqual(WaitingCounts(4, 2), demand.peers_by_service["llm"])
        sharing.tick(100.0)
        self.assertEqual(
            WaitingCounts(), demand.peers_by_service["llm"], "counts of an unresponsive peer expire"
        )

    CASES = (
        ("nothing waits", WaitingCounts(), WaitingCounts(), 10.0, 0.0),
        ("no waiting work at peers", WaitingCounts(20), WaitingCounts(), 10.0, 10.0),
        ("no more slots than waiting work", WaitingCounts(3), WaitingCounts(), 10.0, 3.0),
        ("proportional to on-time work", WaitingCounts(20), WaitingCounts(60), 10.0, 2.5),
        ("late work gets the remaining slots", WaitingCounts(0, 4), WaitingCounts(6, 4), 10.0, 2.0),
        ("no slots remain for late work", WaitingCounts(0, 4), WaitingCounts(12), 10.0, 0.0),
        ("on-time work before late work", WaitingCounts(2, 9), WaitingCounts(), 10.0, 10.0),
    )

    def test_own_share_of_free_slots(self) -> None:
        for name, own, peers, free_slots, expected in self.CASES:
            with self.subTest(name):
                demand = SlotDemand()
                demand.own_by_service["llm"] = own
                demand.peers_by_service["llm"] = peers
                self.assertAlmostEqual(expected, demand.own_share("llm", free_slots))
