"""HTTP adapter of the back-end port: urllib3 connections and pools, checked answers.

Connections for whole answers are kept and reused after a clean exchange only. Streams and requests
that must not run twice get a connection of their own, so a connection that died while idle can
never be mistaken for a request that may have been run.
"""

from __future__ import annotations

import http.client
import logging
import select
import socket
import threading
import time
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum

import orjson
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from mountstand.clock import elapsed_s
from mountstand.engines.port import (
    BackendAnswer,
    BackendPort,
    BackendRequest,
    CacheEvent,
    CallerGone,
    LoadFigures,
    LoadModelOrder,
    LoadReport,
    OpenStream,
)
from mountstand.errors import (
    BackendFailed,
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    Executed,
    MountstandError,
)
from mountstand.store.http_adapters import HEADER_BYTES
from mountstand.store.ports import Machine
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.transport.bounded_reply import read_reply_body, read_reply_head
from mountstand.transport.forwarders import TURNED_AWAY_PAUSE_S, TURNED_AWAY_S

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
CALLER_CHECK_INTERVAL_S = 0.25
"""How often a wait looks whether the caller left, and whether the deadline passed during sleep."""

CONNECT_ERRORS = (HTTPError, OSError, http.client.InvalidURL, ValueError, OverflowError)
"""How a connect fails; the last three for an address that can't be one."""

CONTROL_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_PER_MACHINE = 64
IDLE_CONNECTION_S = 20.0
"""Idle connections older than this are closed; back ends commonly close theirs later."""

TURNED_AWAY_CHECKS = 2
"""Connects that must be turned away one after the other, each time that it is asked."""

READ_CHUNK_BYTES = 65536
GONE_STATUS = 499
LOAD_FIGURES = 5


class Contact(Enum):
    """What became of a connect to a machine."""

    REFUSED = "refused"
    TURNED_AWAY = "turned away"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class ControlReply:
    """A whole reply to a request of the daemon's own."""

    status: int
    body: bytes


class CallerLeft(BackendFailed):
    """The caller closed its connection while the back end was working."""

    code = "caller_left"
    title = "The caller left before the answer came"
    remedy = "None needed: the work was cancelled at the back end."


