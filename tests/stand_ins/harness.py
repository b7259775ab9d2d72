"""Shared fixtures for tests of the serving path."""

from __future__ import annotations

import asyncio
import io
import random
from collections.abc import Awaitable
from typing import Any, TypeVar

import orjson

from mountstand.platform.worker_protocol import PlatformWorkerProtocol
from mountstand.quarantine.service import RequestQuarantine
from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.configuration import (
    Configuration,
    RequestKind,
    Route,
    Service,
    ServiceShare,
    WeightedServiceChooser,
)
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.online_queue import OnlineQueue
from mountstand.serving.stream_versions import StreamVersions
from mountstand.serving.worker import WorkerRecord
from mountstand.serving.worker_ends import WorkerCrashDetector
from mountstand.serving.workers import WorkerDirectory
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.transport.http_server import ServerLimits
from tests.stand_ins.confirmation import StandInConfirmation
from tests.stand_ins.peer_link import RecordingPeerLink
from tests.stand_ins.report_link import RecordingReportLink
from tests.stand_ins.worker import StandInWorker

Result = TypeVar("Result")
TEST_TIMEOUT_S = 30.0
HOST = "caption.example"


def run(awaitable: Awaitable[Result]) -> Result:
    """Run ``awaitable`` to completion, for at most ``TEST_TIMEOUT_S``."""
    return asyncio.run(asyncio.wait_for(awaitable, TEST_TIMEOUT_S))  # type: ignore[arg-type]


async def eventually(condition: Any, description: str, timeout_s: float = 10.0) -> None:
    """Wait until ``condition()`` holds; ``description`` names it in the error on a timeout."""
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        if asyncio.get_running_loop().time() > deadline_s:
            raise AssertionError(f"condition not met within {timeout_s} s: {description}")
        await asyncio.sleep(0.01)


def route(kind: RequestKind, **changes: Any) -> Route:
    """Return a route to the service ``llm``, with ``changes`` to its fields."""
    fields: dict[str, Any] = {
        "name": f"route-{kind.name.lower()}",
        "host": HOST,
        "path_prefix": f"/{kind.name.lower()}/",
        "kind": kind,
        "timeout_s": 3.0,
        "target_latency_s": 0.5,
        "max_attempts": 2,
        "shares": (ServiceShare("llm", 1.0),),
        "retention_s": 60.0,
        "completion_target_s": 20.0,
    }
    return Route(**{**fields, **changes})


def configuration(*routes: Route, version: int = 1) -> Configuration:
    """Return a configuration with ``routes`` and the service ``llm``."""
    return Configuration(version, routes, {"llm": Service("llm", 100)}, ServerLimits())


def record(worker: StandInWorker, slots: int = 4, version: int = 1) -> WorkerRecord:
    """Return the directory record of a stand-in worker."""
    return WorkerRecord(
        worker.worker_id, "llm", "127.0.0.1", worker.port, "zone-a", slots, False, version
    )


class RecordingLog(DecisionLog):
    """A decision log that stores its lines in memory."""

    def __init__(self) -> None:
        self.stream = io.StringIO()
        super().__init__("test", self.stream)

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return the lines of all events named ``event``, decoded."""
        parsed = [orjson.loads(line) for line in self.stream.getvalue().splitlines()]
        return [line for line in parsed if line["event"] == event]


class Fleet:
    """Stand-in workers, and the serving components of one daemon that uses them."""

    def __init__(self, *workers: StandInWorker) -> None:
        self.workers = workers
        self.rng = random.Random(7)
        self.directory = WorkerDirectory("zone-a", self.rng)
        self.connections = WorkerConnections()
        self.protocol = PlatformWorkerProtocol()
        self.service_chooser = WeightedServiceChooser(self.rng)
        self.queue = OnlineQueue(self.directory, random.Random(2))
        self.batch_scheduler = BatchScheduler(self.directory, self.queue, random.Random(1))
        self.metrics = ServingMetrics()
        self.log = RecordingLog()
        self.crash_detector = WorkerCrashDetector(self.connections, self.metrics, self.log)
        self.link = RecordingReportLink()
        self.quarantine = RequestQuarantine(
            "test", self.crash_detector, self.link, self.rng, self.metrics, self.log
        )
        self.stream_versions = StreamVersions(
            RecordingPeerLink(),
            self.directory.software_history,
            lambda: True,
            StandInConfirmation(),
            self.log,
        )

    async def __aenter__(self) -> Fleet:
        """Start the workers and add them to the directory."""
        now_s = asyncio.get_running_loop().time()
        for worker in self.workers:
            await worker.start()
            self.directory.put(record(worker), now_s)
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop the workers."""
        for worker in self.workers:
            await worker.stop()

    def received(self) -> list[str]:
        """Return the ids of the workers that received requests, one per request."""
        return [worker.worker_id for worker in self.workers for _ in worker.received]
