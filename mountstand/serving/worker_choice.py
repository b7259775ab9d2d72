"""Which worker a request or batch item goes to, among those that may be asked."""

from __future__ import annotations

import random

from mountstand.hashing import rendezvous_weight
from mountstand.serving.prompt import Prompt
from mountstand.serving.spread import UsualDurations, level_after, weights_below
from mountstand.serving.worker import Worker

SAMPLE_SIZE = 4
"""Workers compared per choice while the picture of their load is fresh. Few enough that daemons
with equal pictures do not all pick one."""

SPREAD_SIZE = 64
"""Workers that a choice by chance considers at most, so that it costs the same in any fleet."""

UNSEEN_PER_WORKER = 0.5
"""Up to so many requests per worker that peers began unseen, the picture of the load is fresh."""

FULL = 1.0
"""Fill below which it matters little how even loads are. Spreading over all free slots leaves room
for a rise of traffic that nobody can have seen yet."""

AFFINITY_FILL = 0.9
"""A home worker filled beyond this share of its slots gives the request to the next home."""


class WorkerChooser:
    """Chooses by load, and by home where much of a prompt is shared.

    ``picture_age_s`` is how old what peers tell of their requests is on average, ``durations`` how
    long online requests usually take.
    """

    def __init__(self, zone: str, source: random.Random) -> None:
        self._zone = zone
        self._source = source
        self.picture_age_s = 0.0
        self.durations = UsualDurations()

    def choose(self, candidates: list[Worker], prompt: Prompt, now_s: float) -> Worker:
        """Choose among workers of one service, of which there is one at least."""
        key = prompt.affinity_key
        if key is not None:
            return self._choose_home(candidates, key, now_s)
        return self.choose_least_loaded(candidates, now_s)

    def _choose_home(self, candidates: list[Worker], key: str, now_s: float) -> Worker:
        homes = sorted(
            candidates, key=lambda w: rendezvous_weight(key, w.record.worker_id), reverse=True
        )
        for worker in homes:
            if worker.estimated_load(now_s) < worker.slots() * AFFINITY_FILL:
                return worker
        return self.choose_least_loaded(candidates, now_s)

    def choose_least_loaded(self, candidates: list[Worker], now_s: float) -> Worker:
        """Choose a worker so that the loads even out, given what peers send unseen meanwhile."""
        spread = self._sample(candidates, SPREAD_SIZE)
        unseen = self.durations.arrivals(
            spread[0].record.service,
            sum(worker.peer_online for worker in spread),
            self.picture_age_s,
        )
        if unseen > UNSEEN_PER_WORKER * len(spread):
            return self._choose_by_weight(spread, unseen, now_s)
        sample = self._sample(candidates, SAMPLE_SIZE)

        def cost(worker: Worker) -> tuple[float, bool, float]:
            fill = worker.estimated_load(now_s) / worker.slots()
            elsewhere = worker.record.zone != self._zone
            return (round(fill, 2), elsewhere, self._source.random())

        return min(sample, key=cost)

    def _choose_by_weight(self, candidates: list[Worker], unseen: float, now_s: float) -> Worker:
        """Choose by chance, the likelier the more a worker lacks to the level of all."""
        fills = _fills(candidates, now_s)
        weights = weights_below(fills, max(FULL, level_after(fills, unseen)))
        if not any(weights):
            return self._source.choice(candidates)
        return self._source.choices(candidates, weights)[0]

    def _sample(self, candidates: list[Worker], size: int) -> list[Worker]:
        return candidates if len(candidates) <= size else self._source.sample(candidates, size)


def _fills(workers: list[Worker], now_s: float) -> list[tuple[float, int]]:
    """Return each worker's fill, as a share of its slots, and its slots."""
    return [(worker.estimated_load(now_s) / worker.slots(), worker.slots()) for worker in workers]
