"""Zone-aware, prefix-aware selection of the worker for one request.

Workers in the daemon's home zone are preferred until even the least loaded of them reaches
``SPILL_LOAD_THRESHOLD``; from then on workers in all zones are considered. Among the workers
considered, the one holding the longest cached prompt prefix is chosen. Workers whose load is too
far above the mean are not chosen for their prefix. If no worker qualifies by its prefix, the less
loaded of two randomly sampled workers is chosen (power of two choices).

This module performs no I/O, and its choices are reproducible for a given random seed.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from mountstand.routing.fleet_view import FleetView, WorkerState
from mountstand.routing.prefix_index import PrefixIndex
from mountstand.store.ports import Machine

SPILL_LOAD_THRESHOLD = 0.9
"""Other zones are considered once the least loaded home worker reaches this load.

Loads in this module are online requests per slot, as :meth:`WorkerState.estimated_load` returns.
"""

MAX_AFFINITY_LOAD_EXCESS = 0.25
"""A worker is chosen for its cached prefix only up to this much load above the candidates' mean."""

MIN_AFFINITY_BLOCKS = 2
"""Shortest match for which a worker is chosen by prefix.

Shorter matches (under 128 characters) save less computation than uneven load costs.
"""

LOAD_SAMPLE_SIZE = 2
"""Candidates sampled at random, of which the least loaded is chosen."""


@dataclass(frozen=True)
class RouteRequest:
    """Routing criteria of one request.

    ``prefix`` holds the hashes of the prompt's leading blocks, in order. ``excluded`` holds the ids
    of workers that must not be chosen. Only workers with ``software_version`` are chosen, unless it
    is ``None``.
    """

    service: str
    prefix: tuple[str, ...] = ()
    excluded: frozenset[str] = frozenset()
    software_version: str | None = None

    def allows(self, machine: Machine) -> bool:
        """Return whether a worker may be chosen as far as its id and its software go."""
        if machine.machine_id in self.excluded:
            return False
        return self.software_version in (None, machine.software_version)


class WorkerChooser:
    """Chooses workers from a fleet view; not thread-safe.

    Callers may replace ``zone_weights``: it maps a zone to the probability, from 0 to 1, with
    which each of its workers is considered for a request; 0 excludes the zone.
    Zones that it omits have weight 1.

    Parameters
    ----------
    view
        The daemon's view of its workers.
    home_zone
        Zone that this daemon runs in.
    random_source
        Random number generator, seeded by the caller.
    """

    def __init__(self, view: FleetView, home_zone: str, random_source: random.Random) -> None:
        self.prefix_index = PrefixIndex()
        self.zone_weights: dict[str, float] = {}
        self._view = view
        self._home_zone = home_zone
        self._random = random_source

    def choose(self, request: RouteRequest, now_s: float) -> WorkerState | None:
        """Return the worker for ``request``, or ``None`` if no worker is eligible.

        The prefix index is updated at once, since the chosen worker will cache the prompt's blocks.
        """
        candidates = [
            worker
            for worker in self._view.candidates(request.service, now_s)
            if request.allows(worker.machine) and worker.backoff_until_s <= now_s
        ]
        candidates = self._apply_zone_weights(candidates)
        if not candidates:
            return None
        eligible = self._prefer_home_zone(candidates, now_s)
        chosen = self._choose_by_prefix(request, eligible, now_s) or self._choose_by_load(
            eligible, now_s
        )
        for block_hash in request.prefix:
            self.prefix_index.record_stored(block_hash, chosen.worker_id)
        return chosen

    def _apply_zone_weights(self, candidates: list[WorkerState]) -> list[WorkerState]:
        """Keep each candidate with its zone's weight as probability.

        If none is kept, return all candidates in zones of positive weight.
        """
        if not self.zone_weights:
            return candidates
        admitted = [
            worker
            for worker in candidates
            if self._random.random() < self.zone_weights.get(worker.machine.zone, 1.0)
        ]
        in_open_zones = [w for w in candidates if self.zone_weights.get(w.machine.zone, 1.0) > 0]
        return admitted or in_open_zones

    def _prefer_home_zone(self, candidates: list[WorkerState], now_s: float) -> list[WorkerState]:
        home_workers = [w for w in candidates if w.machine.zone == self._home_zone]
        if not home_workers:
            return candidates
        if min(worker.estimated_load(now_s) for worker in home_workers) < SPILL_LOAD_THRESHOLD:
            return home_workers
        return candidates

    def _choose_by_prefix(
        self, request: RouteRequest, candidates: list[WorkerState], now_s: float
    ) -> WorkerState | None:
        """Return the candidate with the longest cached prefix among those within the load limit.

        Return ``None`` if none of these has at least ``MIN_AFFINITY_BLOCKS`` cached.
        """
        matched_counts = self.prefix_index.matched_block_counts(list(request.prefix))
        loads = {worker.worker_id: worker.estimated_load(now_s) for worker in candidates}
        max_load = sum(loads.values()) / len(loads) + MAX_AFFINITY_LOAD_EXCESS
        eligible_holders = [
            worker
            for worker in candidates
            if matched_counts.get(worker.worker_id, 0) >= MIN_AFFINITY_BLOCKS
            and loads[worker.worker_id] <= max_load
        ]
        if not eligible_holders:
            return None
        return max(
            eligible_holders, key=lambda w: (matched_counts[w.worker_id], -loads[w.worker_id])
        )

    def _choose_by_load(self, candidates: list[WorkerState], now_s: float) -> WorkerState:
        sampled = self._random.sample(candidates, min(LOAD_SAMPLE_SIZE, len(candidates)))
        return min(sampled, key=lambda worker: worker.estimated_load(now_s))
