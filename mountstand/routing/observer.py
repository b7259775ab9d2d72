"""Keeps the router's knowledge fresh: machine list, load reports and cache events."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from mountstand.background import PeriodicTask
from mountstand.engines.port import BackendPort
from mountstand.errors import MountstandError
from mountstand.platform.ports import Machine, MachineListPort, MachineRole
from mountstand.routing.router import Router

POLL_THREADS = 8
MAX_POLLS_PER_ROUND = 16
"""Bounds the cost of polling however many workers there are; workers in use come first."""

MachineObserver = Callable[[list[Machine]], None]


class FleetObserver:
    """Polls the machine list and the workers for one daemon."""

    def __init__(
        self,
        router: Router,
        machine_list: MachineListPort,
        backend: BackendPort,
        on_machines: MachineObserver,
        *,
        machines_poll_s: float,
        load_poll_s: float,
        cache_poll_s: float,
    ) -> None:
        self._router = router
        self._machine_list = machine_list
        self._backend = backend
        self._on_machines = on_machines
        self._executor = ThreadPoolExecutor(POLL_THREADS, thread_name_prefix="worker-poll")
        self._polling: set[str] = set()
        self._polling_lock = threading.Lock()
        self._cache_numbers: dict[str, int] = {}
        self._rotation = 0
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
        self._router.update_machines(machines)
        self._on_machines(machines)
        self.ready.set()

    def poll_loads(self) -> None:
        """Ask a bounded number of workers for their load."""
        for machine in self._next_machines(self._router.poll_order()):
            self._submit(machine, self._poll_load)

    def poll_caches(self) -> None:
        """Ask a bounded number of engines for their cache events."""
        engines = [m for m in self._router.machines() if m.role is MachineRole.ENGINE]
        for machine in self._next_machines(engines):
            self._submit(machine, self._poll_cache)

    def _next_machines(self, machines: list[Machine]) -> list[Machine]:
        if len(machines) <= MAX_POLLS_PER_ROUND:
            return machines
        self._rotation = (self._rotation + MAX_POLLS_PER_ROUND) % len(machines)
        return (machines[self._rotation :] + machines)[:MAX_POLLS_PER_ROUND]

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
        after = self._cache_numbers.get(machine.machine_id, 0)
        try:
            changes, last = self._backend.cache_changes(machine, after)
        except MountstandError:
            return
        self._cache_numbers[machine.machine_id] = last
        self._router.record_cache_changes(machine.machine_id, changes)
