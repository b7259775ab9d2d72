"""Who is let in: known, unknown and withdrawn keys, public routes, and limits of tenants."""

from __future__ import annotations

import random
from collections.abc import Collection

from testtools import ExpectedException, TestCase

from mountstand.errors import MountstandError
from mountstand.limits.sharing import LimitSharing
from mountstand.membership.message_link import MessageLink
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.tenants.access import CallerAccess
from mountstand.tenants.errors import KeyNotVerifiable, TenantOverLimit, UnknownKey
from mountstand.tenants.gate import LimitGate
from mountstand.tenants.limits import LimitTolerance, TenantLimits
from mountstand.tenants.marks import CheckpointState, PriorUsage, UsageSnapshot
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import run_paused

TENANT = Tenant("a", ("key-a",), requests_per_s=5, burst=5)
TENANTS = TenantIndex([TENANT])
NO_TENANTS = TenantIndex()


class NoLink(MessageLink):
    __slots__ = ()

    def send(self, message: TokenAsk | TokenGrant, receivers: Collection[str]) -> None:
        raise AssertionError("there is nobody to ask")


class Access:
    """Access at a daemon that is alone."""

    def __init__(self, stale: bool = False, began_s: float = 0.0) -> None:
        self.log = RecordingLog()
        self.metrics = ServingMetrics()
        limit_sharing = LimitSharing("d")
        limit_sharing.update_members(["d"], ["d"])
        limits = TenantLimits(limit_sharing, CheckpointState(), LimitTolerance(), 1)
        limits.set_tenants(TENANTS)
        limits.apply_prior_usage(PriorUsage(), began_s)
        limits.record_checkpoint(UsageSnapshot(limit_sharing.share, {}), began_s)
        gate = LimitGate(limits, NoLink(), random.Random(1))
        self.access = CallerAccess(gate, lambda: stale, self.metrics, self.log)


class Identify(TestCase):
    def outcome(self, tenants: TenantIndex, key: str | None, public: bool, stale: bool) -> str:
        try:
            tenant = Access(stale).access.identify(tenants, key, public=public)
        except MountstandError as denial:
            return f"{denial.http_status} {denial.code}"
        return tenant.name if tenant is not None else "anybody"

    def test_table(self) -> None:
        unknown, unsure = f"401 {UnknownKey.code}", f"503 {KeyNotVerifiable.code}"
        cases = (
            ("a known key", TENANTS, "key-a", False, False, "a"),
            ("a known key at a daemon out of touch", TENANTS, "key-a", False, True, "a"),
            ("an unknown key", TENANTS, "other", False, False, unknown),
            ("an unknown key at a daemon out of touch", TENANTS, "other", False, True, unsure),
            ("no key", TENANTS, None, False, False, unknown),
            ("no key at a daemon out of touch", TENANTS, None, False, True, unknown),
            ("an empty key", TENANTS, "", False, False, unknown),
            ("a public route, no key", TENANTS, None, True, False, "anybody"),
            ("a public route, an unknown key", TENANTS, "other", True, False, "anybody"),
            ("a public route, a known key", TENANTS, "key-a", True, False, "a"),
            ("no tenants, no key", NO_TENANTS, None, False, False, "anybody"),
            ("no tenants, some key", NO_TENANTS, "other", False, True, "anybody"),
        )
        for name, tenants, key, public, stale, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, self.outcome(tenants, key, public, stale), name)

    def test_denials_are_counted_and_tell_no_key(self) -> None:
        access = Access()
        with ExpectedException(UnknownKey):
            access.access.identify(TENANTS, "a-secret-of-somebody", public=False)
        try:
            access.access.identify(TENANTS, "a-secret-of-somebody", public=False)
        except UnknownKey as denial:
            self.assertNotIn("a-secret", str(denial))
        figures = access.metrics.render().decode()
        self.assertIn('mountstand_callers_denied_total{code="unknown_key"} 2.0', figures)


class Limit(TestCase):
    def test_a_tenant_over_its_limit_is_told_when_to_come_back(self) -> None:
        async def scenario() -> tuple[int, TenantOverLimit, RecordingLog]:
            access = Access()
            admitted = 0
            while True:
                try:
                    await access.access.admit(TENANT, f"r{admitted}")
                except TenantOverLimit as refusal:
                    return admitted, refusal, access.log
                admitted += 1

        admitted, refusal, log = run_paused(scenario())
        self.assertGreaterEqual(admitted, TENANT.burst)
        self.assertEqual(429, refusal.http_status)
        self.assertAlmostEqual(LimitTolerance().window_s, refusal.retry_after_s or 0, delta=0.2)
        line = log.lines("tenant_over_limit")[0]
        self.assertEqual(("a", f"r{admitted}"), (line["tenant"], line["request"]))
        self.assertNotIn("key-a", log.stream.getvalue())

    def test_callers_without_a_tenant_have_no_limit(self) -> None:
        async def scenario() -> None:
            access = Access().access
            for number in range(1000):
                await access.admit(None, f"r{number}")

        run_paused(scenario())
