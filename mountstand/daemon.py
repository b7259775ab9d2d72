"""One daemon: wires the subsystems together, starts them and stops them without a cut."""

from __future__ import annotations

import logging
import threading

from mountstand.engines.http_backend import HttpBackend
from mountstand.http.callers import (
    CallerContext,
    CompletionsResource,
    ModelsResource,
    Namespace,
    ServicesResource,
)
from mountstand.http.control import (
    HealthResource,
    MetricsResource,
    ReadyResource,
    StatusResource,
)
from mountstand.http.server import HttpServer
from mountstand.online.service import OnlineService
from mountstand.platform.http_adapters import HttpMachineList, HttpObjects, HttpTable
from mountstand.platform.ports import Machine
from mountstand.process_settings import DaemonSettings
from mountstand.routing.observer import FleetObserver
from mountstand.routing.router import Router
from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.metrics import DaemonMetrics

logger = logging.getLogger(__name__)

CONTROL_THREADS = 24


class Daemon:
    """The process beside a caller."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.metrics = DaemonMetrics()
        self._stopping = threading.Event()
        platform = settings.platform
        self.table = HttpTable(platform.table_url, platform.table_timeout_s, self.metrics)
        self.objects = HttpObjects(platform.objects_url, platform.objects_timeout_s, self.metrics)
        self.backend = HttpBackend()
        self.router = Router(settings.zone, settings.seed)
        self.online = OnlineService(self.router, self.backend, self.table, self.metrics)
        self.observer = FleetObserver(
            self.router,
            HttpMachineList(platform.machines_url, metrics=self.metrics),
            self.backend,
            self._handle_machines,
            machines_poll_s=platform.machines_poll_s,
            load_poll_s=settings.online.load_poll_s,
            cache_poll_s=settings.online.cache_poll_s,
        )
        self._callers_server = HttpServer(
            settings.address, settings.port, settings.online.threads, self._callers_root()
        )
        self._control_server = HttpServer(
            settings.address, settings.control_port, CONTROL_THREADS, self._control_root()
        )

    def start(self) -> None:
        """Start every part; the callers' interface comes last."""
        self._control_server.start()
        self.observer.start()
        self._callers_server.start()
        log_state_change(logger, "daemon started", zone=self.settings.zone)

    def stop(self) -> bool:
        """Stop as planned: refuse new work, finish what is in progress, then close.

        Returns whether everything in progress ended in time.
        """
        self._stopping.set()
        log_state_change(logger, "planned stop begins", streams=self.online.relay.held)
        finished = self.online.wait_until_idle(self.settings.stop_timeout_s)
        self._callers_server.stop()
        self.observer.stop()
        self._control_server.stop()
        log_state_change(logger, "daemon stopped", finished=finished)
        return finished

    def is_ready(self) -> bool:
        """Return whether the daemon takes callers' requests."""
        return self.observer.ready.is_set() and not self._stopping.is_set()

    def _handle_machines(self, machines: list[Machine]) -> None:
        return

    def _callers_root(self) -> object:
        context = CallerContext(
            self.router,
            self.online,
            self.metrics,
            frozenset(self.settings.security.caller_tokens),
            self._stopping.is_set,
        )
        return Namespace(
            v1=Namespace(
                chat=Namespace(completions=CompletionsResource(context, "/v1/chat/completions")),
                completions=CompletionsResource(context, "/v1/completions"),
                models=ModelsResource(context),
                services=ServicesResource(context),
            )
        )

    def _control_root(self) -> object:
        tokens = frozenset(self.settings.security.operator_tokens)
        return Namespace(
            healthz=HealthResource(),
            readyz=ReadyResource(self.is_ready),
            metrics=MetricsResource(self.metrics),
            status=StatusResource({"workers": self.router.status}, tokens),
        )
