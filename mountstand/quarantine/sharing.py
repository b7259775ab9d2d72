"""Shares evidence on crash suspects between daemons, as a pure state machine.

Driven by the event loop of :mod:`mountstand.quarantine.service` and by the threads of
:mod:`mountstand.quarantine.threads`: the caller passes the time, and messages leave through a link.
A daemon reports its own observations at once and retransmits them twice. It queries peers when it
starts or resumes after a suspension. Periodic anti-entropy reports repair what is still missing.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable, Mapping

from mountstand.hashing import rendezvous_owner
from mountstand.quarantine.reports import ENTRIES_PER_REPORT, build_reports, merge_report
from mountstand.quarantine.suspect import WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects, SuspectKind
from mountstand.quarantine.workload import Workload
from mountstand.wire.gossip import CrashQuery, CrashReport, PartQuery, PartReport

RETRANSMIT_DELAYS_S = (0.3, 1.0)
"""Delays from the first report of an observation to its retransmissions, against packet loss."""

ANTI_ENTROPY_INTERVAL_S = 2.0
"""Interval at which part of the known suspects is reported to one random peer. A report takes at
most 1.2 KB, so this costs up to 0.6 KB/s, and nothing while there are no suspects."""

EXPIRE_INTERVAL_S = 5.0
"""Interval at which expired suspects are removed."""

QUERY_INTERVAL_S = 0.5
MAX_QUERIES = 20
PEERS_PER_QUERY = 2
"""A daemon queries this many random peers every ``QUERY_INTERVAL_S`` until one answers, at most
``MAX_QUERIES`` times. After a start it may know no peers for some seconds, until it has joined the
membership."""

MAX_ENTRIES_PER_REPLY = 8 * ENTRIES_PER_REPORT
"""Entries in the reply to a query, strongest suspects first. More contents than that are rarely
blocked."""

ContentMessage = CrashReport | CrashQuery
QuarantineMessage = ContentMessage | PartReport | PartQuery


class ReportLink(ABC):
    """Sends messages to the other daemons, and knows which of them are up.

    Daemons are named by their member ids.
    """

    __slots__ = ()

    @abstractmethod
    def running(self) -> Collection[str]:
        """Return the names of the other daemons that are believed to be up."""

    @abstractmethod
    def serving(self) -> Collection[str]:
        """Return those of the running daemons to which callers are routed."""

    def answering(self) -> Collection[str]:
        """Return those of the running daemons that answered their last probe."""
        return self.running()

    def listed(self) -> Collection[str]:
        """Return the names of all other daemons that are known, whether they run or not."""
        return self.running()

    @abstractmethod
    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Send a message to daemons, without guarantee of delivery."""


class SuspectObserver(ABC):
    """Receives changes in the suspects of a daemon."""

    __slots__ = ()

    @abstractmethod
    def on_content_blocked(self, content: int, source: str) -> None:
        """Handle a newly blocked content.

        ``source`` names the daemon whose report led to the block, which is the own daemon for its
        observations and expired suspects. It is "store" for stored suspects.
        """

    @abstractmethod
    def persist(self, contents: Iterable[int]) -> None:
        """Persist contents for which this daemon has observed new evidence."""


