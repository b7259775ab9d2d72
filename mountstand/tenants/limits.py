"""How many requests a tenant may send over all daemons together: token buckets in parts.

Each daemon that serves callers keeps an even part of every tenant's bucket. One that runs short
asks the others for what they can spare. A token is taken away where it is lent before it is added
where it is spent, so that all parts together never hold more than the whole, whatever is cut,
paused, lost or started again; what gets lost on the way is missing until it has refilled.

Pure: the time is handed in, messages come and go as values. Other ways that were tried, and the
figures of all, stand in docs/design/shifted-work.md.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from mountstand.tenants.standing import Standing
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant

DEPTH_SHARE = 0.6
START_SHARE = 0.3
"""Shares of the tolerance of a limit that buckets are deeper by than the burst, and that they hold
after a start, when what was spent before is not known. The rest is for daemons whose views of the
fleet differ for a moment."""

TOKENS_PER_UNIT = 1000
"""Tokens travel as whole numbers of thousandths: a part is often less than a whole token."""

ASK_MEMORY_S = 1.0
"""A grant that comes later than this after its question is dropped, with the tokens in it."""


@dataclass(frozen=True, slots=True)
class LimitTolerance:
    """How exactly limits must be kept.

    Within any ``window_s`` a tenant may get ``rate x window + burst`` requests, by a factor of
    ``overshoot`` more, and ``slack`` beyond that.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def beyond(self, tenant: Tenant) -> float:
        """Return by how many requests of a window the limit may be exceeded."""
        limit = tenant.rate_per_s * self.window_s + tenant.burst
        return limit * self.overshoot + self.slack

    def depth_for(self, tenant: Tenant) -> float:
        """Return how many tokens all parts of a bucket hold at most."""
        return tenant.burst + self.beyond(tenant) * DEPTH_SHARE

    def start_for(self, tenant: Tenant) -> float:
        """Return how many tokens all parts hold when all daemons have just started."""
        return min(self.depth_for(tenant), self.beyond(tenant) * START_SHARE)


@dataclass(slots=True)
class BucketPart:
    """The part of a tenant's bucket that one daemon keeps."""

    tokens: float
    filled_at_s: float

    def fill(
        self, now_s: float, own_rate_per_s: float, own_depth: float, rate_per_s: float
    ) -> None:
        """Add what came in, up to the part's own depth; lent tokens above it fade.

        They fade at the rate of the whole bucket, as fast as all others can refill at most, so
        that what was lent and what refilled meanwhile are never there both.
        """
        passed_s = max(0.0, now_s - self.filled_at_s)
        self.filled_at_s = now_s
        if self.tokens > own_depth:
            self.tokens = max(own_depth, self.tokens - passed_s * rate_per_s)
        else:
            self.tokens = min(own_depth, self.tokens + passed_s * own_rate_per_s)


class TenantLimits:
    """The parts of all limits that one daemon keeps, and what it asks of others and lends to them.

    ``began_s`` is when the process started. ``first_number`` is drawn by chance, so that answers to
    questions of the process before are not taken for its own.
    """

    __slots__ = (
        "_asked",
        "_began_s",
        "_by_number",
        "_next_number",
        "_part_by_number",
        "_tolerance",
        "standing",
    )

    def __init__(
        self, standing: Standing, tolerance: LimitTolerance, first_number: int, began_s: float
    ) -> None:
        self.standing = standing
        self._tolerance = tolerance
        self._next_number = first_number
        self._began_s = began_s
        self._by_number: dict[int, Tenant] = {}
        self._part_by_number: dict[int, BucketPart] = {}
        self._asked: dict[int, _Question] = {}

    def use_tolerance(self, tolerance: LimitTolerance) -> None:
        """Keep limits as exactly as this from now on."""
        self._tolerance = tolerance

    def use_tenants(self, tenants: TenantIndex, now_s: float) -> None:
        """Keep the limits of these tenants from now on."""
        limited = [tenant for tenant in tenants.by_name.values() if tenant.rate_per_s > 0]
        self._by_number = {tenant.number: tenant for tenant in limited}
        for number, part in list(self._part_by_number.items()):
            tenant = self._by_number.get(number)
            if tenant is None:
                del self._part_by_number[number]
            else:
                own_depth = self._tolerance.depth_for(tenant) * self.standing.share(now_s)
                part.tokens = min(part.tokens, own_depth)

    def take(self, tenant: Tenant, now_s: float) -> bool:
        """Take a token for a request; returns whether there was one."""
        if tenant.rate_per_s <= 0:
            return True
        part = self._filled(tenant, now_s)
        if part.tokens < 1:
            return False
        part.tokens -= 1
        return True

    def give_back(self, tenant: Tenant, now_s: float) -> None:
        """Put the token of a request back that reached no worker."""
        if tenant.rate_per_s > 0:
            self._filled(tenant, now_s).tokens += 1

    def own_tokens(self, tenant: Tenant, now_s: float) -> float:
        """Return what this daemon's part of a bucket holds."""
        return self._filled(tenant, now_s).tokens

    # Lending

    def ask(self, tenant: Tenant, tokens: float, peers: Collection[str], now_s: float) -> TokenAsk:
        """Return the question for ``tokens`` that goes to each of ``peers``."""
        self._forget_questions(now_s)
        self._next_number += 1
        question = _Question(now_s, set(peers))
        self._asked[self._next_number] = question
        return TokenAsk(self._next_number, tenant.number, _units(tokens))

    def lend(self, question: TokenAsk, now_s: float) -> TokenGrant:
        """Return the answer to another daemon: as many tokens as asked, or what there is."""
        tenant = self._by_number.get(question.tenant)
        if tenant is None:
            return TokenGrant(question.number, question.tenant, 0)
        part = self._filled(tenant, now_s)
        units = max(0, min(question.units, int(part.tokens * TOKENS_PER_UNIT)))
        part.tokens -= units / TOKENS_PER_UNIT
        return TokenGrant(question.number, question.tenant, units)

    def receive(self, sender: str, grant: TokenGrant, now_s: float) -> bool:
        """Add lent tokens, once for each daemon asked; returns whether more answers are due."""
        self._forget_questions(now_s)
        question = self._asked.get(grant.number)
        tenant = self._by_number.get(grant.tenant)
        if question is None or tenant is None or sender not in question.unanswered:
            return question is not None and bool(question.unanswered)
        question.unanswered.discard(sender)
        depth = self._tolerance.depth_for(tenant)
        part = self._filled(tenant, now_s)
        part.tokens = min(depth, part.tokens + max(0, grant.units) / TOKENS_PER_UNIT)
        return bool(question.unanswered)

    def _forget_questions(self, now_s: float) -> None:
        for number, question in list(self._asked.items()):
            if now_s - question.asked_at_s > ASK_MEMORY_S:
                del self._asked[number]

    # Parts

    def _filled(self, tenant: Tenant, now_s: float) -> BucketPart:
        """Return this daemon's part of a bucket as it is now."""
        share = self.standing.share(now_s)
        part = self._part_by_number.get(tenant.number)
        if part is None:
            part = BucketPart(self._tolerance.start_for(tenant) * share, self._began_s)
            self._part_by_number[tenant.number] = part
        part.fill(
            now_s,
            tenant.rate_per_s * share,
            self._tolerance.depth_for(tenant) * share,
            tenant.rate_per_s,
        )
        return part


@dataclass(slots=True)
class _Question:
    """A question for tokens, and the daemons that have not answered it."""

    asked_at_s: float
    unanswered: set[str]


def _units(tokens: float) -> int:
    return max(0, round(tokens * TOKENS_PER_UNIT))
