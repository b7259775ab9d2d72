"""Daemons that tell each other and the store which contents crash workers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from testtools import TestCase

from mountstand.quarantine.service import RequestQuarantine
from mountstand.quarantine.stored import MOST_ROWS, SUSPECTS_TABLE, StoredSuspects
from mountstand.quarantine.suspect import EVIDENCE_S, INITIAL_BLOCK_S
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.worker_ends import WorkerCrashDetector
from mountstand.serving.worker_protocol import Call
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, Transaction
from mountstand.store.watch import TableWatcher
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.wire.gossip import CrashReport
from tests.serving.test_worker_ends import call
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import PausedClockLoop, run_paused
from tests.stand_ins.report_link import Message, RecordingReportLink

CULPRIT = call("r1", b"crashes")
INNOCENT = call("r2", b"good")


def worker(number: int) -> Worker:
    """Return a worker of which nothing is known."""
    return Worker(WorkerRecord(f"w{number}", "llm", "127.0.0.1", 1, "a", 4, False, 1))


class Network:
    """Daemons that reach each other, but for datagrams that ``loses`` names."""

    def __init__(self, store: MemoryRowStore | None = None) -> None:
        self.store = store or MemoryRowStore()
        self.by_name: dict[str, Daemon] = {}
        self.loses: Callable[[str, str], bool] = lambda sender, receiver: False

    def add(self, name: str) -> Daemon:
        """Start a daemon; one of that name is replaced, and all that it knew is gone."""
        former = self.by_name.pop(name, None)
        if former is not None:
            former.kill()
        self.by_name[name] = Daemon(name, self)
        for daemon in self.by_name.values():
            daemon.link.peers = set(self.by_name) - {daemon.name}
        return self.by_name[name]

    def deliver(self, sender: str, message: Message, receiver: str) -> None:
        if receiver in self.by_name and not self.loses(sender, receiver):
            self.by_name[receiver].quarantine.handle(sender, message)

    def store_rows(self) -> list[str]:
        """Return the keys of the rows that are kept."""
        return [key.key for key in self.store.rows if key.table == SUSPECTS_TABLE]

    def blocking(self) -> list[str]:
        """Return the daemons that hold the culprit back."""
        return [
            name for name, d in sorted(self.by_name.items()) if d.quarantine.blocked_for_s(CULPRIT)
        ]


class Daemon:
    """One daemon's quarantine before a store."""

    def __init__(self, name: str, network: Network) -> None:
        self.name = name
        self.log = RecordingLog()
        self.link = RecordingReportLink()
        self.link.deliver = lambda message, receiver: network.deliver(name, message, receiver)
        metrics = ServingMetrics()
        self.quarantine = RequestQuarantine(
            name,
            WorkerCrashDetector(WorkerConnections(), metrics, self.log),
            self.link,
            random.Random(name),
            metrics,
            self.log,
        )
        loop = asyncio.get_running_loop()
        stored = StoredSuspects(
            self.quarantine.suspects, network.store, lambda: int(loop.time() * 1000), self.log
        )
        self.quarantine.attach_store(stored)
        watcher = TableWatcher(network.store, SUSPECTS_TABLE, [""], stored.apply, self.log)
        runs = (self.quarantine.run(), stored.run(), watcher.run())
        self.tasks = [asyncio.create_task(run) for run in runs]

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()

    def sees_end(self, number: int, *calls: Call) -> None:
        """See a worker end under requests, by default under the culprit alone.

        Those with different numbers ended a second apart, the tenth just now.
        """
        at_s = asyncio.get_running_loop().time() - 10.0 + number % 10
        sent_at_s = {each.content_key: at_s - 0.04 for each in calls or (CULPRIT,)}
        self.quarantine.on_worker_crash(worker(number), sent_at_s, at_s)


class Scenario(TestCase):
    """Runs a network on a paused clock."""

    def play(self, work: Callable[[Network], object], store: MemoryRowStore | None = None) -> None:
        async def scenario() -> None:
            network = Network(store)
            for name in "abcd":
                network.add(name)
            await work(network)  # type: ignore[misc]

        run_paused(scenario())


class Telling(Scenario):
    def test_ends_that_different_daemons_saw_add_up(self) -> None:
        async def work(network: Network) -> None:
            for number, name in enumerate("abc"):
                self.assertEqual([], network.blocking())
                network.by_name[name].sees_end(number)
            self.assertEqual(["a", "b", "c", "d"], network.blocking())
            self.assertEqual(0.0, network.by_name["d"].quarantine.blocked_for_s(INNOCENT))
            (line,) = network.by_name["d"].log.lines("request_quarantined")
            self.assertEqual(("c", 3), (line["source"], line["ends"]))

        self.play(work)

    def test_lost_datagrams_are_told_again(self) -> None:
        async def work(network: Network) -> None:
            first = {(a, b) for a in "abcd" for b in "abcd"}

            def loses(sender: str, receiver: str) -> bool:
                lost = (sender, receiver) in first
                first.discard((sender, receiver))
                return lost

            await asyncio.sleep(5.0)
            network.loses = loses
            for number, name in enumerate("abc"):
                network.by_name[name].sees_end(number)
            await asyncio.sleep(1.2)
            self.assertEqual(["a", "b", "c", "d"], network.blocking())

        self.play(work)

    def test_served_anywhere_clears_it_everywhere(self) -> None:
        async def work(network: Network) -> None:
            for number, name in enumerate("abc", start=7):
                network.by_name[name].sees_end(number, CULPRIT, INNOCENT)
            self.assertEqual(4, len(network.blocking()))
            await asyncio.sleep(2.0)
            network.by_name["d"].quarantine.note_served(CULPRIT)
            self.assertEqual([], network.blocking())
            await asyncio.sleep(20.0)
            self.assertEqual([], network.blocking())
            self.assertEqual([f"{INNOCENT.content_key:016x}"], network.store_rows())

        self.play(work)

    def test_a_content_that_ends_one_worker_is_told_in_few_bytes(self) -> None:
        async def work(network: Network) -> None:
            for number in range(1000):
                one_of_many = call("r", b"%d" % number)
                network.by_name["a"].sees_end(number, one_of_many)
            await asyncio.sleep(2.0)
            link = network.by_name["a"].link
            link.sent.clear()
            await asyncio.sleep(60.0)
            sent = [message for message, _ in link.sent if isinstance(message, CrashReport)]
            self.assertTrue(len(sent) <= 31, len(sent))
            self.assertEqual([], network.store_rows())

        self.play(work)


