"""Tests of outlier ejection by the outcomes that all daemons have seen."""

from __future__ import annotations

import random

from testtools import TestCase

from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.worker_health import eject_outliers, new_health
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import LoadDigest
from tests.serving.test_routing import worker_record
from tests.stand_ins.digest_link import RecordingLink


class OutlierEjection(TestCase):
    def ejected(self, *outcomes: tuple[int, int]) -> list[int]:
        """Return the indexes of the workers that are ejected after (succeeded, failed) outcomes."""
        workers = [new_health() for _ in outcomes]
        for health, (succeeded, failed) in zip(workers, outcomes, strict=True):
            for _ in range(succeeded):
                health.own.add(1.0, failed=False)
            for _ in range(failed):
                health.own.add(1.0, failed=True)
        eject_outliers(workers, 1.0)
        return [index for index, health in enumerate(workers) if health.is_ejected(1.0)]

    def test_ejected_workers_by_outcomes(self) -> None:
        cases = {
            "one fails far more often": (((10, 0), (10, 0), (6, 4)), [2]),
            "all fail alike": (((6, 4), (6, 4), (6, 4)), []),
            "too few outcomes": (((10, 0), (10, 0), (0, 4)), []),
            "low failure rate": (((10, 0), (10, 0), (18, 2)), []),
            "half of them fail": (((6, 4), (4, 6), (10, 0), (10, 0)), [0, 1]),
            "two of three fail: median too high": (((6, 4), (4, 6), (10, 0)), []),
            "most fail: some other cause": (((6, 4), (4, 6), (5, 5), (10, 0)), []),
            "a single worker": (((0, 9),), []),
        }
        for name, (outcomes, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, self.ejected(*outcomes), name)

    def test_repeated_ejections_last_longer_and_outcomes_decay(self) -> None:
        health = new_health()
        for _ in range(10):
            health.own.add(0.0, failed=True)
        health.eject(0.0)
        first_s = health.ejection_s
        health.eject(first_s + 1)
        self.assertEqual(2 * first_s, health.ejection_s)
        health.own.decay(60.0)
        self.assertEqual(0.0, health.failure_rate)
        health.eject(100.0)
        self.assertEqual(first_s, health.ejection_s)


class OutcomeSharing(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("zone-a", random.Random(3))
        for number in range(3):
            self.directory.put(worker_record(number), 0.0)
        link = RecordingLink(Peer("own", "zone-a"), Peer("peer", "zone-a"))
        self.sent = link.digests
        self.sharing = LoadSharing(self.directory, Peer("own", "zone-a"), link)
        self.keys = tuple(self.directory.workers[f"w{n}"].key for n in range(3))

    def chosen_workers(self, now_s: float) -> set[str]:
        workers = [self.directory.choose("llm", EMPTY_PROMPT, set(), now_s) for _ in range(30)]
        return {worker.record.worker_id for worker in workers if worker}

    def test_outcomes_of_peers_cause_ejection(self) -> None:
        zeros = (0, 0, 0)
        digest = LoadDigest(self.keys, zeros, zeros, (40, 40, 20), (0, 0, 20))
        self.sharing.handle("peer", digest, 1.0)
        self.assertEqual(1, len(self.directory.eject_failing_workers(1.0)))
        self.assertEqual({"w0", "w1"}, self.chosen_workers(1.0))
        self.assertEqual({"w0", "w1", "w2"}, self.chosen_workers(9.0))

    def test_worker_that_a_peer_reports_as_unreachable_is_avoided(self) -> None:
        self.directory.workers["w1"].note_reply(1.0)
        self.sharing.handle("peer", LoadDigest((), (), (), (), (), self.keys[1:]), 1.1)
        self.assertEqual({"w0", "w1"}, self.chosen_workers(1.1), "recent contact with w1")
        self.assertEqual({"w0", "w1", "w2"}, self.chosen_workers(2.5))

    def test_digest_contains_own_observations_only(self) -> None:
        self.directory.workers["w0"].note_connect_failed(1.0)
        self.directory.workers["w1"].note_peer_reported_unreachable(1.0)
        self.directory.workers["w2"].health.own.add(1.0, failed=True)
        self.sharing.tick(1.05)
        self.assertEqual((self.keys[0],), self.sent[-1].unreachable)
        self.assertEqual(((self.keys[2],), (3,)), (self.sent[-1].keys, self.sent[-1].failed))
