"""Lets requests of tenants through, and asks other daemons where this one runs short.

Most requests fit into this daemon's part of the limit. One that does not waits for the answers of
the other daemons, some milliseconds; all requests of a tenant that wait share one question. Where
nobody has anything to spare, the tenant is at its limit: its further requests are refused at once
for a moment.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from mountstand.membership.message_link import MessageLink
from mountstand.tenants.limits import TenantLimits
from mountstand.tenants.tenant import Tenant
from mountstand.wire.gossip import TokenAsk, TokenGrant

GRANT_TIMEOUT_S = 0.03
"""How long answers are waited for: a datagram there and back takes two milliseconds between zones,
and a busy daemon some more. Answers that come later still count for later requests."""

MAX_BORROW_ROUNDS = 3
"""Questions that one request waits for at most. The first asks every other daemon for an even share
of what is lacking; the next ones ask those that had it for what others did not have."""

MAX_PEERS_PER_ROUND = 24
"""Daemons that one question goes to at most, so that its cost has a bound in any fleet."""

BORROW_BACKOFF_S = 0.25
"""How long a tenant's requests are refused at once after nobody had anything to spare. What comes
back meanwhile is found by the next question."""


RECENT_REJECTION_S = 1.0
"""Requests that were refused within this time are counted as coming back before a further one."""


@dataclass(slots=True)
class _Shortage:
    """A tenant of which some requests wait for tokens, or were refused a moment ago."""

    waiting_requests: int = 0
    reply_received: asyncio.Future[None] | None = None
    backoff_until_s: float = float("-inf")
    rejected_at_s: list[float] = field(default_factory=list)
    """When requests were refused lately."""


class LimitGate:
    """Counts requests against this daemon's parts of the limits, and borrows from others."""

    def __init__(self, limits: TenantLimits, link: MessageLink, rng: random.Random) -> None:
        self.limits = limits
        self._link = link
        self._rng = rng
        self._shortage_by_tenant: dict[str, _Shortage] = {}
        self._future_by_number: dict[int, asyncio.Future[None]] = {}

    def try_acquire(self, tenant: Tenant) -> bool:
        """Count a request if it fits into this daemon's part; returns whether it does."""
        return self.limits.try_acquire(tenant, self._now_s())

    def refund(self, tenant: Tenant) -> None:
        """Count a request no more that reached no worker."""
        self.limits.refund(tenant, self._now_s())

    async def borrow_or_reject(self, tenant: Tenant) -> float | None:
        """Count a request with the help of others; returns ``None``, or when one may fit."""
        loop = asyncio.get_running_loop()
        shortage = self._shortage_by_tenant.setdefault(tenant.name, _Shortage())
        if loop.time() >= shortage.backoff_until_s:
            shortage.waiting_requests += 1
            try:
                if await self._ask_around(tenant, shortage):
                    return None
            finally:
                shortage.waiting_requests -= 1
            shortage.backoff_until_s = loop.time() + BORROW_BACKOFF_S
        return self._refuse(tenant, shortage, loop.time())

    def handle(self, sender: str, message: TokenAsk | TokenGrant) -> None:
        """Answer another daemon's question, or take its answer."""
        now_s = self._now_s()
        if isinstance(message, TokenAsk):
            self._link.send(self.limits.lend(message, now_s), (sender,))
            return
        replies_pending = self.limits.receive_grant(sender, message, now_s)
        reply_received = self._future_by_number.get(message.number)
        if not replies_pending and reply_received is not None and not reply_received.done():
            reply_received.set_result(None)

    async def _ask_around(self, tenant: Tenant, shortage: _Shortage) -> bool:
        """Ask the others until there is enough or nobody has anything to spare."""
        peers = self.limits.limit_sharing.peers
        if len(peers) > MAX_PEERS_PER_ROUND:
            peers = self._rng.sample(peers, MAX_PEERS_PER_ROUND)
        for _ in range(MAX_BORROW_ROUNDS):
            if not peers:
                return False
            peers = await self._ask(tenant, shortage, peers)
            if self.try_acquire(tenant):
                return True
        return False

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _ask(self, tenant: Tenant, shortage: _Shortage, peers: list[str]) -> list[str]:
        """Ask ``peers`` for what is lacking, or wait for the question under way.

        Returns those that may have more to spare.
        """
        if shortage.reply_received is not None:
            await asyncio.wait([shortage.reply_received], timeout=GRANT_TIMEOUT_S)
            return peers
        loop = asyncio.get_running_loop()
        shortfall = self.limits.shortfall(tenant, shortage.waiting_requests, loop.time())
        request = self.limits.ask(tenant, shortfall, peers, loop.time())
        reply_received: asyncio.Future[None] = loop.create_future()
        shortage.reply_received = self._future_by_number[request.number] = reply_received
        try:
            self._link.send(request, peers)
            await asyncio.wait([reply_received], timeout=GRANT_TIMEOUT_S)
        finally:
            shortage.reply_received = None
            del self._future_by_number[request.number]
            if not reply_received.done():
                reply_received.set_result(None)
        return self.limits.full_lenders(request.number)

    def _refuse(self, tenant: Tenant, shortage: _Shortage, now_s: float) -> float:
        """Return when a request that is refused now may fit.

        Requests that were refused a moment ago come back first, each when one more fits.
        """
        shortage.rejected_at_s = [
            at_s for at_s in shortage.rejected_at_s if now_s - at_s < RECENT_REJECTION_S
        ]
        shortage.rejected_at_s.append(now_s)
        return self.limits.time_until_freed_s(tenant, len(shortage.rejected_at_s), now_s)
