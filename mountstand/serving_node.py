"""A daemon, the serving process of one machine: connects, starts and stops its components.

Every daemon can serve callers; those that callers are referred to are called the serving daemons.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import fields
from typing import Any, Protocol

from mountstand.errors import MountstandError
from mountstand.jobs.item_execution import RunnerContext
from mountstand.jobs.model import JobHead, JobItem
from mountstand.jobs.owners import OwnershipRules
from mountstand.jobs.repository import JobRepository
from mountstand.jobs.service import JobService
from mountstand.membership.datagrams import FAILURE_DETECTION, DatagramMembership
from mountstand.membership.digest_link import MembershipLink, MembershipReportLink
from mountstand.membership.member import Member
from mountstand.membership.message_link import MembershipMessageLink
from mountstand.membership.registry import DaemonRegistry, DaemonRow, new_token
from mountstand.quarantine.service import RequestQuarantine
from mountstand.quarantine.stored import PART_ROW_PREFIX, StoredSuspects
from mountstand.serving.batch_room import BatchScheduler
from mountstand.serving.configuration import Configuration, WeightedServiceChooser
from mountstand.serving.connections import WorkerConnections
from mountstand.serving.feeds import ConfigurationSource, ConfigurationState, WorkerDirectorySync
from mountstand.serving.forwarder import Forwarder
from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.online_queue import OnlineQueue
from mountstand.serving.residency import Regions
from mountstand.serving.slot_demand import WorkKind
from mountstand.serving.slot_lending import SlotLending
from mountstand.serving.stored_origins import StoredOrigins
from mountstand.serving.stored_software import StoredSoftware
from mountstand.serving.stream_versions import StreamVersions
from mountstand.serving.worker_ends import WorkerCrashDetector
from mountstand.serving.worker_protocol import WorkerProtocol
from mountstand.serving.workers import WorkerDirectory
from mountstand.serving_callers import DaemonLocator
from mountstand.serving_feeds import FeedTargets, ServingFeeds
from mountstand.serving_limits import ServingLimits
from mountstand.serving_listeners import CallerInterface, ServingListeners
from mountstand.serving_periodic import PeriodicWork
from mountstand.serving_settings import ServingSettings, SocketAddress
from mountstand.serving_zones import ServingZones
from mountstand.store.confirmation import TableConfirmation
from mountstand.store.rows import ObjectStore, RowStore
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog
from mountstand.telemetry.serving_metrics import ServingMetrics
from mountstand.tenants.access import CallerAccess
from mountstand.transport.http_server import FIRST_REQUEST_S
from mountstand.wire.frames import FrameCodec
from mountstand.wire.gossip import (
    CrashQuery,
    CrashReport,
    GossipBodies,
    GossipMessage,
    LoadDigest,
    PartQuery,
    PartReport,
    SlotAsk,
    SlotGrant,
    SlotReturn,
    StreamOrigin,
    StreamQuery,
    TokenAsk,
    TokenGrant,
)

CLUSTER_KEY = "insecure-development-key"
"""Key for the authentication codes of gossip frames. The platform provides no secret to its
processes, so the codes detect only damaged datagrams and those of unrelated senders."""

DEFAULT_MAX_WORKER_CONNECTIONS = 100
"""Connections that a worker is assumed to allow while no service is configured."""

IDLE_CONNECTION_FRACTION = 0.5
"""Fraction of the connections allowed by a worker that all serving daemons together keep idle. Each
daemon may keep at least one."""

MAX_IDLE_CONNECTIONS_PER_WORKER = 8
"""Limit on the idle connections of one daemon to a worker, however few daemons there are."""

SHARE_UPDATE_DELAY_S = 0.1
"""Delay after a fleet change before shares are recomputed, so that one update covers the changes
that arrive meanwhile. Without it, every daemon would go through the whole fleet once for each
daemon that starts."""

WITHDRAWN_GRACE_FRACTION = 0.5
"""Fraction of ``drain_s`` during which a withdrawn worker (leaving, or in an evacuated zone) may
still get new work if no other worker of its service is available."""

LISTENER_CLOSE_DELAY_S = 3.2
"""Time for which a stopping daemon still accepts connections, because callers may use a cached list
of daemon addresses for up to three times its TTL. This covers TTLs of up to 1 s. It ends sooner
where the grace is shorter."""

MAX_TENANTS_LOGGED = 20
"""Limit on the tenant names in one log line."""

KILL_MARGIN_S = 0.6
"""A graceful stop ends at the latest this long before the platform kills the process, even if
requests or jobs are still in progress."""


class Store(RowStore, ObjectStore, Protocol):
    """A store for rows and objects whose address can change at run time."""

    def set_address(self, address: SocketAddress) -> None:
        """Send all further calls to ``address``."""


class ServingNode:
    """The components of one daemon, which serves online requests and batch jobs.

    ``source`` decodes the platform's rows for configuration and workers, ``protocol`` encodes the
    requests to workers, and ``parse_document`` splits the document of a batch job into its items.
    Must be created inside a running event loop.
    """

    def __init__(
        self,
        settings: ServingSettings,
        store: Store,
        source: ConfigurationSource,
        protocol: WorkerProtocol,
        parse_document: Callable[[bytes], tuple[JobItem, ...]],
        metrics: ServingMetrics,
        log: DecisionLog,
    ) -> None:
        self.settings = settings
        self.metrics = metrics
        self.log = log
        self._store = store
        self._stopping = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._share_update_timer: asyncio.TimerHandle | None = None
        self._listeners = ServingListeners(self._log_malformed_request)
        self._rng = rng = random.Random()
        self.directory = WorkerDirectory(
            settings.zone,
            rng,
            settings.drain_s * WITHDRAWN_GRACE_FRACTION,
            settings.geography,
        )
        self.connections = WorkerConnections()
        self.connections.reply_budget.set_memory(settings.memory_mb)
        self.queue = OnlineQueue(self.directory, rng)
        self.batch_scheduler = BatchScheduler(self.directory, self.queue, rng)
        service_chooser = WeightedServiceChooser(rng)
        self._build_membership(store)
        self.quarantine = RequestQuarantine(
            settings.name,
            WorkerCrashDetector(self.connections, metrics, log),
            MembershipReportLink(self.membership, self.registry, lambda: self.load_sharing.serving),
            rng,
            metrics,
            log,
        )
        self.quarantine.on_blocked = self.queue.reject
        self.quarantine.parts.on_blocked = self.queue.reject
        self.queue.on_over_share_changed = self._report_tenants_over_share
        self._stream_versions = StreamVersions(
            MembershipMessageLink(self.membership),
            self.directory.software_history,
            lambda: self._stored_software.loaded,
            TableConfirmation(
                lambda: (self.feeds.workers, self.feeds.suspects),
                lambda: len(self.registry.live()),
            ),
            log,
        )
        self._build_stored_software(store)
        self.forwarder = Forwarder(
            self.directory,
            self.connections,
            protocol,
            service_chooser,
            self.queue,
            self.batch_scheduler,
            self.quarantine,
            self._stream_versions,
            metrics,
            log,
        )
        self._periodic = PeriodicWork(
            self.directory,
            self.connections,
            self.queue,
            self.batch_scheduler,
            self.load_sharing,
            log,
            self.quarantine.query_peers,
        )
        self.queue.lending = self._lending = SlotLending(
            self.directory, settings.name, MembershipMessageLink(self.membership), rng
        )
        self._lending.may_lend = lambda service: not self.queue.has_waiting_requests(service)
        self._lending.preempt_batch_item = self.batch_scheduler.preempt_batch_item
        self._lending.assign_borrowed_slot = self.queue.assign_borrowed_slot
        self._limits = ServingLimits(
            settings,
            self.membership,
            self.registry,
            store,
            self._store_now_ms,
            rng,
            log,
        )
        self.access = CallerAccess(
            self._limits.gate, self._configuration_may_be_stale, metrics, log
        )
        self._configuration_state = ConfigurationState(source, log, self._apply_configuration)
        self._zones = ServingZones(
            self.directory,
            self.batch_scheduler,
            self.load_sharing,
            store,
            source,
            self._limits.limit_sharing,
            settings.cold_tolerance,
            lambda: not self._fleet_may_be_stale(),
            lambda zone: self.owners.rank(zone) == 0,
            metrics,
            log,
        )
        self.daemon_locator = DaemonLocator(
            self.registry,
            self.directory.slots,
            lambda: self._zones.evacuated,
            lambda: self.settings.geography,
            rng,
        )
        self._stored_suspects = StoredSuspects(
            self.quarantine.suspects, store, self._store_now_ms, log
        )
        self._stored_parts = StoredSuspects(
            self.quarantine.parts.suspects, store, self._store_now_ms, log, PART_ROW_PREFIX
        )
        self.quarantine.attach_store(self._stored_suspects, self._stored_parts)
        worker_sync = WorkerDirectorySync(source, self.directory, log)
        self.feeds = ServingFeeds(
            store,
            source,
            FeedTargets(
                self._apply_configuration_rows,
                worker_sync.apply,
                self.registry,
                lambda change: self.jobs.apply(change),
                self._apply_suspect_rows,
            ),
            settings,
            log,
        )
        self._build_jobs(store, protocol, service_chooser, parse_document)

    # Construction

    def _build_membership(self, store: Store) -> None:
        settings = self.settings
        incarnation = time.time_ns() // 1_000_000
        own_row = DaemonRow(
            settings.name,
            new_token(),
            str(settings.listeners.callers),
            settings.address,
            settings.gossip_port,
            settings.zone,
            str(settings.listeners.control or ""),
            incarnation,
            capacity=settings.capacity,
        )
        self.registry = DaemonRegistry(store, own_row, self.log, self._schedule_share_update)
        self.membership = DatagramMembership(
            Member(
                settings.name, settings.address, settings.gossip_port, settings.zone, incarnation
            ),
            FAILURE_DETECTION,
            FrameCodec(settings.name, incarnation, [CLUSTER_KEY], GossipBodies()),
            self.log,
            self._schedule_share_update,
        )
        self.registry.membership = self.membership
        self.load_sharing = LoadSharing(
            self.directory,
            Peer(settings.name, settings.zone, settings.capacity),
            MembershipLink(self.membership, self.registry),
            {WorkKind.ONLINE: self.queue.demand, WorkKind.BATCH: self.batch_scheduler.demand},
        )
        self.membership.on_message = self._handle_peer_message

    def _build_stored_software(self, store: Store) -> None:
        self._stored_software = StoredSoftware(
            self.directory.software_history,
            store,
            self._listed_software,
            lambda name: self.owners.rank(name) == 0,
            self._store_now_ms,
            self.log,
        )
        self._stored_origins = StoredOrigins(
            self._stream_versions.origins,
            store,
            self.settings.name,
            lambda: self._stream_versions.several_softwares,
            lambda: len(self.registry.live()),
            self.log,
        )

    def _build_jobs(
        self,
        store: Store,
        protocol: WorkerProtocol,
        service_chooser: WeightedServiceChooser,
        parse_document: Callable[[bytes], tuple[JobItem, ...]],
    ) -> None:
        context = RunnerContext(
            repository=JobRepository(store, store, self.settings.store.row_bytes),
            directory=self.directory,
            connections=self.connections,
            protocol=protocol,
            service_chooser=service_chooser,
            batch_scheduler=self.batch_scheduler,
            quarantine=self.quarantine,
            metrics=self.metrics,
            log=self.log,
            configuration=lambda: self.configuration,
            store_age_s=self.store_age_s,
            store_now_ms=self._store_now_ms,
            max_store_age_s=lambda: min(self.settings.contact_s, self.settings.cancel_s),
        )
        self.owners = owners = OwnershipRules(
            self.registry.own.token,
            self.registry.live_tokens,
            self.settings.name,
            lambda: self.load_sharing.serving,
            self._is_daemon_in_regions,
        )
        self.jobs = JobService(context, owners, parse_document, self._job_retention_s)

    # State

    @property
    def configuration(self) -> Configuration | None:
        """The current configuration, or ``None`` before the first valid one was read."""
        return self._configuration_state.current

    @property
    def ready(self) -> bool:
        """Whether callers may be referred to this daemon.

        This is so once the configuration, the list of workers and this daemon's shares are known,
        until a stop begins.
        """
        return self._has_tables and self.has_shares and not self._stopping

    @property
    def _has_tables(self) -> bool:
        """Whether the configuration, the list of workers and that of daemons are loaded."""
        feeds = (self.feeds.workers, self.feeds.daemons)
        return self.configuration is not None and all(feed.loaded.is_set() for feed in feeds)

    @property
    def has_shares(self) -> bool:
        """Whether this daemon's shares of the fleet-wide limits are known."""
        return bool(self._limits.limit_sharing.sharers)

    def _is_daemon_in_regions(self, name: str, regions: Regions) -> bool:
        """Return whether the daemon ``name`` is in one of ``regions``."""
        return self.settings.geography.allows(regions, self.registry.zone_of(name))

    def configuration_age_s(self) -> float:
        """Return an upper bound on the staleness of this daemon's configuration."""
        return self.feeds.configuration.age_s(asyncio.get_running_loop().time())

    def _configuration_may_be_stale(self) -> bool:
        """Return whether this daemon may have missed a change of the configuration."""
        return (
            self.feeds.configuration.failing or self.configuration_age_s() > self.settings.contact_s
        )

    def _fleet_may_be_stale(self) -> bool:
        """Return whether this daemon may have missed that others joined or left the fleet."""
        age_s = self.feeds.daemons.age_s(asyncio.get_running_loop().time())
        return age_s > self.settings.contact_s

    def _worker_list_is_fresh(self) -> bool:
        """Return whether this daemon cannot have missed workers that came and went."""
        return self.feeds.workers_are_fresh(asyncio.get_running_loop().time())

    def _listed_software(self) -> Mapping[int, str] | None:
        """Return the service of each software that has workers, if the list is up to date."""
        is_known = self.feeds.workers.loaded.is_set() and self._worker_list_is_fresh()
        return self.directory.service_by_software if is_known else None

    def store_age_s(self) -> float:
        """Return an upper bound on the staleness of this daemon's view of the jobs."""
        return self.feeds.jobs.age_s(asyncio.get_running_loop().time())

    def _store_now_ms(self) -> int:
        return self.feeds.store_now_ms(asyncio.get_running_loop().time())

    def _job_retention_s(self, head: JobHead) -> float:
        """Return for how long after its acceptance a job and its results are retained."""
        route = self.configuration.match(head.host, head.path) if self.configuration else None
        retention_s = route.retention_s if route is not None else 0.0
        return 2 * self.settings.status_s + retention_s

    # Feeds

    def _apply_configuration_rows(self, change: TableChange) -> None:
        self._configuration_state.apply(change)
        self._zones.apply(change)

    def _apply_suspect_rows(self, change: TableChange) -> None:
        self._stored_suspects.apply(change)
        self._stored_parts.apply(change)
        self._stored_software.apply(change)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._listeners.set_limits(configuration.limits)
        self._limits.set_tenants(configuration.tenants)
        self._zones.apply_configuration(configuration)
        self._stream_versions.apply_configuration(configuration)

    def _schedule_share_update(self) -> None:
        """Schedule an update of the shares after a fleet change, unless one is pending.

        While the list of daemons is not known, shares would be too large.
        """
        if self._share_update_timer is None and self.feeds.daemons.loaded.is_set():
            loop = asyncio.get_running_loop()
            self._share_update_timer = loop.call_later(
                SHARE_UPDATE_DELAY_S, self._update_fleet_shares
            )

    async def _take_first_shares(self) -> None:
        """Compute this daemon's shares as soon as the list of daemons is known.

        Where it names no other one, it waits for those that start at the same time.
        """
        await self.feeds.daemons.loaded.wait()
        if len(self.registry.listed()) == 1:
            await asyncio.sleep(SHARE_UPDATE_DELAY_S)
        self._update_fleet_shares()
        limit_sharing = self._limits.limit_sharing
        self.log.event(
            "shares_known",
            share=round(limit_sharing.share, 4),
            daemons=len(limit_sharing.sharers),
        )

    def _update_fleet_shares(self) -> None:
        """Recompute this daemon's share of the fleet-wide budgets.

        These are the call rate of the jobs feed, idle connections to workers, and rate limits.
        """
        if self._share_update_timer is not None:
            self._share_update_timer.cancel()
            self._share_update_timer = None
        daemon_count = max(1, len(self.registry.live()))
        self.feeds.limit_job_feed_rate(daemon_count, self.settings.cancel_s)
        services = self.configuration.services.values() if self.configuration else []
        max_connections_per_worker = min(
            (service.max_connections for service in services),
            default=DEFAULT_MAX_WORKER_CONNECTIONS,
        )
        max_idle = int(
            max_connections_per_worker
            * IDLE_CONNECTION_FRACTION
            / max(1, len(self.daemon_locator.serving()))
        )
        self.forwarder.max_idle_connections_per_worker = max(
            1, min(MAX_IDLE_CONNECTIONS_PER_WORKER, max_idle)
        )
        self._limits.redistribute(self.directory.slots())
        self._stream_versions.handle_fleet_change()

    def _handle_peer_message(self, sender_id: str, message: GossipMessage) -> None:
        if isinstance(message, LoadDigest):
            now_s = asyncio.get_running_loop().time()
            self.load_sharing.handle(sender_id, message, now_s)
        elif isinstance(message, TokenAsk | TokenGrant):
            self._limits.handle(sender_id, message)
        elif isinstance(message, SlotAsk | SlotGrant | SlotReturn):
            self._lending.handle(sender_id, message)
        elif isinstance(message, StreamOrigin | StreamQuery):
            self._stream_versions.handle(sender_id, message)
        elif isinstance(message, CrashReport | CrashQuery | PartReport | PartQuery):
            self.quarantine.handle(sender_id, message)

    # Start, stop and reload

    async def start(self, interface: CallerInterface) -> None:
        """Open all listeners, and start the background tasks, which run until the process ends."""
        await self.membership.start(self.settings.address, self.settings.gossip_port)
        await self._listeners.start(self.settings, interface, self.feeds.peer_tables.handle)
        for coroutine in (
            *self.feeds.watch_coroutines(),
            self._take_first_shares(),
            self._register(),
            self.membership.run(),
            self.jobs.run(),
            self._periodic.sweep(),
            self._periodic.run_load_cycles(),
            self._limits.run(),
            self.quarantine.run(),
            self._stored_suspects.run(),
            self._stored_parts.run(),
            self._stored_software.run(),
            self._stored_origins.run(),
            self._zones.run(),
        ):
            self._spawn(coroutine)
        self.log.event("daemon_started", zone=self.settings.zone, token=self.registry.own.token)

    async def stop(self) -> None:
        """Stop gracefully: leave the fleet, finish requests in progress and hand over the jobs.

        Requests that come meanwhile are taken if they are expected to end in time. Returns when all
        callers have disconnected and all jobs are handed over, or else ``KILL_MARGIN_S`` before the
        platform kills the process.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        deadline_s = started_s + self.settings.grace_s - KILL_MARGIN_S
        self._stopping = True
        self.forwarder.begin_stop(deadline_s)
        self.log.event("stop_begun", connections=self._listeners.caller_connection_count)
        self.membership.leave()
        self._listeners.announce_close()
        self._spawn(self.registry.announce_leaving())
        drain_task = asyncio.create_task(self.jobs.drain())
        listener_closes_s = min(started_s + LISTENER_CLOSE_DELAY_S, deadline_s - FIRST_REQUEST_S)
        await asyncio.sleep(listener_closes_s - loop.time())
        self._listeners.close_caller_listener()
        # Connections accepted last may not have sent their first request yet.
        await asyncio.sleep(min(FIRST_REQUEST_S, deadline_s - loop.time()))
        while loop.time() < deadline_s:
            if drain_task.done() and not self._listeners.caller_connection_count:
                break
            self.forwarder.reject_waiting_too_long()
            await asyncio.sleep(0.05)
        self.log.event(
            "daemon_stopped",
            connections_left=self._listeners.caller_connection_count,
            jobs_handed_on=drain_task.done(),
            after_s=round(loop.time() - started_s, 3),
        )

    def reload(self, read_settings: Callable[[], ServingSettings]) -> None:
        """Read the settings again and apply those that can change at run time.

        The store's address, seeds, tolerances and time bounds take effect at once, except that
        the pause of the jobs feed follows ``cancel_s`` at the next fleet change. Listen addresses,
        the zone and resource limits need a restart. Invalid settings are logged and change nothing.
        """
        try:
            settings = read_settings()
        except MountstandError as problem:
            self.log.event("reload_failed", cause=problem.detail)
            return
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        self.settings = settings
        self._store.set_address(settings.store.address)
        self.feeds.apply_settings(settings)
        self._limits.apply_settings(settings)
        self._zones.set_tolerance(settings.cold_tolerance)
        self.directory.withdrawn_grace_s = settings.drain_s * WITHDRAWN_GRACE_FRACTION
        self.log.event("reload", changed=changed)

    async def _register(self) -> None:
        """Add this daemon to the registry as soon as it has its tables, and maintain its row."""
        while not self._has_tables or self._stopping:
            await asyncio.sleep(0.02)
        await self.registry.run()

    def _report_tenants_over_share(self, service: str, tenants: frozenset[str]) -> None:
        """Report the tenants over their fair share of a service, whose requests are queued last."""
        self.metrics.tenants_over_share(service, len(tenants))
        self.log.event(
            "tenants_over_share",
            service=service,
            count=len(tenants),
            tenants=sorted(tenants)[:MAX_TENANTS_LOGGED],
        )

    def _log_malformed_request(self, status: int) -> None:
        self.log.event("request_malformed", status=status)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.event("task_failed", cause=repr(task.exception()))
