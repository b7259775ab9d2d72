"""Prompt parts and their token counts, used to choose a worker."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property

from mountstand.hashing import content_key

MAX_TRACKED_PARTS = 16
"""Shared parts of a prompt that are held against crashes of workers."""


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; equal ids mean equal content, also in other requests."""

    part_id: str
    tokens: int


def part_key(part_id: str) -> int:
    """Return the number that stands for a part of a prompt."""
    return content_key(b"prompt part", part_id.encode())


@dataclass(frozen=True)
class Prompt:
    """The parts of a prompt in order; all but the last may be shared with other requests."""

    parts: tuple[PromptPart, ...] = ()

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have in common with this one."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens that a worker with the shared parts in its cache need not process."""
        return sum(part.tokens for part in self.shared)

    @property
    def own_tokens(self) -> int:
        """Tokens of the last part, which belongs to this request alone."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return sum(part.tokens for part in self.parts)

    @cached_property
    def shared_keys(self) -> tuple[int, ...]:
        """The keys of the first ``MAX_TRACKED_PARTS`` different parts that others may share."""
        ids = dict.fromkeys(part.part_id for part in self.shared[:MAX_TRACKED_PARTS])
        return tuple(part_key(part_id) for part_id in ids)

    @property
    def affinity_key(self) -> str | None:
        """The key that selects the workers which should have the shared parts in their cache.

        ``None`` if the worker does not matter: affinity pays off only if processing the shared
        parts again would cost more than processing the request's own part. Otherwise an even load
        matters more.
        """
        if not self.parts or self.shared_tokens <= self.own_tokens:
            return None
        return self.shared[-1].part_id


EMPTY_PROMPT = Prompt()
"""The prompt of a request that declares no parts."""
