"""How many batch items a daemon runs at once, given how much time they have.

A heap of items that takes every free slot at once leaves none for the next rise of online
requests, makes workers read many prompts at the same time, and is cut as soon as the rise comes.
Items that have time are spread over a share of it instead: as many run at once as end all of them
by then. Items that fall behind, because slots were taken or workers went, ask for more slots the
less time is left, and for all of them at the end; so nothing is held back where slots are short.
"""

from __future__ import annotations

from collections.abc import Iterable

PACE_SHARE = 0.5
"""Share of the time until items are due over which they are spread. The other half is for what
may still go wrong: workers that leave, rises of online requests, a daemon's death."""

UNKNOWN_RUN_SHARE = 0.125
"""Share of the time left that an item is taken to run while none has ended yet. Too small a guess
is put right by how long the items that run have been running."""


def paced_until(begun_at_s: float, due_at_s: float) -> float:
    """Return by when items should have ended that begin to be run now and are due later."""
    return begun_at_s + PACE_SHARE * max(0.0, due_at_s - begun_at_s)


def slots_for(ends_s: Iterable[float], run_s: float | None, longest_s: float, now_s: float) -> int:
    """Return how many items should run at once so that all of them end in time.

    ``ends_s`` says for each item, running or waiting, by when it should have ended; ``run_s`` is
    how long items usually run, ``None`` where that is not known, ``longest_s`` how long the items
    that run now have been running at most.
    """
    wanted = 0.0
    count = 0
    for end_s in ends_s:
        left_s = end_s - now_s
        usual_s = max(longest_s, left_s * UNKNOWN_RUN_SHARE) if run_s is None else run_s
        wanted += usual_s / left_s if left_s > usual_s else 1.0
        count += 1
    return max(min(1, count), round(wanted))
