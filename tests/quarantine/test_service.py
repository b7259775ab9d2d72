"""Sharing of crash suspects between daemons and through the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from testtools import TestCase

from mountstand.quarantine.batch_verdicts import CRASHES_TO_BLOCK_BATCH
from mountstand.quarantine.service import RequestQuarantine
from mountstand.quarantine.stored import (
    MAX_ROWS,
    PART_ROW_PREFIX,
    SUSPECTS_TABLE,
    StoredSuspects,
)
from mountstand.quarantine.suspect import INITIAL_BLOCK_S, SUSPECT_RETENTION_S
from mountstand.quarantine.workload import Workload
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.prompt import Prompt, PromptPart
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.worker_ends import BrokenRun, WorkerCrashDetector
from mountstand.serving.worker_protocol import Call
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, Transaction
from mountstand.store.watch import TableChange, TableWatcher
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.wire.gossip import CrashReport
from tests.serving.test_worker_ends import call
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import PausedClockLoop, run_paused
from tests.stand_ins.report_link import Message, RecordingReportLink

CULPRIT = call("r1", b"crashes")
ITEM = replace(CULPRIT, workload=Workload.BATCH)
INNOCENT = call("r2", b"good")


def worker(number: int) -> Worker:
    """Return a worker named after ``number``, without any state."""
    return Worker(WorkerRecord(f"w{number}", "llm", "127.0.0.1", 1, "a", 4, False, 1))


class Network:
    """Daemons connected by a network that drops datagrams for which ``drops`` is true."""

    def __init__(self, store: MemoryRowStore | None = None) -> None:
        self.store = store or MemoryRowStore()
        self.by_name: dict[str, Daemon] = {}
        self.drops: Callable[[str, str], bool] = lambda sender, receiver: False

    def add(self, name: str) -> Daemon:
        """Start a daemon without any state, in place of a running one of the same name."""
        former = self.by_name.pop(name, None)
        if former is not None:
            former.kill()
        self.by_name[name] = Daemon(name, self)
        for daemon in self.by_name.values():
            daemon.link.peers = set(self.by_name) - {daemon.name}
        return self.by_name[name]

    def deliver(self, sender: str, message: Message, receiver: str) -> None:
        if receiver in self.by_name and not self.drops(sender, receiver):
            self.by_name[receiver].quarantine.handle(sender, message)

    def store_rows(self) -> list[str]:
        """Return the keys of the stored rows."""
        return [key.key for key in self.store.rows if key.table == SUSPECTS_TABLE]

    def blocking_daemons(self) -> list[str]:
        """Return the names of the daemons that block the culprit, sorted."""
        return [
            name for name, d in sorted(self.by_name.items()) if d.quarantine.blocked_for_s(CULPRIT)
        ]


class Daemon:
    """One daemon's quarantine with its connections to the network and the store."""

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
        stored_parts = StoredSuspects(
            self.quarantine.parts.suspects,
            network.store,
            lambda: int(loop.time() * 1000),
            self.log,
            PART_ROW_PREFIX,
        )
        self.quarantine.attach_store(stored, stored_parts)

        def apply(change: TableChange) -> None:
            stored.apply(change)
            stored_parts.apply(change)

        watcher = TableWatcher(network.store, SUSPECTS_TABLE, [""], apply, self.log)
        runs = (self.quarantine.run(), stored.run(), stored_parts.run(), watcher.run())
        self.tasks = [asyncio.create_task(run) for run in runs]

    def kill(self) -> None:
        for task in self.tasks:
            task.cancel()

    def observe_crash(self, number: int, *calls: Call) -> None:
        """Observe a worker crash while it runs ``calls``, by default the culprit alone.

        Worker 0 crashed ten seconds ago, worker 1 a second later, and so on up to worker 9;
        higher numbers start over.
        """
        at_s = asyncio.get_running_loop().time() - 10.0 + number % 10
        run_by_content = {
            each.content_key: BrokenRun(at_s - 0.04, each.prompt.shared_keys)
            for each in calls or (CULPRIT,)
        }
        self.quarantine.on_worker_crash(worker(number), run_by_content, at_s)


class NetworkTestCase(TestCase):
    """Runs a network of four daemons on a paused clock."""

    def run_on_network(
        self, work: Callable[[Network], object], store: MemoryRowStore | None = None
    ) -> None:
        async def scenario() -> None:
            network = Network(store)
            for name in "abcd":
                network.add(name)
            await work(network)  # type: ignore[misc]

        run_paused(scenario())


