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

MAX_WORKERS = 150
"""Workers named in one digest, which must fit a datagram."""


@dataclass
class _Heard:
    """The last digest of one daemon."""

    at_s: float
    online: dict[int, int]
    batch: dict[int, int]


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
        digest = self._own_digest()
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
        self._heard[sender] = _Heard(
            now_s,
            dict(zip(digest.worker_keys, digest.online, strict=False)),
            dict(zip(digest.worker_keys, digest.batch, strict=False)),
        )
        self._add_up()

    def _own_digest(self) -> LoadDigest:
        busy = [worker for worker in self._directory.workers.values() if worker.in_flight]
        busy = busy[:MAX_WORKERS]
        return LoadDigest(
            tuple(worker.key for worker in busy),
            tuple(worker.in_flight - worker.batch_in_flight for worker in busy),
            tuple(worker.batch_in_flight for worker in busy),
        )

    def _add_up(self) -> None:
        heard = list(self._heard.values())
        for worker in self._directory.workers.values():
            self._add_up_worker(worker, heard)

    def _add_up_worker(self, worker: Worker, heard: list[_Heard]) -> None:
        key = worker.key
        worker.peer_online = sum(each.online.get(key, 0) for each in heard)
        worker.peer_batch = sum(each.batch.get(key, 0) for each in heard)
