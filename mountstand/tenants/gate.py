"""Lets requests of tenants through, and asks other daemons for tokens where this one runs short.

Most requests find a token here. One that does not waits for the answers of the other daemons, some
milliseconds; all requests of a tenant that wait share one question. Where nobody has a token to
spare, the tenant is at its limit: its further requests are refused at once for a moment.
"""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Collection
from dataclasses import dataclass, field

from mountstand.tenants.limits import TenantLimits
from mountstand.tenants.tenant import Tenant
from mountstand.wire.gossip import TokenAsk, TokenGrant

ROUND_S = 0.03
"""How long answers are waited for: a datagram there and back takes two milliseconds between zones,
and a busy daemon some more. Answers that come later still count for later requests."""

SPREAD_TOKENS = 4.0
"""The first question asks all others together for so many times what is lacking, an even part of
each: a few empty or silent ones do no harm, and little is moved in vain."""

SPARE_TOKENS = 1.0
"""Asked for beyond what is lacking, for requests that come while the answers are under way."""

MOST_ASKED = 24
"""Daemons that one question goes to at most, so that its cost has a bound in any fleet."""

PAUSE_S = 0.25
"""How long a tenant's requests are refused at once after nobody had a token. What refills meanwhile
is found by the next question."""


class TokenLink(ABC):
    """How questions and grants reach other daemons."""

    __slots__ = ()

    @abstractmethod
    def send(self, message: TokenAsk | TokenGrant, receivers: Collection[str]) -> None:
        """Send a message to daemons; it may get lost."""


@dataclass(slots=True)
class _Shortage:
    """A tenant of which some requests wait for tokens, or were refused a moment ago."""

    waiting: int = 0
    answered: asyncio.Future[None] | None = None
    paused_until_s: float = float("-inf")
    refused_s: list[float] = field(default_factory=list)
    """When requests were refused lately."""


class LimitGate:
    """Takes tokens of this daemon's parts, and borrows from others."""

    def __init__(self, limits: TenantLimits, link: TokenLink, rng: random.Random) -> None:
        self.limits = limits
        self._link = link
        self._rng = rng
        self._shortage_by_tenant: dict[str, _Shortage] = {}
        self._future_by_number: dict[int, asyncio.Future[None]] = {}

    def take(self, tenant: Tenant) -> bool:
        """Take a token that is here; returns whether there was one."""
        return self.limits.take(tenant, asyncio.get_running_loop().time())

    def give_back(self, tenant: Tenant) -> None:
        """Put a token back."""
        self.limits.give_back(tenant, asyncio.get_running_loop().time())

    async def borrow(self, tenant: Tenant) -> float | None:
        """Take a token with the help of others; returns ``None``, or when one may be had."""
        loop = asyncio.get_running_loop()
        shortage = self._shortage_by_tenant.setdefault(tenant.name, _Shortage())
        if loop.time() >= shortage.paused_until_s:
            shortage.waiting += 1
            try:
                if await self._ask_around(tenant, shortage):
                    return None
            finally:
                shortage.waiting -= 1
            shortage.paused_until_s = loop.time() + PAUSE_S
        return self._refuse(tenant, shortage, loop.time())

    def handle(self, sender: str, message: TokenAsk | TokenGrant) -> None:
        """Answer another daemon's question, or take its answer."""
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, TokenAsk):
            self._link.send(self.limits.lend(message, now_s), (sender,))
            return
        more_due = self.limits.receive(sender, message, now_s)
        answered = self._future_by_number.get(message.number)
        if not more_due and answered is not None and not answered.done():
            answered.set_result(None)

    async def _ask_around(self, tenant: Tenant, shortage: _Shortage) -> bool:
        """Ask for a part of each first, then for all that is lacking."""
        peers = self.limits.standing.peers
        if len(peers) > MOST_ASKED:
            peers = self._rng.sample(peers, MOST_ASKED)
        for part in (min(1.0, SPREAD_TOKENS / max(1, len(peers))), 1.0):
            if not peers:
                return False
            await self._ask(tenant, shortage, part, peers)
            if self.take(tenant):
                return True
        return False

    async def _ask(
        self, tenant: Tenant, shortage: _Shortage, part: float, peers: list[str]
    ) -> None:
        """Ask ``peers`` for a part of what is lacking, or wait for the question under way."""
        if shortage.answered is not None:
            await asyncio.wait([shortage.answered], timeout=ROUND_S)
            return
        loop = asyncio.get_running_loop()
        lacking = shortage.waiting + SPARE_TOKENS
        question = self.limits.ask(tenant, lacking * part, peers, loop.time())
        answered: asyncio.Future[None] = loop.create_future()
        shortage.answered = self._future_by_number[question.number] = answered
        try:
            self._link.send(question, peers)
            await asyncio.wait([answered], timeout=ROUND_S)
        finally:
            shortage.answered = None
            del self._future_by_number[question.number]
            if not answered.done():
                answered.set_result(None)

    def _refuse(self, tenant: Tenant, shortage: _Shortage, now_s: float) -> float:
        """Return when a request that is refused now may fit: one after another at the limit's rate.

        Requests that were refused within the last second come back first.
        """
        shortage.refused_s = [at_s for at_s in shortage.refused_s if now_s - at_s < 1.0]
        shortage.refused_s.append(now_s)
        return len(shortage.refused_s) / tenant.rate_per_s
