"""Decoding of event streams: any split of the bytes gives the same whole frames."""

from __future__ import annotations

import time
from collections.abc import Callable

import hypothesis.strategies as st
from hypothesis import given, settings
from testtools import TestCase

from mountstand.online.event_stream import DONE_FRAME, EventStreamDecoder, MalformedStream
from mountstand.serving.events import MAX_COMMENTS, EventSplitter
from mountstand.transport.http_client import ReplyBroken

FRAMES = [b"data: {%d}\n\n" % n for n in range(6)]


def chunked(pieces: list[bytes]) -> bytes:
    """Return a body in chunked transfer encoding."""
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces) + b"0\r\n\r\n"


class EventStreams(TestCase):
    @settings(max_examples=200, deadline=None, derandomize=True, database=None)
    @given(st.lists(st.integers(1, 40), max_size=20), st.booleans(), st.integers(0, 3))
    def test_any_split_gives_the_same_frames(
        self, cuts: list[int], is_chunked: bool, skip: int
    ) -> None:
        whole = [*FRAMES, DONE_FRAME]
        data = chunked(whole) if is_chunked else b"".join(whole)
        decoder = EventStreamDecoder(chunked=is_chunked, skip_frames=skip)
        given_out = b""
        for cut in [*cuts, len(data)]:
            given_out += decoder.feed(data[:cut])
            data = data[cut:]
        self.assertEqual(b"".join(whole[skip:]), given_out)
        self.assertEqual((True, len(FRAMES) - skip), (decoder.done, decoder.frames))

    def test_a_broken_stream_gives_whole_frames_only(self) -> None:
        decoder = EventStreamDecoder(chunked=False)
        self.assertEqual(FRAMES[0], decoder.feed(FRAMES[0] + FRAMES[1][:5]))
        self.assertEqual((False, 1), (decoder.done, decoder.frames))

    def test_nonsense_is_an_error(self) -> None:
        decoder = EventStreamDecoder(chunked=True)
        self.assertRaises(MalformedStream, decoder.feed, b"no chunk size\r\n")


class LongEvents(TestCase):
    PIECE = b"data: a\n"
    PIECES = 125_000
    MAX_PROCESSOR_S = 2.0
    """Time for which callers of the same process may have to wait."""

    def check(self, feed: Callable[[bytes], object]) -> None:
        began_s = time.process_time()
        for _ in range(self.PIECES):
            feed(self.PIECE)
        self.assertLess(time.process_time() - began_s, self.MAX_PROCESSOR_S)

    def test_event_in_small_pieces_takes_time_in_proportion(self) -> None:
        """Guards against a daemon that stands still while it copies an event with each piece."""
        self.check(EventSplitter().feed)

    def test_frame_in_small_pieces_takes_time_in_proportion(self) -> None:
        """Guards against the same on the own interface."""
        self.check(EventStreamDecoder(chunked=False).feed)

    def test_comments_without_end_are_malformed(self) -> None:
        """Guards against a stream without an event that is read until its deadline."""
        splitter = EventSplitter()
        splitter.feed(b":\n\n" * MAX_COMMENTS + b"data: a\n\n")
        splitter.feed(b"\n\n" * MAX_COMMENTS)
        self.assertRaises(ReplyBroken, splitter.feed, b":\n\n")
