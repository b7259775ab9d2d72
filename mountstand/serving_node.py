"""One serving process: wires routing, workers, jobs, membership and the store, and stops whole."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import fields
from typing import Any, Protocol

from mountstand.errors import MountstandError
from mountstand.jobs.item_execution import RunnerContext
from mountstand.jobs.model import JobHead, JobItem
from mountstand.jobs.owners import Owners
from mountstand.jobs.repository import JobRepository
from mountstand.jobs.service import JobService
from mountstand.membership.datagrams import FAILURE_DETECTION, DatagramMembership
from mountstand.membership.digest_link import MembershipLink, MembershipReportLink
from mountstand.membership.member import Member
from mountstand.membership.message_link import MembershipMessageLink
from mountstand.membership.registry import DaemonRegistry, DaemonRow, new_token
from mountstand.quarantine.service import RequestQuarantine
from mountstand.quarantine.stored import StoredSuspects
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
    SlotAsk,
    SlotGrant,
    SlotReturn,
    TokenAsk,
    TokenGrant,
)

CLUSTER_KEY = "insecure-development-key"
"""The platform gives no secret to its processes; the frames' hash only keeps strangers' datagrams
and damaged ones apart."""

DEFAULT_ALLOWED = 100
IDLE_SHARE = 0.5
MOST_IDLE = 8
"""Idle connections that one daemon keeps to a worker: a share of those that the worker allows."""

FLEET_CHANGE_S = 0.1
"""Changes of the fleet are taken over so late: where all start at once, each would cost every
daemon a look at all others."""

LEAVING_USE_SHARE = 0.5
"""Share of the time within which a leaving worker must get no new work for which it may still get
some where no other worker is left."""

CLOSE_LISTENERS_AFTER_S = 3.2
"""A stopping daemon takes new connections until lists of addresses kept thrice their time ran
out."""

TENANTS_TOLD = 20
"""Tenants that a line names at most."""

STOP_MARGIN_S = 0.6
"""What still runs so long before the process is killed is broken off."""


class Store(RowStore, ObjectStore, Protocol):
    """Rows and objects."""

    def set_address(self, address: SocketAddress) -> None:
        """Make further calls to ``address``."""


class ServingNode:
    """The process that serves callers on one machine."""

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
        self._fleet_change: asyncio.TimerHandle | None = None
        self._listeners = ServingListeners(self._note_rejected)
        self._source_of_chance = source_of_chance = random.Random()
        self.directory = WorkerDirectory(
            settings.zone,
            source_of_chance,
            settings.drain_s * LEAVING_USE_SHARE,
            settings.geography,
        )
        self.connections = WorkerConnections()
        self.queue = OnlineQueue(self.directory, source_of_chance)
        self.batch_scheduler = BatchScheduler(self.directory, self.queue, source_of_chance)
        service_chooser = WeightedServiceChooser(source_of_chance)
        self._build_membership(store)
        self.quarantine = RequestQuarantine(
            settings.name,
            WorkerCrashDetector(self.connections, metrics, log),
            MembershipReportLink(self.membership, lambda: self.load_sharing.serving),
            source_of_chance,
            metrics,
            log,
        )
        self.quarantine.on_blocked = self.queue.reject
        self.queue.on_over_share_changed = self._note_over_share
        self.forwarder = Forwarder(
            self.directory,
            self.connections,
            protocol,
            service_chooser,
            self.queue,
            self.batch_scheduler,
            self.quarantine,
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
            self.directory, settings.name, MembershipMessageLink(self.membership), source_of_chance
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
            source_of_chance,
            log,
        )
        self.access = CallerAccess(
            self._limits.gate, self._configuration_may_be_stale, metrics, log
        )
        self._configuration_state = ConfigurationState(source, log, self._use_configuration)
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
        self.callers = DaemonLocator(
            self.registry,
            self.directory.slots,
            lambda: self._zones.evacuated,
            lambda: self.settings.geography,
            source_of_chance,
        )
        self._stored_suspects = StoredSuspects(
            self.quarantine.suspects, store, self._store_now_ms, log
        )
        self.quarantine.attach_store(self._stored_suspects)
        workers_state = WorkerDirectorySync(source, self.directory, log)
        self.feeds = ServingFeeds(
            store,
            source,
            FeedTargets(
                self._apply_operators_rows,
                workers_state.apply,
                self.registry,
                lambda change: self.jobs.apply(change),
                self._stored_suspects.apply,
            ),
            settings,
            log,
        )
        self._build_jobs(store, protocol, service_chooser, parse_document)

    # Construction

    def _build_membership(self, store: Store) -> None:
        settings = self.settings
        incarnation = time.time_ns() // 1_000_000
        own = DaemonRow(
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
        self.registry = DaemonRegistry(store, own, self.log, self._handle_members)
        self.membership = DatagramMembership(
            Member(
                settings.name, settings.address, settings.gossip_port, settings.zone, incarnation
            ),
            FAILURE_DETECTION,
            FrameCodec(settings.name, incarnation, [CLUSTER_KEY], GossipBodies()),
            self.log,
            self._handle_members,
        )
        self.registry.membership = self.membership
        self.load_sharing = LoadSharing(
            self.directory,
            Peer(settings.name, settings.zone, settings.capacity),
            MembershipLink(self.membership, self.registry),
            {WorkKind.ONLINE: self.queue.demand, WorkKind.BATCH: self.batch_scheduler.demand},
        )
        self.membership.on_message = self._handle_peer_message

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
            contact_limit_s=lambda: min(self.settings.contact_s, self.settings.cancel_s),
        )
        self.owners = owners = Owners(
            self.registry.own.token,
            self.registry.live_tokens,
            self.settings.name,
            lambda: self.load_sharing.serving,
            self._is_in,
        )
        self.jobs = JobService(context, owners, parse_document, self._keep_s)

    # State

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, if any."""
        return self._configuration_state.current

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        informed = self.configuration is not None and self.feeds.workers.loaded.is_set()
        return informed and not self._stopping

    def _is_in(self, name: str, regions: Regions) -> bool:
        """Return whether a daemon is in one of some regions."""
        return self.settings.geography.allows(regions, self.registry.zone_of(name))

    def configuration_age_s(self) -> float:
        """Return how old this daemon's picture of the configuration may be."""
        return self.feeds.configuration.age_s(asyncio.get_running_loop().time())

    def _configuration_may_be_stale(self) -> bool:
        """Return whether the configuration may have changed without being seen here."""
        return (
            self.feeds.configuration.failing or self.configuration_age_s() > self.settings.contact_s
        )

    def _fleet_may_be_stale(self) -> bool:
        """Return whether daemons may have come or gone without being seen here."""
        age_s = self.feeds.daemons.age_s(asyncio.get_running_loop().time())
        return age_s > self.settings.contact_s

    def store_age_s(self) -> float:
        """Return how old this daemon's picture of the jobs may be."""
        return self.feeds.jobs.age_s(asyncio.get_running_loop().time())

    def _store_now_ms(self) -> int:
        return self.feeds.store_now_ms(asyncio.get_running_loop().time())

    def _keep_s(self, head: JobHead) -> float:
        """Return how long a job is kept after its acceptance."""
        route = self.configuration.match(head.host, head.path) if self.configuration else None
        retention_s = route.retention_s if route is not None else 0.0
        return 2 * self.settings.status_s + retention_s

    # Feeds

    def _apply_operators_rows(self, change: TableChange) -> None:
        self._configuration_state.apply(change)
        self._zones.apply(change)

    def _use_configuration(self, configuration: Configuration) -> None:
        self._listeners.set_limits(configuration.limits)
        self._limits.set_tenants(configuration.tenants)
        self._zones.apply_configuration(configuration)

    def _handle_members(self) -> None:
        """Note that the fleet changed; changes that come together are taken over at once."""
        if self._fleet_change is None:
            loop = asyncio.get_running_loop()
            self._fleet_change = loop.call_later(FLEET_CHANGE_S, self._share_out)

    def _share_out(self) -> None:
        """Share out among the daemons what all of them together may use."""
        self._fleet_change = None
        daemons = max(1, len(self.registry.live()))
        self.feeds.limit_job_polling(daemons, self.settings.cancel_s)
        services = self.configuration.services.values() if self.configuration else []
        allowed = min((service.max_connections for service in services), default=DEFAULT_ALLOWED)
        share = int(allowed * IDLE_SHARE / max(1, len(self.callers.serving())))
        self.forwarder.max_idle_connections_per_worker = max(1, min(MOST_IDLE, share))
        self._limits.update_fleet(self.directory.slots())

    def _handle_peer_message(self, sender_id: str, message: GossipMessage) -> None:
        if isinstance(message, LoadDigest):
            now_s = asyncio.get_running_loop().time()
            self.load_sharing.handle(sender_id, message, now_s)
        elif isinstance(message, TokenAsk | TokenGrant):
            self._limits.handle(sender_id, message)
        elif isinstance(message, SlotAsk | SlotGrant | SlotReturn):
            self._lending.handle(sender_id, message)
        elif isinstance(message, CrashReport | CrashQuery):
            self.quarantine.handle(sender_id, message)

    # Life

    async def start(self, interface: CallerInterface) -> None:
        """Listen and begin to follow the store."""
        await self.membership.start(self.settings.address, self.settings.gossip_port)
        await self._listeners.start(self.settings, interface, self.feeds.peer_tables.handle)
        for work in (
            *self.feeds.run_coroutines(),
            self._register(),
            self.membership.run(),
            self.jobs.run(),
            self._periodic.sweep(),
            self._periodic.balance_load(),
            self._limits.run(),
            self.quarantine.run(),
            self._stored_suspects.run(),
            self._zones.run(),
        ):
            self._spawn(work)
        self.log.event("daemon_started", zone=self.settings.zone, token=self.registry.own.token)

    async def stop(self) -> None:
        """Stop as planned: leave the list, finish what is in progress, hand the jobs on."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        end_s = began_s + self.settings.grace_s - STOP_MARGIN_S
        self._stopping = True
        self.log.event("stop_begun", connections=self._listeners.caller_connection_count)
        self.membership.leave()
        self._listeners.announce_close()
        self._spawn(self.registry.announce_leaving())
        drained = asyncio.create_task(self.jobs.drain())
        await asyncio.sleep(CLOSE_LISTENERS_AFTER_S)
        self._listeners.close_caller_listener()
        await asyncio.sleep(FIRST_REQUEST_S)
        while loop.time() < end_s:
            if drained.done() and not self._listeners.caller_connection_count:
                break
            await asyncio.sleep(0.05)
        self.log.event(
            "daemon_stopped",
            connections_left=self._listeners.caller_connection_count,
            jobs_handed_on=drained.done(),
            after_s=round(loop.time() - began_s, 3),
        )

    def reload(self, read: Callable[[], ServingSettings]) -> None:
        """Read the settings again; bounds and the store's address are in force at once.

        Addresses that this process listens on need a new start. Settings that are wrong are told
        and change nothing.
        """
        try:
            settings = read()
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
        self.directory.withdrawn_grace_s = settings.drain_s * LEAVING_USE_SHARE
        self.log.event("reload", changed=changed)

    async def _register(self) -> None:
        """Enter the list of daemons once this one can serve."""
        while not self.ready:
            await asyncio.sleep(0.02)
        await self.registry.run()

    def _note_over_share(self, service: str, tenants: frozenset[str]) -> None:
        """Tell whose requests go behind others while some wait for a service."""
        self.metrics.tenants_over_share(service, len(tenants))
        self.log.event(
            "tenants_over_share",
            service=service,
            count=len(tenants),
            tenants=sorted(tenants)[:TENANTS_TOLD],
        )

    def _note_rejected(self, status: int) -> None:
        self.log.event("request_malformed", status=status)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_ended)

    def _note_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.event("task_failed", cause=repr(task.exception()))
