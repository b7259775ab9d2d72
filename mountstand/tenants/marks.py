"""Marks in the store of tenants that used much of this daemon's part of their limit.

A process that starts finds those of the one before: what that used counts for one window more.
While a mark is not known to stand, only a part of a limit may be used, so that nothing depends on
the store being there at the wrong moment. Most tenants never need one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

FRESH_S = 2.0
"""How long a mark stands for what is used after it was written; then it must be written again."""

RENEW_S = 1.0
"""A mark that is this old is written again, if it is still wanted."""

WANTED_S = 1.0
"""A mark is wanted for so long after much was used."""


@dataclass(frozen=True, slots=True)
class FormerMarks:
    """What the process before may have used much of: some tenants' limits, or all."""

    tenants: frozenset[int] = frozenset()
    all_marked: bool = False
    """It began so shortly before that what the one before it used may count too."""


NO_FORMER = FormerMarks()
UNKNOWN_FORMER = FormerMarks(all_marked=True)


class Marks:
    """Which tenants are marked, and which should be.

    ``on_wanted`` is called when a mark should be written soon.
    """

    __slots__ = ("_former", "_stands_since_s", "_wanted_at_s", "on_wanted")

    def __init__(self) -> None:
        self._former = UNKNOWN_FORMER
        self._stands_since_s: dict[int, float] = {}
        self._wanted_at_s: dict[int, float] = {}
        self.on_wanted: Callable[[], object] = lambda: None

    def use_former(self, former: FormerMarks) -> None:
        """Take the marks of the process before, as the store has them at the start."""
        self._former = former

    def stood_at_start(self, tenant: int) -> bool:
        """Return whether a tenant was marked at the start, or may have been."""
        return self._former.all_marked or tenant in self._former.tenants

    def stands(self, tenant: int, now_s: float) -> bool:
        """Return whether what is used now is marked."""
        since_s = self._stands_since_s.get(tenant)
        return since_s is not None and now_s - since_s <= FRESH_S

    def want(self, tenant: int, now_s: float) -> None:
        """Ask for a mark, unless a fresh one stands."""
        self._wanted_at_s[tenant] = now_s
        if now_s - self._stands_since_s.get(tenant, float("-inf")) > RENEW_S:
            self.on_wanted()

    def to_write(self, now_s: float) -> frozenset[int]:
        """Return the tenants whose marks are to be written now."""
        for tenant, wanted_s in list(self._wanted_at_s.items()):
            if now_s - wanted_s > WANTED_S:
                del self._wanted_at_s[tenant]
        return frozenset(self._wanted_at_s)

    def note_written(self, tenants: frozenset[int], began_s: float) -> None:
        """Note that the store has taken marks, by a call that began at ``began_s``."""
        self._stands_since_s = dict.fromkeys(tenants, began_s)