class Sharing(NetworkTestCase):
    def test_crashes_observed_by_different_daemons_add_up(self) -> None:
        async def work(network: Network) -> None:
            for number, name in enumerate("abc"):
                self.assertEqual([], network.blocking_daemons())
                network.by_name[name].observe_crash(number)
            self.assertEqual(["a", "b", "c", "d"], network.blocking_daemons())
            self.assertEqual(0.0, network.by_name["d"].quarantine.blocked_for_s(INNOCENT))
            (line,) = network.by_name["d"].log.lines("request_quarantined")
            self.assertEqual(("c", 3), (line["source"], line["ends"]))

        self.run_on_network(work)

    def test_lost_datagrams_are_retransmitted(self) -> None:
        async def work(network: Network) -> None:
            drop_next = {(a, b) for a in "abcd" for b in "abcd"}

            def drops(sender: str, receiver: str) -> bool:
                drop = (sender, receiver) in drop_next
                drop_next.discard((sender, receiver))
                return drop

            await asyncio.sleep(5.0)
            network.drops = drops
            for number, name in enumerate("abc"):
                network.by_name[name].observe_crash(number)
            await asyncio.sleep(1.2)
            self.assertEqual(["a", "b", "c", "d"], network.blocking_daemons())

        self.run_on_network(work)

    def test_success_at_one_daemon_clears_the_content_at_all_daemons(self) -> None:
        async def work(network: Network) -> None:
            for number, name in enumerate("abc", start=7):
                network.by_name[name].observe_crash(number, CULPRIT, INNOCENT)
            self.assertEqual(4, len(network.blocking_daemons()))
            await asyncio.sleep(2.0)
            network.by_name["d"].quarantine.note_served(CULPRIT)
            self.assertEqual([], network.blocking_daemons())
            await asyncio.sleep(20.0)
            self.assertEqual([], network.blocking_daemons())
            self.assertEqual([f"{INNOCENT.content_key:016x}"], network.store_rows())

        self.run_on_network(work)

    def test_weak_suspects_cause_few_reports_and_no_rows(self) -> None:
        async def work(network: Network) -> None:
            for number in range(1000):
                weak_suspect = call("r", b"%d" % number)
                network.by_name["a"].observe_crash(number, weak_suspect)
            await asyncio.sleep(2.0)
            link = network.by_name["a"].link
            link.sent.clear()
            await asyncio.sleep(60.0)
            sent = [message for message, _ in link.sent if isinstance(message, CrashReport)]
            self.assertTrue(len(sent) <= 31, len(sent))
            self.assertEqual([], network.store_rows())

        self.run_on_network(work)


class Recovery(NetworkTestCase):
    def test_starting_daemon_learns_suspects_from_peers_without_the_store(self) -> None:
        async def work(network: Network) -> None:
            network.store.fault = lambda call: "refuse"
            for number in range(3):
                network.by_name["a"].observe_crash(number)
            network.add("d")
            await asyncio.sleep(0.1)
            self.assertEqual(["a", "b", "c", "d"], network.blocking_daemons())

        self.run_on_network(work)

    def test_block_survives_the_loss_of_all_daemons(self) -> None:
        async def work(network: Network) -> None:
            for number, name in enumerate("abc"):
                network.by_name[name].observe_crash(number)
            await asyncio.sleep(1.0)
            for name in "abcd":
                network.by_name.pop(name).kill()
            await asyncio.sleep(30.0)
            for name in "abcd":
                network.add(name)
            await asyncio.sleep(1.0)
            self.assertEqual(["a", "b", "c", "d"], network.blocking_daemons())
            remaining_s = network.by_name["a"].quarantine.blocked_for_s(CULPRIT)
            self.assertTrue(INITIAL_BLOCK_S - 50 < remaining_s < INITIAL_BLOCK_S - 30, remaining_s)

        self.run_on_network(work)

    def test_failed_writes_are_retried_when_the_store_is_back(self) -> None:
        async def work(network: Network) -> None:
            network.store.fault = lambda call: "refuse"
            for number in range(3):
                network.by_name["a"].observe_crash(number)
            await asyncio.sleep(30.0)
            network.store.fault = lambda call: ""
            await asyncio.sleep(6.0)
            for name in "abcd":
                network.by_name.pop(name).kill()
            network.add("a")
            await asyncio.sleep(1.0)
            self.assertEqual(["a"], network.blocking_daemons())

        self.run_on_network(work)

    def test_partitioned_daemons_learn_from_the_store(self) -> None:
        async def work(network: Network) -> None:
            await asyncio.sleep(5.0)
            network.drops = lambda sender, receiver: {sender, receiver} & set("cd") != {"c", "d"}
            network.by_name["a"].observe_crash(0)
            network.by_name["a"].observe_crash(1)
            await asyncio.sleep(0.5)
            network.by_name["c"].observe_crash(2)
            await asyncio.sleep(0.5)
            self.assertEqual(["a", "b", "c", "d"], network.blocking_daemons())

        self.run_on_network(work)

    def test_rows_are_removed_when_their_contents_expire(self) -> None:
        async def work(network: Network) -> None:
            for number in range(3):
                network.by_name["a"].observe_crash(number)
            await asyncio.sleep(1.0)
            self.assertEqual(1, len(network.store_rows()))
            await asyncio.sleep(INITIAL_BLOCK_S + SUSPECT_RETENTION_S + 10)
            self.assertEqual([], network.store_rows())
            self.assertFalse(network.by_name["b"].quarantine.suspects)

        self.run_on_network(work)

    def test_unreadable_rows_are_skipped(self) -> None:
        async def work(network: Network) -> None:
            key = RowKey(SUSPECTS_TABLE, "", "no number")
            await network.store.commit(Transaction(puts=[(key, b"{}")]))
            second_key = RowKey(SUSPECTS_TABLE, "", "00ff")
            await network.store.commit(Transaction(puts=[(second_key, b"[1]")]))
            for number in range(3):
                network.by_name["a"].observe_crash(number)
            await asyncio.sleep(1.0)
            network.add("d")
            await asyncio.sleep(1.0)
            self.assertEqual(["a", "b", "c", "d"], network.blocking_daemons())

        self.run_on_network(work)

    def test_rows_are_bounded(self) -> None:
        async def work(network: Network) -> None:
            for content in range(MAX_ROWS + 100):
                suspect = call("r", b"%d" % content)
                for number in range(2):
                    network.by_name["a"].observe_crash(2 * content + number, suspect)
                await asyncio.sleep(0.5)
            rows = network.store_rows()
            self.assertTrue(len(rows) <= MAX_ROWS, len(rows))

        self.run_on_network(work)


