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

from mountstand.serving.load_groups import LoadGroup, Peer, group_of, serving_members
from mountstand.serving.slot_demand import SlotDemand, Waiting, Work, service_key
from mountstand.serving.worker import Worker
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import LoadDigest, Scope

DIRECT_PERIOD_S = 0.03
"""Period of a small fleet, where all tell all. 0.1 s cost 0.014 of worth
(docs/design/deciding.md)."""

GROUPED_PERIOD_S = 0.08
DIGESTS_PER_S = 400.0
"""Shortest period where heads add up digests, and how many a daemon sends at most: about 3 % of a
core on the smallest machines played. Word takes three digests there at worst: with 100 a second the
quiet day of 63 daemons earned 0.754, with 200 0.848 (docs/design/deciding.md)."""

REFRESH_S = 0.5
"""An unchanged digest is sent again after this time, or after a period if that is longer."""

EXPIRY_S = 1.5
EXPIRY_PERIODS = 9
"""A daemon that sent none for so long is taken to have nothing in flight: three digests that got
lost, and more where periods are long."""

TOKENS_PER_BLOCK = 64
"""Unread tokens are told in blocks of so many, so that most fit a byte; a block is read in about a
millisecond."""

MOST_BLOCKS = 1_000_000
"""Unread blocks of one worker that a digest may claim; more than any worker can hold."""

QUARTERS = 4
MOST_QUARTERS = 65_535
UNREACHABLE_TOLD_S = 0.3
"""How long a worker that accepted no connection is told as unreachable: peers hear it in one of
the next digests, and a worker that answers again is not told any more."""

MOST_WORKERS = 1000
"""Workers named in one digest, which must fit a datagram. The idlest are left out."""


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
class LoadCounts:
    """What daemons tell of one worker or one service.

    Of a worker what they have in flight there, the outcomes they saw, in quarters, and how many
    blocks of tokens it has still to read; of a service how many requests or batch items of theirs
    wait for it.
    """

    online: int = 0
    batch: int = 0
    succeeded: int = 0
    failed: int = 0
    waiting: int = 0
    late: int = 0
    unread: int = 0

    def add(self, other: LoadCounts) -> None:
        """Add another's counts."""
        self.online += other.online
        self.batch += other.batch
        self.succeeded += other.succeeded
        self.failed += other.failed
        self.waiting += other.waiting
        self.late += other.late
        self.unread += other.unread

    def take_off(self, other: LoadCounts) -> None:
        """Take another's counts off."""
        self.online -= other.online
        self.batch -= other.batch
        self.succeeded -= other.succeeded
        self.failed -= other.failed
        self.waiting -= other.waiting
        self.late -= other.late
        self.unread -= other.unread

    def copy(self) -> LoadCounts:
        """Return counts of the same value."""
        return LoadCounts(
            self.online,
            self.batch,
            self.succeeded,
            self.failed,
            self.waiting,
            self.late,
            self.unread,
        )

    @property
    def items(self) -> int:
        """How many requests and items it is about."""
        return self.online + self.batch + self.waiting + self.late

    @property
    def empty(self) -> bool:
        """Whether there is nothing to tell."""
        return not (self.items or self.succeeded or self.failed)


