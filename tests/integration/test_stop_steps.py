"""A step of a planned stop that fails keeps no other step from running.

An exception in one part ended the stop where it was. The threads of the servers that came later
kept the process alive, which no longer stopped by itself.
"""

from __future__ import annotations

import threading

from mountstand.daemon import Daemon
from mountstand.lab.fleet_plan import DaemonAddress
from mountstand.lab.ports import accepts_connections, free_ports
from tests.integration.helpers import StandInsTestCase, daemon_in_process, wait_until


class FailedStep(StandInsTestCase):
    def started(self, address: DaemonAddress) -> Daemon:
        daemon = daemon_in_process(self, self.fleet, address)
        daemon.start()
        wait_until(daemon.is_ready, "it is ready")
        return daemon

    def test_all_other_parts_stop(self) -> None:
        for name in ("batch executor", "job owner", "membership"):
            address = DaemonAddress("stopping", "zone-a", *free_ports(2))
            before = self.lasting_threads()
            daemon = self.started(address)
            [part] = [part for part in daemon._background_parts() if part.name == name]
            stop = part.stop
            part.stop = self.fail_to_stop
            with self.assertLogs("mountstand.steps") as logged:
                self.assertFalse(daemon.stop(), name)
            self.assertTrue(any("stop step failed" in line for line in logged.output), name)
            stop()
            for port in (address.port, address.control_port):
                self.assertFalse(accepts_connections(port), name)
            self.assertEqual(set(), self.lasting_threads() - before, name)

    def fail_to_stop(self) -> None:
        raise ZeroDivisionError

    def lasting_threads(self) -> set[threading.Thread]:
        """Return the threads of servers, which the interpreter waits for at its end."""
        return {thread for thread in threading.enumerate() if thread.name.startswith("CP Server")}
