"""Authentication of callers by API key, and enforcement of their tenants' rate limits."""

from __future__ import annotations

from collections.abc import Callable

from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.tenants.errors import KeyNotVerifiable, TenantOverLimit, UnknownKey
from mountstand.tenants.gate import LimitGate
from mountstand.tenants.tenant import Tenant, TenantIndex, fingerprint


class CallerAccess:
    """Identifies callers by their keys and enforces their tenants' limits.

    ``may_be_stale`` returns whether this daemon's configuration may be out of date. If it may be,
    an unknown key may have been added recently, so the caller gets an error that makes it try
    another daemon. Only a daemon with a current configuration rejects the key as unknown.
    """

    __slots__ = ("_gate", "_log", "_may_be_stale", "_metrics")

    def __init__(
        self,
        gate: LimitGate,
        may_be_stale: Callable[[], bool],
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self._gate = gate
        self._may_be_stale = may_be_stale
        self._metrics = metrics
        self._log = log

    def identify(self, tenants: TenantIndex, key: str | None, *, public: bool) -> Tenant | None:
        """Return the tenant that holds ``key``, or ``None`` if none does and no key is required.

        No key is required for public routes, or if no tenants are configured. Otherwise raises
        ``UnknownKey``, or ``KeyNotVerifiable`` if an unknown key was sent and the configuration may
        be out of date.
        """
        tenant = tenants.find_by_key(key)
        if tenant is not None or public or not tenants:
            return tenant
        if key and self._may_be_stale():
            self._metrics.caller_denied(KeyNotVerifiable.code)
            raise KeyNotVerifiable(f"key {fingerprint(key)}")
        self._metrics.caller_denied(UnknownKey.code)
        raise UnknownKey(f"key {fingerprint(key)}" if key else "no key")

    async def admit(self, tenant: Tenant | None, request_id: str) -> None:
        """Count a request against its tenant's limit.

        Raises ``TenantOverLimit``, with the time to wait before a retry, if the limit is reached.
        """
        if tenant is None or self._gate.try_acquire(tenant):
            return
        retry_after_s = await self._gate.borrow_or_reject(tenant)
        if retry_after_s is None:
            return
        self._metrics.caller_denied(TenantOverLimit.code)
        self._log.event(
            "tenant_over_limit",
            request=request_id,
            tenant=tenant.name,
            requests_per_s=tenant.requests_per_s,
            burst=tenant.burst,
            retry_after_s=round(retry_after_s, 3),
        )
        raise TenantOverLimit(f"tenant {tenant.name}", retry_after_s=retry_after_s)

    def refund(self, tenant: Tenant | None) -> None:
        """Give back the quota consumed by a request that reached no worker."""
        if tenant is not None:
            self._gate.refund(tenant)
