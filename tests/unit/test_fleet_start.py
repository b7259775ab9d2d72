"""The lab's fleet starts its daemons only once every worker listens."""

from __future__ import annotations

import socket
import threading
import time

from testtools import TestCase

from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan
from mountstand.lab.ports import LOOPBACK

DELAY_S = 0.4


class SlowWorkers(Fleet):
    """A fleet whose workers listen a while after they were started."""

    def __init__(self) -> None:
        super().__init__(FleetPlan())
        self.listening_since_s = 0.0
        self.daemon_started_at_s = 0.0
        self.listeners: list[socket.socket] = []

    def _start_stand_ins(self) -> None:
        threading.Timer(DELAY_S, self._listen).start()

    def _listen(self) -> None:
        for worker in self.workers:
            listener = socket.socket()
            listener.bind((LOOPBACK, worker.listed_port))
            listener.listen()
            self.listeners.append(listener)
        self.listening_since_s = time.monotonic()

    def start_daemon(self, daemon: DaemonAddress, **changes: object) -> None:  # type: ignore[override]
        self.daemon_started_at_s = time.monotonic()

    def wait_ready(self, daemons: object) -> None:
        pass


class Start(TestCase):
    def test_daemons_start_after_the_workers_listen(self) -> None:
        """Found on a busy machine: a request met an application that did not listen yet."""
        fleet = SlowWorkers()
        self.addCleanup(fleet.stop)
        fleet.start()
        self.addCleanup(lambda: [listener.close() for listener in fleet.listeners])
        self.assertTrue(0 < fleet.listening_since_s <= fleet.daemon_started_at_s)
