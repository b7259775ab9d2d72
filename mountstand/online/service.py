"""Online requests of one daemon: admission, dispatch, idempotency and held streams together."""

from __future__ import annotations

import logging
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, replace

import orjson

from mountstand.clock import elapsed_s
from mountstand.engines.port import BackendAnswer, BackendPort, BackendRequest, OpenStream
from mountstand.errors import MountstandError
from mountstand.online.admission import Ticket
from mountstand.online.admission_gate import AdmissionGate
from mountstand.online.dispatcher import ONLINE_PRIORITY, Dispatched, Dispatcher
from mountstand.online.event_stream import EventStreamDecoder
from mountstand.online.idempotency import IdempotentRunner
from mountstand.online.request import OnlineRequest
from mountstand.online.stream_relay import (
    RelayedStream,
    StreamEnd,
    StreamRelay,
    abort_caller,
)
from mountstand.quarantine.threads import ContentQuarantine
from mountstand.routing.fleet_view import DispatchOutcome
from mountstand.routing.router import Router
from mountstand.store.ports import Machine, TablePort
from mountstand.telemetry.metrics import DaemonMetrics

logger = logging.getLogger(__name__)

RECOVERY_THREADS = 16
RECOVERY_TIMEOUT_S = 10.0
MAX_RECOVERIES = 3
"""Times one stream is continued after a break; then the caller is told."""


@dataclass
class StreamLease:
    """What an open stream holds until it ends."""

    request: OnlineRequest
    ticket: Ticket
    machine: Machine
    request_id: str
    started_s: float
    sent_at_s: float
    """When it was sent to the present machine; the same clock as ``started_s``."""

    software_version: str
    """The version that writes it: as its engine told, or else as the list named it."""

    recoveries: int = 0


