"""Keeps the router's knowledge fresh: machine list, load reports and cache events."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from mountstand.background import PeriodicTask
from mountstand.engines.port import BackendPort
from mountstand.errors import MountstandError
from mountstand.routing.router import Router
from mountstand.store.ports import Machine, MachineListPort, MachineRole

POLL_THREAD_COUNT = 8

MachineListCallback = Callable[[list[Machine]], None]


class FleetObserver:
    """Polls the machine list and the workers for one daemon."""

    def __init__(
        self,
        router: Router,
        machine_list: MachineListPort,
        backend: BackendPort,
        on_machines: MachineListCallback,
        *,
        machines_poll_s: float,
        load_poll_s: float,
        cache_poll_s: float,
        load_polls_per_s: float,
        cache_polls_per_s: float,
    ) -> None:
        self._router = router
        self._machine_list = machine_list
        self._backend = backend
        self._on_machines = on_machines
        self._executor = ThreadPoolExecutor(POLL_THREAD_COUNT, thread_name_prefix="worker-poll")
        self._polling: set[str] = set()
        self._polling_lock = threading.Lock()
        self._cache_numbers: dict[str, int] = {}
        # Polls a round are bounded, so that their cost does not grow with the fleet.
        self._load_round = max(1, int(load_polls_per_s * load_poll_s))
        self._cache_round = max(1, int(cache_polls_per_s * cache_poll_s))
        self._load_rotation = 0
        self._cache_rotation = 0
        self._last_machines: list[Machine] | None = None
        self.ready = threading.Event()
        self._tasks = [
            PeriodicTask("machine list", machines_poll_s, self.poll_machines),
            PeriodicTask("load reports", load_poll_s, self.poll_loads),
            PeriodicTask("cache events", cache_poll_s, self.poll_caches),
        ]

    def start(self) -> None:
        """Start polling."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop polling."""
        for task in self._tasks:
            task.stop()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def poll_machines(self) -> None:
        """Take over the platform's machine list once."""
        machines = self._machine_list.machines()
        if machines is self._last_machines:
            return
        self._last_machines = machines
        self._router.update_machines(machines)
        self._on_machines(machines)
        self.ready.set()

    def poll_loads(self) -> None:
        """Ask a bounded number of workers for their load."""
        machines = self._router.workers_to_poll()
        self._load_rotation += self._load_round
        for machine in circular_slice(machines, self._load_rotation, self._load_round):
            self._submit(machine, self._poll_load)

    def poll_caches(self) -> None:
        """Ask a bounded number of engines for their cache events."""
        engines = [m for m in self._router.machines() if m.role is MachineRole.ENGINE]
        self._cache_rotation += self._cache_round
        for machine in circular_slice(engines, self._cache_rotation, self._cache_round):
            self._submit(machine, self._poll_cache)

    def _submit(self, machine: Machine, poll: Callable[[Machine], None]) -> None:
        key = f"{poll.__name__} {machine.machine_id}"
        with self._polling_lock:
            if key in self._polling:
                return
            self._polling.add(key)
        self._executor.submit(self._run_poll, key, machine, poll)

    def _run_poll(self, key: str, machine: Machine, poll: Callable[[Machine], None]) -> None:
        try:
            poll(machine)
        finally:
            with self._polling_lock:
                self._polling.discard(key)

    def _poll_load(self, machine: Machine) -> None:
        try:
            report = self._backend.load(machine)
        except MountstandError:
            self._router.record_failure(machine.machine_id)
            return
        self._router.record_load(machine.machine_id, report)

    def _poll_cache(self, machine: Machine) -> None:
        after_number = self._cache_numbers.get(machine.machine_id, 0)
        try:
            changes, last_number = self._backend.cache_changes(machine, after_number)
        except MountstandError:
            return
        self._cache_numbers[machine.machine_id] = last_number
        self._router.record_cache_changes(machine.machine_id, changes)


def circular_slice(machines: list[Machine], start: int, count: int) -> list[Machine]:
    """Return ``count`` machines from position ``start`` on, going round."""
    if len(machines) <= count:
        return machines
    first = start % len(machines)
    return (machines[first:] + machines[:first])[:count]
