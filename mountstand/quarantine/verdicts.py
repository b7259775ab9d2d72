"""Which suspected contents are blocked, and which are tried: a pure function of their ends.

Daemons that have heard the same, in whatever order, judge alike.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from mountstand.hashing import content_name, rendezvous_share
from mountstand.quarantine.suspect import (
    CRASHES_TO_BLOCK,
    TRIAL_SPREAD_S,
    Suspect,
    block_s,
    counted_ends,
)


class Verdicts:
    """What follows from the ends of all suspected contents, for the daemon ``own``."""

    __slots__ = ("_by_content", "_own", "blocked_until_s", "on_trial")

    def __init__(self, by_content: Mapping[int, Suspect], own: str) -> None:
        self._by_content = by_content
        self._own = own
        self.blocked_until_s: dict[int, float] = {}
        """Until when contents may not be sent to workers."""

        self.on_trial: set[int] = set()
        """Contents that run once at a time, most of them after they were held back a moment."""

        self._judge()

    def _judge(self) -> None:
        """Decide anew what is blocked; those with the most ends are judged first."""
        contents_by_ends: dict[int, list[int]] = {}
        for content, suspect in self._by_content.items():
            ends = len(suspect.crash_by_worker)
            if ends >= CRASHES_TO_BLOCK:
                contents_by_ends.setdefault(ends, []).append(content)
        explained: set[int] = set()
        for ends in sorted(contents_by_ends, reverse=True):
            explained |= self._judge_equals(contents_by_ends[ends], explained)
        self._hold_for_trial()
        for contents in contents_by_ends.values():
            self._try_explained(contents)

    def _hold_for_trial(self) -> None:
        """Hold blocked contents whose ends don't tell a cause until their trial only."""
        if not self.blocked_until_s:
            return
        strong = (each for each in self._by_content.values() if each.is_strong)
        suspects_by_end = Counter(end for each in strong for end in each.crash_by_worker)
        for content in self.blocked_until_s:
            if not self._by_content[content].is_cause(suspects_by_end):
                self._hold(content)
                self.on_trial.add(content)

    def _try_explained(self, contents: list[int]) -> None:
        """Let those that are not blocked, since others explain their ends, run once at a time.

        One of them may be a cause as well, and would end a worker with each copy that is asked for
        until its next end is known.
        """
        for content in contents:
            if content in self.blocked_until_s:
                continue
            self.on_trial.add(content)
            if self._by_content[content].trials.count:
                self._hold(content)

    def _hold(self, content: int) -> None:
        """Hold a content back until its trial, at each daemon for a little longer or shorter."""
        spread_s = TRIAL_SPREAD_S * rendezvous_share(content_name(content), self._own)
        self.blocked_until_s[content] = self._by_content[content].trial_at_s + spread_s

    def _judge_equals(self, contents: list[int], explained: set[int]) -> set[int]:
        """Judge contents with equally many ends; returns the ends that the blocked ones explain."""
        blocked: dict[int, int] = {}
        for content in contents:
            crash_by_worker = self._by_content[content].crash_by_worker
            ends = counted_ends(crash_by_worker[w] for w in crash_by_worker.keys() - explained)
            if ends >= CRASHES_TO_BLOCK:
                blocked[content] = ends
        for content in self._explained_together(blocked):
            del blocked[content]
        newly: set[int] = set()
        for content, ends in blocked.items():
            suspect = self._by_content[content]
            self.blocked_until_s[content] = suspect.last_end_s + block_s(ends)
            newly |= suspect.crash_by_worker.keys()
        return newly

    def _explained_together(self, contents: Iterable[int]) -> set[int]:
        """Return contents whose ends are all explained by several others, which have more besides.

        One that was beside two crashing requests, at two ends and at one, has as many ends as
        these, but each of them has an end of its own. If it is a cause all the same, its next end
        tells: then it has more than they do.

        All have equally many ends, so one with other ends has an end of its own.
        """
        ends_by_content = {
            key: frozenset(self._by_content[key].crash_by_worker) for key in contents
        }
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
