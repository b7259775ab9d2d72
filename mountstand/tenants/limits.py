"""How many requests a tenant may send over all daemons together, within any sliding window.

Each daemon that serves callers keeps an even part of what a window may hold. A request takes one,
which comes back a window later. A daemon that runs short asks the others; what one lends is missing
there for as long as the borrower's request can count, so that all parts together never exceed the
whole, whatever is cut, paused, lost or started again.

A process that starts learns from the store what the one before it let through, and when
(:mod:`mountstand.tenants.marks`). About half of a part can be used beyond what the store has; the
next process counts that half as used, once at its start.

Pure: the time is handed in, messages come and go as values. Other ways that were tried, and the
figures of all, stand in docs/design/shifted-work.md.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from mountstand.limits.sharing import LimitSharing
from mountstand.limits.window import SlidingSum
from mountstand.tenants.marks import (
    SHARE_TOLERANCE,
    CheckpointState,
    PriorUsage,
    TimedAmounts,
    UsageSnapshot,
)
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant

QUOTA_EXCESS_FRACTION = 0.5
STARTUP_EXCESS_FRACTION = 0.3
"""Shares of what may exceed a limit: by the first, parts together hold more than the limit, since
what is lent and not used is missing for a while; the second is there after a start until the store
has told what was used before. The rest is for daemons whose views of the fleet differ."""

UNCHECKPOINTED_FRACTION = 0.45
"""Share of a part that may be used beyond what the store has. More is missing after a start, when
it counts as used; with less, more is refused while the store takes no rows. Of callers at 0.6 of
their limit nearly all go on after the death of all daemons, 0.87 while the store is down for 8 s
(tests/model/test_tenant_limits.py and docs/design/competing-callers.md)."""

CHECKPOINT_TRIGGER_FRACTION = 0.8
"""From this share of the unmarked allowance on, a row is asked for: it must stand in time."""

CHECKPOINT_MIN_FRACTION = 0.4
"""Tenants that used this share of the unmarked allowance stand in the row, those with less do not:
all of theirs counts as unmarked."""

MAX_CHECKPOINT_TENANTS = 400
"""Tenants of one row at most, those that used most; each takes up to 145 bytes of the 64 kB that a
row may have."""

UNITS_PER_REQUEST = 1000
"""Parts of requests travel as whole numbers of thousandths."""

LOAN_TTL_S = 0.5
"""What was lent must be used within this time after it was asked for."""


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """How exactly limits must be kept.

    Within any ``window_s`` a tenant may get ``rate x window + burst`` requests, by a factor of
    ``overshoot`` more, and ``slack`` beyond that.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def window_limit(self, tenant: Tenant) -> float:
        """Return how many requests a window may hold."""
        return tenant.requests_per_s * self.window_s + tenant.burst

    def tolerated_excess(self, tenant: Tenant) -> float:
        """Return by how many requests of a window the limit may be exceeded."""
        return self.window_limit(tenant) * self.overshoot + self.slack

    def fleet_quota(self, tenant: Tenant) -> float:
        """Return how many requests all parts together hold."""
        return self.window_limit(tenant) + self.tolerated_excess(tenant) * QUOTA_EXCESS_FRACTION

    def fleet_uncheckpointed_allowance(self, tenant: Tenant) -> float:
        """Return how many of these may be used beyond what the store has."""
        return self.fleet_quota(tenant) * UNCHECKPOINTED_FRACTION

    def startup_quota(self, tenant: Tenant) -> float:
        """Return how many may be used after a start before it is known what was used before."""
        return self.tolerated_excess(tenant) * STARTUP_EXCESS_FRACTION


@dataclass(slots=True)
class TenantUsage:
    """What this daemon has given away of one tenant's limit, and borrowed.

    ``prior_usage`` is what processes before it may have used without a trace; ``checkpointed`` is what the
    store has of ``used`` and ``lent``, which include what it told of the processes before.
    """

    used: SlidingSum
    lent: SlidingSum
    prior_usage: SlidingSum
    checkpointed: SlidingSum
    prior_allowance_added: bool = False
    borrowed: float = 0.0
    borrowed_expires_s: float = 0.0

    @property
    def committed(self) -> float:
        """What is missing in the part."""
        return self.used.total + self.lent.total + self.prior_usage.total

    @property
    def uncheckpointed(self) -> float:
        """How much of it the store does not have."""
        return self.used.total + self.lent.total - self.checkpointed.total

    def amounts(self) -> TimedAmounts:
        """Return what is used and lent, by the time; what is lent counts for a loan longer."""
        lent = [(at_s + LOAN_TTL_S, amount) for at_s, amount in self.lent.entries()]
        return tuple(sorted([*self.used.entries(), *lent]))

    def evict_expired(self, now_s: float) -> None:
        """Let go what does not count any more."""
        for amounts in (self.used, self.lent, self.prior_usage, self.checkpointed):
            amounts.evict_expired(now_s)
        if now_s > self.borrowed_expires_s:
            self.borrowed = 0.0

    def borrow(self, amount: float, until_s: float) -> None:
        """Add what was lent; all that is borrowed expires with the oldest loan."""
        self.borrowed_expires_s = (
            min(self.borrowed_expires_s, until_s) if self.borrowed else until_s
        )
        self.borrowed += amount


