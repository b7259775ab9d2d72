"""What daemons tell each other of contents that crash workers, as a pure state machine.

Both interfaces drive it, one from an event loop and one from threads: it is handed the time, and
sends through a link. News of its own is told at once and twice more; a daemon that starts, or stood
still, asks others; and what is known is told again now and then, which repairs the rest.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable, Mapping

from mountstand.hashing import rendezvous_owner
from mountstand.quarantine.reports import ENTRIES_PER_REPORT, reports_of, take_report
from mountstand.quarantine.suspect import WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.wire.gossip import CrashQuery, CrashReport

REPEAT_AFTER_S = (0.3, 1.0)
"""News is told again so long after it was told first: datagrams get lost, three in a row seldom."""

REMIND_S = 2.0
"""How often one other daemon is told some of all that is known, which repairs what repeats missed.
A report is at most 1.2 KB, so this costs 0.6 KB/s, and nothing where no worker ended lately."""

EXPIRE_S = 5.0
"""How often contents of which nothing is heard are looked for."""

ASK_PAUSE_S = 0.5
MOST_ASKS = 20
PEERS_ASKED = 2
"""A daemon that starts asks so many others, again after the pause until one has answered. It may
know none for some seconds, while it learns of them."""

MOST_ANSWERED = 8 * ENTRIES_PER_REPORT
"""Contents told to a daemon that asks, the strongest first; blocked ones are hardly ever more."""

QuarantineMessage = CrashReport | CrashQuery


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
    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Send a message to daemons; it may get lost."""


class SuspectObserver(ABC):
    """Is told what changes in the suspects of a daemon."""

    __slots__ = ()

    @abstractmethod
    def note_blocked(self, content: int, source: str) -> None:
        """Take a content that has just become blocked; ``source`` told the last end."""

    @abstractmethod
    def store(self, contents: Iterable[int]) -> None:
        """Keep what is known of contents; this daemon saw something new of them."""


