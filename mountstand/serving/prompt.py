"""Prompt parts and their token counts, used to choose a worker."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt; equal ids mean equal content, also in other requests."""

    part_id: str
    tokens: int


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
