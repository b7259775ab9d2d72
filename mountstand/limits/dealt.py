"""Allocation of an integer quota among daemons.

In a large fleet, an equal share of a small quota is less than one unit, and rounding it up on each
daemon would multiply the quota. Here every daemon gets the whole part of an equal share, and
rendezvous hashing assigns the remaining units. All daemons compute the same allocation without
communication, and one that joins or leaves moves few units.
"""

from __future__ import annotations

from collections.abc import Collection

from mountstand.hashing import rendezvous_weight


def allocated_units(units: int, key: str, own_name: str, sharers: Collection[str]) -> int:
    """Return how many of the ``units`` of quota ``key`` are allocated to ``own_name``.

    Returns 0 if ``own_name`` is not among ``sharers``. Over all sharers the sum is ``units``.

    >>> sum(allocated_units(7, "w1", name, ("a", "b", "c")) for name in ("a", "b", "c"))
    7
    """
    if own_name not in sharers:
        return 0
    base, remainder = divmod(units, len(sharers))
    if not remainder:
        return base
    weight = (rendezvous_weight(key, own_name), own_name)
    rank = sum((rendezvous_weight(key, name), name) > weight for name in sharers)
    return base + (rank < remainder)