@dataclass(slots=True)
class _Question:
    """A question to other daemons, and those that have not answered it."""

    sent_at_s: float
    units: int
    pending_peers: set[str]
    full_lenders: list[str] = field(default_factory=list)
    """Those that lent all that they were asked for."""


class TenantLimits:
    """The parts of all limits that one daemon keeps, and what it asks of others and lends to them.

    ``initial_request_number`` is drawn by chance, so that answers to questions of the process before are not
    taken for its own.
    """

    __slots__ = (
        "_by_number",
        "_next_number",
        "_part_by_number",
        "_question_by_number",
        "_tolerance",
        "checkpoint_XX",
        "limit_sharing",
    )

    def __init__(
        self,
        limit_sharing: LimitSharing,
        checkpoint_XX: CheckpointState,
        tolerance: LimitTolerance,
        initial_request_number: int,
    ) -> None:
        self.limit_sharing = limit_sharing
        self.checkpoint_XX = checkpoint_XX
        self._tolerance = tolerance
        self._next_number = initial_request_number
        self._by_number: dict[int, Tenant] = {}
        self._part_by_number: dict[int, TenantUsage] = {}
        self._question_by_number: dict[int, _Question] = {}

    def set_tolerance(self, tolerance: LimitTolerance) -> None:
        """Keep limits as exactly as this from now on."""
        if tolerance.window_s != self._tolerance.window_s:
            self._part_by_number.clear()
        self._tolerance = tolerance

    def set_tenants(self, tenants: TenantIndex) -> None:
        """Keep the limits of these tenants from now on."""
        limited = [tenant for tenant in tenants.by_name.values() if tenant.requests_per_s > 0]
        self._by_number = {tenant.number: tenant for tenant in limited}
        for number in self._part_by_number.keys() - self._by_number.keys():
            del self._part_by_number[number]

    # The store

    def apply_prior_usage(self, prior_usage: PriorUsage, now_s: float) -> None:
        """Count what the processes before let through, as the store told."""
        self.checkpoint_XX.prior_usage = prior_usage
        for number, usage in self._part_by_number.items():
            usage.used.add_backdated(prior_usage.by_tenant.get(number, ()), now_s)
        for number in prior_usage.by_tenant:
            self._part_of(number, now_s)

    def snapshot(self, now_s: float) -> UsageSnapshot:
        """Return what the row is to say; tenants that it leaves out are unmarked from now on."""
        told: list[tuple[float, int]] = []
        for number, usage in self._part_by_number.items():
            usage.evict_expired(now_s)
            tenant = self._by_number.get(number)
            least = (
                self._unmarked_allowance(tenant) * CHECKPOINT_MIN_FRACTION
                if tenant is not None
                else 0.0
            )
            if usage.used.total + usage.lent.total > least:
                told.append((usage.used.total + usage.lent.total, number))
        numbers = {number for _, number in sorted(told, reverse=True)[:MAX_CHECKPOINT_TENANTS]}
        for number, usage in self._part_by_number.items():
            if number not in numbers:
                usage.checkpointed = self._new_sum()
        by_tenant = {number: self._part_by_number[number].amounts() for number in numbers}
        return UsageSnapshot(self.limit_sharing.share, by_tenant)

    def record_checkpoint(self, snapshot: UsageSnapshot, now_s: float) -> None:
        """Note that the store has a row with ``snapshot``."""
        self.checkpoint_XX.share = snapshot.share
        for number, amounts in snapshot.by_tenant.items():
            usage = self._part_by_number.get(number)
            if usage is not None:
                usage.checkpointed = self._new_sum()
                usage.checkpointed.add_backdated(amounts, now_s)

    # Requests

    def try_acquire(self, tenant: Tenant, now_s: float) -> bool:
        """Count a request; returns whether it is within the limit as far as is known here."""
        if tenant.requests_per_s <= 0:
            return True
        usage = self._part(tenant, now_s)
        own = max(0.0, 1 - usage.borrowed)
        if own > self.available(tenant, now_s):
            return False
        usage.borrowed -= 1 - own
        usage.used.add(own, now_s)
        return True

    def refund(self, tenant: Tenant, now_s: float) -> None:
        """Count a request no more that reached no worker."""
        if tenant.requests_per_s > 0:
            self._part(tenant, now_s).used.add(-1.0, now_s)

    def shortfall(self, tenant: Tenant, requests: int, now_s: float) -> float:
        """Return how much is lacking for so many requests."""
        return max(
            0.0, requests - self._part(tenant, now_s).borrowed - self.available(tenant, now_s)
        )

    def available(self, tenant: Tenant, now_s: float) -> float:
        """Return how much of this daemon's own part may be used now."""
        usage = self._part(tenant, now_s)
        share = self.limit_sharing.share
        if self.checkpoint_XX.prior_usage is None:
            return max(0.0, self._tolerance.startup_quota(tenant) * share - usage.committed)
        allowance = self._unmarked_allowance(tenant)
        if (
            usage.uncheckpointed > allowance * CHECKPOINT_TRIGGER_FRACTION
            or share > self.checkpoint_XX.share * SHARE_TOLERANCE
        ):
            self.checkpoint_XX.request_write()
        available = self._tolerance.fleet_quota(tenant) * share - usage.committed
        return max(0.0, min(available, allowance - usage.uncheckpointed))

    def time_until_freed_s(self, tenant: Tenant, requests: int, now_s: float) -> float:
        """Return after how many seconds so many requests more fit into this daemon's part."""
        return self._part(tenant, now_s).used.time_until_freed_s(requests, now_s)

    def _unmarked_allowance(self, tenant: Tenant) -> float:
        """Return how much may be used beyond what the store has, which knows an older share."""
        share = min(self.limit_sharing.share, self.checkpoint_XX.share)
        return self._tolerance.fleet_uncheckpointed_allowance(tenant) * share

    def _part(self, tenant: Tenant, now_s: float) -> TenantUsage:
        usage = self._part_of(tenant.number, now_s)
        prior_usage = self.checkpoint_XX.prior_usage
        if (
            prior_usage is not None
            and prior_usage.start_times_s
            and not usage.prior_allowance_added
        ):
            usage.prior_allowance_added = True
            amount = self._tolerance.fleet_uncheckpointed_allowance(tenant) * prior_usage.share
            usage.prior_usage.add_backdated(
                [(at_s, amount) for at_s in prior_usage.start_times_s], now_s
            )
        usage.evict_expired(now_s)
        return usage

    def _part_of(self, number: int, now_s: float) -> TenantUsage:
        usage = self._part_by_number.get(number)
        if usage is None:
            lent = SlidingSum(self._tolerance.window_s + LOAN_TTL_S)
            usage = TenantUsage(self._new_sum(), lent, self._new_sum(), self._new_sum())
            self._part_by_number[number] = usage
            prior_usage = self.checkpoint_XX.prior_usage
            if prior_usage is not None and number in prior_usage.by_tenant:
                usage.used.add_backdated(prior_usage.by_tenant[number], now_s)
        return usage

    def _new_sum(self) -> SlidingSum:
        return SlidingSum(self._tolerance.window_s)

    # Lending

    def create_request(
        self, tenant: Tenant, amount: float, peers: Collection[str], now_s: float
    ) -> TokenAsk:
        """Return the question for an even share of ``amount`` that goes to each of ``peers``."""
        self._forget_questions(now_s)
        self._next_number += 1
        units = -(-round(amount * UNITS_PER_REQUEST) // max(1, len(peers)))
        self._question_by_number[self._next_number] = _Question(now_s, units, set(peers))
        return TokenAsk(self._next_number, tenant.number, units)

    def lend(self, request: TokenAsk, now_s: float) -> TokenGrant:
        """Return the answer to another daemon: as much as it asks for, or what there is."""
        tenant = self._by_number.get(request.tenant)
        if tenant is None:
            return TokenGrant(request.number, request.tenant, 0)
        units = max(0, min(request.units, int(self.available(tenant, now_s) * UNITS_PER_REQUEST)))
        self._part(tenant, now_s).lent.add(units / UNITS_PER_REQUEST, now_s)
        return TokenGrant(request.number, request.tenant, units)

    def receive_grant(self, sender: str, grant: TokenGrant, now_s: float) -> bool:
        """Take what was lent, once from each daemon asked; returns whether more answers are due."""
        self._forget_questions(now_s)
        request = self._question_by_number.get(grant.number)
        tenant = self._by_number.get(grant.tenant)
        if request is None or tenant is None:
            return False
        if sender in request.pending_peers:
            request.pending_peers.discard(sender)
            lent = max(0, grant.units) / UNITS_PER_REQUEST
            if grant.units >= request.units:
                request.full_lenders.append(sender)
            self._part(tenant, now_s).borrow(
                min(lent, self._tolerance.fleet_quota(tenant)), request.sent_at_s + LOAN_TTL_S
            )
        return bool(request.pending_peers)

    def full_lenders(self, number: int) -> list[str]:
        """Return the daemons that lent all that a question asked them for."""
        request = self._question_by_number.get(number)
        return request.full_lenders if request is not None else []

    def _forget_questions(self, now_s: float) -> None:
        """Forget questions whose answers would come too late to be used."""
        for number, request in list(self._question_by_number.items()):
            if now_s - request.sent_at_s >= LOAN_TTL_S:
                del self._question_by_number[number]
