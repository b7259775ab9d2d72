"""Relay of many event streams by one thread.

A caller's connection is taken over from its HTTP worker thread once the first bytes of the answer
are there; from then on one selector loop moves the frames of all streams. Why not a thread per
stream: ``docs/design/stream-relay.md``.
"""

from __future__ import annotations

import contextlib
import logging
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from mountstand.clock import elapsed_s
from mountstand.online.event_stream import EventStreamDecoder, MalformedStream
from mountstand.telemetry.metrics import DaemonMetrics

logger = logging.getLogger(__name__)

READ_BYTES = 65536
MAX_BUFFERED_BYTES = 256 * 1024
"""Unsent bytes per stream over which the back end is not read further."""

STALLED_CALLER_S = 30.0
SILENT_BACKEND_S = 10.0
SWEEP_INTERVAL_S = 1.0
LAST_CHUNK = b"0\r\n\r\n"


class StreamEnd(Enum):
    """How a relayed stream ended."""

    COMPLETED = "completed"
    CALLER_LEFT = "caller_left"
    BROKEN = "broken"


@dataclass(eq=False)
class RelayedStream:
    """One stream between a back end and a caller.

    ``on_end`` is called from the relay thread, exactly once per upstream; it must not block. After
    ``BROKEN`` the owner either adds the stream again with a new upstream or aborts it.
    """

    caller: socket.socket
    upstream: socket.socket
    decoder: EventStreamDecoder
    first_bytes: bytes
    on_end: Callable[[RelayedStream, StreamEnd], None]
    chunked_to_caller: bool = True
    head: bytes = b""
    frames_before: int = 0
    unsent: bytearray = field(default_factory=bytearray)
    finishing: bool = False
    paused: bool = False
    last_frame_s: float = 0.0
    """When the back end last completed a frame."""
    last_write_s: float = 0.0

    @property
    def frames_relayed(self) -> int:
        """Whole frames given to the caller over all upstreams."""
        return self.frames_before + self.decoder.frames

    def replace_upstream(
        self, upstream: socket.socket, first_bytes: bytes, chunked: bool, skip_frames: int
    ) -> None:
        """Continue this stream from another upstream."""
        self.frames_before = self.frames_relayed
        self.upstream = upstream
        self.first_bytes = first_bytes
        self.decoder = EventStreamDecoder(chunked=chunked, skip_frames=skip_frames)


