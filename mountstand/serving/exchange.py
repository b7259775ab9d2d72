"""The state of one online request across its attempts, and the outcomes of attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from mountstand.serving.configuration import Route
from mountstand.serving.worker import LoadReport, PendingPrefill
from mountstand.serving.worker_protocol import Call
from mountstand.transport.responder import Responder


class Outcome(Enum):
    """How one attempt ended.

    The values are written to the decision log and label the metrics.
    """

    DELIVERED = "delivered"
    """The worker's reply was passed to the caller completely, whatever its status."""

    NOT_SENT = "not sent"
    """The connect failed, the connection broke before sending, or a cold worker may get no more."""

    NOT_RUN = "not run"
    """The worker refused the request because it was full."""

    OTHER_WORKER = "other worker"
    """A different worker now listens at the address and refused the request."""

    MAY_HAVE_RUN = "may have run"
    """After sending, before any reply was relayed, the connection broke or the worker became
    unresponsive."""

    FAILED = "failed"
    """The worker replied with a server error, and the request may be run again."""

    BROKEN_MIDWAY = "broken midway"
    """The attempt failed after this or an earlier attempt had relayed part of a reply."""


OUTCOMES_WITHOUT_RUN = frozenset({Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.OTHER_WORKER})
"""Outcomes of attempts that the worker did not run. They don't count towards its health."""

WORKER_FAILED_STATUS = 500
"""The HTTP status with which a worker reports that it ran a request and failed."""


class WorkerUnresponsive(Exception):
    """A worker sends no data and accepts no connections, or its event stream stalled."""


@dataclass
class Exchange:
    """One online request, its reply to the caller, and the state of its attempts."""

    route: Route
    call: Call
    responder: Responder
    pool_name: str
    """The service whose workers may run the request, or its pool in the request's regions."""

    deadline_s: float
    """The time on the event loop's clock by which the caller gets a final reply."""

    runs: int = 0
    """Attempts in which a worker ran or may have run the request."""

    refused_attempts: int = 0
    """Attempts refused because the worker was full or another worker listens at its address."""

    unsent_attempts: int = 0
    """Attempts that ended before the request was sent, such as failed connects."""

    tried_worker_ids: set[str] = field(default_factory=set)
    """Workers not to be chosen again. Unreachable ones are removed once no other is left."""

    last_event_id: int | None = None
    """The id after which a stream is resumed: of the last event sent to the caller, or before that
    the one that the caller named in its request."""

    last_event_has_id: bool = True
    """Whether the last event sent to the caller has an id; no run can go on after one without."""

    resumed_after_id: int | None = None
    """The event after which the latest attempt resumed the stream, ``None`` if it began anew."""

    software_key: int | None = None
    """The software that began the stream, which alone may go on with it; ``None`` before the first
    event and for requests that are no stream."""

    refusing_worker_ids: set[str] = field(default_factory=set)
    """The tried workers that refused for lack of room."""

    unreachable_worker_ids: set[str] = field(default_factory=set)
    """The tried workers to which no connection could be opened."""

    delivered: bool = False
    """Whether a reply was relayed completely."""

    worker_id: str = ""
    """The worker of the latest attempt."""

    software_version: str = ""
    """The software version of that worker."""

    cause: str = ""
    """Why the latest attempt or the request failed, as logged."""

    first_event_at_s: float | None = None
    """When the first event of a stream was relayed, on the event loop's clock."""

    writing_since_s: float | None = None
    """When the first event of the latest attempt came, on the event loop's clock."""

    sent_at_s: float = 0.0
    """When the request was last sent to a worker, on the event loop's clock."""

    queue_wait_s: float = 0.0
    """Time from the receipt of the request until the queue returned its first worker, or none."""

    quarantine_retry_after_s: float = 0.0
    """``Retry-After`` of a request rejected by the quarantine; 0 if it was not."""

    reported_load: LoadReport | None = None
    """The load that a worker last reported in a reply to this request."""

    estimated_load: float = 0.0
    """Estimated load of the worker at the start of the latest attempt, including this request."""

    pending_prefill: PendingPrefill | None = None
    """Counts the prompt's tokens as pending at the worker of the current attempt."""

    @property
    def may_run_again(self) -> bool:
        """Whether the route allows another run of a request that may already have run."""
        may_go_on = self.route.repeatable and self.last_event_has_id
        return may_go_on and self.runs < self.route.max_attempts

    @property
    def has_gone_on(self) -> bool:
        """Whether the latest attempt resumed after events that an earlier one has brought here.

        That a caller names an event tells nothing of where an earlier run ended.
        """
        return (self.resumed_after_id or 0) > (self.call.last_event_id or 0)

    @property
    def is_bound_midway(self) -> bool:
        """Whether the caller has a part of a stream that one software alone may go on with."""
        return self.software_key is not None and self.responder.started

    def end_pending_prefill(self) -> None:
        """Stop counting the prompt as pending: it was processed, or the attempt ended."""
        if self.pending_prefill is not None:
            self.pending_prefill.end()
            self.pending_prefill = None


def worker_failed(exchange: Exchange, outcome: Outcome) -> bool:
    """Return whether an attempt counts as a failure of its worker."""
    if outcome in OUTCOMES_WITHOUT_RUN:
        return False
    return outcome is not Outcome.DELIVERED or exchange.responder.status == WORKER_FAILED_STATUS
