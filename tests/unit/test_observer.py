"""A machine list whose application failed once is applied at the next poll."""

from __future__ import annotations

from unittest import mock

from testtools import TestCase

from mountstand.routing.observer import FleetObserver
from mountstand.store.ports import Machine, MachineListPort, MachineRole

MACHINE = Machine(
    machine_id="w1", role=MachineRole.ENGINE, address="127.0.0.1", port=9, zone="zone-a"
)


class UnchangedList(MachineListPort):
    """A machine list that stays as it is."""

    def __init__(self) -> None:
        self._machines = [MACHINE]

    def machines(self) -> list[Machine]:
        return self._machines


class PollMachines(TestCase):
    def test_a_failed_application_is_repeated(self) -> None:
        """Guards against a daemon that never becomes ready after one failure at its start."""
        applied = mock.Mock(side_effect=[RuntimeError, None])
        observer = FleetObserver(
            mock.Mock(),
            UnchangedList(),
            mock.Mock(),
            applied,
            machines_poll_s=1.0,
            load_poll_s=1.0,
            cache_poll_s=1.0,
            load_polls_per_s=1.0,
            cache_polls_per_s=1.0,
        )
        self.addCleanup(observer.stop)
        self.assertRaises(RuntimeError, observer.poll_machines)
        self.assertFalse(observer.ready.is_set())
        observer.poll_machines()
        self.assertTrue(observer.ready.is_set())
        observer.poll_machines()
        self.assertEqual(2, applied.call_count)
