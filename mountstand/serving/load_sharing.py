"""Shares load counts among daemons with periodic digests.

Each daemon tells its peers how many requests it has in flight at each worker. A worker reports its
own load only in response headers, so between two responses the sum over all daemons is the best
estimate of its load. It is also the only source that separates online requests from batch items.
:mod:`mountstand.serving.load_groups` determines which daemon sends digests to which.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mountstand.serving.load_counts import (
    QUARTERS_PER_OUTCOME,
    TOKENS_PER_BLOCK,
    CountsByKey,
    LoadCounts,
    build_digest,
    counts_from_digest,
    has_outstanding_work,
    sum_counts,
    to_quarters,
)
from mountstand.serving.load_groups import (
    LoadGroup,
    Peer,
    assign_group,
    peers_outside_zones,
    serving_daemons,
)
from mountstand.serving.slot_demand import SlotDemand, WaitingCounts, WorkKind, service_key
from mountstand.serving.slot_shares import partition_slots
from mountstand.serving.worker import Worker
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import LoadDigest, Scope

FULL_MESH_PERIOD_S = 0.03
"""Digest period of a small fleet, where every daemon sends to every other one. With 0.1 s, workers
are chosen by older loads, and callers are served worse."""

MIN_HIERARCHICAL_PERIOD_S = 0.08
"""Shortest digest period of a fleet whose heads have members."""

MAX_HEAD_DIGESTS_PER_S = 200.0
"""Target for the digests that one head sends, from which the period of a large fleet follows.
Load reports need up to three digests to reach a daemon there: with half of this rate, a fleet of 63
daemons serves callers clearly worse, even at its usual load."""

DIGEST_REFRESH_S = 0.5
"""An unchanged digest is sent again after this time, or after one period if that is longer."""

DIGEST_EXPIRY_S = 1.5
"""A peer that sent no digest for this time counts as having no load. Three times
``DIGEST_REFRESH_S``, to tolerate lost datagrams."""

DIGEST_EXPIRY_PERIODS = 9
"""As ``DIGEST_EXPIRY_S``, in digest periods; the longer of the two times applies."""

UNREACHABLE_REPORT_S = 0.3
"""How long digests report a worker as unreachable after a failed connection attempt.

It covers several digests, in case one is lost, and is short so that a worker that accepts
connections again is soon no longer reported.
"""


class DigestLink(ABC):
    """Transport of digests, and source of the membership list."""

    __slots__ = ()

    @abstractmethod
    def peers(self) -> list[Peer]:
        """Return the daemons on the membership list that are alive, with or without this one."""

    @abstractmethod
    def send(self, digest: LoadDigest, receivers: Iterable[str]) -> None:
        """Send a digest to the daemons with the ids ``receivers``, without waiting for delivery."""


IDLE_MEMBER_UPDATE_PERIODS = 4
"""Periods between fleet digests to an idle member while only heads serve callers.

