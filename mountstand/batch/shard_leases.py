"""Which shards of jobs this daemon should own, as a pure state machine.

Ownership follows rendezvous hashing over the live members. Membership is soft: two daemons may both
believe that they should own a shard, and then the table decides, by a conditional write of the
shard's lease. A claim against a holder that this daemon believes to be dead waits until the lease
has stood for ``lease_s`` without this daemon seeing it change, so that two daemons that cannot hear
each other do not take a shard from one another without pause.

A lease belongs to a process. One that started again does not go on with the leases of the process
before it; those that are another daemon's to own now are claimed as from a dead holder.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mountstand.batch.model import LeaseRecord
from mountstand.hashing import rendezvous_owner
from mountstand.membership.member import RESTART_MS
from mountstand.store.ports import ABSENT


@dataclass(frozen=True)
class ObservedLease:
    """A lease row as read; ``version`` is its fence."""

    record: LeaseRecord | None
    version: int = ABSENT


@dataclass(frozen=True)
class ClaimLease:
    """Instruction: write the lease over ``version`` with this record."""

    shard: int
    version: int
    record: LeaseRecord


@dataclass(frozen=True)
class ReleaseLease:
    """Instruction: hand the shard over by marking the lease as released."""

    shard: int
    version: int
    record: LeaseRecord


LeaseInstruction = ClaimLease | ReleaseLease


@dataclass
class HeldLease:
    """A lease that this daemon holds; ``verified_s`` is when the table last showed it."""

    epoch: int
    version: int
    verified_s: float


@dataclass
class ShardLeases:
    """Leases of one daemon."""

    self_id: str
    incarnation: int
    shards: int
    lease_s: float
    held: dict[int, HeldLease] = field(default_factory=dict)
    _first_seen_s: dict[int, tuple[int, float]] = field(default_factory=dict)
    _wanted: set[int] = field(default_factory=set)
    _owners: tuple[str, ...] = ()

    def update_members(self, possible_owners: Iterable[str]) -> set[int]:
        """Take the present members; return the shards that this daemon should own."""
        owners = tuple(sorted(possible_owners))
        if owners == self._owners:
            return self._wanted
        self._owners = owners
        self._wanted = {
            shard for shard in range(self.shards) if preferred_owner(shard, owners) == self.self_id
        }
        return self._wanted

    def interesting_shards(self) -> set[int]:
        """Return the shards whose leases and jobs this daemon should read."""
        return self._wanted | set(self.held)

    def handle_read(
        self,
        leases: dict[int, ObservedLease],
        incarnation_by_live_id: Mapping[str, int],
        read_started_s: float,
    ) -> list[LeaseInstruction]:
        """Handle lease rows read from the table; a read verifies as of its start.

        ``incarnation_by_live_id`` are the members that are believed to run, with the incarnations
        that they are known by, 0 where that is not known.
        """
        instructions: list[LeaseInstruction] = []
        for shard, lease in leases.items():
            self._note_seen(shard, lease, read_started_s)
            if self._is_ours(lease):
                self._keep(shard, lease, read_started_s, instructions)
            else:
                self.held.pop(shard, None)
                if shard in self._wanted and self._may_claim(
                    shard, lease, incarnation_by_live_id, read_started_s
                ):
                    instructions.append(self._claim(shard, lease))
        return instructions

    def claim_succeeded(self, claim: ClaimLease, version: int, now_s: float) -> None:
        """Note that a claim is durable; ``now_s`` is from before the write was sent."""
        self.held[claim.shard] = HeldLease(claim.record.epoch, version, now_s)
        self._first_seen_s[claim.shard] = (version, now_s)

    def lost(self, shard: int) -> None:
        """Note that a conditional write showed that the lease is not ours any more."""
        self.held.pop(shard, None)

    def is_verified(self, shard: int, now_s: float, window_s: float) -> bool:
        """Return whether the table showed our lease within the last ``window_s``."""
        held = self.held.get(shard)
        return held is not None and now_s - held.verified_s <= window_s

    def release_all(self) -> list[ReleaseLease]:
        """Return releases of every lease, for a planned stop."""
        return [
            ReleaseLease(
                shard,
                held.version,
                LeaseRecord(
                    owner_id=self.self_id,
                    incarnation=self.incarnation,
                    epoch=held.epoch,
                    released=True,
                ),
            )
            for shard, held in self.held.items()
        ]

    def _is_ours(self, lease: ObservedLease) -> bool:
        record = lease.record
        return (
            record is not None
            and record.owner_id == self.self_id
            and record.incarnation == self.incarnation
            and not record.released
        )

    def _keep(
        self,
        shard: int,
        lease: ObservedLease,
        read_started_s: float,
        instructions: list[LeaseInstruction],
    ) -> None:
        assert lease.record is not None
        held = HeldLease(lease.record.epoch, lease.version, read_started_s)
        self.held[shard] = held
        if shard not in self._wanted:
            released = lease.record.model_copy(update={"released": True})
            instructions.append(ReleaseLease(shard, lease.version, released))

    def _may_claim(
        self,
        shard: int,
        lease: ObservedLease,
        incarnation_by_live_id: Mapping[str, int],
        now_s: float,
    ) -> bool:
        record = lease.record
        if record is None or record.released or record.owner_id == self.self_id:
            return True
        incarnation = incarnation_by_live_id.get(record.owner_id)
        if incarnation is not None and not is_other_process(record.incarnation, incarnation):
            return False
        return now_s - self._first_seen_s[shard][1] >= self.lease_s

    def _claim(self, shard: int, lease: ObservedLease) -> ClaimLease:
        epoch = lease.record.epoch + 1 if lease.record else 1
        record = LeaseRecord(owner_id=self.self_id, incarnation=self.incarnation, epoch=epoch)
        return ClaimLease(shard, lease.version, record)

    def _note_seen(self, shard: int, lease: ObservedLease, now_s: float) -> None:
        seen = self._first_seen_s.get(shard)
        if seen is None or seen[0] != lease.version:
            self._first_seen_s[shard] = (lease.version, now_s)


def is_other_process(held_by: int, known_as: int) -> bool:
    """Return whether a member is another process than the one with the incarnation ``held_by``.

    Within one life incarnations rise by one at a time; a member that is known by 0 was not heard
    of yet.
    """
    return known_as > 0 and abs(known_as - held_by) >= RESTART_MS


def preferred_owner(shard: int, possible_owners: Iterable[str]) -> str | None:
    """Return the member that should own ``shard``."""
    return rendezvous_owner(f"shard-{shard}", possible_owners)
