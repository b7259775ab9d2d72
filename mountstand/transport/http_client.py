"""An HTTP/1.1 client connection on asyncio, one request at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Iterable

from mountstand.transport.headers import Header, Headers
from mountstand.transport.reading import (
    MAX_PARTS_PER_READ,
    READ_BYTES,
    SMALL_PARTS_PAUSE_S,
    SmallReads,
)
from mountstand.transport.reply_reader import MalformedReply, ReplyHead, ReplyReader
from mountstand.transport.sockets import has_socket_error, has_unread_bytes

USER_TIMEOUT_MS = 3000
"""Unacknowledged bytes end a connection after this long; a machine without power says nothing."""

FORGOTTEN_FACTOR = 3.0
"""A reset within so many times the usual time of a connect answers the request's first packet."""

READ_AHEAD_BYTES = 64 * 1024
"""Reading pauses when so much of an answer has not been taken."""

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Bytes of a body that is read whole. Pages of the store's rows have a few megabytes at most."""


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


class ClientConnection(SmallReads):
    """One connection to a server."""

    def __init__(self) -> None:
        super().__init__()
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._reply: ReplyReader | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._broken: ReplyBroken | None = None
        self._in_exchange = False
        self._paused = False
        self._pause_timer: asyncio.TimerHandle | None = None
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

    # SmallReads

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the time after which silence ends the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def handle_bytes(self, data: memoryview) -> None:
        """Parse bytes of the server; bytes outside an exchange belong to no request."""
        self.last_received_at_s = self.last_bytes_at_s = self._loop.time()
        reply = self._reply
        if not self._in_exchange or reply is None or reply.complete:
            self.close()
            return
        parts_before = reply.body_parts
        try:
            reply.feed(data)
        except MalformedReply as problem:
            self.reusable = False
            if not reply.complete:
                self._break(ReplyBroken(str(problem)))
        self._wake()
        if reply.body_parts - parts_before > MAX_PARTS_PER_READ:
            self._pause_for(SMALL_PARTS_PAUSE_S)
        elif len(reply.body) > READ_AHEAD_BYTES:
            self._pause()

    def eof_received(self) -> bool:
        """Note an orderly close; it ends a body that has no length.

        It does not if the peer has yet to read the request: then it gave up midway. The connection
        stays, closed by the peer alone, so that a reset after the close can be told.
        """
        self.reusable = False
        self.ended_at_s = self._loop.time()
        if self._reply is None or not self._reply.ends_with_connection:
            return False
        if self._transport is not None and has_unread_bytes(self._transport):
            self._break(ReplyBroken("ended before the request was read"))
            return False
        self._reply.end_with_connection()
        self._wake()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Break an answer that is not whole."""
        self._transport = None
        self.reusable = False
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        if self._reply is None or not self._reply.complete:
            self._break(ReplyBroken("reset" if exc else "closed"))

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
        self._reply = ReplyReader(accepts or accept_any, has_body=method != "HEAD")
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
        reply = self._reply
        assert reply is not None
        while reply.head is None:
            await self._wait()
        return reply.head

    async def read_piece(self) -> bytes | None:
        """Wait for a piece of the body; ``None`` at its end. Raises ``ReplyBroken``.

        Other tasks run between two pieces, also if the next one is there already.
        """
        reply = self._reply
        assert reply is not None
        if reply.body:
            await asyncio.sleep(0)
        while not reply.body:
            if reply.complete:
                return None
            await self._wait()
        piece = reply.take_body(READ_BYTES)
        if self._pause_timer is None and len(reply.body) <= READ_AHEAD_BYTES // 2:
            self._resume()
        return piece

    async def read_body(self) -> bytes:
        """Wait for the whole body. Raises ``ReplyBroken``, also for one that does not end."""
        body = bytearray()
        while (piece := await self.read_piece()) is not None:
            body += piece
            if len(body) > MAX_BODY_BYTES:
                raise ReplyBroken(f"body of over {MAX_BODY_BYTES} bytes")
        return bytes(body)

    def end_exchange(self) -> bool:
        """Tell whether the connection may carry another request; close it if not."""
        ready = (
            self.reusable
            and self._reply is not None
            and self._reply.complete
            and self._reply.reusable
            and not self._paused
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )
        if self._reply is not None:
            self.keep_alive_s = self._reply.keep_alive_s
        self._in_exchange = False
        self._reply = None
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

    def _pause(self) -> None:
        if self._transport is not None and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def _pause_for(self, seconds: float) -> None:
        """Stop reading for a while, and until what has come is taken."""
        self._pause()
        if self._pause_timer is None:
            self._pause_timer = self._loop.call_later(seconds, self._end_timed_pause)

    def _end_timed_pause(self) -> None:
        self._pause_timer = None
        if self._reply is None or len(self._reply.body) <= READ_AHEAD_BYTES:
            self._resume()

    def _resume(self) -> None:
        if self._transport is not None and self._paused:
            self._paused = False
            self._transport.resume_reading()

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

    async def _wait(self) -> None:
        """Wait until something has come. Raises ``ReplyBroken``."""
        if self._broken is not None:
            raise self._broken
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


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
