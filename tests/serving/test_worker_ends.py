"""Tests of which broken exchanges count as a crash of the worker."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from mountstand.serving.worker_protocol import Call
from mountstand.transport.sockets import reset
from tests.stand_ins.harness import HOST, Fleet, eventually, run
from tests.stand_ins.worker import StandInWorker


def call(request_id: str = "r1", body: bytes = b"body", tenant: str = "") -> Call:
    """Return a request as sent to workers."""
    return Call(request_id, HOST, "POST", "/x", (), body, tenant=tenant)


class CrashDetection(TestCase):
    def test_worker_that_refuses_connections_has_crashed(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                worker = fleet.directory.workers["w0"]
                await fleet.workers[0].stop()
                fleet.crash_detector.note_broken(worker, call("r1", b"one"), 0.0)
                fleet.crash_detector.note_broken(worker, call("r2", b"two"), 0.0)
                await eventually(lambda: fleet.log.lines("worker_ended"), "worker_ended logged")
                (line,) = fleet.log.lines("worker_ended")
                self.assertEqual(("w0", 2), (line["worker"], line["broken"]))
                self.assertIn(f"{call('r9', b'one').content_key:016x}", line["contents"])

        run(body())

    def test_worker_that_accepts_connections_has_not_crashed(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                fleet.crash_detector.note_broken(fleet.directory.workers["w0"], call(), 0.0)
                await asyncio.sleep(0.5)
                self.assertEqual([], fleet.log.lines("worker_ended"))
                self.assertEqual(1, fleet.workers[0].connections)

        run(body())

    async def start_forwarder(self, fleet: Fleet, worker_responds: bool = False) -> None:
        """Replace the worker by a listener that resets every connection it accepts.

        With ``worker_responds``, the worker still sends data on other connections.
        """
        worker = fleet.directory.workers["w0"]
        await fleet.workers[0].stop()

        async def reset_connection(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            reset(writer.transport)
            if worker_responds:
                worker.note_reply(asyncio.get_running_loop().time())

        server = await asyncio.start_server(reset_connection, "127.0.0.1", worker.record.port)
        self.addCleanup(server.close)

    def test_dead_worker_behind_a_port_forwarder_has_crashed(self) -> None:
        """Guards against taking a forwarder that still accepts connections for a live worker."""

        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                await self.start_forwarder(fleet)
                fleet.crash_detector.note_broken(fleet.directory.workers["w0"], call(), 0.0)
                await eventually(lambda: fleet.log.lines("worker_ended"), "worker_ended logged")

        run(body())

    def test_full_worker_that_resets_new_connections_has_not_crashed(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                await self.start_forwarder(fleet, worker_responds=True)
                fleet.crash_detector.note_broken(fleet.directory.workers["w0"], call(), 0.0)
                await asyncio.sleep(1.5)
                self.assertEqual([], fleet.log.lines("worker_ended"))

        run(body())

    def test_exit_of_a_leaving_worker_is_no_crash(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                worker = fleet.directory.workers["w0"]
                fleet.directory.remove("w0", 1, asyncio.get_running_loop().time())
                await fleet.workers[0].stop()
                fleet.crash_detector.note_broken(worker, call(), 0.0)
                await asyncio.sleep(0.5)
                self.assertEqual([], fleet.log.lines("worker_ended"))

        run(body())


class ContentKey(TestCase):
    def test_content_key_ignores_the_request_id(self) -> None:
        self.assertEqual(call("r1").content_key, call("r2").content_key)

    def test_content_key_covers_tenant_path_and_body(self) -> None:
        keys = {call().content_key, call(body=b"other").content_key, call(tenant="t").content_key}
        keys.add(Call("r1", HOST, "POST", "/x", (), b"body\x00").content_key)
        keys.add(Call("r1", HOST, "POST", "/xb", (), b"ody").content_key)
        self.assertEqual(5, len(keys))
