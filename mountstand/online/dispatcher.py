"""Dispatch of one online request: choose, send, and retry only where that is safe.

A retry is safe when nothing was sent, when the back end says that it did not run the request, or
when the request is repeatable. ``executed`` of the final error covers every try: it says ``no``
only if no try can have been run.
"""

from __future__ import annotations

import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import Generic, TypeVar

from mountstand.clock import elapsed_s
from mountstand.engines.http_backend import CallerLeft, CrossedAnswer, OtherSoftware
from mountstand.engines.port import BackendAnswer, BackendPort, BackendRequest, OpenStream
from mountstand.errors import (
    BackendFailed,
    BackendRefused,
    BackendUnreachable,
    DeadlineExceeded,
    Executed,
    MountstandError,
    NoBackend,
    Overloaded,
    RequestQuarantined,
)
from mountstand.online.request import OnlineRequest
from mountstand.online.retry_budget import RetryBudget
from mountstand.quarantine.suspect import CRASHES_TO_BLOCK, TRIAL_RETRY_AFTER_S
from mountstand.quarantine.threads import ContentQuarantine
from mountstand.routing.chooser import RouteRequest
from mountstand.routing.fleet_view import DispatchOutcome
from mountstand.routing.router import Router
from mountstand.store.ports import Machine
from mountstand.telemetry.metrics import DaemonMetrics

ONLINE_PRIORITY = 0
MAX_TRIES = 6
REFUSED_PAUSE_S = 0.05
"""How long a worker that refused for lack of room is left out, unless it says otherwise."""

NO_WORKER_PAUSE_S = 0.02
MOST_BROKEN = CRASHES_TO_BLOCK
"""Workers at which one request may break: past so many it is hardly the workers."""

FIRST_TRY_SHARE = 0.5
"""Share of the time left that a repeatable try may take, so that a frozen back end leaves room."""

MIN_TRY_S = 0.5
CANCEL_THREADS = 4

Result = TypeVar("Result", BackendAnswer, OpenStream)


@dataclass
class Dispatched(Generic[Result]):
    """A dispatch that succeeded: where, under which id, and what came back."""

    machine: Machine
    request_id: str
    result: Result


