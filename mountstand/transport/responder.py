"""A request as it was read, and the writing of its answer."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

from mountstand.transport.headers import Header, Headers


@dataclass
class ServerRequest:
    """One whole request; ``received_at_s`` is the loop's time of its first byte."""

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at_s: float
    keep_alive: bool
    http_minor: int = 1

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """What follows the first question mark, or an empty text."""
        return self.target.partition("?")[2]


class CallerGone(Exception):
    """The caller closed the connection before the answer was written."""


def head_bytes(status: int, headers: Iterable[Header]) -> bytes:
    """Return the bytes of an answer's head."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    lines = [f"HTTP/1.1 {status} {phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class AnswerConnection(Protocol):
    """What the writing of an answer needs of its connection."""

    close_after_answer: bool

    def write(self, data: bytes) -> None:
        """Write bytes. Raises ``CallerGone``."""

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit. Raises ``CallerGone``."""

    def abort(self) -> None:
        """Reset the connection."""


class Responder:
    """Writes the answer to one request."""

    def __init__(self, connection: AnswerConnection, request: ServerRequest) -> None:
        self._connection = connection
        self._request = request
        self._chunked = False
        self.started = False
        self.finished = False
        self.status = 0

    def send(self, status: int, headers: Iterable[Header] = (), body: bytes = b"") -> None:
        """Send a whole answer."""
        complete = [*headers, ("Content-Length", str(len(body)))]
        self._begin(status, complete)
        if self._request.method != "HEAD":
            self._connection.write(body)
        self.finished = True

    def start(self, status: int, headers: Iterable[Header], length: int | None) -> None:
        """Send the head of an answer whose body follows piece by piece."""
        complete = list(headers)
        if length is not None:
            complete.append(("Content-Length", str(length)))
        elif self._request.http_minor >= 1:
            complete.append(("Transfer-Encoding", "chunked"))
            self._chunked = True
        else:
            self._connection.close_after_answer = True
        self._begin(status, complete)

    def write(self, piece: bytes) -> None:
        """Send a piece of the body."""
        if not piece:
            return
        if self._chunked:
            piece = b"%x\r\n%b\r\n" % (len(piece), piece)
        self._connection.write(piece)

    async def drain(self) -> None:
        """Wait until the caller has taken enough of what was written."""
        await self._connection.drain()

    def finish(self) -> None:
        """End a body that was started."""
        if self._chunked:
            self._connection.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Break the connection off, so that the answer cannot look whole."""
        self.finished = True
        self._connection.abort()

    def _begin(self, status: int, headers: list[Header]) -> None:
        self.started = True
        self.status = status
        if self._connection.close_after_answer:
            headers.append(("Connection", "close"))
        elif self._request.http_minor == 0:
            headers.append(("Connection", "keep-alive"))
        self._connection.write(head_bytes(status, headers))


def reject(responder: Responder, retry_after_s: float, status: int = 503) -> None:
    """Refuse a request that has not run and say when to come back."""
    headers: list[Header] = [("Retry-After", f"{retry_after_s:g}")]
    responder.send(status, headers)
