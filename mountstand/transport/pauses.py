"""Pauses of this process, after which it reads at once what came in over all of the pause."""

from __future__ import annotations

BACKLOG_S = 0.5
"""Time after a pause in which what is read may have arrived during the pause."""


class ProcessPauses:
    """The latest pause. Times are those of the event loop's clock."""

    __slots__ = ("_began_s", "_ended_s")

    def __init__(self) -> None:
        self._began_s = self._ended_s = float("-inf")

    def note(self, began_s: float, ended_s: float) -> None:
        """Record that the process read nothing from ``began_s`` to ``ended_s``."""
        self._began_s = began_s
        self._ended_s = ended_s

    def earliest_arrival_s(self, read_at_s: float) -> float:
        """Return the earliest time at which what was read at ``read_at_s`` may have arrived."""
        if self._began_s <= read_at_s <= self._ended_s + BACKLOG_S:
            return self._began_s
        return read_at_s