class ConnectionPool:
    """Idle connections by machine address, newest first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[tuple[float, HTTPConnection]]] = defaultdict(list)

    def take(self, machine: Machine) -> HTTPConnection | None:
        """Return a usable idle connection, or ``None``."""
        oldest_s = elapsed_s() - IDLE_CONNECTION_S
        with self._lock:
            idle = self._idle[machine.address, machine.port]
            while idle:
                returned_s, connection = idle.pop()
                if returned_s >= oldest_s and connection.is_connected:
                    return connection
                connection.close()
        return None

    def give_back(self, machine: Machine, connection: HTTPConnection) -> None:
        """Keep a connection whose exchange ended cleanly."""
        with self._lock:
            idle = self._idle[machine.address, machine.port]
            if len(idle) < IDLE_CONNECTIONS_PER_MACHINE:
                idle.append((elapsed_s(), connection))
                return
        connection.close()


class HttpBackend(BackendPort):
    """Back ends over HTTP; one instance serves all machines of a daemon."""

    def __init__(self, metrics: DaemonMetrics | None = None) -> None:
        self._metrics = metrics
        self._pool = ConnectionPool()
        self._control_pool = ConnectionPool()
        self._answered_at_s: dict[tuple[str, int], float] = {}
        """When a machine last answered anything, by its address."""

    def call(
        self,
        machine: Machine,
        request: BackendRequest,
        timeout_s: float,
        caller_gone: CallerGone | None = None,
    ) -> BackendAnswer:
        """Send a request and return its whole answer; see :meth:`BackendPort.call`."""
        deadline_s = elapsed_s() + timeout_s
        connection = self._pool.take(machine) or connect(machine, timeout_s)
        clean = False
        try:
            response = exchange_head(connection, request, deadline_s, caller_gone)
            self._note_answered(machine)
            ends_with_connection = response.length is None and not response.chunked
            body = read_body(response)
            clean = not response.will_close
            # An engine that ends closes its connections as one that has written all of an answer.
            if ends_with_connection and self.has_ended(machine):
                raise BackendFailed("the answer ended with its back end")
            check_answer(machine, request, response, body)
            return BackendAnswer(
                response.status,
                response.getheader("Content-Type", "application/json"),
                body,
                load_figures(response),
            )
        finally:
            end_exchange(self._pool, machine, connection, clean=clean)

    def open_stream(
        self,
        machine: Machine,
        request: BackendRequest,
        timeout_s: float,
        caller_gone: CallerGone | None = None,
    ) -> OpenStream:
        """Open a stream on a connection of its own; see :meth:`BackendPort.open_stream`."""
        deadline_s = elapsed_s() + timeout_s
        connection = connect(machine, timeout_s)
        # A connection lets go of its socket at a reply that ends with it, which keeps it open.
        stream_socket = connection.sock
        assert stream_socket is not None
        response = None
        try:
            response = exchange_head(connection, request, deadline_s, caller_gone)
            self._note_answered(machine)
            if response.status != http.client.OK:
                body = read_body(response)
                check_answer(machine, request, response, body)
                raise BackendFailed(f"status {response.status} instead of a stream")
            check_echo(machine, request, response)
            told_version = response.getheader("X-Software")
            if request.software_version is not None and told_version is not None:
                check_software(machine, request.software_version, told_version)
            first_bytes = read_first_bytes(stream_socket, response, deadline_s, caller_gone)
            # A duplicate, because the connection and the reply close their own socket below.
            return OpenStream(
                stream_socket.dup(),
                first_bytes,
                chunked=bool(response.chunked),
                load=load_figures(response),
                software_version=told_version,
            )
        finally:
            connection.close()
            if response is not None:
                response.close()

    def cancel(self, machine: Machine, request_id: str) -> None:
        """Stop a dispatched request; best effort."""
        try:
            self._control_request(machine, "DELETE", f"/v1/streams/{request_id}", None)
        except MountstandError as error:
            logger.debug("cancel failed", extra={"worker": machine.machine_id, "code": error.code})

    def has_ended(self, machine: Machine) -> bool:
        """Return whether nothing listens there, or behind it; see :meth:`BackendPort.has_ended`."""
        began_s = elapsed_s()
        for number in range(TURNED_AWAY_CHECKS):
            if number:
                time.sleep(TURNED_AWAY_PAUSE_S)
            contact = probe(machine)
            if contact is not Contact.TURNED_AWAY:
                return contact is Contact.REFUSED
        return self._answered_at_s.get((machine.address, machine.port), 0.0) <= began_s

    def _note_answered(self, machine: Machine) -> None:
        self._answered_at_s[machine.address, machine.port] = elapsed_s()

    def load(self, machine: Machine) -> LoadReport:
        """Return the back end's load report."""
        report = self._get_json(machine, "/load")
        try:
            return LoadReport(**report)
        except TypeError as problem:
            raise BackendFailed(f"{machine.machine_id}: load report: {problem}") from None

    def cache_events(self, machine: Machine, after: int) -> tuple[list[CacheEvent], int]:
        """Return cache changes numbered over ``after`` and the highest number covered."""
        report = self._get_json(machine, f"/cache_events?after={after}")
        return [CacheEvent(**event) for event in report["events"]], int(report["last"])

    def order_load_model(self, machine: Machine, order: LoadModelOrder) -> bool:
        """Give a fenced order; return ``False`` when the engine has seen a higher epoch."""
        body = {"epoch": order.epoch, "kind": "load_model"}
        body |= {"model": order.model, "version": order.version}
        reply = self._control_request(machine, "POST", "/orders", orjson.dumps(body))
        return reply.status == http.client.OK

    def _get_json(self, machine: Machine, path: str) -> dict:
        reply = self._control_request(machine, "GET", path, None)
        try:
            return orjson.loads(reply.body)
        except ValueError:
            raise BackendFailed(f"{machine.machine_id}: {path} is not JSON") from None

    def _control_request(
        self, machine: Machine, method: str, path: str, body: bytes | None
    ) -> ControlReply:
        deadline_s = elapsed_s() + CONTROL_TIMEOUT_S
        connection = self._control_pool.take(machine) or connect(machine, CONTROL_TIMEOUT_S)
        clean = False
        try:
            connection.request(method, path, body=body)
            response = read_reply_head(connection, deadline_s)
            self._note_answered(machine)
            reply = ControlReply(response.status, read_reply_body(response))
            clean = not response.will_close
        except (OSError, http.client.HTTPException, HTTPError) as problem:
            raise BackendFailed(f"{machine.machine_id}: {type(problem).__name__}") from None
        finally:
            end_exchange(self._control_pool, machine, connection, clean=clean)
        if self._metrics is not None:
            moved = 2 * HEADER_BYTES + len(body or b"") + len(reply.body)
            self._metrics.control_bytes.labels("worker").inc(moved)
        return reply


