"""Distributed sliding-window rate limits for tenants, enforced across all daemons.

The quota of requests that a tenant may send within a window is divided equally among the serving
daemons. Each admitted request consumes a quota of 1, which becomes available again when the window
has passed. A daemon whose quota is exhausted borrows from its peers. The lender counts lent quota
as used for as long as the borrower's request can count, so all daemons together never admit more
than the fleet's quota, even under partitions, paused processes, lost messages and restarts.

A starting process reads from the store what its predecessor admitted, and at what times; see
:mod:`mountstand.tenants.marks`. A daemon may consume only a limited part of its quota, the
uncheckpointed allowance, beyond what its checkpoint records. The next process counts that whole
allowance as consumed at its start.

The module does no I/O: the current time is passed in, messages are passed in and returned.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from mountstand.limits.sharing import LimitSharing
from mountstand.limits.window import SlidingSum
from mountstand.tenants.marks import (
    MAX_SHARE_GROWTH_FACTOR,
    CheckpointState,
    PriorUsage,
    TimedAmounts,
    UsageSnapshot,
)
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant

QUOTA_EXCESS_FRACTION = 0.5
STARTUP_EXCESS_FRACTION = 0.3
"""Fractions of the tolerated excess over a limit.

The first is added to the fleet's quota, because quota that is lent but not used is unavailable for
a while. The second may be consumed after a start until the checkpoint has been read. The remainder
covers daemons whose views of the fleet differ.
"""

UNCHECKPOINTED_FRACTION = 0.45
"""Uncheckpointed allowance: fraction of a daemon's quota that it may use beyond its checkpoint.

A higher value withholds more quota after a restart; a lower value rejects more requests while the
store accepts no writes. ``FleetCrash`` in tests/model/test_tenant_limits.py simulates both.
"""

CHECKPOINT_TRIGGER_FRACTION = 0.8
"""Fraction of the uncheckpointed allowance at which a checkpoint is requested.

It is below 1 so that the write can complete before the allowance is exhausted.
"""

CHECKPOINT_MIN_FRACTION = 0.4
"""Fraction of the uncheckpointed allowance above which a tenant is included in the checkpoint.

All usage of a tenant that is left out counts as uncheckpointed.
"""

MAX_CHECKPOINT_TENANTS = 400
"""Maximum number of tenants in a checkpoint; those with the highest usage are kept.

Each takes up to 145 bytes of the 64 kB that a row may have.
"""

UNITS_PER_REQUEST = 1000
"""Messages and checkpoints carry fractions of requests as integers, in thousandths."""

LOAN_TTL_S = 0.5
"""Borrowed quota expires this long after the borrow request was sent."""


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """Length of the window, and how far the fleet may exceed the tenants' limits within it.

    Within any window of ``window_s``, a tenant's limit is ``rate x window + burst`` requests. At
    most ``limit x (1 + overshoot) + slack`` requests may be admitted.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def window_limit(self, tenant: Tenant) -> float:
        """Return the tenant's limit, in requests per window."""
        return tenant.requests_per_s * self.window_s + tenant.burst

    def tolerated_excess(self, tenant: Tenant) -> float:
        """Return by how many requests per window the limit may be exceeded."""
        return self.window_limit(tenant) * self.overshoot + self.slack

    def fleet_quota(self, tenant: Tenant) -> float:
        """Return the total quota that is divided among the daemons, in requests per window."""
        return self.window_limit(tenant) + self.tolerated_excess(tenant) * QUOTA_EXCESS_FRACTION

    def fleet_uncheckpointed_allowance(self, tenant: Tenant) -> float:
        """Return how much the fleet may consume beyond its daemons' checkpoints."""
        return self.fleet_quota(tenant) * UNCHECKPOINTED_FRACTION

    def startup_quota(self, tenant: Tenant) -> float:
        """Return how much the fleet may consume before checkpoints are read after a start."""
        return self.tolerated_excess(tenant) * STARTUP_EXCESS_FRACTION