class StreamRelay:
    """The selector loop; :meth:`add` may be called from any thread."""

    def __init__(self, metrics: DaemonMetrics) -> None:
        self._metrics = metrics
        self._selector = selectors.DefaultSelector()
        self._added: deque[RelayedStream] = deque()
        self._held: set[RelayedStream] = set()
        self._closing = threading.Event()
        self._wake_receive, self._wake_send = socket.socketpair()
        self._wake_receive.setblocking(False)
        self._wake_send.setblocking(False)
        self._selector.register(self._wake_receive, selectors.EVENT_READ, None)
        self._thread = threading.Thread(target=self._run, name="stream-relay", daemon=True)
        self._thread.start()

    def add(self, stream: RelayedStream) -> None:
        """Take a stream over."""
        self._added.append(stream)
        self._wake()

    def close(self) -> None:
        """Stop the loop; streams still held are cut off."""
        self._closing.set()
        self._wake()
        self._thread.join()

    def _wake(self) -> None:
        try:
            self._wake_send.send(b"\x00")
        except BlockingIOError:
            return

    def _run(self) -> None:
        swept_s = elapsed_s()
        while not self._closing.is_set():
            events = self._selector.select(SWEEP_INTERVAL_S)
            now_s = elapsed_s()
            for key, mask in events:
                if key.data is None:
                    self._take_added(now_s)
                    continue
                stream, is_caller = key.data
                if stream in self._held:
                    self._serve(stream, mask, now_s, is_caller=is_caller)
            if now_s - swept_s >= SWEEP_INTERVAL_S:
                swept_s = now_s
                self._sweep(now_s)

    def _take_added(self, now_s: float) -> None:
        with contextlib.suppress(BlockingIOError):
            self._wake_receive.recv(4096)
        while self._added:
            stream = self._added.popleft()
            self._held.add(stream)
            self._metrics.streams_held.set(len(self._held))
            self._start(stream, now_s)

    def _start(self, stream: RelayedStream, now_s: float) -> None:
        stream.caller.setblocking(False)
        stream.upstream.setblocking(False)
        stream.last_frame_s = stream.last_write_s = now_s
        stream.unsent += stream.head
        stream.head = b""
        self._selector.register(stream.upstream, selectors.EVENT_READ, (stream, False))
        self._selector.register(stream.caller, selectors.EVENT_READ, (stream, True))
        self._receive(stream, stream.first_bytes)

    def _serve(self, stream: RelayedStream, mask: int, now_s: float, *, is_caller: bool) -> None:
        try:
            if not is_caller:
                self._read_upstream(stream, now_s)
                return
            if mask & selectors.EVENT_WRITE:
                self._flush(stream, now_s)
            if mask & selectors.EVENT_READ and stream in self._held:
                self._read_caller(stream)
        except OSError:
            self._end(stream, StreamEnd.CALLER_LEFT)

    def _read_upstream(self, stream: RelayedStream, now_s: float) -> None:
        try:
            received = stream.upstream.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            received = b""
        if not received:
            self._end(stream, StreamEnd.BROKEN)
            return
        whole_frames = stream.decoder.whole_frames
        self._receive(stream, received)
        if stream.decoder.whole_frames > whole_frames:
            stream.last_frame_s = now_s

    def _receive(self, stream: RelayedStream, received: bytes) -> None:
        try:
            frames = stream.decoder.feed(received)
        except MalformedStream:
            self._end(stream, StreamEnd.BROKEN)
            return
        if frames:
            stream.unsent += encode_for_caller(stream, frames)
        if stream.decoder.done:
            stream.finishing = True
            stream.unsent += LAST_CHUNK if stream.chunked_to_caller else b""
            self._selector.unregister(stream.upstream)
        try:
            self._flush(stream, elapsed_s())
        except OSError:
            self._end(stream, StreamEnd.CALLER_LEFT)

    def _flush(self, stream: RelayedStream, now_s: float) -> None:
        if stream.unsent:
            try:
                sent = stream.caller.send(stream.unsent)
            except BlockingIOError:
                sent = 0
            if sent:
                del stream.unsent[:sent]
                stream.last_write_s = now_s
        if stream.finishing and not stream.unsent:
            self._end(stream, StreamEnd.COMPLETED)
            return
        self._watch(stream)

    def _watch(self, stream: RelayedStream) -> None:
        wants_write = bool(stream.unsent)
        mask = selectors.EVENT_READ | (selectors.EVENT_WRITE if wants_write else 0)
        if self._selector.get_key(stream.caller).events != mask:
            self._selector.modify(stream.caller, mask, (stream, True))
        too_much = len(stream.unsent) > MAX_BUFFERED_BYTES
        if stream.finishing or too_much == stream.paused:
            return
        stream.paused = too_much
        if too_much:
            self._selector.unregister(stream.upstream)
        else:
            self._selector.register(stream.upstream, selectors.EVENT_READ, (stream, False))

    def _read_caller(self, stream: RelayedStream) -> None:
        try:
            received = stream.caller.recv(READ_BYTES)
        except BlockingIOError:
            return
        if not received:
            self._end(stream, StreamEnd.CALLER_LEFT)

    def _end(self, stream: RelayedStream, end: StreamEnd) -> None:
        self._held.discard(stream)
        self._metrics.streams_held.set(len(self._held))
        for watched in (stream.upstream, stream.caller):
            try:
                self._selector.unregister(watched)
            except KeyError:
                continue
        stream.paused = False
        stream.upstream.close()
        if end is not StreamEnd.BROKEN:
            close_caller(stream)
        try:
            stream.on_end(stream, end)
        except Exception:
            logger.exception("stream end handler failed")

    def _sweep(self, now_s: float) -> None:
        for stream in list(self._held):
            if stream.unsent and now_s - stream.last_write_s > STALLED_CALLER_S:
                self._end(stream, StreamEnd.CALLER_LEFT)
            elif not stream.paused and now_s - stream.last_frame_s > SILENT_BACKEND_S:
                self._end(stream, StreamEnd.BROKEN)


def encode_for_caller(stream: RelayedStream, frames: bytes) -> bytes:
    """Return ``frames`` in the caller's transfer encoding."""
    if not stream.chunked_to_caller:
        return frames
    return b"%x\r\n%s\r\n" % (len(frames), frames)


def abort_caller(stream: RelayedStream, error_frame: bytes) -> None:
    """Tell the caller that the stream cannot be continued, and close without a closing frame."""
    try:
        stream.caller.setblocking(True)
        stream.caller.settimeout(1.0)
        stream.caller.sendall(bytes(stream.unsent) + encode_for_caller(stream, error_frame))
    except OSError:
        pass
    close_caller(stream)


def close_caller(stream: RelayedStream) -> None:
    """Close the caller's connection."""
    with contextlib.suppress(OSError):
        stream.caller.shutdown(socket.SHUT_RDWR)
    stream.caller.close()