def probe(machine: Machine) -> Contact:
    """Connect to a machine, and see whether the connection is kept."""
    address = (machine.address, machine.port)
    try:
        with socket.create_connection(address, CONNECT_TIMEOUT_S) as conn:
            conn.settimeout(TURNED_AWAY_S)
            return Contact.OTHER if conn.recv(1) else Contact.TURNED_AWAY
    except ConnectionRefusedError:
        return Contact.REFUSED
    except (ConnectionResetError, BrokenPipeError):
        return Contact.TURNED_AWAY
    except CONNECT_ERRORS:
        return Contact.OTHER


def connect(machine: Machine, timeout_s: float) -> HTTPConnection:
    """Open a connection; raise ``BackendUnreachable`` when nothing could be sent."""
    connect_timeout_s = max(0.001, min(CONNECT_TIMEOUT_S, timeout_s))
    try:
        connection = HTTPConnection(machine.address, machine.port, timeout=connect_timeout_s)
        connection.connect()
    except CONNECT_ERRORS as problem:
        raise BackendUnreachable(f"{machine.machine_id}: {type(problem).__name__}") from None
    assert connection.sock is not None
    connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def exchange_head(
    connection: HTTPConnection,
    request: BackendRequest,
    deadline_s: float,
    caller_gone: CallerGone | None,
) -> http.client.HTTPResponse:
    """Send ``request`` and return the answer's head."""
    headers = {
        "Content-Type": "application/json",
        **request.headers,
        "X-Request-Id": request.request_id,
        "X-Priority": str(request.priority),
        "X-Label": request.label,
    }
    try:
        connection.request(request.method, request.path, body=request.body, headers=headers)
        assert connection.sock is not None
        wait_for_answer(connection.sock, deadline_s, caller_gone)
        return read_reply_head(connection, deadline_s)
    except TimeoutError:
        raise DeadlineExceeded() from None
    except (OSError, http.client.HTTPException, HTTPError) as problem:
        raise BackendFailed(f"the exchange broke: {type(problem).__name__}") from None


def end_exchange(
    pool: ConnectionPool, machine: Machine, connection: HTTPConnection, *, clean: bool
) -> None:
    """Keep a connection whose exchange ended cleanly, close any other."""
    if clean:
        pool.give_back(machine, connection)
    else:
        connection.close()


def read_body(response: http.client.HTTPResponse) -> bytes:
    """Read the whole body; a body shorter than announced is an error."""
    try:
        return read_reply_body(response)
    except TimeoutError:
        raise DeadlineExceeded() from None
    except (OSError, http.client.HTTPException) as problem:
        raise BackendFailed(f"the answer broke off: {type(problem).__name__}") from None


