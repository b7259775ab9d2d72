"""Faults of the soak: each is drawn at random, injected from outside, and taken back."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from tests.soak.history import DRAIN_S
from tests.soak.proxy import LinkFaults
from tests.soak.site import (
    CONFIG_APPLY_S,
    CONTACT_S,
    GRACE_S,
    ServingProcess,
    Site,
)
from tests.soak.workers import WorkerFaults
from tests.soak.zones import ZONES

FaultAction = Callable[[], Awaitable[None]]
STORE_FAULTS = ("refuse", "lose", "drop", "hang", "late")
FEED_CALL = "changes"
RESTART_S = 0.3
KEY_KNOWN_S = 12.0
KEY_OVERLAP_S = 1.0
"""A new key is used once all processes know it, also those that were cut off meanwhile; callers
have this long to stop using the old one."""

SERIES_SHARE = 0.15
SERIES_GAP_S = 0.5
"""How often a fault begins a series, and the longest pause within one."""

STOP_SLACK_S = 3.0
BUSY_POLL_S = 0.05


class FaultInjector:
    """Injects one fault after another; some overlap."""

    def __init__(self, site: Site, *, in_series: bool = False) -> None:
        self._site = site
        self._in_series = in_series
        self.counts: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy_processes: set[str] = set()
        self.stopping = False

    async def run(self, mean_gap_s: float) -> None:
        """Inject faults until told to stop, then wait until all are taken back."""
        actions: list[FaultAction] = [
            self._kill_process,
            self._kill_all,
            self._freeze_process,
            self._stop_process,
            self._harm_callers_link,
            self._cut_from_store,
            self._harm_store,
            self._forget_history,
            self._harm_worker,
            self._harm_worker_link,
            self._replace_worker,
            self._change_configuration,
            self._rotate_keys,
            self._mute_connections,
        ]
        if self._site.zones.played:
            actions += [self._evacuate_zone, self._replace_worker]
        rng = self._site.rng
        while not self.stopping:
            await asyncio.sleep(rng.expovariate(1 / mean_gap_s))
            self._begin(rng.choice(actions))
            if self._in_series and rng.random() < SERIES_SHARE:
                await self._begin_series(actions)
        await asyncio.gather(*self._tasks)

    async def _begin_series(self, actions: list[FaultAction]) -> None:
        """Begin several faults of one kind, or of any, shortly after each other."""
        rng = self._site.rng
        same = rng.choice(actions)
        alike = rng.random() < 0.5
        for _ in range(rng.randint(2, 5)):
            self._begin(same if alike else rng.choice(actions))
            await asyncio.sleep(rng.uniform(0.0, SERIES_GAP_S))

    def _begin(self, action: FaultAction) -> None:
        task = asyncio.create_task(self._guarded(action))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, action: FaultAction) -> None:
        self.counts[action.__name__.strip("_")] += 1
        await action()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _idle_process(self) -> ServingProcess | None:
        """Return a process that no other fault is at, and mark it."""
        idle = [p for p in self._site.processes if p.name not in self._busy_processes]
        if not idle:
            return None
        process = self._site.rng.choice(idle)
        self._busy_processes.add(process.name)
        return process

    # Processes

    async def _kill_process(self) -> None:
        process = self._idle_process()
        if process is None:
            return
        await self._kill_and_restart([process])

    async def _kill_all(self) -> None:
        """Kill every process that no other fault is at, at the same moment."""
        processes = [p for p in self._site.processes if p.name not in self._busy_processes]
        self._busy_processes.update(p.name for p in processes)
        await self._kill_and_restart(processes)

    async def _kill_and_restart(self, processes: list[ServingProcess]) -> None:
        for process in processes:
            process.note_disturbed(float("inf"))
            process.signal(signal.SIGKILL)
        for process in processes:
            await process.wait_ended(5.0)
        await asyncio.sleep(RESTART_S)
        for process in processes:
            await self._restart(process)

    async def _restart(self, process: ServingProcess) -> None:
        await process.start()
        await self._site.wait_ready(process)
        process.disturbed_until_s = self._now_s() + CONTACT_S
        self._busy_processes.discard(process.name)

    async def _freeze_process(self) -> None:
        process = self._idle_process()
        if process is None:
            return
        process.note_disturbed(float("inf"))
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self._site.rng.uniform(0.5, 5.0))
        process.signal(signal.SIGCONT)
        process.disturbed_until_s = self._now_s() + CONTACT_S
        self._busy_processes.discard(process.name)

    async def _stop_process(self) -> None:
        process = self._idle_process()
        if process is not None:
            await self._stop_and_restart(process)

    async def _stop_and_restart(self, process: ServingProcess) -> None:
        process.stopping = True
        process.signal(signal.SIGTERM)
        if not await process.wait_ended(GRACE_S + STOP_SLACK_S):
            self._site.history.violate(
                "DRAIN", process.name, f"still runs {STOP_SLACK_S} s after its grace", self._now_s()
            )
            process.signal(signal.SIGKILL)
            await process.wait_ended(5.0)
        process.note_disturbed(float("inf"))
        await self._restart(process)

    async def replace_code(self, code: Path) -> None:
        """Stop the processes one after the other as planned, and start each with other code."""
        for process in self._site.processes:
            while process.name in self._busy_processes:
                await asyncio.sleep(BUSY_POLL_S)
            self._busy_processes.add(process.name)
            process.code = code
            await self._stop_and_restart(process)
            self.counts["replace_code"] += 1

    # Links

    def _link_faults(self) -> LinkFaults:
        rng = self._site.rng
        return rng.choice(
            [
                LinkFaults(delay_s=rng.uniform(0.05, 0.5)),
                LinkFaults(resetting=True),
                LinkFaults(silent_to_client=True),
                LinkFaults(silent_to_target=True),
                LinkFaults(silent_to_client=True, silent_to_target=True),
                LinkFaults(refusing=True, resetting=True),
            ]
        )

    async def _harm_callers_link(self) -> None:
        process = self._site.rng.choice(self._site.processes)
        await self._harm_link(process, "caller_link")

    async def _cut_from_store(self) -> None:
        process = self._site.rng.choice(self._site.processes)
        await self._harm_link(process, "store_link")

    async def _harm_link(self, process: ServingProcess, name: str) -> None:
        link = getattr(process, name)
        until_s = self._now_s() + self._site.rng.uniform(0.5, 5.0)
        process.note_disturbed(until_s)
        link.faults = self._link_faults()
        await asyncio.sleep(until_s - self._now_s())
        link.faults = LinkFaults()
        process.note_disturbed(self._now_s())

    async def _mute_connections(self) -> None:
        """Let the open connections of some links go silent for good, without a reset."""
        rng = self._site.rng
        for process in self._site.processes:
            if rng.random() < 0.5:
                process.note_disturbed(self._now_s())
                rng.choice([process.caller_link, process.store_link]).mute_open()
        for link in self._site.worker_links.values():
            if rng.random() < 0.5:
                link.mute_open()

    # Store

    async def _harm_store(self) -> None:
        rng = self._site.rng
        share = rng.choice([0.2, 0.5, 1.0])
        kinds = rng.sample(STORE_FAULTS, rng.randint(1, 3))
        with_feeds = rng.random() < 0.5
        until_s = self._now_s() + rng.uniform(0.5, 5.0)
        self._note_store_disturbed(until_s)

        def fault(call: str) -> str:
            if call == FEED_CALL and not with_feeds:
                return ""
            return rng.choice(kinds) if rng.random() < share else ""

        rows = self._site.store.rows
        rows.late_s = rng.uniform(0.5, 4.0)
        rows.fault = fault
        await asyncio.sleep(until_s - self._now_s())
        if rows.fault is fault:
            rows.fault = lambda call: ""
        self._note_store_disturbed(self._now_s())

    async def _forget_history(self) -> None:
        self._site.store.rows.forget_history()

    def _note_store_disturbed(self, until_s: float) -> None:
        for process in self._site.processes:
            process.note_disturbed(until_s)

    # Workers

    async def _harm_worker(self) -> None:
        rng = self._site.rng
        if not self._site.workers:
            return
        worker = rng.choice(self._site.workers)
        worker.faults = rng.choice(
            [
                WorkerFaults(answers_lost=0.2),
                WorkerFaults(broken_midway=0.3),
                WorkerFaults(failing=0.3),
                WorkerFaults(silent=0.3),
                WorkerFaults(slow_factor=8.0),
            ]
        )
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        worker.faults = WorkerFaults()

    async def _harm_worker_link(self) -> None:
        rng = self._site.rng
        if not self._site.workers:
            return
        worker = rng.choice(self._site.workers)
        link = self._site.worker_links[worker.worker_id]
        link.faults = self._link_faults()
        self._site.zones.note_link_harmed(worker.worker_id)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        link.faults = LinkFaults()
        self._site.zones.note_link_mended(worker.worker_id)

    async def _replace_worker(self) -> None:
        """Start a new worker; let an old one drain and leave."""
        site = self._site
        ready = [w for w in site.workers if w.draining_since_s is None]
        if len(ready) < 2:
            return
        old = site.rng.choice(ready)
        await site.add_worker()
        site.list_worker(old, "draining")
        await asyncio.sleep(DRAIN_S + 2.0)
        await site.retire_worker(old)

    async def _evacuate_zone(self) -> None:
        """Take a zone out of use for a while, one at a time."""
        site = self._site
        if site.zones.evacuated_since_s:
            return
        zone = site.rng.choice(ZONES)
        site.evacuate(zone)
        await asyncio.sleep(site.rng.uniform(1.0, 12.0))
        site.take_back(zone)

    # Configuration

    async def _change_configuration(self) -> None:
        """Add a route or drop the oldest added one; every process in touch must follow."""
        site = self._site
        began_s = self._now_s()
        added = None
        if len(site.extra_prefixes) < 3:
            added = f"/extra-{site.config_version}/"
            site.extra_prefixes.append(added)
        else:
            site.extra_prefixes.pop(0)
        site.write_configuration()
        await asyncio.sleep(CONFIG_APPLY_S)
        if added is not None:
            await self.check_route(added, began_s)

    async def _rotate_keys(self) -> None:
        """Give a tenant a new key, and a moment later take its oldest away."""
        tenant = self._site.tenants.any_tenant()
        if tenant.coming is not None:
            return
        tenant.prepare_key()
        self._site.write_configuration()
        await asyncio.sleep(KEY_KNOWN_S)
        tenant.use_prepared()
        await asyncio.sleep(KEY_OVERLAP_S)
        tenant.withdraw_oldest(self._now_s())
        self._site.write_configuration()

    async def check_route(self, prefix: str, since_s: float) -> None:
        """Check that processes in touch know a route; replaced by the soak's caller."""
