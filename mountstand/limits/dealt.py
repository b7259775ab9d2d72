"""Deals a whole number of units out among daemons, so that all parts together are just the whole.

An even part of a small bound is less than one unit for each daemon of a large fleet, and rounding
it up would multiply the bound. Here the units go to daemons by rendezvous hashing, so that all
daemons come to the same result alone, and one that joins or leaves moves few units.
"""

from __future__ import annotations

from collections.abc import Collection

from mountstand.hashing import rendezvous_weight


def allocated_units(units: int, key: str, own_name: str, sharers: Collection[str]) -> int:
    """Return how many of ``units`` are ``own_name``'s, of what ``key`` names; none if it is no sharer.

    >>> sum(allocated_units(7, "w1", name, ("a", "b", "c")) for name in ("a", "b", "c"))
    7
    """
    if own_name not in sharers:
        return 0
    each, left = divmod(units, len(sharers))
    if not left:
        return each
    weight = (rendezvous_weight(key, own_name), own_name)
    before = sum((rendezvous_weight(key, name), name) > weight for name in sharers)
    return each + (before < left)
