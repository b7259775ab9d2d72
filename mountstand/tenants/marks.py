"""Checkpoints of a daemon's usage of tenants' limits, read by the next process after a restart.

A starting process must count the requests that its predecessors admitted within the window. The
daemon's row in the store lists them by tenant and time, except for usage since the row was written.
That usage is bounded by the uncheckpointed allowance, which the next process counts as consumed in
full for every tenant, until the window has moved past the restart.

While the store accepts no writes, a daemon may consume no more than the uncheckpointed allowance
beyond its last checkpoint. Tenants with low usage are left out of the checkpoint; that is most of
them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

TimedAmounts = tuple[tuple[float, float], ...]
"""Pairs of the time from which an amount counts for a window, in seconds, and the amount.

Amounts are in requests; pairs are in ascending order of time.
"""

MAX_SHARE_GROWTH_FACTOR = 1.05
"""Factor by which a daemon's share may grow before it writes a new checkpoint.

The next process derives the uncheckpointed allowance from the share in the checkpoint.
"""


@dataclass(frozen=True, slots=True)
class PriorUsage:
    """What earlier processes of this daemon consumed, by the clock of this process.

    ``start_times_s`` are the starts of this process and of earlier ones within the window. Before
    each, an uncheckpointed allowance at ``share`` of every limit may have been consumed in addition
    to ``by_tenant``.
    """

    start_times_s: tuple[float, ...] = ()
    share: float = 0.0
    by_tenant: Mapping[int, TimedAmounts] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """A daemon's usage within the window, by tenant number, and its share of every limit."""

    share: float
    by_tenant: Mapping[int, TimedAmounts]


class CheckpointState:
    """What this process read from the store at its start, and what it last wrote there.

    ``on_write_requested`` is called when a new checkpoint should be written soon.
    """

    __slots__ = ("on_write_requested", "prior_usage", "share")

    def __init__(self) -> None:
        self.prior_usage: PriorUsage | None = None
        """Usage of earlier processes; ``None`` until it has been read.

        Until then, only the startup quota may be consumed.
        """

        self.share = 0.0
        """This daemon's share of every limit in the last checkpoint written, from 0 to 1."""

        self.on_write_requested: Callable[[], object] = lambda: None

    def request_write(self) -> None:
        """Request a write of the checkpoint."""
        self.on_write_requested()
