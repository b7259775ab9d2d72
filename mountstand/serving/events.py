"""Splits the body of a server-sent event stream into complete events."""

from __future__ import annotations

import re
from dataclasses import dataclass

from mountstand.transport.http_client import ReplyBroken

EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?m)^id:[ ]?(\d+)\r?$")
MAX_EVENT_BYTES = 1024 * 1024
"""Bytes without the end of an event after which an answer is broken off."""

MAX_COMMENTS = 1000
"""Comments and empty events in a row after which an answer is broken off. Those that keep a
connection open come seconds apart."""

EVENT_END_BYTES = 4
"""The longest end of an event."""

MAX_ID_DIGITS = 18
"""Digits of an event's id; a longer one does not fit into 64 bits and is no event's."""

DATA_LINE = re.compile(rb"(?m)^data:[ ]?([^\r\n]*)\r?$")


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event; ``raw`` holds its bytes including the terminating empty line."""

    raw: bytes
    event_id: int | None

    @property
    def data(self) -> bytes:
        """The values of the event's ``data`` lines, joined by line feeds."""
        return b"\n".join(DATA_LINE.findall(self.raw))

    @property
    def is_comment(self) -> bool:
        """Whether it has neither id nor data, as what only keeps a connection open."""
        return self.event_id is None and DATA_LINE.search(self.raw) is None


class EventSplitter:
    """Collects pieces of a body and returns the events that they complete."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._comments = 0

    def feed(self, piece: bytes) -> list[StreamEvent]:
        """Add ``piece`` to the body and return the events that it completes.

        Raises ``ReplyBroken`` for bytes that are no event.
        """
        # The part before was searched already, but for an end that the piece completes.
        search_start = max(0, len(self._pending) - EVENT_END_BYTES)
        self._pending += piece
        events = []
        start = 0
        for end in EVENT_END.finditer(self._pending, search_start):
            raw = bytes(self._pending[start : end.end()])
            start = end.end()
            event = StreamEvent(raw, _event_id(raw))
            self._comments = self._comments + 1 if event.is_comment else 0
            if self._comments > MAX_COMMENTS:
                raise ReplyBroken("malformed: comments without end")
            events.append(event)
        del self._pending[:start]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ReplyBroken("malformed: event without end")
        return events

    @property
    def partial_bytes(self) -> int:
        """The size of the part that has come of an event which is not yet complete."""
        return len(self._pending)


def _event_id(raw: bytes) -> int | None:
    id_match = EVENT_ID.search(raw)
    if id_match is None:
        return None
    digits = id_match.group(1)
    if len(digits) > MAX_ID_DIGITS:
        raise ReplyBroken("malformed: event id")
    return int(digits)
