"""Deals the slots of all workers out among the daemons that serve callers.

Daemons that all choose among all workers by a picture that is a digest old send to the same ones.
A daemon knows exactly what it has at the slots that are its own, as long as the others ask before
they use them (:mod:`mountstand.serving.slot_lending`).

Daemons and workers stand in the same order of zones along a line of slots, and each daemon has an
even stretch of it: mostly workers of its own zone, few enough that connections stay warm.
"""

from __future__ import annotations

from collections.abc import Iterable

from mountstand.serving.load_groups import Peer
from mountstand.serving.worker import Worker

SlotsByOwner = dict[str, int]
"""Slots of one worker by the daemons that they are dealt to."""


def partition_slots(daemons: Iterable[Peer], workers: Iterable[Worker]) -> dict[str, SlotsByOwner]:
    """Return by worker how many of its slots are dealt to which daemons.

    ``daemons`` are those that serve callers, ``workers`` those of one service.
    """
    names = [peer.member_id for peer in sorted(daemons, key=lambda p: (p.zone, p.member_id))]
    if not names:
        return {}
    line = sorted(workers, key=lambda worker: (worker.record.zone, worker.record.worker_id))
    slots = sum(worker.slots() for worker in line)
    ends = [round(slots * (position + 1) / len(names)) for position in range(len(names))]
    dealt: dict[str, SlotsByOwner] = {}
    position = begin = 0
    for worker in line:
        end = begin + worker.slots()
        by_owner = dealt[worker.record.worker_id] = {}
        while begin < end:
            taken = min(end, ends[position]) - begin
            if taken > 0:
                by_owner[names[position]] = taken
                begin += taken
            if begin >= ends[position] and position < len(names) - 1:
                position += 1
    return dealt
