"""Online requests while back ends fail behind a fault-injecting proxy, on real processes."""

from __future__ import annotations

import threading

import orjson
import urllib3
from testtools import TestCase

from mountstand.emulator.engine_core import expected_completion
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from tests.integration.helpers import stream_text, wait_until

PROMPT = "a harbour in the morning"
TOKENS = 40


class OnlineFaults(TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        plan = FleetPlan(
            daemons=2, engines=2, applications=2, proxied=True, engine={"step_s": 0.01, "slots": 16}
        )
        cls.fleet = Fleet(plan)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(self.heal)

    def heal(self) -> None:
        """Make everything whole and wait until no worker is ejected."""
        for worker in self.fleet.workers:
            self.fleet.set_proxy(worker)
            self.fleet.set_faults(worker.url)
        self.fleet.set_faults(self.fleet.table_proxy_control_url)
        wait_until(
            lambda: (
                not any(
                    worker["ejected"]
                    for daemon in self.fleet.daemons
                    for worker in self.fleet.status(daemon, "workers")
                )
            ),
            "no worker is ejected",
        )
        # A success makes the daemon forget earlier ejections, which would lengthen the next one.
        for daemon in range(2):
            for _ in range(2):
                self.complete(daemon=daemon)

    def complete(self, *, stream: bool = False, daemon: int = 0, **headers: str):
        body = {"model": "caption", "prompt": PROMPT, "max_tokens": TOKENS, "stream": stream}
        return self.fleet.http.request(
            "POST",
            f"{self.fleet.daemons[daemon].callers_url}/v1/completions",
            body=orjson.dumps(body),
            headers=headers,
        )

    def charge(self, request_id: str, daemon: int = 0, **headers: str):
        """Send a renewal charge that must run at most once."""
        return self.fleet.http.request(
            "POST",
            f"{self.fleet.daemons[daemon].callers_url}/v1/services/album/charge",
            body=b"{}",
            headers={"X-Repeatable": "no", "X-Request-Id": request_id, **headers},
        )

    def runs(self, request_id: str) -> int:
        return sum(e["label"] == request_id for e in self.fleet.executions())

    def assert_whole(self, answer) -> None:
        self.assertEqual(200, answer.status, answer.data)
        text = orjson.loads(answer.data)["choices"][0]["text"]
        self.assertEqual(expected_completion(PROMPT, TOKENS), text)

    def test_whole_answers_survive_one_bad_engine(self) -> None:
        proxy_faults = [
            {"refuse": True},
            {"lose_answers": True},
            {"cut_after_bytes": 150},
            {"freeze": True},
            {"half_open": True},
        ]
        for plan in proxy_faults:
            self.fleet.set_proxy(self.fleet.engines[0], **plan)
            for _ in range(3):
                self.assert_whole(self.complete(**{"X-Deadline-Ms": "5000"}))
            self.heal()
        for plan in ({"cross_share": 1.0}, {"refuse_share": 1.0}, {"outage": True}):
            self.fleet.set_faults(self.fleet.engines[1].url, **plan)
            for _ in range(3):
                self.assert_whole(self.complete(**{"X-Deadline-Ms": "5000"}))
            self.heal()

    def test_a_broken_stream_goes_on_without_a_doubled_or_missing_token(self) -> None:
        plans = [("proxy", {"cut_after_bytes": 1500}), ("engine", {"truncate_share": 1.0})]
        for kind, plan in plans:
            for engine in self.fleet.engines[:1]:
                if kind == "proxy":
                    self.fleet.set_proxy(engine, **plan)
                else:
                    self.fleet.set_faults(engine.url, **plan)
            for _ in range(6):
                answer = self.complete(stream=True)
                expected = (expected_completion(PROMPT, TOKENS), True)
                self.assertEqual(expected, stream_text(answer.data), kind)
            self.heal()

    def test_a_not_repeatable_request_runs_at_most_once(self) -> None:
        for number, plan in enumerate(
            [
                {"lose_answers": True},
                {"cut_after_bytes": 10},
                {"refuse": True},
                {"freeze": True},
            ]
        ):
            for worker in self.fleet.applications:
                self.fleet.set_proxy(worker, **plan)
            name = f"charge-{number}"
            answer = self.charge(name, **{"X-Deadline-Ms": "1500"})
            self.heal()
            problem = orjson.loads(answer.data)
            expected = 0 if problem["executed"] == "no" else 1
            self.assertTrue(self.runs(name) <= expected, problem)

    def test_a_keyed_request_runs_once_across_daemons_and_lost_answers(self) -> None:
        key = {"Idempotency-Key": "renewal-1"}
        first = self.charge("keyed", 0, **key)
        self.assertEqual(200, first.status, first.data)
        again = self.charge("keyed", 1, **key)
        self.assertEqual((200, first.data), (again.status, again.data))
        self.assertEqual(1, self.runs("keyed"))

        for worker in self.fleet.applications:
            self.fleet.set_proxy(worker, lose_answers=True)
        lost_key = {"Idempotency-Key": "renewal-2"}
        lost = self.charge("lost", 0, **lost_key)
        self.assertEqual("unknown", orjson.loads(lost.data)["executed"])
        self.heal()
        resent = self.charge("lost", 1, **lost_key)
        self.assertEqual("outcome_unknown", orjson.loads(resent.data)["code"])
        self.assertEqual(1, self.runs("lost"))

    def test_a_keyed_request_is_refused_as_not_run_while_the_table_is_down(self) -> None:
        self.fleet.set_faults(self.fleet.table_proxy_control_url, refuse=True, cut=True)
        answer = self.charge("no-table", 0, **{"Idempotency-Key": "renewal-3"})
        problem = orjson.loads(answer.data)
        self.assertEqual("no", problem["executed"], problem)
        self.assert_whole(self.complete())
        self.heal()
        self.assertEqual(0, self.runs("no-table"))

    def test_a_caller_that_leaves_cancels_its_work(self) -> None:
        body = {"model": "caption", "prompt": "left", "max_tokens": 2000, "stream": True}
        answer = urllib3.PoolManager().request(
            "POST",
            f"{self.fleet.daemons[0].callers_url}/v1/completions",
            body=orjson.dumps(body),
            headers={"X-Request-Id": "leaver"},
            preload_content=False,
        )
        answer.read(100)
        answer.close()
        wait_until(
            lambda: any(
                e["label"] == "leaver" and e["outcome"] == "cancelled"
                for e in self.fleet.executions()
            ),
            "the engine cancelled the stream",
        )

    def test_overload_is_refused_at_once_as_not_run(self) -> None:
        answers = []

        def send(number: int) -> None:
            answer = self.complete(
                **{
                    "X-Deadline-Ms": "700",
                    "X-Request-Id": f"burst-{number}",
                }
            )
            answers.append((number, answer))

        threads = [threading.Thread(target=send, args=(n,)) for n in range(150)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ran = {e["label"] for e in self.fleet.executions()}
        refused = [(n, a) for n, a in answers if a.status != 200]
        for number, answer in refused:
            problem = orjson.loads(answer.data)
            if problem["executed"] == "no":
                self.assertNotIn(f"burst-{number}", ran, problem)
                self.assertIn("Retry-After", answer.headers)
