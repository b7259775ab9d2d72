"""Confirms tables, or not, without a store."""

from __future__ import annotations

from collections.abc import Callable

from mountstand.store.confirmation import Confirmation


class StandInConfirmation(Confirmation):
    """Answers ``confirmed``, after ``on_confirm`` has applied what the store tells."""

    def __init__(self, *, confirmed: bool = True) -> None:
        self.confirmed = confirmed
        self.calls = 0
        self.on_confirm: Callable[[], None] = lambda: None

    async def confirm(self) -> bool:
        """Return ``confirmed``."""
        self.calls += 1
        self.on_confirm()
        return self.confirmed
