"""Load counts per worker and service, and their conversion to and from load digests.

Daemons exchange these counts as :class:`mountstand.wire.gossip.LoadDigest` messages; see
:mod:`mountstand.serving.load_sharing`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from mountstand.wire.gossip import LoadDigest, Scope

TOKENS_PER_BLOCK = 64
"""Prompt tokens per block. Digests count prefill work in blocks, so that most counts fit a byte."""

MAX_PREFILL_BLOCKS = 1_000_000
"""Limit on the pending prefill blocks accepted for one worker; more than any worker can hold."""

QUARTERS_PER_OUTCOME = 4
"""Resolution of the decayed outcome counts in digests, which hold integers."""

MAX_OUTCOME_QUARTERS = 65_535
"""Limit on an outcome count in a digest, which fits 16 bits."""

MAX_DIGEST_ENTRIES = 1000
"""Limit on the workers and services in one digest, which must fit a datagram.

Entries with the least outstanding work are left out. The limit also applies to the list of
unreachable workers, of which the lowest keys are kept.
"""


@dataclass(slots=True)
class LoadCounts:
    """Load of one worker, or demand for one pool, from one or several daemons.

    For a worker: online requests and batch items in flight, recent outcomes in quarters, and blocks
    of prompt tokens whose prefill is pending (the field ``unread`` of a digest). For a pool, which
    is a service or its workers in some regions: requests or batch items that wait for a slot and
    can still meet their latency target (``waiting`` of a digest), or are late (``late``).
    """

    online: int = 0
    batch: int = 0
    succeeded: int = 0
    failed: int = 0
    waiting_on_time: int = 0
    waiting_late: int = 0
    prefill_blocks: int = 0

    def add(self, other: LoadCounts) -> None:
        """Add ``other`` to these counts in place."""
        self.online += other.online
        self.batch += other.batch
        self.succeeded += other.succeeded
        self.failed += other.failed
        self.waiting_on_time += other.waiting_on_time
        self.waiting_late += other.waiting_late
        self.prefill_blocks += other.prefill_blocks

    def subtract(self, other: LoadCounts) -> None:
        """Subtract ``other`` from these counts in place."""
        self.online -= other.online
        self.batch -= other.batch
        self.succeeded -= other.succeeded
        self.failed -= other.failed
        self.waiting_on_time -= other.waiting_on_time
        self.waiting_late -= other.waiting_late
        self.prefill_blocks -= other.prefill_blocks

    def copy(self) -> LoadCounts:
        """Return an independent copy."""
        return LoadCounts(
            self.online,
            self.batch,
            self.succeeded,
            self.failed,
            self.waiting_on_time,
            self.waiting_late,
            self.prefill_blocks,
        )

    @property
    def outstanding(self) -> int:
        """Requests and batch items that are in flight or wait for a slot."""
        return self.online + self.batch + self.waiting_on_time + self.waiting_late

    @property
    def empty(self) -> bool:
        """Whether a digest can omit these counts.

        Pending prefill needs no check, since it only exists for requests in flight.
        """
        return not (self.outstanding or self.succeeded or self.failed)


CountsByKey = dict[int, LoadCounts]
"""Counts by ``Worker.key`` or :func:`mountstand.serving.slot_demand.service_key`."""


def has_outstanding_work(counts_by_key: CountsByKey) -> bool:
    """Return whether any request or batch item is in flight or waits for a slot."""
    return any(counts.outstanding for counts in counts_by_key.values())


def counts_from_digest(digest: LoadDigest) -> CountsByKey:
    """Return the counts in a peer's digest; a list that the digest omits counts as zeros."""
    zeros = (0,) * len(digest.keys)
    counts = zip(
        digest.keys,
        digest.online,
        digest.batch,
        digest.succeeded or zeros,
        digest.failed or zeros,
        digest.waiting or zeros,
        digest.late or zeros,
        _clamp_prefill_blocks(digest.unread) or zeros,
        strict=False,
    )
    return {key: LoadCounts(*values) for key, *values in counts}


def sum_counts(parts: Iterable[CountsByKey]) -> CountsByKey:
    """Return the sum of all ``parts`` by key, without changing them."""
    total: CountsByKey = {}
    for counts_by_key in parts:
        for key, counts in counts_by_key.items():
            sum_so_far = total.get(key)
            if sum_so_far is None:
                total[key] = counts.copy()
            else:
                sum_so_far.add(counts)
    return total


def build_digest(
    scope: Scope, counts_by_key: CountsByKey, unreachable: tuple[int, ...]
) -> LoadDigest:
    """Return a digest of these counts.

    Keeps the entries with the most outstanding work if there are more than ``MAX_DIGEST_ENTRIES``.
    """
    entries = list(counts_by_key.items())
    if len(entries) > MAX_DIGEST_ENTRIES:
        entries.sort(key=lambda entry: -entry[1].outstanding)
        entries = entries[:MAX_DIGEST_ENTRIES]
    return LoadDigest(
        tuple(key for key, _ in entries),
        tuple(counts.online for _, counts in entries),
        tuple(counts.batch for _, counts in entries),
        _omit_if_zero(counts.succeeded for _, counts in entries),
        _omit_if_zero(counts.failed for _, counts in entries),
        unreachable[:MAX_DIGEST_ENTRIES],
        scope,
        _omit_if_zero(counts.waiting_on_time for _, counts in entries),
        _omit_if_zero(counts.waiting_late for _, counts in entries),
        _omit_if_zero(counts.prefill_blocks for _, counts in entries),
    )


def to_quarters(count: float) -> int:
    """Return a number of outcomes in quarters, rounded down and limited for the digest."""
    return min(MAX_OUTCOME_QUARTERS, int(count * QUARTERS_PER_OUTCOME))


def _clamp_prefill_blocks(blocks: Iterable[int]) -> tuple[int, ...]:
    """Limit a peer's prefill counts, so that one wrong digest cannot dominate the sum."""
    return tuple(min(MAX_PREFILL_BLOCKS, max(0, count)) for count in blocks)


def _omit_if_zero(values: Iterable[int]) -> tuple[int, ...]:
    """Return the values for a digest: an empty list if all are zero."""
    counts = tuple(values)
    return counts if any(counts) else ()
