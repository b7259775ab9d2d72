"""Hashes that are the same on every daemon: rankings of nodes, and keys of contents."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

CONTENT_KEY_BYTES = 8
"""Two of a thousand contents that are kept are alike by chance once in 10^13 times."""

LENGTH_BYTES = 8


def content_key(*parts: bytes) -> int:
    """Return a number of 64 bits that stands for ``parts`` and where each of them ends."""
    digest = hashlib.blake2b(digest_size=CONTENT_KEY_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return int.from_bytes(digest.digest(), "big")


def content_name(key: int) -> str:
    """Return a content key as lines and rows name it, in hexadecimal digits."""
    return f"{key:016x}"


WEIGHT_BYTES = 8


def rendezvous_weight(key: str, node: str) -> int:
    """Return the weight of ``node`` for ``key``; the highest weight owns the key."""
    digest = hashlib.blake2b(f"{key}\x00{node}".encode(), digest_size=WEIGHT_BYTES).digest()
    return int.from_bytes(digest, "big")


def rendezvous_share(key: str, node: str) -> float:
    """Return the weight of ``node`` for ``key`` as a share of the highest there is."""
    return rendezvous_weight(key, node) / 256**WEIGHT_BYTES


def rendezvous_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node that owns ``key``, or ``None`` when there are no nodes."""
    return max(nodes, key=lambda node: rendezvous_weight(key, node), default=None)
