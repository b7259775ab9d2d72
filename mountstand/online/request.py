"""The typed form of one online request."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import cached_property

from mountstand.engines.port import CallerGone
from mountstand.hashing import content_key


@dataclass(frozen=True)
class OnlineRequest:
    """A request from a caller, read and checked.

    Attributes
    ----------
    request_id
        The caller's id, or one given on arrival.
    service
        Service whose workers may run it.
    tenant
        Whom it counts for.
    arrival_s, deadline_s
        On the clock of :mod:`mountstand.clock`.
    repeatable
        Whether running it twice does no harm.
    idempotency_key
        Names a not-repeatable request across resends; empty when there is none.
    prefix
        Leading cache blocks of the prompt.
    software_version
        Version of the software that alone may run it, since it goes on with a stream that a worker
        of this version began; ``None`` if any may.
    """

    request_id: str
    service: str
    tenant: str
    method: str
    path: str
    body: bytes
    arrival_s: float
    deadline_s: float
    repeatable: bool = True
    idempotency_key: str = ""
    stream: bool = False
    prefix: tuple[str, ...] = ()
    headers: dict[str, str] = field(default_factory=dict)
    caller_gone: CallerGone | None = None
    software_version: str | None = None

    @cached_property
    def content_key(self) -> int:
        """The number that stands for what is asked and by whom, whatever the request's id."""
        return request_content_key(self.service, self.tenant, self.method, self.path, self.body)


def request_content_key(service: str, tenant: str, method: str, path: str, body: bytes) -> int:
    """Return the content key of a request or batch item of this interface."""
    texts = (service, tenant, method, path)
    return content_key(*(text.encode() for text in texts), body)
