"""Open connections to a store that go silent together, without a reset, while new ones work.

Guards against calls that wait for one silent connection after the other, so that a configuration is
in force late.
"""

from __future__ import annotations

import asyncio
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import orjson
from testtools import ExpectedException, TestCase

from mountstand.errors import StoreUnavailable
from mountstand.platform.store_client import FEED_SLACK_S, PlatformStore
from mountstand.serving_settings import SocketAddress
from mountstand.store.http_adapters import StoreClient
from mountstand.store.rows import OutcomeUnknown
from mountstand.telemetry.serving_metrics import ServingMetrics
from tests.stand_ins.harness import run

CALLS_AT_ONCE = 6
SOON_S = 0.5
TIMEOUT_S = 1.0
HELD_S = 0.6
"""How long a feed's call is held; long enough for all other calls to be answered before."""

ANSWER_S = 0.05
PAGE = orjson.dumps({"rows": [], "more": False, "ver": 1, "now_ms": 1})


class SilencedServer(ThreadingHTTPServer):
    """Answers calls, but for those on connections that were open when it was silenced."""

    daemon_threads = True
    request_queue_size = 64
    block_on_close = False

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), AnsweringHandler)
        self.silenced_at_s = float("-inf")
        self.stopped = threading.Event()
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def silence(self) -> None:
        """Answer nothing any more on the connections that are open now."""
        self.silenced_at_s = time.monotonic()

    def stop(self) -> None:
        """Stop listening and answering."""
        self.stopped.set()
        self.shutdown()
        self.server_close()


class AnsweringHandler(BaseHTTPRequestHandler):
    """Answers each call with an empty page, after a moment, so that calls overlap.

    Those of a feed are held for longer.
    """

    protocol_version = "HTTP/1.1"
    server: SilencedServer

    def setup(self) -> None:
        super().setup()
        self.opened_at_s = time.monotonic()

    def do_GET(self) -> None:
        time.sleep(HELD_S if "feed" in self.path else ANSWER_S)
        if self.opened_at_s <= self.server.silenced_at_s:
            self.server.stopped.wait()
            return
        self.send_response(200)
        self.send_header("Content-Length", str(len(PAGE)))
        self.end_headers()
        self.wfile.write(PAGE)

    def log_message(self, format: str, *args: object) -> None:
        """Write no line for each call."""


class SilentConnections(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.server = SilencedServer()
        self.addCleanup(self.server.stop)

    def test_platform_store_is_reached_after_one_time_out(self) -> None:
        async def scenario() -> None:
            address = SocketAddress("127.0.0.1", self.server.server_port)
            store = PlatformStore(address, ServingMetrics())
            feed = asyncio.create_task(store.changes("t", 1, 0))
            # The other connections are used after the feed's call began, before they go silent.
            await asyncio.gather(*(store.read("t", "") for _ in range(CALLS_AT_ONCE)))
            self.server.silence()
            with ExpectedException(OutcomeUnknown):
                async with asyncio.timeout(FEED_SLACK_S + SOON_S):
                    await feed
            began_s = asyncio.get_running_loop().time()
            await store.changes("t", 1, 0)
            took_s = asyncio.get_running_loop().time() - began_s
            self.assertLess(took_s, FEED_SLACK_S)

        run(scenario())

    def test_store_of_the_own_interface_is_reached_after_one_time_out(self) -> None:
        url = f"http://127.0.0.1:{self.server.server_port}"
        client = StoreClient("table", url, TIMEOUT_S, None)
        with ThreadPoolExecutor(CALLS_AT_ONCE) as pool:
            for _ in range(CALLS_AT_ONCE):
                pool.submit(client.call, "GET", "/x", writes=False)
        self.server.silence()
        self.assertRaises(StoreUnavailable, client.call, "GET", "/x", writes=False)
        began_s = time.monotonic()
        client.call("GET", "/x", writes=False)
        self.assertLess(time.monotonic() - began_s, SOON_S)
