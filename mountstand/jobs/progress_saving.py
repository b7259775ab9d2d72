"""Saves the progress of a job's unfinished items, so that its next owner goes on from there.

Output is saved now and then, since losing some costs a repeated run. A count of failures is saved
before the item runs again: one that only its owner remembers begins anew with each owner, and the
item is sent to workers without end.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from mountstand.jobs.item_execution import ItemProgress
from mountstand.jobs.model import JobHead, SavedProgress
from mountstand.jobs.repository import JobRepository
from mountstand.store.rows import ABSENT


@dataclass(frozen=True, slots=True)
class HeadVersion:
    """A job's head as its owner knows it, and the version of its row."""

    head: JobHead
    version: int


class ProgressSaver:
    """Saves and restores the progress of one job's items.

    ``unfinished`` is the runner's own table of unfinished items, by index; ``current`` returns the
    head on whose version each save is conditional.
    """

    def __init__(
        self,
        repository: JobRepository,
        unfinished: Mapping[int, ItemProgress],
        current: Callable[[], HeadVersion],
    ) -> None:
        self._repository = repository
        self._unfinished = unfinished
        self._current = current
        self._saving = asyncio.Lock()
        self.stored_indexes: set[int] = set()
        """The items that have a row of saved progress."""

    def restore(self, saved: SavedProgress) -> None:
        """Take over what an earlier owner has saved of an item.

        Output of unknown software cannot be continued, so that the item begins anew.
        """
        progress = self._unfinished.get(saved.index)
        if progress is None:
            return
        progress.failures = progress.saved_failures = saved.failures
        if saved.software_key is not None:
            progress.texts = list(saved.texts)
            progress.last_event_id = saved.last_event_id
            progress.saved_event_id = saved.last_event_id
            progress.software_key = saved.software_key
            progress.restored_from_store = True
        self.stored_indexes.add(saved.index)

    async def save(self) -> None:
        """Save what has changed since the last save; do nothing while the job has no head row.

        Raises the errors of the repository. Counts of failures come first, in case not all fits.
        """
        changed = [each for each in self._unfinished.values() if each.has_unsaved_progress]
        changed.sort(key=lambda each: not each.has_unsaved_failures)
        await self._save(changed)

    async def save_failures(self, progress: ItemProgress) -> None:
        """Save an item's count of failures, together with those of other items of the job."""
        async with self._saving:
            if progress.has_unsaved_failures:
                failed = [each for each in self._unfinished.values() if each.has_unsaved_failures]
                await self._save(failed)

    async def _save(self, changed: list[ItemProgress]) -> None:
        current = self._current()
        if not changed or current.version == ABSENT:
            return
        saved = [self._to_save(each) for each in changed]
        written = await self._repository.save_progress(current.head, current.version, saved)
        for progress, row in zip(changed, saved, strict=True):
            if row.index in written:
                progress.saved_event_id = row.last_event_id if row.texts else None
                progress.saved_failures = row.failures
                self.stored_indexes.add(row.index)

    def _to_save(self, progress: ItemProgress) -> SavedProgress:
        """Return the row of an item; its count of failures alone, if the output does not fit."""
        if progress.last_event_id is not None:
            row = SavedProgress(
                progress.index,
                progress.last_event_id,
                progress.failures,
                list(progress.texts),
                progress.software_key,
            )
            if self._repository.fits_in_row(row) or not progress.has_unsaved_failures:
                return row
        return SavedProgress(progress.index, 0, progress.failures, [])
