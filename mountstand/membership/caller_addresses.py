"""Which daemons a caller is told to use.

Callers take one address of the answer at random for each new connection, and read 64 at most. Where
there are more daemons, each answer is drawn anew, so that all of them get work: an answer that
listed all in one order gave all requests to the first 64, and through them to the workers of two
zones. Daemons of the caller's own zone come first, since these prefer workers there too.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from mountstand.membership.registry import DaemonRow
from mountstand.serving.residency import Geography, Regions

MOST_ADDRESSES = 64
"""Addresses of one answer at most; callers use no more (the platform's protocol)."""

NEAR_ADDRESSES = 48
"""Daemons of the caller's own zone at most, where there are more daemons than an answer lists. The
others are a way out if the zone fails as a whole."""


def addresses_for(zone: str, daemons: Sequence[DaemonRow], source: random.Random) -> list[str]:
    """Return the addresses for a caller in ``zone``: all, or a draw that prefers its zone."""
    if len(daemons) <= MOST_ADDRESSES:
        return [row.callers_address for row in daemons]
    near = [row for row in daemons if row.zone == zone]
    drawn = source.sample(near, min(len(near), NEAR_ADDRESSES))
    others = [row for row in daemons if row.zone != zone]
    drawn += source.sample(others, min(len(others), MOST_ADDRESSES - len(drawn)))
    return [row.callers_address for row in drawn]


def in_regions(
    regions: Regions,
    zone: str,
    serving: list[DaemonRow],
    unsuspected: list[DaemonRow],
    geography: Geography,
) -> list[DaemonRow]:
    """Return the daemons that callers in ``zone`` may send requests to that ``regions`` may serve.

    A body may go to daemons of the caller's own region and of ``regions``. The first are nearer;
    there and elsewhere any sound daemon will do where none of those that serve is. If there is
    none at all, all that serve are named: they can tell the caller that it is refused.
    """
    own = frozenset({geography.region_of(zone)})
    for allowed in (own, regions):
        for daemons in (serving, unsuspected):
            found = [row for row in daemons if geography.allows(allowed, row.zone)]
            if found:
                return found
    return serving
