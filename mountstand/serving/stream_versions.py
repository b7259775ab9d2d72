"""Finds out which software began a stream that a caller takes up, on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from enum import Enum

from mountstand.membership.message_link import PeerLink
from mountstand.serving.configuration import Configuration, RequestKind, Route
from mountstand.serving.software import SoftwareHistory
from mountstand.serving.stream_origins import HolderChoice, StreamOrigins, stream_key
from mountstand.store.confirmation import Confirmation
from mountstand.telemetry.decisions import DecisionLog
from mountstand.wire.gossip import UNKNOWN_SOFTWARE, StreamOrigin, StreamQuery

QUERY_INTERVAL_S = 0.1
MAX_QUERIES = 3
"""How often other daemons are asked for a stream, and at what interval, until one knows it or all
have answered. Datagrams may get lost."""

DEFAULT_RETENTION_S = 60.0
"""How long origins are kept before a configuration with timeouts is known."""

LIFETIME_TIMEOUTS = 2.0
"""How long a stream may last over all requests of its caller, as a multiple of the route's timeout.
Callers take streams up within the deadline of their first request."""


class BindingEvidence(Enum):
    """What tells which software began a stream that is taken up."""

    ORIGIN = "origin"
    """The daemon that began it told this one."""

    PEER = "peer"
    """Another daemon that was asked."""

    ONLY_SOFTWARE = "only software"
    """No other software can have begun it."""


class StreamVersions:
    """Reports streams that begin here, and finds the software of those that are taken up here.

    ``history_is_loaded`` returns whether this daemon has read what the store tells of software
    versions; ``confirmation`` confirms that it knows of all versions that workers list now.
    """

    def __init__(
        self,
        link: PeerLink,
        history: SoftwareHistory,
        history_is_loaded: Callable[[], bool],
        confirmation: Confirmation,
        log: DecisionLog,
    ) -> None:
        self._link = link
        self._history = history
        self._history_is_loaded = history_is_loaded
        self._confirmation = confirmation
        self._log = log
        self.origins = StreamOrigins(DEFAULT_RETENTION_S)
        self._holder_choice = HolderChoice()
        self._waiting: dict[int, _Query] = {}
        self._known_peers: set[str] = set()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Keep origins for as long as streams of any route may last."""
        timeouts_s = [
            route.timeout_s for route in configuration.routes if route.kind is RequestKind.STREAM
        ]
        self.origins.retention_s = LIFETIME_TIMEOUTS * max(timeouts_s, default=0.0)

    def note_begun(self, request_id: str, software: int) -> None:
        """Report that a stream is about to get its first event from ``software``."""
        stream = stream_key(request_id)
        self.origins.note_own(stream, software, asyncio.get_running_loop().time())
        holders = self._holder_choice.holders(stream, self._link.running())
        self._link.send(StreamOrigin(stream, software), holders)

    def handle_fleet_change(self) -> None:
        """Report the streams that began here to daemons that have joined since."""
        running = set(self._link.running())
        joined = running - self._known_peers
        self._known_peers = running
        if not joined:
            return
        for origin in self.origins.own():
            holders = self._holder_choice.holders(origin.stream, running)
            self._link.send(origin, tuple(joined.intersection(holders)))

    async def find(self, request_id: str, route: Route) -> int | None:
        """Return the key of the software that began a stream, ``None`` if it cannot be known.

        ``request_id`` is that of the request which brought the stream's first event, empty if the
        caller doesn't name it. Callers that know of software versions do; for others the only
        software that is known of lately is taken, however long software has been watched.
        """
        if request_id:
            software, evidence = await self._find_named(stream_key(request_id), route)
        else:
            software = await self._find_only(route, from_the_start=False)
            evidence = BindingEvidence.ONLY_SOFTWARE
        if software is None:
            self._log.event("stream_unknown", resumes=request_id, route=route.name)
            return None
        self._log.event(
            "stream_bound",
            resumes=request_id,
            route=route.name,
            software=f"{software:08x}",
            evidence=evidence.value,
        )
        return software

    async def _find_named(self, stream: int, route: Route) -> tuple[int | None, BindingEvidence]:
        """Return the software that began a stream, and what tells it.

        Others are asked before the only software known here is taken: this daemon may have missed
        what they know.
        """
        software = self.origins.software(stream)
        if software is not None:
            return software, BindingEvidence.ORIGIN
        software = await self._ask(stream)
        if software is not None:
            return software, BindingEvidence.PEER
        only_software = await self._find_only(route, from_the_start=True)
        return only_software, BindingEvidence.ONLY_SOFTWARE

    async def _find_only(self, route: Route, *, from_the_start: bool) -> int | None:
        """Return the only software of a route's services, ``None`` if there may be others.

        What this daemon knows must be confirmed by the store, since a software that has joined
        unnoticed may have begun the stream. ``from_the_start`` requires that all software is known
        since the stream may have begun.
        """
        if self._known_only_software(route, from_the_start=from_the_start) is None:
            return None
        if not await self._confirmation.confirm():
            return None
        return self._known_only_software(route, from_the_start=from_the_start)

    def _known_only_software(self, route: Route, *, from_the_start: bool) -> int | None:
        if not self._history_is_loaded():
            return None
        earliest_s = self._earliest_s(route)
        if from_the_start and not self._history.knows_since(earliest_s):
            return None
        return self._history.only_software(route.services, earliest_s)

    def handle(self, sender: str, message: StreamOrigin | StreamQuery) -> None:
        """Record another daemon's report, or answer its query."""
        if isinstance(message, StreamQuery):
            self._link.send(self.origins.answer(message), (sender,))
            return
        query = self._waiting.get(message.stream)
        if message.software != UNKNOWN_SOFTWARE:
            now_s = asyncio.get_running_loop().time()
            self.origins.note(message.stream, message.software, now_s)
        if query is not None:
            query.note_answer(sender, is_known=message.software != UNKNOWN_SOFTWARE)

    @property
    def several_softwares(self) -> bool:
        """Whether streams of several softwares of one service may be under way."""
        earliest_s = asyncio.get_running_loop().time() - self.origins.retention_s
        return self._history.has_several(earliest_s)

    def _earliest_s(self, route: Route) -> float:
        """Return when a stream of a route that is taken up now may have begun at the earliest."""
        return asyncio.get_running_loop().time() - LIFETIME_TIMEOUTS * route.timeout_s

    async def _ask(self, stream: int) -> int | None:
        """Ask other daemons until one knows the stream, or all have answered, or time is up."""
        asked = self._holder_choice.queried(stream, self._link.running())
        query = self._waiting.setdefault(stream, _Query(asked))
        query.callers += 1
        try:
            for _ in range(MAX_QUERIES):
                if query.done.is_set() or not query.unanswered:
                    break
                self._link.send(StreamQuery(stream), tuple(query.unanswered))
                await _wait(query.done, QUERY_INTERVAL_S)
        finally:
            query.callers -= 1
            if not query.callers:
                del self._waiting[stream]
        return self.origins.software(stream)


class _Query:
    """The state of a query to other daemons, which several requests may wait for."""

    __slots__ = ("callers", "done", "unanswered")

    def __init__(self, asked: Collection[str]) -> None:
        self.callers = 0
        self.done = asyncio.Event()
        self.unanswered = set(asked)

    def note_answer(self, sender: str, *, is_known: bool) -> None:
        self.unanswered.discard(sender)
        if is_known or not self.unanswered:
            self.done.set()


async def _wait(event: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return
