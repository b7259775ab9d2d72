"""Stores and peers of the own interface that answer without end: the reply is broken off in time.

Guards against threads and memory that such an answer takes for good.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

from testtools import TestCase

from mountstand.errors import MountstandError
from mountstand.store.http_adapters import (
    MAX_OBJECT_BYTES,
    HttpMachineList,
    HttpObjects,
    HttpTable,
)
from mountstand.store.ports import Transaction
from mountstand.transport.bounded_reply import MAX_REPLY_BYTES
from mountstand.wire.frames import FrameCodec
from mountstand.wire.messages import DaemonBodies, JobHint
from mountstand.wire.peers import PeerClient
from tests.unit.test_endless_backend import (
    BLOCK,
    CHUNK,
    CHUNKED,
    HEAD,
    SOCKET_BUFFER_BYTES,
    EndlessServer,
    endless,
)

TIMEOUT_S = 0.5
LIMIT_S = 10.0
"""Time in which each reply ends, with room for a busy machine; the servers send for 20 s."""

FLOOD_GAP_S = 0.0005
CASES = {
    "a body": (CHUNKED, CHUNK, FLOOD_GAP_S),
    "a body up to the close": (HEAD + b"\r\n", BLOCK, FLOOD_GAP_S),
    "a head that trickles": (HEAD + b"x: ", b"x", 0.05),
    "a body that trickles": (CHUNKED, b"1\r\nx\r\n", 0.05),
}


@dataclass(frozen=True)
class Peer:
    """Where another daemon's control interface is."""

    port: int
    member_id: str = "peer"
    address: str = "127.0.0.1"


class EndlessAnswers(TestCase):
    def check(
        self, call: Callable[[EndlessServer, str], object], max_bytes: int = MAX_REPLY_BYTES
    ) -> None:
        """Check that a call to each endless server ends in time, as one without an answer."""
        for name, (start, piece, gap_s) in CASES.items():
            with self.subTest(name), endless(start, piece, gap_s) as server:
                began_s = time.monotonic()
                url = f"http://127.0.0.1:{server.machine.port}"
                self.assertRaises(MountstandError, call, server, url)
                took_s = time.monotonic() - began_s
                self.assertTrue(took_s < LIMIT_S, (name, took_s))
                self.assertTrue(server.closed.wait(LIMIT_S), (name, "the connection is closed"))
                self.assertTrue(server.sent_bytes <= max_bytes + SOCKET_BUFFER_BYTES, name)

    def test_answer_of_the_table(self) -> None:
        self.check(lambda _, url: HttpTable(url, TIMEOUT_S).commit(Transaction()))

    def test_answer_of_the_object_store(self) -> None:
        self.check(lambda _, url: HttpObjects(url, TIMEOUT_S).get("x"), MAX_OBJECT_BYTES)

    def test_list_of_machines(self) -> None:
        self.check(lambda _, url: HttpMachineList(url, TIMEOUT_S).machines())

    def test_answer_of_a_peer(self) -> None:
        codec = FrameCodec("d1", 1, ["key"], DaemonBodies())

        def call(server: EndlessServer, _: str) -> None:
            PeerClient(codec).call(Peer(server.machine.port), JobHint("k"), TIMEOUT_S)

        self.check(call)
