"""Interface to the workers' protocol: how requests are sent and replies are interpreted."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from functools import cached_property
from typing import Protocol

from mountstand.hashing import content_key
from mountstand.quarantine.workload import Workload
from mountstand.serving.prompt import EMPTY_PROMPT, Prompt
from mountstand.serving.residency import ANYWHERE, Regions
from mountstand.serving.worker import LoadReport, Worker
from mountstand.transport.headers import Header, Headers
from mountstand.transport.http_client import ReplyHead


@dataclass(frozen=True)
class Call:
    """A request as sent to workers, whether online or a batch item.

    It may take several exchanges, that is, attempts at one worker each. The time left until the
    deadline is not part of it, as it differs between them.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes
    prompt: Prompt = EMPTY_PROMPT
    last_event_id: int | None = None
    resumed_request_id: str = ""
    """Id of the request that brought the first event of the stream that is taken up, if any."""

    tenant: str = ""
    """Name of the caller's tenant, empty if callers need no API key."""

    tenant_weight: float | None = None
    """Weight of the tenant's fair share while a service is short of capacity; may be unset."""

    priority: int = 0
    """Priority of an online request in the queue; 0 is the most urgent."""

    regions: Regions | None = ANYWHERE
    """Regions in which the request may be served."""

    workload: Workload = Workload.ONLINE

    @cached_property
    def content_key(self) -> int:
        """Hash of host, method, target, tenant and body, the same for retries by the caller.

        The request id is left out, because a caller's retry has a new one.
        """
        texts = (self.host, self.method, self.target, self.tenant)
        return content_key(*(text.encode() for text in texts), self.body)

    def involves(self, suspect_key: int) -> bool:
        """Return whether a key stands for the request's content or a shared part of its prompt."""
        return suspect_key == self.content_key or suspect_key in self.prompt.shared_keys


class ReplyKind(Enum):
    """What a reply says about the request."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    """The worker refused the request without running it."""

    OTHER_WORKER = "other worker"
    """A worker other than the expected one replied, without running the request."""


@dataclass(frozen=True)
class ReplySummary:
    """Interpretation of a reply's head."""

    kind: ReplyKind
    load: LoadReport | None


class WorkerProtocol(Protocol):
    """Encodes requests for the workers of a platform and decodes their replies."""

    def request_headers(
        self, call: Call, worker: Worker, time_left_ms: int | None, resume_after: int | None
    ) -> list[Header]:
        """Return all headers of a request to ``worker`` except those for framing.

        ``resume_after`` is the id of the last event received, for a stream to be resumed.
        """

    def is_reply_to(self, call: Call, headers: Headers) -> bool:
        """Return whether a reply with these headers belongs to ``call``."""

    def reply_summary(self, head: ReplyHead) -> ReplySummary:
        """Interpret the head of a reply."""