class Dispatcher:
    """Sends online requests to back ends; thread-safe."""

    def __init__(
        self,
        router: Router,
        backend: BackendPort,
        metrics: DaemonMetrics,
        record_backend_full: Callable[[str], None],
        quarantine: ContentQuarantine,
    ) -> None:
        self._router = router
        self._backend = backend
        self._metrics = metrics
        self._record_backend_full = record_backend_full
        self._quarantine = quarantine
        self._budget = RetryBudget()
        self._budget_lock = threading.Lock()
        self._cancellers = ThreadPoolExecutor(CANCEL_THREADS, thread_name_prefix="cancel")

    def call(self, request: OnlineRequest) -> Dispatched[BackendAnswer]:
        """Run a request and return its whole answer."""

        def send(machine: Machine, dispatch: BackendRequest, timeout_s: float) -> BackendAnswer:
            return self._backend.call(machine, dispatch, timeout_s, request.caller_gone)

        dispatched = self._try_until_done(request, send)
        self._router.end_dispatch(dispatched.machine.machine_id, DispatchOutcome.SUCCESS)
        self._quarantine.note_served(request.content_key)
        return dispatched

    def open_stream(
        self, request: OnlineRequest, excluded: frozenset[str] = frozenset()
    ) -> Dispatched[OpenStream]:
        """Start a stream; the caller reports its end with :meth:`end_stream`."""

        def send(machine: Machine, dispatch: BackendRequest, timeout_s: float) -> OpenStream:
            return self._backend.open_stream(machine, dispatch, timeout_s, request.caller_gone)

        return self._try_until_done(request, send, excluded)

    def check(self, request: OnlineRequest) -> None:
        """Raise ``RequestQuarantined`` for a request that may not be sent to workers."""
        self._quarantine.check(request.content_key)

    def note_stream_whole(self, request: OnlineRequest) -> None:
        """Note that a stream ended whole."""
        self._quarantine.note_served(request.content_key)

    def note_stream_broken(
        self, request: OnlineRequest, machine: Machine, sent_at_s: float
    ) -> None:
        """Note that a stream that was asked for at ``sent_at_s`` broke at ``machine``."""
        self._quarantine.note_broken(machine, request.content_key, sent_at_s)

    def end_stream(self, machine: Machine, outcome: DispatchOutcome) -> None:
        """Report how a stream ended."""
        self._router.end_dispatch(machine.machine_id, outcome)

    def cancel(self, machine: Machine, request_id: str) -> None:
        """Cancel a dispatch at the back end without waiting for it."""
        self._cancellers.submit(self._backend.cancel, machine, request_id)

    def _try_until_done(
        self,
        request: OnlineRequest,
        send: Callable[[Machine, BackendRequest, float], Result],
        excluded: frozenset[str] = frozenset(),
    ) -> Dispatched[Result]:
        with self._budget_lock:
            self._budget.deposit()
        maybe_executed = False
        broken = 0
        last_error: MountstandError | None = None
        for _ in range(MAX_TRIES):
            try:
                self.check(request)
            except RequestQuarantined as error:
                last_error = error
                break
            machine = self._choose(request, excluded, last_error)
            if machine is None:
                break
            dispatch = to_backend_request(request)
            tried = excluded | {machine.machine_id}
            timeout_s = self._try_timeout_s(request, tried, is_first=last_error is None)
            sent_at_s = elapsed_s()
            try:
                with self._quarantine.running(request.content_key, machine) as allowed:
                    if not allowed:
                        self._refuse_suspect(request)
                    result = send(machine, dispatch, timeout_s)
                self._router.record_response_load(machine.machine_id, result.load)
                return Dispatched(machine, dispatch.request_id, result)
            except RequestQuarantined as error:
                last_error = error
                self._router.end_dispatch(machine.machine_id, DispatchOutcome.NEUTRAL)
                break
            except MountstandError as error:
                last_error = error
                self._learn(request, machine, dispatch.request_id, sent_at_s, error)
                excluded = excluded | {machine.machine_id}
                maybe_executed = maybe_executed or error.executed is not Executed.NO
                broken += isinstance(error, BackendFailed) and not isinstance(error, OtherSoftware)
                if broken >= MOST_BROKEN or not self._may_retry(request, error):
                    break
                self._metrics.online_retries.labels(error.code).inc()
        raise final_error(last_error, request, maybe_executed=maybe_executed)

    def _try_timeout_s(
        self, request: OnlineRequest, tried: frozenset[str], *, is_first: bool
    ) -> float:
        """Return how long a try may take.

        The first one leaves time for another, at the same worker if there is no other, since its
        connection may be silent. A later one gets all the time left, unless a worker remains to be
        tried. ``tried`` holds the workers of all tries, that of the present one included.
        """
        left_s = max(0.0, request.deadline_s - elapsed_s())
        if not request.repeatable:
            return left_s
        route = _route(request, tried)
        if not is_first and not self._router.has_candidate(route):
            return left_s
        return min(left_s, max(MIN_TRY_S, left_s * FIRST_TRY_SHARE))

    def _refuse_suspect(self, request: OnlineRequest) -> None:
        """Raise ``RequestQuarantined`` unless a request may run beside other suspects."""
        self.check(request)
        if self._quarantine.requires_trial(request.content_key):
            raise self._quarantine.quarantined_error(request.content_key, TRIAL_RETRY_AFTER_S)

    def _choose(
        self, request: OnlineRequest, excluded: frozenset[str], last_error: MountstandError | None
    ) -> Machine | None:
        route = _route(request, excluded)
        machine = self._router.begin_dispatch(route)
        if machine is None and last_error is not None:
            # Every worker was tried or refuses just now: those tried may be asked again once.
            time.sleep(max(0.0, min(NO_WORKER_PAUSE_S, request.deadline_s - elapsed_s())))
            machine = self._router.begin_dispatch(_route(request, frozenset()))
        return machine

    def _learn(
        self,
        request: OnlineRequest,
        machine: Machine,
        request_id: str,
        sent_at_s: float,
        error: MountstandError,
    ) -> None:
        worker_id = machine.machine_id
        if isinstance(error, BackendRefused):
            self._router.end_dispatch(worker_id, DispatchOutcome.REFUSED)
            self._router.set_backoff(worker_id, error.retry_after_s or REFUSED_PAUSE_S)
            self._record_backend_full(request.service)
            return
        at_fault = not isinstance(error, CallerLeft | OtherSoftware)
        if at_fault:
            self._router.end_dispatch(worker_id, DispatchOutcome.FAILED)
        else:
            self._router.end_dispatch(worker_id, DispatchOutcome.NEUTRAL)
        if isinstance(error, BackendFailed) and at_fault:
            self._quarantine.note_broken(machine, request.content_key, sent_at_s)
        if isinstance(error, CrossedAnswer):
            self._metrics.crossed_answers.inc()
        if error.executed is not Executed.NO:
            self.cancel(machine, request_id)

    def _may_retry(self, request: OnlineRequest, error: MountstandError) -> bool:
        if isinstance(error, CallerLeft) or elapsed_s() >= request.deadline_s:
            return False
        if error.executed is Executed.NO:
            return True
        if not request.repeatable:
            return False
        with self._budget_lock:
            return self._budget.withdraw()


def _route(request: OnlineRequest, excluded: frozenset[str]) -> RouteRequest:
    return RouteRequest(request.service, request.prefix, excluded, request.software_version)


def to_backend_request(request: OnlineRequest) -> BackendRequest:
    """Return a dispatch of ``request`` under a fresh id."""
    return BackendRequest(
        request_id=uuid.uuid4().hex,
        method=request.method,
        path=request.path,
        body=request.body,
        priority=ONLINE_PRIORITY,
        label=request.request_id,
        headers=request.headers,
        software_version=request.software_version,
    )


def final_error(
    last_error: MountstandError | None, request: OnlineRequest, *, maybe_executed: bool
) -> MountstandError:
    """Return the error that the caller sees, with an execution claim that covers every try."""
    error = last_error
    if error is None:
        error = NoBackend(f"service {request.service}")
    elif isinstance(error, BackendRefused):
        error = Overloaded(f"every back end of {request.service} refused", retry_after_s=1.0)
    elif isinstance(error, BackendUnreachable):
        error = NoBackend(f"service {request.service}")
    elif isinstance(error, DeadlineExceeded) and elapsed_s() < request.deadline_s:
        error = BackendFailed("the back end did not answer within its share of the time")
    if maybe_executed:
        error.executed = Executed.UNKNOWN
    return error
