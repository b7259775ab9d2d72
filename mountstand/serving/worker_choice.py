"""Load balancing: chooses one of the given candidates for a request or batch item.

A request that finds a free slot waits for prefill only: a worker prefills prompts in order of
arrival, so the first event comes after the pending prefill of earlier prompts and that of this one.
Both are counted in tokens, which :class:`mountstand.serving.worker.PendingPrefill` tracks for this
daemon and load digests report for its peers, so no prefill speed needs to be known.
"""

from __future__ import annotations

import random
from heapq import nlargest

from mountstand.hashing import rendezvous_weight
from mountstand.serving.prompt import Prompt
from mountstand.serving.slot_shares import SlotsByOwner
from mountstand.serving.spread import DurationAverages, deficits_below, utilization_after
from mountstand.serving.worker import Worker

SAMPLE_SIZE = 4
"""Workers compared per choice while the known loads are fresh. Small enough that daemons with the
same view of the loads do not all choose the same worker."""

WEIGHTED_SAMPLE_SIZE = 64
"""Maximum number of workers in a weighted random choice, which bounds its cost in large fleets."""

MAX_UNREPORTED_PER_WORKER = 0.5
"""The known loads count as fresh up to this many unreported requests of peers per worker."""

TARGET_UTILIZATION = 1.0
"""Minimum of the level up to which a weighted choice fills workers. At 1.0, requests spread over
all free slots even at low load, so each worker keeps headroom for traffic not yet visible."""

AFFINITY_WORKERS = 3
"""Number of workers preferred for a shared prefix: those that rank highest for it by rendezvous
hashing. Each of them has to prefill the prefix once."""

PREFILL_TOLERANCE = 4
"""Pending prefill up to this multiple of the new prompt's total tokens is ignored in favor of an
even load. Peers report load so late that less than this is usually done by then."""


class WorkerChooser:
    """Chooses by load, or by prefix affinity for prompts with a large shared prefix.

    ``peer_load_age_s`` is the average age of the load that peers report, and ``durations`` tracks
    how long online requests take. ``own_slots`` maps worker ids to the number of slots assigned to
    this daemon; ``slot_owners_by_service`` holds the assignments of all daemons, by service and
    worker id (see :mod:`mountstand.serving.slot_shares`).
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self.peer_load_age_s = 0.0
        self.durations = DurationAverages()
        self.own_slots: dict[str, int] = {}
        self.slot_owners_by_service: dict[str, dict[str, SlotsByOwner]] = {}

    def choose(self, candidates: list[Worker], prompt: Prompt, now_s: float) -> Worker:
        """Choose among the candidates, a non-empty list of workers of one service."""
        preferred = self._choose_by_affinity(candidates, prompt, now_s)
        return preferred or self.choose_least_loaded(candidates, prompt, now_s)

    def _choose_by_affinity(
        self, candidates: list[Worker], prompt: Prompt, now_s: float
    ) -> Worker | None:
        """Choose one of the affinity workers of a prompt's shared prefix with a free slot, if any.

        The first one is assumed to have the prefix cached, while the others would prefill it again.
        The worker with the fewest tokens to prefill before the first event is chosen.
        """
        key = prompt.affinity_key
        if key is None:
            return None
        preferred = nlargest(
            AFFINITY_WORKERS, candidates, key=lambda w: rendezvous_weight(key, w.record.worker_id)
        )
        free = [w for w in preferred if w.estimated_load(now_s) + 1 <= w.slots()]

        def tokens_before_first_event(worker: Worker) -> int:
            return worker.pending_prefill_tokens + (
                0 if worker is preferred[0] else prompt.shared_tokens
            )

        return min(free, key=tokens_before_first_event, default=None)

    def choose_least_loaded(self, candidates: list[Worker], prompt: Prompt, now_s: float) -> Worker:
        """Choose a worker so that loads even out, allowing for unreported requests of peers.

        A worker with one of this daemon's own slots free is preferred. Workers with much pending
        prefill, relative to the size of this prompt, are avoided.
        """
        tolerated_tokens = max(1, prompt.tokens * PREFILL_TOLERANCE)
        own = self.choose_own_slot(candidates, tolerated_tokens, now_s)
        if own is not None:
            return own
        larger_sample = self._sample(candidates, WEIGHTED_SAMPLE_SIZE)
        unreported = self.durations.estimated_recent_starts(
            larger_sample[0].record.service,
            sum(worker.peer_online for worker in larger_sample),
            self.peer_load_age_s,
        )
        if unreported > MAX_UNREPORTED_PER_WORKER * len(larger_sample):
            return self._choose_by_weight(larger_sample, unreported, tolerated_tokens, now_s)
        sample = self._sample(candidates, SAMPLE_SIZE)

        def cost(worker: Worker) -> tuple[int, float, bool, float]:
            utilization = worker.weighted_utilization(now_s, extra_requests=1)
            other_zone = worker.record.zone != self._zone
            return (
                worker.pending_prefill_tokens // tolerated_tokens,
                round(utilization, 2),
                other_zone,
                self._rng.random(),
            )

        return min(sample, key=cost)

    def choose_own_slot(
        self, candidates: list[Worker], tolerated_tokens: int, now_s: float
    ) -> Worker | None:
        """Choose the worker with most of this daemon's own slots free, adjusted for slowdown.

        Workers with at least ``tolerated_tokens`` of pending prefill are skipped.
        """

        def free_slots(worker: Worker) -> float:
            own = self.own_slots.get(worker.record.worker_id, 0) - worker.in_flight
            free = min(own, worker.slots() - worker.estimated_load(now_s))
            return free - worker.granted_slots(now_s)

        own = [
            worker
            for worker in candidates
            if worker.record.worker_id in self.own_slots
            and worker.pending_prefill_tokens < tolerated_tokens
            and free_slots(worker) >= 1
        ]
        return max(
            own,
            key=lambda worker: (free_slots(worker) / worker.slowdown(now_s), self._rng.random()),
            default=None,
        )

    def _choose_by_weight(
        self, candidates: list[Worker], unreported: float, tolerated_tokens: int, now_s: float
    ) -> Worker:
        """Choose at random; the weight rises with the distance to the target utilization.

        It falls with pending prefill, to half at ``tolerated_tokens``.
        """
        utilizations = _utilizations(candidates, now_s)
        deficits = deficits_below(
            utilizations, max(TARGET_UTILIZATION, utilization_after(utilizations, unreported))
        )
        weights = [
            deficit * tolerated_tokens / (tolerated_tokens + worker.pending_prefill_tokens)
            for deficit, worker in zip(deficits, candidates, strict=True)
        ]
        if not any(weights):
            return self._rng.choice(candidates)
        return self._rng.choices(candidates, weights)[0]

    def _sample(self, candidates: list[Worker], size: int) -> list[Worker]:
        return candidates if len(candidates) <= size else self._rng.sample(candidates, size)


def _utilizations(workers: list[Worker], now_s: float) -> list[tuple[float, int]]:
    """Return each worker's weighted utilization and number of slots."""
    return [(worker.weighted_utilization(now_s), worker.slots()) for worker in workers]