class Losses(Scenario):
    def test_a_daemon_that_starts_learns_from_the_others_without_the_store(self) -> None:
        async def work(network: Network) -> None:
            network.store.fault = lambda call: "refuse"
            for number in range(3):
                network.by_name["a"].sees_end(number)
            network.add("d")
            await asyncio.sleep(0.1)
            self.assertEqual(["a", "b", "c", "d"], network.blocking())

        self.play(work)

    def test_it_outlives_the_loss_of_all_daemons(self) -> None:
        async def work(network: Network) -> None:
            for number, name in enumerate("abc"):
                network.by_name[name].sees_end(number)
            await asyncio.sleep(1.0)
            for name in "abcd":
                network.by_name.pop(name).kill()
            await asyncio.sleep(30.0)
            for name in "abcd":
                network.add(name)
            await asyncio.sleep(1.0)
            self.assertEqual(["a", "b", "c", "d"], network.blocking())
            left_s = network.by_name["a"].quarantine.blocked_for_s(CULPRIT)
            self.assertTrue(INITIAL_BLOCK_S - 50 < left_s < INITIAL_BLOCK_S - 30, left_s)

        self.play(work)

    def test_what_the_store_did_not_take_is_written_when_it_is_back(self) -> None:
        async def work(network: Network) -> None:
            network.store.fault = lambda call: "refuse"
            for number in range(3):
                network.by_name["a"].sees_end(number)
            await asyncio.sleep(30.0)
            network.store.fault = lambda call: ""
            await asyncio.sleep(6.0)
            for name in "abcd":
                network.by_name.pop(name).kill()
            network.add("a")
            await asyncio.sleep(1.0)
            self.assertEqual(["a"], network.blocking())

        self.play(work)

    def test_daemons_that_are_cut_off_from_each_other_learn_from_the_store(self) -> None:
        async def work(network: Network) -> None:
            await asyncio.sleep(5.0)
            network.loses = lambda sender, receiver: {sender, receiver} & set("cd") != {"c", "d"}
            network.by_name["a"].sees_end(0)
            network.by_name["a"].sees_end(1)
            await asyncio.sleep(0.5)
            network.by_name["c"].sees_end(2)
            await asyncio.sleep(0.5)
            self.assertEqual(["a", "b", "c", "d"], network.blocking())

        self.play(work)

    def test_rows_go_when_their_contents_are_forgotten(self) -> None:
        async def work(network: Network) -> None:
            for number in range(3):
                network.by_name["a"].sees_end(number)
            await asyncio.sleep(1.0)
            self.assertEqual(1, len(network.store_rows()))
            await asyncio.sleep(INITIAL_BLOCK_S + EVIDENCE_S + 10)
            self.assertEqual([], network.store_rows())
            self.assertFalse(network.by_name["b"].quarantine.suspects)

        self.play(work)

    def test_a_row_that_cannot_be_read_is_passed_over(self) -> None:
        async def work(network: Network) -> None:
            key = RowKey(SUSPECTS_TABLE, "", "no number")
            await network.store.commit(Transaction(puts=[(key, b"{}")]))
            other = RowKey(SUSPECTS_TABLE, "", "00ff")
            await network.store.commit(Transaction(puts=[(other, b"[1]")]))
            for number in range(3):
                network.by_name["a"].sees_end(number)
            await asyncio.sleep(1.0)
            network.add("d")
            await asyncio.sleep(1.0)
            self.assertEqual(["a", "b", "c", "d"], network.blocking())

        self.play(work)

    def test_rows_are_bounded(self) -> None:
        async def work(network: Network) -> None:
            for content in range(MOST_ROWS + 100):
                bad = call("r", b"%d" % content)
                for number in range(2):
                    network.by_name["a"].sees_end(2 * content + number, bad)
                await asyncio.sleep(0.5)
            rows = network.store_rows()
            self.assertTrue(len(rows) <= MOST_ROWS, len(rows))

        self.play(work)


class Sleep(Scenario):
    def test_time_that_passes_at_once_counts(self) -> None:
        """As after a machine was suspended: a block that is over is over."""

        async def work(network: Network) -> None:
            for number in range(3):
                network.by_name["a"].sees_end(number)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, PausedClockLoop)
            loop.advance(INITIAL_BLOCK_S + 1)
            self.assertEqual([], network.blocking())

        self.play(work)
