"""Which part of every limit one daemon keeps by itself: an even one among those that serve.

Which daemons serve follows from the list in the store, not from who is believed to run: one that
is silent may still let requests through, so its part stays its own. Where daemons are gone, their
parts are missing until the list drops them; limits are well above what tenants usually ask for.
"""

from __future__ import annotations

from collections.abc import Collection


class Standing:
    """One daemon's place among those that serve callers."""

    __slots__ = ("_fleet", "_own", "peers", "share")

    def __init__(self, own: str) -> None:
        self._own = own
        self._fleet: frozenset[str] = frozenset()
        self.share = 0.0
        """The part of every limit that is this daemon's own, from 0 to 1."""

        self.peers: list[str] = []
        """The other daemons that serve and are believed to run."""

    def use(self, fleet: Collection[str], running: Collection[str]) -> None:
        """Take the daemons that serve by the store's list, and those believed to run."""
        self._fleet = frozenset(fleet)
        self.share = 1 / len(self._fleet) if self._own in self._fleet else 0.0
        self.peers = sorted(self._fleet & frozenset(running) - {self._own})
