"""A fleet of daemons that hold back crashing contents, in model time: who is held back, and when.

Workers run contents side by side; one that runs a crashing content ends with all that it runs, and
is back under another key seconds later. Daemons see the ends of what they sent, and tell each other
over a link that takes a few milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.sharing import QuarantineMessage, ReportLink, SuspectSharing

CRASH_AFTER_S = 0.03
DETECT_S = 0.12
LINK_S = 0.004
AWAY_S = (0.5, 3.0)
TICK_S = 0.1
RETRY_S = 0.1
SLOTS = 8


class Clock:
    """Calls what is due, in order."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call ``action`` after a time."""
        heapq.heappush(self._due, (self.now_s + delay_s, next(self._numbers), action))

    def run_until(self, end_s: float) -> None:
        """Call all that is due until a time."""
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._due)
            action()
        self.now_s = end_s


class ModelLink(ReportLink):
    """Hands messages to the other daemons of a fleet."""

    def __init__(self, own: str, fleet: QuarantineFleet) -> None:
        self._own = own
        self._fleet = fleet

    def running(self) -> Collection[str]:
        """Return all other daemons."""
        return [name for name in self._fleet.daemons if name != self._own]

    def serving(self) -> Collection[str]:
        """Return the same."""
        return self.running()

    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Deliver a message a moment later, or lose it."""
        for name in receivers:
            if self._fleet.rng.random() >= self._fleet.loss:
                receiver = self._fleet.daemons[name]
                self._fleet.clock.after(
                    LINK_S, lambda receiver=receiver: receiver.take(self._own, message)
                )


class ModelDaemon:
    """What one daemon knows."""

    def __init__(self, name: str, fleet: QuarantineFleet) -> None:
        self._clock = fleet.clock
        self.sharing = SuspectSharing(name, ModelLink(name, fleet), random.Random(name))
        self.separation = SuspectSeparation(self.sharing.suspects)
        self._tick()

    def take(self, sender: str, message: QuarantineMessage) -> None:
        """Take what another daemon tells."""
        self.sharing.handle(sender, message, self._clock.now_s)

    def _tick(self) -> None:
        self.sharing.tick(self._clock.now_s)
        self._clock.after(TICK_S, self._tick)


@dataclass(slots=True)
class ModelRun:
    """One run of a content at a worker."""

    content: int
    daemon: ModelDaemon
    sent_at_s: float
    on_end: Callable[[bool], None]
    entered: bool = False
    over: bool = False


@dataclass(slots=True)
class ModelWorker:
    """One incarnation of a worker, by its key."""

    key: int
    runs: list[ModelRun] = field(default_factory=list)
    up: bool = True


class QuarantineFleet:
    """Daemons and workers; ``crashing`` are the contents that end workers."""

    def __init__(self, seed: int, daemons: int, workers: int, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.clock = Clock()
        self.daemons: dict[str, ModelDaemon] = {}
        for n in range(daemons):
            self.daemons[f"d{n}"] = ModelDaemon(f"d{n}", self)
        self._keys = itertools.count(1)
        self.workers = [ModelWorker(next(self._keys)) for _ in range(workers)]
        self.crashing: set[int] = set()
        self.crashed_at_s: dict[int, list[float]] = {}
        self.ended = 0

    def any_daemon(self) -> ModelDaemon:
        """Return any daemon."""
        return self.rng.choice(list(self.daemons.values()))

    def run(
        self, daemon: ModelDaemon, content: int, run_s: float, on_end: Callable[[bool], None]
    ) -> bool:
        """Run a content, if its daemon may send it; returns whether it runs."""
        now_s = self.clock.now_s
        if daemon.sharing.suspects.blocked_for_s(content, now_s):
            return False
        able = [
            worker
            for worker in self.workers
            if worker.up
            and len(worker.runs) < SLOTS
            and daemon.separation.allows(content, str(worker.key), now_s)
        ]
        if not able or not daemon.sharing.begin(content, now_s):
            return False
        worker = self.rng.choice(able)
        run = ModelRun(content, daemon, now_s, on_end)
        run.entered = daemon.separation.enter(content, str(worker.key))
        worker.runs.append(run)
        if content in self.crashing:
            self.crashed_at_s.setdefault(content, []).append(now_s)
            self.clock.after(CRASH_AFTER_S, lambda: self._crash(worker))
        else:
            self.clock.after(run_s, lambda: self._serve(worker, run))
        return True

    def late_runs(self, content: int, contact_s: float) -> int:
        """Return how many runs of a content began so long after its third, or later."""
        at_s = self.crashed_at_s.get(content, [])
        return sum(began_s > at_s[2] + contact_s for began_s in at_s[3:])

    def _serve(self, worker: ModelWorker, run: ModelRun) -> None:
        if run.over:
            return
        worker.runs.remove(run)
        self._leave(worker, run)
        run.daemon.sharing.note_served(run.content, self.clock.now_s)
        run.on_end(True)

    def _leave(self, worker: ModelWorker, run: ModelRun) -> None:
        run.over = True
        if run.entered:
            run.daemon.separation.leave(run.content, str(worker.key))

    def _crash(self, worker: ModelWorker) -> None:
        if not worker.up:
            return
        worker.up = False
        self.ended += 1
        self.workers.remove(worker)
        broke_at_s = self.clock.now_s
        runs, worker.runs = worker.runs, []
        for run in runs:
            self._leave(worker, run)
        by_daemon = {id(run.daemon): run.daemon for run in runs}
        for daemon in by_daemon.values():
            sent = {run.content: run.sent_at_s for run in runs if run.daemon is daemon}
            self.clock.after(
                DETECT_S,
                lambda daemon=daemon, sent=sent: daemon.sharing.note_worker_crash(
                    worker.key, broke_at_s, sent, self.clock.now_s
                ),
            )
        for run in runs:
            self.clock.after(DETECT_S + RETRY_S, lambda run=run: run.on_end(False))
        self.clock.after(self.rng.uniform(*AWAY_S), self._replace)

    def _replace(self) -> None:
        self.workers.append(ModelWorker(next(self._keys)))


class ItemTask:
    """An item of a job: tried again at its daemon until it is done."""

    def __init__(self, fleet: QuarantineFleet, daemon: ModelDaemon, content: int) -> None:
        self._fleet = fleet
        self._daemon = daemon
        self._content = content
        self.done = False
        self._try()

    def _try(self) -> None:
        run_s = self._fleet.rng.uniform(0.06, 0.3)
        if not self._fleet.run(self._daemon, self._content, run_s, self._note_end):
            self._fleet.clock.after(RETRY_S, self._try)

    def _note_end(self, served: bool) -> None:
        if served:
            self.done = True
        else:
            self._try()


def send_series(fleet: QuarantineFleet, content: int, tries: int, gap_s: float) -> None:
    """Let a caller send a crashing content again and again, at any daemon, each time once."""
    if not tries:
        return
    fleet.run(fleet.any_daemon(), content, 1.0, lambda served: None)
    again_s = fleet.rng.expovariate(1 / gap_s)
    fleet.clock.after(again_s, lambda: send_series(fleet, content, tries - 1, gap_s))