@dataclass(slots=True)
class TenantUsage:
    """Quota of one tenant that this daemon has used, lent and borrowed.

    ``used`` includes what the checkpoint says earlier processes used and lent. ``checkpointed`` is
    the part of ``used`` and ``lent`` that is in the store. ``uncheckpointed_prior`` is what earlier
    processes may have used after their last checkpoint; ``prior_allowance_added`` says whether it
    has been added.
    """

    used: SlidingSum
    lent: SlidingSum
    uncheckpointed_prior: SlidingSum
    checkpointed: SlidingSum
    prior_allowance_added: bool = False
    borrowed: float = 0.0
    borrowed_expires_at_s: float = 0.0

    @property
    def committed(self) -> float:
        """Quota that is used or lent, including what earlier processes may have used."""
        return self.used.total + self.lent.total + self.uncheckpointed_prior.total

    @property
    def uncheckpointed(self) -> float:
        """Quota that is used or lent but not in the stored checkpoint."""
        return self.used.total + self.lent.total - self.checkpointed.total

    def amounts(self) -> TimedAmounts:
        """Return used and lent amounts by time.

        Loans are dated ``LOAN_TTL_S`` later, because the borrower may use them until then.
        """
        lent = [(at_s + LOAN_TTL_S, amount) for at_s, amount in self.lent.entries()]
        return tuple(sorted([*self.used.entries(), *lent]))

    def evict_expired(self, now_s: float) -> None:
        """Drop amounts older than the window, and borrowed quota that has expired."""
        for amounts in (self.used, self.lent, self.uncheckpointed_prior, self.checkpointed):
            amounts.evict_expired(now_s)
        if now_s > self.borrowed_expires_at_s:
            self.borrowed = 0.0

    def add_loan(self, amount: float, expires_at_s: float) -> None:
        """Add borrowed quota; all of it expires with the oldest loan."""
        self.borrowed_expires_at_s = (
            min(self.borrowed_expires_at_s, expires_at_s) if self.borrowed else expires_at_s
        )
        self.borrowed += amount


@dataclass(slots=True)
class _PendingBorrow:
    """A request to borrow quota from peers, and the replies to it."""

    sent_at_s: float
    units_per_peer: int
    """Thousandths of requests asked of each peer."""

    pending_peers: set[str]
    full_lenders: list[str] = field(default_factory=list)
    """Peers that lent the full amount requested, so may have more available."""


