"""How many requests a tenant may send over all daemons together, within any sliding window.

Each daemon that serves callers keeps an even part of what a window may hold. A request takes one,
which comes back a window later. A daemon that runs short asks the others; what one lends is missing
there for as long as the borrower's request can count, so that all parts together never exceed the
whole, whatever is cut, paused, lost or started again.

A process that starts does not know what the one before let through. About half of a part can be
used without a trace; for more, a mark must stand in the store, which the next process finds
(:mod:`mountstand.tenants.marks`). It begins with the other half, or with next to nothing.

Pure: the time is handed in, messages come and go as values. Other ways that were tried, and the
figures of all, stand in docs/design/shifted-work.md.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from mountstand.limits.standing import Standing
from mountstand.limits.window import SlidingSum
from mountstand.tenants.marks import Marks
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant

SPARE_SHARE = 0.5
START_SHARE = 0.3
"""Shares of what may exceed a limit: by the first, parts together hold more than the limit, since
what is lent and not used is missing for a while; the second is there after a start, whatever was
used before. The rest is for daemons whose views of the fleet differ for a moment."""

TWO_LIVES = 2
"""What is used without a mark may be used once by a process and once by the one after it."""

TOLERATED_SHARE = 0.9
"""Share of what may exceed a limit that both of them together may use."""

MARK_SHARE = 0.8
"""From this share of what needs no mark on, one is asked for: it must stand in time."""

UNITS = 1000
"""Parts of requests travel as whole numbers of thousandths."""

LOAN_S = 0.5
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

    def limit_of(self, tenant: Tenant) -> float:
        """Return how many requests a window may hold."""
        return tenant.requests_per_s * self.window_s + tenant.burst

    def beyond(self, tenant: Tenant) -> float:
        """Return by how many requests of a window the limit may be exceeded."""
        return self.limit_of(tenant) * self.overshoot + self.slack

    def whole_of(self, tenant: Tenant) -> float:
        """Return how many requests all parts together hold."""
        return self.limit_of(tenant) + self.beyond(tenant) * SPARE_SHARE

    def unmarked_of(self, tenant: Tenant) -> float:
        """Return how many of these may be used without a mark."""
        tolerated = self.limit_of(tenant) + self.beyond(tenant) * TOLERATED_SHARE
        return min(self.whole_of(tenant), tolerated / TWO_LIVES)

    def start_of(self, tenant: Tenant) -> float:
        """Return how many may be used after a start, whatever was used before."""
        return self.beyond(tenant) * START_SHARE


@dataclass(slots=True)
class LimitPart:
    """What this daemon has given away of one tenant's limit, and borrowed."""

    used: SlidingSum
    lent: SlidingSum
    borrowed: float = 0.0
    borrowed_until_s: float = 0.0

    @property
    def given(self) -> float:
        """What is missing in the part."""
        return self.used.total + self.lent.total

    def forget(self, now_s: float) -> None:
        """Let go what does not count any more."""
        self.used.forget(now_s)
        self.lent.forget(now_s)
        if now_s > self.borrowed_until_s:
            self.borrowed = 0.0

    def borrow(self, amount: float, until_s: float) -> None:
        """Add what was lent; all that is borrowed expires with the oldest loan."""
        self.borrowed_until_s = min(self.borrowed_until_s, until_s) if self.borrowed else until_s
        self.borrowed += amount


@dataclass(slots=True)
class _Question:
    """A question to other daemons, and those that have not answered it."""

    asked_at_s: float
    units: int
    unanswered: set[str]
    lenders: list[str] = field(default_factory=list)
    """Those that lent all that they were asked for."""


