"""Decoding of tenants from the operator's configuration, and protection of their keys."""

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


def decode(**fields: Any) -> Configuration:
    route = {"name": "r", "host": "h", "path_prefix": "/r/", "kind": "streaming", "service": "llm"}
    configuration = {"version": 1, "routes": [route], "services": [], **fields}
    return decode_configuration(orjson.dumps(configuration))


class TenantConfiguration(TestCase):
    def test_tenant_fields_are_decoded(self) -> None:
        entry = {"name": "a", "api_keys": [KEY, "k2"], "priority": 1, "rate_per_s": 5, "burst": 7}
        configuration = decode(tenants=[entry, {"name": "b"}])
        expected = Tenant("a", (KEY, "k2"), 1, 5.0, 7.0)
        self.assertEqual(expected, configuration.tenants.find_by_key("k2"))
        self.assertEqual(Tenant("b"), configuration.tenants.by_name["b"])

    def test_no_key_is_required_without_tenants(self) -> None:
        self.assertFalse(decode().tenants)
        self.assertFalse(decode(tenants=[]).tenants)

    def test_empty_key_matches_no_tenant(self) -> None:
        index = TenantIndex([Tenant("a", ("",))])
        self.assertIsNone(index.find_by_key(""))
        self.assertIsNone(index.find_by_key(None))

    def test_tenant_priority_overrides_route_priority(self) -> None:
        self.assertEqual(0, Tenant("a", priority=0).effective_priority(2))
        self.assertEqual(2, Tenant("a").effective_priority(2))

    def test_route_priority_and_public_flag_are_decoded(self) -> None:
        route = {"name": "r", "host": "h", "path_prefix": "/", "kind": "batch", "service": "s"}
        configuration = decode(routes=[{**route, "priority": 2, "public": True}])
        self.assertEqual(
            (2, True), (configuration.routes[0].priority, configuration.routes[0].public)
        )
        self.assertTrue(configuration.has_public_jobs("h:80"))
        self.assertFalse(decode().has_public_jobs("h"))

    def test_keys_do_not_appear_in_repr(self) -> None:
        tenant = Tenant("a", (KEY,))
        self.assertNotIn(KEY, repr(tenant))
        self.assertNotIn(KEY, repr(decode(tenants=[{"name": "a", "api_keys": [KEY]}])))
        self.assertNotIn(fingerprint(KEY), KEY)
        self.assertEqual("", fingerprint(None))


class WorkerHeaders(TestCase):
    def request_headers(self, tenant: str) -> dict[str, str]:
        """Return headers sent to the worker for a caller that sent a key and a forged tenant."""
        sent = (("Api-Key", KEY), ("api-key", KEY), ("TENANT", "forged"), ("X-Own", "1"))
        call = Call("r1", "h", "POST", "/r/x", sent, b"", tenant=tenant)
        worker = Worker(WorkerRecord("w", "llm", "127.0.0.1", 1, "z", 1, False, 1))
        return dict(PlatformWorkerProtocol().request_headers(call, worker, 100, None))

    def test_worker_receives_tenant_but_not_key(self) -> None:
        headers = self.request_headers("a")
        self.assertEqual(("a", "1"), (headers["Tenant"], headers["X-Own"]))
        self.assertNotIn(KEY, " ".join(headers.values()))
        self.assertNotIn("TENANT", headers)

    def test_forged_tenant_header_is_dropped(self) -> None:
        self.assertEqual({"X-Own"}, set(self.request_headers("")) & {"X-Own", "Tenant", "TENANT"})
