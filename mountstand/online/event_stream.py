"""Decoding of one upstream event stream into whole frames; pure, no sockets.

The transfer encoding is decoded by httptools. A frame is relayed only when it is whole, so that a
broken stream can be continued at a frame boundary without a doubled or missing token.
"""

from __future__ import annotations

import httptools

FRAME_END = b"\n\n"
DONE_FRAME = b"data: [DONE]\n\n"
MAX_FRAME_BYTES = 1024 * 1024
"""Bytes without the end of a frame after which a stream is malformed."""

CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class MalformedStream(Exception):
    """The upstream bytes are not a valid chunked body."""


class EventStreamDecoder:
    """Turns upstream bytes into whole frames.

    Parameters
    ----------
    chunked
        Whether the body is in chunked transfer encoding.
    skip_frames
        Frames to drop at the start, because an earlier stream already relayed them.
    """

    def __init__(self, *, chunked: bool, skip_frames: int = 0) -> None:
        self.frames = 0
        """Whole frames given out, the closing one not counted."""
        self.done = False
        """Whether the closing frame was given out."""
        self.whole_frames = 0
        """Whole frames received, those dropped and the closing one counted."""
        self._skip_frames = skip_frames
        self._pending = bytearray()
        self._body: list[bytes] = []
        self._parser: httptools.HttpResponseParser | None = None
        if chunked:
            self._parser = httptools.HttpResponseParser(self)
            self._parser.feed_data(CHUNKED_HEAD)

    def on_body(self, body: bytes) -> None:
        """Take a decoded piece from the parser."""
        self._body.append(body)

    def feed(self, received: bytes) -> bytes:
        """Take bytes from the back end; return the whole frames they complete.

        Raises :class:`MalformedStream`.
        """
        # What came before holds no end, but for one that these bytes complete.
        search_start = max(0, len(self._pending) - len(FRAME_END) + 1)
        self._pending += self._decode(received)
        last_end = self._pending.rfind(FRAME_END, search_start)
        whole_bytes = last_end + len(FRAME_END) if last_end >= 0 else 0
        whole = bytes(self._pending[:whole_bytes])
        del self._pending[:whole_bytes]
        if len(self._pending) > MAX_FRAME_BYTES:
            raise MalformedStream("a frame without end")
        if not whole:
            return b""
        self.whole_frames += whole.count(FRAME_END)
        return self._account(whole)

    def _decode(self, received: bytes) -> bytes:
        if self._parser is None:
            return received
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as problem:
            raise MalformedStream(str(problem)) from None
        body = b"".join(self._body)
        self._body.clear()
        return body

    def _account(self, frames: bytes) -> bytes:
        if self._skip_frames:
            frames = self._drop_skipped(frames)
        count = frames.count(FRAME_END)
        if frames.endswith(DONE_FRAME):
            self.done = True
            count -= 1
        self.frames += count
        return frames

    def _drop_skipped(self, frames: bytes) -> bytes:
        parts = frames.split(FRAME_END)[:-1]
        dropped = min(self._skip_frames, len(parts))
        self._skip_frames -= dropped
        return b"".join(part + FRAME_END for part in parts[dropped:])
