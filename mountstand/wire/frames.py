"""Authenticated frames round messages, for datagrams and for calls between daemons.

A frame names its sender, the sender's incarnation and a number that rises with every frame, and
ends with a keyed hash over everything before it. Two keys may be live at once: frames are sealed
with the first and accepted under either, so that a fleet can change keys without a stop.
"""

from __future__ import annotations

import hashlib
import hmac
import itertools
import threading
from collections import OrderedDict
from dataclasses import dataclass

from construct import (
    Const,
    ConstructError,
    GreedyBytes,
    Int8ub,
    Int64ub,
    PascalString,
    Struct,
)

from mountstand.errors import MessageRejected
from mountstand.wire.messages import Message, decode_body, encode_body

MAGIC = b"MS"
VERSION = 1
MAC_BYTES = 16
MAX_FRAME_BYTES = 4 * 1024 * 1024
REPLAY_WINDOW = 1024
"""Frames of one sender that may arrive out of order."""

MAX_TRACKED_SENDERS = 4096

ENVELOPE_FORM = Struct(
    "magic" / Const(MAGIC),
    "version" / Int8ub,
    "kind" / Int8ub,
    "sender_id" / PascalString(Int8ub, "utf8"),
    "incarnation" / Int64ub,
    "number" / Int64ub,
    "revision" / Int64ub,
    "body" / GreedyBytes,
)


@dataclass(frozen=True)
class Frame:
    """A message with its sender; ``revision`` is the sender's settings revision."""

    sender_id: str
    incarnation: int
    number: int
    revision: int
    message: Message


class ReplayWindow:
    """Remembers which frame numbers of one sender were seen."""

    def __init__(self) -> None:
        self._highest = 0
        self._seen = 0

    def accept(self, number: int) -> bool:
        """Return whether ``number`` is new, and remember it."""
        if number > self._highest:
            shift = min(number - self._highest, REPLAY_WINDOW)
            self._seen = ((self._seen << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self._highest = number
            return True
        behind = self._highest - number
        if behind >= REPLAY_WINDOW or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True


class FrameCodec:
    """Seals and opens the frames of one daemon; thread-safe."""

    def __init__(self, sender_id: str, incarnation: int, keys: list[str]) -> None:
        self._sender_id = sender_id
        self._incarnation = incarnation
        self._keys = [hashlib.blake2b(key.encode(), digest_size=32).digest() for key in keys]
        self._numbers = itertools.count(1)
        self._windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()
        self._lock = threading.Lock()

    def seal(self, message: Message, revision: int = 0) -> bytes:
        """Return the frame of ``message``."""
        kind, body = encode_body(message)
        content = ENVELOPE_FORM.build(
            {
                "version": VERSION,
                "kind": kind,
                "sender_id": self._sender_id,
                "incarnation": self._incarnation,
                "number": next(self._numbers),
                "revision": revision,
                "body": body,
            }
        )
        return content + authentication_code(self._keys[0], content)

    def open(self, data: bytes) -> Frame:
        """Return the frame in ``data``; raise ``MessageRejected`` for anything else."""
        if not MAC_BYTES < len(data) <= MAX_FRAME_BYTES:
            raise MessageRejected("wrong length")
        content, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not any(hmac.compare_digest(authentication_code(k, content), mac) for k in self._keys):
            raise MessageRejected("wrong authentication code")
        try:
            envelope = ENVELOPE_FORM.parse(content)
            if envelope.version != VERSION:
                raise MessageRejected(f"version {envelope.version}")
            message = decode_body(envelope.kind, envelope.body)
        except (ConstructError, ValueError, TypeError) as problem:
            raise MessageRejected(f"malformed: {type(problem).__name__}") from None
        self._check_replay(envelope.sender_id, envelope.incarnation, envelope.number)
        return Frame(
            envelope.sender_id,
            envelope.incarnation,
            envelope.number,
            envelope.revision,
            message,
        )

    def _check_replay(self, sender_id: str, incarnation: int, number: int) -> None:
        with self._lock:
            window = self._windows.setdefault((sender_id, incarnation), ReplayWindow())
            self._windows.move_to_end((sender_id, incarnation))
            while len(self._windows) > MAX_TRACKED_SENDERS:
                self._windows.popitem(last=False)
            if not window.accept(number):
                raise MessageRejected("replayed")


def authentication_code(key: bytes, content: bytes) -> bytes:
    """Return the keyed hash of ``content``."""
    return hashlib.blake2b(content, key=key, digest_size=MAC_BYTES).digest()
