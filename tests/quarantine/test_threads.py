"""The threaded quarantine: crash checks, and suspects stored in the table for the next process."""

from __future__ import annotations

import time
from collections.abc import Callable
from unittest import mock

import testtools
from testtools import TestCase

from mountstand.clock import elapsed_s
from mountstand.errors import RequestQuarantined, StoreUnavailable
from mountstand.quarantine import threads
from mountstand.quarantine.threads import (
    CRASH_DEDUP_WINDOW_S,
    KEY_PREFIX,
    ContentQuarantine,
    TableSuspects,
)
from mountstand.store.memory_table import MemoryTable
from mountstand.store.ports import Machine, MachineRole, Put, Transaction
from mountstand.telemetry.metrics import DaemonMetrics
from tests.stand_ins.report_link import RecordingReportLink

CULPRIT, INNOCENT = 1, 2
WAIT_TIMEOUT_S = 5.0


def machine(number: int) -> Machine:
    """Return a machine as the platform lists it."""
    return Machine(
        machine_id=f"engine-{number}",
        role=MachineRole.ENGINE,
        address="127.0.0.1",
        port=1,
        zone="a",
    )


class FaultyTable(MemoryTable):
    """A table that can be made unavailable for writes."""

    unavailable = False

    def commit(self, transaction: Transaction):  # type: ignore[no-untyped-def]
        if self.unavailable:
            raise StoreUnavailable()
        return super().commit(transaction)


