"""Background tasks stop together; the steps of a start and a stop are logged with their time."""

from __future__ import annotations

import threading
import time
from unittest import mock

from testtools import TestCase

from mountstand import background, steps
from mountstand.background import PeriodicTask, stop_tasks

INTERVAL_S = 60.0
JOIN_TIMEOUT_S = 0.3


class Stop(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.go_on = threading.Event()
        self.addCleanup(self.go_on.set)

    def start(self, name: str, *, hangs: bool) -> PeriodicTask:
        """Start a task, and wait until its first call has begun."""
        began = threading.Event()

        def work() -> None:
            began.set()
            if hangs:
                self.go_on.wait()

        task = PeriodicTask(name, INTERVAL_S, work)
        task.start()
        began.wait()
        return task

    def test_tasks_that_wait_for_their_interval_end_at_once(self) -> None:
        tasks = [self.start(f"idle-{number}", hangs=False) for number in range(3)]
        with self.assertNoLogs(background.logger):
            stop_tasks(tasks)

    def test_tasks_within_a_call_share_one_time_out(self) -> None:
        """Guards against a stop that takes as many time-outs as there are tasks."""
        tasks = [self.start(f"hung-{number}", hangs=True) for number in range(4)]
        with (
            mock.patch.object(background, "JOIN_TIMEOUT_S", JOIN_TIMEOUT_S),
            self.assertLogs(background.logger) as logged,
        ):
            started_s = time.monotonic()
            stop_tasks(tasks)
            took_s = time.monotonic() - started_s
        self.assertGreaterEqual(took_s, JOIN_TIMEOUT_S)
        self.assertLess(took_s, 2 * JOIN_TIMEOUT_S)
        told = [(record.getMessage(), record.task) for record in logged.records]
        expected = [("background task still runs", f"hung-{number}") for number in range(4)]
        self.assertEqual(expected, told)


class LoggedStep(TestCase):
    def logged(self, *, fails: bool) -> dict[str, object]:
        """Return the fields of a step's log line."""
        with self.assertLogs(steps.logger) as logged:
            try:
                with steps.logged_step("stop", "job owner"):
                    if fails:
                        raise ZeroDivisionError
            except ZeroDivisionError:
                pass
        [record] = logged.records
        self.assertEqual("stop step ended", record.getMessage())
        self.assertGreaterEqual(record.took_s, 0.0)
        return {"step": record.step, "failed": record.failed}

    def test_a_step_is_logged_whether_it_fails_or_not(self) -> None:
        for fails in (False, True):
            self.assertEqual({"step": "job owner", "failed": fails}, self.logged(fails=fails))
