"""The addresses on which a serving process listens, and their orderly closing."""

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

BODY_MEMORY_SHARE = 0.2
"""Share of the memory that callers' bodies may take; each stands in memory about twice, once
more on its way to a worker."""

DESCRIPTOR_SHARE = 0.6
"""Share of the descriptors that callers' connections may take."""


class CallerInterface(Protocol):
    """What callers and the platform's checks speak."""

    async def handle_request(self, request: ServerRequest, responder: Responder) -> None:
        """Answer a request of a caller."""

    async def handle_ready(self, request: ServerRequest, responder: Responder) -> None:
        """Tell whether callers may be sent here."""

    async def handle_address_lookup(self, request: ServerRequest, responder: Responder) -> None:
        """Tell a caller which addresses to use."""


class ServingListeners:
    """Servers for callers, for the platform's checks, for look-ups and for other daemons."""

    def __init__(self, on_rejected: Callable[[int], None]) -> None:
        self._on_rejected = on_rejected
        self._servers: list[HttpServer] = []
        self._callers: HttpServer | None = None

    async def start(
        self, settings: ServingSettings, interface: CallerInterface, handle_peer: Handler
    ) -> None:
        """Listen on all addresses of the settings."""
        listeners = settings.listeners
        limit = int(settings.max_descriptors * DESCRIPTOR_SHARE)
        self._callers = HttpServer(
            interface.handle_request,
            ServerLimits(),
            self._on_rejected,
            max_connections=limit,
            max_held_bytes=int(settings.memory_mb * BODY_MEMORY_SHARE * 1024 * 1024),
        )
        self._servers.append(self._callers)
        await self._callers.start(listeners.callers.host, listeners.callers.port)
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
        """Hold callers to limits from now on."""
        for server in self._servers:
            server.limits = limits

    @property
    def caller_connection_count(self) -> int:
        """How many connections callers have open."""
        return len(self._callers.connections) if self._callers is not None else 0

    def announce_close(self) -> None:
        """Let callers' connections end with their next answer."""
        if self._callers is not None:
            self._callers.announce_close()

    def close_caller_listener(self) -> None:
        """Take no new connections of callers, and close those that rest."""
        if self._callers is not None:
            self._callers.stop_listening()
            self._callers.close_idle()
