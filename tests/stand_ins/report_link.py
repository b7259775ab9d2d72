"""A link for reports of crashes that keeps what is sent, or hands it to other daemons of a test."""

from __future__ import annotations

from collections.abc import Callable, Collection

from mountstand.quarantine.sharing import QuarantineMessage as Message
from mountstand.quarantine.sharing import ReportLink


class RecordingReportLink(ReportLink):
    """Keeps every message with its receivers, and hands it to ``deliver``."""

    def __init__(self, *peers: str) -> None:
        self.peers = set(peers)
        self.sent: list[tuple[Message, set[str]]] = []
        self.deliver: Callable[[Message, str], None] = lambda message, receiver: None

    def running(self) -> Collection[str]:
        """Return the other daemons of the test."""
        return sorted(self.peers)

    def serving(self) -> Collection[str]:
        """Return the same: all daemons of a test serve."""
        return sorted(self.peers)

    def send(self, message: Message, receivers: Collection[str]) -> None:
        """Keep and deliver a message."""
        if not receivers:
            return
        self.sent.append((message, set(receivers)))
        for receiver in receivers:
            self.deliver(message, receiver)
