"""The store tables that a serving process watches, each through a feed of changes.

Feed calls are long polls: the store holds a call until rows change or its wait time has passed.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from mountstand.jobs.repository import HEADS_TABLE, partition_names
from mountstand.membership.registry import DAEMONS, DaemonRegistry
from mountstand.quarantine.stored import SUSPECTS_TABLE
from mountstand.serving.feeds import ConfigurationSource
from mountstand.serving_settings import ServingSettings, SocketAddress
from mountstand.store.peer_tables import PeerAddresses, PeerTables
from mountstand.store.rows import RowStore, StoreRefused
from mountstand.store.watch import TableChange, TableWatcher
from mountstand.telemetry.decisions import DecisionLog

MAX_JOB_FEED_CALLS_PER_S = 100.0
"""Limit on the feed calls for the jobs table by all daemons together. Without it, each result that
is added to a job would complete a pending call of every daemon."""

DAEMONS_FEED_PAUSE_S = 0.25
"""Pause between feed calls for the daemons table while it changes. Without it, each row written
during a start of the whole fleet would complete a pending call of every daemon. Failure detection
usually reports a change of a daemon's state before its row does."""

MAX_JOB_FEED_PAUSE_FRACTION = 1 / 3
"""Limit on the pause between feed calls for the jobs table, as a fraction of the time within which
the cancellation of a job must take effect. The rest is left for the owner to stop the job."""

LONG_POLL_FRACTION = 0.5
"""Duration of the long polls, as a fraction of ``contact_s``; for the jobs feed, of the smaller of
``contact_s`` and ``cancel_s``. A silently lost connection is detected one second after the poll
should have ended (the store client's ``FEED_SLACK_S``). The feed must resume before ``contact_s``
has passed, since a daemon must not act on older data as if it were current."""

ANSWER_SLACK_S = 1.0
"""How long after its wait a held call may be answered before it counts as lost."""

SUSPECTS_LONG_POLL_S = 10.0
"""Duration of the long poll for the table of request contents suspected of crashing workers. It is
longer than that of the other feeds, to save calls to the store: daemons report suspects to each
other directly, so the table matters only after a restart of the whole fleet or while daemons cannot
reach each other."""


class KnownPeerAddresses(PeerAddresses):
    """Control addresses of the running daemons, or of the configured seeds if none are known."""

    __slots__ = ("_registry", "settings")

    def __init__(self, settings: ServingSettings, registry: DaemonRegistry) -> None:
        self.settings = settings
        self._registry = registry

    def control_addresses(self) -> list[SocketAddress]:
        """Return the control addresses of other daemons."""
        own = self.settings.listeners.control
        seeds = [address for address in self.settings.seeds if address != own]
        return self._registry.control_addresses() or seeds


@dataclass(frozen=True, slots=True)
class FeedTargets:
    """Callbacks for the changes of each table, and the registry, which receives the daemons table.

    The registry also provides the addresses of peers.
    """

    apply_configuration: Callable[[TableChange], None]
    apply_workers: Callable[[TableChange], None]
    registry: DaemonRegistry
    apply_jobs: Callable[[TableChange], None]
    apply_suspects: Callable[[TableChange], None]


class ServingFeeds:
    """The watchers of all tables, and the exchange of tables with peers.

    Daemons get rows of all tables except jobs from each other while the store is unreachable.
    """

    def __init__(
        self,
        store: RowStore,
        source: ConfigurationSource,
        targets: FeedTargets,
        settings: ServingSettings,
        log: DecisionLog,
    ) -> None:
        def peer_shared_watcher(table: str, apply: Callable[[TableChange], None]) -> TableWatcher:
            # These tables have a single partition. Their rows are kept to be sent to peers.
            return TableWatcher(store, table, [""], apply, log, keep_rows=True)

        self.configuration = peer_shared_watcher(
            source.configuration_table, targets.apply_configuration
        )
        self.workers = peer_shared_watcher(source.workers_table, targets.apply_workers)
        self.daemons = peer_shared_watcher(DAEMONS, targets.registry.apply)
        self.daemons.pause_s = DAEMONS_FEED_PAUSE_S
        self.suspects = peer_shared_watcher(SUSPECTS_TABLE, targets.apply_suspects)
        self.suspects.wait_s = SUSPECTS_LONG_POLL_S
        self.jobs = TableWatcher(store, HEADS_TABLE, partition_names(), targets.apply_jobs, log)
        self._peer_addresses = KnownPeerAddresses(settings, targets.registry)
        self._set_long_poll_durations(settings)
        self.peer_tables = PeerTables(
            [self.configuration, self.workers, self.daemons, self.suspects],
            self._peer_addresses,
            log,
            random.Random(),
        )

    def apply_settings(self, settings: ServingSettings) -> None:
        """Apply new seeds and time bounds."""
        self._peer_addresses.settings = settings
        self._set_long_poll_durations(settings)

    def _set_long_poll_durations(self, settings: ServingSettings) -> None:
        """Set the duration of the long polls from the time bounds in the settings."""
        wait_s = settings.contact_s * LONG_POLL_FRACTION
        for feed in (self.configuration, self.workers, self.daemons):
            feed.wait_s = wait_s
        self.jobs.wait_s = min(wait_s, settings.cancel_s * LONG_POLL_FRACTION)

    def limit_job_feed_rate(self, daemon_count: int, cancel_s: float) -> None:
        """Set the pause between calls for the jobs table, to limit the rate of the whole fleet.

        The pause is at most ``MAX_JOB_FEED_PAUSE_FRACTION`` of ``cancel_s``, even if the fleet then
        exceeds ``MAX_JOB_FEED_CALLS_PER_S``.
        """
        max_pause_s = cancel_s * MAX_JOB_FEED_PAUSE_FRACTION
        self.jobs.pause_s = min(max_pause_s, daemon_count / MAX_JOB_FEED_CALLS_PER_S)

    def workers_are_fresh(self, now_s: float) -> bool:
        """Return whether the list of workers is at most ``contact_s`` old.

        Calls of a feed that works are held for half of ``contact_s`` each, so that its list may be
        older by ``ANSWER_SLACK_S`` as a call ends. A daemon that was suspended has an older one.
        """
        slack_s = 0.0 if self.workers.failing else ANSWER_SLACK_S
        return self.workers.age_s(now_s) <= self._peer_addresses.settings.contact_s + slack_s

    def store_now_ms(self, now_s: float) -> int:
        """Return the store's clock in milliseconds, extrapolated from the latest feed response.

        ``now_s`` is the current time of the event loop. Raises ``StoreRefused`` until the store has
        answered a feed call; tables received from peers carry no clock.
        """
        feeds = (self.configuration, self.workers, self.daemons, self.jobs)
        feeds_with_clock = [feed for feed in feeds if feed.now_read_at_s is not None]
        if not feeds_with_clock:
            raise StoreRefused("store clock unknown: the store has not answered a feed call yet")
        latest = max(feeds_with_clock, key=lambda feed: feed.now_read_at_s or 0.0)
        assert latest.now_read_at_s is not None
        return latest.now_ms + int((now_s - latest.now_read_at_s) * 1000)

    def watch_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return the coroutines that watch the tables until cancelled."""
        feeds = (self.configuration, self.workers, self.daemons, self.suspects, self.jobs)
        watchers = (*feeds, self.peer_tables)
        return [watcher.run() for watcher in watchers]
