"""Hashing of prompt prefixes into cache blocks, as the engine protocol defines it.

A block covers :data:`BLOCK_CHARACTERS` characters; its hash chains over all earlier blocks, so one
hash stands for the whole prefix up to its end. Engines publish cache events under these hashes.
"""

from __future__ import annotations

import hashlib

BLOCK_CHARACTERS = 64
"""Prompt characters per prefix cache block."""


def prefix_blocks(prompt: str, limit: int | None = None) -> list[str]:
    """Return the chained hashes of the prompt's full blocks, first block first.

    Parameters
    ----------
    prompt
        The whole prompt.
    limit
        Greatest number of blocks to hash; ``None`` hashes all.
    """
    chain = hashlib.blake2b(digest_size=8)
    blocks = []
    full_blocks = len(prompt) // BLOCK_CHARACTERS
    count = full_blocks if limit is None else min(limit, full_blocks)
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        chain.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        blocks.append(chain.copy().hexdigest())
    return blocks
