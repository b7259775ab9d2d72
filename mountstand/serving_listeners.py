"""The HTTP listeners of a serving process, and their graceful shutdown."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from mountstand.serving_settings import ServingSettings
from mountstand.transport.http_server import (
    Handler,
    HttpServer,
    Responder,
    ServerLimits,
    ServerRequest,
)

BODY_MEMORY_FRACTION = 0.2
"""Fraction of the memory that request bodies of callers may use. Actual use is about twice as high,
as each body is copied when it is forwarded to a worker."""

CALLER_DESCRIPTOR_FRACTION = 0.6
"""Fraction of the file descriptors that connections of callers may use."""


class CallerInterface(Protocol):
    """Handlers for the requests of callers and for the platform's readiness checks."""

    async def handle_request(self, request: ServerRequest, responder: Responder) -> None:
        """Handle an inference or job request of a caller."""

    async def handle_ready(self, request: ServerRequest, responder: Responder) -> None:
        """Respond whether callers may be referred to this daemon."""

    async def handle_address_lookup(self, request: ServerRequest, responder: Responder) -> None:
        """Respond with the daemon addresses that a caller is to use."""


class ServingListeners:
    """HTTP servers for callers, readiness checks, address look-ups and other daemons.

    ``on_rejected`` is called with the response status of each request that a server rejects as
    malformed.
    """

    def __init__(self, on_rejected: Callable[[int], None]) -> None:
        self._on_rejected = on_rejected
        self._servers: list[HttpServer] = []
        self._caller_server: HttpServer | None = None

    async def start(
        self, settings: ServingSettings, interface: CallerInterface, handle_peer: Handler
    ) -> None:
        """Listen on all configured addresses."""
        listeners = settings.listeners
        max_connections = int(settings.max_descriptors * CALLER_DESCRIPTOR_FRACTION)
        self._caller_server = HttpServer(
            interface.handle_request,
            ServerLimits(),
            self._on_rejected,
            max_connections=max_connections,
            max_held_bytes=int(settings.memory_mb * BODY_MEMORY_FRACTION * 1024 * 1024),
        )
        self._servers.append(self._caller_server)
        await self._caller_server.start(listeners.callers.host, listeners.callers.port)
        for address, handler in (
            (listeners.ready, interface.handle_ready),
            (listeners.directory, interface.handle_address_lookup),
            (listeners.control, handle_peer),
        ):
            if address is not None:
                server = HttpServer(handler, ServerLimits(), self._on_rejected)
                await server.start(address.host, address.port)
                self._servers.append(server)

    def set_limits(self, limits: ServerLimits) -> None:
        """Apply new request limits to all servers."""
        for server in self._servers:
            server.limits = limits

    @property
    def caller_connection_count(self) -> int:
        """The number of connections that callers have open."""
        return len(self._caller_server.connections) if self._caller_server is not None else 0

    def announce_close(self) -> None:
        """Close each connection of a caller after its next response; idle ones stay open."""
        if self._caller_server is not None:
            self._caller_server.announce_close()

    def close_caller_listener(self) -> None:
        """Stop accepting connections from callers, and close the idle ones."""
        if self._caller_server is not None:
            self._caller_server.stop_listening()
            self._caller_server.close_idle()
