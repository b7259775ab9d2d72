"""Sends digests and reports of crashes in the datagrams of failure detection."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from mountstand.membership.datagrams import DatagramMembership
from mountstand.membership.registry import DaemonRegistry
from mountstand.quarantine.sharing import QuarantineMessage, ReportLink
from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import DigestLink
from mountstand.wire.gossip import LoadDigest


class MembershipLink(DigestLink):
    """Sends digests in the datagrams of failure detection, to members that answered lately."""

    __slots__ = ("_membership", "_registry")

    def __init__(self, membership: DatagramMembership, registry: DaemonRegistry) -> None:
        self._membership = membership
        self._registry = registry

    def peers(self) -> list[Peer]:
        """Return the daemons that are believed to run, leaving ones included."""
        return [
            Peer(member.member_id, member.zone, self._registry.capacity_of(member.member_id))
            for member in self._membership.answering_members()
        ]

    def send(self, digest: LoadDigest, receivers: Iterable[str]) -> None:
        """Send a digest to daemons."""
        self._membership.send(digest, receivers)


class MembershipReportLink(ReportLink):
    """Sends reports of crashes; ``serving`` returns the daemons that callers are sent to."""

    __slots__ = ("_membership", "_registry", "_serving")

    def __init__(
        self,
        membership: DatagramMembership,
        registry: DaemonRegistry,
        serving: Callable[[], frozenset[str]],
    ) -> None:
        self._membership = membership
        self._registry = registry
        self._serving = serving

    def running(self) -> Collection[str]:
        """Return the other daemons that are believed to run."""
        return self._membership.running_names() - {self._membership.own_name}

    def serving(self) -> Collection[str]:
        """Return those of them that callers are sent to."""
        return self._serving() - {self._membership.own_name}

    def answering(self) -> Collection[str]:
        """Return the other daemons that answered their last probe, leaving ones left out."""
        return self._membership.sound_names() - {self._membership.own_name}

    def listed(self) -> Collection[str]:
        """Return the other daemons that the store lists, whether they run or not."""
        names = {row.name for row in self._registry.listed()}
        return names - {self._membership.own_name}

    def send(self, message: QuarantineMessage, receivers: Collection[str]) -> None:
        """Send a message to daemons."""
        self._membership.send(message, receivers)
