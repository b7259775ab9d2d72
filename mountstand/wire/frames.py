"""Authenticated frames round messages, for datagrams and for calls between daemons.

A frame names its sender, the sender's incarnation and a number that rises with every frame, and
ends with a keyed hash over everything before it. Two keys may be live at once: frames are sealed
with the first and accepted under either, so that a fleet can change keys without a stop.
"""

from __future__ import annotations

import hashlib
import hmac
import itertools
import struct
import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any

from mountstand.errors import MessageRejected
from mountstand.wire.bodies import BodyCodec, BodyError

MAGIC = b"MS"
VERSION = 4
MAC_BYTES = 16
MAX_FRAME_BYTES = 4 * 1024 * 1024
REPLAY_WINDOW = 1024
"""Frames of one sender that may arrive out of order."""

MAX_TRACKED_SENDERS = 4096

OPENING_FORM = struct.Struct(">2sBBB")
"""Magic, version, kind, and the length of the sender's id, which follows."""

NUMBERS_FORM = struct.Struct(">QQQ")
"""Incarnation, number and revision; the body follows."""


@dataclass(frozen=True)
class Frame:
    """A message with its sender; ``revision`` is the sender's settings revision."""

    sender_id: str
    incarnation: int
    number: int
    revision: int
    message: Any


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

    def __init__(
        self, sender_id: str, incarnation: int, keys: list[str], bodies: BodyCodec
    ) -> None:
        self._sender = sender_id.encode()
        self._bodies = bodies
        self._incarnation = incarnation
        self._keys = [hashlib.blake2b(key.encode(), digest_size=32).digest() for key in keys]
        self._numbers = itertools.count(1)
        self._windows: OrderedDict[tuple[str, int], ReplayWindow] = OrderedDict()
        self._lock = threading.Lock()

    def seal(self, message: Any, revision: int = 0) -> bytes:
        """Return the frame of ``message``."""
        kind, body = self._bodies.encode(message)
        opening = OPENING_FORM.pack(MAGIC, VERSION, kind, len(self._sender))
        numbers = NUMBERS_FORM.pack(self._incarnation, next(self._numbers), revision)
        content = b"".join((opening, self._sender, numbers, body))
        return content + authentication_code(self._keys[0], content)

    def open(self, data: bytes) -> Frame:
        """Return the frame in ``data``; raise ``MessageRejected`` for anything else."""
        if not MAC_BYTES < len(data) <= MAX_FRAME_BYTES:
            raise MessageRejected("wrong length")
        content, mac = data[:-MAC_BYTES], data[-MAC_BYTES:]
        if not any(hmac.compare_digest(authentication_code(k, content), mac) for k in self._keys):
            raise MessageRejected("wrong authentication code")
        try:
            frame = self._parse(content)
        except (BodyError, struct.error, UnicodeDecodeError) as exc:
            raise MessageRejected(f"malformed: {exc}") from None
        self._check_replay(frame.sender_id, frame.incarnation, frame.number)
        return frame

    def _parse(self, content: bytes) -> Frame:
        magic, version, kind, sender_bytes = OPENING_FORM.unpack_from(content)
        if magic != MAGIC or version != VERSION:
            raise MessageRejected(f"version {version}")
        sender_end = OPENING_FORM.size + sender_bytes
        sender_id = content[OPENING_FORM.size : sender_end].decode()
        incarnation, number, revision = NUMBERS_FORM.unpack_from(content, sender_end)
        message = self._bodies.decode(kind, content[sender_end + NUMBERS_FORM.size :])
        return Frame(sender_id, incarnation, number, revision, message)

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
