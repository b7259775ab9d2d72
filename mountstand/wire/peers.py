"""Calls from one daemon to another: an authenticated frame over HTTP, answered by another."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import urllib3
from urllib3.exceptions import HTTPError

from mountstand.errors import MessageRejected, PeerUnavailable
from mountstand.store.http_adapters import HEADER_BYTES
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.transport.bounded_reply import ReplyLimits, bounded_pool
from mountstand.transport.whole_lines import pool_manager
from mountstand.wire.frames import MAX_FRAME_BYTES, Frame, FrameCodec
from mountstand.wire.messages import Message

PEER_PATH = "/internal/messages"
PEER_TIMEOUT_S = 2.0
MAX_REPLY_S = 5.0
"""Longest time for all of a reply. It is a frame, which its sender has whole before it begins."""

OK_STATUS = 200

MessageHandler = Callable[[Frame], Message]
"""Answers one message; chosen by the message's type."""


class PeerAddress(Protocol):
    """Where a daemon's control interface is."""

    @property
    def member_id(self) -> str:
        """The daemon's id."""

    @property
    def address(self) -> str:
        """Its IP number."""

    @property
    def port(self) -> int:
        """Its control port."""


class PeerClient:
    """Calls other daemons; thread-safe."""

    def __init__(self, codec: FrameCodec, metrics: DaemonMetrics | None = None) -> None:
        self._codec = codec
        self._metrics = metrics
        pool = bounded_pool(ReplyLimits(MAX_REPLY_S))
        self._pool = pool_manager(pool, num_pools=512, maxsize=8, retries=False)

    def call(
        self, peer: PeerAddress, message: Message, timeout_s: float = PEER_TIMEOUT_S
    ) -> Message:
        """Send ``message`` and return the answer; raise ``PeerUnavailable`` without one."""
        url = f"http://{peer.address}:{peer.port}{PEER_PATH}"
        sealed = self._codec.seal(message)
        try:
            response = self._pool.request(
                "POST",
                url,
                body=sealed,
                timeout=urllib3.Timeout(connect=min(1.0, timeout_s), read=timeout_s),
            )
        except HTTPError as problem:
            raise PeerUnavailable(f"{peer.member_id}: {type(problem).__name__}") from None
        if response.status != OK_STATUS:
            raise PeerUnavailable(f"{peer.member_id}: status {response.status}")
        if self._metrics is not None:
            moved = 2 * HEADER_BYTES + len(sealed) + len(response.data)
            self._metrics.control_bytes.labels("peer").inc(moved)
        try:
            return self._codec.open(response.data).message
        except MessageRejected as problem:
            raise PeerUnavailable(f"{peer.member_id}: {problem.detail}") from None


class PeerServer:
    """Answers calls of other daemons by message type; thread-safe once all are registered."""

    def __init__(self, codec: FrameCodec) -> None:
        self._codec = codec
        self._handlers: dict[type, MessageHandler] = {}

    def register(self, message_type: type, handler: MessageHandler) -> None:
        """Answer messages of ``message_type`` with ``handler``."""
        self._handlers[message_type] = handler

    def answer(self, data: bytes) -> bytes:
        """Return the sealed answer to a sealed message; raise ``MessageRejected`` for others."""
        if len(data) > MAX_FRAME_BYTES:
            raise MessageRejected("too long")
        frame = self._codec.open(data)
        handler = self._handlers.get(type(frame.message))
        if handler is None:
            raise MessageRejected(f"no handler for {type(frame.message).__name__}")
        return self._codec.seal(handler(frame))
