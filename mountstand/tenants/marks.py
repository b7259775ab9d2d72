"""What the store says of the requests that a daemon let through, for the process after it.

A process that starts must count what the ones before it let through within the window. Its row in
the store tells that by tenant and time, but for what was used since the row was written: that is
bounded by the unmarked allowance, which the next process counts in full for every tenant. So little
is missing after a start, and it comes back as the window moves on.

While the store takes no rows, the unmarked allowance is all that may be used. Most tenants stay
below it and are never written.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

TimedAmounts = tuple[tuple[float, float], ...]
"""Requests by the time at which they were let through, in seconds, in rising order."""

SHARE_TOLERANCE = 1.05
"""A daemon whose part of every limit has grown by more than this writes its row anew: the process
after it must know how large the unmarked allowance was."""


@dataclass(frozen=True, slots=True)
class PriorUsage:
    """What the processes before this one let through, by the clock of this one.

    Before each of ``start_times_s``, which are those of this process and of others within a window, an
    unmarked allowance at ``share`` of every limit may have been used beside ``by_tenant``.
    """

    start_times_s: tuple[float, ...] = ()
    share: float = 0.0
    by_tenant: Mapping[int, TimedAmounts] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """What this process let through within the window, by tenant, and its part of every limit."""

    share: float
    by_tenant: Mapping[int, TimedAmounts]


class CheckpointState:
    """Whether the row of this process is there, and whether it should be written.

    ``on_write_requested`` is called when it should be written soon.
    """

    __slots__ = ("prior_usage", "on_write_requested", "share")

    def __init__(self) -> None:
        self.prior_usage: PriorUsage | None = None
        """What the store told at the start, ``None`` until it has."""

        self.share = 0.0
        """The part of every limit that the row names: the unmarked allowance is a share of it."""

        self.on_write_requested: Callable[[], object] = lambda: None

    def request_write(self) -> None:
        """Ask for the row to be written."""
        self.on_write_requested()
