"""Forwards online requests to workers, with retries only where they are safe.

What may be repeated follows from the route: a request that was surely not run may go to another
worker; one that may have run goes to another only if its route allows, within the route's
attempts. Every request gets its final answer at its deadline at the latest.
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
    SAID_NOTHING,
    WORKER_FAILED,
    Exchange,
    Outcome,
    WorkerSilent,
    worker_failed,
)
from mountstand.serving.exchange_log import ExchangeLog
from mountstand.serving.online_queue import OnlineQueue, start_deadlines
from mountstand.serving.reply_relay import ReplyRelay
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

MAX_REFUSALS = 4
"""Workers asked before a request that none took is refused; each costs a round trip."""

MAX_UNREACHABLE = 6
"""Connects tried in vain before a request is refused; each costs a connect time-out at most. Where
a service has fewer workers they are tried again: a link that loses packets loses the next one
less often than not."""

RETRY_FULL_S = 0.2
RETRY_AFTER_UNAVAILABLE_S = 0.5
"""When a refused caller is told to come back."""


class Forwarder:
    """Runs online requests at workers."""

    def __init__(
        self,
        directory: WorkerDirectory,
        connections: WorkerConnections,
        protocol: WorkerProtocol,
        shares: WeightedServiceChooser,
        queue: OnlineQueue,
        batch_scheduler: BatchScheduler,
        quarantine: RequestQuarantine,
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self._queue = queue
        self._directory = directory
        self._connections = connections
        self._protocol = protocol
        self._shares = shares
        self._batch_scheduler = batch_scheduler
        self._quarantine = quarantine
        self._relay = ReplyRelay(directory, connections, protocol, batch_scheduler)
        self._metrics = metrics
        self._log = ExchangeLog(metrics, log)
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
        """Answer ``call``; ``deadline_s`` is on the loop's clock.

        ``on_not_run`` is called at the end if no worker was given the request.
        """
        loop = asyncio.get_running_loop()
        pool_name = self._directory.pool_name(self._shares.choose(route), call.regions)
        exchange = Exchange(route, call, responder, pool_name, deadline_s)
        exchange.last_event_id = call.last_event_id
        gone = True
        try:
            async with asyncio.timeout_at(deadline_s):
                await self._run_attempts(exchange, received_at_s)
            gone = False
        except TimeoutError:
            gone = False
            exchange.cause = "deadline"
            self._end_unfinished(exchange)
        finally:
            if exchange.runs == 0:
                on_not_run()
            self._log.request_ended(exchange, received_at_s, loop.time(), gone)

    async def _run_attempts(self, exchange: Exchange, received_at_s: float) -> None:
        if self._refused_for_content(exchange, None):
            return
        worker = await self._wait_for_worker(exchange, received_at_s)
        while not exchange.responder.finished:
            if self._refused_for_content(exchange, worker):
                return
            if worker is None:
                exchange.cause = exchange.cause or _no_worker(exchange)
                self._end_unfinished(exchange)
                return
            separate = self._separate(exchange, worker)
            if separate is None:
                # It may run alone only, and there is no worker for that.
                self._refuse_for_content(exchange, worker, TRIAL_RETRY_AFTER_S)
                return
            worker = separate
            with self._quarantine.running(exchange.call, worker):
                outcome = await self._attempt(exchange, worker)
            self._note_outcome(exchange, worker, outcome)
            if outcome is Outcome.DELIVERED:
                exchange.delivered = True
                self._note_duration(exchange, worker)
                if not worker_failed(exchange, outcome):
                    self._quarantine.note_served(exchange.call)
                return
            self._log.attempt_failed(exchange, worker, outcome)
            if not self._may_go_on(exchange, outcome):
                self._end_unfinished(exchange)
                return
            if outcome not in SAID_NOTHING and self._quarantine.is_suspect(exchange.call):
                await self._quarantine.wait_until_checked(worker)
            worker = self._choose(exchange)

    async def _wait_for_worker(self, exchange: Exchange, received_at_s: float) -> Worker | None:
        """Return the first worker to try, once one can start the request soon."""
        route = exchange.route
        caller_start_timeout_s = min(
            route.caller_start_timeout_s, exchange.deadline_s - received_at_s
        )
        priority = exchange.call.priority
        times = start_deadlines(
            received_at_s, route.target_latency_s, caller_start_timeout_s, priority
        )
        worker = await self._queue.acquire(
            exchange.service, exchange.call.prompt, times, exchange.call
        )
        exchange.waited_s = asyncio.get_running_loop().time() - received_at_s
        return worker

    def _refused_for_content(self, exchange: Exchange, worker: Worker | None) -> bool:
        """End a request whose content crashes workers; returns whether it does.

        ``worker`` is the one that counts the request already, if any; its slot is freed.
        """
        blocked_for_s = self._quarantine.blocked_for_s(exchange.call)
        if blocked_for_s:
            self._refuse_for_content(exchange, worker, blocked_for_s)
        return blocked_for_s > 0

    def _refuse_for_content(
        self, exchange: Exchange, worker: Worker | None, blocked_for_s: float
    ) -> None:
        if worker is not None:
            self._free_slot(worker)
        exchange.blocked_for_s = blocked_for_s
        exchange.cause = "quarantined"
        self._log.request_quarantined(exchange)
        self._end_unfinished(exchange)

    def _separate(self, exchange: Exchange, worker: Worker) -> Worker | None:
        """Return the worker to use instead of one where another suspect runs, if there is any.

        ``None`` is for a request that must not run beside other suspects.
        """
        if self._quarantine.allows(exchange.call, worker):
            return worker
        now_s = asyncio.get_running_loop().time()
        call = exchange.call
        other = self._directory.choose(
            exchange.service,
            call.prompt,
            exchange.tried,
            now_s,
            lambda each: self._quarantine.allows(call, each),
        )
        if other is None:
            return None if self._quarantine.requires_trial(call) else worker
        other.in_flight += 1
        self._free_slot(worker)
        return other

    def _note_duration(self, exchange: Exchange, worker: Worker) -> None:
        """Learn how long requests usually take from one that was served."""
        if exchange.responder.status < WORKER_FAILED:
            duration_s = asyncio.get_running_loop().time() - exchange.sent_at_s
            self._directory.chooser.durations.observe(worker.record.service, duration_s)

    def _note_outcome(self, exchange: Exchange, worker: Worker, outcome: Outcome) -> None:
        """Count what the attempt says about the worker."""
        if outcome in SAID_NOTHING:
            return
        failed = worker_failed(exchange, outcome)
        worker.health.own.add(asyncio.get_running_loop().time(), failed=failed)

    def _choose(self, exchange: Exchange) -> Worker | None:
        """Choose a worker for a further attempt, and count the request there."""
        worker = self._choose_untried(exchange)
        if worker is None and exchange.unreachable_ids:
            exchange.tried -= exchange.unreachable_ids
            exchange.unreachable_ids.clear()
            worker = self._choose_untried(exchange)
        if worker is not None:
            worker.in_flight += 1
        return worker

    def _choose_untried(self, exchange: Exchange) -> Worker | None:
        now_s = asyncio.get_running_loop().time()
        return self._directory.choose(exchange.service, exchange.call.prompt, exchange.tried, now_s)

    def _may_go_on(self, exchange: Exchange, outcome: Outcome) -> bool:
        """Decide whether another worker may be tried after ``outcome``."""
        if outcome in (Outcome.NOT_RUN, Outcome.OTHER_WORKER):
            exchange.refusals += 1
            return exchange.refusals < MAX_REFUSALS
        if outcome is Outcome.NOT_SENT:
            exchange.unreachable += 1
            return exchange.unreachable < MAX_UNREACHABLE
        return exchange.may_run_again

    # One attempt

    async def _attempt(self, exchange: Exchange, worker: Worker) -> Outcome:
        """Make one attempt at a worker that counts the request already."""
        exchange.tried.add(worker.record.worker_id)
        exchange.worker_id = worker.record.worker_id
        now_s = asyncio.get_running_loop().time()
        exchange.expected_load = worker.estimated_load(now_s)
        self._batch_scheduler.preempt_for_online(worker, now_s)
        exchange.reading = PendingPrefill(worker, exchange.call.prompt)
        connection: ClientConnection | None = None
        outcome: Outcome | None = None
        try:
            connection = await self._connections.acquire(
                worker, repeatable=exchange.route.repeatable
            )
            outcome = await self._exchange_with(exchange, worker, connection)
            return outcome
        except ConnectFailed as problem:
            exchange.cause = f"connect: {problem}"
            exchange.unreachable_ids.add(worker.record.worker_id)
            return Outcome.NOT_SENT
        finally:
            exchange.end_reading()
            if connection is not None:
                self._connections.release(worker, connection, self.max_idle_connections_per_worker)
            self._leave(exchange, worker, outcome)

    def _leave(self, exchange: Exchange, worker: Worker, outcome: Outcome | None) -> None:
        """Count the request at its worker no more, or later if the worker failed it.

        A worker that fails within milliseconds would look empty and draw the requests of all
        daemons, until it is ejected; one that breaks off still runs what it was sent, perhaps.
        """
        loop = asyncio.get_running_loop()
        left_s = 0.0
        if outcome is not None and worker_failed(exchange, outcome):
            average_s = self._directory.chooser.durations.average_s(worker.record.service)
            left_s = exchange.sent_at_s + average_s - loop.time()
        if left_s > 0:
            loop.call_later(left_s, self._free_slot, worker)
        else:
            self._free_slot(worker)

    def _free_slot(self, worker: Worker) -> None:
        worker.in_flight -= 1
        self._queue.assign_freed_slot(worker, asyncio.get_running_loop().time())

    async def _exchange_with(
        self, exchange: Exchange, worker: Worker, connection: ClientConnection
    ) -> Outcome:
        now_s = asyncio.get_running_loop().time()
        if not worker.admit_send(now_s):
            exchange.cause = "worker cold"
            self._metrics.send_withheld()
            return Outcome.NOT_SENT
        left_ms = max(1, int((exchange.deadline_s - now_s) * 1000))
        call = exchange.call
        headers = self._protocol.request_headers(call, worker, left_ms, exchange.last_event_id)
        try:
            connection.send(
                call.method,
                call.target,
                headers,
                call.body,
                lambda reply: self._protocol.is_reply_to(call, reply),
            )
        except ReplyBroken as problem:
            exchange.cause = problem.reason
            return Outcome.NOT_SENT
        exchange.runs += 1
        exchange.sent_at_s = now_s
        try:
            return await self._relay.run(exchange, worker, connection)
        except (ReplyBroken, WorkerSilent) as problem:
            if isinstance(problem, ReplyBroken):
                self._connections.note_broken(connection)
            self._quarantine.note_broken(worker, exchange.call, exchange.sent_at_s)
            exchange.cause = str(problem)
            midway = exchange.responder.started
            return Outcome.BROKEN_MIDWAY if midway else Outcome.MAY_HAVE_RUN

    # Ends

    def _end_unfinished(self, exchange: Exchange) -> None:
        """Give the final answer to a request that no worker answered whole."""
        responder = exchange.responder
        if responder.finished:
            return
        if responder.started:
            responder.abort()
            return
        if exchange.runs == 0:
            full = exchange.refusals > 0
            average_s = RETRY_FULL_S if full else RETRY_AFTER_UNAVAILABLE_S
            reject(responder, exchange.blocked_for_s or average_s)
            return
        responder.send(504 if exchange.cause == "deadline" else 502)


def _no_worker(exchange: Exchange) -> str:
    """Return why a request found no worker to be sent to."""
    if exchange.call.regions is None:
        return "no worker"
    return f"no worker in its regions {sorted(exchange.call.regions)}"
