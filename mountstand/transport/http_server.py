"""An HTTP/1.1 server on asyncio, parsed by httptools.

Each connection runs one request at a time in a task of its own. The task is cancelled as soon as
the caller closes the connection, so that work at a worker ends with it.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from mountstand.transport.headers import Header, Headers
from mountstand.transport.reading import MAX_PARTS_PER_READ, SMALL_PARTS_PAUSE_S, SmallReads
from mountstand.transport.responder import CallerGone, Responder, ServerRequest, head_bytes
from mountstand.transport.sockets import reset

logger = logging.getLogger(__name__)

MAX_PIPELINED_REQUESTS = 8
"""Requests that a caller may send ahead; one that sends more is cut off."""

MAX_HEADER_LINES = 256
"""Lines of a request's head. Short ones take many times their bytes in memory."""

WRITE_BUFFER_BYTES = 256 * 1024
RETRY_MEMORY_S = 0.5
"""When a caller is told to come back whose body found no room."""

BACKLOG = 1024
TIMER_SLACK_S = 0.05

FIRST_REQUEST_S = 0.5
"""How long a connection that brought no request yet is kept by a planned stop. Its first request
is on its way within a round trip; links with the longest delays known take 0.03 s."""


@dataclass
class ServerLimits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


Handler = Callable[[ServerRequest, Responder], Awaitable[None]]


@dataclass
class _Incoming:
    """A request while it is being read."""

    received_at_s: float
    url: bytes = b""
    headers: list[Header] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    body_parts: int = 0
    counted_bytes: int = 0
    """Bytes of the body that the server has counted as held."""

    framing_bytes: int = 0
    """Bytes of the head, or since the latest part of the body."""

    head_complete: bool = False


