"""Which worker probably holds which prompt prefix, from own dispatches and cache events."""

from __future__ import annotations

from collections import OrderedDict

MAX_TRACKED_BLOCKS = 100_000
"""Bounds memory to about 20 MB; the least recently used blocks are forgotten."""

MAX_HASHED_BLOCKS = 32
"""Prefix blocks considered per prompt; longer matches change the choice very little."""


class PrefixIndex:
    """Map of prefix block to the workers believed to hold it.

    Events arrive late and with gaps, so the index is a hint: a wrong entry costs a cache miss.
    """

    def __init__(self, capacity_blocks: int = MAX_TRACKED_BLOCKS) -> None:
        self._capacity_blocks = capacity_blocks
        self._holders: OrderedDict[str, set[str]] = OrderedDict()

    def record_stored(self, block: str, worker_id: str) -> None:
        """Note that ``worker_id`` holds ``block``."""
        self._holders.setdefault(block, set()).add(worker_id)
        self._holders.move_to_end(block)
        while len(self._holders) > self._capacity_blocks:
            self._holders.popitem(last=False)

    def record_evicted(self, block: str, worker_id: str) -> None:
        """Note that ``worker_id`` dropped ``block``."""
        holders = self._holders.get(block)
        if holders is None:
            return
        holders.discard(worker_id)
        if not holders:
            del self._holders[block]

    def matched_block_counts(self, blocks: list[str]) -> dict[str, int]:
        """Return, by worker, how many leading ``blocks`` it is believed to hold."""
        matched_counts: dict[str, int] = {}
        common_holders: set[str] | None = None
        for depth, block in enumerate(blocks, start=1):
            holders = self._holders.get(block, set())
            common_holders = holders if common_holders is None else common_holders & holders
            if not common_holders:
                break
            for worker_id in common_holders:
                matched_counts[worker_id] = depth
        return matched_counts
