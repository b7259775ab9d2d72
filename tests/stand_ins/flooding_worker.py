"""A worker that answers each request with bytes without end: ``flooding_worker PORT FORM``.

A process of its own, since it would leave no time to others in a test's process.
"""

from __future__ import annotations

import socket
import sys
import threading

MAX_SENT_BYTES = 512 * 1024 * 1024
"""Bytes after which a connection is closed, so that a worker whose peer reads on ends by itself."""

BLOCK = 64 * 1024
EVENTS = b"Content-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


FORMS: dict[str, tuple[bytes, bytes]] = {
    "header lines": (b"", b"a: b\r\n"),
    "a header line": (b"x: ", b"x" * BLOCK),
    "a header name": (b"", b"x" * BLOCK),
    "trailers": (CHUNKED + b"\r\n1\r\na\r\n0\r\n", b"a: b\r\n"),
    "a chunk extension": (CHUNKED + b"\r\n5;", b"x" * BLOCK),
    "a body": (b"\r\n", b"x" * BLOCK),
    "chunks of one byte": (CHUNKED + b"\r\n", chunk(b"a")),
    "chunks of two bytes": (CHUNKED + b"\r\n", chunk(b"ab")),
    "a line": (EVENTS + b"\r\n", b"x" * BLOCK),
    "lines": (EVENTS + b"\r\n", b"data: a\n"),
    "lines in chunks": (EVENTS + CHUNKED + b"\r\n", chunk(b"data: a\n")),
    "events": (EVENTS + b"\r\n", b"data: a\n\n"),
    "events in chunks": (EVENTS + CHUNKED + b"\r\n", chunk(b"data: a\n\n")),
    "events in chunks of one byte": (
        EVENTS + CHUNKED + b"\r\n",
        b"".join(chunk(b"%c" % byte) for byte in b"data: a\n\n"),
    ),
    "empty events": (EVENTS + b"\r\n", b"\n\n"),
    "comments": (EVENTS + b"\r\n", b":\n\n"),
}
"""What comes behind the status and the id, and what is then repeated, by the name of the form."""


def answer(conn: socket.socket, form: str) -> None:
    """Answer one request."""
    start, piece = FORMS[form]
    block = piece * max(1, BLOCK // len(piece))
    try:
        asked = b""
        while b"\r\n\r\n" not in asked:
            received = conn.recv(65536)
            if not received:
                return
            asked += received
        request_id = asked.lower().partition(b"request-id: ")[2].partition(b"\r\n")[0]
        conn.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: " + request_id + b"\r\n" + start)
        sent_bytes = 0
        while sent_bytes < MAX_SENT_BYTES:
            conn.sendall(block)
            sent_bytes += len(block)
    except OSError:
        return
    finally:
        conn.close()


def main() -> None:
    """Serve until killed."""
    port, form = int(sys.argv[1]), sys.argv[2]
    listener = socket.create_server(("127.0.0.1", port), backlog=512)
    while True:
        conn, _ = listener.accept()
        threading.Thread(target=answer, args=(conn, form), daemon=True).start()


if __name__ == "__main__":
    main()