class OnlineService:
    """Runs online requests; thread-safe."""

    def __init__(
        self,
        router: Router,
        backend: BackendPort,
        table: TablePort,
        metrics: DaemonMetrics,
        quarantine: ContentQuarantine,
    ) -> None:
        self._backend = backend
        self._metrics = metrics
        self.gate = AdmissionGate(router.capacity)
        self._dispatcher = Dispatcher(
            router, backend, metrics, self.gate.record_backend_full, quarantine
        )
        self._idempotent = IdempotentRunner(table)
        self.relay = StreamRelay(metrics)
        self._recovery = ThreadPoolExecutor(RECOVERY_THREADS, thread_name_prefix="stream-recovery")
        self._in_progress = 0
        self._in_progress_lock = threading.Lock()

    @property
    def in_progress(self) -> int:
        """Requests that have come in and not ended: waiting, running, relayed or in recovery."""
        return self._in_progress

    def call(self, request: OnlineRequest) -> BackendAnswer:
        """Run a request and return its whole answer."""
        self._dispatcher.check(request)
        self._count_in_progress(1)
        try:
            with self.gate.admitted(request.service, request.tenant, request.deadline_s):
                if request.idempotency_key and not request.repeatable:
                    return self._idempotent.run(request, lambda: self._dispatch(request))
                return self._dispatch(request)
        finally:
            self._count_in_progress(-1)

    def open_stream(self, request: OnlineRequest) -> tuple[StreamLease, OpenStream]:
        """Start a stream; hand the result to :meth:`hold_stream`."""
        self._dispatcher.check(request)
        self._count_in_progress(1)
        try:
            return self._open_stream(request)
        except BaseException:
            self._count_in_progress(-1)
            raise

    def _open_stream(self, request: OnlineRequest) -> tuple[StreamLease, OpenStream]:
        ticket = self.gate.enter(request.service, request.tenant, request.deadline_s)
        started_s = elapsed_s()
        try:
            opened = self._dispatcher.open_stream(request)
        except BaseException:
            self.gate.leave(request.service, ticket, elapsed_s() - started_s)
            raise
        self._metrics.first_token.observe(elapsed_s() - request.arrival_s)
        lease = StreamLease(
            request,
            ticket,
            opened.machine,
            opened.request_id,
            started_s,
            sent_at_s=started_s,
            software_version=version_of(opened),
        )
        return lease, opened.result

    def hold_stream(
        self,
        lease: StreamLease,
        opened: OpenStream,
        caller: socket.socket,
        head: bytes,
        *,
        chunked_to_caller: bool,
    ) -> None:
        """Relay a stream to a caller's connection until it ends."""
        stream = RelayedStream(
            caller=caller,
            upstream=opened.socket,
            decoder=EventStreamDecoder(chunked=opened.chunked),
            first_bytes=opened.first_bytes,
            on_end=lambda ended, end: self._handle_stream_end(lease, ended, end),
            chunked_to_caller=chunked_to_caller,
            head=head,
        )
        self.relay.add(stream)

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait for every request in progress to end; return whether all did."""
        deadline_s = elapsed_s() + timeout_s
        while self._in_progress:
            if elapsed_s() >= deadline_s:
                return False
            time.sleep(0.02)
        return True

    def _count_in_progress(self, change: int) -> None:
        with self._in_progress_lock:
            self._in_progress += change

    def _dispatch(self, request: OnlineRequest) -> BackendAnswer:
        dispatched: Dispatched[BackendAnswer] = self._dispatcher.call(request)
        return dispatched.result

    def _handle_stream_end(self, lease: StreamLease, stream: RelayedStream, end: StreamEnd) -> None:
        if end is StreamEnd.BROKEN:
            self._dispatcher.note_stream_broken(lease.request, lease.machine, lease.sent_at_s)
            self._recovery.submit(self._recover, lease, stream)
            return
        if end is StreamEnd.CALLER_LEFT:
            self._dispatcher.cancel(lease.machine, lease.request_id)
            self._release(lease, DispatchOutcome.NEUTRAL)
        else:
            self._dispatcher.note_stream_whole(lease.request)
            self._release(lease, DispatchOutcome.SUCCESS)

    def _release(self, lease: StreamLease, outcome: DispatchOutcome) -> None:
        self._count_in_progress(-1)
        self._dispatcher.end_stream(lease.machine, outcome)
        service_time_s = elapsed_s() - lease.started_s
        self.gate.leave(lease.request.service, lease.ticket, service_time_s)
        self._metrics.online_requests.labels(lease.request.service, outcome.value).inc()

    def _recover(self, lease: StreamLease, stream: RelayedStream) -> None:
        """Continue a broken stream: resume at the engine, else run it again elsewhere."""
        lease.recoveries += 1
        try:
            if lease.recoveries > MAX_RECOVERIES:
                raise MountstandError("the stream broke too often")
            if not self._resume(lease, stream):
                self._run_again(lease, stream)
        except MountstandError as error:
            logger.info("stream cut off", extra={"code": error.code, "detail": error.detail})
            abort_caller(stream, error_event(error))
            self._release(lease, DispatchOutcome.FAILED)
            return
        except Exception:
            logger.exception("stream recovery failed")
            abort_caller(stream, error_event(MountstandError()))
            self._release(lease, DispatchOutcome.FAILED)
            return
        self._metrics.streams_resumed.inc()
        self.relay.add(stream)

    def _resume(self, lease: StreamLease, stream: RelayedStream) -> bool:
        """Ask the same engine to continue; return whether it did."""
        body = {
            "offset": stream.frames_relayed,
            "chat": lease.request.path.endswith("/chat/completions"),
        }
        dispatch = BackendRequest(
            request_id=lease.request_id,
            method="POST",
            path=f"/v1/streams/{lease.request_id}/resume",
            body=orjson.dumps(body),
            priority=ONLINE_PRIORITY,
        )
        try:
            opened = self._backend.open_stream(lease.machine, dispatch, RECOVERY_TIMEOUT_S)
        except MountstandError:
            return False
        stream.replace_upstream(opened.socket, opened.first_bytes, opened.chunked, 0)
        return True

    def _run_again(self, lease: StreamLease, stream: RelayedStream) -> None:
        """Run the request on another worker and drop the frames already relayed.

        Another version of the worker's software would not write the same frames again.
        """
        if not lease.request.repeatable:
            raise MountstandError("the stream broke and must not run twice")
        self._dispatcher.cancel(lease.machine, lease.request_id)
        again = extend_deadline(lease.request, RECOVERY_TIMEOUT_S)
        if stream.frames_relayed:
            again = replace(again, software_version=lease.software_version)
        opened = self._dispatcher.open_stream(again, frozenset({lease.machine.machine_id}))
        self._dispatcher.end_stream(lease.machine, DispatchOutcome.FAILED)
        lease.machine = opened.machine
        lease.sent_at_s = elapsed_s()
        lease.request_id = opened.request_id
        lease.software_version = version_of(opened)
        result = opened.result
        stream.replace_upstream(
            result.socket, result.first_bytes, result.chunked, stream.frames_relayed
        )


def version_of(opened: Dispatched[OpenStream]) -> str:
    """Return the version that writes a stream.

    The list of machines lags, so what the engine itself tells comes first.
    """
    told_version = opened.result.software_version
    return opened.machine.software_version if told_version is None else told_version


def extend_deadline(request: OnlineRequest, time_s: float) -> OnlineRequest:
    """Return ``request`` with at least ``time_s`` left; its first token was in time already."""
    deadline_s = max(request.deadline_s, elapsed_s() + time_s)
    return replace(request, deadline_s=deadline_s, caller_gone=None)


def error_event(error: MountstandError) -> bytes:
    """Return an event that tells why a stream ends early."""
    body = {"error": {"code": error.code, "message": error.detail, "remedy": error.remedy}}
    return b"data: " + orjson.dumps(body) + b"\n\n"
