"""Rate limits of tenants, which the daemons that callers are referred to enforce together."""

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

INITIAL_REQUEST_NUMBER_BITS = 62
"""Bits of the random number with which the numbering of token requests to other daemons starts, so
that a restarted process doesn't accept grants for requests of its predecessor."""


class ServingLimits:
    """Enforces this daemon's shares of the tenants' rate limits, and lends and borrows tokens."""

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
        self._has_shares = asyncio.Event()
        self._share_release_timer: asyncio.TimerHandle | None = None
        self._limits = TenantLimits(
            self.limit_sharing,
            CheckpointState(),
            settings.limit_tolerance,
            secrets.randbits(INITIAL_REQUEST_NUMBER_BITS),
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
        """Apply the window and the tolerated excess of the limits."""
        self._settings = settings
        self._limits.set_tolerance(settings.limit_tolerance)

    def set_tenants(self, tenants: TenantIndex) -> None:
        """Apply the limits of a new configuration."""
        self._limits.set_tenants(tenants)
        if any(tenant.requests_per_s > 0 for tenant in tenants.by_name.values()):
            self._has_limits.set()

    def redistribute(self, slots: int) -> None:
        """Redistribute the limits among the daemons that serve callers.

        ``slots`` is the number of slots of all workers, which determines how many daemons serve.
        These are selected from the registry rows in the store, whether or not the daemons are
        believed to run: an unresponsive daemon may still admit requests. The share of a daemon that
        left stays reserved for one window and the lifetime of a token loan, since the requests that
        it admitted still count.
        """
        loop = asyncio.get_running_loop()
        listed = [row.as_peer() for row in self._registry.listed()]
        leaving = [row.as_peer() for row in self._registry.leaving()]
        recently_serving = serving_daemons([*listed, *leaving], slots)
        reserve_s = self._window_s() + LOAN_TTL_S
        self.limit_sharing.update_members(
            serving_daemons(listed, slots),
            self._membership.live_names(),
            loop.time(),
            recently_serving & {peer.member_id for peer in leaving},
            reserve_s,
        )
        self._has_shares.set()
        if self.limit_sharing.has_reserved_shares and self._share_release_timer is None:
            self._share_release_timer = loop.call_later(
                reserve_s, self._release_reserved_shares, slots
            )

    def _release_reserved_shares(self, slots: int) -> None:
        """Redistribute the limits again when reservations for departed daemons may have ended."""
        self._share_release_timer = None
        self.redistribute(slots)

    def handle(self, sender: str, message: TokenAsk | TokenGrant) -> None:
        """Handle a token request or grant from another daemon."""
        self.gate.handle(sender, message)

    async def run(self) -> None:
        """Maintain usage checkpoints in the store until cancelled, once a tenant has a limit.

        A checkpoint without a share would leave nothing to admit until the next one is written.
        """
        await self._has_limits.wait()
        await self._has_shares.wait()
        await self._checkpoint_writer.run()

    def _window_s(self) -> float:
        return self._settings.limit_tolerance.window_s
