"""Holds back requests that crash workers: one serving process's part.

What this daemon sees of ends of workers it tells the other daemons at once, and the store. A daemon
that starts, or stood still, asks the others. So all daemons hold a content back within moments of
the third end under it, wherever it comes, and whether or not the store serves them.
"""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection, Sequence

from mountstand.hashing import rendezvous_owner
from mountstand.quarantine.reports import ENTRIES_PER_REPORT, reports_of, take_report
from mountstand.quarantine.stored import StoredSuspects
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.serving.worker import Worker
from mountstand.serving.worker_ends import WorkerEndObserver, WorkerEnds
from mountstand.serving.worker_protocol import Call
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.wire.gossip import CrashQuery, CrashReport

REPEAT_AFTER_S = (0.3, 1.0)
"""News is told again so long after it was told first: datagrams get lost, three in a row seldom."""

TICK_S = 0.1
"""How often it is looked whether something is to be told, while anything is known."""

REMIND_S = 2.0
"""How often one other daemon is told some of all that is known, which repairs what repeats missed.
A report is at most 1.2 KB, so this costs 0.6 KB/s, and nothing where no worker ended lately."""

EXPIRE_S = 5.0

ASK_PAUSE_S = 0.5
MOST_ASKS = 6
PEERS_ASKED = 2
"""A daemon that starts asks so many others, again after the pause until one has answered."""

MOST_ANSWERED = 4 * ENTRIES_PER_REPORT
"""Contents told to a daemon that asks, the strongest first; blocked ones are hardly ever more."""

ENDS_TO_TELL_ALL = 2
"""Contents with fewer ends are told only to daemons that callers are sent to: a crash brings one of
them for each request there, and nearly all of them are never heard of again."""


class ReportLink(ABC):
    """How reports reach other daemons, and which there are."""

    __slots__ = ()

    @abstractmethod
    def running(self) -> Collection[str]:
        """Return the other daemons that are believed to run."""

    @abstractmethod
    def serving(self) -> Collection[str]:
        """Return those of them that callers are sent to."""

    @abstractmethod
    def send(self, message: CrashReport | CrashQuery, receivers: Collection[str]) -> None:
        """Send a message to daemons; it may get lost."""


