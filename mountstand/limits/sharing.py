"""Division of every limit into equal shares among the daemons that serve callers.

Which daemons serve is defined by the registry in the store, not by observed liveness: a daemon that
is unreachable may still admit requests, so it keeps its share. The shares of crashed daemons stay
unused until the registry drops them, which is acceptable because tenants usually stay well below
their limits.

What a daemon admitted before it left counts for one more window, so its share is redistributed only
after that. Otherwise, during a sequence of planned stops, the last daemon would start with the full
limit.
"""

from __future__ import annotations

from collections.abc import Collection


class LimitSharing:
    """One daemon's share of every limit, and the daemons that it shares limits with."""

    __slots__ = (
        "_departed_at_s",
        "_members",
        "_serving",
        "has_reserved_shares",
        "own_name",
        "peers",
        "share",
        "sharers",
    )

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self._serving: frozenset[str] = frozenset()
        self._departed_at_s: dict[str, float] = {}
        self._members: tuple[frozenset[str], ...] = ()
        self.share = 0.0
        """The fraction of every limit that this daemon owns, from 0 to 1."""

        self.sharers: tuple[str, ...] = ()
        """All daemons that limits are divided among, in order.

        They are those that serve, and those that left recently, whose shares are still reserved.
        The tuple is replaced only when they change, so that its identity tells whether shares
        computed from it still hold.
        """

        self.has_reserved_shares = False
        """Whether shares of departed daemons are reserved.

        If so, ``update_members`` must be called again when the reservation ends.
        """

        self.peers: list[str] = []
        """The other serving daemons that are believed to be running, in order."""

    def update_members(
        self,
        serving: Collection[str],
        running: Collection[str],
        now_s: float = 0.0,
        leaving: Collection[str] = (),
        reserve_s: float = 0.0,
    ) -> None:
        """Update the serving daemons from the registry, and the set of those that are running.

        ``leaving`` are daemons that the registry lists as leaving; they no longer serve. The share
        of a daemon stays reserved for ``reserve_s`` after it stopped serving.
        """
        serving = frozenset(serving)
        members = (serving, frozenset(running), frozenset(leaving))
        if members == self._members and not self._departed_at_s:
            # Only reservations change with time.
            return
        self._members = members
        departed = (self._serving | frozenset(leaving)) - serving
        self._departed_at_s = {
            name: at_s
            for name, at_s in self._departed_at_s.items()
            if name not in serving and (name in leaving or now_s - at_s < reserve_s)
        }
        for name in departed:
            self._departed_at_s.setdefault(name, now_s)
        reserved = {name for name, at_s in self._departed_at_s.items() if now_s - at_s < reserve_s}
        self._serving = serving
        self.has_reserved_shares = bool(reserved)
        sharers = tuple(sorted(serving | reserved))
        if sharers != self.sharers:
            self.sharers = sharers
        self.share = 1 / len(self.sharers) if self.own_name in serving else 0.0
        self.peers = sorted(serving & frozenset(running) - {self.own_name})
