"""The parts of a prompt, as far as the choice of a worker depends on them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class PromptPart:
    """One part of a prompt, with its size in tokens."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class Prompt:
    """Parts in order; all but the last are shared among requests."""

    parts: tuple[PromptPart, ...] = ()

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may have too."""
        return self.parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens that need not be read again by a worker that has the shared parts."""
        return sum(part.tokens for part in self.shared)

    @property
    def own_tokens(self) -> int:
        """Tokens of the last part."""
        return self.parts[-1].tokens if self.parts else 0

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return sum(part.tokens for part in self.parts)

    @property
    def affinity_key(self) -> str | None:
        """What decides the home worker, or ``None`` where reuse would save little.

        Reading the shared parts again must cost more than reading the request's own part;
        otherwise an even spread is worth more than reuse.
        """
        if not self.parts or self.shared_tokens <= self.own_tokens:
            return None
        return self.shared[-1].part_id


EMPTY_PROMPT = Prompt()
"""A request that names no parts."""
