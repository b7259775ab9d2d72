"""Port to the workers: how a request is put to one, and what its answer says."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from typing import Protocol

from mountstand.hashing import content_key
from mountstand.serving.prompt import EMPTY_PROMPT, Prompt
from mountstand.serving.residency import ANYWHERE, Regions
from mountstand.serving.worker import LoadReport, Worker
from mountstand.transport.headers import Header, Headers
from mountstand.transport.http_client import ReplyHead


@dataclass(frozen=True)
class Call:
    """A request as it is put to workers, online or from a batch job.

    ``time_left_ms`` of a dispatch is given apart, since it shrinks from one to the next.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    prompt: Prompt = EMPTY_PROMPT
    last_event_id: int | None = None
    tenant: str = ""
    """The name of the caller's tenant, empty where callers need no key."""

    tenant_weight: float | None = None
    """The weight of the tenant's share where a service is short of room, if it has one."""

    priority: int = 0
    """The rank of an online request among those that wait, 0 being the most urgent."""

    regions: Regions | None = ANYWHERE
    """Where the request may be served."""

    @cached_property
    def content_key(self) -> int:
        """The number that stands for what is asked and by whom, whatever the id of the request.

        A caller that sends a request again gives it another id; path, body and caller stay.
        """
        texts = (self.host, self.method, self.target, self.tenant)
        return content_key(*(text.encode() for text in texts), self.body)


class ReplyKind(Enum):
    """What an answer says about the request."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    OTHER_WORKER = "other worker"


@dataclass(frozen=True)
class ReplySummary:
    """An answer as the product understands it."""

    kind: ReplyKind
    load: LoadReport | None


class WorkerProtocol(Protocol):
    """What workers of a platform understand."""

    def request_headers(
        self, call: Call, worker: Worker, time_left_ms: int | None, resume_after: int | None
    ) -> list[Header]:
        """Return all headers of a dispatch, but for its framing."""

    def is_reply_to(self, call: Call, headers: Headers) -> bool:
        """Return whether an answer is the one to ``call``."""

    def reply_summary(self, head: ReplyHead) -> ReplySummary:
        """Return what an answer's head says."""
