"""The typed form of one online request."""

from __future__ import annotations

from dataclasses import dataclass, field

from mountstand.engines.port import CallerGone


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
        Monotonic clock of this daemon.
    repeatable
        Whether running it twice does no harm.
    idempotency_key
        Names a not-repeatable request across resends; empty when there is none.
    prefix
        Leading cache blocks of the prompt.
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
