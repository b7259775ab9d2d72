"""Choice of one worker for one request.

Home zone first and spill by load; inside the zone the worker that holds the longest prompt prefix,
unless it is loaded over its bound; else the better of two random workers. Pure and seeded.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from mountstand.routing.fleet_view import FleetView, WorkerState
from mountstand.routing.prefix_index import PrefixIndex

SPILL_LOAD_THRESHOLD = 0.9
"""Load of the best home worker over which other zones are considered."""

MAX_AFFINITY_LOAD_EXCESS = 0.25
"""How much more loaded than the mean a worker may be and still be chosen for its prefix."""

MIN_AFFINITY_BLOCKS = 2
"""Shorter matches (128 characters) save less than an uneven load costs."""

LOAD_SAMPLE_SIZE = 2


@dataclass(frozen=True)
class RouteRequest:
    """What the choice depends on."""

    service: str
    prefix: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()


class WorkerChooser:
    """Chooses workers from a fleet view.

    Parameters
    ----------
    view
        The daemon's knowledge of its workers.
    home_zone
        Zone of this daemon.
    source
        Random source, seeded by the caller.
    zone_weights
        Share of ordinary traffic that a zone takes, 0 to 1; zones not named take all of theirs.
    """

    def __init__(self, view: FleetView, home_zone: str, random_source: random.Random) -> None:
        self.prefix_index = PrefixIndex()
        self.zone_weights: dict[str, float] = {}
        self._view = view
        self._home_zone = home_zone
        self._random = random_source

    def choose(self, request: RouteRequest, now_s: float) -> WorkerState | None:
        """Return the worker for ``request``, or ``None`` when none may take it."""
        candidates = [
            worker
            for worker in self._view.candidates(request.service, now_s)
            if worker.worker_id not in request.excluded and worker.backoff_until_s <= now_s
        ]
        candidates = self._apply_zone_weights(candidates)
        if not candidates:
            return None
        eligible = self._local_or_all(candidates, now_s)
        chosen = self._by_prefix(request, eligible, now_s) or self._by_load(eligible, now_s)
        for block in request.prefix:
            self.prefix_index.record_stored(block, chosen.worker_id)
        return chosen

    def _apply_zone_weights(self, candidates: list[WorkerState]) -> list[WorkerState]:
        if not self.zone_weights:
            return candidates
        admitted = [
            worker
            for worker in candidates
            if self._random.random() < self.zone_weights.get(worker.machine.zone, 1.0)
        ]
        in_open_zones = [w for w in candidates if self.zone_weights.get(w.machine.zone, 1.0) > 0]
        return admitted or in_open_zones

    def _local_or_all(self, candidates: list[WorkerState], now_s: float) -> list[WorkerState]:
        home_workers = [w for w in candidates if w.machine.zone == self._home_zone]
        if not home_workers:
            return candidates
        if min(worker.estimated_load(now_s) for worker in home_workers) < SPILL_LOAD_THRESHOLD:
            return home_workers
        return candidates

    def _by_prefix(
        self, request: RouteRequest, candidates: list[WorkerState], now_s: float
    ) -> WorkerState | None:
        matched_counts = self.prefix_index.matched_block_counts(list(request.prefix))
        loads = {worker.worker_id: worker.estimated_load(now_s) for worker in candidates}
        max_load = sum(loads.values()) / len(loads) + MAX_AFFINITY_LOAD_EXCESS
        holders = [
            worker
            for worker in candidates
            if matched_counts.get(worker.worker_id, 0) >= MIN_AFFINITY_BLOCKS
            and loads[worker.worker_id] <= max_load
        ]
        if not holders:
            return None
        return max(holders, key=lambda w: (matched_counts[w.worker_id], -loads[w.worker_id]))

    def _by_load(self, candidates: list[WorkerState], now_s: float) -> WorkerState:
        sampled = self._random.sample(candidates, min(LOAD_SAMPLE_SIZE, len(candidates)))
        return min(sampled, key=lambda worker: worker.estimated_load(now_s))