def wait_for_answer(sock: socket.socket, deadline_s: float, caller_gone: CallerGone | None) -> None:
    """Wait until the back end sends something, the deadline passes or the caller leaves."""
    while True:
        left_s = deadline_s - elapsed_s()
        if left_s <= 0:
            raise DeadlineExceeded()
        interval_s = min(left_s, CALLER_CHECK_INTERVAL_S)
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        if poller.poll(interval_s * 1000):
            return
        if caller_gone is not None and caller_gone():
            raise CallerLeft()


def read_first_bytes(
    sock: socket.socket,
    response: http.client.HTTPResponse,
    deadline_s: float,
    caller_gone: CallerGone | None,
) -> bytes:
    """Wait for the first bytes of a stream's body; raise ``BackendFailed`` if it ends before."""
    buffered = buffered_bytes(sock, response)
    while not buffered:
        wait_for_answer(sock, deadline_s, caller_gone)
        buffered = buffered_bytes(sock, response)
        if not buffered and is_closed(sock):
            raise BackendFailed("the stream ended before its first byte")
    return buffered


def buffered_bytes(sock: socket.socket, response: http.client.HTTPResponse) -> bytes:
    """Take the body bytes that have arrived, without waiting and without decoding them."""
    if response.fp is None:
        return b""
    sock.setblocking(False)
    taken = response.fp.peek(READ_CHUNK_BYTES)
    return response.fp.read(len(taken)) if taken else b""


def is_closed(sock: socket.socket) -> bool:
    """Return whether the back end has closed its side."""
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def load_figures(response: http.client.HTTPResponse) -> LoadFigures | None:
    """Return the load that an answer states in ``X-Load``: five numbers, comma-separated."""
    numbers = response.getheader("X-Load", "").split(",")
    if len(numbers) != LOAD_FIGURES or not all(number.isdigit() for number in numbers):
        return None
    return LoadFigures(*(int(number) for number in numbers))


def check_answer(
    machine: Machine, request: BackendRequest, response: http.client.HTTPResponse, body: bytes
) -> None:
    """Raise unless the answer is a whole answer to ``request`` that the back end ran."""
    if response.getheader("X-Executed") == Executed.NO.value:
        retry_after = response.getheader("Retry-After")
        raise BackendRefused(
            f"{machine.machine_id}: status {response.status}",
            retry_after_s=float(retry_after) if retry_after else None,
        )
    # The library takes only 100 for an interim answer; any other below 200 would look final.
    is_final = response.status >= http.client.OK
    has_failed = response.status >= http.client.INTERNAL_SERVER_ERROR
    if not is_final or has_failed or response.status == GONE_STATUS:
        raise BackendFailed(f"{machine.machine_id}: status {response.status}")
    if response.status < http.client.BAD_REQUEST:
        check_echo(machine, request, response)


class CrossedAnswer(BackendFailed):
    """The answer belongs to another request and was discarded."""

    code = "crossed_answer"
    title = "The back end sent the answer to another request"


def check_echo(
    machine: Machine, request: BackendRequest, response: http.client.HTTPResponse
) -> None:
    """Raise ``CrossedAnswer`` unless the back end echoes the dispatch id."""
    if response.getheader("X-Request-Id") != request.request_id:
        raise CrossedAnswer(machine.machine_id)


class OtherSoftware(BackendFailed):
    """The back end runs another version than the list of machines names; it was broken off."""

    code = "other_software"
    title = "The back end runs another version of its software"


def check_software(machine: Machine, version: str, told_version: str) -> None:
    """Raise ``OtherSoftware`` unless the back end runs a version of its software."""
    if told_version != version:
        raise OtherSoftware(f"{machine.machine_id}: {told_version} instead of {version}")
