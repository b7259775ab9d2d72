"""Which part of every limit one daemon keeps by itself: an even one among those that serve.

Which daemons serve follows from the list in the store, not from who is believed to run: one that
is silent may still let requests through, so its part stays its own. Where daemons are gone, their
parts are missing until the list drops them; limits are well above what tenants usually ask for.

What a daemon let through before it left counts for one window more. Its part is shared out after
that: in a series of planned stops the last daemon would otherwise begin with the whole limit.
"""

from __future__ import annotations

from collections.abc import Collection


class LimitSharing:
    """One daemon's place among those that serve callers."""

    __slots__ = (
        "_fleet",
        "_left_at_s",
        "has_reserved_shares",
        "own_name",
        "peers",
        "share",
        "sharers",
    )

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self._fleet: frozenset[str] = frozenset()
        self._left_at_s: dict[str, float] = {}
        self.share = 0.0
        """The part of every limit that is this daemon's own, from 0 to 1."""

        self.sharers: tuple[str, ...] = ()
        """All daemons that a limit is shared out among, in order: those that serve, and those that
        left so shortly before that their part is kept back."""

        self.has_reserved_shares = False
        """Whether parts of daemons that left are kept back; ``update_members`` must be called again then."""

        self.peers: list[str] = []
        """The other daemons that serve and are believed to run."""

    def update_members(
        self,
        fleet: Collection[str],
        running: Collection[str],
        now_s: float = 0.0,
        leaving: Collection[str] = (),
        hold_s: float = 0.0,
    ) -> None:
        """Take the daemons that serve by the store's list, and those believed to run.

        ``leaving`` are daemons that the list names as leaving; the part of one that left is kept
        back for ``hold_s``.
        """
        fleet = frozenset(fleet)
        gone = (self._fleet | frozenset(leaving)) - fleet
        self._left_at_s = {
            name: at_s
            for name, at_s in self._left_at_s.items()
            if name not in fleet and (name in leaving or now_s - at_s < hold_s)
        }
        for name in gone:
            self._left_at_s.setdefault(name, now_s)
        held = {name for name, at_s in self._left_at_s.items() if now_s - at_s < hold_s}
        self._fleet = fleet
        self.has_reserved_shares = bool(held)
        self.sharers = tuple(sorted(fleet | held))
        self.share = 1 / len(self.sharers) if self.own_name in fleet else 0.0
        self.peers = sorted(fleet & frozenset(running) - {self.own_name})
