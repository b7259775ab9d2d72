"""Tenants as the operator writes them, and what of them reaches workers and logs."""

from __future__ import annotations

from typing import Any

import orjson
from testtools import TestCase

from mountstand.platform.operator_rows import decode_configuration
from mountstand.platform.worker_protocol import PlatformWorkerProtocol
from mountstand.serving.configuration import Configuration
from mountstand.serving.worker import Worker, WorkerRecord
from mountstand.serving.worker_protocol import Call
from mountstand.tenants.tenant import Tenant, TenantIndex, fingerprint

KEY = "7yx5x42q492cqf75rjvz"


def decoded(**fields: Any) -> Configuration:
    route = {"name": "r", "host": "h", "path_prefix": "/r/", "kind": "streaming", "service": "llm"}
    whole = {"version": 1, "routes": [route], "services": [], **fields}
    return decode_configuration(orjson.dumps(whole))


class Tenants(TestCase):
    def test_the_operators_fields_are_read(self) -> None:
        entry = {"name": "a", "api_keys": [KEY, "k2"], "priority": 1, "rate_per_s": 5, "burst": 7}
        configuration = decoded(tenants=[entry, {"name": "b"}])
        expected = Tenant("a", (KEY, "k2"), 1, 5.0, 7.0)
        self.assertEqual(expected, configuration.tenants.find_by_key("k2"))
        self.assertEqual(Tenant("b"), configuration.tenants.by_name["b"])

    def test_without_tenants_callers_need_no_key(self) -> None:
        self.assertFalse(decoded().tenants)
        self.assertFalse(decoded(tenants=[]).tenants)

    def test_an_empty_key_is_nobodys(self) -> None:
        index = TenantIndex([Tenant("a", ("",))])
        self.assertIsNone(index.find_by_key(""))
        self.assertIsNone(index.find_by_key(None))

    def test_a_tenants_priority_goes_before_that_of_the_route(self) -> None:
        self.assertEqual(0, Tenant("a", priority=0).effective_priority(2))
        self.assertEqual(2, Tenant("a").effective_priority(2))

    def test_routes_tell_priority_and_whether_they_are_public(self) -> None:
        route = {"name": "r", "host": "h", "path_prefix": "/", "kind": "batch", "service": "s"}
        configuration = decoded(routes=[{**route, "priority": 2, "public": True}])
        self.assertEqual(
            (2, True), (configuration.routes[0].priority, configuration.routes[0].public)
        )
        self.assertTrue(configuration.has_public_jobs("h:80"))
        self.assertFalse(decoded().has_public_jobs("h"))

    def test_keys_are_not_printed(self) -> None:
        tenant = Tenant("a", (KEY,))
        self.assertNotIn(KEY, repr(tenant))
        self.assertNotIn(KEY, repr(decoded(tenants=[{"name": "a", "api_keys": [KEY]}])))
        self.assertNotIn(fingerprint(KEY), KEY)
        self.assertEqual("", fingerprint(None))


class HeadersToWorkers(TestCase):
    def headers(self, tenant: str) -> dict[str, str]:
        """Return the headers of a dispatch whose caller sent a key and a tenant of its own."""
        sent = (("Api-Key", KEY), ("api-key", KEY), ("TENANT", "forged"), ("X-Own", "1"))
        call = Call("r1", "h", "POST", "/r/x", sent, b"", tenant=tenant)
        worker = Worker(WorkerRecord("w", "llm", "127.0.0.1", 1, "z", 1, False, 1))
        return dict(PlatformWorkerProtocol().request_headers(call, worker, 100, None))

    def test_workers_see_the_tenant_and_never_the_key(self) -> None:
        headers = self.headers("a")
        self.assertEqual(("a", "1"), (headers["Tenant"], headers["X-Own"]))
        self.assertNotIn(KEY, " ".join(headers.values()))
        self.assertNotIn("TENANT", headers)

    def test_a_caller_without_a_tenant_cannot_claim_one(self) -> None:
        self.assertEqual({"X-Own"}, set(self.headers("")) & {"X-Own", "Tenant", "TENANT"})
