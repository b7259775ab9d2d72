"""Tests of routes, traffic shares, worker selection and the worker directory, without I/O."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from testtools import TestCase

from mountstand.platform.worker_protocol import parse_prompt
from mountstand.serving.configuration import RequestKind, ServiceShare, WeightedServiceChooser
from mountstand.serving.load_counts import TOKENS_PER_BLOCK
from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.prompt import EMPTY_PROMPT
from mountstand.serving.worker import LoadReport, PendingPrefill, WorkerRecord
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import LoadDigest
from tests.stand_ins.digest_link import RecordingLink
from tests.stand_ins.harness import HOST, configuration, route


def worker_record(number: int, **changes: object) -> WorkerRecord:
    base = WorkerRecord(f"w{number}", "llm", "127.0.0.1", 9000 + number, "zone-a", 4, False, 1)
    return replace(base, **changes)  # type: ignore[arg-type]


class Routing(TestCase):
    def test_longest_matching_path_prefix_of_the_host_wins(self) -> None:
        outer = route(RequestKind.STREAM, name="outer", path_prefix="/a/")
        inner = route(RequestKind.STREAM, name="inner", path_prefix="/a/b/")
        other = route(RequestKind.STREAM, name="other", host="other.example", path_prefix="/a/b/c/")
        routes = configuration(outer, inner, other)
        cases = {"/a/x": outer, "/a/b/x": inner, "/a/b/c/x": inner, "/a/b": outer, "/b/": None}
        for path, expected in cases.items():
            with self.subTest(path):
                self.assertEqual(expected, routes.match(HOST, path))
        self.assertEqual(inner, routes.match(HOST.upper() + ":80", "/a/b/x"))
        self.assertIsNone(routes.match("unknown.example", "/a/x"))

    def test_traffic_split_is_exact_per_hundred_requests(self) -> None:
        shares = (ServiceShare("a", 90.0), ServiceShare("b", 10.0))
        split = route(RequestKind.STREAM, shares=shares)
        chooser = WeightedServiceChooser(random.Random(1))
        counts = Counter(chooser.choose(split) for _ in range(1000))
        self.assertTrue(abs(counts["b"] - 100) <= 1, counts)

    def test_changed_weights_apply_immediately(self) -> None:
        chooser = WeightedServiceChooser(random.Random(1))
        before = route(RequestKind.STREAM, shares=(ServiceShare("a", 1.0), ServiceShare("b", 1.0)))
        after = replace(before, shares=(ServiceShare("a", 0.001), ServiceShare("b", 1.0)))
        for _ in range(9):
            chooser.choose(before)
        counts = Counter(chooser.choose(after) for _ in range(100))
        self.assertTrue(counts["b"] >= 99, counts)


class WorkerSelection(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("zone-a", random.Random(3), withdrawn_grace_s=1.0)
        for number in range(3):
            self.directory.put(worker_record(number), 0.0)

    def choose(self, prompt: str | None = None, tried: set[str] | None = None, now_s: float = 0.0):  # type: ignore[no-untyped-def]
        worker = self.directory.choose(
            "llm", parse_prompt(prompt) if prompt else EMPTY_PROMPT, tried or set(), now_s
        )
        return worker.record.worker_id if worker else None

    def test_least_loaded_worker_is_chosen(self) -> None:
        self.directory.workers["w0"].in_flight = 2
        self.directory.workers["w1"].in_flight = 1
        self.assertEqual("w2", self.choose())
        self.assertEqual("w1", self.choose(tried={"w2"}))
        self.assertIsNone(self.choose(tried={"w0", "w1", "w2"}))

    def test_estimated_load_adds_requests_sent_since_the_load_report(self) -> None:
        worker = self.directory.workers["w0"]
        worker.in_flight = 2
        worker.note_load(LoadReport(3, 1, 4), 10.0)
        worker.in_flight = 3
        self.assertEqual(5.0, worker.estimated_load(10.5))
        self.assertEqual(3.0, worker.estimated_load(20.0), "an outdated report is ignored")

    def test_at_equal_load_the_worker_without_slowdown_is_chosen(self) -> None:
        """Other tenants of a worker's machine may slow it down temporarily."""
        for number in range(3):
            worker = self.directory.workers[f"w{number}"]
            worker.in_flight = 2
            worker.note_load(LoadReport(2, 0, 4, 1.0 if number == 1 else 2.5), 10.0)
        self.assertEqual({"w1"}, {self.choose(now_s=10.1) for _ in range(20)})
        self.assertTrue(self.directory.workers["w0"].slowdown(30.0) < 1.1, "a single report decays")

    def test_among_idle_workers_the_one_without_slowdown_is_chosen(self) -> None:
        for number in (0, 2):
            self.directory.workers[f"w{number}"].note_load(LoadReport(0, 0, 4, 2.0), 10.0)
        self.assertEqual({"w1"}, {self.choose(now_s=10.1) for _ in range(20)})

    def test_slowdown_decays_to_the_average_of_the_worker(self) -> None:
        worker = self.directory.workers["w0"]
        for tenth in range(200):
            worker.note_load(LoadReport(1, 0, 4, 2.0), tenth / 10)
        worker.note_load(LoadReport(1, 0, 4, 1.0), 20.0)
        self.assertAlmostEqual(1.0, worker.slowdown(20.0))
        self.assertAlmostEqual(1.95, worker.slowdown(25.0), delta=0.01)

    def test_reported_slowdown_is_clamped(self) -> None:
        for reported, bound in ((0.0001, 0.5), (10**6, 4.0)):
            worker = self.directory.workers["w0"]
            worker.note_load(LoadReport(1, 0, 4, reported), 10.0)
            self.assertAlmostEqual(bound, worker.slowdown(10.0))
        self.assertEqual(1.0, self.directory.workers["w1"].slowdown(10.0), "no report")

    def test_in_flight_requests_of_peers_count(self) -> None:
        sharing = LoadSharing(self.directory, Peer("own", "zone-a"), RecordingLink())
        keys = tuple(self.directory.workers[name].key for name in ("w0", "w1"))
        sharing.handle("peer", LoadDigest(keys, (2, 1), (0, 2)), 0.0)
        self.assertEqual("w2", self.choose())
        self.assertEqual(
            (1, 2), (self.directory.workers["w1"].online, self.directory.workers["w1"].batch)
        )
        sharing.tick(100.0)
        self.assertEqual(
            0, self.directory.workers["w1"].total_in_flight, "counts of a silent peer expire"
        )

    def test_shared_prefix_goes_to_its_affinity_worker_until_it_is_full(self) -> None:
        prompt = "aa:5000,bb:100"
        preferred = self.choose(prompt)
        self.assertEqual({preferred}, {self.choose(prompt) for _ in range(20)})
        self.directory.workers[preferred].in_flight = 4
        self.assertNotEqual(preferred, self.choose(prompt))

    def test_small_shared_prefix_has_no_affinity(self) -> None:
        self.directory.workers["w0"].in_flight = 1
        self.directory.workers["w1"].in_flight = 1
        self.assertEqual("w2", self.choose("aa:10,bb:100"))

    def test_worker_in_prefill_of_a_long_prompt_is_avoided(self) -> None:
        """Guards against choosing a free slot behind the prefill of a long prompt."""
        for name in ("w1", "w2"):
            self.directory.workers[name].in_flight = 1
        prefill = PendingPrefill(self.directory.workers["w0"], parse_prompt("aa:9000,bb:4000"))
        self.assertEqual({"w1", "w2"}, {self.choose("cc:100,dd:400") for _ in range(20)})
        prefill.end()
        prefill.end()
        self.assertEqual("w0", self.choose("cc:100,dd:400"))

    def test_pending_prefill_reported_by_peers_counts(self) -> None:
        sharing = LoadSharing(self.directory, Peer("own", "zone-a"), RecordingLink())
        keys = tuple(worker.key for worker in self.directory.workers.values())
        sharing.handle("peer", LoadDigest(keys, (0,) * 3, (0,) * 3, unread=(200, 0, 200)), 0.0)
        self.assertEqual({"w1"}, {self.choose("cc:100,dd:400") for _ in range(20)})

    def test_absurd_prefill_of_one_peer_neither_hides_others_nor_attracts_work(self) -> None:
        sharing = LoadSharing(self.directory, Peer("own", "zone-a"), RecordingLink())
        keys = tuple(worker.key for worker in self.directory.workers.values())
        zeros = (0,) * 3
        sharing.handle("plausible", LoadDigest(keys, zeros, zeros, unread=(200, 0, 0)), 0.0)
        absurd = LoadDigest(keys, zeros, zeros, unread=(-(10**9), 0, 10**12))
        sharing.handle("absurd", absurd, 0.0)
        self.assertEqual({"w1"}, {self.choose("cc:100,dd:400") for _ in range(20)})
        self.assertEqual(
            200 * TOKENS_PER_BLOCK, self.directory.workers["w0"].pending_prefill_tokens
        )

    def test_little_pending_prefill_is_tolerated_for_an_even_load(self) -> None:
        self.directory.workers["w1"].in_flight = 2
        self.directory.workers["w2"].in_flight = 2
        PendingPrefill(self.directory.workers["w0"], parse_prompt("aa:100,bb:400"))
        self.assertEqual("w0", self.choose("cc:100,dd:400"))

    def test_affinity_worker_is_left_only_when_its_pending_prefill_exceeds_the_prefix(self) -> None:
        prompt = "aa:5000,bb:100"
        preferred = self.choose(prompt)
        PendingPrefill(self.directory.workers[preferred], parse_prompt("cc:4900,dd:50"))
        self.assertEqual(preferred, self.choose(prompt))
        PendingPrefill(self.directory.workers[preferred], parse_prompt("cc:4900,dd:50"))
        self.assertNotEqual(preferred, self.choose(prompt))

    def test_unreachable_worker_is_avoided_during_backoff(self) -> None:
        self.directory.workers["w1"].in_flight = 3
        self.directory.workers["w2"].in_flight = 3
        self.directory.workers["w0"].note_connect_failed(0.0)
        self.assertNotEqual("w0", self.choose())
        self.assertEqual("w0", self.choose(now_s=1.5))

    def test_draining_worker_gets_no_new_requests(self) -> None:
        self.directory.put(worker_record(0, draining=True, version=2), 5.0)
        self.assertNotEqual("w0", self.choose(tried={"w1"}, now_s=5.0))

    def test_outdated_record_does_not_reactivate_a_draining_worker(self) -> None:
        self.directory.put(worker_record(0, draining=True, version=3), 5.0)
        self.directory.put(worker_record(0, version=2), 6.0)
        self.assertIsNone(self.choose(tried={"w1", "w2"}, now_s=7.0))

    def test_workers_stay_usable_for_the_grace_period_when_the_list_loses_all(self) -> None:
        for number in range(3):
            self.directory.remove(f"w{number}", 2, 10.0)
        self.assertIsNotNone(self.choose(now_s=10.9))
        self.assertIsNone(self.choose(now_s=11.1))
        self.directory.put(worker_record(0, version=3), 11.2)
        self.assertEqual("w0", self.choose(now_s=11.3))

    def test_worker_restarted_under_the_same_id_has_fresh_state(self) -> None:
        """Guards against applying load, backoff or ejection of the old process to the new one."""
        self.directory.put(worker_record(0, started_at_ms=100, version=2), 5.0)
        before = self.directory.workers["w0"]
        before.note_load(LoadReport(4, 9, 4), 5.0)
        before.note_connect_failed(5.0)
        before.health.eject(5.0)
        self.directory.put(worker_record(0, started_at_ms=100, version=3), 5.1)
        self.assertIs(before, self.directory.workers["w0"], "the same process")
        self.assertTrue(self.directory.put(worker_record(0, started_at_ms=200, version=4), 5.2))
        after = self.directory.workers["w0"]
        self.assertTrue(after.is_available(5.2))
        self.assertEqual(0.0, after.estimated_load(5.2))
        self.assertNotEqual(
            before.key, after.key, "counts of peers for the old process do not apply"
        )
        self.directory.put(worker_record(0, started_at_ms=0, version=5), 5.3)
        self.assertIs(after, self.directory.workers["w0"], "without a start time, no restart")
        self.assertEqual(200, after.record.started_at_ms)
        self.assertFalse(self.directory.put(worker_record(0, started_at_ms=100, version=3), 5.3))
        self.assertIs(after, self.directory.workers["w0"], "an outdated row is ignored")

    def test_complete_list_drops_unlisted_workers(self) -> None:
        self.directory.replace_all([worker_record(2, version=9)], 10.0)
        self.assertEqual({"w2"}, {self.choose(now_s=10.1) for _ in range(10)})
        self.directory.sweep(30.0)
        self.assertEqual(["w2"], list(self.directory.workers))
