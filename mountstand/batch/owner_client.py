"""An executor's way to job owners, this daemon's own included."""

from __future__ import annotations

from collections.abc import Callable

from mountstand.batch.model import shard_of
from mountstand.batch.shard_leases import preferred_owner
from mountstand.errors import PeerUnavailable
from mountstand.membership.service import MembershipService
from mountstand.wire.messages import Message
from mountstand.wire.peers import PeerClient


class OwnerClient:
    """Calls job owners by member id."""

    def __init__(self, membership: MembershipService, peers: PeerClient, shards: int) -> None:
        self._membership = membership
        self._peers = peers
        self._shards = shards
        self.answer_locally: Callable[[Message], Message] | None = None
        """Answers calls to this daemon's own owner without a network."""

    def call(self, owner_id: str, message: Message) -> Message:
        """Return an owner's answer; raise ``PeerUnavailable`` without one."""
        if owner_id == self._membership.self_id and self.answer_locally is not None:
            return self.answer_locally(message)
        member = self._membership.member(owner_id)
        if member is None:
            raise PeerUnavailable(f"{owner_id} is not a member")
        return self._peers.call(member, message)

    def find(self, job_key: str) -> str | None:
        """Return the member that should own a job now."""
        shard = shard_of(job_key, self._shards)
        return preferred_owner(shard, self._membership.possible_owners())