class _Rejected(Exception):
    """A request that is answered by the connection itself."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class ServerConnection(SmallReads):
    """One connection of a caller."""

    def __init__(self, server: HttpServer) -> None:
        super().__init__()
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._incoming: _Incoming | None = None
        self._waiting: deque[ServerRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._rejected = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None
        self._expires_at_s = 0.0
        self._held_bytes = 0
        self._asked = False
        self.close_after_answer = False

    # SmallReads

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self.close_after_answer = self._server.closing
        stopped = self._server.stopped_listening
        idle_s = FIRST_REQUEST_S if stopped else self._server.limits.idle_timeout_s
        self._expire_after(idle_s)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request in progress, since nobody waits for its answer."""
        self._transport = None
        self._server.connections.discard(self)
        self._let_go()
        self._writable.set()
        self._waiting.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Treat a caller that stops sending as gone."""
        return False

    def pause_writing(self) -> None:
        """Stop writers until the caller reads."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    def handle_bytes(self, data: memoryview) -> None:
        """Parse bytes of the caller."""
        if self._rejected:
            return
        if self._incoming is None and self._task is None:
            self._begin_message()
        incoming = self._incoming
        parts_before = incoming.body_parts if incoming is not None else 0
        if incoming is not None:
            incoming.framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_size()
        except _Rejected as rejection:
            self._reject(rejection.status)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as problem:
            cause = problem.__context__
            self._reject(cause.status if isinstance(cause, _Rejected) else 400)
        if incoming is not None and incoming.body_parts - parts_before > MAX_PARTS_PER_READ:
            self._pause_reading()

    def _pause_reading(self) -> None:
        """Stop reading for a while, since small parts take long to read."""
        if self._transport is not None:
            self._transport.pause_reading()
            self._loop.call_later(SMALL_PARTS_PAUSE_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport is not None:
            self._transport.resume_reading()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._incoming is None:
            self._begin_message()

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        assert self._incoming is not None
        self._incoming.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header. Those behind a body are dropped, as they are none of the head."""
        assert self._incoming is not None
        if self._incoming.head_complete:
            return
        if len(self._incoming.headers) >= MAX_HEADER_LINES:
            raise _Rejected(431)
        self._incoming.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the head."""
        incoming = self._incoming
        assert incoming is not None
        incoming.head_complete = True
        incoming.framing_bytes = 0
        headers = Headers(incoming.headers)
        hosts = headers.all("host")
        if len(hosts) != 1 or not incoming.url.startswith(b"/"):
            raise _Rejected(400)
        encoding = headers.get("transfer-encoding")
        if encoding is not None and encoding.strip().lower() != "chunked":
            raise _Rejected(400)
        length = headers.get("content-length")
        if length is not None and int(length) > self._server.limits.max_body_bytes:
            raise _Rejected(413)
        self._expire_after(self._server.limits.idle_timeout_s)
        if (headers.get("expect") or "").lower() == "100-continue" and self._task is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        incoming = self._incoming
        assert incoming is not None
        incoming.body += body
        incoming.body_parts += 1
        incoming.framing_bytes = 0
        if len(incoming.body) > self._server.limits.max_body_bytes:
            raise _Rejected(413)

    def on_message_complete(self) -> None:
        """Hand a whole request on."""
        incoming = self._incoming
        assert incoming is not None
        self._count_body(incoming)
        self._incoming = None
        request = ServerRequest(
            self._parser.get_method().decode("latin-1"),
            incoming.url.decode("latin-1"),
            Headers(incoming.headers),
            bytes(incoming.body),
            incoming.received_at_s,
            self._parser.should_keep_alive(),
            0 if self._parser.get_http_version() == "1.0" else 1,
        )
        self._waiting.append(request)
        if len(self._waiting) > MAX_PIPELINED_REQUESTS:
            raise _Rejected(400)
        if self._task is None:
            self._start_next()

    # Writing

    def write(self, data: bytes) -> None:
        """Write bytes, unless the caller is gone."""
        if self._transport is None:
            raise CallerGone
        self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the write buffer is below its limit."""
        await self._writable.wait()
        if self._transport is None:
            raise CallerGone

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            reset(self._transport)

    def close_when_idle(self) -> None:
        """Close if no request is being read or answered, else after the answer.

        A caller that has just connected is given time to send its first request.
        """
        self.close_after_answer = True
        if self._asked:
            self._close_if_idle()
        else:
            self._loop.call_later(FIRST_REQUEST_S, self._close_if_idle)

    def _close_if_idle(self) -> None:
        if self.idle and self._transport is not None:
            self._transport.close()

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered."""
        return self._task is None and self._incoming is None and not self._waiting

    # Requests

    def _begin_message(self) -> None:
        self._asked = True
        self._incoming = _Incoming(self._loop.time())
        self._expire_after(self._server.limits.header_timeout_s)

    def _check_size(self) -> None:
        incoming = self._incoming
        if incoming is None:
            return
        if incoming.framing_bytes > self._server.limits.max_header_bytes:
            raise _Rejected(431)
        if incoming.head_complete:
            self._count_body(incoming)

    def _count_body(self, incoming: _Incoming) -> None:
        """Count what has come of a body as held, and give its caller more time."""
        bytes_more = len(incoming.body) - incoming.counted_bytes
        if not bytes_more:
            return
        incoming.counted_bytes += bytes_more
        self._held_bytes += bytes_more
        self._server.hold(bytes_more)
        if self._server.over_memory:
            raise _Rejected(503)
        self._expire_after(self._server.limits.idle_timeout_s)

    def _reject(self, status: int) -> None:
        """Answer a malformed request and close; requests before it keep their answers."""
        self._rejected = True
        self.close_after_answer = True
        if self._task is not None or self._transport is None:
            return
        self._server.on_rejected(status)
        headers = [("Content-Length", "0"), ("Connection", "close")]
        if status == 503:
            headers.append(("Retry-After", f"{RETRY_MEMORY_S:g}"))
        self._transport.write(head_bytes(status, headers))
        self._transport.close()

    def _start_next(self) -> None:
        request = self._waiting.popleft()
        self._expires_at_s = 0.0
        self._task = self._loop.create_task(self._run(request))

    async def _run(self, request: ServerRequest) -> None:
        if not request.keep_alive:
            self.close_after_answer = True
        responder = Responder(self, request)
        try:
            await self._server.handler(request, responder)
            if not responder.finished:
                responder.abort()
        except CallerGone:
            pass
        except Exception:
            logger.exception("handler failed")
            self._fail(responder)
        finally:
            self._task = None
            self._after_answer()

    def _fail(self, responder: Responder) -> None:
        if responder.started:
            self.abort()
        elif self._transport is not None:
            responder.send(500)

    def _let_go(self) -> None:
        """Count the bodies of this connection as held no longer."""
        self._server.hold(-self._held_bytes)
        self._held_bytes = 0

    def _after_answer(self) -> None:
        if self._transport is None:
            return
        if not self._waiting and self._incoming is None:
            self._let_go()
        if self._waiting and not self.close_after_answer:
            self._start_next()
        elif self.close_after_answer:
            self._transport.close()
        else:
            self._expire_after(self._server.limits.idle_timeout_s)

    # Timer

    def _expire_after(self, seconds: float) -> None:
        """Close the connection in ``seconds`` unless called again; one timer, moved lazily."""
        self._expires_at_s = self._loop.time() + seconds
        if self._timer is None or self._timer.when() > self._expires_at_s + TIMER_SLACK_S:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._loop.call_at(self._expires_at_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._transport is None or self._expires_at_s == 0.0:
            return
        if self._loop.time() + TIMER_SLACK_S < self._expires_at_s:
            self._timer = self._loop.call_at(self._expires_at_s, self._on_timer)
        elif self._incoming is not None and self._task is None:
            self._reject(408)
        else:
            self._transport.close()


class HttpServer:
    """Listens on one address and hands whole requests to ``handler``."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        on_rejected: Callable[[int], None] = lambda status: None,
        max_connections: int = 4096,
        max_held_bytes: int = 64 * 1024 * 1024,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.on_rejected = on_rejected
        self.connections: set[ServerConnection] = set()
        self._max_connections = max_connections
        self._max_held_bytes = max_held_bytes
        self._held_bytes = 0
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._accepting: set[asyncio.Task[object]] = set()
        self.closing = False
        """Whether connections end with their next answer."""

        self.stopped_listening = False

    async def start(self, address: str, port: int) -> int:
        """Listen; returns the port."""
        loop = asyncio.get_running_loop()
        self._listener = socket.create_server((address, port), backlog=BACKLOG)
        self._listener.setblocking(False)
        self._server = await loop.create_server(
            self._connection, sock=self._listener, backlog=BACKLOG
        )
        return int(self._listener.getsockname()[1])

    def _connection(self) -> asyncio.BaseProtocol:
        if len(self.connections) >= self._max_connections:
            return _Refusal()
        return ServerConnection(self)

    def hold(self, change_bytes: int) -> None:
        """Count bytes of bodies that are held until their answers are sent."""
        self._held_bytes += change_bytes

    @property
    def over_memory(self) -> bool:
        """Whether bodies of all connections together take more than they may."""
        return self._held_bytes > self._max_held_bytes

    def stop_listening(self) -> None:
        """Take no new connections but those that wait at the listener already."""
        self.stopped_listening = True
        self._accept_waiting()
        if self._server is not None:
            self._server.close()

    def _accept_waiting(self) -> None:
        """Accept what callers opened; closing the listener would reset it unread."""
        loop = asyncio.get_running_loop()
        while self._listener is not None and self._listener.fileno() >= 0:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            conn.setblocking(False)
            task = loop.create_task(loop.connect_accepted_socket(self._connection, conn))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def close_idle(self) -> None:
        """Close connections that rest; others close after their answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.close_when_idle()

    def announce_close(self) -> None:
        """Let every connection end with its next answer, without closing those that rest."""
        self.closing = True
        for connection in self.connections:
            connection.close_after_answer = True


class _Refusal(asyncio.Protocol):
    """A connection over the limit: closed unread, which lets the caller try elsewhere."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close at once."""
        transport.close()
