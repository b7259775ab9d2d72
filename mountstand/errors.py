"""Every error that mountstand reports, each with a code, a remedy and an execution claim.

An error travels to callers as RFC 9457 ``application/problem+json``. The table of codes for
operators is ``docs/operators/errors.md``; a unit test keeps it equal to this module.
"""

from __future__ import annotations

from enum import Enum
from typing import ClassVar


class Executed(Enum):
    """Whether the request that failed was run by a back end."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class MountstandError(Exception):
    """Base of all coded errors.

    Parameters
    ----------
    detail
        What went wrong in this case, for a person.
    executed
        Whether a back end ran the request; ``None`` takes the default of the kind.
    retry_after_s
        Seconds after which a new try may succeed, or ``None`` when waiting does not help.
    """

    code: ClassVar[str] = "internal"
    title: ClassVar[str] = "Internal error"
    remedy: ClassVar[str] = "Report this with the daemon's log."
    http_status: ClassVar[int] = 500
    default_executed: ClassVar[Executed] = Executed.UNKNOWN
    default_retry_after_s: ClassVar[float | None] = None

    def __init__(
        self,
        detail: str = "",
        *,
        executed: Executed | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f"{self.code}: {detail or self.title}. Remedy: {self.remedy}")
        self.detail = detail or self.title
        self.executed = executed or self.default_executed
        self.retry_after_s = retry_after_s or self.default_retry_after_s


class RequestRejected(MountstandError):
    """Base of errors in what the caller sent; nothing was run."""

    http_status = 400
    default_executed = Executed.NO


class MalformedRequest(RequestRejected):
    """The body or a header cannot be read."""

    code = "malformed_request"
    title = "The request cannot be read"
    remedy = "Correct the body or header that the detail names and send it again."


class BodyTooLarge(RequestRejected):
    """The body is over the stated limit."""

    code = "body_too_large"
    title = "The body is over the limit"
    remedy = "Send a smaller body, or split a batch into several jobs."
    http_status = 413


class UnknownModel(RequestRejected):
    """No model of that name is configured."""

    code = "unknown_model"
    title = "No such model"
    remedy = "List the models with GET /v1/models and use one of them."
    http_status = 404


class UnknownService(RequestRejected):
    """No application service of that name is configured."""

    code = "unknown_service"
    title = "No such service"
    remedy = "Ask the operator which services exist, or correct the path."
    http_status = 404


class NotFound(RequestRejected):
    """The named thing does not exist."""

    code = "not_found"
    title = "No such resource"
    remedy = "Correct the identifier in the path."
    http_status = 404


class Unauthorized(RequestRejected):
    """The token is missing or wrong."""

    code = "unauthorized"
    title = "The token is missing or not accepted"
    remedy = "Send 'Authorization: Bearer TOKEN' with a token from the daemon's settings."
    http_status = 401


class JobConflict(RequestRejected):
    """A job with this id and other content exists."""

    code = "job_conflict"
    title = "A job with this id has other content"
    remedy = "Use a new job id, or send the same content as before."
    http_status = 409


class JobIncomplete(RequestRejected):
    """The asked results are not there yet."""

    code = "job_incomplete"
    title = "Some of these items are not complete"
    remedy = "Ask for a smaller range or wait until the job's state is completed."
    http_status = 409


class IdempotencyConflict(RequestRejected):
    """The idempotency key was used with another request."""

    code = "idempotency_conflict"
    title = "This Idempotency-Key belongs to another request"
    remedy = "Use a new key for a new request."
    http_status = 409


class SettingsConflict(RequestRejected):
    """Another operator changed the branch first."""

    code = "settings_conflict"
    title = "The branch was changed by somebody else"
    remedy = "Read the current version and value, then apply the change on top of them."
    http_status = 409


class InvalidSettings(RequestRejected):
    """A setting has a wrong key, type, range or address."""

    code = "invalid_settings"
    title = "A setting is not valid"
    remedy = "Correct the setting at the path that the detail names."
    http_status = 422


class PortUnavailable(MountstandError):
    """A port that a process must serve cannot be taken; it ends instead of starting."""

    code = "port_unavailable"
    title = "A port cannot be taken"
    remedy = "End the process that holds the port, or set another one."
    http_status = 503
    default_executed = Executed.NO


class Overloaded(MountstandError):
    """No capacity to serve the request in time."""

    code = "overloaded"
    title = "The request cannot be served in time"
    remedy = "Send it again after the time in Retry-After."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 1.0


class NoBackend(MountstandError):
    """No healthy back end serves the model or service."""

    code = "no_backend"
    title = "No back end is available"
    remedy = "Check `mountstand status`; add or repair workers of this service."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 2.0


class RequestQuarantined(MountstandError):
    """Workers ended under requests with this content, so it is held back."""

    code = "request_quarantined"
    title = "Requests with this content have ended several workers"
    remedy = "Send something else; the same is tried again after the time in Retry-After."
    http_status = 503
    default_executed = Executed.NO


class Stopping(MountstandError):
    """The daemon is in a planned stop."""

    code = "stopping"
    title = "This daemon is stopping"
    remedy = "Send the request to another daemon."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 1.0


class BatchBusy(MountstandError):
    """Too much batch input is buffered to accept another job."""

    code = "batch_busy"
    title = "Batch acceptance is at its memory bound"
    remedy = "Send the job again after the time in Retry-After."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 5.0


class StoreUnavailable(MountstandError):
    """The platform's table or object store did not answer."""

    code = "store_unavailable"
    title = "The platform's store does not answer"
    remedy = "Send it again after the time in Retry-After; check the store's health."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 3.0


