"""Frames between daemons: what is accepted, and what is refused without harm."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import given, settings
from testtools import TestCase

from mountstand.errors import MessageRejected
from mountstand.wire.frames import VERSION, FrameCodec
from mountstand.wire.gossip import (
    Ack,
    GossipBodies,
    LoadDigest,
    MembersSync,
    MemberUpdate,
    Ping,
    PingRequest,
    Scope,
)
from mountstand.wire.messages import (
    DaemonBodies,
    GrantedRanges,
    Message,
    RangeGrant,
    RangeKey,
    RenewedRanges,
    RevisionHint,
    WorkHint,
)

UPDATE = MemberUpdate("d1", "127.0.0.1", 80, "z", 2**40, 1)
KEY = RangeKey("tenant/job", 3, 7)
GRANT = RangeGrant(KEY, 0, 5, "input/a/0", "result/a/0", "caption", "t", 5, True, 3, 0.0)
MESSAGES: list[Message] = [
    Ping(1, (UPDATE,)),
    PingRequest(3, "d2", (UPDATE, UPDATE)),
    Ack(2, "d2"),
    MembersSync((UPDATE,)),
    LoadDigest((2**32 - 1,), (3,), (0,), (4,), (1,), (7, 8), Scope.GROUP),
    RevisionHint(),
    WorkHint(10, 3),
    GrantedRanges((GRANT,), 4),
    RenewedRanges((KEY,), (KEY, KEY)),
]


class Frames(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.sender = FrameCodec("d1", 5, ["new", "old"], DaemonBodies())
        self.receiver = FrameCodec("d2", 6, ["old", "new"], DaemonBodies())

    def test_every_message_survives_the_way(self) -> None:
        for message in MESSAGES:
            frame = self.receiver.open(self.sender.seal(message, 9))
            self.assertEqual(
                (message, "d1", 5, 9),
                (frame.message, frame.sender_id, frame.incarnation, frame.revision),
            )

    def test_refused(self) -> None:
        good = self.sender.seal(MESSAGES[0])
        cases = {
            "empty": b"",
            "short": good[:10],
            "truncated": good[:-1],
            "longer": good + b"\x00",
            "other key": FrameCodec("d1", 5, ["foreign"], DaemonBodies()).seal(MESSAGES[0]),
            "one bit": bytes([good[0] ^ 1]) + good[1:],
        }
        for name, data in cases.items():
            self.assertRaises(MessageRejected, self.receiver.open, data)
            self.assertEqual(name, name)
        self.receiver.open(good)
        self.assertRaises(MessageRejected, self.receiver.open, good)

    def test_late_frames_are_accepted_once(self) -> None:
        sealed = [self.sender.seal(MESSAGES[1]) for _ in range(5)]
        for data in reversed(sealed):
            self.receiver.open(data)
        for data in sealed:
            self.assertRaises(MessageRejected, self.receiver.open, data)

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given(st.binary(max_size=200), st.integers(1, 19))
    def test_authentic_nonsense_is_refused_and_never_breaks(self, body: bytes, kind: int) -> None:
        content = b"MS" + bytes([VERSION, kind]) + b"\x02d1" + bytes(24) + body
        codec = FrameCodec("d2", 6, ["k"], DaemonBodies())
        sealed = seal_raw(codec, content)
        try:
            codec.open(sealed)
        except MessageRejected:
            return


class GossipOnly(TestCase):
    """The serving process knows gossip messages alone."""

    def setUp(self) -> None:
        super().setUp()
        self.codec = FrameCodec("d2", 6, ["k"], GossipBodies())

    def test_other_messages_are_refused(self) -> None:
        sender = FrameCodec("d1", 5, ["k"], DaemonBodies())
        self.assertRaises(MessageRejected, self.codec.open, sender.seal(WorkHint(10, 3)))

    def test_fields_of_a_wrong_type_are_refused(self) -> None:
        numbers = bytes(23) + b"\x01" + bytes(0)
        for body in (b"\x91\xa1x", b"\x92\x01\x91\x91\x01", b"\x90", b"\xc0"):
            content = b"MS" + bytes([VERSION, 1]) + b"\x02d1" + numbers + body
            self.assertRaises(MessageRejected, self.codec.open, seal_raw(self.codec, content))


def seal_raw(codec: FrameCodec, content: bytes) -> bytes:
    from mountstand.wire.frames import authentication_code

    return content + authentication_code(codec._keys[0], content)
