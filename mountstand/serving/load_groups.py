"""Topology of load gossip: groups of daemons, each with a head that aggregates their load.

If every daemon sent its load digest to every other one, the cost per daemon would grow with the
size of the fleet. Instead, the members of a group, which are its daemons other than the head, send
their digests to the head. Heads exchange the sums of their groups, and each head sends the sum of
the fleet to its members. Groups don't span zones, so only heads send digests between zones. In a
small fleet every daemon is a head without members, which makes a full mesh.

Heads are the daemons with the most processor cores. Callers are referred to as few daemons as can
carry the load of all workers (:func:`serving_daemons`). While only heads serve, every serving
daemon learns of a request after one hop. Fewer serving daemons also means that each of them sees
more of the load directly, in its own requests.

Every daemon computes the groups from its own membership list. While these lists differ, some load
is counted twice or not at all, until the digests concerned expire.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache

from mountstand.hashing import rendezvous_weight

TARGET_HEADS = 12
"""Number of heads that a fleet is divided among; rounding per zone may add a few.

Heads form a full mesh, so their number bounds the digests that one head sends and receives. Where
only heads serve callers, it also determines the share of requests that a failing head affects.
With 24 heads, hardly fewer requests fail as daemons are killed, and half as many bytes more cross
zones.
"""

HEAD_RANK_KEY = "head"
"""Key of the rendezvous hash that breaks ties among daemons with equally many cores."""

HEAD_WEIGHT_CACHE_SIZE = 1024
"""Daemons whose tie-break weight is cached; exceeds the largest supported fleet (370 daemons)."""

DAEMON_CORES_PER_SLOT = 0.05
"""Cores that the serving daemons need per worker slot, with headroom for load peaks.

Daemons use up to 0.011 cores per slot on average and three times as many at peaks, and no more than
about two thirds of a machine should be used.
"""


@dataclass(frozen=True, slots=True)
class Peer:
    """A daemon, with the properties that determine its group."""

    member_id: str
    zone: str
    cpu_cores: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadGroup:
    """The group of one daemon, and its role there.

    ``members`` and ``other_heads`` are empty unless the daemon is the head of its group.
    """

    head: str
    members: tuple[str, ...]
    other_heads: tuple[str, ...]
    heads: frozenset[str]
    """The heads of all groups in the fleet."""

    max_average_members: int
    """Upper bound on the average number of members per head; a single head may have more."""

    hierarchical: bool
    """Whether heads may have members; otherwise all daemons form a full mesh."""


def assign_group(own_peer: Peer, peers: Iterable[Peer]) -> LoadGroup:
    """Return the group of the daemon ``own_peer``; ``peers`` are the others and may include it."""
    by_id = {peer.member_id: peer for peer in peers}
    by_id[own_peer.member_id] = own_peer
    group_size = _group_size(len(by_id))
    ranked_by_zone = _rank_by_zone(by_id.values())
    heads_by_zone = {
        zone: _zone_heads(ranked, group_size) for zone, ranked in ranked_by_zone.items()
    }
    heads = sorted(head for heads in heads_by_zone.values() for head in heads)
    own_heads = heads_by_zone[own_peer.zone]
    head = _head_for(own_peer.member_id, own_heads)
    members = [
        peer.member_id
        for peer in ranked_by_zone[own_peer.zone]
        if peer.member_id not in own_heads
        and _head_for(peer.member_id, own_heads) == own_peer.member_id
    ]
    other_heads = tuple(each for each in heads if each != own_peer.member_id)
    is_head = head == own_peer.member_id
    return LoadGroup(
        head,
        tuple(sorted(members)) if is_head else (),
        other_heads if is_head else (),
        frozenset(heads),
        group_size - 1,
        group_size > 1,
    )


def peers_outside_zones(peers: Iterable[Peer], zones: Collection[str]) -> list[Peer]:
    """Return the daemons that are not in ``zones``, or all daemons if every one is."""
    all_peers = list(peers)
    return [peer for peer in all_peers if peer.zone not in zones] or all_peers


def serving_daemons(peers: Iterable[Peer], slots: int) -> frozenset[str]:
    """Return the ids of the daemons that callers are referred to.

    In a small fleet these are all daemons. Otherwise they are the heads, and as many further
    daemons as are needed for workers with ``slots`` slots in total: taken from the zones in turn,
    and in each zone in descending order of cores.
    """
    ranked_by_zone = _rank_by_zone(peers)
    group_size = _group_size(sum(len(ranked) for ranked in ranked_by_zone.values()))
    serving: set[str] = set()
    cores = 0.0
    for rank, peer in _interleave_zones(ranked_by_zone.values()):
        is_head = rank < _head_count(ranked_by_zone[peer.zone], group_size)
        if is_head or cores < slots * DAEMON_CORES_PER_SLOT:
            serving.add(peer.member_id)
            cores += peer.cpu_cores
    return frozenset(serving)


def _group_size(daemons: int) -> int:
    """Return the number of daemons per group, head included, for about ``TARGET_HEADS`` groups."""
    return math.ceil(daemons / TARGET_HEADS)


def _rank_by_zone(peers: Iterable[Peer]) -> dict[str, list[Peer]]:
    """Return the daemons of each zone in descending order of cores."""
    ranked_by_zone: dict[str, list[Peer]] = defaultdict(list)
    for peer in peers:
        ranked_by_zone[peer.zone].append(peer)
    for ranked in ranked_by_zone.values():
        ranked.sort(key=_rank_key)
    return ranked_by_zone


def _rank_key(peer: Peer) -> tuple[float, float, str]:
    return (-peer.cpu_cores, -_tie_break_weight(peer.member_id), peer.member_id)


@lru_cache(maxsize=HEAD_WEIGHT_CACHE_SIZE)
def _tie_break_weight(member_id: str) -> int:
    return rendezvous_weight(HEAD_RANK_KEY, member_id)


def _interleave_zones(ranked_zones: Iterable[list[Peer]]) -> list[tuple[int, Peer]]:
    """Return the daemons with their rank in their zone: all of the first rank, then the second."""
    ranked = [(rank, peer) for peers in ranked_zones for rank, peer in enumerate(peers)]
    return sorted(ranked, key=lambda entry: (entry[0], entry[1].zone))


def _head_count(ranked: list[Peer], group_size: int) -> int:
    """Return how many heads a zone needs so that groups average ``group_size`` daemons at most."""
    return math.ceil(len(ranked) / group_size)


def _zone_heads(ranked: list[Peer], group_size: int) -> list[str]:
    return [peer.member_id for peer in ranked[: _head_count(ranked, group_size)]]


def _head_for(member_id: str, heads: list[str]) -> str:
    """Return the head of a daemon among the ``heads`` of its zone, by rendezvous hashing."""
    if member_id in heads:
        return member_id
    return max(heads, key=lambda head: (rendezvous_weight(member_id, head), head))
