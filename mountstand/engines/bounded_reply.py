"""Bounds on what is read of one back end's reply: a deadline in all, and a number of bytes.

The timeout of a socket bounds a single read, so that a back end which sends without end, or a byte
now and then, would be read for ever.
"""

from __future__ import annotations

import http.client
import io
import socket
from functools import partial
from typing import Any

from urllib3.connection import HTTPConnection

from mountstand.clock import elapsed_s
from mountstand.transport.whole_lines import WholeLinesResponse

MAX_REPLY_BYTES = 16 * 1024 * 1024
"""Most bytes of one reply, with its head and interim replies before it."""


class ReplyTooLong(http.client.HTTPException):
    """A reply has more than ``MAX_REPLY_BYTES``."""


class ReplyReader(io.RawIOBase):
    """Reads from a socket until ``deadline_s``, ``MAX_REPLY_BYTES`` at most.

    Raises ``TimeoutError`` and :class:`ReplyTooLong`. The deadline does not apply to a socket in
    non-blocking mode.
    """

    def __init__(self, sock: socket.socket, deadline_s: float) -> None:
        super().__init__()
        self._sock = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._deadline_s = deadline_s
        self._received_bytes = 0

    def readable(self) -> bool:
        """Return ``True``."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into ``buffer``; return the number of bytes, ``None`` if there are none yet."""
        if self._sock.gettimeout() != 0:
            left_s = self._deadline_s - elapsed_s()
            if left_s <= 0:
                raise TimeoutError("reply not complete by its deadline")
            self._sock.settimeout(left_s)
        count = self._raw.readinto(buffer)
        self._received_bytes += count or 0
        if self._received_bytes > MAX_REPLY_BYTES:
            raise ReplyTooLong(f"more than {MAX_REPLY_BYTES} bytes")
        return count

    def close(self) -> None:
        """Release the socket."""
        self._raw.close()
        super().close()


class BoundedSocket:
    """Stands for a socket where a reply is parsed, which opens it as a file."""

    def __init__(self, sock: socket.socket, deadline_s: float) -> None:
        self._sock = sock
        self._deadline_s = deadline_s

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return a buffered file that reads within the bounds."""
        return io.BufferedReader(ReplyReader(self._sock, self._deadline_s))


def read_reply_head(connection: HTTPConnection, deadline_s: float) -> http.client.HTTPResponse:
    """Read the head of the reply to the request that was sent.

    The reply's body can be read up to the same deadline. Raises ``TimeoutError``, ``OSError`` and
    ``HTTPException``.
    """
    connection.response_class = partial(_open_reply, deadline_s)  # type: ignore[assignment]
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


def _open_reply(
    deadline_s: float, sock: socket.socket, method: str | None = None
) -> http.client.HTTPResponse:
    bounded = BoundedSocket(sock, deadline_s)
    return WholeLinesResponse(bounded, method=method)  # type: ignore[arg-type]
