"""A daemon says that it is ready only once callers can connect, and ends if they never can.

A fleet reported itself started, and the first callers got "Connection refused" from a daemon's
port. The daemon's control interface starts first and answered ``GET /readyz`` with 200 as soon as
workers and settings were known; the callers' port was bound last, after all other parts had
started, which takes a second and more on a busy machine. Two of six starts beside ten busy
processes showed it: ready, then refused. A daemon whose port another process holds stayed so for
good: its start failed, the threads of the control interface kept the process alive, and it went on
saying that it was ready.

A daemon that the system denies a thread in its start stayed as well: the threads that its servers
had started already kept the process alive, which served nobody, and where the thread of the
callers' server was the one denied, it said that it was ready.
"""

from __future__ import annotations

import os
import socket
import tempfile
import threading
import time
from pathlib import Path
from unittest import mock

import urllib3

from mountstand.lab.fleet import FleetProcess
from mountstand.lab.fleet_plan import DaemonAddress
from mountstand.lab.ports import LOOPBACK, accepts_connections, free_ports
from tests.integration.helpers import StandInsTestCase, daemon_in_process, wait_until

END_S = 20.0
"""A start that cannot succeed takes a few seconds; this leaves room on a busy machine."""

DENIED = "can't start new thread"
DENIED_THREADS = (("CP Server", 3), ("CP Server", 40), ("http", 1), ("http", 2), ("Thread-", 1))
"""Threads by the start of their names, and which of those: of the operators' pool, of the callers'
pool, the servers' own, and one that the operators' server starts as it begins to serve."""

CALLERS_SERVING_THREAD = ("Thread-", 2)
"""The thread that the callers' server starts as it begins to serve, after the start has ended."""

DENY_THREAD = """
import threading
start = threading.Thread.start
seen = []

def start_unless_denied(self):
    if self.name.startswith({prefix!r}):
        seen.append(self.name)
        if len(seen) == {number}:
            raise RuntimeError({denied!r})
    start(self)

threading.Thread.start = start_unless_denied
"""
"""A module that the interpreter runs before a program."""


class Start(StandInsTestCase):
    def address(self) -> DaemonAddress:
        return DaemonAddress("starting", "zone-a", *free_ports(2))

    def test_not_ready_while_its_parts_still_start(self) -> None:
        address = self.address()
        daemon = daemon_in_process(self, self.fleet, address)
        go_on = threading.Event()
        start_executor = daemon.executor.start

        def start_late() -> None:
            go_on.wait(END_S)
            start_executor()

        daemon.executor.start = start_late
        starting = threading.Thread(target=daemon.start)
        starting.start()
        try:
            wait_until(daemon.observer.ready.is_set, "workers are known")
            wait_until(daemon.settings_service.caught_up.is_set, "settings are known")
            ready_early = daemon.is_ready()
            go_on.set()
            starting.join()
            wait_until(daemon.is_ready, "it is ready")
            accepts = accepts_connections(address.port)
        finally:
            go_on.set()
            starting.join()
            daemon.stop()
        self.assertEqual((False, True), (ready_early, accepts))

    def test_ends_where_another_process_holds_its_port(self) -> None:
        address = self.address()
        with socket.socket() as held:
            held.bind((LOOPBACK, address.port))
            held.listen()
            log = self.check_ends(self.fleet.start_daemon(address), address)
        self.assertIn("port_unavailable", log)
        self.assertIn(str(address.port), log)

    def test_ends_where_a_thread_cannot_start(self) -> None:
        for prefix, number in DENIED_THREADS:
            address = self.address()
            log = self.check_ends(self.start_denied(address, prefix, number), address)
            self.assertIn(DENIED, log)

    def test_ends_where_the_callers_server_ends(self) -> None:
        """Guards against a process that goes on without its callers' interface."""
        address = self.address()
        log = self.check_ends(self.start_denied(address, *CALLERS_SERVING_THREAD), address)
        self.assertIn(DENIED, log)

    def start_denied(self, address: DaemonAddress, prefix: str, number: int) -> FleetProcess:
        """Start a daemon that cannot start the thread of this number among those of a name."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        module = DENY_THREAD.format(prefix=prefix, number=number, denied=DENIED)
        (Path(folder.name) / "sitecustomize.py").write_text(module)
        path = os.pathsep.join(filter(None, (folder.name, os.environ.get("PYTHONPATH"))))
        with mock.patch.dict(os.environ, PYTHONPATH=path):
            return self.fleet.start_daemon(address)

    def check_ends(self, process: FleetProcess, address: DaemonAddress) -> str:
        """Check that a daemon ends with 1 and never says that it is ready; return its log."""
        deadline_s = time.monotonic() + END_S
        ready = False
        while process.is_running and time.monotonic() < deadline_s:
            ready = ready or self.says_ready(address)
            time.sleep(0.05)
        ended = not process.is_running
        self.fleet.kill(address.daemon_id)
        log = process.log.read_text()
        self.assertEqual((True, False), (ended, ready), log)
        self.assertEqual(1, process.process.returncode, log)
        return log

    def says_ready(self, address: DaemonAddress) -> bool:
        try:
            answer = self.fleet.http.request("GET", f"{address.control_url}/readyz", timeout=1.0)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200
