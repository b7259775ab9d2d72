"""Forwards online requests to workers and retries them only where a retry is safe.

An attempt that certainly did not run is retried at another worker on every route. An attempt that
may have run is retried only if the route declares its requests repeatable, up to the route's
``max_attempts``. Every request gets a final reply by its deadline.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from mountstand.quarantine.service import RequestQuarantine
from mountstand.quarantine.suspect import TRIAL_RETRY_AFTER_S
from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.configuration import Route, WeightedServiceChooser
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.exchange import (
    OUTCOMES_WITHOUT_RUN,
    WORKER_FAILED_STATUS,
    Exchange,
    Outcome,
    WorkerUnresponsive,
    worker_failed,
)
from mountstand.serving.exchange_log import ExchangeLog
from mountstand.serving.online_queue import OnlineQueue, start_deadlines
from mountstand.serving.reply_relay import ReplyRelay
from mountstand.serving.stop_admission import StopAdmission
from mountstand.serving.stream_versions import StreamVersions
from mountstand.serving.worker import PendingPrefill, Worker
from mountstand.serving.worker_protocol import Call, WorkerProtocol
from mountstand.serving.workers import WorkerDirectory
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.http_client import (
    ClientConnection,
    ConnectFailed,
    ReplyBroken,
)
from mountstand.transport.responder import Responder, reject

MAX_REFUSED_ATTEMPTS = 4
"""Number of attempts refused by workers after which no further worker is tried. Each costs a round
trip."""

MAX_UNSENT_ATTEMPTS = 6
"""Number of unsent attempts, such as failed connects, after which no further worker is tried. Each
costs at most one connect timeout. If the service has fewer workers, unreachable ones are tried
again, since the next connect over a lossy link usually succeeds."""

FIRST_FAILURE_STATUS = 300
"""The lowest HTTP status that tells of no success."""

FULL_RETRY_PAUSE_S = 0.1
"""Pause before the workers that may go on with a broken stream are asked again, if all are full."""

RETRY_AFTER_FULL_S = 0.2
"""``Retry-After`` of requests rejected because workers were full."""

RETRY_AFTER_STOPPING_S = 0.05
"""``Retry-After`` of requests rejected because this daemon stops before they could end. Another
daemon can take them at once."""

RETRY_AFTER_UNAVAILABLE_S = 0.5
"""``Retry-After`` of requests rejected because no worker could be reached or chosen."""


class Forwarder:
    """Forwards online requests to workers until one replies or the request fails.

    Requests whose content is quarantined, as suspected of crashing workers, are rejected. From time
    to time the quarantine lets one run as a trial, apart from other suspects, to find out whether
    its content still crashes workers.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        connections: WorkerConnections,
        protocol: WorkerProtocol,
        service_chooser: WeightedServiceChooser,
        queue: OnlineQueue,
        batch_scheduler: BatchScheduler,
        quarantine: RequestQuarantine,
        stream_versions: StreamVersions,
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self._queue = queue
        self._directory = directory
        self._connections = connections
        self._protocol = protocol
        self._service_chooser = service_chooser
        self._batch_scheduler = batch_scheduler
        self._quarantine = quarantine
        self._stream_versions = stream_versions
        self._relay = ReplyRelay(
            directory, connections, protocol, batch_scheduler, quarantine, stream_versions
        )
        self._metrics = metrics
        self._log = ExchangeLog(metrics, log)
        self.stop_admission = StopAdmission()
        self._waiting_by_id: dict[int, Exchange] = {}
        """Requests that wait for their first worker, by the identity of their exchange."""

        self.max_idle_connections_per_worker = 4

    async def forward(
        self,
        route: Route,
        call: Call,
        responder: Responder,
        received_at_s: float,
        deadline_s: float,
        on_not_run: Callable[[], object] = lambda: None,
    ) -> None:
        """Forward ``call`` and send its reply through ``responder``.

        ``received_at_s`` and ``deadline_s`` are times on the event loop's clock. Calls
        ``on_not_run`` at the end if the request certainly did not run at any worker.
        """
        loop = asyncio.get_running_loop()
        pool_name = self._directory.pool_name(self._service_chooser.choose(route), call.regions)
        exchange = Exchange(route, call, responder, pool_name, deadline_s)
        exchange.last_event_id = call.last_event_id
        caller_gone = True
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._run_attempts(exchange, received_at_s)
            caller_gone = False
        except TimeoutError:
            caller_gone = False
            exchange.cause = "deadline"
            self._end_unsuccessfully(exchange)
        finally:
            self._quarantine.release_claims(call)
            if exchange.runs == 0:
                on_not_run()
            self._log.request_ended(exchange, received_at_s, loop.time(), caller_gone)

    def begin_stop(self, ends_at_s: float) -> None:
        """Take only requests from now on that can end by ``ends_at_s``, in event loop time."""
        self.stop_admission.begin_stop(asyncio.get_running_loop().time(), ends_at_s)
        self.reject_waiting_too_long()

    def reject_waiting_too_long(self) -> None:
        """Reject requests that wait for a worker and can't end any more before the stop does."""
        for exchange in list(self._waiting_by_id.values()):
            if not self._may_begin(exchange):
                self._queue.stop_waiting(exchange.call)

    async def _run_attempts(self, exchange: Exchange, received_at_s: float) -> None:
        """Try workers until one delivers a reply or no further attempt is allowed."""
        if self._reject_if_stopping(exchange, None):
            return
        if self._reject_if_quarantined(exchange, None):
            return
        if not await self._bind_taken_up_stream(exchange):
            self._end_unsuccessfully(exchange)
            return
        worker = await self._wait_for_worker(exchange, received_at_s)
        while not exchange.responder.finished:
            worker = await self._admit(exchange, worker)
            if worker is None:
                return
            with self._quarantine.running(exchange.call, worker) as trials:
                outcome = await self._attempt(exchange, worker)
            self._record_outcome(exchange, worker, outcome)
            if outcome is Outcome.DELIVERED:
                exchange.delivered = True
                self._record_duration(exchange, worker, received_at_s)
                if not worker_failed(exchange, outcome):
                    succeeded = exchange.responder.status < FIRST_FAILURE_STATUS
                    self._quarantine.note_served(exchange.call, succeeded=succeeded)
                return
            self._log.attempt_failed(exchange, worker, outcome)
            if outcome in OUTCOMES_WITHOUT_RUN:
                trials.note_not_run()
            if not self._may_retry(exchange, outcome):
                self._end_unsuccessfully(exchange)
                return
            if outcome not in OUTCOMES_WITHOUT_RUN and self._quarantine.is_suspect(exchange.call):
                await self._quarantine.wait_until_checked(worker)
            worker = await self._choose_worker(exchange)

    async def _admit(self, exchange: Exchange, worker: Worker | None) -> Worker | None:
        """Return the worker to which a request may be sent now, ``None`` if it was rejected.

        ``worker`` is the worker at which it holds a slot. After trials were claimed, which takes a
        call to the store, all is checked again.
        """
        while True:
            if self._reject_if_stopping(exchange, worker):
                return None
            if self._reject_if_quarantined(exchange, worker):
                return None
            if worker is None:
                exchange.cause = exchange.cause or _no_worker_cause(exchange)
                self._end_unsuccessfully(exchange)
                return None
            allowed_worker = self._prefer_allowed_worker(exchange, worker)
            if allowed_worker is None:
                # A trial must run apart from other suspects, and no worker is free of them.
                self._reject_quarantined(exchange, worker, TRIAL_RETRY_AFTER_S)
                return None
            worker = allowed_worker
            if not self._quarantine.requires_claim(exchange.call):
                return worker
            if not await self._claim_trials(exchange, worker):
                return None

    async def _claim_trials(self, exchange: Exchange, worker: Worker) -> bool:
        """Claim the trials that a request would begin at a worker; return whether it may go on.

        If it may not, it is rejected and its slot at the worker is freed.
        """
        try:
            refused_for_s = await self._quarantine.claim_trials(exchange.call)
        except BaseException:
            self._free_slot(worker)
            raise
        if refused_for_s:
            self._reject_quarantined(exchange, worker, refused_for_s)
            return False
        if exchange.responder.finished:
            self._free_slot(worker)
            return False
        return True

    async def _bind_taken_up_stream(self, exchange: Exchange) -> bool:
        """Bind a stream that the caller takes up to the software that began it.

        Returns whether the request may be sent to workers.
        """
        call = exchange.call
        if not exchange.route.resumable or not call.last_event_id:
            return True
        software_key = await self._stream_versions.find(call.resumed_request_id, exchange.route)
        if software_key is None:
            exchange.cause = "stream of unknown software"
            return False
        service = self._directory.service_of_software(software_key)
        if service not in exchange.route.services:
            exchange.cause = "no worker of the stream's software"
            return False
        exchange.software_key = software_key
        return True

    def _pool_name(self, exchange: Exchange) -> str:
        """Return the pool of the workers that may run the request, or go on with its stream."""
        if exchange.software_key is None:
            return exchange.pool_name
        return self._directory.software_pool_name(exchange.software_key, exchange.call.regions)

    async def _wait_for_worker(self, exchange: Exchange, received_at_s: float) -> Worker | None:
        """Queue the request until a worker can start it soon, and return that worker.

        Returns ``None`` if the service has no worker or the request was rejected in the queue.
        """
        route = exchange.route
        caller_start_timeout_s = min(
            route.caller_start_timeout_s, exchange.deadline_s - received_at_s
        )
        priority = exchange.call.priority
        deadlines = start_deadlines(
            received_at_s, route.target_latency_s, caller_start_timeout_s, priority
        )
        self._waiting_by_id[id(exchange)] = exchange
        try:
            worker = await self._queue.acquire(
                self._pool_name(exchange), exchange.call.prompt, deadlines, exchange.call
            )
        finally:
            del self._waiting_by_id[id(exchange)]
        exchange.queue_wait_s = asyncio.get_running_loop().time() - received_at_s
        return worker

    def _reject_if_stopping(self, exchange: Exchange, worker: Worker | None) -> bool:
        """Reject a request that has not run and can't end before this daemon does.

        Returns whether it was rejected. ``worker`` is the worker at which it holds a slot, if any.
        """
        if exchange.runs or self._may_begin(exchange):
            return False
        if worker is not None:
            self._free_slot(worker)
        exchange.cause = "stopping"
        reject(exchange.responder, RETRY_AFTER_STOPPING_S)
        return True

    def _may_begin(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent now, as it can end before this daemon does."""
        now_s = asyncio.get_running_loop().time()
        return self.stop_admission.may_begin(exchange.route, now_s, exchange.deadline_s)

    def _reject_if_quarantined(self, exchange: Exchange, worker: Worker | None) -> bool:
        """Reject a request whose content is quarantined; return whether it was rejected.

        ``worker`` is the worker at which the request already holds a slot, if any. The slot of a
        rejected request is freed.
        """
        blocked_for_s = self._quarantine.blocked_for_s(exchange.call)
        if blocked_for_s:
            self._reject_quarantined(exchange, worker, blocked_for_s)
        return blocked_for_s > 0

    def _reject_quarantined(
        self, exchange: Exchange, worker: Worker | None, retry_after_s: float
    ) -> None:
        if worker is not None:
            self._free_slot(worker)
        exchange.quarantine_retry_after_s = retry_after_s
        exchange.cause = "quarantined"
        self._log.request_quarantined(exchange)
        self._end_unsuccessfully(exchange)

    def _prefer_allowed_worker(self, exchange: Exchange, worker: Worker) -> Worker | None:
        """Return a worker at which the quarantine allows the request, moving its slot there.

        If there is none, falls back to ``worker``, or returns ``None`` for a trial, which must
        not share a worker with other suspects.
        """
        if self._quarantine.allows(exchange.call, worker):
            return worker
        now_s = asyncio.get_running_loop().time()
        call = exchange.call
        other = self._directory.choose(
            self._pool_name(exchange),
            call.prompt,
            exchange.tried_worker_ids,
            now_s,
            lambda candidate: self._quarantine.allows(call, candidate),
        )
        if other is None:
            return None if self._quarantine.requires_trial(call) else worker
        other.in_flight += 1
        self._free_slot(worker)
        return other

    def _record_duration(self, exchange: Exchange, worker: Worker, received_at_s: float) -> None:
        """Note the duration of a request without server error, for its service and its route."""
        if exchange.responder.status >= WORKER_FAILED_STATUS:
            return
        now_s = asyncio.get_running_loop().time()
        service = worker.record.service
        self._directory.chooser.durations.observe(service, now_s - exchange.sent_at_s)
        if not exchange.call.last_event_id:
            self.stop_admission.note_completed(exchange.route.name, now_s - received_at_s)

    def _record_outcome(self, exchange: Exchange, worker: Worker, outcome: Outcome) -> None:
        """Count the attempt as a success or failure in the worker's health statistics."""
        if outcome in OUTCOMES_WITHOUT_RUN:
            return
        failed = worker_failed(exchange, outcome)
        worker.health.own.add(asyncio.get_running_loop().time(), failed=failed)

    async def _choose_worker(self, exchange: Exchange) -> Worker | None:
        """Choose a worker for a further attempt and take a slot there.

        Workers that could not be reached are tried again once all others were tried. So are, after
        a pause, full ones if the caller has a part of a stream that only they may go on with.
        """
        worker = self._choose_untried_worker(exchange)
        if worker is None and exchange.unreachable_worker_ids:
            exchange.tried_worker_ids -= exchange.unreachable_worker_ids
            exchange.unreachable_worker_ids.clear()
            worker = self._choose_untried_worker(exchange)
        if worker is None and exchange.is_bound_midway and exchange.refusing_worker_ids:
            await asyncio.sleep(FULL_RETRY_PAUSE_S)
            exchange.tried_worker_ids -= exchange.refusing_worker_ids
            exchange.refusing_worker_ids.clear()
            worker = self._choose_untried_worker(exchange)
        if worker is not None:
            worker.in_flight += 1
        return worker

    def _choose_untried_worker(self, exchange: Exchange) -> Worker | None:
        now_s = asyncio.get_running_loop().time()
        return self._directory.choose(
            self._pool_name(exchange), exchange.call.prompt, exchange.tried_worker_ids, now_s
        )

    def _may_retry(self, exchange: Exchange, outcome: Outcome) -> bool:
        """Count the failed attempt and return whether another worker may be tried."""
        if outcome in (Outcome.NOT_RUN, Outcome.OTHER_WORKER):
            exchange.refused_attempts += 1
            return exchange.is_bound_midway or exchange.refused_attempts < MAX_REFUSED_ATTEMPTS
        if outcome is Outcome.NOT_SENT:
            exchange.unsent_attempts += 1
            return exchange.unsent_attempts < MAX_UNSENT_ATTEMPTS
        return exchange.may_run_again

    # One attempt

    async def _attempt(self, exchange: Exchange, worker: Worker) -> Outcome:
        """Make one attempt at a worker whose slot the request already holds."""
        exchange.tried_worker_ids.add(worker.record.worker_id)
        exchange.worker_id = worker.record.worker_id
        exchange.software_version = worker.record.software_version
        exchange.writing_since_s = None
        now_s = asyncio.get_running_loop().time()
        exchange.estimated_load = worker.estimated_load(now_s)
        self._batch_scheduler.preempt_for_online(worker, now_s)
        exchange.pending_prefill = PendingPrefill(worker, exchange.call.prompt)
        connection: ClientConnection | None = None
        outcome: Outcome | None = None
        try:
            connection = await self._connections.acquire(
                worker,
                request_id=exchange.call.request_id,
                repeatable=exchange.route.repeatable,
            )
            outcome = await self._send_and_relay(exchange, worker, connection)
            return outcome
        except ConnectFailed as error:
            exchange.cause = f"connect: {error}"
            exchange.unreachable_worker_ids.add(worker.record.worker_id)
            return Outcome.NOT_SENT
        finally:
            exchange.end_pending_prefill()
            if connection is not None:
                status = exchange.responder.status
                is_final = outcome is Outcome.DELIVERED and status < FIRST_FAILURE_STATUS
                self._connections.release(
                    worker,
                    connection,
                    self.max_idle_connections_per_worker,
                    unfinished_id=None if is_final else exchange.call.request_id,
                )
            self._free_slot_after_attempt(exchange, worker, outcome)

    def _free_slot_after_attempt(
        self, exchange: Exchange, worker: Worker, outcome: Outcome | None
    ) -> None:
        """Free the slot of an ended attempt, after a delay if the worker failed it.

        The slot of a failed request stays occupied until the average request duration has passed
        since the request was sent. Otherwise a worker that fails within milliseconds would look
        idle and attract the requests of all daemons until it is ejected. A worker whose connection
        broke may also still be running the request.
        """
        loop = asyncio.get_running_loop()
        delay_s = 0.0
        if outcome is not None and worker_failed(exchange, outcome):
            average_s = self._directory.chooser.durations.average_s(worker.record.service)
            delay_s = exchange.sent_at_s + average_s - loop.time()
        if delay_s > 0:
            loop.call_later(delay_s, self._free_slot, worker)
        else:
            self._free_slot(worker)

    def _free_slot(self, worker: Worker) -> None:
        worker.in_flight -= 1
        self._queue.assign_freed_slot(worker, asyncio.get_running_loop().time())

    async def _send_and_relay(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection
    ) -> Outcome:
        """Send the request over ``connection`` and relay the reply."""
        now_s = asyncio.get_running_loop().time()
        if not worker.admit_send(now_s):
            exchange.cause = "worker cold"
            self._metrics.send_withheld()
            return Outcome.NOT_SENT
        remaining_ms = max(1, int((exchange.deadline_s - now_s) * 1000))
        call = exchange.call
        headers = self._protocol.request_headers(call, worker, remaining_ms, exchange.last_event_id)
        try:
            connection.send(
                call.method,
                call.target,
                headers,
                call.body,
                lambda reply: self._protocol.is_reply_to(call, reply),
            )
        except ReplyBroken as error:
            exchange.cause = error.reason
            return Outcome.NOT_SENT
        exchange.runs += 1
        exchange.sent_at_s = now_s
        exchange.resumed_after_id = exchange.last_event_id
        try:
            return await self._relay.run(exchange, worker, connection)
        except (ReplyBroken, WorkerUnresponsive) as error:
            if isinstance(error, ReplyBroken):
                self._connections.note_broken(connection)
            self._quarantine.note_broken(
                worker, exchange.call, exchange.sent_at_s, exchange.writing_since_s
            )
            exchange.cause = str(error)
            reply_started = exchange.responder.started
            return Outcome.BROKEN_MIDWAY if reply_started else Outcome.MAY_HAVE_RUN

    # Unsuccessful requests

    def _end_unsuccessfully(self, exchange: Exchange) -> None:
        """End a request that has no complete reply.

        Aborts a reply that was started. Otherwise sends 503 with ``Retry-After`` if the request
        certainly did not run, or else 504 after the deadline and 502 in all other cases.
        """
        responder = exchange.responder
        if responder.finished:
            return
        if responder.started:
            responder.abort()
            return
        if exchange.runs == 0:
            workers_full = exchange.refused_attempts > 0
            retry_after_s = RETRY_AFTER_FULL_S if workers_full else RETRY_AFTER_UNAVAILABLE_S
            reject(responder, exchange.quarantine_retry_after_s or retry_after_s)
            return
        responder.send(504 if exchange.cause == "deadline" else 502)


def _no_worker_cause(exchange: Exchange) -> str:
    """Return the logged cause of a request for which no worker could be chosen."""
    if exchange.call.regions is None:
        return "no worker"
    return f"no worker in its regions {sorted(exchange.call.regions)}"
