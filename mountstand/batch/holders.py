"""Tells executors to drop the ranges of a job that has ended."""

from __future__ import annotations

from collections.abc import Callable

from mountstand.errors import MountstandError
from mountstand.membership.service import MembershipService
from mountstand.wire.messages import Confirmed, DropJob
from mountstand.wire.peers import PeerClient

CONFIRM_TIMEOUT_S = 1.0

CancelLocally = Callable[[str], None]


class RangeHolders:
    """The executors that hold ranges of jobs, this daemon's own included."""

    __slots__ = ("_cancel_locally", "_membership", "_peers")

    def __init__(
        self, membership: MembershipService, peers: PeerClient, cancel_locally: CancelLocally
    ) -> None:
        self._membership = membership
        self._peers = peers
        self._cancel_locally = cancel_locally

    def drop(self, key: str, holders: set[str]) -> bool:
        """Tell executors to drop a job's ranges; return whether all of them have."""
        confirmed = [self._drop_at(key, holder) for holder in holders]
        return all(confirmed)

    def _drop_at(self, key: str, holder: str) -> bool:
        if holder == self._membership.self_id:
            self._cancel_locally(key)
            return True
        member = self._membership.member(holder)
        if member is None:
            return False
        try:
            reply = self._peers.call(member, DropJob(key), CONFIRM_TIMEOUT_S)
        except MountstandError:
            return False
        return isinstance(reply, Confirmed) and reply.confirmed
