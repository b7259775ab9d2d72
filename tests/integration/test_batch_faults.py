"""Batch jobs through kills, freezes and outages, on real processes at named points."""

from __future__ import annotations

import time

import orjson
from testtools import TestCase

from mountstand.checks.history import check_events
from mountstand.lab.batch_client import BatchClient, LabJob
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from tests.integration.helpers import (
    batch_lines,
    check_results,
    job,
    results,
    submit,
    wait_completed,
    wait_until,
)

DAEMON = {
    "batch": {"shards": 8, "lease_s": 1.0, "poll_s": 1.0, "commit_interval_s": 0.3},
    "membership": {"period_s": 0.25},
}


class BatchFaults(TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        plan = FleetPlan(
            daemons=3,
            engines=3,
            applications=0,
            proxied=True,
            daemon=DAEMON,
            engine={"step_s": 0.01, "slots": 16},
        )
        cls.fleet = Fleet(plan)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(self.heal)
        self.client = BatchClient(self.fleet)

    def heal(self) -> None:
        """Make everything whole again."""
        for url in (
            self.fleet.table_url,
            self.fleet.objects_url,
            self.fleet.table_proxy_control_url,
        ):
            self.fleet.set_faults(url)
        for engine in self.fleet.engines:
            self.fleet.set_proxy(engine)
            self.fleet.set_faults(engine.url)
        for daemon in self.fleet.daemons:
            self.fleet.thaw(daemon.daemon_id)
            if not self.fleet.processes[daemon.daemon_id].is_running:
                self.fleet.start_daemon(daemon)
        self.fleet.wait_ready(self.fleet.daemons)

    def owner_of(self, job_id: str, daemons=None):
        """Return the daemon that owns a job, once there is one among those that run."""
        found = []

        def owned() -> bool:
            for daemon in daemons or self.fleet.daemons:
                jobs = self.fleet.status(daemon, "owner")["jobs"]
                if any(line["job"] == f"default/{job_id}" for line in jobs):
                    found.append(daemon)
                    return True
            return False

        wait_until(owned, f"{job_id} has an owner")
        return found[0]

    def others(self, daemon):
        return [other for other in self.fleet.daemons if other is not daemon]

    def assert_clean(self) -> None:
        self.client.record_executions()
        report = check_events(self.client.events)
        self.assertTrue(report.is_clean, report)

    def test_kill_right_after_the_acknowledgement(self) -> None:
        daemon = self.fleet.daemons[0]
        lines = batch_lines(200, prefix="acknowledged")
        answer = submit(self.fleet, daemon, "acknowledged", lines)
        self.fleet.kill(daemon.daemon_id)
        self.assertEqual(201, answer.status, answer.data)
        other = self.fleet.daemons[1]
        wait_completed(self.fleet, other, "acknowledged")
        again = submit(self.fleet, other, "acknowledged", lines)
        self.assertEqual(200, again.status)
        check_results(results(self.fleet, other, "acknowledged"), 200, prefix="acknowledged")

    def test_kill_of_the_owner_and_then_of_the_next_owner(self) -> None:
        count = 3000
        submit(self.fleet, self.fleet.daemons[0], "twice", batch_lines(count, prefix="twice"))
        running = list(self.fleet.daemons)
        for _ in range(2):
            owner = self.owner_of("twice", running)
            running.remove(owner)
            self.fleet.kill(owner.daemon_id)
            wait_until(
                lambda: job(self.fleet, running[0], "twice")["request_counts"]["total"] > 0,
                "the job is known",
            )
        self.heal()
        wait_completed(self.fleet, self.fleet.daemons[2], "twice")
        check_results(results(self.fleet, self.fleet.daemons[0], "twice"), count, prefix="twice")

    def test_a_frozen_owner_that_wakes_changes_nothing(self) -> None:
        count = 2500
        submit(self.fleet, self.fleet.daemons[0], "frozen", batch_lines(count, prefix="frozen"))
        owner = self.owner_of("frozen")
        self.fleet.freeze(owner.daemon_id)
        reader = self.others(owner)[0]
        wait_until(
            lambda: (
                any(
                    line["job"] == "default/frozen"
                    for other in self.others(owner)
                    for line in self.fleet.status(other, "owner")["jobs"]
                )
                or job(self.fleet, reader, "frozen")["status"] == "completed"
            ),
            "another owner takes over",
        )
        self.fleet.thaw(owner.daemon_id)
        wait_completed(self.fleet, reader, "frozen")
        check_results(results(self.fleet, owner, "frozen"), count, prefix="frozen")

    def test_store_outage_loses_nothing_and_refuses_as_not_run(self) -> None:
        count = 1500
        submit(self.fleet, self.fleet.daemons[0], "outage", batch_lines(count, prefix="outage"))
        self.owner_of("outage")
        self.fleet.set_faults(self.fleet.table_url, outage=True)
        self.fleet.set_faults(self.fleet.objects_url, outage=True)
        refused = submit(self.fleet, self.fleet.daemons[1], "refused", batch_lines(5))
        problem = orjson.loads(refused.data)
        self.assertEqual((503, "no"), (refused.status, problem["executed"]), problem)
        self.assertIn("Retry-After", refused.headers)
        time.sleep(3.0)
        self.heal()
        wait_completed(self.fleet, self.fleet.daemons[1], "outage")
        check_results(results(self.fleet, self.fleet.daemons[2], "outage"), count, prefix="outage")

    def test_lost_answers_of_the_store(self) -> None:
        for url in (self.fleet.table_url, self.fleet.objects_url):
            self.fleet.set_faults(url, lose_answer_share=0.4)
        lab_job = LabJob("lost-answers", 600, 4, "caption")
        self.assertTrue(self.client.submit_until_accepted(lab_job, time.monotonic() + 60))
        daemon = self.fleet.daemons[0]
        self.assertTrue(self.client.wait_ended([lab_job], daemon, time.monotonic() + 60))
        self.heal()
        self.client.read_results(lab_job, daemon)
        self.assert_clean()

    def test_both_submissions_at_once_are_one_job(self) -> None:
        self.fleet.set_faults(self.fleet.objects_url, delay_s=0.05)
        lab_job = LabJob("at-once", 64, 4, "caption")
        import threading

        threads = [
            threading.Thread(target=self.client.submit, args=(lab_job, daemon))
            for daemon in self.fleet.daemons
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        daemon = self.fleet.daemons[0]
        self.assertTrue(self.client.wait_ended([lab_job], daemon, time.monotonic() + 60))
        self.client.read_results(lab_job, daemon)
        self.assert_clean()
        runs = [e for e in self.fleet.executions() if e["label"].startswith("default/at-once:")]
        self.assertEqual(64, len(runs))

    def test_cancel_stops_the_job_and_keeps_what_is_finished(self) -> None:
        lab_job = LabJob("cancelled", 4000, 8, "caption")
        daemon = self.fleet.daemons[0]
        self.client.submit(lab_job, daemon)
        wait_until(
            lambda: job(self.fleet, daemon, "cancelled")["request_counts"]["completed"] > 0,
            "some items are complete",
        )
        self.assertTrue(self.client.cancel(lab_job, self.fleet.daemons[1]))
        done = job(self.fleet, daemon, "cancelled")["request_counts"]["completed"]
        time.sleep(3.0)
        for reader in self.fleet.daemons:
            document = job(self.fleet, reader, "cancelled")
            self.assertEqual(
                ("cancelled", done), (document["status"], document["request_counts"]["completed"])
            )
        self.client.read_results(lab_job, daemon)
        self.assert_clean()
        running = [
            e
            for e in self.fleet.executions()
            if e["label"].startswith("default/cancelled:") and e["outcome"] == "running"
        ]
        self.assertEqual([], running)

    def test_not_repeatable_items_run_at_most_once_when_the_executor_dies(self) -> None:
        lab_job = LabJob("once", 300, 30, "caption", repeatable=False)
        self.client.submit(lab_job, self.fleet.daemons[0])
        wait_until(
            lambda: any(e["label"].startswith("default/once:") for e in self.fleet.executions()),
            "an item runs",
        )
        self.fleet.kill(self.fleet.daemons[1].daemon_id)
        daemon = self.fleet.daemons[0]
        self.assertTrue(self.client.wait_ended([lab_job], daemon, time.monotonic() + 60))
        self.client.read_results(lab_job, daemon)
        self.assert_clean()

    def test_engines_that_fail_cost_tries_but_no_items(self) -> None:
        self.fleet.set_proxy(self.fleet.engines[0], lose_answers=True)
        self.fleet.set_faults(self.fleet.engines[1].url, cross_share=0.2)
        lab_job = LabJob("bad-engines", 600, 4, "caption")
        daemon = self.fleet.daemons[0]
        self.client.submit(lab_job, daemon)
        time.sleep(2.0)
        self.heal()
        self.assertTrue(self.client.wait_ended([lab_job], daemon, time.monotonic() + 60))
        self.client.read_results(lab_job, daemon)
        self.assert_clean()

    def test_items_past_due_are_reported_as_expired(self) -> None:
        daemon = self.fleet.daemons[0]
        due = str(int(time.time()) - 5)
        answer = submit(self.fleet, daemon, "late", batch_lines(20), **{"X-Due-Time": due})
        self.assertEqual(201, answer.status, answer.data)
        wait_completed(self.fleet, daemon, "late")
        self.assertEqual(
            {"expired"}, {line["status"] for line in results(self.fleet, daemon, "late")}
        )

    def test_planned_stop_hands_batch_work_over(self) -> None:
        count = 2000
        submit(self.fleet, self.fleet.daemons[0], "handed", batch_lines(count, prefix="handed"))
        owner = self.owner_of("handed")
        self.assertEqual(0, self.fleet.terminate(owner.daemon_id))
        reader = self.others(owner)[0]
        wait_completed(self.fleet, reader, "handed")
        check_results(results(self.fleet, reader, "handed"), count, prefix="handed")
