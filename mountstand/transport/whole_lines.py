"""HTTP replies of which no part may be missing, for clients built on :mod:`http.client`.

The library takes the end of a connection for the end of the headers, and for the end of the
trailers. A reply whose head is cut off would thus be a whole one without a body.
"""

from __future__ import annotations

import http.client
import io
import socket
from typing import Any

import urllib3
from urllib3.connection import HTTPConnection


class ReplyCutOff(http.client.HTTPException):
    """The connection ended within the head, a chunk's size or the trailers of a reply."""


class WholeLines(io.BufferedReader):
    """Reads whole lines only; raises ``ReplyCutOff`` where the connection ends before or in one.

    A connection that ends before its first byte is reported as the end, since it was closed rather
    than cut off.
    """

    _has_lines = False

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read a line of at most ``size`` bytes, with its end."""
        line = super().readline(-1 if size is None else size)
        is_full = size is not None and 0 <= size <= len(line)
        if not line.endswith(b"\n") and not is_full and (line or self._has_lines):
            raise ReplyCutOff("the connection ended within a line")
        self._has_lines = True
        return line


class WholeLinesResponse(http.client.HTTPResponse):
    """A reply whose head, chunk sizes and trailers are read as whole lines."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = WholeLines(self.fp.detach())


class WholeLinesConnection(HTTPConnection):
    """A connection of urllib3 with such replies."""

    response_class = WholeLinesResponse


class WholeLinesPool(urllib3.HTTPConnectionPool):
    """A pool of urllib3 with such replies."""

    ConnectionCls = WholeLinesConnection


def pool_manager(
    pool: type[urllib3.HTTPConnectionPool] = WholeLinesPool, **options: Any
) -> urllib3.PoolManager:
    """Return a manager of pools of a class; ``options`` are those of ``PoolManager``."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {**manager.pool_classes_by_scheme, "http": pool}
    return manager


def pool_from_url(
    url: str, pool: type[urllib3.HTTPConnectionPool] = WholeLinesPool, **options: Any
) -> urllib3.HTTPConnectionPool:
    """Return a pool of a class for the host of a URL; ``options`` are those of the pool."""
    return pool_manager(pool, **options).connection_from_url(url)
