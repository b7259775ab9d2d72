"""Listed results kept in memory; they never change, so they need no check."""

from __future__ import annotations

from collections import OrderedDict

from mountstand.jobs.model import ItemResult


class ResultCache:
    """Listed results, bounded in bytes; the oldest go first."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self._results: OrderedDict[tuple[str, int], ItemResult] = OrderedDict()

    def put(self, job_id: str, position: int, result: ItemResult) -> None:
        """Keep the result at a position."""
        if (job_id, position) in self._results:
            return
        self._results[job_id, position] = result
        self._bytes += len(result.text)
        while self._bytes > self._limit_bytes:
            _, dropped = self._results.popitem(last=False)
            self._bytes -= len(dropped.text)

    def contiguous_from(self, job_id: str, position: int, max_bytes: int) -> list[ItemResult]:
        """Return kept results from ``position`` on without a gap, up to ``max_bytes``."""
        found: list[ItemResult] = []
        size = 0
        while (result := self._results.get((job_id, position + len(found)))) is not None:
            size += len(result.text)
            if found and size > max_bytes:
                break
            found.append(result)
        return found
