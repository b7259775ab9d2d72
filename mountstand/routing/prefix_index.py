"""Index of the prompt prefixes that workers have cached.

Built from this daemon's own dispatches and from the engines' cache events.
"""

from __future__ import annotations

from collections import OrderedDict

MAX_TRACKED_BLOCKS = 100_000
"""Limits the index to about 20 MB; the least recently stored entries are dropped first."""

MAX_HASHED_BLOCKS = 32
"""Leading blocks that the HTTP layer hashes per prompt; longer matches rarely change the choice."""


class PrefixIndex:
    """Maps prefix blocks to the workers that probably have them cached.

    Blocks are identified by their hashes.

    Cache events arrive late and some are lost, so entries may be wrong. A wrong entry only costs a
    cache miss. Not thread-safe.
    """

    def __init__(self, capacity_blocks: int = MAX_TRACKED_BLOCKS) -> None:
        self._capacity_blocks = capacity_blocks
        self._holders: OrderedDict[str, set[str]] = OrderedDict()

    def record_stored(self, block_hash: str, worker_id: str) -> None:
        """Record that ``worker_id`` has the block cached."""
        self._holders.setdefault(block_hash, set()).add(worker_id)
        self._holders.move_to_end(block_hash)
        while len(self._holders) > self._capacity_blocks:
            self._holders.popitem(last=False)

    def record_evicted(self, block_hash: str, worker_id: str) -> None:
        """Record that ``worker_id`` has evicted the block from its cache."""
        holders = self._holders.get(block_hash)
        if holders is None:
            return
        holders.discard(worker_id)
        if not holders:
            del self._holders[block_hash]

    def matched_block_counts(self, block_hashes: list[str]) -> dict[str, int]:
        """Map each worker id to the number of leading blocks that it probably holds.

        Workers without the first block are omitted.
        """
        matched_counts: dict[str, int] = {}
        common_holders: set[str] | None = None
        for depth, block_hash in enumerate(block_hashes, start=1):
            holders = self._holders.get(block_hash, set())
            common_holders = holders if common_holders is None else common_holders & holders
            if not common_holders:
                break
            for worker_id in common_holders:
                matched_counts[worker_id] = depth
        return matched_counts
