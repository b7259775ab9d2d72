"""Which software began each recent stream, as a pure state machine that daemons share.

A caller may take up a broken stream at any daemon, often because the one that began it has died. So
each daemon reports the streams that begin at it to others before their callers get the first event:
to all others in a small fleet, in a large one to the few whose names are closest to the stream's
key. A daemon that doesn't know a stream asks these. Streams are named by a hash of the id of the
request that brought their first event.

A report costs a datagram for each receiver; a call to the store for each stream would not be
affordable.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection

from mountstand.hashing import content_key
from mountstand.wire.gossip import UNKNOWN_SOFTWARE, StreamOrigin, StreamQuery

MAX_RECEIVERS = 16
"""Fleets with at most this many other daemons report streams to all of them, so that a daemon that
is cut off later knows them too."""

HOLDERS = 6
"""Receivers of a report in larger fleets. If half of all daemons die at once, all holders of a
stream are among them once in 64 times."""

EXTRA_QUERIED = 4
"""How many more daemons are asked in larger fleets, since two daemons may differ in which others
they believe to run."""

MAX_STREAMS = 65_536
"""Streams kept, about 150 bytes each; those that began first are dropped first."""


def stream_key(request_id: str) -> int:
    """Return the number that stands for the stream which a request began."""
    return content_key(request_id.encode())


class StreamOrigins:
    """The software that began each stream, by the stream's key, for ``retention_s``."""

    __slots__ = ("_began", "_own", "retention_s")

    def __init__(self, retention_s: float) -> None:
        self.retention_s = retention_s
        self._began: dict[int, tuple[int, float]] = {}
        self._own: dict[int, None] = {}

    def note(self, stream: int, software: int, now_s: float) -> None:
        """Record the software that began a stream."""
        self._began.pop(stream, None)
        self._began[stream] = software, now_s
        self._drop_oldest(now_s)

    def note_own(self, stream: int, software: int, now_s: float) -> None:
        """Record the software that began a stream at this daemon."""
        self.note(stream, software, now_s)
        self._own[stream] = None

    def own(self) -> list[StreamOrigin]:
        """Return the origins of the recent streams that began at this daemon, latest ones last."""
        return [StreamOrigin(stream, self._began[stream][0]) for stream in self._own]

    def software(self, stream: int) -> int | None:
        """Return the key of the software that began a stream, ``None`` if it is not known."""
        began = self._began.get(stream)
        return began[0] if began is not None else None

    def answer(self, query: StreamQuery) -> StreamOrigin:
        """Return the reply to another daemon's query."""
        software = self.software(query.stream)
        return StreamOrigin(query.stream, UNKNOWN_SOFTWARE if software is None else software)

    def _drop_oldest(self, now_s: float) -> None:
        while self._began:
            oldest = next(iter(self._began))
            is_recent = now_s - self._began[oldest][1] <= self.retention_s
            if is_recent and len(self._began) <= MAX_STREAMS:
                return
            del self._began[oldest]
            self._own.pop(oldest, None)


class HolderChoice:
    """Chooses the daemons that hold the origin of a stream, the same on each daemon."""

    __slots__ = ("_key_by_name",)

    def __init__(self) -> None:
        self._key_by_name: dict[str, int] = {}

    def holders(self, stream: int, peers: Collection[str]) -> list[str]:
        """Return those of the other daemons to which the origin of a stream is reported."""
        return self._closest(stream, peers, HOLDERS)

    def queried(self, stream: int, peers: Collection[str]) -> list[str]:
        """Return those of the other daemons that are asked for the origin of a stream."""
        return self._closest(stream, peers, HOLDERS + EXTRA_QUERIED)

    def _closest(self, stream: int, peers: Collection[str], count: int) -> list[str]:
        if len(peers) <= MAX_RECEIVERS:
            return list(peers)
        return heapq.nsmallest(count, peers, key=lambda name: self._key(name) ^ stream)

    def _key(self, name: str) -> int:
        if name not in self._key_by_name:
            self._key_by_name[name] = content_key(name.encode())
        return self._key_by_name[name]
