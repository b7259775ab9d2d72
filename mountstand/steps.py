"""The steps of a daemon's start and stop: each is logged with the time that it took."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from mountstand.clock import elapsed_s
from mountstand.telemetry.logs import log_state_change

logger = logging.getLogger(__name__)

TIME_DECIMALS = 3


class StopSteps:
    """Runs the steps of a stop: one that fails is logged and noted, and the next still runs.

    A stop that ended at the first failure would leave the threads of all later parts, which keep
    the process alive.
    """

    def __init__(self) -> None:
        self.failed: list[str] = []
        """Names of the steps that failed."""

    @contextmanager
    def step(self, name: str) -> Iterator[None]:
        """Run one step; an exception ends this step only."""
        try:
            with logged_step("stop", name):
                yield
        except Exception:
            logger.exception("stop step failed", extra={"step": name})
            self.failed.append(name)


@contextmanager
def logged_step(phase: str, name: str) -> Iterator[None]:
    """Log the end of one step of ``phase`` ("start", "stop") with its duration in seconds."""
    started_s = elapsed_s()
    failed = True
    try:
        yield
        failed = False
    finally:
        took_s = round(elapsed_s() - started_s, TIME_DECIMALS)
        log_state_change(logger, f"{phase} step ended", step=name, took_s=took_s, failed=failed)
