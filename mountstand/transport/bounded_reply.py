"""Bounds on what is read of one reply: a deadline in all, and a number of bytes.

The timeout of a socket bounds a single read, so that a back end, a store or a peer which sends
without end, or a byte now and then, would be read for ever.
"""

from __future__ import annotations

import http.client
import io
import math
import socket
from dataclasses import dataclass
from functools import partial
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from mountstand.clock import elapsed_s
from mountstand.transport.whole_lines import (
    WholeLinesConnection,
    WholeLinesPool,
    WholeLinesResponse,
)

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Most bytes of one reply, with its head and interim replies before it."""


class ReplyTooLong(http.client.HTTPException):
    """A reply has more bytes than it may have."""


@dataclass(frozen=True, slots=True)
class ReplyBounds:
    """When a reply must be complete, how many bytes it may have, and the longest pause in it."""

    deadline_s: float
    max_bytes: int = MAX_REPLY_BYTES
    pause_s: float = math.inf


class ReplyReader(io.RawIOBase):
    """Reads a reply from a socket within ``bounds``.

    Raises ``TimeoutError`` and :class:`ReplyTooLong`. The deadline and the longest pause do not
    apply to a socket in non-blocking mode.
    """

    def __init__(self, sock: socket.socket, bounds: ReplyBounds) -> None:
        super().__init__()
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._bounds = bounds
        self._received_bytes = 0

    def readable(self) -> bool:
        """Return ``True``."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into ``buffer``; return the number of bytes, ``None`` if there are none yet."""
        if self._sock.gettimeout() != 0:
            left_s = self._bounds.deadline_s - elapsed_s()
            if left_s <= 0:
                raise TimeoutError("reply not complete by its deadline")
            self._sock.settimeout(min(left_s, self._bounds.pause_s))
        count = self._raw.readinto(buffer)
        self._received_bytes += count or 0
        if self._received_bytes > self._bounds.max_bytes:
            raise ReplyTooLong(f"more than {self._bounds.max_bytes} bytes")
        return count

    def close(self) -> None:
        """Release the socket."""
        self._raw.close()
        super().close()


class BoundedSocket:
    """Stands for a socket where a reply is parsed, which opens it as a file."""

    def __init__(self, sock: socket.socket, bounds: ReplyBounds) -> None:
        self._sock = sock
        self._bounds = bounds

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered file that reads within the bounds."""
        return io.BufferedReader(ReplyReader(self._sock, self._bounds))


def read_reply_head(connection: HTTPConnection, deadline_s: float) -> http.client.HTTPResponse:
    """Read the head of the reply to the request that was sent.

    The reply's body can be read up to the same deadline. Raises ``TimeoutError``, ``OSError`` and
    ``HTTPException``.
    """
    bounds = ReplyBounds(deadline_s)
    connection.response_class = partial(_open_reply, bounds)  # type: ignore[assignment]
    return http.client.HTTPConnection.getresponse(connection)


def read_reply_body(response: http.client.HTTPResponse) -> bytes:
    """Read the whole body of a reply.

    Raises like :func:`read_reply_head`, and closes the reply then. One that ends with its
    connection keeps the socket open until it is closed itself.
    """
    try:
        return response.read()
    except (OSError, http.client.HTTPException):
        response.close()
        raise


@dataclass(frozen=True, slots=True)
class ReplyLimits:
    """How long each reply of a pool may take in all, and how many bytes it may have."""

    duration_s: float
    max_bytes: int = MAX_REPLY_BYTES


def bounded_pool(limits: ReplyLimits) -> type[urllib3.HTTPConnectionPool]:
    """Return a class of pools that end each reply at its limits, with an error of urllib3.

    The longest pause in a reply is the pool's time-out for reads.
    """

    class BoundedConnection(WholeLinesConnection):
        def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
            deadline_s = elapsed_s() + limits.duration_s
            pause_s = self.timeout if isinstance(self.timeout, float | int) else math.inf
            bounds = ReplyBounds(deadline_s, limits.max_bytes, pause_s)
            self.response_class = partial(_open_reply, bounds)  # type: ignore[assignment]
            return super().getresponse()

    class BoundedPool(WholeLinesPool):
        ConnectionCls = BoundedConnection

    return BoundedPool


def _open_reply(
    bounds: ReplyBounds, sock: socket.socket, method: str | None = None
) -> http.client.HTTPResponse:
    bounded = BoundedSocket(sock, bounds)
    return WholeLinesResponse(bounded, method=method)  # type: ignore[arg-type]
