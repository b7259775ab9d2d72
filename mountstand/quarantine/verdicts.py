"""Decides which suspects are blocked or require a trial: a pure function of the evidence.

Daemons with the same evidence reach the same verdicts, except for the jitter of trials.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping

from mountstand.hashing import content_name, rendezvous_share
from mountstand.quarantine.suspect import (
    CRASHES_TO_BLOCK,
    INITIAL_BLOCK_S,
    TRIAL_JITTER_S,
    Suspect,
    block_duration_s,
    count_crashes,
)


class Verdicts:
    """Verdicts on all suspected contents, as seen by the daemon named ``daemon_name``."""

    __slots__ = (
        "_by_content",
        "_daemon_name",
        "blocked_until_s",
        "confirmed_together",
        "suspects_by_worker",
        "trial_required",
    )

    def __init__(self, by_content: Mapping[int, Suspect], daemon_name: str) -> None:
        self._by_content = by_content
        self._daemon_name = daemon_name
        self.blocked_until_s: dict[int, float] = {}
        """End of the block, by content. May lie in the past."""

        self.trial_required: set[int] = set()
        """Contents that require a trial: at most one run at a time across all daemons, most of them
        after a short block."""

        self.confirmed_together: set[int] = set()
        """Contents that require a trial alone, of which several in one request are a confirmed
        cause. Only prompt parts can come together."""

        self.suspects_by_worker = self._count_suspects_by_worker()
        """How many strong suspects were running at each crash, by worker key."""

        self._evaluate()

    def trial_at_s(self, content: int) -> float:
        """Return the earliest time of a content's next trial."""
        return self._by_content[content].trial_at_s

    def is_cause_of_crashes(self, content: int) -> bool:
        """Return whether a content is blocked without a trial, as the cause of its crashes."""
        return content in self.blocked_until_s and content not in self.trial_required

    def cause_blocked_until_s(self, content: int) -> float:
        """Return when a content that is taken for the cause may run again as a batch item."""
        return self._by_content[content].last_crash_s + INITIAL_BLOCK_S

    def _evaluate(self) -> None:
        """Evaluate all suspects, those with the most crashes first."""
        contents_by_crash_count: dict[int, list[int]] = {}
        for content, suspect in self._by_content.items():
            crash_count = len(suspect.crash_by_worker)
            if crash_count >= CRASHES_TO_BLOCK:
                contents_by_crash_count.setdefault(crash_count, []).append(content)
        attributed: set[int] = set()
        for crash_count in sorted(contents_by_crash_count, reverse=True):
            attributed |= self._evaluate_with_same_crash_count(
                contents_by_crash_count[crash_count], attributed
            )
        self._replace_unconfirmed_blocks()
        for contents in contents_by_crash_count.values():
            self._require_trial_unless_blocked(contents)

    def _replace_unconfirmed_blocks(self) -> None:
        """Let the block of contents that are not a confirmed cause end at their next trial."""
        for content in self.blocked_until_s:
            if not self._is_confirmed(self._by_content[content]):
                self._block_until_trial(content)
                self.trial_required.add(content)

    def _count_suspects_by_worker(self) -> Counter[int]:
        strong = (each for each in self._by_content.values() if each.is_strong)
        return Counter(worker for each in strong for worker in each.crash_by_worker)

    def _is_confirmed(self, suspect: Suspect) -> bool:
        return suspect.is_confirmed_cause(self.suspects_by_worker)

    def _require_trial_unless_blocked(self, contents: list[int]) -> None:
        """Require a trial of contents that have enough crashes but are not blocked.

        Their crashes are attributed to other contents or come from overlapping runs. One of them
        may be a cause too, and would crash a worker with each concurrent copy until the next crash
        is known.
        """
        for content in contents:
            if content in self.blocked_until_s:
                continue
            self.trial_required.add(content)
            if self._by_content[content].trials.count:
                self._block_until_trial(content)

    def _block_until_trial(self, content: int) -> None:
        """Block a content until its next trial, plus a jitter derived from content and daemon."""
        self.blocked_until_s[content] = self.trial_at_s(content) + self.trial_jitter_s(content)

    def trial_jitter_s(self, content: int) -> float:
        """Return how much later than others this daemon starts a trial of a content."""
        return TRIAL_JITTER_S * rendezvous_share(content_name(content), self._daemon_name)

    def _evaluate_with_same_crash_count(
        self, contents: list[int], attributed: set[int]
    ) -> set[int]:
        """Block those of ``contents``, all with the same number of crashes, for which enough count.

        ``attributed`` holds the keys of workers whose crashes don't count, since they are
        attributed to contents with more crashes. Returns the keys of workers whose crashes are
        attributed to the newly blocked contents.
        """
        blocked: dict[int, int] = {}
        for content in contents:
            crash_by_worker = self._by_content[content].crash_by_worker
            crash_count = count_crashes(
                crash_by_worker[worker] for worker in crash_by_worker.keys() - attributed
            )
            if crash_count >= CRASHES_TO_BLOCK:
                blocked[content] = crash_count
        for content in self._attributable_to_others(blocked):
            del blocked[content]
        newly_attributed: set[int] = set()
        for content, crash_count in blocked.items():
            suspect = self._by_content[content]
            self.blocked_until_s[content] = suspect.last_crash_s + block_duration_s(crash_count)
            newly_attributed |= suspect.crash_by_worker.keys()
        return newly_attributed

    def _attributable_to_others(self, contents: Iterable[int]) -> set[int]:
        """Return contents each of whose crashes also involves another of ``contents``.

        All ``contents`` have the same number of crashes. An innocent content that ran next to two
        crashing ones, at two crashes of the first and at one of the second, has as many crashes as
        they have; but each of them also has a crash at which it was not present. If it is a cause
        nevertheless, its next crash shows it, as it then has more crashes than they have.

        Crashes are not attributed to contents with an identical set of crashes, as these can't be
        told apart, nor to contents already found attributable.
        """
        workers_by_content = {
            key: frozenset(self._by_content[key].crash_by_worker) for key in contents
        }
        counts_by_worker: defaultdict[int, Counter[frozenset[int]]] = defaultdict(Counter)
        for workers in workers_by_content.values():
            for worker in workers:
                counts_by_worker[worker][workers] += 1
        attributable: set[int] = set()
        for content, workers in sorted(workers_by_content.items()):
            if all(len(counts_by_worker[worker]) > 1 for worker in workers):
                attributable.add(content)
                for worker in workers:
                    _decrement(counts_by_worker[worker], workers)
        return attributable


def workers_with_suspects(by_key: Mapping[int, Suspect]) -> set[int]:
    """Return the workers at whose crash a suspect with enough crashes was running."""
    return {
        worker
        for suspect in by_key.values()
        if len(suspect.crash_by_worker) >= CRASHES_TO_BLOCK
        for worker in suspect.crash_by_worker
    }


def _decrement(counts: Counter[frozenset[int]], workers: frozenset[int]) -> None:
    counts[workers] -= 1
    if not counts[workers]:
        del counts[workers]
