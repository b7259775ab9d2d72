"""Starts a serving process on the platform: ``python3 -m mountstand.platform``."""

from __future__ import annotations

import asyncio
import signal
import sys

from mountstand.clock import SleepAwareEventLoop
from mountstand.errors import InvalidSettings
from mountstand.jobs.model import JobItem
from mountstand.platform import names
from mountstand.platform.ingress import Ingress, parse_items
from mountstand.platform.operator_rows import (
    decode_configuration,
    decode_worker,
    evacuated_zone,
)
from mountstand.platform.settings import load_settings
from mountstand.platform.store_client import PlatformStore
from mountstand.platform.worker_protocol import PlatformWorkerProtocol
from mountstand.serving.configuration import Configuration
from mountstand.serving.worker import WorkerRecord
from mountstand.serving_node import ServingNode
from mountstand.serving_settings import ServingSettings
from mountstand.store.rows import RowKey, StoredRow
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.http_server import HttpServer, Responder, ServerLimits, ServerRequest


class PlatformRows:
    """Where the platform keeps its configuration and its workers."""

    configuration_table = names.OPERATOR_TABLE
    configuration_key = names.CONFIGURATION_KEY
    workers_table = names.WORKERS_TABLE

    def decode_configuration(self, value: bytes) -> Configuration:
        """Return the configuration that a row holds."""
        return decode_configuration(value)

    def decode_worker(self, row: StoredRow) -> WorkerRecord:
        """Return the worker that a row describes."""
        return decode_worker(row)

    def evacuated_zone(self, key: str) -> str | None:
        """Return the zone that a row of the configuration's table evacuates, if any."""
        return evacuated_zone(key)

    def evacuation_status_key(self, zone: str) -> RowKey:
        """Return where the operator reads how far the evacuation of a zone is."""
        return RowKey(names.STATUS_TABLE, "", names.EVACUATION_PREFIX + zone)


def parse_document(document: bytes) -> tuple[JobItem, ...]:
    """Return the items of a stored submission."""
    return parse_items(document)


def build_node(settings: ServingSettings, log: DecisionLog) -> ServingNode:
    """Return the node with the platform's adapters."""
    metrics = ServingMetrics()
    store = PlatformStore(settings.store.address, metrics)
    return ServingNode(
        settings, store, PlatformRows(), PlatformWorkerProtocol(), parse_document, metrics, log
    )


async def serve(settings: ServingSettings) -> None:
    """Serve until asked to stop."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    node = build_node(settings, DecisionLog(settings.name))
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, node.reload, load_settings)
    await node.start(Ingress(node))
    await start_metrics(node)
    await stop.wait()
    await node.stop()
    # Closing the loop takes the handlers back, and another signal would then decide the exit code.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


async def start_metrics(node: ServingNode) -> None:
    """Serve the figures where the settings say."""
    if node.settings.metrics is None:
        return
    port, path = node.settings.metrics

    async def handle(request: ServerRequest, responder: Responder) -> None:
        if request.path != path:
            responder.send(404)
            return
        content_type = ("Content-Type", "text/plain; version=0.0.4")
        responder.send(200, [content_type], node.metrics.render())

    await HttpServer(handle, ServerLimits()).start(node.settings.address, port)


def main() -> int:
    """Run; returns the exit code."""
    try:
        settings = load_settings()
    except InvalidSettings as problem:
        print(problem, file=sys.stderr)
        return 2
    with asyncio.Runner(loop_factory=SleepAwareEventLoop) as runner:
        runner.run(serve(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
