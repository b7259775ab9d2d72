"""How much of a connection is read at once, so that all connections get their turn."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

READ_BYTES = 16 * 1024
"""Bytes read at once from a connection, before the next ones are read."""

MAX_PARTS_PER_READ = 512
"""Parts of a body in one read, beyond which reading pauses. Many small parts take far longer than
one that is as large as all of them."""

SMALL_PARTS_PAUSE_S = 0.05


class SmallReads(asyncio.BufferedProtocol, ABC):
    """A connection that is read in small amounts."""

    def __init__(self) -> None:
        self._read_buffer = bytearray()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return a buffer for the next read."""
        self._read_buffer = bytearray(READ_BYTES)
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Hand on what was read."""
        data = memoryview(self._read_buffer)[:nbytes]
        self._read_buffer = bytearray()
        self.handle_bytes(data)

    @abstractmethod
    def handle_bytes(self, data: memoryview) -> None:
        """Handle bytes of the peer, which are valid until this returns."""
