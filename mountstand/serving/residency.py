"""Where the requests of a route or tenant may be served: data residency.

A route and a tenant may each name regions; where both do, only regions that both name are left. The
body of such a request goes to workers of these regions alone, and to no daemon of another region
but the one that its caller connected to. A request for which no region is left is refused.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Regions = frozenset[str]
"""Regions that are allowed."""

ANYWHERE: Regions | None = None
"""Stands for a request that may be served in all regions."""


def in_both(first: Regions | None, second: Regions | None) -> Regions | None:
    """Return the regions that both allow."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


@dataclass(frozen=True, slots=True)
class Geography:
    """Which region a zone lies in; a zone that is not known lies in none."""

    region_by_zone: Mapping[str, str] = field(default_factory=dict)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, empty where it is not known."""
        return self.region_by_zone.get(zone, "")

    def allows(self, regions: Regions | None, zone: str) -> bool:
        """Return whether what is bound to ``regions`` may be in ``zone``."""
        return regions is None or self.region_of(zone) in regions
