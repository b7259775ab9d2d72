"""Keys and tenants at real serving processes: online requests, batch jobs, changes of keys."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import orjson
from testtools import TestCase

from mountstand.transport.http_client import ClientConnection, connect
from tests.integration.test_platform_node import (
    Answer,
    Process,
    Site,
    all_results,
    job_document,
    operator_configuration,
)
from tests.stand_ins.harness import HOST, eventually, run
from tests.stand_ins.worker import StandInWorker, stream, whole

KEY_A, KEY_A2, KEY_B = "secret-of-a-1", "secret-of-a-2", "secret-of-b-1"


def with_tenants(version: int, *a_keys: str, rate: float = 0, burst: float = 0) -> dict[str, Any]:
    """Return a configuration whose callers need keys; tenant ``b`` has no limit."""
    fields = operator_configuration(version)
    open_route = {**fields["routes"][1], "name": "open", "path_prefix": "/open/", "public": True}
    fields["routes"].append(open_route)
    fields["tenants"] = [
        {"name": "a", "api_keys": list(a_keys), "priority": 1, "rate_per_s": rate, "burst": burst},
        {"name": "b", "api_keys": [KEY_B], "priority": 0},
    ]
    return fields


async def asked(process: Process, target: str, key: str | None, **headers: str) -> int:
    """Send one request with a key; returns the status."""
    items = {"Request-Id": target.rpartition("/")[2], **headers}
    if key is not None:
        items["Api-Key"] = key
    return (await process.call("POST", target, headers=items)).status


async def refused_answer(process: Process, key: str) -> Answer:
    """Send requests until one is over its tenant's limit; the others took a while meanwhile."""
    for n in range(60):
        headers = {"Request-Id": f"last-{n}", "Api-Key": key}
        answer = await process.call("POST", "/plain/x", headers=headers)
        if answer.status == 429:
            return answer
    raise AssertionError("none of 60 requests is over the limit")


async def in_force(process: Process, version: int) -> None:
    """Wait until a process has a version of the configuration."""

    def applied() -> bool:
        return any(e["version"] == version for e in process.events("configuration_applied"))

    await eventually(applied, f"version {version} is in force", 5.0)


class Online(TestCase):
    def test_keys_decide_and_never_reach_a_worker(self) -> None:
        worker = StandInWorker("w0", whole(b"ok"))

        async def scenario() -> list[int]:
            async with Site(1, worker) as site:
                process = site.processes[0]
                await site.store.put("op", "config", with_tenants(2, KEY_A, KEY_A2))
                await in_force(process, 2)
                statuses = [
                    await asked(process, "/plain/known", KEY_A, Tenant="b"),
                    await asked(process, "/plain/second", KEY_A2),
                    await asked(process, "/plain/unknown", "nobody's key"),
                    await asked(process, "/plain/none", None),
                    await asked(process, "/open/public", None, Tenant="b"),
                    await asked(process, "/missing/x", KEY_A),
                ]
                text = json.dumps(process.output)
                self.assertNotIn("secret-of", text)
                self.assertNotIn("nobody's key", text)
                self.assertEqual(2, len(process.events("caller_denied")))
                return statuses

        self.assertEqual([200, 200, 401, 401, 200, 404], run(scenario()))
        tenants = {r.request_id: r.headers.get("tenant") for r in worker.received}
        self.assertEqual({"known": "a", "second": "a", "public": None}, tenants)
        for received in worker.received:
            self.assertIsNone(received.headers.get("api-key"))

    def test_keys_that_come_and_go_on_an_open_connection(self) -> None:
        async def scenario() -> list[int]:
            async with Site(1, StandInWorker("w0", whole(b"ok"))) as site:
                process = site.processes[0]
                await site.store.put("op", "config", with_tenants(2, KEY_A))
                await in_force(process, 2)
                conn = await connect("127.0.0.1", process.ports["front"], 2.0)
                statuses = [
                    await self.ask_on(conn, "r1", KEY_A),
                    await self.ask_on(conn, "r2", KEY_A2),
                ]
                await site.store.put("op", "config", with_tenants(3, KEY_A2))
                await in_force(process, 3)
                statuses += [
                    await self.ask_on(conn, "r3", KEY_A),
                    await self.ask_on(conn, "r4", KEY_A2),
                ]
                conn.close()
                return statuses

        self.assertEqual([200, 401, 401, 200], run(scenario()))

    async def ask_on(self, conn: ClientConnection, request_id: str, key: str) -> int:
        headers = [("Host", HOST), ("Request-Id", request_id), ("Api-Key", key)]
        conn.send("POST", "/plain/x", headers, b"")
        head = await conn.read_head()
        await conn.read_body()
        self.assertTrue(conn.end_exchange())
        return head.status

    def test_a_withdrawn_key_ends_nothing_that_was_accepted(self) -> None:
        async def scenario() -> tuple[int, bytes]:
            worker = StandInWorker("w0", stream(8, gap_s=0.15))
            async with Site(1, worker) as site:
                process = site.processes[0]
                await site.store.put("op", "config", with_tenants(2, KEY_A))
                await in_force(process, 2)
                headers = {"Request-Id": "r1", "Api-Key": KEY_A}
                answer = asyncio.create_task(process.call("POST", "/stream/x", headers=headers))
                await eventually(lambda: worker.received, "it runs")
                await site.store.put("op", "config", with_tenants(3, KEY_A2))
                await in_force(process, 3)
                whole_answer = await answer
                return whole_answer.status, whole_answer.body[-30:]

        status, end = run(scenario())
        self.assertEqual(200, status)
        self.assertIn(b"piece 8", end)

    def test_a_limited_tenant_is_served_at_a_daemon_that_has_just_started(self) -> None:
        """Guards against a daemon that is ready but takes its share of all limits for zero."""

        async def scenario() -> int:
            async with Site(1, StandInWorker("w0", whole(b"ok"))) as site:
                process = site.processes[0]
                limited = with_tenants(2, KEY_A, rate=1000, burst=1000)
                await site.store.put("op", "config", limited)
                await in_force(process, 2)
                await site.kill_and_restart(process)
                return await asked(process, "/plain/x", KEY_A)

        self.assertEqual(200, run(scenario()))

    def test_a_limited_tenant_is_served_at_the_first_daemon_ever(self) -> None:
        """Guards against a checkpoint without a share, which leaves nothing to admit at a start."""

        async def scenario() -> int:
            async with Site(0, StandInWorker("w0", whole(b"ok"))) as site:
                limited = with_tenants(2, KEY_A, rate=1000, burst=1000)
                await site.store.put("op", "config", limited)
                process = await site.add_process("front-0")
                self.assertEqual([1.0], [e["share"] for e in process.events("shares_known")])
                return await asked(process, "/plain/x", KEY_A)

        self.assertEqual(200, run(scenario()))

    def test_a_tenant_over_its_limit_is_refused_while_others_are_served(self) -> None:
        async def scenario() -> tuple[list[int], list[int], float, int]:
            worker = StandInWorker("w0", whole(b"ok"))
            async with Site(2, worker) as site:
                await site.store.put("op", "config", with_tenants(2, KEY_A, rate=2, burst=2))
                for process in site.processes:
                    await in_force(process, 2)
                first = site.processes[0]
                over = [await asked(first, f"/plain/a{n}", KEY_A) for n in range(60)]
                others = [await asked(first, f"/plain/b{n}", KEY_B) for n in range(10)]
                refused = await refused_answer(first, KEY_A)
                runs = sum(r.headers.get("tenant") == "a" for r in worker.received)
                return over, others, float(refused.headers["retry-after"]), runs

        over, others, retry_after_s, runs = run(scenario())
        self.assertEqual({200, 429}, set(over))
        self.assertEqual({200}, set(others))
        self.assertGreater(retry_after_s, 0.0)
        self.assertLessEqual(runs, (2 * 5 + 2) * 1.1 + 20)


