"""One daemon: wires the subsystems together, starts them and stops them without a cut."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections.abc import Callable

from mountstand.background import BackgroundPart
from mountstand.batch.executor import BatchExecutor
from mountstand.batch.files import FileStore
from mountstand.batch.job_store import JobStore
from mountstand.batch.owner import JobOwner
from mountstand.batch.owner_client import OwnerClient
from mountstand.batch.service import BatchService
from mountstand.batch.worker_assignment import WorkerAssignment
from mountstand.clock import elapsed_s
from mountstand.engines.http_backend import HttpBackend
from mountstand.http.batches import BatchesResource
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
from mountstand.http.files import FilesResource
from mountstand.http.peers import PeerMessagesResource
from mountstand.http.server import HttpServer
from mountstand.http.settings import SettingsResource
from mountstand.membership.member import Member
from mountstand.membership.service import MembershipService
from mountstand.membership.state import MembershipConfig
from mountstand.online.service import OnlineService
from mountstand.placement.service import PlacementService
from mountstand.process_settings import DaemonSettings
from mountstand.quarantine.threads import (
    ContentQuarantine,
    MembershipReportLink,
    TableSuspects,
)
from mountstand.routing.observer import FleetObserver
from mountstand.routing.router import Router
from mountstand.settings.service import SettingsService
from mountstand.settings.store import SettingsStore
from mountstand.settings.tree import SettingsTree
from mountstand.steps import StopSteps, logged_step
from mountstand.store.http_adapters import HttpMachineList, HttpObjects, HttpTable
from mountstand.store.pacing import PacedObjects, PacedTable
from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.wire.frames import Frame, FrameCodec
from mountstand.wire.gossip import CrashQuery, CrashReport, MembersSync
from mountstand.wire.messages import (
    CancelJob,
    DaemonBodies,
    DropJob,
    JobHint,
    Message,
    PullRanges,
    RenewRanges,
    ReportRange,
    SettingsReply,
    SettingsRequest,
    WorkHint,
)
from mountstand.wire.peers import PeerClient, PeerServer

logger = logging.getLogger(__name__)

CONTROL_THREADS = 24
THREAD_SWITCH_S = 0.0005
"""The interpreter's default of 5 ms makes a request wait that long, several times over, whenever
the stream relay has a burst of tokens in hand; see docs/design/stream-relay.md."""

BATCH_DRAIN_SHARE = 0.5
"""Share of the stop time-out that held batch ranges may take; the rest is for streams."""


class Daemon:
    """The process beside a caller."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        sys.setswitchinterval(THREAD_SWITCH_S)
        self.metrics = DaemonMetrics()
        self._stopping = threading.Event()
        self._incarnation = time.time_ns() // 1_000_000
        self._build_platform()
        self.backend = HttpBackend(self.metrics)
        self.router = Router(settings.zone, settings.seed)
        self._build_membership()
        self.quarantine = ContentQuarantine(
            settings.daemon_id,
            MembershipReportLink(self.membership),
            TableSuspects(self.table),
            self.backend.has_ended,
            self.metrics,
            settings.seed,
        )
        self.online = OnlineService(
            self.router, self.backend, self.table, self.metrics, self.quarantine
        )
        self._build_batch()
        self.observer = FleetObserver(
            self.router,
            HttpMachineList(settings.platform.machines_url, metrics=self.metrics),
            self.backend,
            self.membership.handle_machines,
            machines_poll_s=settings.platform.machines_poll_s,
            load_poll_s=settings.online.load_poll_s,
            cache_poll_s=settings.online.cache_poll_s,
            load_polls_per_s=settings.online.load_polls_per_s,
            cache_polls_per_s=settings.online.cache_polls_per_s,
        )
        self._callers_server = HttpServer(
            settings.address, settings.port, settings.online.threads, self._callers_root()
        )
        self._control_server = HttpServer(
            settings.address, settings.control_port, CONTROL_THREADS, self._control_root()
        )
        self.on_server_end: Callable[[], None] = lambda: None
        """Called once a server of this daemon has ended without a stop, so that it must stop."""

        for server in (self._callers_server, self._control_server):
            server.on_unexpected_end = lambda: self.on_server_end()

    def start(self) -> None:
        """Start every part; the callers' interface comes last. Raises ``PortUnavailable``."""
        try:
            self._start()
        except BaseException:
            # The servers' threads would keep alive a process that can serve nobody.
            steps = StopSteps()
            with steps.step("callers' interface"):
                self._callers_server.stop()
            with steps.step("control interface"):
                self._control_server.stop()
            raise

    def _start(self) -> None:
        # Both ports first: a daemon that cannot be reached must own no jobs and tell nobody that
        # it runs.
        with logged_step("start", "ports"):
            self._control_server.listen()
            self._callers_server.listen()
        with logged_step("start", "control interface"):
            self._control_server.start()
        for part in self._background_parts():
            with logged_step("start", part.name):
                part.start()
        with logged_step("start", "callers' interface"):
            self._callers_server.start()
        with logged_step("start", "check of both interfaces"):
            self._control_server.check_serving()
            self._callers_server.check_serving()
        log_state_change(logger, "daemon started", zone=self.settings.zone)

    def stop(self) -> bool:
        """Stop as planned: refuse new work, finish what is in progress, then close.

        Returns whether everything in progress ended in time and no step failed.
        """
        steps = StopSteps()
        drained = finished = False
        self._stopping.set()
        log_state_change(logger, "planned stop begins", in_progress=self.online.in_progress)
        deadline_s = elapsed_s() + self.settings.stop_timeout_s
        with steps.step("announcement"):
            self.membership.announce_leaving()
        with steps.step("batch ranges"):
            drained = self.executor.drain(self.settings.stop_timeout_s * BATCH_DRAIN_SHARE)
        with steps.step("requests in progress"):
            finished = self.online.wait_until_idle(deadline_s - elapsed_s())
        with steps.step("callers' interface"):
            self._callers_server.stop()
            finished = self.online.wait_until_idle(deadline_s - elapsed_s()) and finished
        for part in reversed(self._background_parts()):
            with steps.step(part.name):
                part.stop()
        with steps.step("control interface"):
            self._control_server.stop()
        log_state_change(
            logger,
            "daemon stopped",
            streams_ended=finished,
            batch_drained=drained,
            failed_steps=steps.failed,
        )
        return finished and not steps.failed

    def _background_parts(self) -> list[BackgroundPart]:
        """Return the parts with tasks of their own in the order of their start.

        They stop in reverse: each may use those before it.
        """
        return [
            self.membership,
            self.quarantine,
            self.settings_service,
            self.observer,
            self.executor,
            self.owner,
            self.placement,
        ]

    def is_ready(self) -> bool:
        """Return whether the daemon takes callers' requests."""
        return not self.missing_for_ready()

    def missing_for_ready(self) -> list[str]:
        """Return what keeps the daemon from taking callers' requests, for operators.

        Its workers and settings are known before all parts have started, so that the callers'
        interface is asked as well.
        """
        met_by_name = {
            "machine list": self.observer.ready.is_set(),
            "settings": self.settings_service.caught_up.is_set(),
            "callers' interface": self._callers_server.serving,
            "end of the planned stop": not self._stopping.is_set(),
        }
        return [name for name, met in met_by_name.items() if not met]

    def _build_platform(self) -> None:
        platform = self.settings.platform
        batch = self.settings.batch
        self.table = HttpTable(platform.table_url, platform.table_timeout_s, self.metrics)
        objects = HttpObjects(platform.objects_url, platform.objects_timeout_s, self.metrics)
        self.objects = PacedObjects(objects, batch.object_ops_per_s)
        self.batch_table = PacedTable(self.table, batch.table_ops_per_s)

    def _build_membership(self) -> None:
        settings = self.settings
        codec = FrameCodec(
            settings.daemon_id,
            self._incarnation,
            settings.security.cluster_keys,
            DaemonBodies(),
        )
        self.peers = PeerClient(codec, self.metrics)
        self.peer_server = PeerServer(codec)
        self.membership = MembershipService(
            Member(
                settings.daemon_id,
                settings.address,
                settings.control_port,
                settings.zone,
                self._incarnation,
            ),
            MembershipConfig(settings.membership.period_s, settings.membership.suspicion_periods),
            codec,
            self.peers,
            self.metrics,
            lambda: self.settings_service.revision,
            settings.seed,
        )
        self.peer_server.register(MembersSync, self._answer_members_sync)
        self.settings_service = SettingsService(
            SettingsStore(self.table), self.membership, self.peers
        )
        self.settings_service.on_tree = self._apply_tree
        self.membership.on_revision = self.settings_service.handle_revision
        self.peer_server.register(SettingsRequest, self._answer_settings_request)

    def _answer_members_sync(self, frame: Frame) -> Message:
        assert isinstance(frame.message, MembersSync)
        return self.membership.handle_sync(frame.message)

    def _answer_settings_request(self, frame: Frame) -> Message:
        assert isinstance(frame.message, SettingsRequest)
        return self.settings_service.answer(frame.message)

    def _apply_tree(self, tree: SettingsTree) -> None:
        """Put a new settings tree in force in every part that it concerns."""
        self.router.apply_drains(
            drained_names(tree, "workers"),
            drained_names(tree, "zones"),
            {
                path.removeprefix("zones/"): tree.value(path, "traffic_percent") / 100
                for path in tree.paths_below("zones")
            },
        )
        self.online.gate.set_tenant_weights(
            {
                path.removeprefix("tenants/"): tree.value(path, "tenant_weight")
                for path in tree.paths_below("tenants")
            }
        )

    def _build_batch(self) -> None:
        settings = self.settings.batch
        owners = OwnerClient(self.membership, self.peers, settings.shards)
        owners.answer_locally = self._answer_executor
        self.executor = BatchExecutor(
            settings,
            self.router,
            self.backend,
            self.batch_table,
            self.objects,
            self.membership.self_id,
            WorkerAssignment(self.membership, self.router),
            owners,
            self.metrics,
            self.quarantine,
        )
        self.owner = JobOwner(
            settings,
            JobStore(self.batch_table, self.objects),
            self.objects,
            self.membership,
            self.peers,
            self.metrics,
            self._incarnation,
            self.executor.cancel_job,
        )
        self.files = FileStore(self.table, self.objects)
        self.batches = BatchService(
            self.table,
            self.objects,
            self.membership,
            self.peers,
            self.owner,
            settings.shards,
            self.router.models,
        )
        self.placement = PlacementService(
            self.router,
            self.backend,
            lambda: self.settings_service.tree,
            self.owner.shard_epoch,
            settings.shards,
        )
        self.owner.on_work = lambda hint: self.executor.handle_work_hint(
            self.membership.self_id, hint
        )
        self.membership.on_hint = self._handle_hint
        self.membership.on_member_change = self.owner.look_now
        for message_type in (PullRanges, RenewRanges, ReportRange, CancelJob, DropJob):
            self.peer_server.register(
                message_type, lambda frame: self._answer_executor(frame.message)
            )

    def _answer_executor(self, message: Message) -> Message:
        """Answer a message between an executor and an owner."""
        if isinstance(message, PullRanges):
            return self.owner.handle_pull(message)
        if isinstance(message, RenewRanges):
            return self.owner.handle_renew(message)
        if isinstance(message, ReportRange):
            return self.owner.handle_report(message)
        if isinstance(message, CancelJob):
            return self.owner.handle_cancel(message)
        assert isinstance(message, DropJob)
        return self.executor.handle_drop(message)

    def _handle_hint(self, sender_id: str, message: Message) -> None:
        if isinstance(message, WorkHint):
            self.executor.handle_work_hint(sender_id, message)
        elif isinstance(message, JobHint):
            self.owner.look_now()
        elif isinstance(message, SettingsRequest | SettingsReply):
            self.settings_service.handle_datagram(sender_id, message)
        elif isinstance(message, CrashReport | CrashQuery):
            self.quarantine.handle(sender_id, message)

    def _callers_root(self) -> object:
        context = CallerContext(
            self.router,
            self.online,
            self.metrics,
            frozenset(self.settings.security.caller_tokens),
            self._stopping.is_set,
            lambda path, key: self.settings_service.tree.value(path, key),
        )
        return Namespace(
            v1=Namespace(
                chat=Namespace(completions=CompletionsResource(context, "/v1/chat/completions")),
                completions=CompletionsResource(context, "/v1/completions"),
                models=ModelsResource(context),
                services=ServicesResource(context),
                batches=BatchesResource(context, self.batches, self.files),
                files=FilesResource(context, self.files, self.batches),
            )
        )

    def _control_root(self) -> object:
        tokens = frozenset(self.settings.security.operator_tokens)
        status = StatusResource(
            {
                "workers": self.router.status,
                "members": self.membership.status,
                "owner": self.owner.status,
                "executor": self.executor.status,
                "settings": self.settings_service.status,
            },
            tokens,
        )
        return Namespace(
            healthz=HealthResource(),
            readyz=ReadyResource(self.missing_for_ready),
            metrics=MetricsResource(self.metrics),
            status=status,
            settings=SettingsResource(self.settings_service, tokens),
            internal=Namespace(messages=PeerMessagesResource(self.peer_server)),
        )


def drained_names(tree: SettingsTree, kind: str) -> frozenset[str]:
    """Return the names below branch ``kind`` whose effective value is drained."""
    return frozenset(
        path.removeprefix(f"{kind}/")
        for path in tree.paths_below(kind)
        if tree.value(path, "drained")
    )
