"""Port to back ends: what mountstand needs of a model engine or an application worker."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from mountstand.store.ports import Machine

CallerGone = Callable[[], bool]
"""Asks whether the caller has left; checked while waiting for a back end."""


@dataclass(frozen=True)
class BackendRequest:
    """One dispatch of a request to one back end.

    ``request_id`` is unique to the dispatch and echoed by the back end; ``label`` names the
    caller's request or batch item across dispatches. ``software_version`` is the version of the
    back end's software that alone may run it, ``None`` if any may.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    priority: int
    label: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    software_version: str | None = None


@dataclass(frozen=True)
class LoadFigures:
    """Requests inside a back end, as it states them on its answers."""

    running: int
    waiting: int
    running_batch: int
    waiting_batch: int
    slots: int


@dataclass(frozen=True)
class BackendAnswer:
    """A whole answer of a back end, known to be the answer to its request."""

    status: int
    content_type: str
    body: bytes
    load: LoadFigures | None = None


@dataclass
class OpenStream:
    """A stream whose first bytes have arrived.

    ``first_bytes`` is encoded as the transfer encoding left it; the reader of ``socket`` decodes.
    ``software_version`` is the version that the back end says to run, ``None`` if it doesn't.
    """

    socket: socket.socket
    first_bytes: bytes
    chunked: bool
    load: LoadFigures | None = None
    software_version: str | None = None


@dataclass(frozen=True)
class LoadReport:
    """Work inside a back end as it reports it, some time ago."""

    running: int
    waiting: int
    running_batch: int
    waiting_batch: int
    slots: int
    leaving: bool = False
    models: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class CacheEvent:
    """A prefix block that entered (``stored``) or left an engine's cache."""

    sequence_number: int
    block: str
    stored: bool


@dataclass(frozen=True)
class LoadModelOrder:
    """A fenced order: an engine refuses it when it has seen a higher epoch."""

    epoch: int
    model: str
    version: str


class BackendPort(ABC):
    """Calls on one back end; all block and may be made from any thread.

    Raises
    ------
    BackendUnreachable
        No connection; nothing was sent.
    BackendRefused
        The back end says that it did not run the request.
    BackendFailed
        The exchange broke after sending, or the answer was not ours or of other software.
    DeadlineExceeded
        ``timeout_s`` passed after sending.
    """

    @abstractmethod
    def call(
        self,
        machine: Machine,
        request: BackendRequest,
        timeout_s: float,
        caller_gone: CallerGone | None = None,
    ) -> BackendAnswer:
        """Send a request and return its whole answer."""

    @abstractmethod
    def open_stream(
        self,
        machine: Machine,
        request: BackendRequest,
        timeout_s: float,
        caller_gone: CallerGone | None = None,
    ) -> OpenStream:
        """Send a request and return its stream once the first bytes are there."""

    @abstractmethod
    def cancel(self, machine: Machine, request_id: str) -> None:
        """Stop a dispatched request; best effort, never raises."""

    @abstractmethod
    def has_ended(self, machine: Machine) -> bool:
        """Return whether nothing listens there, or a forwarder with nobody behind it; never raises.

        It may take half a second.
        """

    @abstractmethod
    def load(self, machine: Machine) -> LoadReport:
        """Return the back end's load report."""

    @abstractmethod
    def cache_events(self, machine: Machine, after: int) -> tuple[list[CacheEvent], int]:
        """Return cache changes numbered over ``after`` and the highest number covered."""

    @abstractmethod
    def order_load_model(self, machine: Machine, order: LoadModelOrder) -> bool:
        """Give a fenced order; return ``False`` when the engine has seen a higher epoch."""
