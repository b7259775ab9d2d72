"""Counters of one daemon, exposed in the Prometheus text format."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

FIRST_TOKEN_BUCKETS_S = (0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.9, 5.0, 15.0)


class DaemonMetrics:
    """All counters of one daemon.

    Each daemon has a registry of its own, so that several can share a process.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.online_requests = Counter(
            "mountstand_online_requests_total",
            "Online requests by service and outcome code",
            ["service", "outcome"],
            registry=registry,
        )
        self.online_retries = Counter(
            "mountstand_online_retries_total", "Repeated dispatches", ["reason"], registry=registry
        )
        self.first_token = Histogram(
            "mountstand_first_token_seconds",
            "Time from a request's arrival to its first byte",
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=registry,
        )
        self.streams_held = Gauge(
            "mountstand_streams_held", "Streams being relayed", registry=registry
        )
        self.crossed_answers = Counter(
            "mountstand_crossed_answers_total", "Answers discarded as not ours", registry=registry
        )
        self.streams_resumed = Counter(
            "mountstand_streams_resumed_total", "Broken streams continued", registry=registry
        )
        self.requests_quarantined = Counter(
            "mountstand_requests_quarantined_total",
            "Requests and items not sent to workers since their content ended several",
            registry=registry,
        )
        self.batch_items = Counter(
            "mountstand_batch_items_total", "Items run by outcome", ["outcome"], registry=registry
        )
        self.batch_commits = Counter(
            "mountstand_batch_commits_total", "Commits by outcome", ["outcome"], registry=registry
        )
        self.batch_buffer_bytes = Gauge(
            "mountstand_batch_buffer_bytes", "Results not yet durable", registry=registry
        )
        self.store_operations = Counter(
            "mountstand_store_operations_total",
            "Operations by store and outcome",
            ["store", "outcome"],
            registry=registry,
        )
        self.datagrams = Counter(
            "mountstand_datagrams_total",
            "Gossip datagrams by outcome",
            ["outcome"],
            registry=registry,
        )
        self.datagram_bytes = Counter(
            "mountstand_datagram_bytes_total", "Gossip bytes", ["direction"], registry=registry
        )
        self.control_bytes = Counter(
            "mountstand_control_bytes_total",
            "Bytes of control traffic over HTTP, headers estimated",
            ["kind"],
            registry=registry,
        )

    def render(self) -> bytes:
        """Return all counters in the Prometheus text format."""
        return generate_latest(self.registry)
