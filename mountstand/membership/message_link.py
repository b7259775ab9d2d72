"""How daemons send each other small messages that may get lost."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Collection

from mountstand.membership.datagrams import DatagramMembership
from mountstand.wire.gossip import GossipMessage


class MessageLink(ABC):
    """Sends messages to other daemons."""

    __slots__ = ()

    @abstractmethod
    def send(self, message: GossipMessage, receivers: Collection[str]) -> None:
        """Send a message to daemons; it may get lost."""


class PeerLink(MessageLink):
    """Sends messages to other daemons, and knows which of them are up."""

    __slots__ = ()

    @abstractmethod
    def running(self) -> Collection[str]:
        """Return the names of the other daemons that are believed to be up."""


class MembershipMessageLink(PeerLink):
    """Sends in the datagrams of failure detection."""

    __slots__ = ("_membership",)

    def __init__(self, membership: DatagramMembership) -> None:
        self._membership = membership

    def running(self) -> Collection[str]:
        """Return the other daemons that are believed to run."""
        return self._membership.running_names() - {self._membership.own_name}

    def send(self, message: GossipMessage, receivers: Collection[str]) -> None:
        """Send a message to daemons."""
        self._membership.send(message, receivers)
