"""Rendezvous hashing: the same ranking of nodes for a key on every daemon."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rendezvous_weight(key: str, node: str) -> int:
    """Return the weight of ``node`` for ``key``; the highest weight owns the key."""
    digest = hashlib.blake2b(f"{key}\x00{node}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rendezvous_owner(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node that owns ``key``, or ``None`` when there are no nodes."""
    return max(nodes, key=lambda node: rendezvous_weight(key, node), default=None)
