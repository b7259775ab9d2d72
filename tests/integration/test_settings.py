"""Settings on real daemons: in force everywhere, conflicts, drains and a model version change."""

from __future__ import annotations

import json

import orjson
from testtools import TestCase

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import FleetPlan
from tests.integration.helpers import wait_until


class SettingsInForce(TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = Fleet(FleetPlan(engines=3, applications=0, engine={"load_time_s": 0.3}))
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def apply(self, daemon: int, *changes: dict, **keywords):
        url = f"{self.fleet.daemons[daemon].control_url}/settings/apply"
        body = json.dumps({"changes": changes, **keywords})
        return self.fleet.http.request("POST", url, body=body)

    def explain(self, daemon: int, path: str) -> dict:
        url = f"{self.fleet.daemons[daemon].control_url}/settings/explain?path={path}"
        return orjson.loads(self.fleet.http.request("GET", url).data)

    def test_a_change_is_in_force_on_every_daemon_and_inherited(self) -> None:
        answer = self.apply(0, {"path": "services/caption", "values": {"tenant_weight": 3}})
        self.assertEqual(200, answer.status, answer.data)
        revision = orjson.loads(answer.data)["revision"]
        for daemon in range(3):
            wait_until(lambda d=daemon: self.explain(d, "")["revision"] >= revision, "in force")
            weight = self.explain(daemon, "services/caption/tenants/guild")["values"]
            self.assertEqual({"value": 3.0, "source": "services/caption"}, weight["tenant_weight"])

    def test_the_second_of_two_operators_gets_a_conflict(self) -> None:
        path = "tenants/franchise"
        seen = self.explain(0, path)["branch_revision"]
        change = {"path": path, "values": {"tenant_weight": 2}, "expected_revision": seen}
        self.assertEqual(200, self.apply(0, change).status)
        late = self.apply(1, change)
        problem = orjson.loads(late.data)
        self.assertEqual((409, "settings_conflict"), (late.status, problem["code"]))
        self.assertIn("tenant_weight", problem["detail"])

    def test_faulty_changes_name_path_key_and_value(self) -> None:
        cases = [
            ({"path": "services/caption", "values": {"replicas": -1}}, "replicas"),
            ({"path": "services/caption", "values": {"speed": 1}}, "speed"),
            ({"path": "planets/mars", "values": {}}, "planets/mars"),
        ]
        before = self.explain(0, "")["revision"]
        for change, named in cases:
            good = {"path": "tenants/x", "values": {"tenant_weight": 1}}
            answer = self.apply(0, good, change)
            problem = orjson.loads(answer.data)
            self.assertEqual((422, "invalid_settings"), (answer.status, problem["code"]))
            self.assertIn(named, problem["detail"])
        self.assertEqual(before, self.explain(0, "")["revision"])

    def test_a_drained_worker_gets_nothing_more(self) -> None:
        drained = self.fleet.engines[0].worker_id
        self.apply(0, {"path": f"workers/{drained}", "values": {"drained": True}})
        for daemon in self.fleet.daemons:
            wait_until(
                lambda d=daemon: any(
                    worker["worker"] == drained and worker["leaving"]
                    for worker in self.fleet.status(d, "workers")
                ),
                "the drain is in force",
            )
        body = orjson.dumps({"model": "caption", "prompt": "x", "max_tokens": 1})
        for number in range(12):
            url = f"{self.fleet.daemons[number % 3].callers_url}/v1/completions"
            headers = {"X-Request-Id": f"drained-{number}"}
            answer = self.fleet.http.request("POST", url, body=body, headers=headers)
            self.assertEqual(200, answer.status, answer.data)
        took = {e["worker"] for e in self.fleet.executions() if e["label"].startswith("drained-")}
        self.assertNotIn(drained, took)
        self.apply(0, {"path": f"workers/{drained}", "values": None})

    def test_a_model_version_change_goes_in_steps(self) -> None:
        values = {"model_version": "2", "replicas": 2}
        self.apply(0, {"path": "services/caption", "values": values})

        def versions() -> list[str]:
            return [
                orjson.loads(self.fleet.http.request("GET", f"{e.url}/load").data)["models"].get(
                    "caption", ""
                )
                for e in self.fleet.engines
            ]

        fewest = [3]

        def changed() -> bool:
            found = versions()
            fewest[0] = min(fewest[0], sum(1 for version in found if version))
            return found == ["2", "2", "2"]

        wait_until(changed, "every engine serves version 2")
        self.assertTrue(fewest[0] >= 2, fewest)

    def test_an_order_of_an_old_epoch_is_refused(self) -> None:
        url = f"{self.fleet.engines[1].url}/orders"
        order = {"kind": "set_role", "role": "mixed"}
        self.fleet.http.request("POST", url, body=json.dumps(order | {"epoch": 1000}))
        old = self.fleet.http.request("POST", url, body=json.dumps(order | {"epoch": 999}))
        self.assertEqual(409, old.status)
