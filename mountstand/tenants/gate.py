"""Admission control for tenants, with quota borrowed from peers when the local quota runs out.

Most requests are admitted from this daemon's own quota. When it is exhausted, a request waits a few
milliseconds for grants from peers; all waiting requests of a tenant share one borrow request. If no
peer has quota available, the tenant is at its limit: for ``BORROW_BACKOFF_S``, further requests
beyond the local quota are rejected without asking peers.
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
"""How long to wait for grants in one round.

A round trip between zones takes about 2 ms, and a busy daemon adds some. Grants that arrive later
count for later requests.
"""

MAX_BORROW_ROUNDS = 3
"""Maximum number of borrow rounds per request.

The first round asks up to ``MAX_PEERS_PER_ROUND`` random peers for equal parts of the shortfall.
Later rounds ask only those that lent their full part, for what is still missing.
"""

MAX_PEERS_PER_ROUND = 24
"""Maximum number of peers asked in a round; bounds the number of messages in large fleets."""

BORROW_BACKOFF_S = 0.25
"""How long requests beyond the local quota are rejected without asking peers after a failure.

A failure means that no peer had enough quota available, or that none replied in time.
"""

RECENT_REJECTION_S = 1.0
"""Rejections within this time count as ahead of a new one when its retry time is computed."""


@dataclass(slots=True)
class _Shortage:
    """State of a tenant that has exhausted this daemon's own quota."""

    waiting_requests: int = 0
    round_done: asyncio.Future[None] | None = None
    """Completes when the current borrow round ends; ``None`` while there is none."""

    backoff_until_s: float = float("-inf")
    rejected_at_s: list[float] = field(default_factory=list)
    """Times of recent rejections."""


class LimitGate:
    """Admits requests against this daemon's quotas, and borrows quota from peers."""

    def __init__(self, limits: TenantLimits, link: MessageLink, rng: random.Random) -> None:
        self.limits = limits
        self._link = link
        self._rng = rng
        self._shortage_by_tenant: dict[str, _Shortage] = {}
        self._round_done_by_request: dict[int, asyncio.Future[None]] = {}

    def try_acquire(self, tenant: Tenant) -> bool:
        """Consume quota for one request if it is available locally; return whether it was."""
        return self.limits.try_acquire(tenant, self._now_s())

    def refund(self, tenant: Tenant) -> None:
        """Give back the quota consumed by a request that reached no worker."""
        self.limits.refund(tenant, self._now_s())

    async def borrow_or_reject(self, tenant: Tenant) -> float | None:
        """Consume quota for one request, borrowing it from peers, or record its rejection.

        Returns ``None`` if the request is admitted, otherwise the seconds to wait before a retry.
        """
        loop = asyncio.get_running_loop()
        shortage = self._shortage_by_tenant.setdefault(tenant.name, _Shortage())
        if loop.time() >= shortage.backoff_until_s:
            shortage.waiting_requests += 1
            try:
                if await self._borrow_from_peers(tenant, shortage):
                    return None
            finally:
                shortage.waiting_requests -= 1
            shortage.backoff_until_s = loop.time() + BORROW_BACKOFF_S
        return self._reject(tenant, shortage, loop.time())

    def handle(self, sender: str, message: TokenAsk | TokenGrant) -> None:
        """Reply to a peer's borrow request, or process its grant."""
        now_s = self._now_s()
        if isinstance(message, TokenAsk):
            self._link.send(self.limits.lend(message, now_s), (sender,))
            return
        replies_pending = self.limits.receive_grant(sender, message, now_s)
        round_done = self._round_done_by_request.get(message.number)
        if not replies_pending and round_done is not None and not round_done.done():
            round_done.set_result(None)

    async def _borrow_from_peers(self, tenant: Tenant, shortage: _Shortage) -> bool:
        """Borrow until the request is admitted, no peer has quota left or the rounds are used up.

        Returns whether the request was admitted.
        """
        peers = self.limits.limit_sharing.peers
        if len(peers) > MAX_PEERS_PER_ROUND:
            peers = self._rng.sample(peers, MAX_PEERS_PER_ROUND)
        for _ in range(MAX_BORROW_ROUNDS):
            if not peers:
                return False
            peers = await self._run_round(tenant, shortage, peers)
            if self.try_acquire(tenant):
                return True
        return False

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _run_round(self, tenant: Tenant, shortage: _Shortage, peers: list[str]) -> list[str]:
        """Ask ``peers`` for the missing quota, or wait for the tenant's round in progress.

        Returns the peers that may have more available.
        """
        if shortage.round_done is not None:
            await asyncio.wait([shortage.round_done], timeout=GRANT_TIMEOUT_S)
            return peers
        loop = asyncio.get_running_loop()
        shortfall = self.limits.shortfall(tenant, shortage.waiting_requests, loop.time())
        ask = self.limits.create_borrow_request(tenant, shortfall, peers, loop.time())
        round_done: asyncio.Future[None] = loop.create_future()
        shortage.round_done = self._round_done_by_request[ask.number] = round_done
        try:
            self._link.send(ask, peers)
            await asyncio.wait([round_done], timeout=GRANT_TIMEOUT_S)
        finally:
            shortage.round_done = None
            del self._round_done_by_request[ask.number]
            if not round_done.done():
                round_done.set_result(None)
        return self.limits.full_lenders(ask.number)

    def _reject(self, tenant: Tenant, shortage: _Shortage, now_s: float) -> float:
        """Record a rejection and return the seconds to wait before a retry.

        Recently rejected requests are assumed to retry first, one for each request whose usage
        expires, so no rejection gets an earlier time than the one before it.
        """
        shortage.rejected_at_s = [
            at_s for at_s in shortage.rejected_at_s if now_s - at_s < RECENT_REJECTION_S
        ]
        shortage.rejected_at_s.append(now_s)
        return self.limits.time_until_freed_s(tenant, len(shortage.rejected_at_s), now_s)
