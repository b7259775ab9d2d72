"""Tenants and the keys that their callers present."""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field

FINGERPRINT_BYTES = 4
"""Enough to tell the few keys of a tenant apart in a line of a log, too few to guess a key from."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the fleet.

    ``requests_per_s`` requests a second are allowed over all daemons, with ``burst`` on top; a rate
    of 0 is no limit. ``priority`` goes before that of a route, 0 being the most urgent; ``None``
    leaves it to the route. Keys are secrets: they are compared, never printed.
    """

    name: str
    keys: tuple[str, ...] = field(default=(), repr=False)
    priority: int | None = None
    requests_per_s: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] | None = None
    """Where its requests may be served; ``None`` is everywhere."""

    @property
    def number(self) -> int:
        """The number that stands for the tenant among daemons."""
        return zlib.crc32(self.name.encode())

    @property
    def weight(self) -> float | None:
        """The weight of its share where a service is short of room: what it may send a second.

        ``None`` where it has no limit; it counts as the others do on average.
        """
        return self.requests_per_s or None

    def effective_priority(self, route_priority: int) -> int:
        """Return the priority of this tenant's requests on a route."""
        return route_priority if self.priority is None else self.priority


class TenantIndex:
    """The tenants of one version of the configuration, by name and by key."""

    __slots__ = ("_by_key", "has_region_restricted_tenants", "by_name")

    def __init__(self, tenants: Iterable[Tenant] = ()) -> None:
        self.by_name = {tenant.name: tenant for tenant in tenants}
        self.has_region_restricted_tenants = any(
            tenant.regions is not None for tenant in self.by_name.values()
        )
        """Whether requests of some tenants may be served in some regions alone."""

        self._by_key = {key: tenant for tenant in self.by_name.values() for key in tenant.keys}

    def __bool__(self) -> bool:
        """Whether callers need keys at all."""
        return bool(self.by_name)

    def find_by_key(self, key: str | None) -> Tenant | None:
        """Return the tenant that holds ``key``, or ``None`` where nobody does."""
        return self._by_key.get(key) if key else None


def fingerprint(key: str | None) -> str:
    """Return what may stand in a log for a key; an empty text where there is none."""
    if not key:
        return ""
    return hashlib.blake2b(key.encode(), digest_size=FINGERPRINT_BYTES).hexdigest()
