"""How much of each service online work takes at its recent peak; batch work leaves that free."""

from __future__ import annotations

import math

from mountstand.serving.workers import WorkerDirectory

HALF_LIFE_S = 20.0
"""After so long without another one, a peak counts half."""

MARGIN = 1.15
"""Room above the peak, since workers are never filled evenly."""


class OnlinePeak:
    """Keeps the decaying peak of online requests per worker, by service."""

    def __init__(self, directory: WorkerDirectory) -> None:
        self._directory = directory
        self._peaks: dict[str, float] = {}
        self._updated_at_s: float | None = None

    def update(self, now_s: float) -> None:
        """Take the present load into account; call several times a second."""
        last_s = self._updated_at_s if self._updated_at_s is not None else now_s
        decay = math.exp(-math.log(2) * (now_s - last_s) / HALF_LIFE_S)
        self._updated_at_s = now_s
        for service in self._directory.services():
            present = self._directory.online_per_worker(service)
            self._peaks[service] = max(present, self._peaks.get(service, 0.0) * decay)

    def reserve(self, service: str) -> float:
        """Return the slots of each worker to keep for online work."""
        return self._peaks.get(service, 0.0) * MARGIN + 1
