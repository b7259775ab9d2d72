"""A daemon stops as planned, whichever of its threads the signal reaches and whenever it comes.

A daemon once did not end within 90 s of SIGTERM. The handler of the signal set an event on which
the main thread waited. Python runs handlers in the main thread alone, between two of its steps. So
nothing happened where the kernel gave the signal to another thread while the main one slept; and
where the main thread was just entering its wait, the handler waited for the lock of the event that
its own thread held. Both left a daemon that went on serving and never stopped.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import random
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import orjson
import urllib3
from testtools import TestCase

from mountstand.lab.fleet import Fleet, FleetProcess
from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan
from mountstand.lab.ports import LOOPBACK
from tests.integration.helpers import wait_until

STOP_S = 20.0
"""An idle daemon stops within 1 to 2 s; this leaves room on a busy machine."""


def signal_thread(process_id: int, thread_id: int, number: signal.Signals) -> None:
    """Send a signal to one thread of a process."""
    if ctypes.CDLL(None).tgkill(process_id, thread_id, int(number)):
        raise OSError("tgkill failed")


def other_threads(process_id: int) -> list[int]:
    """Return the ids of a process's threads but for the main one."""
    threads = sorted(int(path.name) for path in Path(f"/proc/{process_id}/task").iterdir())
    return [thread_id for thread_id in threads if thread_id != process_id]


