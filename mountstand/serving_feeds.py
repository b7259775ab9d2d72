"""What a serving process follows in the store: one feed per table that it needs."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from mountstand.jobs.repository import HEADS, partitions
from mountstand.membership.registry import DAEMONS, DaemonRegistry
from mountstand.quarantine.stored import SUSPECTS_TABLE
from mountstand.serving.feeds import ConfigurationSource
from mountstand.serving_settings import ServingSettings, SocketAddress
from mountstand.store.peer_tables import PeerAddresses, PeerTables
from mountstand.store.rows import RowStore, StoreRefused
from mountstand.store.watch import TableChange, TableWatcher
from mountstand.telemetry.decisions import DecisionLog

JOB_FEED_CALLS_PER_S = 100.0
"""Calls that follow the jobs, of all daemons together, while jobs change all the time: each
result that is listed would otherwise answer a call of every daemon."""

DAEMONS_PAUSE_S = 0.25
"""When all start at once each daemon's row would answer a call of every other. Failure detection
tells changes of a daemon's state sooner than its row."""

LONGEST_PAUSE_SHARE = 1 / 3
"""A daemon looks at the jobs this often at least, as a share of the time within which the end of a
job must be obeyed; an owner that learns of an end so late has most of that time left."""

WAIT_SHARE = 0.5
"""How long feeds are held, as a share of the time without the store after which a daemon no longer
counts as in touch. A feed that broke without a word is noticed a second after its wait, in time to
be followed again before the daemon is bound by what it tells."""


SUSPECTS_WAIT_S = 10.0
"""How long the call that follows contents that crash workers is held. Daemons tell each other at
once, so this feed matters after a loss of all of them, or where they are cut off from each other;
held so long it costs a twentieth of the calls that the other feeds make."""


class KnownPeers(PeerAddresses):
    """Daemons that run as far as is known, or else the seeds of the settings."""

    __slots__ = ("_registry", "settings")

    def __init__(self, settings: ServingSettings, registry: DaemonRegistry) -> None:
        self.settings = settings
        self._registry = registry

    def control_addresses(self) -> list[SocketAddress]:
        """Return control addresses of other daemons."""
        own = self.settings.listeners.control
        seeds = [address for address in self.settings.seeds if address != own]
        return self._registry.control_addresses() or seeds


@dataclass(frozen=True, slots=True)
class FeedTargets:
    """Who is told of changes."""

    apply_configuration: Callable[[TableChange], None]
    apply_workers: Callable[[TableChange], None]
    registry: DaemonRegistry
    apply_jobs: Callable[[TableChange], None]
    apply_suspects: Callable[[TableChange], None]


class ServingFeeds:
    """Watchers of the tables, and the exchange of all but the jobs with peers."""

    def __init__(
        self,
        store: RowStore,
        source: ConfigurationSource,
        targets: FeedTargets,
        settings: ServingSettings,
        log: DecisionLog,
    ) -> None:
        def shared(table: str, apply: Callable[[TableChange], None]) -> TableWatcher:
            return TableWatcher(store, table, [""], apply, log, keep_rows=True)

        self.configuration = shared(source.configuration_table, targets.apply_configuration)
        self.workers = shared(source.workers_table, targets.apply_workers)
        self.daemons = shared(DAEMONS, targets.registry.apply)
        self.daemons.pause_s = DAEMONS_PAUSE_S
        self.suspects = shared(SUSPECTS_TABLE, targets.apply_suspects)
        self.suspects.wait_s = SUSPECTS_WAIT_S
        self.jobs = TableWatcher(store, HEADS, partitions(), targets.apply_jobs, log)
        self._known_peers = KnownPeers(settings, targets.registry)
        self._hold(settings)
        self.peer_tables = PeerTables(
            [self.configuration, self.workers, self.daemons, self.suspects],
            self._known_peers,
            log,
            random.Random(),
        )

    def apply_settings(self, settings: ServingSettings) -> None:
        """Ask other seeds from now on, and hold feeds as the bounds allow."""
        self._known_peers.settings = settings
        self._hold(settings)

    def _hold(self, settings: ServingSettings) -> None:
        """Set how long the calls of each feed are held."""
        wait_s = settings.contact_s * WAIT_SHARE
        for feed in (self.configuration, self.workers, self.daemons):
            feed.wait_s = wait_s
        self.jobs.wait_s = min(wait_s, settings.cancel_s * WAIT_SHARE)

    def limit_job_polling(self, daemons: int, cancel_s: float) -> None:
        """Divide the calls that follow the jobs among so many daemons."""
        longest_s = cancel_s * LONGEST_PAUSE_SHARE
        self.jobs.pause_s = min(longest_s, daemons / JOB_FEED_CALLS_PER_S)

    def store_now_ms(self, now_s: float) -> int:
        """Return the store's clock by the feed that was answered last.

        Raises ``StoreRefused`` while the store has answered none: rows from peers tell no clock.
        """
        feeds = (self.configuration, self.workers, self.daemons, self.jobs)
        answered = [feed for feed in feeds if feed.now_read_at_s is not None]
        if not answered:
            raise StoreRefused("the store's clock is not known yet")
        latest = max(answered, key=lambda feed: feed.now_read_at_s or 0.0)
        assert latest.now_read_at_s is not None
        return latest.now_ms + int((now_s - latest.now_read_at_s) * 1000)

    def run_coroutines(self) -> list[Coroutine[Any, Any, None]]:
        """Return the work that follows the tables, until cancelled."""
        feeds = (self.configuration, self.workers, self.daemons, self.suspects, self.jobs)
        followed = (*feeds, self.peer_tables)
        return [each.run() for each in followed]
