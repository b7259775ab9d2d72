"""How much of a connection is read at once, so that all connections get their turn."""

from __future__ import annotations

READ_BYTES = 16 * 1024
"""Bytes read at once from a connection, before the next ones are read."""

MAX_PARTS_PER_READ = 512
"""Parts of a body in one read, beyond which reading pauses. Parts of a byte or two take a thousand
times longer than one that is as large as all of them."""

SMALL_PARTS_PAUSE_S = 0.05
