"""Discrete-event simulation of a fleet of daemons that quarantine crashing contents.

A worker runs several contents at once. One that runs a crashing content crashes, all its runs
fail, and it restarts under another key seconds later. Daemons detect the crashes that affect their
own runs, and exchange reports over a link with a latency of a few milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from mountstand.quarantine.separation import SuspectSeparation
from mountstand.quarantine.sharing import QuarantineMessage, ReportLink, SuspectSharing
from mountstand.quarantine.workload import Workload

TIME_TO_CRASH_S = 0.03
CRASH_DETECTION_DELAY_S = 0.12
LINK_LATENCY_S = 0.004
RESTART_DELAY_RANGE_S = (0.5, 3.0)
TICK_S = 0.1
RETRY_DELAY_S = 0.1
SLOTS_PER_WORKER = 8


class SimulatedClock:
    """Runs scheduled actions in order of their time."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule ``action`` to run after ``delay_s``."""
        heapq.heappush(self._scheduled, (self.now_s + delay_s, next(self._sequence), action))

    def run_until(self, end_s: float) -> None:
        """Run all actions scheduled until ``end_s``, and advance the clock to it."""
        while self._scheduled and self._scheduled[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._scheduled)
            action()
        self.now_s = end_s


class SimulatedLink(ReportLink):
    """Delivers messages to the other daemons of a fleet, with latency and packet loss."""

    def __init__(self, daemon_name: str, fleet: QuarantineFleet) -> None:
        self._daemon_name = daemon_name
        self._fleet = fleet

    def running(self) -> Collection[str]:
        """Return the names of all other daemons."""
        return [name for name in self._fleet.daemons if name != self._daemon_name]

    def serving(self) -> Collection[str]:
        """Return all other daemons: all of them serve callers."""
        return self.running()

    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Deliver a message after the link latency, or drop it."""
        for name in receivers:
            if self._fleet.rng.random() >= self._fleet.loss_probability:
                receiver = self._fleet.daemons[name]
                self._fleet.clock.call_later(
                    LINK_LATENCY_S,
                    lambda receiver=receiver: receiver.receive(self._daemon_name, message),
                )


class SimulatedDaemon:
    """The quarantine state of one daemon."""

    def __init__(self, name: str, fleet: QuarantineFleet) -> None:
        self._clock = fleet.clock
        self.sharing = SuspectSharing(name, SimulatedLink(name, fleet), random.Random(name))
        self.separation = SuspectSeparation(self.sharing.suspects)
        self._tick()

    def receive(self, sender: str, message: QuarantineMessage) -> None:
        """Handle a message from another daemon."""
        self.sharing.handle(sender, message, self._clock.now_s)

    def _tick(self) -> None:
        self.sharing.tick(self._clock.now_s)
        self._clock.call_later(TICK_S, self._tick)


@dataclass(slots=True)
class SimulatedRun:
    """One run of a content on a worker; ``on_end`` receives whether it was served."""

    content: int
    daemon: SimulatedDaemon
    sent_at_s: float
    on_end: Callable[[bool], None]
    tracked: bool = False
    finished: bool = False


@dataclass(slots=True)
class SimulatedWorker:
    """One incarnation of a worker, with its own key."""

    key: int
    runs: list[SimulatedRun] = field(default_factory=list)
    up: bool = True


class QuarantineFleet:
    """Simulated daemons and workers; ``crashing_contents`` are those that crash workers."""

    def __init__(
        self, seed: int, daemons: int, workers: int, loss_probability: float = 0.0
    ) -> None:
        self.rng = random.Random(seed)
        self.loss_probability = loss_probability
        self.clock = SimulatedClock()
        self.daemons: dict[str, SimulatedDaemon] = {}
        for n in range(daemons):
            self.daemons[f"d{n}"] = SimulatedDaemon(f"d{n}", self)
        self._keys = itertools.count(1)
        self.workers = [SimulatedWorker(next(self._keys)) for _ in range(workers)]
        self.crashing_contents: set[int] = set()
        self.crashing_run_starts_s: dict[int, list[float]] = {}
        self.crash_times_s: dict[int, list[float]] = {}
        """Times of the crashes under each crashing content that ran on the worker."""

        self.crashes = 0

    def random_daemon(self) -> SimulatedDaemon:
        """Return a random daemon."""
        return self.rng.choice(list(self.daemons.values()))

    def run(
        self,
        daemon: SimulatedDaemon,
        content: int,
        run_duration_s: float,
        on_end: Callable[[bool], None],
        workload: Workload = Workload.ONLINE,
    ) -> bool:
        """Run a content if its daemon allows it and a worker is free; return whether it runs."""
        now_s = self.clock.now_s
        if daemon.sharing.suspects.blocked_for_s(content, now_s, workload):
            return False
        eligible = [
            worker
            for worker in self.workers
            if worker.up
            and len(worker.runs) < SLOTS_PER_WORKER
            and daemon.separation.allows(content, str(worker.key), now_s)
        ]
        if not eligible or not daemon.sharing.begin_run(content, now_s, workload):
            return False
        worker = self.rng.choice(eligible)
        run = SimulatedRun(content, daemon, now_s, on_end)
        run.tracked = daemon.separation.track_run(content, str(worker.key))
        worker.runs.append(run)
        if content in self.crashing_contents:
            self.crashing_run_starts_s.setdefault(content, []).append(now_s)
            self.clock.call_later(TIME_TO_CRASH_S, lambda: self._crash(worker))
        else:
            self.clock.call_later(run_duration_s, lambda: self._serve(worker, run))
        return True

    def crash_some(self, share: float) -> None:
        """Crash a share of the workers at the same moment, whatever they run."""
        running = [worker for worker in self.workers if worker.up]
        for worker in self.rng.sample(running, round(share * len(running))):
            self._crash(worker)

    def late_runs(self, content: int, grace_s: float) -> int:
        """Return how many runs of a content start more than ``grace_s`` after its third crash.

        Only runs of crashing contents are counted. Several runs that end with one worker are one
        crash.
        """
        crash_times_s = self.crash_times_s.get(content, [])
        if len(crash_times_s) < 3:
            return 0
        known_s = crash_times_s[2] + grace_s
        return sum(start_s > known_s for start_s in self.crashing_run_starts_s[content])

    def _serve(self, worker: SimulatedWorker, run: SimulatedRun) -> None:
        if run.finished:
            return
        worker.runs.remove(run)
        self._finish(worker, run)
        run.daemon.sharing.note_served(run.content, self.clock.now_s)
        run.on_end(True)

    def _finish(self, worker: SimulatedWorker, run: SimulatedRun) -> None:
        run.finished = True
        if run.tracked:
            run.daemon.separation.release_run(run.content, str(worker.key))

    def _crash(self, worker: SimulatedWorker) -> None:
        if not worker.up:
            return
        worker.up = False
        self.crashes += 1
        self.workers.remove(worker)
        crashed_at_s = self.clock.now_s
        runs, worker.runs = worker.runs, []
        for content in {run.content for run in runs} & self.crashing_contents:
            self.crash_times_s.setdefault(content, []).append(crashed_at_s)
        for run in runs:
            self._finish(worker, run)
        daemon_by_id = {id(run.daemon): run.daemon for run in runs}
        for daemon in daemon_by_id.values():
            sent_at_s = {run.content: run.sent_at_s for run in runs if run.daemon is daemon}
            self.clock.call_later(
                CRASH_DETECTION_DELAY_S,
                lambda daemon=daemon, sent_at_s=sent_at_s: daemon.sharing.note_worker_crash(
                    worker.key, crashed_at_s, sent_at_s, self.clock.now_s
                ),
            )
        for run in runs:
            self.clock.call_later(
                CRASH_DETECTION_DELAY_S + RETRY_DELAY_S, lambda run=run: run.on_end(False)
            )
        self.clock.call_later(self.rng.uniform(*RESTART_DELAY_RANGE_S), self._replace)

    def _replace(self) -> None:
        self.workers.append(SimulatedWorker(next(self._keys)))


class SimulatedItem:
    """An item of a job, which its daemon retries until it is served."""

    def __init__(
        self,
        fleet: QuarantineFleet,
        daemon: SimulatedDaemon,
        content: int,
        run_duration_range_s: tuple[float, float] = (0.06, 0.3),
    ) -> None:
        self._fleet = fleet
        self._run_duration_range_s = run_duration_range_s
        self._daemon = daemon
        self._content = content
        self.done = False
        self._try()

    def _try(self) -> None:
        run_duration_s = self._fleet.rng.uniform(*self._run_duration_range_s)
        if not self._fleet.run(
            self._daemon, self._content, run_duration_s, self._on_end, Workload.BATCH
        ):
            self._fleet.clock.call_later(RETRY_DELAY_S, self._try)

    def _on_end(self, served: bool) -> None:
        if served:
            self.done = True
        else:
            self._try()


def send_repeatedly(fleet: QuarantineFleet, content: int, attempts: int, mean_gap_s: float) -> None:
    """Send a content ``attempts`` times to random daemons, without retries on failure."""
    if not attempts:
        return
    fleet.run(fleet.random_daemon(), content, 1.0, lambda served: None)
    delay_s = fleet.rng.expovariate(1 / mean_gap_s)
    fleet.clock.call_later(
        delay_s, lambda: send_repeatedly(fleet, content, attempts - 1, mean_gap_s)
    )
