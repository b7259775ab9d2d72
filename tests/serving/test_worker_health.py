"""Workers that fail far more often than others are ejected, by what all daemons saw."""

from __future__ import annotations

import random

from testtools import TestCase

from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.worker_health import judge, new_health
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import LoadDigest
from tests.serving.test_routing import worker_record
from tests.stand_ins.digest_link import RecordingLink


class Health(TestCase):
    def ejected(self, *outcomes: tuple[int, int]) -> list[int]:
        """Return the positions of workers ejected after (succeeded, failed) each."""
        workers = [new_health() for _ in outcomes]
        for health, (succeeded, failed) in zip(workers, outcomes, strict=True):
            for _ in range(succeeded):
                health.own.add(1.0, failed=False)
            for _ in range(failed):
                health.own.add(1.0, failed=True)
        judge(workers, 1.0)
        return [n for n, health in enumerate(workers) if health.is_ejected(1.0)]

    def test_table(self) -> None:
        cases = {
            "one far worse": (((10, 0), (10, 0), (6, 4)), [2]),
            "all alike": (((6, 4), (6, 4), (6, 4)), []),
            "too few outcomes": (((10, 0), (10, 0), (0, 4)), []),
            "seldom": (((10, 0), (10, 0), (18, 2)), []),
            "half of them": (((6, 4), (4, 6), (10, 0), (10, 0)), [0, 1]),
            "the worst of three": (((6, 4), (4, 6), (10, 0)), []),
            "most fail: hardly the workers": (((6, 4), (4, 6), (5, 5), (10, 0)), []),
            "a lone worker": (((0, 9),), []),
        }
        for name, (outcomes, expected) in cases.items():
            with self.subTest(name):
                self.assertEqual(expected, self.ejected(*outcomes), name)

    def test_each_ejection_lasts_longer_and_outcomes_fade(self) -> None:
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


class Sharing(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("zone-a", random.Random(3))
        for number in range(3):
            self.directory.put(worker_record(number), 0.0)
        link = RecordingLink(Peer("own", "zone-a"), Peer("peer", "zone-a"))
        self.sent = link.digests
        self.sharing = LoadSharing(self.directory, Peer("own", "zone-a"), link)
        self.keys = tuple(self.directory.workers[f"w{n}"].key for n in range(3))

    def chosen(self, now_s: float) -> set[str]:
        found = [self.directory.choose("llm", EMPTY_PROMPT, set(), now_s) for _ in range(30)]
        return {worker.record.worker_id for worker in found if worker}

    def test_peers_outcomes_eject(self) -> None:
        zeros = (0, 0, 0)
        digest = LoadDigest(self.keys, zeros, zeros, (40, 40, 20), (0, 0, 20))
        self.sharing.handle("peer", digest, 1.0)
        self.assertEqual(1, len(self.directory.eject_failing_workers(1.0)))
        self.assertEqual({"w0", "w1"}, self.chosen(1.0))
        self.assertEqual({"w0", "w1", "w2"}, self.chosen(9.0))

    def test_peers_word_that_a_worker_is_unreachable(self) -> None:
        self.directory.workers["w1"].note_reply(1.0)
        self.sharing.handle("peer", LoadDigest((), (), (), (), (), self.keys[1:]), 1.1)
        self.assertEqual({"w0", "w1"}, self.chosen(1.1), "w1 was heard from here")
        self.assertEqual({"w0", "w1", "w2"}, self.chosen(2.5))

    def test_own_observations_are_told_but_not_those_of_peers(self) -> None:
        self.directory.workers["w0"].note_connect_failed(1.0)
        self.directory.workers["w1"].note_peer_reported_unreachable(1.0)
        self.directory.workers["w2"].health.own.add(1.0, failed=True)
        self.sharing.tick(1.05)
        self.assertEqual((self.keys[0],), self.sent[-1].unreachable)
        self.assertEqual(((self.keys[2],), (3,)), (self.sent[-1].keys, self.sent[-1].failed))
