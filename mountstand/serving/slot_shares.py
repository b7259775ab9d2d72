"""Deals the slots of all workers out among the daemons that serve callers.

Daemons that all choose among all workers by a picture that is a digest old send to the same ones.
A daemon knows exactly what it has at the slots that are its own, as long as the others keep to
theirs: it takes those first, and others' by the picture once its own are taken. Nothing is
reserved, so a daemon that dies, stands still or is cut off strands nothing.

Daemons and workers stand in the same order of zones along a line of slots, and each daemon has an
even stretch of it: mostly workers of its own zone, few enough that connections stay warm.
"""

from __future__ import annotations

from collections.abc import Iterable

from mountstand.serving.load_groups import Peer
from mountstand.serving.worker import Worker


def own_slots(own: str, daemons: Iterable[Peer], workers: Iterable[Worker]) -> dict[str, int]:
    """Return how many slots of which workers, by their ids, are dealt to the daemon ``own``.

    ``daemons`` are those that serve callers, ``workers`` those of one service.
    """
    names = [peer.member_id for peer in sorted(daemons, key=lambda p: (p.zone, p.member_id))]
    if own not in names:
        return {}
    line = sorted(workers, key=lambda worker: (worker.record.zone, worker.record.worker_id))
    slots = sum(worker.slots() for worker in line)
    position = names.index(own)
    first = round(slots * position / len(names))
    end = round(slots * (position + 1) / len(names))
    dealt: dict[str, int] = {}
    begin = 0
    for worker in line:
        overlap = min(end, begin + worker.slots()) - max(first, begin)
        if overlap > 0:
            dealt[worker.record.worker_id] = overlap
        begin += worker.slots()
    return dealt
