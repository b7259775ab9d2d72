"""Which breaks of an exchange are taken for the end of a worker."""

from __future__ import annotations

import asyncio

from testtools import TestCase

from mountstand.serving.worker_protocol import Call
from mountstand.transport.sockets import reset
from tests.stand_ins.harness import HOST, Fleet, eventually, run
from tests.stand_ins.worker import StandInWorker


def call(request_id: str = "r1", body: bytes = b"body", tenant: str = "") -> Call:
    """Return a request as it is put to workers."""
    return Call(request_id, HOST, "POST", "/x", (), body, tenant=tenant)


class Ends(TestCase):
    def test_a_worker_that_refuses_connections_has_ended(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                worker = fleet.directory.workers["w0"]
                await fleet.workers[0].stop()
                fleet.crash_detector.note_broken(worker, call("r1", b"one"), 0.0)
                fleet.crash_detector.note_broken(worker, call("r2", b"two"), 0.0)
                await eventually(lambda: fleet.log.lines("worker_ended"), "end told")
                (line,) = fleet.log.lines("worker_ended")
                self.assertEqual(("w0", 2), (line["worker"], line["broken"]))
                self.assertIn(f"{call('r9', b'one').content_key:016x}", line["contents"])

        run(body())

    def test_a_worker_that_accepts_connections_runs_on(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                fleet.crash_detector.note_broken(fleet.directory.workers["w0"], call(), 0.0)
                await asyncio.sleep(0.5)
                self.assertEqual([], fleet.log.lines("worker_ended"))
                self.assertEqual(1, fleet.workers[0].connections)

        run(body())

    async def forwarder(self, fleet: Fleet, heard: bool = False) -> None:
        """Put a listener at a dead worker's address that accepts connections and resets them."""
        worker = fleet.directory.workers["w0"]
        await fleet.workers[0].stop()

        async def turn_away(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            reset(writer.transport)
            if heard:
                worker.note_reply(asyncio.get_running_loop().time())

        server = await asyncio.start_server(turn_away, "127.0.0.1", worker.record.port)
        self.addCleanup(server.close)

    def test_a_dead_worker_behind_a_port_forwarder_has_ended(self) -> None:
        """Its address accepts connections and resets them; one crashing request reached 117."""

        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                await self.forwarder(fleet)
                fleet.crash_detector.note_broken(fleet.directory.workers["w0"], call(), 0.0)
                await eventually(lambda: fleet.log.lines("worker_ended"), "end told")

        run(body())

    def test_a_full_worker_that_turns_connections_away_is_heard_on_others(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                await self.forwarder(fleet, heard=True)
                fleet.crash_detector.note_broken(fleet.directory.workers["w0"], call(), 0.0)
                await asyncio.sleep(1.5)
                self.assertEqual([], fleet.log.lines("worker_ended"))

        run(body())

    def test_the_end_of_a_worker_that_was_leaving_is_planned(self) -> None:
        async def body() -> None:
            async with Fleet(StandInWorker("w0")) as fleet:
                worker = fleet.directory.workers["w0"]
                fleet.directory.remove("w0", 1, asyncio.get_running_loop().time())
                await fleet.workers[0].stop()
                fleet.crash_detector.note_broken(worker, call(), 0.0)
                await asyncio.sleep(0.5)
                self.assertEqual([], fleet.log.lines("worker_ended"))

        run(body())


class Contents(TestCase):
    def test_the_id_of_a_request_is_no_part_of_its_content(self) -> None:
        self.assertEqual(call("r1").content_key, call("r2").content_key)

    def test_caller_path_and_body_are(self) -> None:
        keys = {call().content_key, call(body=b"other").content_key, call(tenant="t").content_key}
        keys.add(Call("r1", HOST, "POST", "/x", (), b"body\x00").content_key)
        keys.add(Call("r1", HOST, "POST", "/xb", (), b"ody").content_key)
        self.assertEqual(5, len(keys))
