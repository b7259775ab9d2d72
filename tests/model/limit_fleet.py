"""Simulated fleet that enforces tenants' limits, with simulated network and time.

``python -m tests.model.limit_fleet`` prints admission rates with and without lending.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Collection

from mountstand.limits.sharing import LimitSharing
from mountstand.membership.message_link import MessageLink
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.tenants.gate import LimitGate
from mountstand.tenants.limits import LOAN_TTL_S, LimitTolerance, TenantLimits
from mountstand.tenants.marks import CheckpointState
from mountstand.tenants.stored_marks import UsageCheckpointWriter
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.wire.gossip import TokenAsk, TokenGrant
from tests.stand_ins.harness import RecordingLog
from tests.stand_ins.paused_clock import run_paused

DELAY_RANGE_S = (0.001, 0.008)
"""Range of the delay of a message: 1 ms between zones, the rest for a busy event loop."""

REACHABILITY_UPDATE_S = 1.5
"""Interval at which daemons learn which peers they can reach."""

TOLERANCE = LimitTolerance(window_s=5.0, overshoot=0.1, slack=20.0)


def max_per_window(tenant: Tenant) -> float:
    """Return the maximum number of a tenant's requests that may be admitted in any window."""
    limit = tenant.requests_per_s * TOLERANCE.window_s + tenant.burst
    return limit + TOLERANCE.tolerated_excess(tenant)


class SimulatedLink(MessageLink):
    """Sends the messages of one daemon over the simulated network."""

    __slots__ = ("_fleet", "_own")

    def __init__(self, fleet: LimitFleet, own: str) -> None:
        self._fleet = fleet
        self._own = own

    def send(self, message: TokenAsk | TokenGrant, receivers: Collection[str]) -> None:
        for receiver in receivers:
            self._fleet.transmit(self._own, receiver, message)


