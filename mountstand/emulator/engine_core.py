"""A model engine as a pure state machine: continuous batching in steps, priorities, prefix cache.

The core knows no clock and no sockets. :meth:`EngineCore.step` advances every running sequence by
one token; the HTTP shell in ``engine_app`` calls it once a step.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from mountstand.engines.prefix_blocks import BLOCK_CHARACTERS, prefix_blocks

CHARACTERS_PER_TOKEN = 4


class SequenceState(Enum):
    """Where a sequence stands."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@dataclass
class Sequence:
    """One prompt being completed."""

    sequence_id: str
    prompt: str
    max_tokens: int
    priority: int
    arrival: int
    state: SequenceState = SequenceState.WAITING
    tokens: list[str] = field(default_factory=list)
    prefill_steps_left: int = -1
    cached_blocks: int = 0


@dataclass(frozen=True)
class CacheEvent:
    """A prefix block that entered or left the cache."""

    sequence_number: int
    block: str
    stored: bool


@dataclass(frozen=True)
class EngineLoad:
    """Work inside an engine at one moment."""

    running: int
    waiting: int
    running_batch: int
    waiting_batch: int
    slots: int


def generate_token(prompt: str, index: int) -> str:
    """Return token ``index`` of the answer to ``prompt``; the same prompt gives the same answer."""
    digest = hashlib.blake2b(f"{index}:{prompt}".encode(), digest_size=3).hexdigest()
    return f" {digest}"


def expected_completion(prompt: str, max_tokens: int) -> str:
    """Return the whole answer that any emulated engine gives to ``prompt``."""
    return "".join(generate_token(prompt, index) for index in range(max_tokens))


class PrefixCache:
    """Least-recently-used set of prefix blocks of bounded size, with a log of changes."""

    def __init__(self, capacity_blocks: int) -> None:
        self.capacity_blocks = capacity_blocks
        self.events: list[CacheEvent] = []
        self._blocks: OrderedDict[str, None] = OrderedDict()

    def match(self, blocks: list[str]) -> int:
        """Return how many leading ``blocks`` are cached and mark them as used."""
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def store(self, blocks: list[str]) -> None:
        """Add ``blocks`` and evict the least recently used ones over the capacity."""
        for block in blocks:
            if block not in self._blocks:
                self._record(block, stored=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self.capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._record(evicted, stored=False)

    def export(self) -> list[str]:
        """Return the cached blocks, least recently used first."""
        return list(self._blocks)

    def _record(self, block: str, *, stored: bool) -> None:
        self.events.append(CacheEvent(len(self.events) + 1, block, stored))


class EngineCore:
    """Continuous batching over a fixed number of slots.

    Parameters
    ----------
    slots
        Sequences that advance together.
    waiting_limit
        Sequences that may wait; one more is refused.
    cache_blocks
        Capacity of the prefix cache in blocks.
    prefill_tokens_per_step
        Prompt tokens read in one step for a sequence.
    online_priority
        Sequences with a priority number at or below this preempt those above it.
    """

    def __init__(
        self,
        slots: int,
        waiting_limit: int,
        cache_blocks: int,
        prefill_tokens_per_step: int = 512,
        online_priority: int = 0,
    ) -> None:
        self.slots = slots
        self.waiting_limit = waiting_limit
        self.cache = PrefixCache(cache_blocks)
        self.preemptions = 0
        self.prefill_steps = 0
        self.prompt_blocks = 0
        self.cached_blocks = 0
        self._prefill_tokens_per_step = prefill_tokens_per_step
        self._online_priority = online_priority
        self._arrivals = 0
        self._running: list[Sequence] = []
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._waiting_count = 0

    def admit(
        self, sequence_id: str, prompt: str, max_tokens: int, priority: int
    ) -> Sequence | None:
        """Queue a sequence; return ``None`` when the waiting room is full."""
        if self._waiting_count >= self.waiting_limit and priority > self._online_priority:
            return None
        if self._waiting_count >= 2 * self.waiting_limit:
            return None
        self._arrivals += 1
        sequence = Sequence(sequence_id, prompt, max_tokens, priority, self._arrivals)
        self._push_waiting(sequence)
        return sequence

    def cancel(self, sequence: Sequence) -> None:
        """Stop a sequence; its tokens so far stay."""
        if sequence.state is SequenceState.RUNNING:
            self._running.remove(sequence)
        if sequence.state is SequenceState.WAITING:
            self._waiting_count -= 1
        if sequence.state is not SequenceState.FINISHED:
            sequence.state = SequenceState.CANCELLED

    def step(self) -> list[Sequence]:
        """Advance the batch by one step; return the sequences that gained a token."""
        self._preempt_for_online()
        self._fill_slots()
        advanced = []
        for sequence in list(self._running):
            if sequence.prefill_steps_left > 0:
                sequence.prefill_steps_left -= 1
                self.prefill_steps += 1
                continue
            sequence.tokens.append(generate_token(sequence.prompt, len(sequence.tokens)))
            advanced.append(sequence)
            if len(sequence.tokens) >= sequence.max_tokens:
                sequence.state = SequenceState.FINISHED
                self._running.remove(sequence)
        return advanced

    def load(self) -> EngineLoad:
        """Return the work inside the engine now."""
        waiting = [s for _, _, s in self._waiting if s.state is SequenceState.WAITING]
        return EngineLoad(
            running=len(self._running),
            waiting=len(waiting),
            running_batch=sum(1 for s in self._running if s.priority > self._online_priority),
            waiting_batch=sum(1 for s in waiting if s.priority > self._online_priority),
            slots=self.slots,
        )

    @property
    def idle(self) -> bool:
        """Whether no sequence runs or waits."""
        return not self._running and not self._waiting_count

    def _push_waiting(self, sequence: Sequence) -> None:
        sequence.state = SequenceState.WAITING
        self._waiting_count += 1
        heapq.heappush(self._waiting, (sequence.priority, sequence.arrival, sequence))

    def _pop_waiting(self) -> Sequence | None:
        while self._waiting:
            _, _, sequence = heapq.heappop(self._waiting)
            if sequence.state is SequenceState.WAITING:
                self._waiting_count -= 1
                return sequence
        return None

    def _preempt_for_online(self) -> None:
        online_waiting = sum(
            1
            for priority, _, s in self._waiting
            if priority <= self._online_priority and s.state is SequenceState.WAITING
        )
        shortage = online_waiting - (self.slots - len(self._running))
        if shortage <= 0:
            return
        victims = [s for s in self._running if s.priority > self._online_priority]
        victims.sort(key=lambda s: (-s.priority, -s.arrival))
        for victim in victims[:shortage]:
            self._running.remove(victim)
            self._push_waiting(victim)
            self.preemptions += 1

    def _fill_slots(self) -> None:
        while len(self._running) < self.slots:
            sequence = self._pop_waiting()
            if sequence is None:
                return
            self._start(sequence)

    def _start(self, sequence: Sequence) -> None:
        sequence.state = SequenceState.RUNNING
        self._running.append(sequence)
        if sequence.prefill_steps_left >= 0:
            return
        blocks = prefix_blocks(sequence.prompt)
        sequence.cached_blocks = self.cache.match(blocks)
        self.cache.store(blocks)
        self.prompt_blocks += len(blocks)
        self.cached_blocks += sequence.cached_blocks
        uncached_characters = len(sequence.prompt) - sequence.cached_blocks * BLOCK_CHARACTERS
        uncached_tokens = uncached_characters // CHARACTERS_PER_TOKEN
        sequence.prefill_steps_left = uncached_tokens // self._prefill_tokens_per_step
