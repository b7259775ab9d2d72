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

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from mountstand.hashing import content_name, rendezvous_share

CRASHES_TO_BLOCK = 3
"""Ends of workers under one content that are no chance any more. With a tenth of all runs beside a
crash, which is what a content that comes twice a second does to nine workers, one run in a thousand
is beside three in a row."""

TRIAL_AFTER_S = 2.0
"""Time from the third end to the trial. Within it the ends of all that ran at the same time are
known everywhere: a check takes 0.75 s at most, word of it some milliseconds, and its repetitions a
second. Callers and items of the contents that were merely there wait so long."""

TRIAL_FACTOR = 4.0
"""Growth of that time with each trial, so that one whose end is not seen, such as of a worker
behind a broken link, costs a worker after 2, 8, 32 seconds and so on, up to ``FIRST_BLOCK_S``."""

TRIAL_SPREAD_S = 0.3
"""Daemons begin to try a content at different moments within this time, so that the first has told
the others when they are due."""

RETRY_TRIAL_S = 0.5
"""When the caller of a content may come back that found no worker for its trial: what runs at those
that are kept for other suspects ends meanwhile, or its own."""

STRONG_ENDS = 2
"""Ends that make a strong suspect. One means little: an ordinary crash brings one to as many
contents as the worker had slots, and nearly all of them are never heard of again."""

MOST_AT_ONCE = 2
"""Ends that count of those under runs that overlap. Two, since copies of a bad request that come at
the same moment do end workers together, and the next run then decides."""

MOST_ENDS = 8
"""Ends that are kept of one content. More change neither whether it is blocked nor for how long."""

EVIDENCE_S = 600.0
"""How long an end counts. Callers that send a request again do so within seconds to minutes."""

FIRST_BLOCK_S = 600.0
"""A block after three ends; each further end doubles it, up to five hours with ``MOST_ENDS``. What
is blocked is tried again after that, since workers may have been mended meanwhile."""

CLOCK_SLACK_S = 1.0
"""Uncertainty of times that other daemons tell: theirs are ages, which grow on the way."""

MOST_SUSPECTS = 1024
"""Contents that are kept, some 400 bytes each. A crash brings as many as the worker has slots."""

NEVER_S = float("-inf")


@dataclass(frozen=True, slots=True)
class WorkerEnd:
    """The end of a worker while it ran a content: when, and how long the run had lasted."""

    at_s: float
    ran_s: float = 0.0

    @property
    def began_s(self) -> float:
        """When the run began that the end broke."""
        return self.at_s - self.ran_s


EndByWorker = Mapping[int, WorkerEnd]
"""Ends of workers by the workers' keys."""


@dataclass(frozen=True, slots=True, order=True)
class Trials:
    """How often a content that was held back was tried, and when last."""

    count: int = 0
    last_at_s: float = NEVER_S


NO_TRIALS = Trials()


@dataclass(slots=True)
class Suspect:
    """What is known of one content: ends of workers by the workers' keys, service, and trials."""

    end_by_worker: dict[int, WorkerEnd] = field(default_factory=dict)
    served_at_s: float = NEVER_S
    trials: Trials = NO_TRIALS

    @property
    def is_strong(self) -> bool:
        """Whether so many workers ended under it that it is hardly chance."""
        return len(self.end_by_worker) >= STRONG_ENDS

    @property
    def last_end_s(self) -> float:
        """When a worker last ended under it."""
        return max((end.at_s for end in self.end_by_worker.values()), default=NEVER_S)

    def is_cause(self, suspects_by_end: Mapping[int, int]) -> bool:
        """Return whether its ends tell a cause, given how many strong suspects were at each.

        They do if it was alone at all of them, or at one since it was tried.
        """
        own = [end for key, end in self.end_by_worker.items() if suspects_by_end[key] == 1]
        if len(own) == len(self.end_by_worker):
            return True
        return self.trials.count > 0 and any(end.at_s >= self.trials.last_at_s for end in own)

    @property
    def trial_at_s(self) -> float:
        """When it may be tried, held back for the time from its last end or trial on."""
        held_s = min(FIRST_BLOCK_S, TRIAL_AFTER_S * TRIAL_FACTOR**self.trials.count)
        return max(self.last_end_s, self.trials.last_at_s) + held_s

    def take(
        self, end_by_worker: EndByWorker, served_at_s: float, trials: Trials = NO_TRIALS
    ) -> bool:
        """Merge a statement; returns whether it said anything new."""
        before = (set(self.end_by_worker), self.served_at_s, self.trials.count)
        if served_at_s > self.served_at_s + CLOCK_SLACK_S:
            self.served_at_s = served_at_s
        for worker, end in end_by_worker.items():
            known = self.end_by_worker.get(worker, end)
            self.end_by_worker[worker] = min(end, known, key=_end_time)
        self.trials = max(self.trials, trials)
        self._drop_refuted()
        while len(self.end_by_worker) > MOST_ENDS:
            oldest = min(self.end_by_worker, key=lambda key: self.end_by_worker[key].at_s)
            del self.end_by_worker[oldest]
        return (set(self.end_by_worker), self.served_at_s, self.trials.count) != before

    def _drop_refuted(self) -> None:
        """Drop ends and trials before the last service: what was served caused no end."""
        refuted_s = self.served_at_s + CLOCK_SLACK_S
        self.end_by_worker = {
            worker: end for worker, end in self.end_by_worker.items() if end.at_s > refuted_s
        }
        if self.trials.last_at_s <= refuted_s:
            self.trials = NO_TRIALS