class PartsServedBefore(NetworkTestCase):
    def test_served_part_is_known_as_such_after_all_daemons_were_killed(self) -> None:
        """Guards against minutes without service for the part that all requests share."""
        prompt = Prompt((PromptPart("first", 1), PromptPart("own", 1)))
        sound = replace(INNOCENT, prompt=prompt)
        (part,) = prompt.shared_keys

        async def work(network: Network) -> None:
            daemon = network.by_name["a"]
            for number in range(3):
                daemon.observe_crash(number, replace(sound, body=b"%d" % number))
            await asyncio.sleep(1.0)
            daemon.quarantine.note_served(sound)
            await asyncio.sleep(1.0)
            for name in "abcd":
                network.by_name.pop(name).kill()
            restarted = network.add("a")
            await asyncio.sleep(1.0)
            suspect = restarted.quarantine.parts.suspects.by_content[part]
            self.assertTrue(suspect.was_served)
            self.assertEqual({}, suspect.crash_by_worker)
            self.assertEqual(0.0, restarted.quarantine.blocked_for_s(sound))

        self.run_on_network(work)


class Suspension(NetworkTestCase):
    def test_blocks_run_out_while_the_machine_is_suspended(self) -> None:
        async def work(network: Network) -> None:
            for number in range(3):
                network.by_name["a"].observe_crash(number)
            loop = asyncio.get_running_loop()
            assert isinstance(loop, PausedClockLoop)
            loop.advance(INITIAL_BLOCK_S + 1)
            self.assertEqual([], network.blocking_daemons())

        self.run_on_network(work)


class Resuming(NetworkTestCase):
    """Crashes under runs that go on with the output of earlier ones."""

    async def crash_runs(self, daemon: Daemon, *, resumed: bool, writes: bool = True) -> None:
        """Let the culprit's worker crash six times, each time some seconds into a run."""
        loop = asyncio.get_running_loop()
        for number in range(CRASHES_TO_BLOCK_BATCH):
            sent_at_s = loop.time()
            await asyncio.sleep(2.0)
            if writes:
                daemon.quarantine.note_writing(CULPRIT, loop.time() - 1.0, resumed=resumed)
            await asyncio.sleep(2.0)
            run = {CULPRIT.content_key: BrokenRun(sent_at_s)}
            daemon.quarantine.on_worker_crash(worker(number), run, loop.time())

    def test_item_whose_runs_get_on_is_not_blocked(self) -> None:
        """Guards against ten minutes of waiting for a sound item that met six crashes."""

        async def work(network: Network) -> None:
            daemon = network.by_name["a"]
            await self.crash_runs(daemon, resumed=True)
            self.assertEqual(0.0, daemon.quarantine.blocked_for_s(ITEM))
            await asyncio.sleep(1.0)
            self.assertEqual([], network.blocking_daemons())

        self.run_on_network(work)

    def test_item_whose_runs_write_nothing_is_blocked(self) -> None:
        """Guards against an item that crashes each worker at one place of its output."""

        async def work(network: Network) -> None:
            daemon = network.by_name["a"]
            await self.crash_runs(daemon, resumed=True, writes=False)
            self.assertEqual(INITIAL_BLOCK_S, daemon.quarantine.blocked_for_s(ITEM))

        self.run_on_network(work)

    def test_run_that_begins_anew_clears_no_content(self) -> None:
        """Guards against a request that crashes workers late in its output each time."""

        async def work(network: Network) -> None:
            daemon = network.by_name["a"]
            await self.crash_runs(daemon, resumed=False)
            self.assertGreaterEqual(daemon.quarantine.blocked_for_s(CULPRIT), INITIAL_BLOCK_S)

        self.run_on_network(work)
