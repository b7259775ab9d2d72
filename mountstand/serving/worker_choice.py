"""Which worker a request or batch item goes to, among those that may be asked.

With slots free, what a request waits for is reading: a worker reads prompts in the order of their
arrival, so the first event comes after what is still to be read there and what it has to read of
this prompt itself. Both are counted in tokens, as :class:`mountstand.serving.worker.PendingPrefill`
and the digests of the other daemons tell them, so that no reading speed needs to be known.
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
"""Workers compared per choice while the picture of their load is fresh. Few enough that daemons
with equal pictures do not all pick one."""

SPREAD_SIZE = 64
"""Workers that a choice by chance considers at most, so that it costs the same in any fleet."""

UNSEEN_PER_WORKER = 0.5
"""Up to so many requests per worker that peers began unseen, the picture of the load is fresh."""

TARGET_UTILIZATION = 1.0
"""Fill below which it matters little how even loads are. Spreading over all free slots leaves room
for a rise of traffic that nobody can have seen yet."""

HOMES = 3
"""Workers that requests with the same shared parts go to at most while these have a free slot. Each
further one has to read the shared parts once more."""

READ_TOLERANCE = 4
"""Up to so many times a prompt's own size, it matters little what a worker has still to read; the
evenness of the load goes first. Peers tell of reading so late that less is over by then."""


class WorkerChooser:
    """Chooses by load, and by home where much of a prompt is shared.

    ``peer_load_age_s`` is how old what peers tell of their requests is on average, ``durations`` how
    long online requests usually take, ``own_slots`` how many slots of which workers are dealt to
    this daemon, and ``slot_owners_by_service`` those of all (:mod:`mountstand.serving.slot_shares`).
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._source = rng
        self.peer_load_age_s = 0.0
        self.durations = DurationAverages()
        self.own_slots: dict[str, int] = {}
        self.slot_owners_by_service: dict[str, dict[str, SlotsByOwner]] = {}

    def choose(self, candidates: list[Worker], prompt: Prompt, now_s: float) -> Worker:
        """Choose among workers of one service, of which there is one at least."""
        home = self._choose_home(candidates, prompt, now_s)
        return home or self.choose_least_loaded(candidates, prompt, now_s)

    def _choose_home(self, candidates: list[Worker], prompt: Prompt, now_s: float) -> Worker | None:
        """Choose one of the homes of a prompt's shared parts, if it has any with a free slot.

        The first home is taken to keep the shared parts. Others must read them again, so they come
        into question only if more than that is to be read at the first.
        """
        key = prompt.affinity_key
        if key is None:
            return None
        homes = nlargest(
            HOMES, candidates, key=lambda w: rendezvous_weight(key, w.record.worker_id)
        )
        free = [home for home in homes if home.estimated_load(now_s) + 1 <= home.slots()]

        def tokens_before_first_event(home: Worker) -> int:
            return home.unread + (0 if home is homes[0] else prompt.shared_tokens)

        return min(free, key=tokens_before_first_event, default=None)

    def choose_least_loaded(self, candidates: list[Worker], prompt: Prompt, now_s: float) -> Worker:
        """Choose a worker so that the loads even out, given what peers send unseen meanwhile.

        Workers that have much to read before this prompt are avoided.
        """
        tolerated = max(1, prompt.tokens * READ_TOLERANCE)
        own = self.choose_own_slot(candidates, tolerated, now_s)
        if own is not None:
            return own
        spread = self._sample(candidates, SPREAD_SIZE)
        unseen = self.durations.estimated_recent_starts(
            spread[0].record.service,
            sum(worker.peer_online for worker in spread),
            self.peer_load_age_s,
        )
        if unseen > UNSEEN_PER_WORKER * len(spread):
            return self._choose_by_weight(spread, unseen, tolerated, now_s)
        sample = self._sample(candidates, SAMPLE_SIZE)

        def cost(worker: Worker) -> tuple[int, float, bool, float]:
            fill = worker.fill(now_s, more=1)
            elsewhere = worker.record.zone != self._zone
            return (worker.unread // tolerated, round(fill, 2), elsewhere, self._source.random())

        return min(sample, key=cost)

    def choose_own_slot(
        self, candidates: list[Worker], tolerated: int, now_s: float
    ) -> Worker | None:
        """Choose the worker with most of this daemon's own slots free, if there is any."""

        def free(worker: Worker) -> float:
            own = self.own_slots.get(worker.record.worker_id, 0) - worker.in_flight
            left = min(own, worker.slots() - worker.estimated_load(now_s))
            return left - worker.lent(now_s)

        own = [
            worker
            for worker in candidates
            if worker.record.worker_id in self.own_slots
            and worker.unread < tolerated
            and free(worker) >= 1
        ]
        return max(
            own,
            key=lambda worker: (free(worker) / worker.slowdown(now_s), self._source.random()),
            default=None,
        )

    def _choose_by_weight(
        self, candidates: list[Worker], unseen: float, tolerated: int, now_s: float
    ) -> Worker:
        """Choose by chance, the likelier the more a worker lacks to the level of all."""
        fills = _fills(candidates, now_s)
        lacking = deficits_below(fills, max(TARGET_UTILIZATION, utilization_after(fills, unseen)))
        weights = [
            lack * tolerated / (tolerated + worker.unread)
            for lack, worker in zip(lacking, candidates, strict=True)
        ]
        if not any(weights):
            return self._source.choice(candidates)
        return self._source.choices(candidates, weights)[0]

    def _sample(self, candidates: list[Worker], size: int) -> list[Worker]:
        return candidates if len(candidates) <= size else self._source.sample(candidates, size)


def _fills(workers: list[Worker], now_s: float) -> list[tuple[float, int]]:
    """Return each worker's fill, as a share of its slots, and its slots."""
    return [(worker.fill(now_s), worker.slots()) for worker in workers]