class RequestQuarantine(WorkerEndObserver):
    """Decides which requests may be sent to workers.

    ``own`` is the name of this daemon. ``on_blocked`` is told of each content that becomes blocked.
    """

    def __init__(
        self,
        own: str,
        ends: WorkerEnds,
        link: ReportLink,
        rng: random.Random,
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self._own = own
        self._ends = ends
        self._link = link
        self._rng = rng
        self._metrics = metrics
        self._log = log
        self.suspects = CrashSuspects()
        self.stored: StoredSuspects | None = None
        self.on_blocked: Callable[[int], None] = lambda content: None
        self._told_blocked: set[int] = set()
        self._to_repeat: list[tuple[float, int]] = []
        self._known = asyncio.Event()
        self._answered = False
        ends.observers.append(self)

    # What the serving path asks and tells

    def blocked_for_s(self, call: Call) -> float:
        """Return for how long a request may not be sent to workers, 0 if it may be."""
        if not self.suspects.any_blocked:
            return 0.0
        now_s = asyncio.get_running_loop().time()
        return self.suspects.blocked_for_s(call.content_key, now_s)

    def note_broken(self, worker: Worker, call: Call) -> None:
        """Note that an exchange broke at a worker after the request was sent."""
        self._ends.note_broken(worker, call)

    def note_served(self, call: Call) -> None:
        """Note that a worker answered a request whole: what is served does not crash workers."""
        if not self.suspects:
            return
        content = call.content_key
        if self.suspects.note_served(content, asyncio.get_running_loop().time()):
            self._log.event("suspect_cleared", content=_hex(content), request=call.request_id)
            self._note_news([content], self._own)

    def note_worker_ended(self, worker: Worker, content_keys: Sequence[int]) -> None:
        """Suspect all contents that broke as a worker ended."""
        now_s = asyncio.get_running_loop().time()
        end = {worker.key: now_s}
        self._note_news([key for key in content_keys if self.suspects.take(key, end)], self._own)

    # Other daemons

    def use_store(self, stored: StoredSuspects) -> None:
        """Keep suspects in the store, and take what its rows say."""
        self.stored = stored
        stored.on_news = lambda contents: self._note_news(contents, "store")

    def handle(self, sender: str, message: CrashReport | CrashQuery) -> None:
        """Take what another daemon tells, or answer it."""
        now_s = asyncio.get_running_loop().time()
        if isinstance(message, CrashQuery):
            strongest = self.suspects.strongest()[:MOST_ANSWERED]
            reports = reports_of(self.suspects, strongest, now_s)
            for report in reports or [CrashReport()]:
                self._link.send(report, (sender,))
            return
        self._answered = True
        self._note_news(take_report(self.suspects, message, now_s), sender)

    async def ask(self) -> None:
        """Ask other daemons what they know, until one has answered or none does for long."""
        self._answered = False
        for _ in range(MOST_ASKS):
            peers = list(self._link.running())
            asked = self._rng.sample(peers, min(PEERS_ASKED, len(peers)))
            if asked:
                self._link.send(CrashQuery(), asked)
            await asyncio.sleep(ASK_PAUSE_S)
            if self._answered:
                return

    async def run(self) -> None:
        """Ask once, then tell again, remind and forget, until cancelled."""
        loop = asyncio.get_running_loop()
        await self.ask()
        remind_at_s = expire_at_s = 0.0
        while True:
            if not self.suspects:
                self._known.clear()
                await self._known.wait()
            await asyncio.sleep(TICK_S)
            now_s = loop.time()
            self._repeat(now_s)
            if now_s >= remind_at_s:
                remind_at_s = now_s + REMIND_S
                self._remind(now_s)
            if now_s >= expire_at_s:
                expire_at_s = now_s + EXPIRE_S
                self._expire(now_s)

    def _note_news(self, contents: list[int], source: str) -> None:
        """Act on news: tell what this daemon saw itself, and hold back what is blocked now."""
        if not contents:
            return
        self._known.set()
        now_s = asyncio.get_running_loop().time()
        if source == self._own:
            self._tell(contents, now_s)
            self._to_repeat += [(now_s + s, key) for s in REPEAT_AFTER_S for key in contents]
            for content in contents:
                if self.stored is not None:
                    self.stored.want(content)
        self._note_blocked(source, now_s)

    def _note_blocked(self, source: str, now_s: float) -> None:
        """Tell of contents that have just become blocked."""
        blocked = self.suspects.blocked_contents(now_s)
        self._metrics.contents_blocked(len(blocked))
        for content in blocked - self._told_blocked:
            self._log.event(
                "request_quarantined",
                content=_hex(content),
                ends=len(self.suspects.by_content[content].ended_at_s),
                workers=sorted(self.suspects.by_content[content].ended_at_s),
                for_s=round(self.suspects.blocked_for_s(content, now_s), 1),
                source=source,
            )
            self.on_blocked(content)
        self._told_blocked = blocked

    def _tell(self, contents: list[int], now_s: float) -> None:
        by_content = self.suspects.by_content
        known = [content for content in contents if content in by_content]
        weak = [c for c in known if 0 < len(by_content[c].ended_at_s) < ENDS_TO_TELL_ALL]
        strong = [content for content in known if content not in weak]
        for told, receivers in ((weak, self._link.serving()), (strong, self._link.running())):
            for report in reports_of(self.suspects, told, now_s):
                self._link.send(report, receivers)

    def _repeat(self, now_s: float) -> None:
        due = {content for at_s, content in self._to_repeat if at_s <= now_s}
        if due:
            self._to_repeat = [entry for entry in self._to_repeat if entry[0] > now_s]
            self._tell(sorted(due), now_s)

    def _remind(self, now_s: float) -> None:
        """Tell another daemon half a report of the strongest suspects, and some of the others."""
        peers = list(self._link.running())
        if not peers:
            return
        strongest = self.suspects.strongest()
        half = ENTRIES_PER_REPORT // 2
        others = strongest[half:]
        told = strongest[:half] + self._rng.sample(others, min(half, len(others)))
        receiver = self._rng.choice(peers)
        for report in reports_of(self.suspects, told, now_s):
            self._link.send(report, (receiver,))

    def _expire(self, now_s: float) -> None:
        self.suspects.expire(now_s)
        self._note_blocked(self._own, now_s)
        if self.stored is None:
            return
        daemons = [self._own, *self._link.running()]
        for content in self.stored.forgotten_rows():
            if rendezvous_owner(_hex(content), daemons) == self._own:
                self.stored.want(content)


def _hex(content: int) -> str:
    return f"{content:016x}"
