"""Who a caller is, and whether its tenant may send one more request."""

from __future__ import annotations

from collections.abc import Callable

from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.tenants.errors import KeyNotVerifiable, TenantOverLimit, UnknownKey
from mountstand.tenants.gate import LimitGate
from mountstand.tenants.tenant import Tenant, TenantIndex, fingerprint


class CallerAccess:
    """Tells callers by their keys, and keeps the limits of their tenants.

    ``may_be_stale`` says whether the configuration may have changed without this daemon's
    knowledge. A key that such a daemon does not know may have been added: it refuses in a way that
    sends the caller to another daemon, where one that is up to date says that the key is wrong.
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
        """Return the tenant of a caller, or ``None`` where it needs no key and has none.

        Raises ``UnknownKey`` or ``KeyNotVerifiable``.
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
        """Count a request of a tenant. Raises ``TenantOverLimit`` with the time to come back."""
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
        """Count a request no more that reached no worker."""
        if tenant is not None:
            self._gate.refund(tenant)
