"""The trials that begin with a run, in case that no worker runs it."""

from __future__ import annotations

from collections.abc import Iterable

from mountstand.quarantine.suspects import CrashSuspects


class StartedTrials:
    """The trials that began as a request was to be sent to a worker."""

    __slots__ = ("_contents",)

    def __init__(self) -> None:
        self._contents: list[tuple[CrashSuspects, int]] = []

    def add(self, suspects: CrashSuspects, contents: Iterable[int]) -> None:
        """Add trials of ``contents``, which are among ``suspects``."""
        self._contents += [(suspects, content) for content in contents]

    def note_not_run(self) -> None:
        """Record that no worker ran the request, so that this daemon may begin them again."""
        for suspects, content in self._contents:
            suspects.reopen_trial(content)
