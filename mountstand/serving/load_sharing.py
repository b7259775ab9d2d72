"""What the other daemons have in flight at each worker, told by their digests.

Workers tell their load only with an answer's head. Between two of those, the sum of what all
daemons have in flight is the best picture there is, and the only one that tells online work and
batch work apart.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mountstand.serving.workers import Worker, WorkerDirectory
from mountstand.wire.messages import LoadDigest

SHORTEST_PERIOD_S = 0.1
DATAGRAMS_PER_S = 160.0
"""Digests that one daemon sends at most; with many daemons it sends less often."""

REFRESH_PERIODS = 5
"""An unchanged digest is sent again after so many periods."""

EXPIRY_PERIODS = 15
"""A daemon that sent none for so many periods is taken to have nothing in flight."""

QUARTERS = 4
MOST_QUARTERS = 65_535
UNREACHABLE_TOLD_S = 0.3
"""How long a worker that accepted no connection is told as unreachable: peers hear it in one of
the next digests, and a worker that answers again is not told any more."""

MAX_WORKERS = 80
"""Workers named in one digest, which must fit a datagram."""


@dataclass
class _Heard:
    """The last digest of one daemon."""

    at_s: float
    online: dict[int, int]
    batch: dict[int, int]
    succeeded: dict[int, int]
    failed: dict[int, int]


class LoadSharing:
    """Sends this daemon's digest, and adds up those of the others."""

    def __init__(
        self,
        directory: WorkerDirectory,
        peers: Callable[[], int],
        broadcast: Callable[[LoadDigest], None],
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._broadcast = broadcast
        self._heard: dict[str, _Heard] = {}
        self._sent = LoadDigest((), (), ())
        self._periods_unsent = 0

    @property
    def period_s(self) -> float:
        """How often digests are sent, given the number of daemons."""
        return max(SHORTEST_PERIOD_S, self._peers() / DATAGRAMS_PER_S)

    def tick(self, now_s: float) -> None:
        """Send the digest if it changed, and forget daemons that fell silent."""
        digest = self._own_digest(now_s)
        self._periods_unsent += 1
        if digest != self._sent or self._periods_unsent >= REFRESH_PERIODS:
            self._broadcast(digest)
            self._sent = digest
            self._periods_unsent = 0
        expired = [
            sender
            for sender, heard in self._heard.items()
            if now_s - heard.at_s > EXPIRY_PERIODS * self.period_s
        ]
        for sender in expired:
            del self._heard[sender]
        if expired:
            self._add_up()

    def handle(self, sender: str, digest: LoadDigest, now_s: float) -> None:
        """Take the digest of another daemon."""
        keys = digest.worker_keys
        self._heard[sender] = _Heard(
            now_s,
            dict(zip(keys, digest.online, strict=False)),
            dict(zip(keys, digest.batch, strict=False)),
            dict(zip(keys, digest.succeeded, strict=False)),
            dict(zip(keys, digest.failed, strict=False)),
        )
        self._add_up()
        unreachable = set(digest.unreachable)
        for worker in self._directory.workers.values():
            if worker.key in unreachable:
                worker.note_unreachable_for_peer(now_s)

    def _own_digest(self, now_s: float) -> LoadDigest:
        told: list[Worker] = []
        unreachable: list[int] = []
        for worker in self._directory.workers.values():
            counts = worker.health.own
            counts.age(now_s)
            if worker.in_flight or quarters(counts.succeeded) or quarters(counts.failed):
                told.append(worker)
            if now_s - worker.unreachable_at_s < UNREACHABLE_TOLD_S:
                unreachable.append(worker.key)
        told = told[:MAX_WORKERS]
        return LoadDigest(
            tuple(worker.key for worker in told),
            tuple(worker.in_flight - worker.batch_in_flight for worker in told),
            tuple(worker.batch_in_flight for worker in told),
            tuple(quarters(worker.health.own.succeeded) for worker in told),
            tuple(quarters(worker.health.own.failed) for worker in told),
            tuple(unreachable[:MAX_WORKERS]),
        )

    def _add_up(self) -> None:
        heard = list(self._heard.values())
        for worker in self._directory.workers.values():
            self._add_up_worker(worker, heard)

    def _add_up_worker(self, worker: Worker, heard: list[_Heard]) -> None:
        key = worker.key
        worker.peer_online = sum(each.online.get(key, 0) for each in heard)
        worker.peer_batch = sum(each.batch.get(key, 0) for each in heard)
        health = worker.health
        health.peers_succeeded = sum(each.succeeded.get(key, 0) for each in heard) / QUARTERS
        health.peers_failed = sum(each.failed.get(key, 0) for each in heard) / QUARTERS


def quarters(count: float) -> int:
    """Return a count of outcomes as a digest tells it."""
    return min(MOST_QUARTERS, int(count * QUARTERS))
