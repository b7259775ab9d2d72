"""Who tells whom what daemons have in flight: groups of daemons, each with a head.

Sent by all to all, digests cost each daemon time and bytes in proportion to the number of daemons.
Here members tell their head, heads tell each other the sum of their group, and heads tell their
members the sum of all groups. Groups do not cross zones, so that only heads send between zones.
In a small fleet every daemon is a head without members, and all tell all.

All daemons derive the groups from the members that they believe to run. Where beliefs differ for a
moment some work is counted twice or not at all, until digests expire.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from mountstand.hashing import rendezvous_weight

MOST_HEADS = 12
"""Heads tell each other everything, so their number bounds what a head sends and opens."""

HEAD_KEY = "head"


@dataclass(frozen=True, slots=True)
class Peer:
    """A daemon as far as groups depend on it."""

    member_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class LoadGroup:
    """The place of one daemon: its members if it is a head, else its head."""

    head: str
    members: tuple[str, ...]
    other_heads: tuple[str, ...]
    most_sent: int
    """Digests that a head of this fleet sends in one period at most."""

    grouped: bool
    """Whether some heads have members; otherwise all daemons tell all."""


def group_of(own: Peer, peers: Iterable[Peer]) -> LoadGroup:
    """Return the place of ``own`` among ``peers``, which may hold it or not."""
    zone_by_id = {peer.member_id: peer.zone for peer in peers}
    zone_by_id[own.member_id] = own.zone
    size = math.ceil(len(zone_by_id) / MOST_HEADS)
    ids_by_zone: dict[str, list[str]] = defaultdict(list)
    for member_id, zone in zone_by_id.items():
        ids_by_zone[zone].append(member_id)
    heads_by_zone = {zone: _heads(ids, size) for zone, ids in ids_by_zone.items()}
    heads = sorted(head for heads in heads_by_zone.values() for head in heads)
    own_heads = heads_by_zone[own.zone]
    head = _head_of(own.member_id, own_heads)
    members = [
        each
        for each in ids_by_zone[own.zone]
        if each not in own_heads and _head_of(each, own_heads) == own.member_id
    ]
    others = tuple(each for each in heads if each != own.member_id)
    is_head = head == own.member_id
    return LoadGroup(
        head,
        tuple(sorted(members)) if is_head else (),
        others if is_head else (),
        len(heads) - 1 + size - 1,
        size > 1,
    )


def _heads(ids: list[str], size: int) -> list[str]:
    """Return the heads of one zone, so many that groups have ``size`` daemons on average."""
    count = math.ceil(len(ids) / size)
    ranked = sorted(ids, key=lambda each: (-rendezvous_weight(HEAD_KEY, each), each))
    return ranked[:count]


def _head_of(member_id: str, heads: list[str]) -> str:
    if member_id in heads:
        return member_id
    return max(heads, key=lambda head: (rendezvous_weight(member_id, head), head))
