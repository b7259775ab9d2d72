"""Decision log lines and metrics of online requests."""

from __future__ import annotations

import asyncio

from mountstand.hashing import content_name
from mountstand.serving.exchange import OUTCOMES_WITHOUT_RUN, Exchange, Outcome
from mountstand.serving.worker import Worker
from mountstand.telemetry.decisions import DecisionLog, milliseconds
from mountstand.telemetry.serving_metrics import ServingMetrics


class ExchangeLog:
    """Logs and counts failed attempts, quarantined requests and the ends of requests."""

    __slots__ = ("_log", "_metrics")

    def __init__(self, metrics: ServingMetrics, log: DecisionLog) -> None:
        self._metrics = metrics
        self._log = log

    def attempt_failed(self, exchange: Exchange, worker: Worker, outcome: Outcome) -> None:
        """Log a failed attempt with the load that was known of its worker."""
        self._metrics.attempt_failed(outcome.value)
        without_run = outcome in OUTCOMES_WITHOUT_RUN
        now_s = asyncio.get_running_loop().time()
        self._log.event(
            "attempt_failed",
            request=exchange.call.request_id,
            route=exchange.route.name,
            worker=worker.record.worker_id,
            worker_version=worker.record.version,
            software=worker.record.software_version,
            outcome=outcome.value,
            cause=exchange.cause,
            content=None if without_run else content_name(exchange.call.content_key),
            runs=exchange.runs,
            max_attempts=exchange.route.max_attempts,
            repeatable=exchange.route.repeatable,
            last_event=exchange.last_event_id,
            load=worker.load.total if worker.load else None,
            load_age_s=round(now_s - worker.load_at_s, 3) if worker.load else None,
            in_flight=worker.in_flight,
        )

    def request_quarantined(self, exchange: Exchange) -> None:
        """Log a request rejected because its content is suspected of crashing workers."""
        self._metrics.request_quarantined()
        self._log.event(
            "request_held_back",
            request=exchange.call.request_id,
            content=content_name(exchange.call.content_key),
            route=exchange.route.name,
            runs=exchange.runs,
            for_s=round(exchange.quarantine_retry_after_s, 1),
        )

    def request_ended(
        self, exchange: Exchange, received_at_s: float, now_s: float, caller_gone: bool
    ) -> None:
        """Log how a request ended, and its timings.

        ``caller_gone`` says that ``forward`` was cancelled or raised, usually because the caller
        disconnected.
        """
        status = exchange.responder.status
        left_before_reply = caller_gone and not exchange.responder.finished
        duration_s = now_s - received_at_s
        self._metrics.request_ended(
            exchange.route.name, "gone" if left_before_reply else str(status), duration_s
        )
        first_s = exchange.first_event_at_s
        load = exchange.reported_load
        self._log.event(
            "request_ended",
            request=exchange.call.request_id,
            route=exchange.route.name,
            service=exchange.pool_name,
            tenant=exchange.call.tenant,
            priority=exchange.call.priority,
            worker=exchange.worker_id,
            software=exchange.software_version,
            resumes=exchange.call.resumed_request_id,
            status=status,
            outcome="caller gone"
            if left_before_reply
            else ("ok" if exchange.delivered else "broken"),
            cause=exchange.cause,
            runs=exchange.runs,
            refusals=exchange.refused_attempts,
            unreachable=exchange.unsent_attempts,
            waited_ms=milliseconds(exchange.queue_wait_s),
            sent_ms=milliseconds(exchange.sent_at_s - received_at_s),
            first_event_ms=None if first_s is None else milliseconds(first_s - received_at_s),
            ms=milliseconds(duration_s),
            load=None if load is None else [load.running, load.waiting, load.slots],
            expected_load=round(exchange.estimated_load, 1),
            target_ms=milliseconds(exchange.route.target_latency_s),
            shared_tokens=exchange.call.prompt.shared_tokens,
            own_tokens=exchange.call.prompt.own_tokens,
        )