def block_s(ends: int) -> float:
    """Return how long a content is blocked after so many unexplained ends."""
    return FIRST_BLOCK_S * 2.0 ** (min(ends, MOST_ENDS) - CRASHES_TO_BLOCK)


def counted_ends(ends: Iterable[WorkerEnd]) -> int:
    """Return for how many ends some count, given which of their runs overlapped."""
    counted = 0
    overlapping = 0
    first_end_s = NEVER_S
    for end in sorted(ends, key=_end_time):
        if end.began_s >= first_end_s:
            first_end_s = end.at_s
            overlapping = 0
        overlapping += 1
        counted += overlapping <= MOST_AT_ONCE
    return counted


def _end_time(end: WorkerEnd) -> float:
    return end.at_s


class CrashSuspects:
    """All suspected contents of one daemon; ``own`` is its name."""

    def __init__(self, own: str = "", most: int = MOST_SUSPECTS) -> None:
        self._own = own
        self._most = most
        self.by_content: dict[int, Suspect] = {}
        self._blocked_until_s: dict[int, float] = {}
        self._on_trial: set[int] = set()

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
            if content in self._on_trial or content in self._blocked_until_s:
                continue
            if suspect.is_strong and suspect.last_end_s >= now_s - within_s:
                yield content

    def trials_lately(self, now_s: float, within_s: float) -> Iterator[int]:
        """Yield the contents whose trial is due or was a moment ago, here or at another daemon."""
        for content in self._on_trial:
            suspect = self.by_content[content]
            due_s = suspect.trial_at_s - TRIAL_SPREAD_S
            if suspect.trials.last_at_s >= now_s - within_s or 0 <= now_s - due_s <= within_s:
                yield content

    @property
    def any_on_trial(self) -> bool:
        """Whether any content is to be tried."""
        return bool(self._on_trial)

    def is_on_trial(self, content: int) -> bool:
        """Return whether a content runs once at a time, after a moment in which it is held back."""
        return content in self._on_trial

    def begin_trial(self, content: int, now_s: float) -> None:
        """Note that a content that was held back is tried now; it is held back again meanwhile."""
        suspect = self.by_content[content]
        suspect.take({}, NEVER_S, Trials(suspect.trials.count + 1, now_s))
        self._judge()

    def take(
        self,
        content: int,
        end_by_worker: EndByWorker,
        served_at_s: float = NEVER_S,
        trials: Trials = NO_TRIALS,
    ) -> bool:
        """Merge what is said of a content; returns whether it was new."""
        suspect = self.by_content.get(content)
        if suspect is None:
            suspect = Suspect()
            if not suspect.take(end_by_worker, served_at_s, trials):
                return False
            self.by_content[content] = suspect
            self._make_room()
        elif not suspect.take(end_by_worker, served_at_s, trials):
            return False
        may_be_blocked = len(suspect.end_by_worker) >= CRASHES_TO_BLOCK
        concerns_others = suspect.is_strong and bool(self._blocked_until_s)
        if may_be_blocked or concerns_others or content in self._blocked_until_s:
            self._judge()
        return True

    def note_served(self, content: int, now_s: float) -> bool:
        """Note that a content was served whole; returns whether it was suspected."""
        suspect = self.by_content.get(content)
        if suspect is None or not suspect.end_by_worker:
            return False
        suspect.take({}, now_s)
        self._judge()
        return True

    def blocked_for_s(self, content: int, now_s: float) -> float:
        """Return for how long a content may not be sent to workers, 0 if it may be."""
        return max(0.0, self._blocked_until_s.get(content, NEVER_S) - now_s)

    @property
    def any_blocked(self) -> bool:
        """Whether any content may be blocked; saves looking for contents in calm times."""
        return bool(self._blocked_until_s)

    def blocked_contents(self, now_s: float) -> set[int]:
        """Return the contents that are blocked."""
        return {key for key, until_s in self._blocked_until_s.items() if until_s > now_s}

    def strongest(self) -> list[int]:
        """Return the contents, those with the most ends first, and of equals the latest."""
        return sorted(self.by_content, key=self._strength, reverse=True)

    def forget_at_s(self, content: int) -> float:
        """Return when a content is forgotten if nothing new is heard of it."""
        suspect = self.by_content[content]
        told_s = max(suspect.last_end_s, suspect.served_at_s)
        ends = len(suspect.end_by_worker)
        if ends < CRASHES_TO_BLOCK:
            return told_s + EVIDENCE_S
        return told_s + block_s(ends) + EVIDENCE_S

    def expire(self, now_s: float) -> None:
        """Forget contents of which nothing was heard for long."""
        old = [content for content in self.by_content if self.forget_at_s(content) <= now_s]
        for content in old:
            del self.by_content[content]
        if old:
            self._judge()

    def _strength(self, content: int) -> tuple[int, float]:
        suspect = self.by_content[content]
        return len(suspect.end_by_worker), suspect.last_end_s

    def _make_room(self) -> None:
        """Forget the weakest suspects once there are too many."""
        if len(self.by_content) > self._most:
            for content in self.strongest()[self._most * 9 // 10 :]:
                del self.by_content[content]

    def _judge(self) -> None:
        """Decide anew what is blocked; those with the most ends are judged first."""
        contents_by_ends: dict[int, list[int]] = {}
        for content, suspect in self.by_content.items():
            ends = len(suspect.end_by_worker)
            if ends >= CRASHES_TO_BLOCK:
                contents_by_ends.setdefault(ends, []).append(content)
        self._blocked_until_s = {}
        self._on_trial = set()
        explained: set[int] = set()
        for ends in sorted(contents_by_ends, reverse=True):
            explained |= self._judge_equals(contents_by_ends[ends], explained)
        self._hold_for_trial()
        for contents in contents_by_ends.values():
            self._try_explained(contents)

    def _hold_for_trial(self) -> None:
        """Hold blocked contents whose ends don't tell a cause until their trial only."""
        if not self._blocked_until_s:
            return
        strong = (each for each in self.by_content.values() if each.is_strong)
        suspects_by_end = Counter(end for each in strong for end in each.end_by_worker)
        for content in self._blocked_until_s:
            suspect = self.by_content[content]
            if not suspect.is_cause(suspects_by_end):
                self._blocked_until_s[content] = suspect.trial_at_s + self._spread_s(content)
                self._on_trial.add(content)

    def _try_explained(self, contents: list[int]) -> None:
        """Let those that are not blocked, since others explain their ends, run once at a time.

        One of them may be a cause as well, and would end a worker with each copy that is asked for
        until its next end is known.
        """
        for content in contents:
            if content in self._blocked_until_s:
                continue
            self._on_trial.add(content)
            suspect = self.by_content[content]
            if suspect.trials.count:
                self._blocked_until_s[content] = suspect.trial_at_s + self._spread_s(content)

    def _spread_s(self, content: int) -> float:
        """Return how much later than the first daemon this one tries a content."""
        return TRIAL_SPREAD_S * rendezvous_share(content_name(content), self._own)

    def _judge_equals(self, contents: list[int], explained: set[int]) -> set[int]:
        """Judge contents with equally many ends; returns the ends that the blocked ones explain."""
        blocked: dict[int, int] = {}
        for content in contents:
            end_by_worker = self.by_content[content].end_by_worker
            ends = counted_ends(end_by_worker[w] for w in end_by_worker.keys() - explained)
            if ends >= CRASHES_TO_BLOCK:
                blocked[content] = ends
        for content in self._explained_together(blocked):
            del blocked[content]
        newly: set[int] = set()
        for content, ends in blocked.items():
            suspect = self.by_content[content]
            self._blocked_until_s[content] = suspect.last_end_s + block_s(ends)
            newly |= suspect.end_by_worker.keys()
        return newly

    def _explained_together(self, contents: Iterable[int]) -> set[int]:
        """Return contents whose ends are all explained by several others, which have more besides.

        One that was beside two crashing requests, at two ends and at one, has as many ends as
        these, but each of them has an end of its own. If it is a cause all the same, its next end
        tells: then it has more than they do.

        All have equally many ends, so one with other ends has an end of its own.
        """
        ends_by_content = {key: frozenset(self.by_content[key].end_by_worker) for key in contents}
        counts_by_end: defaultdict[int, Counter[frozenset[int]]] = defaultdict(Counter)
        for ends in ends_by_content.values():
            for end in ends:
                counts_by_end[end][ends] += 1
        explained: set[int] = set()
        for content, ends in sorted(ends_by_content.items()):
            if all(len(counts_by_end[end]) > 1 for end in ends):
                explained.add(content)
                for end in ends:
                    _take_one(counts_by_end[end], ends)
        return explained


def _take_one(counts: Counter[frozenset[int]], ends: frozenset[int]) -> None:
    counts[ends] -= 1
    if not counts[ends]:
        del counts[ends]
