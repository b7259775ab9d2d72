"""How many requests or batch items wait for a slot, here and at all daemons, by service."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import Enum


class WorkKind(Enum):
    """What waits for a slot."""

    ONLINE = "online"
    BATCH = "batch"


def service_key(service: str, work: WorkKind) -> int:
    """Return the number that stands among daemons for one kind of work at a service."""
    return zlib.crc32(f"{work.value}:{service}".encode())


@dataclass(frozen=True, slots=True)
class WaitingCounts:
    """What waits: that which can still be in time, and the late."""

    on_time: int = 0
    late: int = 0

    @property
    def total(self) -> int:
        """All that waits."""
        return self.on_time + self.late


NONE_WAITING = WaitingCounts()


class SlotDemand:
    """What waits for a slot; what peers have waiting is told by their digests."""

    __slots__ = ("own_by_service", "peers_by_service")

    def __init__(self) -> None:
        self.own_by_service: dict[str, WaitingCounts] = {}
        self.peers_by_service: dict[str, WaitingCounts] = {}

    def own(self, service: str) -> WaitingCounts:
        """Return what waits at this daemon."""
        return self.own_by_service.get(service, NONE_WAITING)

    def peers(self, service: str) -> WaitingCounts:
        """Return what waits at the other daemons, as their digests told."""
        return self.peers_by_service.get(service, NONE_WAITING)

    def share_of(self, service: str, free_slots: float) -> float:
        """Return how many of the free slots are for what waits at this daemon.

        What can be in time goes first, wherever it waits; the late shares what is left.
        """
        own = self.own(service)
        peers = self.peers(service)
        on_time = own.on_time + peers.on_time
        left = max(0.0, free_slots - on_time)
        return _part(own.on_time, on_time, free_slots) + _part(
            own.late, own.late + peers.late, left
        )


def _part(own: int, total: int, slots: float) -> float:
    return min(own, slots * own / total) if total else 0.0
