"""Count the online requests and batch items that wait for a slot, here and at peers."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from enum import Enum


class WorkKind(Enum):
    """The kind of work that waits for a slot."""

    ONLINE = "online"
    BATCH = "batch"


def service_key(service: str, kind: WorkKind) -> int:
    """Return the number that identifies a service and kind of work in messages between daemons."""
    return zlib.crc32(f"{kind.value}:{service}".encode())


@dataclass(frozen=True, slots=True)
class WaitingCounts:
    """Counts of requests or batch items that wait for a slot.

    ``on_time`` can still meet their deadline, ``late`` cannot.
    """

    on_time: int = 0
    late: int = 0

    @property
    def total(self) -> int:
        """The number of on-time and late ones together."""
        return self.on_time + self.late


NOTHING_WAITING = WaitingCounts()


class SlotDemand:
    """Waiting counts per service (or pool of its workers) for one kind of work.

    Those of this daemon are set by its queue, those of its peers come from their load digests.
    """

    __slots__ = ("own_by_service", "peers_by_service")

    def __init__(self) -> None:
        self.own_by_service: dict[str, WaitingCounts] = {}
        self.peers_by_service: dict[str, WaitingCounts] = {}

    def own(self, service: str) -> WaitingCounts:
        """Return the counts of this daemon."""
        return self.own_by_service.get(service, NOTHING_WAITING)

    def peers(self, service: str) -> WaitingCounts:
        """Return the counts of all other daemons together, as reported by their digests."""
        return self.peers_by_service.get(service, NOTHING_WAITING)

    def own_share(self, service: str, free_slots: float) -> float:
        """Return how many of the free slots this daemon may use for its own waiting work.

        On-time work of all daemons goes first; late work shares the remaining slots.
        """
        own = self.own(service)
        peers = self.peers(service)
        on_time = own.on_time + peers.on_time
        remaining_slots = max(0.0, free_slots - on_time)
        return _proportional_share(own.on_time, on_time, free_slots) + _proportional_share(
            own.late, own.late + peers.late, remaining_slots
        )


def _proportional_share(own: int, total: int, slots: float) -> float:
    return min(own, slots * own / total) if total else 0.0
