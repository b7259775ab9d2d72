"""Daemons that keep tenants' limits together, over a simulated network on a paused clock.

``python -m tests.model.limit_fleet`` prints what is let through with lending and without.
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

DELAY_S = (0.001, 0.008)
"""A datagram between zones takes a millisecond, a busy event loop some more."""

NOTICED_S = 1.5
"""After this time daemons know whom they can reach."""

TOLERANCE = LimitTolerance(window_s=5.0, overshoot=0.1, slack=20.0)


def bound(tenant: Tenant) -> float:
    """Return the most requests of a tenant that any window may hold."""
    limit = tenant.requests_per_s * TOLERANCE.window_s + tenant.burst
    return limit + TOLERANCE.tolerated_excess(tenant)


class SimulatedLink(MessageLink):
    """Carries messages of one daemon."""

    __slots__ = ("_fleet", "_own")

    def __init__(self, fleet: LimitFleet, own: str) -> None:
        self._fleet = fleet
        self._own = own

    def send(self, message: TokenAsk | TokenGrant, receivers: Collection[str]) -> None:
        for receiver in receivers:
            self._fleet.carry(self._own, receiver, message)


class LimitFleet:
    """Daemons in one event loop; ``reaches`` decides which messages arrive."""

    def __init__(self, size: int, tenants: list[Tenant], seed: int = 1, lends: bool = True) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.lends = lends
        self.names = [f"d{n}" for n in range(size)]
        self.tenants = TenantIndex(tenants)
        self.paused: set[str] = set()
        self.leaving: set[str] = set()
        self.loss = 0.0
        self.reaches: Callable[[str, str], bool] = lambda sender, receiver: True
        self.messages = 0
        self.admitted_s: dict[str, list[float]] = {tenant.name: [] for tenant in tenants}
        self.asked: dict[str, int] = {tenant.name: 0 for tenant in tenants}
        self.retry_after_s: list[float] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._gate_by_name: dict[str, LimitGate] = {}
        self._marking_by_name: dict[str, asyncio.Task[None]] = {}
        self.store = MemoryRowStore()
        for name in self.names:
            self.restart(name)

    def restart(self, name: str) -> None:
        """Start a daemon anew: it knows nothing."""
        self.paused.discard(name)
        now_s = self.loop.time()
        limit_sharing = LimitSharing(name)
        limit_sharing.update_members(self.names, self.names)
        limits = TenantLimits(limit_sharing, CheckpointState(), TOLERANCE, self.rng.getrandbits(62))
        limits.set_tenants(self.tenants)
        self._gate_by_name[name] = LimitGate(limits, SimulatedLink(self, name), self.rng)
        self._keep_marks(name, limits, now_s)

    def _keep_marks(self, name: str, limits: TenantLimits, began_s: float) -> None:
        former = self._marking_by_name.get(name)
        if former is not None:
            former.cancel()
        stored = UsageCheckpointWriter(
            limits,
            self.store,
            name,
            self._store_now_ms,
            lambda: TOLERANCE.window_s,
            RecordingLog(),
            began_s,
        )
        self._marking_by_name[name] = asyncio.create_task(stored.run())

    def _store_now_ms(self) -> int:
        return int(self.loop.time() * 1000)

    def set_tenants(self, tenants: list[Tenant]) -> None:
        """Put other limits into force at all daemons."""
        self.tenants = TenantIndex(tenants)
        for gate in self._gate_by_name.values():
            gate.limits.set_tenants(self.tenants)

    def notice(self) -> None:
        """Let every daemon know whom it can reach."""
        for name, gate in self._gate_by_name.items():
            if name not in self.paused:
                running = [n for n in self.names if self.reaches(name, n) and n not in self.paused]
                serving = [n for n in self.names if n not in self.leaving]
                hold_s = TOLERANCE.window_s + LOAN_TTL_S
                gate.limits.limit_sharing.update_members(
                    serving, running, self.loop.time(), self.leaving, hold_s
                )

    def ask(self, name: str, tenant_name: str, count: int = 1) -> None:
        """Send requests of a tenant to a daemon."""
        if name in self.paused:
            return
        self.asked[tenant_name] += count
        for _ in range(count):
            task = asyncio.create_task(self._ask_one(name, self.tenants.by_name[tenant_name]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask_one(self, name: str, tenant: Tenant) -> None:
        gate = self._gate_by_name[name]
        retry_after_s = None
        if not gate.try_acquire(tenant):
            retry_after_s = await gate.borrow_or_reject(tenant) if self.lends else 1.0
        if retry_after_s is None:
            self.admitted_s[tenant.name].append(self.loop.time())
        else:
            self.retry_after_s.append(retry_after_s)

    def carry(self, sender: str, receiver: str, message: TokenAsk | TokenGrant) -> None:
        """Bring a message to its receiver, unless it gets lost or is cut off."""
        self.messages += 1
        lost = self.rng.random() < self.loss
        if lost or sender in self.paused or not self.reaches(sender, receiver):
            return
        gate = self._gate_by_name[receiver]

        def deliver() -> None:
            if receiver not in self.paused and self._gate_by_name[receiver] is gate:
                gate.handle(sender, message)

        self.loop.call_later(self.rng.uniform(*DELAY_S), deliver)

    async def advance(self, seconds: float) -> None:
        """Let time pass."""
        await asyncio.sleep(seconds)

    async def settle(self) -> None:
        """Wait until every request has its answer."""
        while self._tasks:
            await asyncio.sleep(0.01)

    def most_in_window(self, tenant_name: str) -> int:
        """Return the most requests of a tenant that were let through within a window."""
        times = self.admitted_s[tenant_name]
        most = first = 0
        for last in range(len(times)):
            while times[last] - times[first] > TOLERANCE.window_s:
                first += 1
            most = max(most, last - first + 1)
        return most


async def measure(
    tenant: Tenant, size: int, daemons: int, load: float, lends: bool
) -> tuple[float, int, float]:
    """Return the share let through, the most in a window and the messages a second."""
    fleet = LimitFleet(size, [tenant], lends=lends)
    await fleet.advance(10.0)
    seconds = 20.0
    step_s = 0.01
    for _ in range(round(seconds / step_s)):
        expected = tenant.requests_per_s * load * step_s
        for _ in range(int(expected) + (fleet.rng.random() < expected % 1)):
            fleet.ask(fleet.names[fleet.rng.randrange(daemons)], tenant.name)
        await fleet.advance(step_s)
    await fleet.settle()
    share = len(fleet.admitted_s[tenant.name]) / max(1, fleet.asked[tenant.name])
    return share, fleet.most_in_window(tenant.name), fleet.messages / seconds


def main() -> None:
    """Print a table: what is let through below the limit, and the most in a window above it."""
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
    for lends, tenant, (load, factor), (spread, daemons) in itertools.product(
        (False, True), tenants, loads.items(), spreads.items()
    ):
        share, most, messages = run_paused(measure(tenant, 13, daemons, factor, lends))
        print(
            f"| {'yes' if lends else 'no'} | {tenant.name} | {load} | {spread} | {share:.3f} "
            f"| {most} | {bound(tenant):.0f} | {messages:.0f} |"
        )


if __name__ == "__main__":
    main()
