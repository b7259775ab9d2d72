"""Requests and batch items of the soak that crash the workers that run them.

They have a source of chance of their own, so that what the other faults draw stays the same.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.soak.history import CRASHING_ITEM, SLACK_S, History

MARK = CRASHING_ITEM
"""Begins the path and the body of what crashes workers, and ends the id of such an item."""

CRASHES = 3
RETRIES_ALLOWED = 3
CONTACT_S = 3.0
"""A content may crash so many workers, and reach so many more later than that after the last."""

SERIES_GAP_S = 8.0
TRIES = (15, 45)
TRY_GAP_S = 0.4
BURST_SHARE = 0.2
"""Mean time between series of tries, how many a series has, the mean time between two, and how
often a try comes twice at once."""

ITEM_SHARE = 0.05
"""Share of jobs that hold an item which crashes workers."""

BURST_GAP_S = 5.0
CRASHES_PER_BURST = (3, 6)
BURST_CRASH_SHARE = (0.3, 0.6)
BURST_CRASH_GAP_S = (0.2, 0.6)
"""Mean time between bursts of crashes; how often workers crash in one, how many of them at once,
and the time from one such moment to the next."""

AWAY_S = (0.5, 3.0)
"""How long a worker that crashed is away."""


def crashes(body: bytes) -> bool:
    """Return whether a request with this body crashes its worker."""
    text = body.decode("latin-1")
    return text.startswith(MARK) or text.endswith(MARK)


@dataclass(slots=True)
class CrashingContent:
    """The runs of one content: when each began, and whether its sender was in touch then."""

    runs: list[tuple[float, bool]] = field(default_factory=list)

    @property
    def late_runs(self) -> int:
        """Runs that processes in touch sent long after the third crash."""
        if len(self.runs) < CRASHES:
            return 0
        known_s = self.runs[CRASHES - 1][0] + CONTACT_S + SLACK_S
        return sum(at_s > known_s and in_touch for at_s, in_touch in self.runs)


class CrashingRuns:
    """Checks how often contents that crash workers reach them."""

    def __init__(self, history: History) -> None:
        self._history = history
        self.by_body: dict[bytes, CrashingContent] = defaultdict(CrashingContent)
        self.in_touch_by_id: dict[str, Callable[[], bool]] = {}
        """Whether the process that a request was sent to is in touch, by the request's id."""

    def note(self, request_id: str, body: bytes) -> None:
        """Note that a worker began to run a request that will crash it."""
        now_s = asyncio.get_running_loop().time()
        everywhere = self._history.all_in_touch
        in_touch = self.in_touch_by_id.get(request_id, lambda: everywhere(now_s))
        content = self.by_body[body]
        content.runs.append((now_s, in_touch()))
        if content.late_runs > RETRIES_ALLOWED:
            detail = f"{content.late_runs} runs long after the third crash, {len(content.runs)}"
            self._history.violate("BUDGET", request_id, detail, now_s)


class CrashBursts:
    """Lets several workers crash at once, again and again, whatever they run."""

    def __init__(self, rng: random.Random, crash_some: Callable[[float], None]) -> None:
        self._rng = rng
        self._crash_some = crash_some
        self.stopping = False

    async def run(self) -> None:
        """Play one burst after another until told to stop."""
        while not self.stopping:
            await asyncio.sleep(self._rng.expovariate(1 / BURST_GAP_S))
            for _ in range(self._rng.randint(*CRASHES_PER_BURST)):
                self._crash_some(self._rng.uniform(*BURST_CRASH_SHARE))
                await asyncio.sleep(self._rng.uniform(*BURST_CRASH_GAP_S))


class CrashingCallers:
    """Sends series of tries of contents that crash workers."""

    def __init__(
        self, rng: random.Random, send: Callable[[str, str, bytes], Awaitable[None]]
    ) -> None:
        self._rng = rng
        self._send = send
        self._series = 0
        self.stopping = False

    async def run(self) -> None:
        """Send one series after another until told to stop."""
        while not self.stopping:
            await asyncio.sleep(self._rng.expovariate(1 / SERIES_GAP_S))
            await self._send_series()

    async def _send_series(self) -> None:
        kind = self._rng.choice(["stream", "single", "plain", "once"])
        self._series += 1
        target = f"/{kind}/{MARK}-{self._series}"
        body = f"{MARK}-{self._series}".encode()
        tries = []
        for _ in range(self._rng.randint(*TRIES)):
            if self.stopping:
                break
            for _ in range(2 if self._rng.random() < BURST_SHARE else 1):
                tries.append(asyncio.create_task(self._send(kind, target, body)))
            await asyncio.sleep(self._rng.expovariate(1 / TRY_GAP_S))
        await asyncio.gather(*tries)
