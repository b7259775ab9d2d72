"""What the other daemons have in flight at each worker, told by their digests.

Workers tell their load only with an answer's head. Between two of those, the sum of what all
daemons have in flight is the best picture there is, and the only one that tells online work and
batch work apart. Who tells whom is in :mod:`mountstand.serving.load_groups`.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from mountstand.serving.load_counts import (
    QUARTERS,
    TOKENS_PER_BLOCK,
    CountsByKey,
    LoadCounts,
    counts_in,
    digest_of,
    has_items,
    quarters,
    total_of,
)
from mountstand.serving.load_groups import (
    LoadGroup,
    Peer,
    group_of,
    peers_outside_zones,
    serving_daemons,
)
from mountstand.serving.slot_demand import SlotDemand, WaitingCounts, WorkKind, service_key
from mountstand.serving.slot_shares import partition_slots
from mountstand.serving.worker import Worker
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import LoadDigest, Scope

DIRECT_PERIOD_S = 0.03
"""Period of a small fleet, where all tell all. 0.1 s cost 0.014 of worth
(docs/design/deciding.md)."""

GROUPED_PERIOD_S = 0.08
DIGESTS_PER_S = 200.0
"""Shortest period where heads add up digests, and how many a head sends at most. Word takes three
digests there at worst: with 100 a second the quiet day of 63 daemons earned 0.754, with 200 0.848
(docs/design/deciding.md)."""

REFRESH_S = 0.5
"""An unchanged digest is sent again after this time, or after a period if that is longer."""

EXPIRY_S = 1.5
EXPIRY_PERIODS = 9
"""A daemon that sent none for so long is taken to have nothing in flight: three digests that got
lost, and more where periods are long."""

UNREACHABLE_TOLD_S = 0.3
"""How long a worker that accepted no connection is told as unreachable: peers hear it in one of
the next digests, and a worker that answers again is not told any more."""


class DigestLink(ABC):
    """How digests reach other daemons, and which daemons there are."""

    __slots__ = ()

    @abstractmethod
    def peers(self) -> list[Peer]:
        """Return the daemons that are believed to run."""

    @abstractmethod
    def send(self, digest: LoadDigest, receivers: Iterable[str]) -> None:
        """Send a digest to daemons."""


MEMBERS_EVERY = 4
"""Members that have nothing in flight, since callers are told of heads alone, are told of the fleet
in every fourth period only: enough to begin with, and to become a head at any moment."""

HOPS_ALONE = 1
HOPS_GROUPED = 3
HOPS_IDLE = HOPS_GROUPED + MEMBERS_EVERY - 1
"""Digests that word of a request takes to reach a daemon: directly, or by two heads, or to a member
that is told seldom."""


@dataclass(slots=True)
class _Heard:
    """The last digest of one sender."""

    at_s: float
    scope: Scope
    counts_by_key: CountsByKey


class LoadSharing:
    """Sends this daemon's digest, and adds up those of the others."""

    def __init__(
        self,
        directory: WorkerDirectory,
        own: Peer,
        link: DigestLink,
        demand_by_work: Mapping[WorkKind, SlotDemand] | None = None,
    ) -> None:
        self._directory = directory
        self._demand_by_work = dict(demand_by_work or {})
        self._own_peer = own
        self._link = link
        self._peers: frozenset[Peer] = frozenset()
        self._group = group_of(own, ())
        self._serving: frozenset[str] = frozenset()
        self._grouped_for: tuple[frozenset[Peer], int, frozenset[str]] | None = None
        self._ticks = 0
        self._evacuated_zones: frozenset[str] = frozenset()
        self._heard_by_sender: dict[str, _Heard] = {}
        self._unreachable_heard: dict[int, float] = {}
        self._told_keys: set[int] = set()
        self._dealt_for: dict[int, Worker] | None = None
        self._own_told: CountsByKey = {}
        self._sent_by_scope: dict[Scope, LoadDigest] = {}
        self._unsent_s_by_scope: dict[Scope, float] = {}

    @property
    def period_s(self) -> float:
        """How often digests are sent, given the size of the fleet."""
        if not self._group.grouped:
            return DIRECT_PERIOD_S
        members = self._group.most_members
        if self._heads_serve_alone:
            members = math.ceil(members / MEMBERS_EVERY)
        return max(GROUPED_PERIOD_S, (len(self._group.heads) - 1 + members) / DIGESTS_PER_S)

    @property
    def hops(self) -> int:
        """How many digests word of a request takes to get here."""
        if not self._group.grouped:
            return HOPS_ALONE
        if self._heads_serve_alone and self._is_head:
            return HOPS_ALONE
        idle = self._heads_serve_alone and not has_items(self._own_told)
        return HOPS_IDLE if idle else HOPS_GROUPED

    @property
    def serving(self) -> frozenset[str]:
        """The daemons that callers are told of, as this one believes."""
        return self._serving

    @property
    def _heads_serve_alone(self) -> bool:
        """Whether all daemons that callers are told of are heads."""
        return self._serving <= self._group.heads

    @property
    def _is_head(self) -> bool:
        return self._group.head == self._own_peer.member_id

    @property
    def group(self) -> LoadGroup:
        """The place of this daemon among the groups."""
        return self._group

    def tick(self, now_s: float) -> None:
        """Send what changed, and forget daemons that fell silent."""
        self._regroup()
        self._deal_slots()
        self._expire(now_s)
        self._directory.chooser.peer_load_age_s = self.hops * self.period_s / 2
        own = self._own_counts(now_s)
        unreachable = self._unreachable(now_s)
        if self._is_head:
            self._tick_as_head(own, unreachable)
        else:
            self._send(Scope.DAEMON, own, unreachable, (self._group.head,))
            self._own_told = own
            self._take_over(self._peers_by_head())

    def handle(self, sender: str, digest: LoadDigest, now_s: float) -> None:
        """Take the digest of another daemon."""
        by_key = counts_in(digest)
        former = self._heard_by_sender.get(sender)
        self._heard_by_sender[sender] = _Heard(now_s, digest.scope, by_key)
        for key in digest.unreachable:
            self._unreachable_heard[key] = now_s
        if digest.unreachable:
            self._note_unreachable(set(digest.unreachable), now_s)
        if not self._group.grouped:
            self._take_over(total_of(self._heard_with(Scope.DAEMON, Scope.GROUP)))
        elif self._is_head and former is not None and former.scope is digest.scope:
            self._take_over_change(former.counts_by_key, by_key)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Let no daemon of these zones serve callers, as long as others can."""
        self._evacuated_zones = zones

    # Sending

    def _tick_as_head(self, own: CountsByKey, unreachable: tuple[int, ...]) -> None:
        """Tell the other heads what the group has, and the members what the fleet has."""
        members = total_of(self._heard_with(Scope.DAEMON))
        heads = total_of(self._heard_with(Scope.GROUP))
        group = total_of([own, members]) if members else own
        self._send(Scope.GROUP, group, unreachable, self._group.other_heads)
        receivers = self._members_to_tell()
        if receivers:
            fleet = total_of([group, heads])
            # Receivers differ from period to period, so an unchanged digest may be new to some.
            self._send(Scope.FLEET, fleet, unreachable, receivers, always=self._heads_serve_alone)
        self._take_over(total_of([members, heads]) if members else heads)

    def _members_to_tell(self) -> tuple[str, ...]:
        """Return the members that are told of the fleet in this period."""
        self._ticks += 1
        if not self._heads_serve_alone or self._ticks % MEMBERS_EVERY == 0:
            return self._group.members
        return tuple(
            member
            for member in self._group.members
            if member in self._heard_by_sender
            and has_items(self._heard_by_sender[member].counts_by_key)
        )

    def _send(
        self,
        scope: Scope,
        counts_by_key: CountsByKey,
        unreachable: tuple[int, ...],
        receivers: tuple[str, ...],
        *,
        always: bool = False,
    ) -> None:
        """Send a digest, unless ``always`` only if it changed or was not sent for some periods."""
        digest = digest_of(scope, counts_by_key, unreachable)
        unsent_s = self._unsent_s_by_scope.get(scope, 0.0) + self.period_s
        unchanged = digest == self._sent_by_scope.get(scope)
        if unchanged and unsent_s < REFRESH_S and not always:
            self._unsent_s_by_scope[scope] = unsent_s
            return
        self._unsent_s_by_scope[scope] = 0.0
        self._sent_by_scope[scope] = digest
        if receivers:
            self._link.send(digest, receivers)

    def _own_counts(self, now_s: float) -> CountsByKey:
        counts_by_key: CountsByKey = {}
        for worker in self._directory.workers.values():
            outcomes = worker.health.own
            if not (worker.in_flight or outcomes.decayed_at_s):
                continue
            outcomes.decay(now_s)
            counts = LoadCounts(
                worker.in_flight - worker.batch_in_flight,
                worker.batch_in_flight,
                quarters(outcomes.succeeded),
                quarters(outcomes.failed),
                unread=-(-worker.own_prefill_tokens // TOKENS_PER_BLOCK),
            )
            if not counts.empty:
                counts_by_key[worker.key] = counts
        for work, demand in self._demand_by_work.items():
            for service, waiting in demand.own_by_service.items():
                counts = LoadCounts(waiting=waiting.on_time, late=waiting.late)
                if not counts.empty:
                    counts_by_key[service_key(service, work)] = counts
        return counts_by_key

    def _unreachable(self, now_s: float) -> tuple[int, ...]:
        """Return the workers that are unreachable from here, for a head from its group too."""
        since_s = now_s - UNREACHABLE_TOLD_S
        keys = {
            worker.key
            for worker in self._directory.workers.values()
            if worker.last_connect_failure_s > since_s
        }
        if self._group.members:
            keys.update(self._unreachable_heard)
        return tuple(sorted(keys))

    # Groups

    def _regroup(self) -> None:
        peers = frozenset(self._link.peers())
        slots = self._directory.slots()
        grouped_for = (peers, slots, self._evacuated_zones)
        if grouped_for == self._grouped_for:
            return
        self._grouped_for = grouped_for
        self._peers = peers
        self._group = group_of(self._own_peer, peers)
        daemons = peers_outside_zones(peers | {self._own_peer}, self._evacuated_zones)
        self._serving = serving_daemons(daemons, slots)
        self._dealt_for = None

    def _deal_slots(self) -> None:
        """Deal the slots of all workers out anew where daemons or workers changed."""
        by_key = self._directory.by_key
        if self._dealt_for is by_key:
            return
        self._dealt_for = by_key
        serving = [p for p in self._peers | {self._own_peer} if p.member_id in self._serving]
        dealt_by_service = {
            service: partition_slots(serving, self._directory.active_workers(service))
            for service in self._directory.services
        }
        own = self._own_peer.member_id
        self._directory.chooser.slot_owners_by_service = dealt_by_service
        self._directory.chooser.own_slots = {
            worker_id: by_owner[own]
            for dealt in dealt_by_service.values()
            for worker_id, by_owner in dealt.items()
            if own in by_owner
        }

    def _expire(self, now_s: float) -> None:
        limit_s = max(EXPIRY_S, EXPIRY_PERIODS * self.period_s)
        for sender, heard in list(self._heard_by_sender.items()):
            if now_s - heard.at_s > limit_s:
                del self._heard_by_sender[sender]
        for key, at_s in list(self._unreachable_heard.items()):
            if now_s - at_s > UNREACHABLE_TOLD_S:
                del self._unreachable_heard[key]

    def _heard_with(self, *scopes: Scope) -> list[CountsByKey]:
        return [h.counts_by_key for h in self._heard_by_sender.values() if h.scope in scopes]

    # What peers have

    def _take_over(self, peers: CountsByKey) -> None:
        """Tell each worker what all other daemons have there.

        Most workers of a large fleet were not told of before and are not now.
        """
        none = LoadCounts()
        worker_by_key = self._directory.by_key
        for key in self._told_keys | peers.keys():
            worker = worker_by_key.get(key)
            if worker is None:
                continue
            counts = peers.get(key, none)
            worker.peer_online = max(0, counts.online)
            worker.peer_batch = max(0, counts.batch)
            worker.peer_prefill_tokens = max(0, counts.unread) * TOKENS_PER_BLOCK
            worker.health.peers_succeeded = max(0, counts.succeeded) / QUARTERS
            worker.health.peers_failed = max(0, counts.failed) / QUARTERS
        self._told_keys = set(peers)
        for work, demand in self._demand_by_work.items():
            for service in self._directory.pool_names:
                counts = peers.get(service_key(service, work), none)
                waiting = WaitingCounts(max(0, counts.waiting), max(0, counts.late))
                demand.peers_by_service[service] = waiting

    def _take_over_change(self, former: CountsByKey, latest: CountsByKey) -> None:
        """Add to each worker by how much one sender's counts changed, until the next sum of all.

        Summing up all senders for each digest would cost a head too much.
        """
        none = LoadCounts()
        worker_by_key = self._directory.by_key
        self._told_keys |= latest.keys()
        for key in former.keys() | latest.keys():
            worker = worker_by_key.get(key)
            if worker is None:
                continue
            before, after = former.get(key, none), latest.get(key, none)
            worker.peer_online = max(0, worker.peer_online + after.online - before.online)
            worker.peer_batch = max(0, worker.peer_batch + after.batch - before.batch)
            unread = worker.peer_prefill_tokens + (after.unread - before.unread) * TOKENS_PER_BLOCK
            worker.peer_prefill_tokens = max(0, unread)

    def _peers_by_head(self) -> CountsByKey:
        """Return the sum over the other daemons; the head's word on the fleet includes this one."""
        fleet = self._heard_by_sender.get(self._group.head)
        if fleet is None or fleet.scope is not Scope.FLEET:
            return {}
        peers = total_of([fleet.counts_by_key])
        for key, counts in self._own_told.items():
            if key in peers:
                peers[key].take_off(counts)
        return peers

    def _note_unreachable(self, keys: set[int], now_s: float) -> None:
        worker_by_key = self._directory.by_key
        for key in keys & worker_by_key.keys():
            worker_by_key[key].note_peer_reported_unreachable(now_s)
