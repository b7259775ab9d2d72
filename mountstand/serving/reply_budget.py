"""Memory and time that the replies of all workers may take together.

A bound for one reply is no bound for a daemon: workers in trouble may send hundreds of large ones
at once. Replies of the usual size are never held up for them.
"""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

MEMORY_FRACTION = 0.125
"""Fraction of the memory that replies may hold. Actual use is higher, as a reply is copied when it
is passed on."""

DEFAULT_MAX_HELD_BYTES = 32 * 1024 * 1024

USUAL_REPLY_BYTES = 64 * 1024
"""A reply that holds no more than this is not at fault if memory is short."""

USUAL_EVENTS = 256
"""Events that one read may bring without being held up. Streams bring many at once after a pause of
this process."""

EVENT_INTERVAL_S = 0.00002
"""Time that each event of a read with more of them takes from the other streams with as many."""


class ReplyBudget:
    """Counts what replies hold, and spreads the work on events that come in great numbers."""

    __slots__ = ("_free_at_s", "_held_bytes", "max_held_bytes")

    def __init__(self) -> None:
        self.max_held_bytes = DEFAULT_MAX_HELD_BYTES
        self._held_bytes = 0
        self._free_at_s = 0.0

    def set_memory(self, memory_mb: float) -> None:
        """Set the memory of the process, in megabytes."""
        self.max_held_bytes = int(memory_mb * MEMORY_FRACTION * 1024 * 1024)

    def holding(self) -> HeldReply:
        """Return the count of one reply, which ends with its context."""
        return HeldReply(self)

    def change(self, bytes_more: int) -> None:
        """Count bytes that are held in addition, or no longer if negative."""
        self._held_bytes += bytes_more

    @property
    def is_exhausted(self) -> bool:
        """Whether replies hold more than they may together."""
        return self._held_bytes > self.max_held_bytes

    async def give_way(self, event_count: int) -> None:
        """Let others run after many events at once; all such streams take turns."""
        if event_count <= USUAL_EVENTS:
            return
        now_s = asyncio.get_running_loop().time()
        self._free_at_s = max(now_s, self._free_at_s) + event_count * EVENT_INTERVAL_S
        await asyncio.sleep(self._free_at_s - now_s)


class HeldReply:
    """What one reply holds in memory."""

    __slots__ = ("_budget", "_bytes")

    def __init__(self, budget: ReplyBudget) -> None:
        self._budget = budget
        self._bytes = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.set(0)

    def set(self, held_bytes: int) -> None:
        """Note how much the reply holds now."""
        self._budget.change(held_bytes - self._bytes)
        self._bytes = held_bytes

    @property
    def is_too_large(self) -> bool:
        """Whether the reply must give memory back, as all together hold too much."""
        return self._bytes > USUAL_REPLY_BYTES and self._budget.is_exhausted
