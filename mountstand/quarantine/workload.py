"""Tells requests of callers from items of batch jobs, which the quarantine treats differently."""

from __future__ import annotations

from enum import Enum


class Workload(Enum):
    """Who waits for a request that is sent to a worker."""

    ONLINE = "online"
    """A caller, who is told at once if it is blocked, and may send it again."""

    BATCH = "batch"
    """Nobody: the system owes an accepted item of a batch job until the job gives it up."""
