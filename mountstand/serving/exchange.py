"""Progress of one online request over its attempts, and how attempts end."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from mountstand.serving.configuration import Route
from mountstand.serving.worker import LoadReport, PendingPrefill
from mountstand.serving.worker_protocol import Call
from mountstand.transport.responder import Responder


class Outcome(Enum):
    """How one attempt ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    OTHER_WORKER = "other worker"
    MAY_HAVE_RUN = "may have run"
    FAILED = "failed"
    BROKEN_MIDWAY = "broken midway"


SAID_NOTHING = frozenset({Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.OTHER_WORKER})
"""Ends of attempts that say nothing about whether a worker serves well."""

WORKER_FAILED = 500
"""The status with which a worker says that it failed a request."""


class WorkerSilent(Exception):
    """A worker neither answers nor accepts connections."""


@dataclass
class Exchange:
    """Progress of one request over its attempts."""

    route: Route
    call: Call
    responder: Responder
    service: str
    """The service whose workers may be asked, or its pool in the regions of the request."""

    deadline_s: float
    runs: int = 0
    refusals: int = 0
    unreachable: int = 0
    tried: set[str] = field(default_factory=set)
    last_event_id: int | None = None
    unreachable_ids: set[str] = field(default_factory=set)
    delivered: bool = False
    worker_id: str = ""
    cause: str = ""
    first_event_at_s: float | None = None
    sent_at_s: float = 0.0
    waited_s: float = 0.0
    """How long it waited at this daemon for a worker."""

    blocked_for_s: float = 0.0
    """For how long its content is held back, 0 where it is not."""

    load: LoadReport | None = None
    expected_load: float = 0.0
    """Requests at its worker as far as was known when it was sent there, this one included."""

    reading: PendingPrefill | None = None
    """The reading of its prompt by the worker of the present attempt."""

    @property
    def may_run_again(self) -> bool:
        """Whether the route allows another run of a request that may have run."""
        return self.route.repeatable and self.runs < self.route.max_attempts

    def end_reading(self) -> None:
        """Note that the worker has read the prompt, or that the attempt is over."""
        if self.reading is not None:
            self.reading.end()
            self.reading = None


def worker_failed(exchange: Exchange, outcome: Outcome) -> bool:
    """Return whether an attempt failed at its worker."""
    if outcome in SAID_NOTHING:
        return False
    return outcome is not Outcome.DELIVERED or exchange.responder.status == WORKER_FAILED
