"""Background polling that feeds machine lists, load reports and cache events to the router."""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from mountstand.background import BackgroundPart, PeriodicTask, stop_tasks
from mountstand.engines.port import BackendPort
from mountstand.errors import MountstandError
from mountstand.routing.router import Router
from mountstand.store.ports import Machine, MachineListPort, MachineRole

POLL_THREAD_COUNT = 8

MachineListCallback = Callable[[list[Machine]], None]


class FleetObserver(BackgroundPart):
    """Polls the platform's machine list and the workers on behalf of one daemon.

    ``on_machines`` is called with each new machine list, after the router has applied it. ``ready``
    is set once the first list has been applied and passed to ``on_machines``.

    The ``*_poll_s`` parameters are polling intervals. ``load_polls_per_s`` and
    ``cache_polls_per_s`` limit the total rate of polls over all workers, but each round may make
    at least one poll.
    """

    name = "fleet observer"

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
        self._pending_polls: set[str] = set()
        self._pending_polls_lock = threading.Lock()
        self._last_cache_event_numbers: dict[str, int] = {}
        # Limit polls per round so that polling cost does not grow with the fleet.
        self._load_polls_per_round = max(1, int(load_polls_per_s * load_poll_s))
        self._cache_polls_per_round = max(1, int(cache_polls_per_s * cache_poll_s))
        self._load_poll_offset = 0
        self._cache_poll_offset = 0
        self._last_machines: list[Machine] | None = None
        self.ready = threading.Event()
        self._tasks = [
            PeriodicTask("machine list", machines_poll_s, self.poll_machines),
            PeriodicTask("load reports", load_poll_s, self.poll_loads),
            PeriodicTask("cache events", cache_poll_s, self.poll_caches),
        ]

    def start(self) -> None:
        """Start the periodic polling tasks."""
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Stop the polling tasks and cancel queued polls without waiting for running ones."""
        stop_tasks(self._tasks)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def poll_machines(self) -> None:
        """Fetch the platform's machine list once and apply it if it has changed."""
        machines = self._machine_list.machines()
        # The machine list port returns the same object until the list changes.
        if machines is self._last_machines:
            return
        self._router.update_machines(machines)
        self._on_machines(machines)
        # Only now: a list whose application failed is applied again at the next poll.
        self._last_machines = machines
        self.ready.set()

    def poll_loads(self) -> None:
        """Start load polls of the next workers in rotation, up to the limit per round."""
        machines = self._router.workers_to_poll()
        self._load_poll_offset += self._load_polls_per_round
        for machine in circular_slice(machines, self._load_poll_offset, self._load_polls_per_round):
            self._submit_poll(machine, self._poll_load)

    def poll_caches(self) -> None:
        """Start cache event polls of the next engines in rotation, up to the limit per round."""
        engines = [m for m in self._router.machines() if m.role is MachineRole.ENGINE]
        self._cache_poll_offset += self._cache_polls_per_round
        for machine in circular_slice(
            engines, self._cache_poll_offset, self._cache_polls_per_round
        ):
            self._submit_poll(machine, self._poll_cache)

    def _submit_poll(self, machine: Machine, poll: Callable[[Machine], None]) -> None:
        key = f"{poll.__name__} {machine.machine_id}"
        with self._pending_polls_lock:
            if key in self._pending_polls:
                return
            self._pending_polls.add(key)
        self._executor.submit(self._run_poll, key, machine, poll)

    def _run_poll(self, key: str, machine: Machine, poll: Callable[[Machine], None]) -> None:
        try:
            poll(machine)
        finally:
            with self._pending_polls_lock:
                self._pending_polls.discard(key)

    def _poll_load(self, machine: Machine) -> None:
        try:
            report = self._backend.load(machine)
        except MountstandError:
            self._router.record_failure(machine.machine_id)
            return
        self._router.record_load(machine.machine_id, report)

    def _poll_cache(self, machine: Machine) -> None:
        after_number = self._last_cache_event_numbers.get(machine.machine_id, 0)
        try:
            events, last_number = self._backend.cache_events(machine, after_number)
        except MountstandError:
            return
        self._last_cache_event_numbers[machine.machine_id] = last_number
        self._router.record_cache_events(machine.machine_id, events)


def circular_slice(machines: list[Machine], start: int, count: int) -> list[Machine]:
    """Return up to ``count`` machines from position ``start`` on, wrapping around at the end."""
    if len(machines) <= count:
        return machines
    first = start % len(machines)
    return (machines[first:] + machines[:first])[:count]
