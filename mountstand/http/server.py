"""A cheroot server for a CherryPy application, with take-over of a connection for streams."""

from __future__ import annotations

import logging
import select
import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass
from typing import Any

import cherrypy
from cheroot import wsgi

from mountstand.errors import PortUnavailable
from mountstand.http.problem import answer_exception, answer_http_error

logger = logging.getLogger(__name__)

TAKE_OVER_KEY = "mountstand.take_over_slot"
CONNECTION_KEY = "mountstand.connection"
LISTEN_BACKLOG = 1024
SOCKET_TIMEOUT_S = 10
START_POLL_S = 0.005
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Cache-Control: no-store\r\n"
    b"X-Request-Id: %s\r\n"
    b"Connection: close\r\n"
)

APPLICATION_CONFIG: dict[str, Any] = {
    "/": {
        "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
        "request.process_request_body": False,
        "request.error_response": answer_exception,
        "error_page.default": answer_http_error,
        "tools.log_tracebacks.on": False,
        "tools.log_headers.on": False,
        "tools.trailing_slash.on": False,
        "tools.encode.on": False,
    }
}


@dataclass(frozen=True)
class TakeOver:
    """Asks the server to give a caller's connection away after the handler returned.

    ``accept`` gets the caller's socket, the response head, and whether to send chunks.
    """

    request_id: str
    accept: Callable[[socket.socket, bytes, bool], None]


@dataclass
class TakeOverSlot:
    """Where a handler leaves its wish; CherryPy copies the environment, so it must be mutable."""

    take_over: TakeOver | None = None


class TakeOverGateway(wsgi.Gateway_10):
    """WSGI gateway that lets a handler take its connection over."""

    version = (1, 9)

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Add the connection to the environment."""
        environ: dict[str, Any] = super().get_environ()
        environ[TAKE_OVER_KEY] = TakeOverSlot()
        environ[CONNECTION_KEY] = self.req.conn
        environ["wsgi.version"] = (1, 0)
        return environ

    def respond(self) -> None:
        """Run the application, then give the connection away if the handler asked for that."""
        response = self.req.server.wsgi_app(self.env, self.start_response)
        take_over: TakeOver | None = self.env[TAKE_OVER_KEY].take_over
        try:
            if take_over is not None:
                self._give_away(take_over)
                return
            for chunk in filter(None, response):
                self.write(chunk)
        finally:
            if take_over is None:
                self.req.ensure_headers_sent()
            if hasattr(response, "close"):
                response.close()

    def _give_away(self, take_over: TakeOver) -> None:
        request = self.req
        request.sent_headers = True
        request.close_connection = True
        request.chunked_write = False
        # With linger set, cheroot neither shuts down nor closes the socket it has given away.
        request.conn.linger = True
        chunked = request.response_protocol == "HTTP/1.1"
        head = STREAM_HEAD % take_over.request_id.encode()
        head += b"Transfer-Encoding: chunked\r\n\r\n" if chunked else b"\r\n"
        take_over.accept(request.conn.socket.dup(), head, chunked)


class HttpServer:
    """One listening address, its threads and its application.

    ``on_unexpected_end`` is called, from a thread of the server, where it ends without a stop.
    """

    def __init__(self, address: str, port: int, threads: int, root: object) -> None:
        application = cherrypy.Application(root, "", APPLICATION_CONFIG)
        application.log.screen = False
        application.log.access_log.disabled = True
        application.log.error_log.disabled = True
        self._server = wsgi.Server(
            (address, port),
            application,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            server_name="mountstand",
            shutdown_timeout=2,
        )
        self._server.gateway = TakeOverGateway
        self._server.error_log = log_server_error  # type: ignore[method-assign]
        self._address = f"{address}:{port}"
        self._thread: threading.Thread | None = None
        self._stopping = False
        self.on_unexpected_end: Callable[[], None] = lambda: None

    @property
    def serving(self) -> bool:
        """Whether requests are answered."""
        return self._thread is not None and self._thread.is_alive()

    def listen(self) -> None:
        """Take the address; connections wait until :meth:`start`. Raises ``PortUnavailable``.

        Threads are daemonic if the one that makes them is. If one of the pool's cannot start, no
        stop of the server reaches the others, and they must not keep the process alive.
        """
        prepared: Future[None] = Future()
        threading.Thread(
            target=self._prepare, args=(prepared,), daemon=True, name="http listen"
        ).start()
        try:
            prepared.result()
        except OSError as problem:
            raise PortUnavailable(f"TCP {self._address}: {problem}") from None

    def start(self) -> None:
        """Serve those that connect; :meth:`listen` comes first."""
        thread = threading.Thread(target=self._serve, daemon=True, name="http")
        thread.start()
        # Only now: a thread that could not start serves nobody, and cannot be joined.
        self._thread = thread

    def check_serving(self) -> None:
        """Raise ``PortUnavailable`` if the server has ended: it starts threads as it begins."""
        if not self.serving:
            raise PortUnavailable(f"TCP {self._address}: the server has ended")

    def stop(self) -> None:
        """Stop accepting, let running handlers end, close."""
        self._stopping = True
        self._server.stop()
        if self._thread is not None:
            self._thread.join(5.0)

    def _serve(self) -> None:
        try:
            self._server.serve()
        except Exception:
            logger.exception("server failed", extra={"address": self._address})
        if not self._stopping:
            logger.error("server has ended", extra={"address": self._address})
            self.on_unexpected_end()

    def _prepare(self, prepared: Future[None]) -> None:
        try:
            self._server.prepare()
        except BaseException as problem:
            prepared.set_exception(problem)
        else:
            prepared.set_result(None)


def log_server_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Send cheroot's own complaints to the debug log; they are about callers, not the daemon."""
    logger.debug(msg, exc_info=traceback)


def caller_is_gone(environ: dict[str, Any]) -> bool:
    """Return whether the caller of the present request has closed its connection."""
    caller: socket.socket = environ[CONNECTION_KEY].socket
    # A socket with a time-out would wait for data even under MSG_DONTWAIT, so poll first.
    poller = select.poll()
    poller.register(caller, select.POLLIN)
    if not poller.poll(0):
        return False
    try:
        return caller.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True