class SuspectSharing:
    """The suspects of one daemon; ``own`` is its name."""

    def __init__(self, own: str, link: ReportLink, rng: random.Random) -> None:
        self._own = own
        self._link = link
        self._rng = rng
        self.suspects = CrashSuspects(own)
        self.observer: SuspectObserver | None = None
        self.blocked: set[int] = set()
        self._to_repeat: list[tuple[float, int]] = []
        self._asks_left = 0
        self._ask_at_s = self._remind_at_s = self._expire_at_s = 0.0

    @property
    def idle(self) -> bool:
        """Whether :meth:`tick` has nothing to do until something is heard."""
        return not self.suspects and not self._asks_left

    def note_worker_crash(
        self, worker: int, ended_at_s: float, sent_at_s: Mapping[int, float], now_s: float
    ) -> None:
        """Suspect the contents that broke as the worker with key ``worker`` ended.

        ``sent_at_s`` is when each of them was sent there.
        """
        news = []
        for content, sent_s in sorted(sent_at_s.items()):
            end = WorkerCrash(ended_at_s, max(0.0, ended_at_s - sent_s))
            if self.suspects.merge(content, {worker: end}):
                news.append(content)
        self._take_own(news, now_s)

    def begin(self, content: int, now_s: float) -> bool:
        """Note that a content is sent to a worker now; returns whether it may be.

        One that waits for its trial is tried by one daemon at a time: the first tells the others,
        and all hold it back until its end is known.
        """
        if self.suspects.blocked_for_s(content, now_s):
            return False
        if self.suspects.is_on_trial(content):
            self.suspects.begin_trial(content, now_s)
            self._take_own([content], now_s)
        return True

    def note_served(self, content: int, now_s: float) -> bool:
        """Clear a content that a worker answered whole; returns whether it was suspected."""
        if not self.suspects.note_served(content, now_s):
            return False
        self._take_own([content], now_s)
        return True

    def note_stored(self, now_s: float) -> None:
        """Take note that rows of the store were merged into the suspects."""
        self._update_blocked("store", now_s)

    def handle(self, sender: str, message: QuarantineMessage, now_s: float) -> None:
        """Take what another daemon tells, or answer it."""
        if isinstance(message, CrashQuery):
            strongest = self.suspects.strongest()[:MOST_ANSWERED]
            for report in reports_of(self.suspects, strongest, now_s) or [CrashReport()]:
                self._link.send(report, (sender,))
            return
        self._asks_left = 0
        if take_report(self.suspects, message, now_s):
            self._update_blocked(sender, now_s)

    def query_peers(self) -> None:
        """Ask other daemons what they know, until one has answered or none does for long."""
        self._asks_left = MOST_ASKS
        self._ask_at_s = 0.0

    def tick(self, now_s: float) -> None:
        """Ask, tell again, remind and forget what is due; call several times a second."""
        if self._asks_left and now_s >= self._ask_at_s:
            self._ask_at_s = now_s + ASK_PAUSE_S
            self._asks_left -= 1
            self._link.send(CrashQuery(), self._some_peers(PEERS_ASKED))
        self._repeat(now_s)
        if self.suspects and now_s >= self._remind_at_s:
            self._remind_at_s = now_s + REMIND_S
            self._remind(now_s)
        if now_s >= self._expire_at_s:
            self._expire_at_s = now_s + EXPIRE_S
            self.suspects.expire(now_s)
            self._update_blocked(self._own, now_s)

    def is_keeper(self, name: str) -> bool:
        """Return whether this daemon is the one to remove what is kept under ``name``."""
        return rendezvous_owner(name, [self._own, *self._link.running()]) == self._own

    def _take_own(self, news: list[int], now_s: float) -> None:
        """Tell others what this daemon saw itself, and keep it."""
        if not news:
            return
        self._tell(news, now_s)
        self._to_repeat += [(now_s + s, content) for s in REPEAT_AFTER_S for content in news]
        if self.observer is not None:
            self.observer.store(news)
        self._update_blocked(self._own, now_s)

    def _update_blocked(self, source: str, now_s: float) -> None:
        blocked = self.suspects.blocked_contents(now_s)
        newly = blocked - self.blocked
        self.blocked = blocked
        if self.observer is not None:
            for content in sorted(newly):
                self.observer.note_blocked(content, source)

    def _tell(self, contents: Iterable[int], now_s: float) -> None:
        """Tell weak suspects to daemons that callers are sent to, all others to every daemon."""
        weak: list[int] = []
        strong: list[int] = []
        for content in contents:
            suspect = self.suspects.by_content.get(content)
            if suspect is not None:
                is_weak = suspect.crash_by_worker and not self.suspects.is_strong(content)
                (weak if is_weak else strong).append(content)
        self._send(weak, self._link.serving(), now_s)
        self._send(strong, self._link.running(), now_s)

    def _send(self, contents: list[int], receivers: Collection[str], now_s: float) -> None:
        for report in reports_of(self.suspects, contents, now_s):
            self._link.send(report, receivers)

    def _repeat(self, now_s: float) -> None:
        due = {content for at_s, content in self._to_repeat if at_s <= now_s}
        if due:
            self._to_repeat = [entry for entry in self._to_repeat if entry[0] > now_s]
            self._tell(sorted(due), now_s)

    def _remind(self, now_s: float) -> None:
        """Tell another daemon half a report of the strongest suspects, and some of the others."""
        strongest = self.suspects.strongest()
        half = ENTRIES_PER_REPORT // 2
        others = strongest[half:]
        told = strongest[:half] + self._rng.sample(others, min(half, len(others)))
        self._send(told, self._some_peers(1), now_s)

    def _some_peers(self, count: int) -> list[str]:
        peers = sorted(self._link.running())
        return self._rng.sample(peers, min(count, len(peers)))
