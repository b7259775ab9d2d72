"""Which contents crash workers, as a pure state machine.

As a worker ends, each request that broke there may have done it. One that is the cause is there
again when the next worker ends, and the next; the others go on elsewhere and are served. So a
content is blocked once ``CRASHES_TO_BLOCK`` workers ended under it, counted without ends that a
content with more of them explains, and without those before it was last served whole. An end under
a run that began after another end is evidence of its own. Ends under runs that went on at the same
time may have a cause in common, such as the power of a rack, as a content that is asked for often
runs at several workers: they count as ``MOST_AT_ONCE`` at most.

Three ends don't tell the cause where another content that is suspected of more than chance was at
one of them: an innocent one that was beside two crashing contents has as many ends as either. Such
a content is held back for a moment only and then tried once, where no other such content runs: one
that is served is cleared, and an end of the trial is its own. Ways that were weighed, with figures:
``docs/design/crashing-requests.md``.

All statements merge: sets of ends only grow, an end keeps its earliest time and service its latest.
Daemons that have heard the same, in whatever order, judge alike. Times are seconds on the clock of
the daemon that holds the state.
"""

from __future__ import annotations

from collections.abc import Iterator

from mountstand.quarantine.suspect import (
    CRASHES_TO_BLOCK,
    EVIDENCE_S,
    NEVER_S,
    NO_TRIALS,
    TRIAL_SPREAD_S,
    EndByWorker,
    Suspect,
    Trials,
    block_s,
)
from mountstand.quarantine.verdicts import Verdicts

MOST_SUSPECTS = 1024
"""Contents that are kept, some 400 bytes each. A crash brings as many as the worker has slots."""


class CrashSuspects:
    """All suspected contents of one daemon; ``own`` is its name."""

    def __init__(self, own: str = "", most: int = MOST_SUSPECTS) -> None:
        self._own = own
        self._most = most
        self.by_content: dict[int, Suspect] = {}
        self._judged: Verdicts | None = None

    @property
    def _verdicts(self) -> Verdicts:
        """What follows from all that is known; found once after any number of statements."""
        if self._judged is None:
            self._judged = Verdicts(self.by_content, self._own)
        return self._judged

    def __bool__(self) -> bool:
        """Return whether any content is suspected."""
        return bool(self.by_content)

    def is_strong(self, content: int) -> bool:
        """Return whether so many workers ended under a content that it is hardly chance."""
        suspect = self.by_content.get(content)
        return suspect is not None and suspect.is_strong

    def strong_lately(self, now_s: float, within_s: float) -> Iterator[int]:
        """Yield the strong suspects that are not blocked and had their last end a moment ago."""
        for content, suspect in self.by_content.items():
            if content in self._verdicts.on_trial or content in self._verdicts.blocked_until_s:
                continue
            if suspect.is_strong and suspect.last_end_s >= now_s - within_s:
                yield content

    def trials_lately(self, now_s: float, within_s: float) -> Iterator[int]:
        """Yield the contents whose trial is due or was a moment ago, here or at another daemon."""
        for content in self._verdicts.on_trial:
            suspect = self.by_content[content]
            due_s = suspect.trial_at_s - TRIAL_SPREAD_S
            if suspect.trials.last_at_s >= now_s - within_s or 0 <= now_s - due_s <= within_s:
                yield content

    @property
    def any_on_trial(self) -> bool:
        """Whether any content is to be tried."""
        return bool(self._verdicts.on_trial)

    def is_on_trial(self, content: int) -> bool:
        """Return whether a content runs once at a time, after a moment in which it is held back."""
        return content in self._verdicts.on_trial

    def begin_trial(self, content: int, now_s: float) -> None:
        """Note that a content that was held back is tried now; it is held back again meanwhile."""
        suspect = self.by_content[content]
        suspect.merge({}, NEVER_S, Trials(suspect.trials.count + 1, now_s))
        self._judged = None

    def merge(
        self,
        content: int,
        crash_by_worker: EndByWorker,
        served_at_s: float = NEVER_S,
        trials: Trials = NO_TRIALS,
    ) -> bool:
        """Merge what is said of a content; returns whether it was new."""
        suspect = self.by_content.get(content)
        if suspect is None:
            suspect = Suspect()
            if not suspect.merge(crash_by_worker, served_at_s, trials):
                return False
            self.by_content[content] = suspect
            self._make_room()
        elif not suspect.merge(crash_by_worker, served_at_s, trials):
            return False
        self._judged = None
        return True

    def note_served(self, content: int, now_s: float) -> bool:
        """Note that a content was served whole; returns whether it was suspected."""
        suspect = self.by_content.get(content)
        if suspect is None or not suspect.crash_by_worker:
            return False
        suspect.merge({}, now_s)
        self._judged = None
        return True

    def blocked_for_s(self, content: int, now_s: float) -> float:
        """Return for how long a content may not be sent to workers, 0 if it may be."""
        return max(0.0, self._verdicts.blocked_until_s.get(content, NEVER_S) - now_s)

    @property
    def any_blocked(self) -> bool:
        """Whether any content may be blocked; saves looking for contents in calm times."""
        return bool(self._verdicts.blocked_until_s)

    def blocked_contents(self, now_s: float) -> set[int]:
        """Return the contents that are blocked."""
        return {key for key, until_s in self._verdicts.blocked_until_s.items() if until_s > now_s}

    def strongest(self) -> list[int]:
        """Return the contents, those with the most ends first, and of equals the latest."""
        return sorted(self.by_content, key=self._strength, reverse=True)

    def forget_at_s(self, content: int) -> float:
        """Return when a content is forgotten if nothing new is heard of it."""
        suspect = self.by_content[content]
        told_s = max(suspect.last_end_s, suspect.served_at_s)
        ends = len(suspect.crash_by_worker)
        if ends < CRASHES_TO_BLOCK:
            return told_s + EVIDENCE_S
        return told_s + block_s(ends) + EVIDENCE_S

    def expire(self, now_s: float) -> None:
        """Forget contents of which nothing was heard for long."""
        old = [content for content in self.by_content if self.forget_at_s(content) <= now_s]
        for content in old:
            del self.by_content[content]
        if old:
            self._judged = None

    def _strength(self, content: int) -> tuple[int, float]:
        suspect = self.by_content[content]
        return len(suspect.crash_by_worker), suspect.last_end_s

    def _make_room(self) -> None:
        """Forget the weakest suspects once there are too many."""
        if len(self.by_content) > self._most:
            for content in self.strongest()[self._most * 9 // 10 :]:
                del self.by_content[content]