class LimitFleet:
    """Daemons in one event loop; ``reaches(sender, receiver)`` decides which messages arrive."""

    def __init__(
        self, size: int, tenants: list[Tenant], seed: int = 1, lending: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.lending = lending
        self.names = [f"d{n}" for n in range(size)]
        self.tenants = TenantIndex(tenants)
        self.paused: set[str] = set()
        self.leaving: set[str] = set()
        self.loss = 0.0
        self.reaches: Callable[[str, str], bool] = lambda sender, receiver: True
        self.message_count = 0
        self.admitted_at_s: dict[str, list[float]] = {tenant.name: [] for tenant in tenants}
        self.sent_by_tenant: dict[str, int] = {tenant.name: 0 for tenant in tenants}
        self.retry_after_s: list[float] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._gate_by_name: dict[str, LimitGate] = {}
        self._checkpoint_task_by_name: dict[str, asyncio.Task[None]] = {}
        self.store = MemoryRowStore()
        for name in self.names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Replace a daemon by a new process without any state in memory."""
        self.paused.discard(name)
        now_s = self.loop.time()
        limit_sharing = LimitSharing(name)
        limit_sharing.update_members(self.names, self.names)
        limits = TenantLimits(limit_sharing, CheckpointState(), TOLERANCE, self.rng.getrandbits(62))
        limits.set_tenants(self.tenants)
        self._gate_by_name[name] = LimitGate(limits, SimulatedLink(self, name), self.rng)
        self._start_checkpointing(name, limits, now_s)

    def _start_checkpointing(self, name: str, limits: TenantLimits, started_at_s: float) -> None:
        previous_task = self._checkpoint_task_by_name.get(name)
        if previous_task is not None:
            previous_task.cancel()
        writer = UsageCheckpointWriter(
            limits,
            self.store,
            name,
            self._store_now_ms,
            lambda: TOLERANCE.window_s,
            RecordingLog(),
            started_at_s,
        )
        self._checkpoint_task_by_name[name] = asyncio.create_task(writer.run())

    def _store_now_ms(self) -> int:
        return int(self.loop.time() * 1000)

    def set_tenants(self, tenants: list[Tenant]) -> None:
        """Replace the tenants and their limits on all daemons."""
        self.tenants = TenantIndex(tenants)
        for gate in self._gate_by_name.values():
            gate.limits.set_tenants(self.tenants)

    def update_reachability(self) -> None:
        """Update every running daemon's view of the peers that it can reach."""
        for name, gate in self._gate_by_name.items():
            if name not in self.paused:
                running = [n for n in self.names if self.reaches(name, n) and n not in self.paused]
                serving = [n for n in self.names if n not in self.leaving]
                reserve_s = TOLERANCE.window_s + LOAN_TTL_S
                gate.limits.limit_sharing.update_members(
                    serving, running, self.loop.time(), self.leaving, reserve_s
                )

    def send_requests(self, name: str, tenant_name: str, count: int = 1) -> None:
        """Send ``count`` requests of a tenant to a daemon at once, unless it is paused."""
        if name in self.paused:
            return
        self.sent_by_tenant[tenant_name] += count
        for _ in range(count):
            task = asyncio.create_task(self._send_request(name, self.tenants.by_name[tenant_name]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send_request(self, name: str, tenant: Tenant) -> None:
        gate = self._gate_by_name[name]
        retry_after_s = None
        if not gate.try_acquire(tenant):
            retry_after_s = await gate.borrow_or_reject(tenant) if self.lending else 1.0
        if retry_after_s is None:
            self.admitted_at_s[tenant.name].append(self.loop.time())
        else:
            self.retry_after_s.append(retry_after_s)

    def transmit(self, sender: str, receiver: str, message: TokenAsk | TokenGrant) -> None:
        """Deliver a message after a delay, unless it is lost, or its sender is paused or cut off.

        A message to a receiver that is paused or restarted meanwhile is dropped.
        """
        self.message_count += 1
        lost = self.rng.random() < self.loss
        if lost or sender in self.paused or not self.reaches(sender, receiver):
            return
        gate = self._gate_by_name[receiver]

        def deliver() -> None:
            if receiver not in self.paused and self._gate_by_name[receiver] is gate:
                gate.handle(sender, message)

        self.loop.call_later(self.rng.uniform(*DELAY_RANGE_S), deliver)

    async def advance(self, seconds: float) -> None:
        """Advance the simulated clock."""
        await asyncio.sleep(seconds)

    async def settle(self) -> None:
        """Wait until every request is admitted or rejected."""
        while self._tasks:
            await asyncio.sleep(0.01)

    def peak_in_window(self, tenant_name: str) -> int:
        """Return the largest number of a tenant's requests that were admitted in any window."""
        times = self.admitted_at_s[tenant_name]
        peak = first = 0
        for last in range(len(times)):
            while times[last] - times[first] > TOLERANCE.window_s:
                first += 1
            peak = max(peak, last - first + 1)
        return peak


async def measure(
    tenant: Tenant, fleet_size: int, daemons_with_load: int, load: float, lending: bool
) -> tuple[float, int, float]:
    """Return the fraction admitted, the peak in a window and the messages per second."""
    fleet = LimitFleet(fleet_size, [tenant], lending=lending)
    await fleet.advance(10.0)
    seconds = 20.0
    step_s = 0.01
    for _ in range(round(seconds / step_s)):
        expected = tenant.requests_per_s * load * step_s
        for _ in range(int(expected) + (fleet.rng.random() < expected % 1)):
            fleet.send_requests(fleet.names[fleet.rng.randrange(daemons_with_load)], tenant.name)
        await fleet.advance(step_s)
    await fleet.settle()
    admitted_fraction = len(fleet.admitted_at_s[tenant.name]) / max(
        1, fleet.sent_by_tenant[tenant.name]
    )
    return admitted_fraction, fleet.peak_in_window(tenant.name), fleet.message_count / seconds


def main() -> None:
    """Print a table of admission rates below the limit and peaks per window above it."""
    tenants = [
        Tenant("small", requests_per_s=5, burst=5),
        Tenant("large", requests_per_s=100, burst=100),
    ]
    loads = {"0.6 of the limit": 0.6, "ten times the limit": 10.0}
    spreads = {"all daemons": 13, "one daemon": 1}
    print(
        "| lending | tenant | load | callers at | let through | most in 5 s | bound | messages/s |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for lending, tenant, (load, load_factor), (spread, daemons) in itertools.product(
        (False, True), tenants, loads.items(), spreads.items()
    ):
        admitted, peak, messages = run_paused(measure(tenant, 13, daemons, load_factor, lending))
        print(
            f"| {'yes' if lending else 'no'} | {tenant.name} | {load} | {spread} | {admitted:.3f} "
            f"| {peak} | {max_per_window(tenant):.0f} | {messages:.0f} |"
        )


if __name__ == "__main__":
    main()