CountsByKey = dict[int, LoadCounts]


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
        demand_by_work: Mapping[Work, SlotDemand] | None = None,
    ) -> None:
        self._directory = directory
        self._demand_by_work = dict(demand_by_work or {})
        self._own_peer = own
        self._link = link
        self._peers: frozenset[Peer] = frozenset()
        self._group = group_of(own, ())
        self._serving: frozenset[str] = frozenset()
        self._slots = 0
        self._ticks = 0
        self._heard_by_sender: dict[str, _Heard] = {}
        self._unreachable_heard: dict[int, float] = {}
        self._worker_by_key: dict[int, Worker] = {}
        self._own_told: CountsByKey = {}
        self._sent_by_scope: dict[Scope, LoadDigest] = {}
        self._unsent_s_by_scope: dict[Scope, float] = {}

    @property
    def period_s(self) -> float:
        """How often digests are sent, given the size of the fleet."""
        if not self._group.grouped:
            return max(DIRECT_PERIOD_S, (len(self._group.heads) - 1) / DIGESTS_PER_S)
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
        self._expire(now_s)
        self._directory.chooser.picture_age_s = self.hops * self.period_s / 2
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
        counts = zip(
            digest.keys,
            digest.online,
            digest.batch,
            digest.succeeded or (0,) * len(digest.keys),
            digest.failed or (0,) * len(digest.keys),
            digest.waiting or (0,) * len(digest.keys),
            digest.late or (0,) * len(digest.keys),
            _bounded(digest.unread) or (0,) * len(digest.keys),
            strict=False,
        )
        by_key = {key: LoadCounts(*values) for key, *values in counts}
        former = self._heard_by_sender.get(sender)
        self._heard_by_sender[sender] = _Heard(now_s, digest.scope, by_key)
        for key in digest.unreachable:
            self._unreachable_heard[key] = now_s
        if digest.unreachable:
            self._note_unreachable(set(digest.unreachable), now_s)
        if not self._group.grouped:
            self._take_over(_sum(self._heard_with(Scope.DAEMON, Scope.GROUP)))
        elif self._is_head and former is not None and former.scope is digest.scope:
            self._take_over_change(former.counts_by_key, by_key)

    # Sending

    def _tick_as_head(self, own: CountsByKey, unreachable: tuple[int, ...]) -> None:
        """Tell the other heads what the group has, and the members what the fleet has."""
        members = _sum(self._heard_with(Scope.DAEMON))
        heads = _sum(self._heard_with(Scope.GROUP))
        group = _sum([own, members]) if members else own
        self._send(Scope.GROUP, group, unreachable, self._group.other_heads)
        receivers = self._members_to_tell()
        if receivers:
            fleet = _sum([group, heads])
            # Receivers differ from period to period, so an unchanged digest may be new to some.
            self._send(Scope.FLEET, fleet, unreachable, receivers, always=self._heads_serve_alone)
        self._take_over(_sum([members, heads]) if members else heads)

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
        digest = _digest(scope, counts_by_key, unreachable)
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
            if not (worker.in_flight or outcomes.any):
                continue
            outcomes.age(now_s)
            counts = LoadCounts(
                worker.in_flight - worker.batch_in_flight,
                worker.batch_in_flight,
                quarters(outcomes.succeeded),
                quarters(outcomes.failed),
                unread=-(-worker.own_unread // TOKENS_PER_BLOCK),
            )
            if not counts.empty:
                counts_by_key[worker.key] = counts
        for work, demand in self._demand_by_work.items():
            for service, waiting in demand.own_by_service.items():
                counts = LoadCounts(waiting=waiting.in_time, late=waiting.late)
                if not counts.empty:
                    counts_by_key[service_key(service, work)] = counts
        return counts_by_key

    def _unreachable(self, now_s: float) -> tuple[int, ...]:
        """Return the workers that are unreachable from here, for a head from its group too."""
        keys = {
            worker.key
            for worker in self._directory.workers.values()
            if now_s - worker.unreachable_at_s < UNREACHABLE_TOLD_S
        }
        if self._group.members:
            keys.update(self._unreachable_heard)
        return tuple(sorted(keys))

    # Groups

    def _regroup(self) -> None:
        peers = frozenset(self._link.peers())
        slots = self._directory.slots()
        if peers == self._peers and slots == self._slots:
            return
        self._peers = peers
        self._slots = slots
        self._group = group_of(self._own_peer, peers)
        self._serving = serving_members(peers | {self._own_peer}, slots)

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
        """Tell each worker what all other daemons have there."""
        none = LoadCounts()
        self._worker_by_key = {worker.key: worker for worker in self._directory.workers.values()}
        for worker in self._worker_by_key.values():
            counts = peers.get(worker.key, none)
            worker.peer_online = max(0, counts.online)
            worker.peer_batch = max(0, counts.batch)
            worker.peer_unread = max(0, counts.unread) * TOKENS_PER_BLOCK
            worker.health.peers_succeeded = max(0, counts.succeeded) / QUARTERS
            worker.health.peers_failed = max(0, counts.failed) / QUARTERS
        for work, demand in self._demand_by_work.items():
            for service in self._directory.services:
                counts = peers.get(service_key(service, work), none)
                waiting = Waiting(max(0, counts.waiting), max(0, counts.late))
                demand.peers_by_service[service] = waiting

    def _take_over_change(self, former: CountsByKey, latest: CountsByKey) -> None:
        """Add to each worker by how much one sender's counts changed, until the next sum of all.

        Summing up all senders for each digest would cost a head too much.
        """
        none = LoadCounts()
        for key in former.keys() | latest.keys():
            worker = self._worker_by_key.get(key)
            if worker is None:
                continue
            before, after = former.get(key, none), latest.get(key, none)
            worker.peer_online = max(0, worker.peer_online + after.online - before.online)
            worker.peer_batch = max(0, worker.peer_batch + after.batch - before.batch)
            unread = worker.peer_unread + (after.unread - before.unread) * TOKENS_PER_BLOCK
            worker.peer_unread = max(0, unread)

    def _peers_by_head(self) -> CountsByKey:
        """Return the sum over the other daemons; the head's word on the fleet includes this one."""
        fleet = self._heard_by_sender.get(self._group.head)
        if fleet is None or fleet.scope is not Scope.FLEET:
            return {}
        peers = _sum([fleet.counts_by_key])
        for key, counts in self._own_told.items():
            if key in peers:
                peers[key].take_off(counts)
        return peers

    def _note_unreachable(self, keys: set[int], now_s: float) -> None:
        for worker in self._directory.workers.values():
            if worker.key in keys:
                worker.note_unreachable_for_peer(now_s)


def has_items(counts_by_key: CountsByKey) -> bool:
    """Return whether requests or items are in flight or wait."""
    return any(counts.items for counts in counts_by_key.values())


def _sum(parts: Iterable[CountsByKey]) -> CountsByKey:
    total: CountsByKey = {}
    for counts_by_key in parts:
        for key, counts in counts_by_key.items():
            known = total.get(key)
            if known is None:
                total[key] = counts.copy()
            else:
                known.add(counts)
    return total


def _digest(scope: Scope, counts_by_key: CountsByKey, unreachable: tuple[int, ...]) -> LoadDigest:
    told = list(counts_by_key.items())
    if len(told) > MOST_WORKERS:
        told.sort(key=lambda item: -item[1].items)
        told = told[:MOST_WORKERS]
    return LoadDigest(
        tuple(key for key, _ in told),
        tuple(counts.online for _, counts in told),
        tuple(counts.batch for _, counts in told),
        _unless_zero(counts.succeeded for _, counts in told),
        _unless_zero(counts.failed for _, counts in told),
        unreachable[:MOST_WORKERS],
        scope,
        _unless_zero(counts.waiting for _, counts in told),
        _unless_zero(counts.late for _, counts in told),
        _unless_zero(counts.unread for _, counts in told),
    )


def quarters(count: float) -> int:
    """Return a count of outcomes as a digest tells it."""
    return min(MOST_QUARTERS, int(count * QUARTERS))


def _bounded(blocks: Iterable[int]) -> tuple[int, ...]:
    """Return a peer's unread blocks within bounds, so that no claim hides those of others."""
    return tuple(min(MOST_BLOCKS, max(0, count)) for count in blocks)


def _unless_zero(values: Iterable[int]) -> tuple[int, ...]:
    """Return a list of a digest, empty if it says nothing."""
    listed = tuple(values)
    return listed if any(listed) else ()
