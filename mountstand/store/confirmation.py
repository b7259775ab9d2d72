"""Confirms on demand that what this daemon knows of some tables holds now.

A feed that works may be silent: a daemon that is cut off knows nothing of it for seconds. What
must hold at this moment is confirmed by calls to the store that begin after it was asked for.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from mountstand.store.watch import TableWatcher

MIN_INTERVAL_S = 0.05
MAX_ROUNDS_PER_S = 500.0
"""Limit on the rounds of all daemons together, which makes the interval longer in large fleets."""


class Confirmation(ABC):
    """Tells whether this daemon knows all that was in the store when it was asked."""

    __slots__ = ()

    @abstractmethod
    async def confirm(self) -> bool:
        """Return whether all that the store held when this was called is known here by now."""


class TableConfirmation(Confirmation):
    """Asks the store for changes that the feeds of some tables have not told yet.

    ``get_watchers`` returns the watchers of these tables, ``daemon_count`` how many daemons may
    ask. Callers that come while a round of calls is under way share the next one.
    """

    __slots__ = ("_began_s", "_current", "_daemon_count", "_get_watchers", "_next")

    def __init__(
        self, get_watchers: Callable[[], Sequence[TableWatcher]], daemon_count: Callable[[], int]
    ) -> None:
        self._get_watchers = get_watchers
        self._daemon_count = daemon_count
        self._current: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None
        self._began_s = float("-inf")

    async def confirm(self) -> bool:
        """Return whether all that the store held when this was called is known here by now."""
        if self._next is None:
            self._next = asyncio.create_task(self._run_after(self._current))
        return await asyncio.shield(self._next)

    async def _run_after(self, former: asyncio.Task[bool] | None) -> bool:
        """Make a round of calls once the ``former`` one has ended and its interval has passed.

        If that one fails while callers wait for it to end, they are told at once: the store may be
        out of reach, and they can ask another daemon sooner than a second time-out would end.
        """
        if former is not None and not former.done():
            await asyncio.wait([former])
            if not _has_succeeded(former):
                self._next = None
                return False
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, self._began_s + self._interval_s() - loop.time()))
        self._began_s = loop.time()
        self._current, self._next = self._next, None
        rounds = (watcher.catch_up() for watcher in self._get_watchers())
        return all(await asyncio.gather(*rounds))

    def _interval_s(self) -> float:
        """Return the shortest time from the beginning of a round to that of the next."""
        return max(MIN_INTERVAL_S, self._daemon_count() / MAX_ROUNDS_PER_S)


def _has_succeeded(ended: asyncio.Task[bool]) -> bool:
    return not ended.cancelled() and ended.exception() is None and ended.result()
