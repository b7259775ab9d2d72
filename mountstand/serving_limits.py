"""Keeps the limits of tenants together with the other daemons that serve callers."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Collection

from mountstand.membership.datagrams import DatagramMembership
from mountstand.membership.registry import DaemonRegistry
from mountstand.serving.load_groups import Peer, serving_members
from mountstand.serving_settings import ServingSettings
from mountstand.tenants.gate import LimitGate, TokenLink
from mountstand.tenants.limits import TenantLimits
from mountstand.tenants.standing import Standing
from mountstand.tenants.tenant import TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant

NUMBER_BITS = 62
"""Questions are numbered from a chance number of so many bits."""


class MembershipTokenLink(TokenLink):
    """Sends in the datagrams of failure detection."""

    __slots__ = ("_membership",)

    def __init__(self, membership: DatagramMembership) -> None:
        self._membership = membership

    def send(self, message: TokenAsk | TokenGrant, receivers: Collection[str]) -> None:
        """Send a message to daemons."""
        self._membership.send(message, receivers)


class ServingLimits:
    """The limits of one serving process."""

    def __init__(
        self,
        settings: ServingSettings,
        membership: DatagramMembership,
        registry: DaemonRegistry,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._registry = registry
        self._standing = Standing(settings.name)
        now_s = asyncio.get_running_loop().time()
        self._limits = TenantLimits(
            self._standing, settings.limit_tolerance, secrets.randbits(NUMBER_BITS), now_s
        )
        self.gate = LimitGate(self._limits, MembershipTokenLink(membership), rng)

    def use_settings(self, settings: ServingSettings) -> None:
        """Keep limits as exactly as the settings say."""
        self._limits.use_tolerance(settings.limit_tolerance)

    def use_tenants(self, tenants: TenantIndex) -> None:
        """Keep the limits of a new configuration."""
        self._limits.use_tenants(tenants, asyncio.get_running_loop().time())

    def use_fleet(self, slots: int) -> None:
        """Take the daemons that the store lists, before workers with so many slots."""
        listed = [Peer(row.name, row.zone, row.capacity) for row in self._registry.listed()]
        now_s = asyncio.get_running_loop().time()
        self._standing.use(serving_members(listed, slots), self._membership.live_names(), now_s)

    def handle(self, sender: str, message: TokenAsk | TokenGrant) -> None:
        """Take what another daemon asks or lends."""
        self.gate.handle(sender, message)