class TenantLimits:
    """The parts of all limits that one daemon keeps, and what it asks of others and lends to them.

    ``began_s`` is when the process started. ``first_number`` is drawn by chance, so that answers to
    questions of the process before are not taken for its own.
    """

    __slots__ = (
        "_began_s",
        "_by_number",
        "_next_number",
        "_part_by_number",
        "_question_by_number",
        "_tolerance",
        "marks",
        "standing",
    )

    def __init__(
        self,
        standing: Standing,
        marks: Marks,
        tolerance: LimitTolerance,
        first_number: int,
        began_s: float,
    ) -> None:
        self.standing = standing
        self.marks = marks
        self._tolerance = tolerance
        self._next_number = first_number
        self._began_s = began_s
        self._by_number: dict[int, Tenant] = {}
        self._part_by_number: dict[int, LimitPart] = {}
        self._question_by_number: dict[int, _Question] = {}

    def use_tolerance(self, tolerance: LimitTolerance) -> None:
        """Keep limits as exactly as this from now on."""
        if tolerance.window_s != self._tolerance.window_s:
            self._part_by_number.clear()
        self._tolerance = tolerance

    def use_tenants(self, tenants: TenantIndex) -> None:
        """Keep the limits of these tenants from now on."""
        limited = [tenant for tenant in tenants.by_name.values() if tenant.requests_per_s > 0]
        self._by_number = {tenant.number: tenant for tenant in limited}
        for number in self._part_by_number.keys() - self._by_number.keys():
            del self._part_by_number[number]

    # Requests

    def take(self, tenant: Tenant, now_s: float) -> bool:
        """Count a request; returns whether it is within the limit as far as is known here."""
        if tenant.requests_per_s <= 0:
            return True
        part = self._part(tenant, now_s)
        own = max(0.0, 1 - part.borrowed)
        if own > self.left(tenant, now_s):
            return False
        part.borrowed -= 1 - own
        part.used.add(own, now_s)
        return True

    def give_back(self, tenant: Tenant, now_s: float) -> None:
        """Count a request no more that reached no worker."""
        if tenant.requests_per_s > 0:
            self._part(tenant, now_s).used.add(-1.0, now_s)

    def lacking(self, tenant: Tenant, requests: int, now_s: float) -> float:
        """Return how much is lacking for so many requests."""
        return max(0.0, requests - self._part(tenant, now_s).borrowed - self.left(tenant, now_s))

    def left(self, tenant: Tenant, now_s: float) -> float:
        """Return how much of this daemon's own part may be used now."""
        part = self._part(tenant, now_s)
        unmarked = self._tolerance.unmarked_of(tenant) * self.standing.share
        if part.given > unmarked * MARK_SHARE:
            self.marks.want(tenant.number, now_s)
        return max(0.0, self._usable(tenant, now_s) - part.given)

    def free_again_s(self, tenant: Tenant, requests: int, now_s: float) -> float:
        """Return after how many seconds so many requests more fit into this daemon's part."""
        return self._part(tenant, now_s).used.free_again_s(requests, now_s)

    def _usable(self, tenant: Tenant, now_s: float) -> float:
        """Return how much of this daemon's part may be given away within a window."""
        tolerance = self._tolerance
        just_began = now_s - self._began_s <= tolerance.window_s + LOAN_S
        if just_began and self.marks.stood_at_start(tenant.number):
            whole = tolerance.start_of(tenant)
        elif just_began or not self.marks.stands(tenant.number, now_s):
            whole = tolerance.unmarked_of(tenant)
        else:
            whole = tolerance.whole_of(tenant)
        return whole * self.standing.share

    def _part(self, tenant: Tenant, now_s: float) -> LimitPart:
        part = self._part_by_number.get(tenant.number)
        if part is None:
            window_s = self._tolerance.window_s
            part = LimitPart(SlidingSum(window_s), SlidingSum(window_s + LOAN_S))
            self._part_by_number[tenant.number] = part
        part.forget(now_s)
        return part

    # Lending

    def ask(self, tenant: Tenant, amount: float, peers: Collection[str], now_s: float) -> TokenAsk:
        """Return the question for an even share of ``amount`` that goes to each of ``peers``."""
        self._forget_questions(now_s)
        self._next_number += 1
        units = -(-round(amount * UNITS) // max(1, len(peers)))
        self._question_by_number[self._next_number] = _Question(now_s, units, set(peers))
        return TokenAsk(self._next_number, tenant.number, units)

    def lend(self, question: TokenAsk, now_s: float) -> TokenGrant:
        """Return the answer to another daemon: as much as it asks for, or what there is."""
        tenant = self._by_number.get(question.tenant)
        if tenant is None:
            return TokenGrant(question.number, question.tenant, 0)
        units = max(0, min(question.units, int(self.left(tenant, now_s) * UNITS)))
        self._part(tenant, now_s).lent.add(units / UNITS, now_s)
        return TokenGrant(question.number, question.tenant, units)

    def receive(self, sender: str, grant: TokenGrant, now_s: float) -> bool:
        """Take what was lent, once from each daemon asked; returns whether more answers are due."""
        self._forget_questions(now_s)
        question = self._question_by_number.get(grant.number)
        tenant = self._by_number.get(grant.tenant)
        if question is None or tenant is None:
            return False
        if sender in question.unanswered:
            question.unanswered.discard(sender)
            lent = max(0, grant.units) / UNITS
            if grant.units >= question.units:
                question.lenders.append(sender)
            self._part(tenant, now_s).borrow(
                min(lent, self._tolerance.whole_of(tenant)), question.asked_at_s + LOAN_S
            )
        return bool(question.unanswered)

    def lenders(self, number: int) -> list[str]:
        """Return the daemons that lent all that a question asked them for."""
        question = self._question_by_number.get(number)
        return question.lenders if question is not None else []

    def _forget_questions(self, now_s: float) -> None:
        """Forget questions whose answers would come too late to be used."""
        for number, question in list(self._question_by_number.items()):
            if now_s - question.asked_at_s >= LOAN_S:
                del self._question_by_number[number]
