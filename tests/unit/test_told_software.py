"""Streams of the own interface at engines whose software isn't the one that the list names."""

from __future__ import annotations

import threading
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from testtools import TestCase

from mountstand.store.ports import Machine
from tests.stand_ins.own_stream import engine_machine, read_stream

FRAMES = 3
END = b"data: [DONE]\n\n"


def frames(version: str, count: int = 2 * FRAMES) -> bytes:
    """Return the first frames that a version writes, all of them if not told how many."""
    return b"".join(b"data: %s %d\n\n" % (version.encode(), n) for n in range(count))


class Engine(ThreadingHTTPServer):
    """Writes a stream as its software does; the first one breaks off if told so."""

    def __init__(self, software: str, *, breaks: bool = False, tells: bool = True) -> None:
        super().__init__(("127.0.0.1", 0), EngineHandler)
        self.software = software
        self.breaks = breaks
        self.tells = tells
        threading.Thread(target=self.serve_forever, daemon=True).start()


class EngineHandler(BaseHTTPRequestHandler):
    """Answers with a stream, and refuses to resume one."""

    server: Engine
    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Answer a completion or a request to resume."""
        self.rfile.read(int(self.headers["Content-Length"]))
        resumes = self.path.endswith("/resume")
        self.send_response(404 if resumes else 200)
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        if resumes:
            self.send_header("X-Executed", "no")
            self.send_header("Content-Length", "0")
        else:
            self.send_header("Transfer-Encoding", "chunked")
        if self.server.tells:
            self.send_header("X-Software", self.server.software)
        self.end_headers()
        if not resumes:
            breaks = self.server.breaks
            part = frames(self.server.software, FRAMES) + b"data: "
            written = part if breaks else frames(self.server.software) + END
            end = b"" if breaks else b"0\r\n\r\n"
            self.close_connection = breaks
            with suppress(ConnectionError):
                self.wfile.write(b"%x\r\n%b\r\n%b" % (len(written), written, end))

    def do_DELETE(self) -> None:
        """Take a request to cancel."""
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, format: str, *args: object) -> None:
        """Log nothing."""


class ToldSoftware(TestCase):
    def machine(self, number: int, engine: Engine, listed: str) -> Machine:
        self.addCleanup(engine.server_close)
        self.addCleanup(engine.shutdown)
        return engine_machine(number, engine.server_address[1], listed)

    def test_stream_does_not_go_on_at_software_that_the_list_does_not_know_of_yet(self) -> None:
        """Guards against frames of two versions where an engine changed before the list did."""
        received = read_stream(
            self,
            self.machine(0, Engine("v1", breaks=True), "v1"),
            self.machine(1, Engine("v2"), "v1"),
        )
        begun, _, rest = received.partition(b"data: {")
        self.assertEqual(frames("v1", FRAMES), begun)
        self.assertTrue(rest.startswith(b'"error"'), rest)

    def test_stream_goes_on_at_the_version_that_its_engine_told(self) -> None:
        """Guards against a stream that is bound to the version that an old list names."""
        received = read_stream(
            self,
            self.machine(0, Engine("v2", breaks=True), "v1"),
            self.machine(1, Engine("v1"), "v1"),
            self.machine(2, Engine("v2"), "v2"),
        )
        self.assertEqual(frames("v2") + END, received)

    def test_stream_goes_on_at_engines_that_tell_no_version(self) -> None:
        """Guards against streams that end where engines don't know the header."""
        received = read_stream(
            self,
            self.machine(0, Engine("v1", breaks=True, tells=False), "v1"),
            self.machine(1, Engine("v1", tells=False), "v1"),
        )
        self.assertEqual(frames("v1") + END, received)
