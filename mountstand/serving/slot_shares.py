"""Partition the slots of all workers among the daemons that serve callers.

Daemons that all choose from the same outdated load snapshot send their requests to the same
workers. Each daemon therefore owns some of the slots. It knows their state exactly, as other
daemons ask before they use them (:mod:`mountstand.serving.slot_lending`).

Daemons and workers are both sorted by zone, and each daemon owns an equal, contiguous range of the
slots. Most of its workers are thus in its own zone, and few enough that connections stay open.
"""

from __future__ import annotations

from collections.abc import Iterable

from mountstand.serving.load_groups import Peer
from mountstand.serving.worker import Worker

SlotsByOwner = dict[str, int]
"""Number of slots of one worker, by the id of the daemon that owns them."""


def partition_slots(daemons: Iterable[Peer], workers: Iterable[Worker]) -> dict[str, SlotsByOwner]:
    """Return the slots by owner of each worker, by worker id.

    ``daemons`` are those that serve callers, ``workers`` those of one service.
    """
    daemon_ids = [peer.member_id for peer in sorted(daemons, key=lambda p: (p.zone, p.member_id))]
    if not daemon_ids:
        return {}
    ordered_workers = sorted(
        workers, key=lambda worker: (worker.record.zone, worker.record.worker_id)
    )
    total_slots = sum(worker.slots() for worker in ordered_workers)
    range_ends = [
        _rounded_quotient(total_slots * (daemon_index + 1), len(daemon_ids))
        for daemon_index in range(len(daemon_ids))
    ]
    slots_by_owner_by_worker: dict[str, SlotsByOwner] = {}
    daemon_index = offset = 0
    for worker in ordered_workers:
        worker_end = offset + worker.slots()
        slots_by_owner = slots_by_owner_by_worker[worker.record.worker_id] = {}
        while offset < worker_end:
            count = min(worker_end, range_ends[daemon_index]) - offset
            if count > 0:
                slots_by_owner[daemon_ids[daemon_index]] = count
                offset += count
            if offset >= range_ends[daemon_index] and daemon_index < len(daemon_ids) - 1:
                daemon_index += 1
    return slots_by_owner_by_worker


def _rounded_quotient(dividend: int, divisor: int) -> int:
    """Return a quotient rounded half to even, as ``round`` does, but exact for any numbers.

    All daemons must divide alike, also those of former versions, which use ``round``.
    """
    quotient, remainder = divmod(dividend, divisor)
    is_over_half = 2 * remainder > divisor or (2 * remainder == divisor and quotient % 2)
    return quotient + 1 if is_over_half else quotient
