"""Routes, shares, the choice of a worker and the list of workers, without I/O."""

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


class Routes(TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        outer = route(RequestKind.STREAM, name="outer", path_prefix="/a/")
        inner = route(RequestKind.STREAM, name="inner", path_prefix="/a/b/")
        other = route(RequestKind.STREAM, name="other", host="other.example", path_prefix="/a/b/c/")
        found = configuration(outer, inner, other)
        cases = {"/a/x": outer, "/a/b/x": inner, "/a/b/c/x": inner, "/a/b": outer, "/b/": None}
        for path, expected in cases.items():
            with self.subTest(path):
                self.assertEqual(expected, found.match(HOST, path))
        self.assertEqual(inner, found.match(HOST.upper() + ":80", "/a/b/x"))
        self.assertIsNone(found.match("unknown.example", "/a/x"))

    def test_shares_are_exact_over_each_hundred(self) -> None:
        shares = (ServiceShare("a", 90.0), ServiceShare("b", 10.0))
        used = route(RequestKind.STREAM, shares=shares)
        chooser = WeightedServiceChooser(random.Random(1))
        counts = Counter(chooser.choose(used) for _ in range(1000))
        self.assertTrue(abs(counts["b"] - 100) <= 1, counts)

    def test_changed_weights_are_in_force_at_once(self) -> None:
        chooser = WeightedServiceChooser(random.Random(1))
        before = route(RequestKind.STREAM, shares=(ServiceShare("a", 1.0), ServiceShare("b", 1.0)))
        after = replace(before, shares=(ServiceShare("a", 0.001), ServiceShare("b", 1.0)))
        for _ in range(9):
            chooser.choose(before)
        counts = Counter(chooser.choose(after) for _ in range(100))
        self.assertTrue(counts["b"] >= 99, counts)


class Choice(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.directory = WorkerDirectory("zone-a", random.Random(3), withdrawn_grace_s=1.0)
        for number in range(3):
            self.directory.put(worker_record(number), 0.0)

    def choose(self, prompt: str | None = None, tried: set[str] | None = None, now_s: float = 0.0):  # type: ignore[no-untyped-def]
        found = self.directory.choose(
            "llm", parse_prompt(prompt) if prompt else EMPTY_PROMPT, tried or set(), now_s
        )
        return found.record.worker_id if found else None

    def test_least_loaded(self) -> None:
        self.directory.workers["w0"].in_flight = 2
        self.directory.workers["w1"].in_flight = 1
        self.assertEqual("w2", self.choose())
        self.assertEqual("w1", self.choose(tried={"w2"}))
        self.assertIsNone(self.choose(tried={"w0", "w1", "w2"}))

    def test_load_report_counts_with_what_was_sent_since(self) -> None:
        worker = self.directory.workers["w0"]
        worker.in_flight = 2
        worker.note_load(LoadReport(3, 1, 4), 10.0)
        worker.in_flight = 3
        self.assertEqual(5.0, worker.estimated_load(10.5))
        self.assertEqual(3.0, worker.estimated_load(20.0), "an old report says nothing")

    def test_of_equal_loads_the_worker_that_is_not_slowed_down_is_chosen(self) -> None:
        """Workers share their machines with others: some take 2.5 times as long for a moment."""
        for number in range(3):
            worker = self.directory.workers[f"w{number}"]
            worker.in_flight = 2
            worker.note_load(LoadReport(2, 0, 4, 1.0 if number == 1 else 2.5), 10.0)
        self.assertEqual({"w1"}, {self.choose(now_s=10.1) for _ in range(20)})
        self.assertTrue(self.directory.workers["w0"].slowdown(30.0) < 1.1, "one word fades")

    def test_of_idle_workers_the_one_that_is_not_slowed_down_is_chosen(self) -> None:
        for number in (0, 2):
            self.directory.workers[f"w{number}"].note_load(LoadReport(0, 0, 4, 2.0), 10.0)
        self.assertEqual({"w1"}, {self.choose(now_s=10.1) for _ in range(20)})

    def test_a_slowdown_fades_to_what_the_worker_usually_says(self) -> None:
        worker = self.directory.workers["w0"]
        for tenth in range(200):
            worker.note_load(LoadReport(1, 0, 4, 2.0), tenth / 10)
        worker.note_load(LoadReport(1, 0, 4, 1.0), 20.0)
        self.assertAlmostEqual(1.0, worker.slowdown(20.0))
        self.assertAlmostEqual(1.95, worker.slowdown(25.0), delta=0.01)

    def test_a_lying_worker_draws_and_shuns_a_bounded_part(self) -> None:
        for told, bound in ((0.0001, 0.5), (10**6, 4.0)):
            worker = self.directory.workers["w0"]
            worker.note_load(LoadReport(1, 0, 4, told), 10.0)
            self.assertAlmostEqual(bound, worker.slowdown(10.0))
        self.assertEqual(1.0, self.directory.workers["w1"].slowdown(10.0), "says nothing")

    def test_what_peers_have_in_flight_counts(self) -> None:
        sharing = LoadSharing(self.directory, Peer("own", "zone-a"), RecordingLink())
        keys = tuple(self.directory.workers[name].key for name in ("w0", "w1"))
        sharing.handle("peer", LoadDigest(keys, (2, 1), (0, 2)), 0.0)
        self.assertEqual("w2", self.choose())
        self.assertEqual(
            (1, 2), (self.directory.workers["w1"].online, self.directory.workers["w1"].batch)
        )
        sharing.tick(100.0)
        self.assertEqual(0, self.directory.workers["w1"].known, "a silent peer has nothing there")

    def test_shared_prompt_goes_home_until_home_is_full(self) -> None:
        prompt = "aa:5000,bb:100"
        home = self.choose(prompt)
        self.assertEqual({home}, {self.choose(prompt) for _ in range(20)})
        self.directory.workers[home].in_flight = 4
        self.assertNotEqual(home, self.choose(prompt))

    def test_small_shared_prompt_is_spread(self) -> None:
        self.directory.workers["w0"].in_flight = 1
        self.directory.workers["w1"].in_flight = 1
        self.assertEqual("w2", self.choose("aa:10,bb:100"))

    def test_a_worker_that_reads_a_long_prompt_is_avoided(self) -> None:
        """Free slots say nothing of the reading that a short prompt would wait for."""
        for name in ("w1", "w2"):
            self.directory.workers[name].in_flight = 1
        reading = PendingPrefill(self.directory.workers["w0"], parse_prompt("aa:9000,bb:4000"))
        self.assertEqual({"w1", "w2"}, {self.choose("cc:100,dd:400") for _ in range(20)})
        reading.end()
        reading.end()
        self.assertEqual("w0", self.choose("cc:100,dd:400"))

    def test_reading_that_peers_tell_of_counts(self) -> None:
        sharing = LoadSharing(self.directory, Peer("own", "zone-a"), RecordingLink())
        keys = tuple(worker.key for worker in self.directory.workers.values())
        sharing.handle("peer", LoadDigest(keys, (0,) * 3, (0,) * 3, unread=(200, 0, 200)), 0.0)
        self.assertEqual({"w1"}, {self.choose("cc:100,dd:400") for _ in range(20)})

    def test_absurd_claims_of_a_peer_hide_nothing_and_draw_no_work(self) -> None:
        sharing = LoadSharing(self.directory, Peer("own", "zone-a"), RecordingLink())
        keys = tuple(worker.key for worker in self.directory.workers.values())
        nothing = (0,) * 3
        sharing.handle("sound", LoadDigest(keys, nothing, nothing, unread=(200, 0, 0)), 0.0)
        absurd = LoadDigest(keys, nothing, nothing, unread=(-(10**9), 0, 10**12))
        sharing.handle("absurd", absurd, 0.0)
        self.assertEqual({"w1"}, {self.choose("cc:100,dd:400") for _ in range(20)})
        self.assertEqual(200 * TOKENS_PER_BLOCK, self.directory.workers["w0"].unread)

    def test_a_short_queue_of_prompts_is_tolerated_for_an_even_load(self) -> None:
        self.directory.workers["w1"].in_flight = 2
        self.directory.workers["w2"].in_flight = 2
        PendingPrefill(self.directory.workers["w0"], parse_prompt("aa:100,bb:400"))
        self.assertEqual("w0", self.choose("cc:100,dd:400"))

    def test_home_is_left_only_for_more_reading_than_it_saves(self) -> None:
        prompt = "aa:5000,bb:100"
        home = self.choose(prompt)
        PendingPrefill(self.directory.workers[home], parse_prompt("cc:4900,dd:50"))
        self.assertEqual(home, self.choose(prompt))
        PendingPrefill(self.directory.workers[home], parse_prompt("cc:4900,dd:50"))
        self.assertNotEqual(home, self.choose(prompt))

    def test_unreachable_worker_is_avoided_for_a_while(self) -> None:
        self.directory.workers["w1"].in_flight = 3
        self.directory.workers["w2"].in_flight = 3
        self.directory.workers["w0"].note_connect_failed(0.0)
        self.assertNotEqual("w0", self.choose())
        self.assertEqual("w0", self.choose(now_s=1.5))

    def test_draining_worker_gets_nothing_new(self) -> None:
        self.directory.put(worker_record(0, draining=True, version=2), 5.0)
        self.assertNotEqual("w0", self.choose(tried={"w1"}, now_s=5.0))

    def test_older_record_does_not_bring_a_draining_worker_back(self) -> None:
        self.directory.put(worker_record(0, draining=True, version=3), 5.0)
        self.directory.put(worker_record(0, version=2), 6.0)
        self.assertIsNone(self.choose(tried={"w1", "w2"}, now_s=7.0))

    def test_list_that_loses_all_workers_leaves_them_usable_for_a_moment(self) -> None:
        for number in range(3):
            self.directory.remove(f"w{number}", 2, 10.0)
        self.assertIsNotNone(self.choose(now_s=10.9))
        self.assertIsNone(self.choose(now_s=11.1))
        self.directory.put(worker_record(0, version=3), 11.2)
        self.assertEqual("w0", self.choose(now_s=11.3))

    def test_a_worker_that_starts_again_under_its_id_begins_anew(self) -> None:
        """What was known of the process before says nothing of the new one."""
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
        self.assertNotEqual(before.key, after.key, "peers' counts of the former do not apply")
        self.directory.put(worker_record(0, started_at_ms=0, version=5), 5.3)
        self.assertIs(after, self.directory.workers["w0"], "a row that does not tell says nothing")
        self.assertEqual(200, after.record.started_at_ms)
        self.assertFalse(self.directory.put(worker_record(0, started_at_ms=100, version=3), 5.3))
        self.assertIs(after, self.directory.workers["w0"], "an older row brings nothing back")

    def test_complete_list_drops_what_it_lacks(self) -> None:
        self.directory.replace_all([worker_record(2, version=9)], 10.0)
        self.assertEqual({"w2"}, {self.choose(now_s=10.1) for _ in range(10)})
        self.directory.sweep(30.0)
        self.assertEqual(["w2"], list(self.directory.workers))
