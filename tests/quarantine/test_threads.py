"""The quarantine of the own interface: threads, the table, and what a new process finds there."""

from __future__ import annotations

import time
from collections.abc import Callable

import testtools
from testtools import TestCase

from mountstand.clock import elapsed_s
from mountstand.errors import RequestQuarantined, StoreUnavailable
from mountstand.quarantine.threads import KEY_PREFIX, SAME_END_S, ContentQuarantine, TableSuspects
from mountstand.store.memory_table import MemoryTable
from mountstand.store.ports import Machine, MachineRole, Put, Transaction
from mountstand.telemetry.metrics import DaemonMetrics
from tests.stand_ins.report_link import RecordingReportLink

BAD, GOOD = 1, 2
WAIT_S = 5.0


def machine(number: int) -> Machine:
    """Return a machine of the platform's list."""
    return Machine(
        machine_id=f"engine-{number}",
        role=MachineRole.ENGINE,
        address="127.0.0.1",
        port=1,
        zone="a",
    )


class AwayTable(MemoryTable):
    """A table that can be away."""

    away = False

    def commit(self, transaction: Transaction):  # type: ignore[no-untyped-def]
        if self.away:
            raise StoreUnavailable()
        return super().commit(transaction)


class Quarantine(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = AwayTable()
        self.ended = True

    def start(self) -> ContentQuarantine:
        """Start a daemon's quarantine before the table."""
        quarantine = ContentQuarantine(
            "a",
            RecordingReportLink(),
            TableSuspects(self.table),
            lambda machine: self.ended,
            DaemonMetrics(),
            1,
        )
        quarantine.start()
        self.addCleanup(quarantine.stop)
        return quarantine

    def wait(self, condition: Callable[[], bool], what: str) -> None:
        deadline_s = time.monotonic() + WAIT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise AssertionError(f"not so after {WAIT_S} s: {what}")
            time.sleep(0.02)

    def block(self, quarantine: ContentQuarantine) -> None:
        """Let three machines end under the bad content, one after the other."""
        for number in range(3):
            quarantine.note_broken(machine(number), BAD, elapsed_s())
            self.wait(lambda n=number: self.ends(quarantine) == n + 1, "the end is counted")

    def ends(self, quarantine: ContentQuarantine) -> int:
        suspect = quarantine.suspects.by_content.get(BAD)
        return len(suspect.crash_by_worker) if suspect else 0

    def is_blocked(self, quarantine: ContentQuarantine, content: int = BAD) -> bool:
        try:
            quarantine.check(content)
        except RequestQuarantined as error:
            return bool(error.retry_after_s)
        return False

    def test_blocked_by_three_ends_and_found_by_the_next_process(self) -> None:
        first = self.start()
        self.block(first)
        self.assertTrue(self.is_blocked(first))
        self.assertFalse(self.is_blocked(first, GOOD))
        self.wait(lambda: bool(self.table.read(prefixes=(KEY_PREFIX,)).rows), "it is kept")
        self.wait(lambda: self.is_blocked(self.start()), "the next process knows")

    def test_a_row_that_cannot_be_read_is_passed_over(self) -> None:
        bad_row = Put(key=f"{KEY_PREFIX}zz", value={"ends": 3})
        self.table.commit(Transaction(puts=[bad_row]))
        quarantine = self.start()
        self.block(quarantine)
        self.wait(lambda: len(self.table.read(prefixes=(KEY_PREFIX,)).rows) == 2, "it is kept")

    def test_what_the_table_did_not_take_is_written_when_it_is_back(self) -> None:
        self.table.away = True
        quarantine = self.start()
        self.block(quarantine)
        self.assertTrue(self.is_blocked(quarantine))
        self.table.away = False
        self.wait(lambda: bool(self.table.read(prefixes=(KEY_PREFIX,)).rows), "it is kept")

    def test_a_machine_that_accepts_connections_did_not_end(self) -> None:
        self.ended = False
        quarantine = self.start()
        quarantine.note_broken(machine(0), BAD, elapsed_s())
        time.sleep(0.4)
        self.assertFalse(quarantine.suspects)

    def test_one_machine_that_ends_again_and_again_counts_each_time(self) -> None:
        """A service with one worker, whose machine keeps its id."""
        quarantine = self.start()
        for number in range(3):
            quarantine.note_broken(machine(0), BAD, elapsed_s())
            self.wait(lambda n=number: self.ends(quarantine) == n + 1, "the end is counted")
            time.sleep(SAME_END_S if number < 2 else 0.0)
        self.assertTrue(self.is_blocked(quarantine))

    def test_a_whole_answer_clears(self) -> None:
        quarantine = self.start()
        self.block(quarantine)
        quarantine.note_served(BAD)
        self.assertFalse(self.is_blocked(quarantine))

    def test_strong_suspects_are_kept_apart(self) -> None:
        quarantine = self.start()
        for number in range(2):
            for content in (BAD, GOOD):
                quarantine.note_broken(machine(number), content, elapsed_s())
            self.wait(lambda n=number: self.ends(quarantine) == n + 1, "the end is counted")
        kept: dict[bool, int] = {True: 0, False: 0}
        for number in range(5, 25):
            with (
                quarantine.running(BAD, machine(number)) as first,
                quarantine.running(GOOD, machine(number)) as second,
            ):
                self.assertNotEqual(first, second, "a machine is for one of them")
                kept[first] += 1
            with quarantine.running(GOOD, machine(number)) as alone:
                self.assertEqual(second, alone, "also while the other does not run here")
        self.assertTrue(all(kept.values()), "each has machines to run at")

    def test_check_names_the_content(self) -> None:
        quarantine = self.start()
        self.block(quarantine)
        with testtools.ExpectedException(RequestQuarantined, ".*0000000000000001.*"):
            quarantine.check(BAD)
