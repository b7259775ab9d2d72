"""An HTTP/1.1 client connection on asyncio, parsed by httptools, one request at a time."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import httptools

from mountstand.transport.headers import Header, Headers, number
from mountstand.transport.sockets import has_socket_error, has_unread_bytes

USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes end a connection after this long; a machine without power says nothing."""

FORGOTTEN_FACTOR = 3.0
"""A reset within so many times the usual time of a connect answers the request's first packet."""

READ_AHEAD_BYTES = 1024 * 1024
"""Reading pauses when so much of an answer has not been taken."""

MAX_UNDELIVERED_BYTES = 1024 * 1024
"""An answer is broken off after so many bytes without its head or a piece of its body: a head,
interim answers, an answer to another request, or trailers that do not end."""


class ConnectFailed(Exception):
    """No connection came up, so nothing was sent.

    ``refused`` tells that the machine answered and nothing listens there; silence has other causes.
    ``reset`` tells that something accepted the connection and closed it before this end knew.
    """

    def __init__(self, reason: str, *, refused: bool = False, reset: bool = False) -> None:
        super().__init__(reason)
        self.refused = refused
        self.reset = reset


class ReplyBroken(Exception):
    """The connection ended, or carried bytes that are no answer, before the answer was whole."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True)
class ReplyHead:
    """Status and headers of an answer; ``length`` is ``None`` where none was told."""

    status: int
    headers: Headers
    length: int | None
    chunked: bool

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells that the answer has ended."""
        return self.length is None and not self.chunked


INTERIM_STATUSES = frozenset({100, 102, 103})
"""Statuses of heads that come before the answer's own. 101 would end the protocol; for others the
parser reads a body."""

FINAL_STATUSES = range(200, 600)
"""Statuses of answers; no other number says whether a request has succeeded."""


class _OddStatus(Exception):
    """A head whose status is none of HTTP."""


_END = None
"""Marks the end of a whole body in the queue of received parts."""


class ClientConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[Header] = []
        self._parts: deque[ReplyHead | bytes | None] = deque()
        self._queued_bytes = 0
        self._undelivered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._broken: ReplyBroken | None = None
        self._in_exchange = False
        self._until_close = False
        self._complete = False
        self._no_body = False
        self._foreign = False
        self._accepts: Callable[[Headers], bool] = accept_any
        self._paused = False
        self.reusable = True
        self.last_received_at_s = self._loop.time()
        """When bytes came last, or the connection was made."""

        self.last_bytes_at_s = float("-inf")
        """When bytes came last."""

        self.ended_at_s = float("inf")
        """When the peer's orderly close was read."""

        self.unfinished_ids: set[str] = set()
        """Ids of requests that were answered here and may be sent again."""

        self.idle_since_s: float | None = None
        self.sent_at_s = 0.0
        self.keep_alive_s: float | None = None

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time after which silence ends the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the server; bytes outside an exchange belong to no request."""
        self.last_received_at_s = self.last_bytes_at_s = self._loop.time()
        if not self._in_exchange or self._parser is None or self._complete:
            self.close()
            return
        self._undelivered_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as problem:
            self.reusable = False
            if not self._complete:
                cause = problem.__context__ or problem
                self._break(ReplyBroken(f"malformed: {cause}"))
        except httptools.HttpParserUpgrade:
            self.reusable = False
            self._break(ReplyBroken("protocol switch"))
        if self._undelivered_bytes > MAX_UNDELIVERED_BYTES:
            self._break(ReplyBroken("no answer within 1 MiB"))

    def eof_received(self) -> bool:
        """Note an orderly close; it ends a body that has no length.

        It does not if the peer has yet to read the request: then it gave up midway. The connection
        stays, closed by the peer alone, so that a reset after the close can be told.
        """
        self.reusable = False
        self.ended_at_s = self._loop.time()
        if not self._until_close or self._complete:
            return False
        if self._transport is not None and has_unread_bytes(self._transport):
            self._break(ReplyBroken("ended before the request was read"))
            return False
        self._finish()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Break an answer that is not whole."""
        self._transport = None
        self.reusable = False
        if not self._complete:
            self._break(ReplyBroken("reset" if exc else "closed"))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; one more after a whole one belongs to no request."""
        if self._complete:
            self.reusable = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Hand the head on, unless it is an interim answer."""
        assert self._parser is not None
        status = self._parser.get_status_code()
        if self._complete or status in INTERIM_STATUSES:
            return
        if status not in FINAL_STATUSES:
            raise _OddStatus(f"status {status:03d}")
        headers = Headers(self._headers)
        self._foreign = not self._accepts(headers)
        if self._foreign:
            self.reusable = False
            return
        length = number(headers.get("content-length"))
        chunked = "chunked" in (headers.get("transfer-encoding") or "").lower()
        bodiless = self._no_body or status in (204, 304)
        self._until_close = length is None and not chunked and not bodiless
        self._note_keep_alive(headers)
        self._put(ReplyHead(status, headers, 0 if bodiless else length, chunked))
        if self._no_body:
            self.reusable = False
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Hand a piece of the body on."""
        if self._complete or self._foreign:
            return
        self._queued_bytes += len(body)
        self._put(body)
        if self._queued_bytes > READ_AHEAD_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the answer."""
        assert self._parser is not None
        if self._complete or self._parser.get_status_code() in INTERIM_STATUSES:
            return
        if self._foreign:
            self._foreign = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self._finish()

    # One exchange

    def send(
        self,
        method: str,
        target: str,
        headers: Iterable[Header],
        body: bytes = b"",
        accepts: Callable[[Headers], bool] | None = None,
    ) -> None:
        """Send a request. Raises ``ReplyBroken`` if the connection is gone already.

        Raises ``ValueError`` for a line break within a line, which would begin another request.
        Answers whose headers ``accepts`` turns down belong to other requests and are dropped.
        """
        if self._transport is None or self._transport.is_closing():
            raise ReplyBroken("closed before sending")
        self._parser = httptools.HttpResponseParser(self)
        self._parts.clear()
        self._queued_bytes = 0
        self._undelivered_bytes = 0
        self._complete = False
        self._until_close = False
        self._no_body = method == "HEAD"
        self._foreign = False
        self._accepts = accepts or accept_any
        self._in_exchange = True
        self.sent_at_s = self._loop.time()
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError(f"a line break in a request to {target!r}")
        if body or method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        self._transport.write(head + body)

    async def read_head(self) -> ReplyHead:
        """Wait for the head. Raises ``ReplyBroken``."""
        part = await self._next()
        assert isinstance(part, ReplyHead)
        return part

    async def read_piece(self) -> bytes | None:
        """Wait for a piece of the body; ``None`` at its end. Raises ``ReplyBroken``."""
        part = await self._next()
        assert not isinstance(part, ReplyHead)
        if part is not None:
            self._queued_bytes -= len(part)
            if self._paused and self._queued_bytes < READ_AHEAD_BYTES // 2:
                self._paused = False
                if self._transport is not None:
                    self._transport.resume_reading()
        return part

    async def read_body(self) -> bytes:
        """Wait for the whole body. Raises ``ReplyBroken``."""
        pieces = []
        while (piece := await self.read_piece()) is not None:
            pieces.append(piece)
        return b"".join(pieces)

    def end_exchange(self) -> bool:
        """Tell whether the connection may carry another request; close it if not."""
        ready = (
            self.reusable
            and self._complete
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )
        self._in_exchange = False
        self.idle_since_s = self._loop.time()
        if not ready:
            self.close()
        return ready

    def close(self) -> None:
        """Close at once, dropping what was not sent."""
        self.reusable = False
        if self._transport is not None:
            self._transport.abort()

    @property
    def was_reset(self) -> bool:
        """Whether the peer has reset the connection, maybe after an orderly close."""
        if self._transport is None:
            return self._broken is not None
        return has_socket_error(self._transport)

    @property
    def open(self) -> bool:
        """Whether a request may be sent."""
        return self.reusable and self._transport is not None and not self._transport.is_closing()

    def idle_s(self, now_s: float) -> float:
        """Return how long the connection has been idle, or was before its present exchange."""
        if self.idle_since_s is None:
            return 0.0
        return (self.sent_at_s if self._in_exchange else now_s) - self.idle_since_s

    def was_forgotten(self, now_s: float, usual_connect_s: float) -> bool:
        """Return whether the peer had forgotten this connection before the present exchange.

        It then refuses the request as fast as it accepts connections, without a byte. A worker
        that ran a request before it broke off takes longer.
        """
        if self.idle_since_s is None or self.last_received_at_s >= self.sent_at_s:
            return False
        return now_s - self.sent_at_s <= FORGOTTEN_FACTOR * usual_connect_s

    # Internals

    def _note_keep_alive(self, headers: Headers) -> None:
        if (headers.get("connection") or "").lower() == "close":
            self.reusable = False
        self.keep_alive_s = None
        for word in (headers.get("keep-alive") or "").split(","):
            name, _, value = word.strip().partition("=")
            if name.lower() == "timeout":
                self.keep_alive_s = float(number(value) or 0)

    def _put(self, part: ReplyHead | bytes | None) -> None:
        self._parts.append(part)
        self._undelivered_bytes = 0
        self._wake()

    def _finish(self) -> None:
        self._complete = True
        self._put(_END)

    def _break(self, problem: ReplyBroken) -> None:
        if self._broken is None:
            self._broken = problem
        self.reusable = False
        self._wake()
        if self._transport is not None:
            self._transport.abort()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _next(self) -> ReplyHead | bytes | None:
        while not self._parts:
            if self._broken is not None:
                raise self._broken
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._parts.popleft()


def accept_any(headers: Headers) -> bool:
    """Take every answer as the one asked for."""
    return True


async def connect(host: str, port: int, timeout_s: float) -> ClientConnection:
    """Open a connection. Raises ``ConnectFailed``, also for an address that can't be one."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(ClientConnection, host, port)
    except (OSError, TimeoutError, ValueError, OverflowError) as problem:
        raise ConnectFailed(
            str(problem) or type(problem).__name__,
            refused=isinstance(problem, ConnectionRefusedError),
            reset=isinstance(problem, ConnectionResetError | BrokenPipeError),
        ) from None
    return protocol
