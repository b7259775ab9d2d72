"""Counters and latency histograms of a serving daemon, in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class ServingMetrics:
    """All figures of one daemon."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._requests = Counter(
            "mountstand_requests_total",
            "Online requests by route and status",
            ["route", "status"],
            registry=self._registry,
        )
        self._latency = Histogram(
            "mountstand_request_seconds",
            "Time from a request's first byte to its last answer byte",
            ["route"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._attempts = Counter(
            "mountstand_failed_attempts_total",
            "Attempts at workers that did not deliver, by outcome",
            ["outcome"],
            registry=self._registry,
        )
        self._store_calls = Counter(
            "mountstand_store_calls_total",
            "Calls to the platform's store by call and outcome",
            ["call", "outcome"],
            registry=self._registry,
        )
        self._store_latency = Histogram(
            "mountstand_store_call_seconds",
            "Time of a call to the platform's store",
            ["call"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._batch_items = Counter(
            "mountstand_batch_item_ends_total",
            "Batch items by how they ended",
            ["outcome"],
            registry=self._registry,
        )
        self._denied = Counter(
            "mountstand_callers_denied_total",
            "Calls refused for the caller's key or its tenant's limit, by code",
            ["code"],
            registry=self._registry,
        )
        self._workers_ended = Counter(
            "mountstand_workers_ended_total",
            "Workers whose process was found to be gone while it ran requests of this daemon",
            registry=self._registry,
        )
        self._quarantined = Counter(
            "mountstand_requests_quarantined_total",
            "Online requests refused since their content crashed workers",
            registry=self._registry,
        )
        self._contents_blocked = Gauge(
            "mountstand_contents_blocked",
            "Contents that are held back since they crashed workers",
            registry=self._registry,
        )
        self._sends_withheld = Counter(
            "mountstand_sends_withheld_total",
            "Requests and batch items that were not sent to a chosen worker since it was cold",
            registry=self._registry,
        )
        self._zones_evacuated = Gauge(
            "mountstand_zones_evacuated",
            "Zones that the operator has taken out of use",
            registry=self._registry,
        )
        self._tenants_over_share = Gauge(
            "mountstand_tenants_over_share",
            "Tenants whose requests go behind others since they took more than their share",
            ["service"],
            registry=self._registry,
        )
        self._jobs_owned = Gauge(
            "mountstand_jobs_owned", "Batch jobs run by this daemon", registry=self._registry
        )

    def request_ended(self, route: str, status: str, duration_s: float) -> None:
        """Count an online request."""
        self._requests.labels(route, status).inc()
        self._latency.labels(route).observe(duration_s)

    def attempt_failed(self, outcome: str) -> None:
        """Count an attempt at a worker."""
        self._attempts.labels(outcome).inc()

    def store_called(self, call: str, outcome: str, duration_s: float) -> None:
        """Count a call to the store."""
        self._store_calls.labels(call, outcome).inc()
        self._store_latency.labels(call).observe(duration_s)

    def batch_item_ended(self, outcome: str) -> None:
        """Count a batch item."""
        self._batch_items.labels(outcome).inc()

    def caller_denied(self, code: str) -> None:
        """Count a call that was refused for its key or its tenant's limit."""
        self._denied.labels(code).inc()

    def worker_ended(self) -> None:
        """Count a worker that ended under requests."""
        self._workers_ended.inc()

    def request_quarantined(self) -> None:
        """Count an online request that was refused for what its content did to workers."""
        self._quarantined.inc()

    def contents_blocked(self, count: int) -> None:
        """Set how many contents are held back."""
        self._contents_blocked.set(count)

    def send_withheld(self) -> None:
        """Count a request or item that was not sent to a worker since it was cold."""
        self._sends_withheld.inc()

    def zones_evacuated(self, count: int) -> None:
        """Set how many zones are out of use."""
        self._zones_evacuated.set(count)

    def tenants_over_share(self, service: str, count: int) -> None:
        """Set how many tenants go behind others where requests wait for a service."""
        self._tenants_over_share.labels(service).set(count)

    def jobs_owned(self, count: int) -> None:
        """Set how many batch jobs this daemon runs."""
        self._jobs_owned.set(count)

    def render(self) -> bytes:
        """Return all figures as text."""
        return generate_latest(self._registry)
