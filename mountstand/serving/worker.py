"""One worker as this daemon knows it: the platform's word, load, and own observations."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass, field
from functools import cached_property

from mountstand.serving.cold_workers import ColdBudget
from mountstand.serving.prompt import Prompt
from mountstand.serving.worker_health import WorkerHealth, new_health

LOAD_TRUST_S = 2.0
"""A load report older than this says nothing: requests last about as long."""

LEAST_SLOWDOWN = 0.5
MOST_SLOWDOWN = 4.0
"""Bounds of what a worker may say of its pace, so that a wrong word neither draws nor shuns more
than a part of the work: machines that are shared were seen to take up to 2.5 times as long."""

SLOWDOWN_LASTS_S = 0.5
"""After this time a worker's word of its pace has faded to 1/e of what it says beyond the usual:
neighbours on its machine come and go many times a second."""

SLOWDOWN_WEIGHT = 0.05
"""Weight of a new word in the usual slowdown of a worker."""

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
    started_at_ms: int = 0
    """When its process started, in Unix milliseconds; 0 where that is not told. A worker may start
    again under its former id and remembers nothing then."""

    cold_remaining_s: float = 0.0
    """How much longer it bears little work, as of the time of the record."""


@dataclass(frozen=True)
class LoadReport:
    """Load that a worker told with an answer."""

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None
    """How long work takes on the worker's machine right now, as a multiple of the usual time."""

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
    own_prefill_tokens: int = 0
    peer_prefill_tokens: int = 0
    """Tokens of prompts that this daemon and the others sent, and that are still to be read; at
    most, since parts that the worker keeps need no reading."""

    load: LoadReport | None = None
    load_at_s: float = float("-inf")
    known_at_load: int = 0
    usual_slowdown: float = 1.0
    backoff_until_s: float = 0.0
    connect_failures: int = 0
    last_contact_s: float = float("-inf")
    last_data_s: float = float("-inf")
    """When something that it sent itself last came, an event or any other part of an answer. It is
    heard of besides when a connection is accepted, which a port forwarder does for a dead one.
    An event of an online stream tells that it runs, but not that idle connections to it still work,
    so these are trusted by ``last_contact_s`` alone."""

    last_connect_failure_s: float = float("-inf")
    leaving_since_s: float | None = None
    evacuated_since_s: float | None = None
    cold: ColdBudget | None = None
    """What may be sent here while the worker is cold; ``None`` where its service has no bound."""

    lent_until_s: list[float] = field(default_factory=list)
    health: WorkerHealth = field(default_factory=new_health)

    @cached_property
    def incarnation(self) -> str:
        """The name of the worker's process: its id, and when it was born where that is told."""
        record = self.record
        return (
            f"{record.worker_id}@{record.started_at_ms}"
            if record.started_at_ms
            else record.worker_id
        )

    @cached_property
    def key(self) -> int:
        """The number that stands for this worker's process among daemons."""
        return zlib.crc32(self.incarnation.encode())

    @property
    def withdrawn_since_s(self) -> float | None:
        """Since when the worker gets no new work, as it leaves or its zone is evacuated."""
        since_s = (self.leaving_since_s, self.evacuated_since_s)
        return min((each for each in since_s if each is not None), default=None)

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
        return self.own_prefill_tokens + self.peer_prefill_tokens

    def note_load(self, load: LoadReport, now_s: float) -> None:
        """Take a load report."""
        self.load = load
        self.load_at_s = now_s
        self.known_at_load = self.known
        if load.slowdown is not None:
            self.usual_slowdown += SLOWDOWN_WEIGHT * (_bounded(load.slowdown) - self.usual_slowdown)

    def slowdown(self, now_s: float) -> float:
        """Return how long work takes here now, as a multiple of the usual time.

        The last word fades to what this worker usually says.
        """
        if self.load is None or self.load.slowdown is None:
            return self.usual_slowdown
        fresh = math.exp((self.load_at_s - now_s) / SLOWDOWN_LASTS_S)
        return self.usual_slowdown + (_bounded(self.load.slowdown) - self.usual_slowdown) * fresh

    def fill(self, now_s: float, more: int = 0) -> float:
        """Return how much of the worker's slots is taken, with ``more`` requests besides.

        It is weighed by how long work takes there.
        """
        return (self.estimated_load(now_s) + more) / self.slots() * self.slowdown(now_s)

    def note_connected(self, now_s: float) -> None:
        """Note that a connection was accepted at the worker's address."""
        self.last_contact_s = now_s
        self.connect_failures = 0

    def note_reply(self, now_s: float) -> None:
        """Note that the worker said something."""
        self.note_connected(now_s)
        self.last_data_s = now_s

    def note_connect_failed(self, now_s: float) -> None:
        """Avoid the worker for a while, longer each time."""
        pause_s = min(LONGEST_UNREACHABLE_S, UNREACHABLE_S * 2**self.connect_failures)
        self.connect_failures += 1
        self.last_connect_failure_s = now_s
        self._avoid_as_unreachable(now_s + pause_s)

    def note_peer_reported_unreachable(self, now_s: float) -> None:
        """Avoid the worker for a while on a peer's word, unless it was just heard from."""
        if now_s - self.last_contact_s > PEER_DOUBT_S:
            self._avoid_as_unreachable(max(self.backoff_until_s, now_s + UNREACHABLE_S))

    def _avoid_as_unreachable(self, until_s: float) -> None:
        """Avoid the worker for a while; it may have started again when it is back."""
        self.backoff_until_s = until_s
        self.assume_restarted(until_s)

    def assume_restarted(self, at_s: float) -> None:
        """Treat the worker as cold from ``at_s`` on: it may have started then without a word."""
        if self.cold is not None:
            self.cold.note_cold(at_s + self.cold.cold.duration_s)

    def note_overloaded(self, now_s: float) -> None:
        """Avoid the worker for a moment."""
        self.extend_backoff(now_s + FULL_S)

    def extend_backoff(self, until_s: float) -> None:
        """Send no new work to the worker until a time, at least."""
        self.backoff_until_s = max(self.backoff_until_s, until_s)

    def note_slot_granted(self, until_s: float) -> None:
        """Count a slot as taken that another daemon is about to use."""
        self.lent_until_s.append(until_s)

    def note_slot_returned(self) -> None:
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

    def is_available(self, now_s: float) -> bool:
        """Return whether one more request may go to the worker as things usually are.

        It stays, is reachable as far as is known, is not ejected, and bears it if it is cold.
        """
        if self.leaving_since_s is not None or self.evacuated_since_s is not None:
            return False
        if self.backoff_until_s > now_s or self.health.is_ejected(now_s):
            return False
        return self.bears_one(now_s)

    def bears_one(self, now_s: float) -> bool:
        """Return whether one more request may be sent, unless the worker is cold and had enough."""
        return self.cold is None or self.cold.allows(now_s)

    def admit_send(self, now_s: float) -> bool:
        """Count a request that is sent now; returns whether it may be."""
        return self.cold is None or self.cold.take(now_s)

    def estimated_load(self, now_s: float) -> float:
        """Estimate how many requests run or wait there.

        A fresh report plus what became known since; without one, what is known.
        """
        if self.load is not None and now_s - self.load_at_s <= LOAD_TRUST_S:
            change = self.known - self.known_at_load
            return max(float(self.in_flight), float(self.load.total + change))
        return float(self.known)


def _bounded(slowdown: float) -> float:
    return min(MOST_SLOWDOWN, max(LEAST_SLOWDOWN, slowdown))


class PendingPrefill:
    """Counts a prompt's tokens at its worker as unread until the first event comes."""

    __slots__ = ("_tokens", "_worker")

    def __init__(self, worker: Worker, prompt: Prompt) -> None:
        self._worker = worker
        self._tokens = prompt.tokens
        worker.own_prefill_tokens += self._tokens

    def end(self) -> None:
        """Note that the prompt was read, or that the request ended before; repeats do nothing."""
        self._worker.own_prefill_tokens -= self._tokens
        self._tokens = 0