class SuspectSharing:
    """Holds the suspects of the daemon named ``daemon_name`` and exchanges them with its peers."""

    def __init__(
        self,
        daemon_name: str,
        link: ReportLink,
        rng: random.Random,
        kind: SuspectKind = SuspectKind.CONTENT,
    ) -> None:
        self._daemon_name = daemon_name
        self._link = link
        self._rng = rng
        self.suspects = CrashSuspects(daemon_name, kind=kind)
        self.observer: SuspectObserver | None = None
        self.last_blocked: set[int] = set()
        """Contents blocked at the last update, to detect newly blocked ones."""

        self._retransmissions: list[tuple[float, int]] = []
        self._queries_left = 0
        self._next_query_s = self._next_anti_entropy_s = self._next_expire_s = 0.0

    @property
    def idle(self) -> bool:
        """Whether :meth:`tick` has nothing to do until new evidence arrives."""
        return not self.suspects and not self._queries_left

    def note_worker_crash(
        self, worker: int, crashed_at_s: float, sent_at_s: Mapping[int, float], now_s: float
    ) -> None:
        """Suspect the contents whose runs broke when the worker with key ``worker`` crashed.

        ``sent_at_s`` maps each of them to the time when it was sent to the worker.
        """
        changed = []
        for content, sent_s in sorted(sent_at_s.items()):
            crash = WorkerCrash(crashed_at_s, max(0.0, crashed_at_s - sent_s))
            if self.suspects.merge(content, {worker: crash}):
                changed.append(content)
        self._publish(changed, now_s)

    def note_uncounted_crashes(self, contents: Iterable[int], now_s: float) -> None:
        """Record that a worker crashed under contents for which this crash doesn't count."""
        changed = [each for each in contents if self.suspects.note_uncounted_crash(each)]
        self._publish(sorted(changed), now_s)

    def begin_run(self, content: int, now_s: float, workload: Workload = Workload.ONLINE) -> bool:
        """Record that a content is about to be sent to a worker; return whether it may be.

        If the content requires a trial, the trial starts: the other daemons are notified and block
        the content until the outcome is known, so that only one daemon tries it at a time.
        """
        if self.suspects.blocked_for_s(content, now_s, workload):
            return False
        if self.suspects.requires_trial(content, workload):
            self.suspects.begin_trial(content, now_s, workload)
            self._publish([content], now_s)
        return True

    def note_served(self, content: int, now_s: float) -> bool:
        """Clear a content that was served completely; return whether it was suspected."""
        if not self.suspects.note_served(content, now_s):
            return False
        self._publish([content], now_s)
        return True

    def note_stored(self, now_s: float) -> None:
        """Update the blocked contents after rows of the store were merged into the suspects."""
        self._update_blocked("store", now_s)

    def handle(self, sender: str, message: ContentMessage, now_s: float) -> None:
        """Merge a report from another daemon, or answer its query."""
        if isinstance(message, CrashQuery):
            strongest = self.suspects.strongest_first()[:MAX_ENTRIES_PER_REPLY]
            for report in build_reports(self.suspects, strongest, now_s) or [CrashReport()]:
                self._link.send(report, (sender,))
            return
        self._queries_left = 0
        if merge_report(self.suspects, message, now_s):
            self._update_blocked(sender, now_s)

    def query_peers(self, now_s: float) -> None:
        """Query peers for their suspects until one answers, at most ``MAX_QUERIES`` times."""
        self.suspects.note_resumed(now_s)
        self._queries_left = MAX_QUERIES
        self._next_query_s = 0.0

    def tick(self, now_s: float) -> None:
        """Send due queries, retransmissions and anti-entropy reports, and expire suspects.

        Call this several times a second.
        """
        if self._queries_left and now_s >= self._next_query_s:
            self._next_query_s = now_s + QUERY_INTERVAL_S
            self._queries_left -= 1
            self._link.send(CrashQuery(), self._random_peers(PEERS_PER_QUERY))
        self._retransmit(now_s)
        if self.suspects and now_s >= self._next_anti_entropy_s:
            self._next_anti_entropy_s = now_s + ANTI_ENTROPY_INTERVAL_S
            self._send_anti_entropy(now_s)
        if now_s >= self._next_expire_s:
            self._next_expire_s = now_s + EXPIRE_INTERVAL_S
            self.suspects.expire(now_s)
            self._update_blocked(self._daemon_name, now_s)

    def owns_cleanup(self, name: str) -> bool:
        """Return whether this daemon is responsible for removing the stored row ``name``."""
        return (
            rendezvous_owner(name, [self._daemon_name, *self._link.running()]) == self._daemon_name
        )

    def _publish(self, contents: list[int], now_s: float) -> None:
        """Report what this daemon has observed of contents, and persist it."""
        if not contents:
            return
        self._report(contents, now_s)
        self._retransmissions += [
            (now_s + delay_s, content) for delay_s in RETRANSMIT_DELAYS_S for content in contents
        ]
        if self.observer is not None:
            self.observer.persist(contents)
        self._update_blocked(self._daemon_name, now_s)

    def _update_blocked(self, source: str, now_s: float) -> None:
        blocked = self.suspects.blocked_contents(now_s)
        newly_blocked = blocked - self.last_blocked
        self.last_blocked = blocked
        if self.observer is not None:
            for content in sorted(newly_blocked):
                self.observer.on_content_blocked(content, source)

    def _report(self, contents: Iterable[int], now_s: float) -> None:
        """Report weak suspects to serving daemons only, strong and cleared ones to all daemons."""
        weak: list[int] = []
        strong_or_cleared: list[int] = []
        for content in contents:
            suspect = self.suspects.by_content.get(content)
            if suspect is not None:
                is_weak = suspect.crash_by_worker and not self.suspects.is_strong(content)
                (weak if is_weak else strong_or_cleared).append(content)
        self._send(weak, self._link.serving(), now_s)
        self._send(strong_or_cleared, self._link.running(), now_s)

    def _send(self, contents: list[int], receivers: Collection[str], now_s: float) -> None:
        for report in build_reports(self.suspects, contents, now_s):
            self._link.send(report, receivers)

    def _retransmit(self, now_s: float) -> None:
        due = {content for at_s, content in self._retransmissions if at_s <= now_s}
        if due:
            self._retransmissions = [entry for entry in self._retransmissions if entry[0] > now_s]
            self._report(sorted(due), now_s)

    def _send_anti_entropy(self, now_s: float) -> None:
        """Report to a random peer: half a report on the strongest suspects, half on random ones."""
        strongest = self.suspects.strongest_first()
        half = ENTRIES_PER_REPORT // 2
        others = strongest[half:]
        selected = strongest[:half] + self._rng.sample(others, min(half, len(others)))
        self._send(selected, self._random_peers(1), now_s)

    def _random_peers(self, count: int) -> list[str]:
        peers = sorted(self._link.running())
        return self._rng.sample(peers, min(count, len(peers)))