class Quarantine(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = FaultyTable()
        self.crashed = True

    def start(self) -> ContentQuarantine:
        """Start a quarantine that uses the table, as in a new process."""
        quarantine = ContentQuarantine(
            "a",
            RecordingReportLink(),
            TableSuspects(self.table),
            lambda machine: self.crashed,
            DaemonMetrics(),
            1,
        )
        quarantine.start()
        self.addCleanup(quarantine.stop)
        return quarantine

    def wait_until(self, condition: Callable[[], bool], description: str) -> None:
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            if time.monotonic() > deadline_s:
                raise AssertionError(f"not within {WAIT_TIMEOUT_S} s: {description}")
            time.sleep(0.02)

    def block(self, quarantine: ContentQuarantine) -> None:
        """Crash three machines, one after the other, while they run the culprit."""
        for number in range(3):
            quarantine.note_broken(machine(number), CULPRIT, elapsed_s())
            self.wait_until(
                lambda n=number: self.crashes(quarantine) == n + 1, "the crash is counted"
            )

    def test_sender_of_a_broken_request_learns_whether_its_worker_crashed(self) -> None:
        """A batch item's run that ended with its worker is not one of the item's attempts."""
        quarantine = self.start()
        self.assertTrue(quarantine.may_have_crashed(machine(0), CULPRIT, elapsed_s()))
        self.crashed = False
        self.assertFalse(quarantine.may_have_crashed(machine(1), CULPRIT, elapsed_s()))

    def test_crash_check_without_a_result_does_not_rule_out_a_crash(self) -> None:
        """Otherwise many crashes at once, or a stop, use up the attempts of sound items."""
        quarantine = self.start()
        with mock.patch.object(threads, "CRASH_CHECK_TIMEOUT_S", 0.01):
            self.assertTrue(quarantine.may_have_crashed(machine(0), CULPRIT, elapsed_s()))

    def test_stop_ends_the_wait_for_a_crash_check(self) -> None:
        quarantine = self.start()
        for number in range(50):
            waiting = quarantine.note_broken(machine(number), CULPRIT, elapsed_s())
        quarantine.stop()
        assert waiting is not None
        self.assertTrue(waiting.cancelled())

    def crashes(self, quarantine: ContentQuarantine) -> int:
        suspect = quarantine.suspects.by_content.get(CULPRIT)
        return len(suspect.crash_by_worker) if suspect else 0

    def is_blocked(self, quarantine: ContentQuarantine, content: int = CULPRIT) -> bool:
        try:
            quarantine.check(content)
        except RequestQuarantined as error:
            return bool(error.retry_after_s)
        return False

    def test_blocked_after_three_crashes_and_restored_in_the_next_process(self) -> None:
        quarantine = self.start()
        self.block(quarantine)
        self.assertTrue(self.is_blocked(quarantine))
        self.assertFalse(self.is_blocked(quarantine, INNOCENT))
        self.wait_until(
            lambda: bool(self.table.read(prefixes=(KEY_PREFIX,)).rows), "the row is stored"
        )
        self.wait_until(
            lambda: self.is_blocked(self.start()), "the next process blocks the culprit"
        )

    def test_unreadable_rows_are_skipped(self) -> None:
        unreadable_row = Put(key=f"{KEY_PREFIX}zz", value={"ends": 3})
        self.table.commit(Transaction(puts=[unreadable_row]))
        quarantine = self.start()
        self.block(quarantine)
        self.wait_until(
            lambda: len(self.table.read(prefixes=(KEY_PREFIX,)).rows) == 2, "the row is stored"
        )

    def test_failed_writes_are_retried_when_the_table_is_back(self) -> None:
        self.table.unavailable = True
        quarantine = self.start()
        self.block(quarantine)
        self.assertTrue(self.is_blocked(quarantine))
        self.table.unavailable = False
        self.wait_until(
            lambda: bool(self.table.read(prefixes=(KEY_PREFIX,)).rows), "the row is stored"
        )

    def test_machine_that_accepts_connections_has_not_crashed(self) -> None:
        self.crashed = False
        quarantine = self.start()
        quarantine.note_broken(machine(0), CULPRIT, elapsed_s())
        time.sleep(0.4)
        self.assertFalse(quarantine.suspects)

    def test_repeated_crashes_of_one_machine_each_count(self) -> None:
        """The machine keeps its id across restarts, as in a service with a single worker."""
        quarantine = self.start()
        for number in range(3):
            quarantine.note_broken(machine(0), CULPRIT, elapsed_s())
            self.wait_until(
                lambda n=number: self.crashes(quarantine) == n + 1, "the crash is counted"
            )
            time.sleep(CRASH_DEDUP_WINDOW_S if number < 2 else 0.0)
        self.assertTrue(self.is_blocked(quarantine))

    def test_complete_response_clears_the_content(self) -> None:
        quarantine = self.start()
        self.block(quarantine)
        quarantine.note_served(CULPRIT)
        self.assertFalse(self.is_blocked(quarantine))

    def test_strong_suspects_do_not_share_a_machine(self) -> None:
        quarantine = self.start()
        for number in range(2):
            for content in (CULPRIT, INNOCENT):
                quarantine.note_broken(machine(number), content, elapsed_s())
            self.wait_until(
                lambda n=number: self.crashes(quarantine) == n + 1, "the crash is counted"
            )
        reserved: dict[bool, int] = {True: 0, False: 0}
        for number in range(5, 25):
            with (
                quarantine.running(CULPRIT, machine(number)) as culprit_allowed,
                quarantine.running(INNOCENT, machine(number)) as innocent_allowed,
            ):
                self.assertNotEqual(
                    culprit_allowed, innocent_allowed, "each machine is reserved for one of them"
                )
                reserved[culprit_allowed] += 1
            with quarantine.running(INNOCENT, machine(number)) as allowed_alone:
                self.assertEqual(
                    innocent_allowed,
                    allowed_alone,
                    "the reservation also holds while the other is not running",
                )
        self.assertTrue(all(reserved.values()), "each of them has machines reserved")

    def test_error_names_the_content(self) -> None:
        quarantine = self.start()
        self.block(quarantine)
        with testtools.ExpectedException(RequestQuarantined, ".*0000000000000001.*"):
            quarantine.check(CULPRIT)