class Jobs(TestCase):
    def test_a_job_belongs_to_its_tenant(self) -> None:
        worker = StandInWorker("w0", stream(3))

        async def scenario() -> None:
            async with Site(2, worker) as site:
                first, second = site.processes
                await site.store.put("op", "config", with_tenants(2, KEY_A, KEY_A2))
                for process in site.processes:
                    await in_force(process, 2)
                document = job_document(3)
                headers = {"Request-Id": "job1", "Api-Key": KEY_A}
                denied = await first.call(
                    "POST", "/batch/x", body=document, headers={"Request-Id": "j"}
                )
                self.assertEqual(401, denied.status)
                taken = await first.call("POST", "/batch/x", body=document, headers=headers)
                self.assertEqual(202, taken.status)
                foreign = {**headers, "Api-Key": KEY_B}
                for process in (first, second):
                    again = await process.call("POST", "/batch/x", body=document, headers=foreign)
                    self.assertEqual(409, again.status)
                    self.assertEqual([404, 404, 404], await self.statuses(process, KEY_B))
                    self.assertEqual([401, 401, 401], await self.statuses(process, None))
                await self.results_by(second, KEY_A2)
                self.assertEqual([200, 200], (await self.statuses(second, KEY_A2))[::2])

        run(scenario())
        items = [r for r in worker.received if r.request_id.startswith("i")]
        self.assertEqual({"a"}, {r.headers.get("tenant") for r in items})

    async def statuses(self, process: Process, key: str | None) -> list[int]:
        """Return the statuses of a read, of an item's body and of an end."""
        headers = {"Api-Key": key} if key else {}
        calls = (
            ("GET", "/lots/job1?after=0"),
            ("GET", "/items/job1?id=i1"),
            ("DELETE", "/lots/job1"),
        )
        return [(await process.call(method, to, headers=headers)).status for method, to in calls]

    async def results_by(self, process: Process, key: str) -> None:
        found: list[Any] = []
        for _ in range(100):
            answer = await process.call(
                "GET", f"/lots/job1?after={len(found)}", headers={"Wait-Ms": "200", "Api-Key": key}
            )
            self.assertEqual(200, answer.status)
            found += orjson.loads(answer.body)["results"]
            if len(found) == 3:
                return
        raise AssertionError(f"{len(found)} of 3 results")

    def test_jobs_taken_before_there_were_tenants_go_on(self) -> None:
        async def scenario() -> None:
            async with Site(1, StandInWorker("w0", stream(3))) as site:
                process = site.processes[0]
                taken = await process.call(
                    "POST", "/batch/x", body=job_document(2), headers={"Request-Id": "job1"}
                )
                self.assertEqual(202, taken.status)
                await all_results(process, "job1", 2)
                await site.store.put("op", "config", with_tenants(2, KEY_A))
                await in_force(process, 2)
                answer = await process.call("GET", "/lots/job1?after=0", headers={"Api-Key": KEY_B})
                self.assertEqual(2, len(orjson.loads(answer.body)["results"]))

        run(scenario())
