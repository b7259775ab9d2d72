"""A link to other daemons that records what is sent."""

from __future__ import annotations

from collections.abc import Collection

from mountstand.membership.message_link import PeerLink
from mountstand.wire.gossip import GossipMessage


class RecordingPeerLink(PeerLink):
    """Keeps each message with its receivers."""

    def __init__(self, *peers: str) -> None:
        self.peers = list(peers)
        self.sent: list[tuple[GossipMessage, tuple[str, ...]]] = []

    def running(self) -> Collection[str]:
        """Return the names given at the start."""
        return self.peers

    def send(self, message: GossipMessage, receivers: Collection[str]) -> None:
        """Record a message."""
        self.sent.append((message, tuple(receivers)))
