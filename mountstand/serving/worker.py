"""One worker as this daemon knows it: the platform's word, load, and own observations."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from functools import cached_property

from mountstand.serving.prompt import Prompt
from mountstand.serving.worker_health import WorkerHealth, new_health

LOAD_TRUST_S = 2.0
"""A load report older than this says nothing: requests last about as long."""

UNREACHABLE_S = 1.0
"""First pause after a connection that failed; doubled on each further failure."""

LONGEST_UNREACHABLE_S = 4.0

PEER_DOUBT_S = 0.3
"""A worker heard from more recently is reachable from here, whatever a peer says."""

FULL_S = 0.1
"""Pause after a worker refused because it was full."""


@dataclass(frozen=True)
class WorkerRecord:
    """A worker as the platform lists it; every start has an id of its own."""

    worker_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    version: int


@dataclass(frozen=True)
class LoadReport:
    """Load that a worker told with an answer."""

    running: int
    waiting: int
    slots: int

    @property
    def total(self) -> int:
        """Requests that run or wait."""
        return self.running + self.waiting


@dataclass
class Worker:
    """One worker and what was observed of it."""

    record: WorkerRecord
    in_flight: int = 0
    batch_in_flight: int = 0
    peer_online: int = 0
    peer_batch: int = 0
    own_unread: int = 0
    peer_unread: int = 0
    """Tokens of prompts that this daemon and the others sent, and that are still to be read; at
    most, since parts that the worker keeps need no reading."""

    load: LoadReport | None = None
    load_at_s: float = float("-inf")
    known_at_load: int = 0
    avoid_until_s: float = 0.0
    connect_failures: int = 0
    last_heard_s: float = float("-inf")
    unreachable_at_s: float = float("-inf")
    leaving_since_s: float | None = None
    lent_until_s: list[float] = field(default_factory=list)
    health: WorkerHealth = field(default_factory=new_health)

    @cached_property
    def key(self) -> int:
        """The number that stands for this worker among daemons."""
        return zlib.crc32(self.record.worker_id.encode())

    @property
    def known(self) -> int:
        """What all daemons are known to have in flight here."""
        return self.in_flight + self.peer_online + self.peer_batch

    @property
    def online(self) -> int:
        """Online requests that all daemons are known to have in flight here."""
        return self.in_flight - self.batch_in_flight + self.peer_online

    @property
    def batch(self) -> int:
        """Batch items that all daemons are known to have in flight here."""
        return self.batch_in_flight + self.peer_batch

    @property
    def unread(self) -> int:
        """Tokens of prompts that the worker has still to read, as far as is known."""
        return self.own_unread + self.peer_unread

    def note_load(self, load: LoadReport, now_s: float) -> None:
        """Take a load report."""
        self.load = load
        self.load_at_s = now_s
        self.known_at_load = self.known

    def note_heard(self, now_s: float) -> None:
        """Note that the worker said something."""
        self.last_heard_s = now_s
        self.connect_failures = 0

    def note_connect_failed(self, now_s: float) -> None:
        """Avoid the worker for a while, longer each time."""
        pause_s = min(LONGEST_UNREACHABLE_S, UNREACHABLE_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.unreachable_at_s = now_s
        self.avoid_until_s = now_s + pause_s

    def note_unreachable_for_peer(self, now_s: float) -> None:
        """Avoid the worker for a while on a peer's word, unless it was just heard from."""
        if now_s - self.last_heard_s > PEER_DOUBT_S:
            self.avoid_until_s = max(self.avoid_until_s, now_s + UNREACHABLE_S)

    def note_full(self, now_s: float) -> None:
        """Avoid the worker for a moment."""
        self.avoid_until_s = max(self.avoid_until_s, now_s + FULL_S)

    def note_lent(self, until_s: float) -> None:
        """Count a slot as taken that another daemon is about to use."""
        self.lent_until_s.append(until_s)

    def note_returned(self) -> None:
        """Count a lent slot as taken no more."""
        if self.lent_until_s:
            self.lent_until_s.pop()

    def lent(self, now_s: float) -> int:
        """Return how many slots were lent a moment ago."""
        if self.lent_until_s:
            self.lent_until_s = [until_s for until_s in self.lent_until_s if until_s > now_s]
        return len(self.lent_until_s)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether one more request would start at once, as far as is known."""
        return self.estimated_load(now_s) + 1 <= self.slots()

    def slots(self) -> int:
        """Return how many requests run at once."""
        return max(1, self.record.slots)

    def takes_work(self, now_s: float) -> bool:
        """Return whether the worker stays, is reachable as far as is known, and not ejected."""
        avoided = self.avoid_until_s > now_s or self.health.is_ejected(now_s)
        return self.leaving_since_s is None and not avoided

    def estimated_load(self, now_s: float) -> float:
        """Estimate how many requests run or wait there.

        A fresh report plus what became known since; without one, what is known.
        """
        if self.load is not None and now_s - self.load_at_s <= LOAD_TRUST_S:
            change = self.known - self.known_at_load
            return max(float(self.in_flight), float(self.load.total + change))
        return float(self.known)


class PromptReading:
    """Counts a prompt's tokens at its worker as unread until the first event comes."""

    __slots__ = ("_tokens", "_worker")

    def __init__(self, worker: Worker, prompt: Prompt) -> None:
        self._worker = worker
        self._tokens = prompt.tokens
        worker.own_unread += self._tokens

    def end(self) -> None:
        """Note that the prompt was read, or that the request ended before; repeats do nothing."""
        self._worker.own_unread -= self._tokens
        self._tokens = 0
