"""In-memory cache of listed results, which are immutable and so need no invalidation."""

from __future__ import annotations

from collections import OrderedDict

from mountstand.jobs.model import ItemResult


class ResultCache:
    """Cache of results by job and position in listing order; evicts the oldest insertions first.

    The byte limits are compared with the number of characters in the results' texts, so text that
    is not ASCII may exceed them.
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._size_chars = 0
        self._results: OrderedDict[tuple[str, int], ItemResult] = OrderedDict()

    def put(self, job_id: str, position: int, result: ItemResult) -> None:
        """Add a result, unless the position is cached, and evict the oldest over the limit."""
        if (job_id, position) in self._results:
            return
        self._results[job_id, position] = result
        self._size_chars += len(result.text)
        while self._size_chars > self._limit_bytes:
            _, evicted = self._results.popitem(last=False)
            self._size_chars -= len(evicted.text)

    def contiguous_from(self, job_id: str, position: int, max_bytes: int) -> list[ItemResult]:
        """Return consecutive cached results from ``position``, up to ``max_bytes``.

        The first result is returned even if it is larger.
        """
        results: list[ItemResult] = []
        size_chars = 0
        while (result := self._results.get((job_id, position + len(results)))) is not None:
            size_chars += len(result.text)
            if results and size_chars > max_bytes:
                break
            results.append(result)
        return results
