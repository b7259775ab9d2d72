"""Tenants, and lookup of tenants by name and by API key."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

FINGERPRINT_BYTES = 4
"""Long enough to tell a tenant's keys apart in logs, too short to recover a key from."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, with its API keys, priority and rate limit.

    ``requests_per_s`` and ``burst`` apply to all daemons together; a rate of 0 means no limit.
    ``priority`` overrides the priority of the route, 0 being the most urgent; with ``None``, the
    route's priority applies. Keys are secrets and must not be printed or logged.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
    requests_per_s: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] | None = None
    """Regions in which its requests may be served; ``None`` means any region."""

    @property
    def number(self) -> int:
        """The tenant's identifier in messages between daemons and in stored usage."""
        return zlib.crc32(self.name.encode())

    @property
    def weight(self) -> float | None:
        """Weight in the fair sharing of a saturated service: the tenant's rate limit.

        ``None`` if the tenant has no rate limit; it then gets the average weight of the others.
        """
        return self.requests_per_s or None

    def effective_priority(self, route_priority: int) -> int:
        """Return the priority of this tenant's requests on a route of ``route_priority``."""
        return route_priority if self.priority is None else self.priority


class TenantIndex:
    """The tenants in one version of the configuration, by name and by key."""

    __slots__ = ("_by_key", "by_name", "has_region_restricted_tenants")

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self.has_region_restricted_tenants = any(
            tenant.regions is not None for tenant in self.by_name.values()
        )
        """Whether at least one tenant is restricted to certain regions."""

        self._by_key = {key: tenant for tenant in self.by_name.values() for key in tenant.keys}

    def __bool__(self) -> bool:
        """Whether any tenants are configured, so that callers need keys."""
        return bool(self.by_name)

    def find_by_key(self, key: str | None) -> Tenant | None:
        """Return the tenant that holds ``key``, or ``None`` if no tenant does."""
        return self._by_key.get(key) if key else None


def fingerprint(key: str | None) -> str:
    """Return a short hash that identifies ``key`` in logs, or an empty string without a key."""
    if not key:
        return ""
    return hashlib.blake2b(key.encode(), digest_size=FINGERPRINT_BYTES).hexdigest()
