"""Authentication of callers by key on public and other routes, and rate limits of tenants."""

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


class NoPeersLink(MessageLink):
    __slots__ = ()

    def send(self, message: TokenAsk | TokenGrant, receivers: Collection[str]) -> None:
        raise AssertionError("message sent although the fleet has no other daemon")


class AccessFixture:
    """Caller access at the only daemon of a fleet; ``stale`` makes its configuration stale."""

    def __init__(self, stale: bool = False, started_s: float = 0.0) -> None:
        self.log = RecordingLog()
        self.metrics = ServingMetrics()
        limit_sharing = LimitSharing("d")
        limit_sharing.update_members(["d"], ["d"])
        limits = TenantLimits(limit_sharing, CheckpointState(), LimitTolerance(), 1)
        limits.set_tenants(TENANTS)
        limits.apply_prior_usage(PriorUsage(), started_s)
        limits.record_checkpoint(UsageSnapshot(limit_sharing.share, {}), started_s)
        gate = LimitGate(limits, NoPeersLink(), random.Random(1))
        self.access = CallerAccess(gate, lambda: stale, self.metrics, self.log)


class CallerIdentification(TestCase):
    def outcome(self, tenants: TenantIndex, key: str | None, public: bool, stale: bool) -> str:
        try:
            tenant = AccessFixture(stale).access.identify(tenants, key, public=public)
        except MountstandError as denial:
            return f"{denial.http_status} {denial.code}"
        return tenant.name if tenant is not None else "no tenant"

    def test_result_by_key_and_route(self) -> None:
        unknown, unverifiable = f"401 {UnknownKey.code}", f"503 {KeyNotVerifiable.code}"
        cases = (
            ("a known key", TENANTS, "key-a", False, False, "a"),
            ("a known key, stale configuration", TENANTS, "key-a", False, True, "a"),
            ("an unknown key", TENANTS, "other", False, False, unknown),
            ("an unknown key, stale configuration", TENANTS, "other", False, True, unverifiable),
            ("no key", TENANTS, None, False, False, unknown),
            ("no key, stale configuration", TENANTS, None, False, True, unknown),
            ("an empty key", TENANTS, "", False, False, unknown),
            ("a public route, no key", TENANTS, None, True, False, "no tenant"),
            ("a public route, an unknown key", TENANTS, "other", True, False, "no tenant"),
            ("a public route, a known key", TENANTS, "key-a", True, False, "a"),
            ("no tenants, no key", NO_TENANTS, None, False, False, "no tenant"),
            ("no tenants, some key", NO_TENANTS, "other", False, True, "no tenant"),
        )
        for name, tenants, key, public, stale, expected in cases:
            with self.subTest(name):
                self.assertEqual(expected, self.outcome(tenants, key, public, stale), name)

    def test_denials_are_counted_without_revealing_the_key(self) -> None:
        fixture = AccessFixture()
        with ExpectedException(UnknownKey):
            fixture.access.identify(TENANTS, "a-secret-of-somebody", public=False)
        try:
            fixture.access.identify(TENANTS, "a-secret-of-somebody", public=False)
        except UnknownKey as denial:
            self.assertNotIn("a-secret", str(denial))
        exposition = fixture.metrics.render().decode()
        self.assertIn('mountstand_callers_denied_total{code="unknown_key"} 2.0', exposition)


class TenantRateLimit(TestCase):
    def test_tenant_over_its_limit_gets_a_retry_time(self) -> None:
        async def scenario() -> tuple[int, TenantOverLimit, RecordingLog]:
            fixture = AccessFixture()
            admitted = 0
            while True:
                try:
                    await fixture.access.admit(TENANT, f"r{admitted}")
                except TenantOverLimit as refusal:
                    return admitted, refusal, fixture.log
                admitted += 1

        admitted, refusal, log = run_paused(scenario())
        self.assertGreaterEqual(admitted, TENANT.burst)
        self.assertEqual(429, refusal.http_status)
        self.assertAlmostEqual(LimitTolerance().window_s, refusal.retry_after_s or 0, delta=0.2)
        line = log.lines("tenant_over_limit")[0]
        self.assertEqual(("a", f"r{admitted}"), (line["tenant"], line["request"]))
        self.assertNotIn("key-a", log.stream.getvalue())

    def test_callers_without_a_tenant_are_not_limited(self) -> None:
        async def scenario() -> None:
            access = AccessFixture().access
            for number in range(1000):
                await access.admit(None, f"r{number}")

        run_paused(scenario())
