"""Keeps the limits of tenants together with the other daemons that serve callers."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable

from mountstand.limits.sharing import LimitSharing
from mountstand.membership.datagrams import DatagramMembership
from mountstand.membership.message_link import MembershipMessageLink
from mountstand.membership.registry import DaemonRegistry
from mountstand.serving.load_groups import serving_daemons
from mountstand.serving_settings import ServingSettings
from mountstand.store.rows import RowStore
from mountstand.telemetry.decisions import DecisionLog
from mountstand.tenants.gate import LimitGate
from mountstand.tenants.limits import LOAN_TTL_S, TenantLimits
from mountstand.tenants.marks import CheckpointState
from mountstand.tenants.stored_marks import UsageCheckpointWriter
from mountstand.tenants.tenant import TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant

NUMBER_BITS = 62
"""Questions are numbered from a chance number of so many bits."""


class ServingLimits:
    """The limits of one serving process."""

    def __init__(
        self,
        settings: ServingSettings,
        membership: DatagramMembership,
        registry: DaemonRegistry,
        store: RowStore,
        store_now_ms: Callable[[], int],
        rng: random.Random,
        log: DecisionLog,
    ) -> None:
        self._membership = membership
        self._registry = registry
        self._settings = settings
        self.limit_sharing = LimitSharing(settings.name)
        self._has_limits = asyncio.Event()
        self._later: asyncio.TimerHandle | None = None
        self._limits = TenantLimits(
            self.limit_sharing,
            CheckpointState(),
            settings.limit_tolerance,
            secrets.randbits(NUMBER_BITS),
        )
        self._checkpoint_writer = UsageCheckpointWriter(
            self._limits,
            store,
            settings.name,
            store_now_ms,
            self._window_s,
            log,
            asyncio.get_running_loop().time(),
        )
        self.gate = LimitGate(self._limits, MembershipMessageLink(membership), rng)

    def apply_settings(self, settings: ServingSettings) -> None:
        """Keep limits as exactly as the settings say."""
        self._settings = settings
        self._limits.set_tolerance(settings.limit_tolerance)

    def set_tenants(self, tenants: TenantIndex) -> None:
        """Keep the limits of a new configuration."""
        self._limits.set_tenants(tenants)
        if any(tenant.requests_per_s > 0 for tenant in tenants.by_name.values()):
            self._has_limits.set()

    def update_fleet(self, slots: int) -> None:
        """Take the daemons that the store lists, before workers with so many slots."""
        loop = asyncio.get_running_loop()
        listed = [row.as_peer() for row in self._registry.listed()]
        leaving = [row.as_peer() for row in self._registry.leaving()]
        served_lately = serving_daemons([*listed, *leaving], slots)
        hold_s = self._window_s() + LOAN_TTL_S
        self.limit_sharing.update_members(
            serving_daemons(listed, slots),
            self._membership.live_names(),
            loop.time(),
            served_lately & {peer.member_id for peer in leaving},
            hold_s,
        )
        if self.limit_sharing.has_reserved_shares and self._later is None:
            self._later = loop.call_later(hold_s, self._use_fleet_again, slots)

    def _use_fleet_again(self, slots: int) -> None:
        """Share out the parts of daemons that left a window ago."""
        self._later = None
        self.update_fleet(slots)

    def handle(self, sender: str, message: TokenAsk | TokenGrant) -> None:
        """Take what another daemon asks or lends."""
        self.gate.handle(sender, message)

    async def run(self) -> None:
        """Keep marks in the store from the first configuration with limits on."""
        await self._has_limits.wait()
        await self._checkpoint_writer.run()

    def _window_s(self) -> float:
        return self._settings.limit_tolerance.window_s
