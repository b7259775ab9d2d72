"""A link for load digests that keeps what is sent, or hands it to other daemons of a test."""

from __future__ import annotations

from collections.abc import Iterable

from mountstand.serving.load_groups import Peer
from mountstand.serving.load_sharing import DigestLink
from mountstand.wire.gossip import LoadDigest


class RecordingLink(DigestLink):
    """Keeps every digest with its receivers."""

    def __init__(self, *peers: Peer) -> None:
        self.peers_now = list(peers)
        self.sent: list[tuple[LoadDigest, tuple[str, ...]]] = []
        self.digests: list[LoadDigest] = []

    def peers(self) -> list[Peer]:
        """Return the daemons of the test."""
        return self.peers_now

    def send(self, digest: LoadDigest, receivers: Iterable[str]) -> None:
        """Keep a digest."""
        self.sent.append((digest, tuple(receivers)))
        self.digests.append(digest)