class PlannedStopBySignal(TestCase):
    def stop_by(self, number: signal.Signals) -> tuple[int | None, str]:
        """Signal a thread that isn't the main one; return the exit code and the log."""
        with Fleet(FleetPlan(daemons=1, engines=1, applications=0)) as fleet:
            daemon: FleetProcess = fleet.processes[fleet.daemons[0].daemon_id]
            process_id = daemon.process.pid
            signal_thread(process_id, other_threads(process_id)[-1], number)
            try:
                return daemon.process.wait(STOP_S), daemon.log.read_text()
            except subprocess.TimeoutExpired:
                return None, daemon.dump()

    def test_a_signal_that_reaches_another_thread(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            code, log = self.stop_by(number)
            self.assertEqual(0, code, f"{number.name}, {os.linesep}{log}")


class RepeatedSignals(TestCase):
    """The exit code tells how the stop went, also where signals come until the very end.

    The interpreter's end takes the handlers back: a daemon that had stopped as planned ended with
    -15 by a second SIGTERM, or with -10 by a request for its stacks.
    """

    INTERVAL_S = 0.002

    def test_signals_until_the_end(self) -> None:
        for number in (signal.SIGTERM, signal.SIGUSR1):
            with Fleet(FleetPlan(daemons=1, engines=1, applications=0)) as fleet:
                daemon = fleet.processes[fleet.daemons[0].daemon_id]
                daemon.send(signal.SIGTERM)
                until_s = time.monotonic() + STOP_S
                while daemon.is_running and time.monotonic() < until_s:
                    daemon.send(number)
                    time.sleep(self.INTERVAL_S)
                self.assertEqual(0, daemon.process.poll(), number.name)


class SignalAsTheWaitBegins(TestCase):
    """Guards against a signal that is lost as the main thread begins to wait for it.

    Other threads take turns with the main one meanwhile, as a daemon's do.
    """

    SEED = 50
    SIGNALS = 500
    BUSY_THREADS = 4
    LATEST_S = 0.001
    PROCESS = f"""
import os, sys, threading
from mountstand.cli.stopping import StopSignals
from mountstand.daemon import THREAD_SWITCH_S

def work():
    while True:
        sum(range(200))

sys.setswitchinterval(THREAD_SWITCH_S)
signals = StopSignals()
for _ in range({BUSY_THREADS}):
    threading.Thread(target=work, daemon=True).start()
for _ in range({SIGNALS}):
    os.write(1, b"w")
    signals.wait()
    os.write(1, b"s")
os._exit(0)
"""

    def test_each_of_many_signals_is_heard(self) -> None:
        rng = random.Random(self.SEED)
        with subprocess.Popen(
            [sys.executable, "-c", self.PROCESS], stdout=subprocess.PIPE
        ) as child:
            self.addCleanup(child.kill)
            for number in range(self.SIGNALS):
                self.assertEqual(b"w", self.read_byte(child), f"before signal {number}")
                sent_s = time.perf_counter() + rng.uniform(0, self.LATEST_S)
                # A sleep is not exact enough for a moment of some microseconds.
                while time.perf_counter() < sent_s:
                    pass
                child.send_signal(signal.SIGTERM)
                self.assertEqual(b"s", self.read_byte(child), f"signal {number} is lost")
            self.assertEqual(0, child.wait(STOP_S))

    def read_byte(self, child: subprocess.Popen[bytes]) -> bytes | None:
        """Return what a process says next, ``None`` if it says nothing; end it then."""
        output = child.stdout
        assert output is not None
        if not select.select([output], [], [], STOP_S)[0]:
            child.kill()
            return None
        return os.read(output.fileno(), 1)


class StalledWorker:
    """A worker that begins the answer to each request and then says no more."""

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"

    def __init__(self) -> None:
        self.began = threading.Event()
        self._listener = socket.create_server((LOOPBACK, 0))
        self.port = self._listener.getsockname()[1]
        self._conns: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Close all that is open."""
        for conn in (self._listener, *self._conns):
            conn.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                self._conns.append(conn)
                threading.Thread(target=self._answer, args=(conn,), daemon=True).start()

    def _answer(self, conn: socket.socket) -> None:
        with contextlib.suppress(OSError):
            if conn.recv(65536).startswith(b"POST /v1/completions"):
                conn.sendall(self.HEAD)
                self.began.set()


class LongestStop(TestCase):
    """A stop ends at its time-out, also beside a request whose own deadline is much later.

    The server of callers waits without limit for each thread that answers a request. One that reads
    the answer of a worker which began it and then says nothing kept a stopping daemon for as long
    as the caller allowed, up to ten minutes, whatever the settings gave the stop.
    """

    STOP_TIMEOUT_S = 2.0
    DEADLINE_MS = 120_000

    def test_an_answer_that_does_not_go_on(self) -> None:
        worker = StalledWorker()
        self.addCleanup(worker.close)
        settings = {"stop_timeout_s": self.STOP_TIMEOUT_S}
        with Fleet(FleetPlan(daemons=1, engines=1, applications=0, daemon=settings)) as fleet:
            daemon = fleet.daemons[0]
            machine = {**fleet.engines[0].machine(), "machine_id": "stalled", "port": worker.port}
            url = f"{fleet.machines_url}/control/machines"
            fleet.http.request("POST", url, body=orjson.dumps([machine]))
            fleet.http.request("DELETE", f"{url}/{fleet.engines[0].worker_id}")
            wait_until(lambda: self.workers(fleet, daemon) == ["stalled"], "it is listed")
            caller = threading.Thread(target=self.ask, args=(fleet, daemon), daemon=True)
            caller.start()
            self.assertTrue(worker.began.wait(STOP_S))
            process = fleet.processes[daemon.daemon_id]
            process.send(signal.SIGTERM)
            try:
                code = process.process.wait(STOP_S)
            except subprocess.TimeoutExpired:
                code = None
            log = process.log.read_text()
        self.assertEqual(1, code, log)
        self.assertIn("read_body", log)

    def workers(self, fleet: Fleet, daemon: DaemonAddress) -> list[str]:
        """Return the workers that a daemon knows."""
        return [worker["worker"] for worker in fleet.status(daemon, "workers")]

    def ask(self, fleet: Fleet, daemon: DaemonAddress) -> None:
        body = {"model": "caption", "prompt": "p", "max_tokens": 2}
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            fleet.http.request(
                "POST",
                f"{daemon.callers_url}/v1/completions",
                body=orjson.dumps(body),
                headers={"X-Request-Id": "stuck", "X-Deadline-Ms": str(self.DEADLINE_MS)},
            )


class InterruptedDemo(TestCase):
    """A demo that is interrupted stops its daemons and ends.

    The interrupt ended the main thread alone. The threads of the daemons' servers kept the process
    alive, which had to be interrupted once more.
    """

    END_S = 60.0
    INTERRUPTIBLE = """
import signal
from mountstand.cli.main import main

signal.signal(signal.SIGINT, signal.default_int_handler)
main()
"""
    """A shell starts its background jobs with SIGINT ignored, and a process inherits that."""

    def test_interrupt_while_a_stream_is_shown(self) -> None:
        with subprocess.Popen(
            [sys.executable, "-c", self.INTERRUPTIBLE, "demo"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        ) as demo:
            self.addCleanup(demo.kill)
            assert demo.stderr is not None
            self.assertNotEqual(b"", demo.stderr.read(1))
            threading.Thread(target=demo.stderr.read, daemon=True).start()
            demo.send_signal(signal.SIGINT)
            try:
                code = demo.wait(self.END_S)
            except subprocess.TimeoutExpired:
                demo.kill()
                code = None
        self.assertEqual(-signal.SIGINT, code)
