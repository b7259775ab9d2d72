"""Failed attempts of batch items at the daemon that holds their range."""

from __future__ import annotations

import time
from contextlib import nullcontext
from unittest import mock

import orjson
from testtools import TestCase

from mountstand.batch.executor import STORE_RETRY_S, BatchExecutor
from mountstand.batch.owner_client import OwnerClient
from mountstand.batch.range_failures import RangeFailures
from mountstand.engines.port import BackendPort
from mountstand.errors import BackendFailed, StoreUnavailable
from mountstand.process_settings import BatchSettings
from mountstand.store.memory_table import MemoryObjects, MemoryTable
from mountstand.store.ports import Machine, MachineRole
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.wire.messages import (
    Confirmed,
    GrantedRanges,
    Message,
    PullRanges,
    RangeGrant,
    RangeKey,
    RenewedRanges,
    RenewRanges,
    ReportRange,
    WorkHint,
)

MAX_ATTEMPTS = 3
INPUT = "input/upload/000000"
KEY = RangeKey("tenant/job", 1, 0)
GRANT = RangeGrant(
    KEY, 0, 1, INPUT, "result/upload/000000", "llm", "tenant", 5, True, MAX_ATTEMPTS, 0.0
)
WORKER = Machine(
    machine_id="w", role=MachineRole.ENGINE, address="127.0.0.1", port=1, zone="z", service="llm"
)
WAIT_S = 10.0


class JobOwnerStandIn:
    """Grants one range and takes its report."""

    def __init__(self) -> None:
        self.grants = [GRANT]
        self.reports: list[ReportRange] = []

    def call(self, _owner_id: str, message: Message) -> Message:
        """Answer a message of the executor."""
        if isinstance(message, PullRanges):
            return GrantedRanges((self.grants.pop(),) if self.grants else (), 0)
        if isinstance(message, RenewRanges):
            return RenewedRanges(message.keys)
        assert isinstance(message, ReportRange)
        self.reports.append(message)
        return Confirmed(True)


class FailedAttempts(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.objects.put(INPUT, orjson.dumps({"custom_id": "a", "body": {"prompt": "p"}}))
        self.backend = mock.create_autospec(BackendPort, instance=True)
        self.backend.call.side_effect = BackendFailed("broke")
        self.owner = JobOwnerStandIn()
        router = mock.Mock()
        router.batch_slot_limit.return_value = 1
        router.batch_headroom.return_value = 1
        quarantine = mock.Mock()
        quarantine.running.return_value = nullcontext(True)
        quarantine.may_have_crashed.return_value = False
        assignment = mock.Mock()
        assignment.own_workers.return_value = [WORKER]
        owners = mock.create_autospec(OwnerClient, instance=True)
        owners.call.side_effect = self.owner.call
        self.executor = BatchExecutor(
            BatchSettings(),
            router,
            self.backend,
            self.table,
            self.objects,
            "daemon",
            assignment,
            owners,
            DaemonMetrics(),
            quarantine,
        )
        self.addCleanup(self.executor.stop)

    def start(self) -> None:
        """Start the executor and hint at the range."""
        self.executor.start()
        self.executor.handle_work_hint("owner", WorkHint(1, 0))

    def runs(self) -> int:
        """Return how often the item was sent to the worker."""
        return self.backend.call.call_count

    def wait_for_report(self) -> None:
        """Wait until the range is reported."""
        deadline_s = time.monotonic() + WAIT_S
        while not self.owner.reports:
            self.assertTrue(time.monotonic() < deadline_s, f"no report after {self.runs()} runs")
            time.sleep(0.02)

    def fail_before(self, count: int) -> None:
        """Store failed attempts of a former holder."""
        failures = RangeFailures(self.table, KEY)
        for _ in range(count):
            failures.add(0)
        failures.save()

    def check_runs_left(self, failures_before: int) -> None:
        """Check how often the item runs after failed attempts at former holders."""
        self.fail_before(failures_before)
        self.start()
        self.wait_for_report()
        self.assertEqual(MAX_ATTEMPTS - failures_before, self.runs())
        report = self.owner.reports[0]
        self.assertEqual((0, 1), (report.completed, report.failed))

    def test_attempts_of_former_holders_count(self) -> None:
        """Guards against attempts that begin anew at each holder of a range."""
        self.check_runs_left(failures_before=1)

    def test_item_without_attempts_left_does_not_run(self) -> None:
        """Guards against one more run at each holder of an item that has failed for good."""
        self.check_runs_left(failures_before=MAX_ATTEMPTS)

    def test_item_waits_until_its_failure_is_saved(self) -> None:
        """Guards against runs that no count knows of, while the table is away."""
        commit = self.table.commit

        def refuse_writes(transaction):
            if transaction.puts:
                raise StoreUnavailable("away")
            return commit(transaction)

        with mock.patch.object(self.table, "commit", refuse_writes):
            self.start()
            time.sleep(4 * STORE_RETRY_S)
            self.assertEqual(1, self.runs())
        self.wait_for_report()
        self.assertEqual(MAX_ATTEMPTS, self.runs())

    def test_range_is_reported_after_an_unexpected_error(self) -> None:
        """Guards against a range that is held for good, with results that nobody gets."""
        put = self.objects.put
        errors = [RuntimeError("unexpected")]

        def fail_once(name: str, body: bytes) -> None:
            if errors:
                raise errors.pop()
            put(name, body)

        with mock.patch.object(self.objects, "put", fail_once):
            self.start()
            self.wait_for_report()