class StoreThrottled(StoreUnavailable):
    """The store refused an operation over its rate limit; the operation had no effect."""

    code = "store_throttled"
    title = "The platform's store limits the rate"
    remedy = "Wait for the time in Retry-After, or raise the store's rate limit."
    default_retry_after_s = 0.2


class WriteOutcomeUnknown(StoreUnavailable):
    """A write to the store may have taken effect; its answer was lost."""

    code = "write_outcome_unknown"
    title = "The store's answer was lost"
    remedy = "Read the row back and compare its write id before writing again."
    default_executed = Executed.UNKNOWN


class WriteConflict(MountstandError):
    """A conditional write found another version than expected."""

    code = "write_conflict"
    title = "A conditional write lost to another one"
    remedy = "Read the current version and decide again."
    http_status = 409
    default_executed = Executed.NO


class BackendRefused(MountstandError):
    """A back end refused the request before it ran it."""

    code = "backend_refused"
    title = "The back end refused the request"
    remedy = "Send it again after the time in Retry-After."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 0.5


class BackendUnreachable(MountstandError):
    """No connection to the back end could be made; nothing was sent."""

    code = "backend_unreachable"
    title = "The back end does not accept connections"
    remedy = "Send it again; check the worker's process and network."
    http_status = 502
    default_executed = Executed.NO
    default_retry_after_s = 0.5


class BackendFailed(MountstandError):
    """The exchange with the back end broke after the request was sent."""

    code = "backend_failed"
    title = "The back end failed during the request"
    remedy = "Send it again only if running it twice does no harm."
    http_status = 502
    default_executed = Executed.UNKNOWN


class DeadlineExceeded(MountstandError):
    """The due time passed while the request ran."""

    code = "deadline_exceeded"
    title = "The due time passed before the answer came"
    remedy = "Allow more time, or send it again if running it twice does no harm."
    http_status = 504
    default_executed = Executed.UNKNOWN


class OutcomeUnknown(MountstandError):
    """A not-repeatable request was dispatched and its outcome is not known."""

    code = "outcome_unknown"
    title = "The request was dispatched once and its outcome is not known"
    remedy = "Check the effect by hand; it will not be run again under this key."
    http_status = 409
    default_executed = Executed.UNKNOWN


class PeerUnavailable(MountstandError):
    """Another daemon did not answer an internal message."""

    code = "peer_unavailable"
    title = "Another daemon does not answer"
    remedy = "Wait: its work moves to another daemon by itself."
    http_status = 503
    default_executed = Executed.NO
    default_retry_after_s = 1.0


class MessageRejected(MountstandError):
    """A message between daemons failed its authentication or its form."""

    code = "message_rejected"
    title = "A message between daemons was not accepted"
    remedy = "Give all daemons the same cluster keys and version."
    http_status = 403
    default_executed = Executed.NO


def all_error_kinds() -> list[type[MountstandError]]:
    """Return every concrete error kind, ordered by code."""
    found: dict[str, type[MountstandError]] = {}
    pending: list[type[MountstandError]] = [MountstandError]
    while pending:
        kind = pending.pop()
        pending.extend(kind.__subclasses__())
        found.setdefault(kind.code, kind)
    return [found[code] for code in sorted(found)]
