"""Data residency: the regions in which requests of a route or tenant may be served.

A route and a tenant may each allow a set of regions; if both do, only regions in both sets are
allowed. The body of a restricted request is sent only to workers in these regions, and to no daemon
in another region except the one that the caller connected to. A request for which no region is left
is refused.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Regions = frozenset[str]
"""Names of the regions that are allowed."""

ANYWHERE: Regions | None = None
"""No restriction: the request may be served in any region."""


def intersect_regions(first: Regions | None, second: Regions | None) -> Regions | None:
    """Return the regions that both sets allow; ``ANYWHERE`` restricts nothing."""
    if first is None or second is None:
        return second if first is None else first
    return first & second


@dataclass(frozen=True, slots=True)
class Geography:
    """Maps zones to regions. An unknown zone is in no region."""

    region_by_zone: Mapping[str, str] = field(default_factory=dict)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or an empty string if the zone is unknown."""
        return self.region_by_zone.get(zone, "")

    def allows(self, regions: Regions | None, zone: str) -> bool:
        """Return whether data that is restricted to ``regions`` may be sent to ``zone``."""
        return regions is None or self.region_of(zone) in regions
