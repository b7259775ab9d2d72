"""Counts that daemons tell each other of workers and services, their sums, and their digest."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mountstand.wire.gossip import LoadDigest, Scope

TOKENS_PER_BLOCK = 64
"""Unread tokens are told in blocks of so many, so that most fit a byte; a block is read in about a
millisecond."""

MOST_BLOCKS = 1_000_000
"""Unread blocks of one worker that a digest may claim; more than any worker can hold."""

QUARTERS = 4
MOST_QUARTERS = 65_535
MOST_WORKERS = 1000
"""Workers named in one digest, which must fit a datagram. The idlest are left out."""


@dataclass(slots=True)
class LoadCounts:
    """What daemons tell of one worker or one service.

    Of a worker what they have in flight there, the outcomes they saw, in quarters, and how many
    blocks of tokens it has still to read; of a service how many requests or batch items of theirs
    wait for it.
    """

    online: int = 0
    batch: int = 0
    succeeded: int = 0
    failed: int = 0
    waiting: int = 0
    late: int = 0
    unread: int = 0

    def add(self, other: LoadCounts) -> None:
        """Add another's counts."""
        self.online += other.online
        self.batch += other.batch
        self.succeeded += other.succeeded
        self.failed += other.failed
        self.waiting += other.waiting
        self.late += other.late
        self.unread += other.unread

    def take_off(self, other: LoadCounts) -> None:
        """Take another's counts off."""
        self.online -= other.online
        self.batch -= other.batch
        self.succeeded -= other.succeeded
        self.failed -= other.failed
        self.waiting -= other.waiting
        self.late -= other.late
        self.unread -= other.unread

    def copy(self) -> LoadCounts:
        """Return counts of the same value."""
        return LoadCounts(
            self.online,
            self.batch,
            self.succeeded,
            self.failed,
            self.waiting,
            self.late,
            self.unread,
        )

    @property
    def items(self) -> int:
        """How many requests and items it is about."""
        return self.online + self.batch + self.waiting + self.late

    @property
    def empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.items or self.succeeded or self.failed)


CountsByKey = dict[int, LoadCounts]


def has_items(counts_by_key: CountsByKey) -> bool:
    """Return whether requests or items are in flight or wait."""
    return any(counts.items for counts in counts_by_key.values())


def counts_in(digest: LoadDigest) -> CountsByKey:
    """Return what a peer's digest tells; lists that it leaves out are zero."""
    none = (0,) * len(digest.keys)
    counts = zip(
        digest.keys,
        digest.online,
        digest.batch,
        digest.succeeded or none,
        digest.failed or none,
        digest.waiting or none,
        digest.late or none,
        _bounded(digest.unread) or none,
        strict=False,
    )
    return {key: LoadCounts(*values) for key, *values in counts}


def total_of(parts: Iterable[CountsByKey]) -> CountsByKey:
    """Return the sums by key, in new counts."""
    total: CountsByKey = {}
    for counts_by_key in parts:
        for key, counts in counts_by_key.items():
            known = total.get(key)
            if known is None:
                total[key] = counts.copy()
            else:
                known.add(counts)
    return total


def digest_of(scope: Scope, counts_by_key: CountsByKey, unreachable: tuple[int, ...]) -> LoadDigest:
    """Return the digest that tells these counts, of the busiest workers if there are too many."""
    told = list(counts_by_key.items())
    if len(told) > MOST_WORKERS:
        told.sort(key=lambda item: -item[1].items)
        told = told[:MOST_WORKERS]
    return LoadDigest(
        tuple(key for key, _ in told),
        tuple(counts.online for _, counts in told),
        tuple(counts.batch for _, counts in told),
        _unless_zero(counts.succeeded for _, counts in told),
        _unless_zero(counts.failed for _, counts in told),
        unreachable[:MOST_WORKERS],
        scope,
        _unless_zero(counts.waiting for _, counts in told),
        _unless_zero(counts.late for _, counts in told),
        _unless_zero(counts.unread for _, counts in told),
    )


def quarters(count: float) -> int:
    """Return a count of outcomes as a digest tells it."""
    return min(MOST_QUARTERS, int(count * QUARTERS))


def _bounded(blocks: Iterable[int]) -> tuple[int, ...]:
    """Return a peer's unread blocks within bounds, so that no claim hides those of others."""
    return tuple(min(MOST_BLOCKS, max(0, count)) for count in blocks)


def _unless_zero(values: Iterable[int]) -> tuple[int, ...]:
    """Return a list of a digest, empty if it says nothing."""
    listed = tuple(values)
    return listed if any(listed) else ()
