"""Reads one answer from the bytes of a connection, within bounds, by httptools.

A worker in trouble may send bytes without end. What is kept of an answer is its head, which is
short, and the part of its body that has not been taken.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import httptools

from mountstand.transport.headers import Header, Headers, number

MAX_HEAD_BYTES = 32 * 1024
"""Bytes of a head, interim ones before it included, and of what may stand between two pieces of a
body or behind it: extensions of a chunk, and trailers."""

MAX_HEADER_LINES = 256
"""Lines of a head. Short ones take many times their bytes in memory."""

MAX_FOREIGN_BYTES = 1024 * 1024
"""Bytes of answers to other requests, which are dropped."""

INTERIM_STATUSES = frozenset({100, 102, 103})
"""Statuses of heads that come before the answer's own. 101 would end the protocol; for others the
parser reads a body."""

FINAL_STATUSES = range(200, 600)
"""Statuses of answers; no other number says whether a request has succeeded."""


class MalformedReply(Exception):
    """Bytes that are no answer, or that go on without becoming one."""


@dataclass(frozen=True)
class ReplyHead:
    """Status and headers of an answer; ``length`` is ``None`` where none was told."""

    status: int
    headers: Headers
    length: int | None
    chunked: bool

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection tells that the answer has ended."""
        return self.length is None and not self.chunked


class ReplyReader:
    """The answer to one request, as far as it has come.

    Answers whose headers ``accepts`` turns down belong to other requests and are dropped.
    ``has_body`` is false for requests whose answers have none.
    """

    __slots__ = (
        "_accepts",
        "_foreign",
        "_has_body",
        "_headers",
        "_parser",
        "_seen_foreign",
        "_undelivered_bytes",
        "body",
        "body_parts",
        "complete",
        "head",
        "keep_alive_s",
        "reusable",
    )

    def __init__(self, accepts: Callable[[Headers], bool], *, has_body: bool) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._accepts = accepts
        self._has_body = has_body
        self._headers: list[Header] = []
        self._undelivered_bytes = 0
        self._foreign = False
        self._seen_foreign = False
        self.head: ReplyHead | None = None
        self.body = bytearray()
        """The part of the body that has come and was not taken."""

        self.body_parts = 0
        """In how many parts the body has come, as its chunks divide it."""

        self.complete = False
        self.reusable = True
        """Whether the connection may carry another request, as far as the bytes tell."""

        self.keep_alive_s: float | None = None

    def feed(self, data: memoryview) -> None:
        """Parse further bytes. Raises ``MalformedReply``, also for bytes behind the answer."""
        self._undelivered_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise MalformedReply("protocol switch") from None
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as problem:
            raise MalformedReply(f"malformed: {problem.__context__ or problem}") from None
        limit = MAX_FOREIGN_BYTES if self._seen_foreign else MAX_HEAD_BYTES
        if not self.complete and self._undelivered_bytes > limit:
            raise MalformedReply(f"no answer within {limit} bytes")

    def end_with_connection(self) -> None:
        """Note that the connection has ended in order, which ends a body without a length."""
        if self.ends_with_connection:
            self.complete = True

    @property
    def ends_with_connection(self) -> bool:
        """Whether the answer goes on until its connection ends."""
        return self.head is not None and self.head.ends_with_connection and not self.complete

    def take_body(self, max_bytes: int) -> bytes:
        """Return the first bytes of the body that have come, and forget them."""
        piece = bytes(self.body[:max_bytes])
        del self.body[:max_bytes]
        return piece

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Begin an answer; one more after a whole one belongs to no request."""
        if self.complete:
            self.reusable = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header. Those behind a body are dropped."""
        if self.head is not None or self._foreign:
            return
        if len(self._headers) >= MAX_HEADER_LINES:
            raise MalformedReply(f"head of over {MAX_HEADER_LINES} lines")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Take the head, unless it is an interim one."""
        status = self._parser.get_status_code()
        if self.complete or status in INTERIM_STATUSES:
            return
        if status not in FINAL_STATUSES:
            raise MalformedReply(f"status {status:03d}")
        headers = Headers(self._headers)
        self._foreign = not self._accepts(headers)
        if self._foreign:
            self._seen_foreign = True
            self.reusable = False
            return
        length = number(headers.get("content-length"))
        chunked = "chunked" in (headers.get("transfer-encoding") or "").lower()
        bodiless = not self._has_body or status in (204, 304)
        self._note_keep_alive(headers)
        self.head = ReplyHead(status, headers, 0 if bodiless else length, chunked)
        self._undelivered_bytes = 0
        if not self._has_body:
            self.reusable = False
            self.complete = True

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        if self.complete or self._foreign:
            return
        self.body += body
        self.body_parts += 1
        self._undelivered_bytes = 0

    def on_message_complete(self) -> None:
        """End the answer."""
        if self.complete or self._parser.get_status_code() in INTERIM_STATUSES:
            return
        if self._foreign:
            self._foreign = False
            return
        if not self._parser.should_keep_alive():
            self.reusable = False
        self.complete = True

    def _note_keep_alive(self, headers: Headers) -> None:
        if (headers.get("connection") or "").lower() == "close":
            self.reusable = False
        for word in (headers.get("keep-alive") or "").split(","):
            name, _, value = word.strip().partition("=")
            if name.lower() == "timeout":
                self.keep_alive_s = float(number(value) or 0)
