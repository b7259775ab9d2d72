"""Repeated background work of a daemon: one thread per task, failures logged on change only."""

from __future__ import annotations

import logging
import threading
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import ClassVar

from mountstand.clock import elapsed_s
from mountstand.errors import MountstandError
from mountstand.telemetry.logs import log_state_change

logger = logging.getLogger(__name__)

JOIN_TIMEOUT_S = 5.0
"""Longest wait of a stop for tasks that are within a call: two tries of the store's at its default
time-out."""


class BackgroundPart(ABC):
    """A part of a daemon with tasks of its own, which starts and stops with the daemon."""

    name: ClassVar[str]
    """What log lines call it."""

    @abstractmethod
    def start(self) -> None:
        """Start the tasks."""

    @abstractmethod
    def stop(self) -> None:
        """Stop the tasks, and release what the part holds."""


class PeriodicTask:
    """Calls ``work`` every ``interval_s`` until stopped.

    A failing task is logged once when it starts to fail and once when it works again.
    """

    def __init__(self, name: str, interval_s: float, work: Callable[[], None]) -> None:
        self._name = name
        self._interval_s = interval_s
        self._work = work
        self._failing = False
        self._wake = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; the first call of ``work`` comes at once."""
        self._thread.start()

    def trigger(self) -> None:
        """Call ``work`` now instead of after the rest of the interval."""
        self._wake.set()

    def request_stop(self) -> None:
        """Let the present call of ``work`` be the last."""
        self._stopping = True
        self._wake.set()

    def join(self, timeout_s: float) -> None:
        """Wait until the last call of ``work`` has ended, ``timeout_s`` at most."""
        if not self._thread.is_alive() or threading.current_thread() is self._thread:
            return
        self._thread.join(max(0.0, timeout_s))
        if self._thread.is_alive():
            log_state_change(logger, "background task still runs", task=self._name)

    def run_once(self) -> None:
        """Call ``work`` and note whether it failed."""
        try:
            self._work()
        except MountstandError as error:
            self._note_failure(error.code, error.detail)
        except Exception as error:
            if not self._failing:
                logger.exception("background task failed", extra={"task": self._name})
            self._note_failure(type(error).__name__, str(error))
        else:
            if self._failing:
                self._failing = False
                log_state_change(logger, "background task works again", task=self._name)

    def _note_failure(self, code: str, detail: str) -> None:
        if not self._failing:
            self._failing = True
            log_state_change(
                logger, "background task fails", task=self._name, code=code, detail=detail
            )

    def _run(self) -> None:
        while not self._stopping:
            self.run_once()
            self._wake.wait(self._interval_s)
            self._wake.clear()


def stop_tasks(tasks: Iterable[PeriodicTask]) -> None:
    """Stop tasks and wait for their present calls, which all end within one common time-out."""
    stopping = list(tasks)
    for task in stopping:
        task.request_stop()
    deadline_s = elapsed_s() + JOIN_TIMEOUT_S
    for task in stopping:
        task.join(deadline_s - elapsed_s())
