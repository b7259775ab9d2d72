"""Tenants of the soak: their keys come and go, and one has a limit that callers go over."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20.0
"""Bounds on limits, as the settings of the soak's processes name them."""

UNKNOWN_KEY = "nobody-holds-this-key"
UNKNOWN_SHARE = 0.03
WITHDRAWN_SHARE = 0.1
"""Shares of requests that are sent with a key that nobody holds, or that was withdrawn."""


@dataclass(slots=True)
class SoakTenant:
    """A tenant with the keys that it has and had; times are on the loop's clock."""

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    keys: list[str] = field(default_factory=list)
    withdrawn_at_s: dict[str, float] = field(default_factory=dict)
    coming: str | None = None
    """A new key that is in the configuration and not used yet."""

    made: int = 0

    def prepare_key(self) -> None:
        """Make a new key that callers do not use yet."""
        self.made += 1
        self.coming = f"secret-{self.name}-{self.made}"

    def use_prepared(self) -> None:
        """Let callers use the new key."""
        assert self.coming is not None
        self.keys.append(self.coming)
        self.coming = None

    def withdraw_oldest(self, now_s: float) -> None:
        """Take the oldest key away, unless it is the only one."""
        if len(self.keys) > 1:
            self.withdrawn_at_s[self.keys.pop(0)] = now_s

    @property
    def most_in_window(self) -> float:
        """How many requests any window may hold."""
        return (self.rate_per_s * WINDOW_S + self.burst) * (1 + OVERSHOOT) + SLACK

    def entry(self) -> dict[str, Any]:
        """Return the tenant as the operator writes it."""
        return {
            "name": self.name,
            "api_keys": [*self.keys, *([self.coming] if self.coming else [])],
            "priority": 1,
            "rate_per_s": self.rate_per_s,
            "burst": self.burst,
        }


class SoakTenants:
    """All tenants of a soak."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.tenants = [SoakTenant("alpha"), SoakTenant("beta"), SoakTenant("tight", 4.0, 4.0)]
        for tenant in self.tenants:
            tenant.prepare_key()
            tenant.use_prepared()

    def any_tenant(self) -> SoakTenant:
        """Return a tenant by chance."""
        return self._rng.choice(self.tenants)

    def free_tenant(self) -> SoakTenant:
        """Return a tenant without a limit."""
        return self._rng.choice([t for t in self.tenants if not t.rate_per_s])

    def any_key(self, tenant: SoakTenant) -> str:
        """Return a key to send a tenant's request with, not always a good one."""
        drawn = self._rng.random()
        if drawn < UNKNOWN_SHARE:
            return UNKNOWN_KEY
        if drawn < UNKNOWN_SHARE + WITHDRAWN_SHARE and tenant.withdrawn_at_s:
            return self._rng.choice(list(tenant.withdrawn_at_s))
        return tenant.keys[-1]

    def entries(self) -> list[dict[str, Any]]:
        """Return the tenants as the operator writes them."""
        return [tenant.entry() for tenant in self.tenants]