An idle member needs fleet digests only to have a recent state if it becomes a head or gets a
request.
"""

HOPS_DIRECT = 1
"""Digest hops between daemons in a full mesh, or between heads."""

HOPS_VIA_HEADS = 3
"""Digest hops from a member to a member of another group: by way of the heads of both."""

HOPS_IDLE_MEMBER = HOPS_VIA_HEADS + IDLE_MEMBER_UPDATE_PERIODS - 1
"""As ``HOPS_VIA_HEADS``, plus the periods in which an idle member gets no fleet digest."""


@dataclass(slots=True)
class _ReceivedDigest:
    """The latest digest of one sender."""

    received_s: float
    scope: Scope
    counts_by_key: CountsByKey


class LoadSharing:
    """Sends this daemon's load to its peers, and applies theirs to the worker directory.

    ``demand_by_work`` holds the requests and batch items that wait for slots. Call :meth:`tick`
    every ``period_s`` seconds and :meth:`handle` for each digest received.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        own_peer: Peer,
        link: DigestLink,
        demand_by_work: Mapping[WorkKind, SlotDemand] | None = None,
    ) -> None:
        self._directory = directory
        self._demand_by_work = dict(demand_by_work or {})
        self._own_peer = own_peer
        self._link = link
        self._peers: frozenset[Peer] = frozenset()
        self._group = assign_group(own_peer, ())
        self._serving: frozenset[str] = frozenset()
        self._group_inputs: tuple[frozenset[Peer], int, frozenset[str]] | None = None
        self._ticks = 0
        self._evacuated_zones: frozenset[str] = frozenset()
        self._digest_by_sender: dict[str, _ReceivedDigest] = {}
        self._unreachable_report_s_by_key: dict[int, float] = {}
        self._keys_with_peer_counts: set[int] = set()
        self._slots_assigned_for: dict[int, Worker] | None = None
        self._own_counts_sent: CountsByKey = {}
        self._last_sent_by_scope: dict[Scope, LoadDigest] = {}
        self._elapsed_s_by_scope: dict[Scope, float] = {}

    @property
    def period_s(self) -> float:
        """Time to wait between two calls of :meth:`tick`; longer in a large fleet."""
        if not self._group.hierarchical:
            return FULL_MESH_PERIOD_S
        member_count = self._group.max_average_members
        if self._only_heads_serve:
            member_count = math.ceil(member_count / IDLE_MEMBER_UPDATE_PERIODS)
        return max(
            MIN_HIERARCHICAL_PERIOD_S,
            (len(self._group.heads) - 1 + member_count) / MAX_HEAD_DIGESTS_PER_S,
        )

    @property
    def hops(self) -> int:
        """Most digest hops, of one period each, before this daemon knows of another's request."""
        if not self._group.hierarchical:
            return HOPS_DIRECT
        if self._only_heads_serve and self._is_head:
            return HOPS_DIRECT
        idle = self._only_heads_serve and not has_outstanding_work(self._own_counts_sent)
        return HOPS_IDLE_MEMBER if idle else HOPS_VIA_HEADS

    @property
    def serving(self) -> frozenset[str]:
        """Ids of the daemons that callers are referred to."""
        return self._serving

    @property
    def _only_heads_serve(self) -> bool:
        """Whether callers are referred to heads alone."""
        return self._serving <= self._group.heads

    @property
    def _is_head(self) -> bool:
        return self._group.head == self._own_peer.member_id

    @property
    def group(self) -> LoadGroup:
        """The group of this daemon."""
        return self._group

    def tick(self, now_s: float) -> None:
        """Send digests that are due, and drop the digests of peers that stopped sending."""
        self._update_groups()
        self._assign_slots()
        self._expire(now_s)
        self._directory.chooser.peer_load_age_s = self.hops * self.period_s / 2
        own_counts = self._own_counts(now_s)
        unreachable = self._unreachable_keys_to_report(now_s)
        if self._is_head:
            self._send_as_head(own_counts, unreachable)
        else:
            self._send(Scope.DAEMON, own_counts, unreachable, (self._group.head,))
            self._own_counts_sent = own_counts
            self._apply_peer_counts(self._peer_counts_from_head())

    def handle(self, sender: str, digest: LoadDigest, now_s: float) -> None:
        """Process a digest that was received from another daemon."""
        counts_by_key = counts_from_digest(digest)
        previous = self._digest_by_sender.get(sender)
        self._digest_by_sender[sender] = _ReceivedDigest(now_s, digest.scope, counts_by_key)
        for key in digest.unreachable:
            self._unreachable_report_s_by_key[key] = now_s
        if digest.unreachable:
            self._mark_unreachable(set(digest.unreachable), now_s)
        if not self._group.hierarchical:
            self._apply_peer_counts(sum_counts(self._counts_with_scope(Scope.DAEMON, Scope.GROUP)))
        elif self._is_head and previous is not None and previous.scope is digest.scope:
            self._apply_peer_change(previous.counts_by_key, counts_by_key)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Refer callers to no daemon in these zones, unless there are no others."""
        self._evacuated_zones = zones

    # Sending

    def _send_as_head(self, own_counts: CountsByKey, unreachable: tuple[int, ...]) -> None:
        """Send the sum of the group to the other heads, and the sum of the fleet to the members."""
        member_counts = sum_counts(self._counts_with_scope(Scope.DAEMON))
        head_counts = sum_counts(self._counts_with_scope(Scope.GROUP))
        group_counts = sum_counts([own_counts, member_counts]) if member_counts else own_counts
        self._send(Scope.GROUP, group_counts, unreachable, self._group.other_heads)
        receivers = self._next_fleet_receivers()
        if receivers:
            fleet_counts = sum_counts([group_counts, head_counts])
            # The receivers change from period to period, so some may lack an unchanged digest.
            self._send(
                Scope.FLEET, fleet_counts, unreachable, receivers, force=self._only_heads_serve
            )
        self._apply_peer_counts(
            sum_counts([member_counts, head_counts]) if member_counts else head_counts
        )

    def _next_fleet_receivers(self) -> tuple[str, ...]:
        """Count a period, and return the members that get a fleet digest in it."""
        self._ticks += 1
        if not self._only_heads_serve or self._ticks % IDLE_MEMBER_UPDATE_PERIODS == 0:
            return self._group.members
        return tuple(
            member
            for member in self._group.members
            if member in self._digest_by_sender
            and has_outstanding_work(self._digest_by_sender[member].counts_by_key)
        )

    def _send(
        self,
        scope: Scope,
        counts_by_key: CountsByKey,
        unreachable: tuple[int, ...],
        receivers: tuple[str, ...],
        *,
        force: bool = False,
    ) -> None:
        """Send a digest if it changed, is due for a refresh, or ``force`` is set."""
        digest = build_digest(scope, counts_by_key, unreachable)
        elapsed_s = self._elapsed_s_by_scope.get(scope, 0.0) + self.period_s
        unchanged = digest == self._last_sent_by_scope.get(scope)
        if unchanged and elapsed_s < DIGEST_REFRESH_S and not force:
            self._elapsed_s_by_scope[scope] = elapsed_s
            return
        self._elapsed_s_by_scope[scope] = 0.0
        self._last_sent_by_scope[scope] = digest
        if receivers:
            self._link.send(digest, receivers)

    def _own_counts(self, now_s: float) -> CountsByKey:
        """Return this daemon's load at each worker and its demand for each pool."""
        counts_by_key: CountsByKey = {}
        for worker in self._directory.workers.values():
            outcomes = worker.health.own
            if not (worker.in_flight or outcomes.decayed_at_s):
                continue
            outcomes.decay(now_s)
            counts = LoadCounts(
                worker.in_flight - worker.batch_in_flight,
                worker.batch_in_flight,
                to_quarters(outcomes.succeeded),
                to_quarters(outcomes.failed),
                prefill_blocks=-(-worker.own_prefill_tokens // TOKENS_PER_BLOCK),
            )
            if not counts.empty:
                counts_by_key[worker.key] = counts
        for work, demand in self._demand_by_work.items():
            for pool, waiting in demand.own_by_service.items():
                counts = LoadCounts(waiting_on_time=waiting.on_time, waiting_late=waiting.late)
                if not counts.empty:
                    counts_by_key[service_key(pool, work)] = counts
        return counts_by_key

    def _unreachable_keys_to_report(self, now_s: float) -> tuple[int, ...]:
        """Return the keys of workers to report as unreachable.

        A head with members also relays the reports that it received.
        """
        oldest_s = now_s - UNREACHABLE_REPORT_S
        keys = {
            worker.key
            for worker in self._directory.workers.values()
            if worker.last_connect_failure_s > oldest_s
        }
        if self._group.members:
            keys.update(self._unreachable_report_s_by_key)
        return tuple(sorted(keys))

    # Groups

    def _update_groups(self) -> None:
        """Recompute groups and serving daemons if membership, slots or evacuations changed."""
        peers = frozenset(self._link.peers())
        slots = self._directory.slots()
        inputs = (peers, slots, self._evacuated_zones)
        if inputs == self._group_inputs:
            return
        self._group_inputs = inputs
        self._peers = peers
        self._group = assign_group(self._own_peer, peers)
        daemons = peers_outside_zones(peers | {self._own_peer}, self._evacuated_zones)
        self._serving = serving_daemons(daemons, slots)
        self._slots_assigned_for = None

    def _assign_slots(self) -> None:
        """Assign worker slots to serving daemons if the daemons or workers changed.

        The directory builds a new ``by_key`` whenever its workers change.
        """
        worker_by_key = self._directory.by_key
        if self._slots_assigned_for is worker_by_key:
            return
        self._slots_assigned_for = worker_by_key
        serving_peers = [p for p in self._peers | {self._own_peer} if p.member_id in self._serving]
        owners_by_service = {
            service: partition_slots(serving_peers, self._directory.active_workers(service))
            for service in self._directory.services
        }
        own_id = self._own_peer.member_id
        self._directory.chooser.slot_owners_by_service = owners_by_service
        self._directory.chooser.own_slots = {
            worker_id: slots_by_owner[own_id]
            for owners_by_worker_id in owners_by_service.values()
            for worker_id, slots_by_owner in owners_by_worker_id.items()
            if own_id in slots_by_owner
        }

    def _expire(self, now_s: float) -> None:
        limit_s = max(DIGEST_EXPIRY_S, DIGEST_EXPIRY_PERIODS * self.period_s)
        for sender, digest in list(self._digest_by_sender.items()):
            if now_s - digest.received_s > limit_s:
                del self._digest_by_sender[sender]
        for key, reported_s in list(self._unreachable_report_s_by_key.items()):
            if now_s - reported_s > UNREACHABLE_REPORT_S:
                del self._unreachable_report_s_by_key[key]

    def _counts_with_scope(self, *scopes: Scope) -> list[CountsByKey]:
        return [d.counts_by_key for d in self._digest_by_sender.values() if d.scope in scopes]

    # Peer counts

    def _apply_peer_counts(self, peer_counts: CountsByKey) -> None:
        """Set the peer counts of each worker and pool to those of all other daemons.

        Visits only workers with counts in ``peer_counts`` or in the last update, since most workers
        of a large fleet have neither.
        """
        zero = LoadCounts()
        worker_by_key = self._directory.by_key
        for key in self._keys_with_peer_counts | peer_counts.keys():
            worker = worker_by_key.get(key)
            if worker is None:
                continue
            counts = peer_counts.get(key, zero)
            worker.peer_online = max(0, counts.online)
            worker.peer_batch = max(0, counts.batch)
            worker.peer_prefill_tokens = max(0, counts.prefill_blocks) * TOKENS_PER_BLOCK
            worker.health.peers_succeeded = max(0, counts.succeeded) / QUARTERS_PER_OUTCOME
            worker.health.peers_failed = max(0, counts.failed) / QUARTERS_PER_OUTCOME
        self._keys_with_peer_counts = set(peer_counts)
        for work, demand in self._demand_by_work.items():
            for pool in self._directory.pool_names:
                counts = peer_counts.get(service_key(pool, work), zero)
                waiting = WaitingCounts(max(0, counts.waiting_on_time), max(0, counts.waiting_late))
                demand.peers_by_service[pool] = waiting

    def _apply_peer_change(self, previous: CountsByKey, latest: CountsByKey) -> None:
        """Update the peer counts of workers by the change in one sender's digest.

        This is cheaper for a head than summing up all senders on each digest; the next tick sets
        the exact sums.
        """
        zero = LoadCounts()
        worker_by_key = self._directory.by_key
        self._keys_with_peer_counts |= latest.keys()
        for key in previous.keys() | latest.keys():
            worker = worker_by_key.get(key)
            if worker is None:
                continue
            before, after = previous.get(key, zero), latest.get(key, zero)
            worker.peer_online = max(0, worker.peer_online + after.online - before.online)
            worker.peer_batch = max(0, worker.peer_batch + after.batch - before.batch)
            prefill_tokens = (
                worker.peer_prefill_tokens
                + (after.prefill_blocks - before.prefill_blocks) * TOKENS_PER_BLOCK
            )
            worker.peer_prefill_tokens = max(0, prefill_tokens)

    def _peer_counts_from_head(self) -> CountsByKey:
        """Return the counts of all other daemons.

        They are the counts in the head's fleet digest less those that this daemon last sent.
        """
        fleet = self._digest_by_sender.get(self._group.head)
        if fleet is None or fleet.scope is not Scope.FLEET:
            return {}
        peer_counts = sum_counts([fleet.counts_by_key])
        for key, counts in self._own_counts_sent.items():
            if key in peer_counts:
                peer_counts[key].subtract(counts)
        return peer_counts

    def _mark_unreachable(self, keys: set[int], now_s: float) -> None:
        worker_by_key = self._directory.by_key
        for key in keys & worker_by_key.keys():
            worker_by_key[key].note_peer_reported_unreachable(now_s)