class TenantLimits:
    """One daemon's share of all tenants' limits, and its borrowing from and lending to peers.

    ``initial_request_number`` is random, so that grants meant for a predecessor of this process are
    not mistaken for replies to its own requests.
    """

    __slots__ = (
        "_last_request_number",
        "_pending_by_request_number",
        "_tenant_by_number",
        "_tolerance",
        "_usage_by_tenant_number",
        "checkpoint",
        "limit_sharing",
    )

    def __init__(
        self,
        limit_sharing: LimitSharing,
        checkpoint: CheckpointState,
        tolerance: LimitTolerance,
        initial_request_number: int,
    ) -> None:
        self.limit_sharing = limit_sharing
        self.checkpoint = checkpoint
        self._tolerance = tolerance
        self._last_request_number = initial_request_number
        self._tenant_by_number: dict[int, Tenant] = {}
        self._usage_by_tenant_number: dict[int, TenantUsage] = {}
        self._pending_by_request_number: dict[int, _PendingBorrow] = {}

    def set_tolerance(self, tolerance: LimitTolerance) -> None:
        """Change the tolerance; discard all recorded usage if the window's length changes."""
        if tolerance.window_s != self._tolerance.window_s:
            self._usage_by_tenant_number.clear()
        self._tolerance = tolerance

    def set_tenants(self, tenants: TenantIndex) -> None:
        """Replace the tenants whose limits are enforced; keep the usage of those that remain."""
        limited = [tenant for tenant in tenants.by_name.values() if tenant.requests_per_s > 0]
        self._tenant_by_number = {tenant.number: tenant for tenant in limited}
        for number in self._usage_by_tenant_number.keys() - self._tenant_by_number.keys():
            del self._usage_by_tenant_number[number]

    # Checkpoints

    def apply_prior_usage(self, prior_usage: PriorUsage, now_s: float) -> None:
        """Count what earlier processes consumed, as read from the store."""
        self.checkpoint.prior_usage = prior_usage
        for number, usage in self._usage_by_tenant_number.items():
            usage.used.add_backdated(prior_usage.by_tenant.get(number, ()), now_s)
        for number in prior_usage.by_tenant:
            self._get_or_create_usage(number, now_s)

    def snapshot(self, now_s: float) -> UsageSnapshot:
        """Return the usage to checkpoint.

        Tenants that are left out count as uncheckpointed from now on.
        """
        usages: list[tuple[float, int]] = []
        for number, usage in self._usage_by_tenant_number.items():
            usage.evict_expired(now_s)
            tenant = self._tenant_by_number.get(number)
            min_usage = (
                self._uncheckpointed_allowance(tenant) * CHECKPOINT_MIN_FRACTION
                if tenant is not None
                else 0.0
            )
            if usage.used.total + usage.lent.total > min_usage:
                usages.append((usage.used.total + usage.lent.total, number))
        numbers = {number for _, number in sorted(usages, reverse=True)[:MAX_CHECKPOINT_TENANTS]}
        for number, usage in self._usage_by_tenant_number.items():
            if number not in numbers:
                usage.checkpointed = self._new_window_sum()
        by_tenant = {number: self._usage_by_tenant_number[number].amounts() for number in numbers}
        return UsageSnapshot(self.limit_sharing.share, by_tenant)

    def record_checkpoint(self, snapshot: UsageSnapshot, now_s: float) -> None:
        """Record that ``snapshot`` has been written to the store."""
        self.checkpoint.share = snapshot.share
        for number, amounts in snapshot.by_tenant.items():
            usage = self._usage_by_tenant_number.get(number)
            if usage is not None:
                usage.checkpointed = self._new_window_sum()
                usage.checkpointed.add_backdated(amounts, now_s)

    # Admission

    def try_acquire(self, tenant: Tenant, now_s: float) -> bool:
        """Consume quota for one request and return whether enough was available locally."""
        if tenant.requests_per_s <= 0:
            return True
        usage = self._current_usage(tenant, now_s)
        own_part = max(0.0, 1 - usage.borrowed)
        if own_part > self.available(tenant, now_s):
            return False
        usage.borrowed -= 1 - own_part
        usage.used.add(own_part, now_s)
        return True

    def refund(self, tenant: Tenant, now_s: float) -> None:
        """Give back the quota consumed by a request that reached no worker."""
        if tenant.requests_per_s > 0:
            self._current_usage(tenant, now_s).used.add(-1.0, now_s)

    def shortfall(self, tenant: Tenant, requests: int, now_s: float) -> float:
        """Return how much quota is missing to admit ``requests`` more requests."""
        return max(
            0.0,
            requests - self._current_usage(tenant, now_s).borrowed - self.available(tenant, now_s),
        )

    def available(self, tenant: Tenant, now_s: float) -> float:
        """Return how much of this daemon's own quota may be consumed now, without borrowed quota.

        Requests a checkpoint when usage that is not in the store approaches its allowance, or when
        the daemon's share has grown since the last checkpoint.
        """
        usage = self._current_usage(tenant, now_s)
        share = self.limit_sharing.share
        if self.checkpoint.prior_usage is None:
            return max(0.0, self._tolerance.startup_quota(tenant) * share - usage.committed)
        allowance = self._uncheckpointed_allowance(tenant)
        if (
            usage.uncheckpointed > allowance * CHECKPOINT_TRIGGER_FRACTION
            or share > self.checkpoint.share * MAX_SHARE_GROWTH_FACTOR
        ):
            self.checkpoint.request_write()
        available = self._tolerance.fleet_quota(tenant) * share - usage.committed
        return max(0.0, min(available, allowance - usage.uncheckpointed))

    def time_until_freed_s(self, tenant: Tenant, requests: int, now_s: float) -> float:
        """Return in how many seconds the usage of ``requests`` requests will have expired.

        Does not consider lent quota or usage that earlier processes may not have checkpointed.
        """
        return self._current_usage(tenant, now_s).used.time_until_freed_s(requests, now_s)

    def _uncheckpointed_allowance(self, tenant: Tenant) -> float:
        """Return how much may be consumed beyond the checkpoint.

        The next process assumes an allowance for the share in the checkpoint, so a larger current
        share does not raise it.
        """
        share = min(self.limit_sharing.share, self.checkpoint.share)
        return self._tolerance.fleet_uncheckpointed_allowance(tenant) * share

    def _current_usage(self, tenant: Tenant, now_s: float) -> TenantUsage:
        """Return the usage with prior allowances charged and expired amounts dropped."""
        usage = self._get_or_create_usage(tenant.number, now_s)
        prior_usage = self.checkpoint.prior_usage
        if (
            prior_usage is not None
            and prior_usage.start_times_s
            and not usage.prior_allowance_added
        ):
            usage.prior_allowance_added = True
            amount = self._tolerance.fleet_uncheckpointed_allowance(tenant) * prior_usage.share
            usage.uncheckpointed_prior.add_backdated(
                [(at_s, amount) for at_s in prior_usage.start_times_s], now_s
            )
        usage.evict_expired(now_s)
        return usage

    def _get_or_create_usage(self, tenant_number: int, now_s: float) -> TenantUsage:
        usage = self._usage_by_tenant_number.get(tenant_number)
        if usage is None:
            lent = SlidingSum(self._tolerance.window_s + LOAN_TTL_S)
            usage = TenantUsage(
                self._new_window_sum(), lent, self._new_window_sum(), self._new_window_sum()
            )
            self._usage_by_tenant_number[tenant_number] = usage
            prior_usage = self.checkpoint.prior_usage
            if prior_usage is not None and tenant_number in prior_usage.by_tenant:
                usage.used.add_backdated(prior_usage.by_tenant[tenant_number], now_s)
        return usage

    def _new_window_sum(self) -> SlidingSum:
        return SlidingSum(self._tolerance.window_s)

    # Lending

    def create_borrow_request(
        self, tenant: Tenant, amount: float, peers: Collection[str], now_s: float
    ) -> TokenAsk:
        """Return the message that asks each of ``peers`` for an equal part of ``amount``."""
        self._evict_expired_requests(now_s)
        self._last_request_number += 1
        units = -(-round(amount * UNITS_PER_REQUEST) // max(1, len(peers)))
        self._pending_by_request_number[self._last_request_number] = _PendingBorrow(
            now_s, units, set(peers)
        )
        return TokenAsk(self._last_request_number, tenant.number, units)

    def lend(self, ask: TokenAsk, now_s: float) -> TokenGrant:
        """Lend a peer what it asks for, or as much as is available, and return the reply."""
        tenant = self._tenant_by_number.get(ask.tenant)
        if tenant is None:
            return TokenGrant(ask.number, ask.tenant, 0)
        units = max(0, min(ask.units, int(self.available(tenant, now_s) * UNITS_PER_REQUEST)))
        self._current_usage(tenant, now_s).lent.add(units / UNITS_PER_REQUEST, now_s)
        return TokenGrant(ask.number, ask.tenant, units)

    def receive_grant(self, sender: str, grant: TokenGrant, now_s: float) -> bool:
        """Add the quota that a peer lent and return whether further replies are pending.

        Counts at most one grant from each peer that was asked.
        """
        self._evict_expired_requests(now_s)
        pending = self._pending_by_request_number.get(grant.number)
        tenant = self._tenant_by_number.get(grant.tenant)
        if pending is None or tenant is None:
            return False
        if sender in pending.pending_peers:
            pending.pending_peers.discard(sender)
            granted = max(0, grant.units) / UNITS_PER_REQUEST
            if grant.units >= pending.units_per_peer:
                pending.full_lenders.append(sender)
            self._current_usage(tenant, now_s).add_loan(
                min(granted, self._tolerance.fleet_quota(tenant)),
                pending.sent_at_s + LOAN_TTL_S,
            )
        return bool(pending.pending_peers)

    def full_lenders(self, request_number: int) -> list[str]:
        """Return the peers that lent the full amount that the borrow request asked for."""
        pending = self._pending_by_request_number.get(request_number)
        return pending.full_lenders if pending is not None else []

    def _evict_expired_requests(self, now_s: float) -> None:
        """Drop borrow requests whose loans would have expired."""
        for request_number, pending in list(self._pending_by_request_number.items()):
            if now_s - pending.sent_at_s >= LOAN_TTL_S:
                del self._pending_by_request_number[request_number]
