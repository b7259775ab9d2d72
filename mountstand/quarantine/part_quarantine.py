"""Finds out which parts of prompts crash workers, and holds requests with them back.

No two requests with such a part need be alike, so their contents have one crash each. What they
share are parts of their prompts. A part is suspected once per content, so that a single content
which crashes workers again and again is not taken for a fault of its parts, and is cleared by each
whole answer to a request that has it. The parts have a state of their own, which daemons share and
store as they do for contents; :mod:`mountstand.quarantine.part_verdicts` decides on blocks.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping

from mountstand.hashing import content_name
from mountstand.quarantine.sharing import (
    QuarantineMessage,
    ReportLink,
    SuspectObserver,
    SuspectSharing,
)
from mountstand.quarantine.stored import StoredSuspects
from mountstand.quarantine.suspects import SuspectKind
from mountstand.quarantine.workload import Workload
from mountstand.serving.worker_ends import BrokenRun
from mountstand.serving.worker_protocol import Call
from mountstand.telemetry.decisions import DecisionLog
from mountstand.wire.gossip import CrashQuery, CrashReport, PartQuery, PartReport

JOINT_TRIAL_DELAY_S = 4.0
"""How much later than others a request with several suspected parts is tried. A trial tells most
about a part that is suspected alone, and a sound part is cleared by a request without the bad one.
"""

JOINT_ITEM_TRIAL_DELAY_S = 1.5
"""The same for batch items, which are owed and wait here already. Longer than the interval at which
they are checked. An item at whose run a worker crashed waits twice as long: it is the likelier
cause.
"""


class PartQuarantine(SuspectObserver):
    """Decides which requests may be sent to workers, as far as the parts of their prompts go.

    Times are seconds on the event loop's clock. ``on_blocked`` is called with the key of each newly
    blocked part.
    """

    def __init__(
        self, daemon_name: str, link: ReportLink, rng: random.Random, log: DecisionLog
    ) -> None:
        self._log = log
        self._sharing = SuspectSharing(
            daemon_name, PartReportLink(link), rng, SuspectKind.PROMPT_PART
        )
        self._sharing.observer = self
        self.suspects = self._sharing.suspects
        self._stored: StoredSuspects | None = None
        self.on_blocked: Callable[[int], None] = lambda part: None

    # Called by the serving path

    def blocked_for_s(
        self,
        parts: Collection[int],
        now_s: float,
        workload: Workload = Workload.ONLINE,
        *,
        has_crashed: bool = False,
    ) -> float:
        """Return how long a request with these parts is still held back, 0 if it may be sent.

        Batch items, which are owed, are tried again within seconds as for their contents.
        ``has_crashed`` tells whether a worker crashed as it ran this very request.
        """
        if not self.suspects:
            return 0.0
        blocked_for_s = max(
            (self.suspects.blocked_for_s(part, now_s, workload) for part in parts), default=0.0
        )
        suspected = [part for part in parts if self.suspects.requires_trial(part, workload)]
        may_begin_again = all(self.suspects.is_trial_open(part, workload) for part in suspected)
        if len(suspected) > 1 and not may_begin_again:
            joint_trial_at_s = self._joint_trial_at_s(suspected, workload, has_crashed)
            together_until_s = self.suspects.blocked_together_until_s(suspected, workload)
            blocked_for_s = max(blocked_for_s, joint_trial_at_s - now_s, together_until_s - now_s)
        return blocked_for_s

    def _joint_trial_at_s(
        self, suspected: Collection[int], workload: Workload, has_crashed: bool
    ) -> float:
        """Return the earliest time of the trial of a request with several suspected parts."""
        trial_at_s = max(self.suspects.trial_at_s(part, workload) for part in suspected)
        if workload is Workload.ONLINE:
            return trial_at_s + JOINT_TRIAL_DELAY_S
        return trial_at_s + JOINT_ITEM_TRIAL_DELAY_S * (2 if has_crashed else 1)

    def is_suspect(self, parts: Collection[int]) -> bool:
        """Return whether any of these parts has crashes that no success has cleared."""
        by_part = self.suspects.by_content
        return any(part in by_part and by_part[part].crash_by_worker for part in parts)

    def begin_trials(self, call: Call, worker_id: str, now_s: float) -> list[int]:
        """Begin the trials of the parts of a request that require one, before it is sent.

        Returns these parts.
        """
        if not self.suspects:
            return []
        tried = [
            part
            for part in call.prompt.shared_keys
            if self.suspects.requires_trial(part, call.workload)
        ]
        for part in tried:
            self._sharing.begin_run(part, now_s, call.workload)
            self._log.event(
                "part_tried",
                part=content_name(part),
                request=call.request_id,
                worker=worker_id,
                trials=self.suspects.by_content[part].trials.count,
            )
        return tried

    def note_served(self, parts: Collection[int], request_id: str, now_s: float) -> None:
        """Clear the parts of a request that a worker answered completely and with success."""
        if not self.suspects:
            return
        for part in parts:
            if self._sharing.note_served(part, now_s):
                self._log.event("part_cleared", part=content_name(part), request=request_id)

    def note_worker_crash(
        self,
        worker: int,
        crashed_at_s: float,
        run_by_content: Mapping[int, BrokenRun],
        new_contents: Collection[int],
        now_s: float,
    ) -> None:
        """Suspect the parts of requests that broke when the worker with key ``worker`` crashed.

        Only ``new_contents``, which crashed no worker before, count, and runs that may be trials.
        That there are others is recorded, as it leaves fewer trials.
        """
        sent_at_s: dict[int, float] = {}
        repeated: set[int] = set()
        for content, run in run_by_content.items():
            for part in run.part_keys:
                if content in new_contents or self.suspects.requires_trial(part):
                    sent_at_s[part] = min(run.sent_at_s, sent_at_s.get(part, run.sent_at_s))
                else:
                    repeated.add(part)
        self._sharing.note_worker_crash(worker, crashed_at_s, sent_at_s, now_s)
        self._sharing.note_uncounted_crashes(repeated - sent_at_s.keys(), now_s)

    # Sharing with other daemons and the store

    @property
    def idle(self) -> bool:
        """Whether :meth:`tick` has nothing to do until new evidence arrives."""
        return self._sharing.idle

    def attach_store(self, stored: StoredSuspects, on_change: Callable[[], None]) -> None:
        """Persist suspects in the store, and call ``on_change`` after rows have been merged."""
        self._stored = stored
        stored.on_change = on_change

    def handle(self, sender: str, message: PartReport | PartQuery, now_s: float) -> None:
        """Merge a report from another daemon, or answer its query."""
        if isinstance(message, PartReport):
            self._sharing.handle(sender, CrashReport(message.suspects), now_s)
        else:
            self._sharing.handle(sender, CrashQuery(), now_s)

    def query_peers(self, now_s: float) -> None:
        """Query peers for their suspects."""
        self._sharing.query_peers(now_s)

    def note_stored(self, now_s: float) -> None:
        """Update the blocked parts after rows of the store were merged."""
        self._sharing.note_stored(now_s)

    def tick(self, now_s: float) -> None:
        """Exchange and expire suspects, and remove stale rows; call this several times a second."""
        self._sharing.tick(now_s)
        if self._stored is None:
            return
        for part in self._stored.contents_with_stale_row():
            if self._sharing.owns_cleanup(content_name(part)):
                self._stored.request_write(part)

    # SuspectObserver

    def persist(self, contents: Iterable[int]) -> None:
        """Schedule writes of parts to the store."""
        if self._stored is not None:
            for part in contents:
                self._stored.request_write(part)

    def on_content_blocked(self, content: int, source: str) -> None:
        """Log a newly blocked part with its evidence, and call ``on_blocked``."""
        suspect = self.suspects.by_content[content]
        self._log.event(
            "part_quarantined",
            part=content_name(content),
            ends=len(suspect.crash_by_worker),
            workers=sorted(suspect.crash_by_worker),
            trial=self.suspects.requires_trial(content),
            trials=suspect.trials.count,
            source=source,
        )
        self.on_blocked(content)


class PartReportLink(ReportLink):
    """Sends reports and queries about parts as messages of their own kinds."""

    __slots__ = ("_link",)

    def __init__(self, link: ReportLink) -> None:
        self._link = link

    def running(self) -> Collection[str]:
        """Return the names of the other daemons that are believed to be up."""
        return self._link.running()

    def serving(self) -> Collection[str]:
        """Return those of them to which callers are routed."""
        return self._link.serving()

    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Send a message about parts."""
        if isinstance(message, CrashReport):
            self._link.send(PartReport(message.suspects), receivers)
        else:
            self._link.send(PartQuery(), receivers)
