"""Streams of the own interface at engines that end their connection with the stream."""

from __future__ import annotations

import re
import socket
import threading

from testtools import TestCase

from tests.stand_ins.own_stream import engine_machine, read_stream

FRAMES = b"".join(b"data: %d\n\n" % number for number in range(5))
END = b"data: [DONE]\n\n"
STREAM = FRAMES + END
GAP_S = 0.1


def head(request: bytes, status_line: bytes, *lines: bytes) -> bytes:
    """Return the head of a stream that answers a request."""
    match = re.search(rb"(?i)x-request-id: (\S+)", request)
    assert match is not None
    names = [b"Content-Type: text/event-stream", b"X-Request-Id: " + match[1], *lines]
    return b"\r\n".join([status_line, *names, b"", b""])


class ClosingEngine:
    """Answers one request with parts of a stream, and closes the connection."""

    def __init__(
        self,
        status_line: bytes,
        *lines: bytes,
        parts: tuple[bytes, ...] = (FRAMES[:7], FRAMES[7:], END),
        chunked: bool = False,
    ) -> None:
        self._status_line = status_line
        self._lines = lines
        self._parts = parts
        self._chunked = chunked
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        conn, _ = self._listener.accept()
        self._listener.close()
        with conn:
            request = conn.recv(65536)
            conn.sendall(head(request, self._status_line, *self._lines))
            for part in self._parts:
                threading.Event().wait(GAP_S)
                conn.sendall(b"%x\r\n%b\r\n" % (len(part), part) if self._chunked else part)
            if self._chunked:
                conn.sendall(b"0\r\n\r\n")


class ClosingStreams(TestCase):
    def check(self, engine: ClosingEngine) -> None:
        """Check that a caller gets the whole stream."""
        self.assertEqual(STREAM, read_stream(self, engine_machine(0, engine.port)))

    def test_in_chunks(self) -> None:
        """Guards against a request that fails since its engine announces the end."""
        close = b"Connection: close"
        chunks = b"Transfer-Encoding: chunked"
        self.check(ClosingEngine(b"HTTP/1.1 200 OK", close, chunks, chunked=True))

    def test_without_length(self) -> None:
        """Guards against a request that fails since its stream has no chunks."""
        self.check(ClosingEngine(b"HTTP/1.1 200 OK"))

    def test_of_an_older_protocol(self) -> None:
        """Guards against a request that fails at an engine of HTTP/1.0."""
        self.check(ClosingEngine(b"HTTP/1.0 200 OK"))

    def test_that_break_off(self) -> None:
        """Guards against a part of a stream that passes for all of it, as its connection ends."""
        engine = ClosingEngine(b"HTTP/1.1 200 OK", parts=(FRAMES,))
        received = read_stream(self, engine_machine(0, engine.port))
        begun, _, rest = received.partition(b"data: {")
        self.assertEqual(FRAMES, begun)
        self.assertTrue(rest.startswith(b'"error"'), received)
