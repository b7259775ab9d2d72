"""Splits the body of an event stream into whole events."""

from __future__ import annotations

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?m)^id:[ ]?(\d+)\r?$")
DATA_LINE = re.compile(rb"(?m)^data:[ ]?([^\r\n]*)\r?$")


@dataclass(frozen=True)
class StreamEvent:
    """One whole event; ``raw`` are its bytes with the empty line that ends it."""

    raw: bytes
    event_id: int | None

    @property
    def data(self) -> bytes:
        """The event's data, lines joined by a line feed."""
        return b"\n".join(DATA_LINE.findall(self.raw))


class EventSplitter:
    """Takes pieces of a body and gives out whole events."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Return the events that ``piece`` completes."""
        self._pending += piece
        events = []
        start = 0
        for end in EVENT_END.finditer(self._pending):
            raw = self._pending[start : end.end()]
            start = end.end()
            found = EVENT_ID.search(raw)
            events.append(StreamEvent(raw, int(found.group(1)) if found else None))
        self._pending = self._pending[start:]
        return events

    @property
    def partial(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._pending
