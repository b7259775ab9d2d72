"""Options of sockets."""

from __future__ import annotations

import asyncio
import socket
import struct

NO_LINGER = struct.pack("ii", 1, 0)
"""Closing discards what is unsent and resets the connection."""


def reset(transport: asyncio.Transport) -> None:
    """End a connection with a reset, so that its peer cannot take it for an orderly end."""
    raw = transport.get_extra_info("socket")
    if raw is not None and not transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()
