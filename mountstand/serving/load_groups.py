"""Who tells whom what daemons have in flight: groups of daemons, each with a head.

Sent by all to all, digests cost each daemon time and bytes in proportion to the number of daemons.
Here members tell their head, heads tell each other the sum of their group, and heads tell their
members the sum of all groups. Groups do not cross zones, so that only heads send between zones.
In a small fleet every daemon is a head without members, and all tell all.

Heads are the machines with the most processor, and callers are told of as few daemons as carry the
load of all workers (:func:`serving_daemons`). Where the heads alone do, word of a request takes one
digest, and each serving daemon knows a larger part of the load from its own requests.

All daemons derive the groups from the members that they believe to run. Where beliefs differ for a
moment some work is counted twice or not at all, until digests expire.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache

from mountstand.hashing import rendezvous_weight

MOST_HEADS = 12
"""Heads tell each other everything, so their number bounds what a head sends and opens. Where they
alone serve callers it also bounds what is lost with one of them; 24 lost hardly less on days with
kills and sent half as much again between zones (docs/design/deciding.md)."""

HEAD_KEY = "head"

REMEMBERED_MEMBERS = 1024
"""Weights of so many members are kept; the largest fleet to design for has 370."""

CORES_PER_SLOT = 0.05
"""Processor that the daemons together should have for each slot of all workers. On the days played,
daemons used up to 0.011 for a slot on average (tfag-mountstand, 2e443fd3); peaks are three times as
high, and no more than about two thirds of a machine should be used."""


@dataclass(frozen=True, slots=True)
class Peer:
    """A daemon as far as groups depend on it."""

    member_id: str
    zone: str
    capacity: float = 1.0
    """Processor of its machine in cores."""


@dataclass(frozen=True, slots=True)
class LoadGroup:
    """The place of one daemon: its members if it is a head, else its head."""

    head: str
    members: tuple[str, ...]
    other_heads: tuple[str, ...]
    heads: frozenset[str]
    most_members: int
    """Members that a head of this fleet has at most, about."""

    grouped: bool
    """Whether some heads have members; otherwise all daemons tell all."""


def group_of(own: Peer, peers: Iterable[Peer]) -> LoadGroup:
    """Return the place of ``own`` among ``peers``, which may hold it or not."""
    by_id = {peer.member_id: peer for peer in peers}
    by_id[own.member_id] = own
    size = _group_size(len(by_id))
    ranked_by_zone = _ranked_by_zone(by_id.values())
    heads_by_zone = {zone: _heads(ranked, size) for zone, ranked in ranked_by_zone.items()}
    heads = sorted(head for heads in heads_by_zone.values() for head in heads)
    own_heads = heads_by_zone[own.zone]
    head = _head_of(own.member_id, own_heads)
    members = [
        peer.member_id
        for peer in ranked_by_zone[own.zone]
        if peer.member_id not in own_heads and _head_of(peer.member_id, own_heads) == own.member_id
    ]
    others = tuple(each for each in heads if each != own.member_id)
    is_head = head == own.member_id
    return LoadGroup(
        head,
        tuple(sorted(members)) if is_head else (),
        others if is_head else (),
        frozenset(heads),
        size - 1,
        size > 1,
    )


def peers_outside_zones(peers: Iterable[Peer], zones: Collection[str]) -> list[Peer]:
    """Return the daemons outside some zones, or all daemons if there are none outside."""
    listed = list(peers)
    return [peer for peer in listed if peer.zone not in zones] or listed


def serving_daemons(peers: Iterable[Peer], slots: int) -> frozenset[str]:
    """Return the daemons that callers are told of, for workers with so many slots in all.

    These are all daemons of a small fleet; else the heads, and further ones, zone by zone and those
    with the most processor first, until all together can carry what the workers can run.
    """
    ranked_by_zone = _ranked_by_zone(peers)
    size = _group_size(sum(len(ranked) for ranked in ranked_by_zone.values()))
    serving: set[str] = set()
    cores = 0.0
    for position, peer in _zone_by_zone(ranked_by_zone.values()):
        is_head = position < _head_count(ranked_by_zone[peer.zone], size)
        if is_head or cores < slots * CORES_PER_SLOT:
            serving.add(peer.member_id)
            cores += peer.capacity
    return frozenset(serving)


def _group_size(daemons: int) -> int:
    return math.ceil(daemons / MOST_HEADS)


def _ranked_by_zone(peers: Iterable[Peer]) -> dict[str, list[Peer]]:
    """Return the daemons of each zone, those with the most processor first."""
    ranked_by_zone: dict[str, list[Peer]] = defaultdict(list)
    for peer in peers:
        ranked_by_zone[peer.zone].append(peer)
    for ranked in ranked_by_zone.values():
        ranked.sort(key=_rank)
    return ranked_by_zone


def _rank(peer: Peer) -> tuple[float, float, str]:
    return (-peer.capacity, -_head_weight(peer.member_id), peer.member_id)


@lru_cache(maxsize=REMEMBERED_MEMBERS)
def _head_weight(member_id: str) -> int:
    return rendezvous_weight(HEAD_KEY, member_id)


def _zone_by_zone(ranked: Iterable[list[Peer]]) -> list[tuple[int, Peer]]:
    """Return the daemons in the order of their positions, with these, the zones in turn."""
    placed = [(position, peer) for peers in ranked for position, peer in enumerate(peers)]
    return sorted(placed, key=lambda each: (each[0], each[1].zone))


def _head_count(ranked: list[Peer], size: int) -> int:
    """Return how many heads a zone has, so that groups have ``size`` daemons on average."""
    return math.ceil(len(ranked) / size)


def _heads(ranked: list[Peer], size: int) -> list[str]:
    """Return the heads of one zone."""
    return [peer.member_id for peer in ranked[: _head_count(ranked, size)]]


def _head_of(member_id: str, heads: list[str]) -> str:
    if member_id in heads:
        return member_id
    return max(heads, key=lambda head: (rendezvous_weight(member_id, head), head))
