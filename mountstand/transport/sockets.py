"""Options of sockets."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

NO_LINGER = struct.pack("ii", 1, 0)
"""Closing discards what is unsent and resets the connection."""


def reset(transport: asyncio.Transport) -> None:
    """End a connection with a reset, so that its peer cannot take it for an orderly end."""
    raw = transport.get_extra_info("socket")
    if raw is not None and not transport.is_closing():
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def has_unread_bytes(transport: asyncio.Transport) -> bool:
    """Return whether bytes that were written have yet to reach the peer's machine.

    Where the system does not tell, only those that wait in this process count.
    """
    if transport.get_write_buffer_size():
        return True
    raw = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(raw.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return False
    return any(queued)


def has_socket_error(transport: asyncio.Transport) -> bool:
    """Return whether a connection has an error that no read or write has reported, as a reset."""
    raw = transport.get_extra_info("socket")
    return bool(raw.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
