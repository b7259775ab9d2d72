"""Zones of the soak: evacuations, and workers that are cold after a start, with their checks."""

from __future__ import annotations

import asyncio
import math
from collections import defaultdict
from typing import Any

from tests.soak.history import SLACK_S, History

ZONES = ("zone-a", "zone-b")
REGION = "region-a"
EVACUATE_S = 3.0
"""Within this time an evacuated zone must get nothing more."""

COLD_S = 2.0
COLD_PER_S = 4.0
COLD_FACTOR = 1.5
COLD_SLACK = 5.0
"""What cold workers bear is little, so that the callers of a soak come up to it."""

MOST_COLD = COLD_PER_S * COLD_FACTOR + COLD_SLACK

HELD_S = 0.25
"""What a harmed link held back reaches its worker within this time of its mend."""


class SoakZones:
    """Where workers are, which zones are evacuated, and what cold workers got.

    Without ``played`` all is in one zone, nothing is cold and nothing is checked.
    """

    def __init__(self, history: History, *, played: bool) -> None:
        self.played = played
        self._history = history
        self._zone_by_worker: dict[str, str] = {}
        self._cold_until_s: dict[str, float] = {}
        self._sent_s_by_worker: dict[str, list[float]] = defaultdict(list)
        self._link_mended_s: dict[str, float] = {}
        self.evacuated_since_s: dict[str, float] = {}

    def zone_of(self, number: int) -> str:
        """Return the zone of the process or worker with a number."""
        return ZONES[number % len(ZONES)] if self.played else ZONES[0]

    def add_worker(self, worker_id: str, number: int) -> None:
        """Note a worker that starts now, cold."""
        self._zone_by_worker[worker_id] = self.zone_of(number)
        self._turn_cold(worker_id)

    def _turn_cold(self, worker_id: str) -> None:
        if self.played:
            self._cold_until_s[worker_id] = asyncio.get_running_loop().time() + COLD_S

    def row_of(self, worker_id: str) -> dict[str, Any]:
        """Return what a worker's row says of its zone and of being cold."""
        left_s = self._cold_until_s.get(worker_id, 0.0) - asyncio.get_running_loop().time()
        return {
            "zone": self._zone_by_worker[worker_id],
            "cold_left_ms": round(1000 * max(0.0, left_s)),
        }

    def service(self) -> dict[str, Any]:
        """Return what the configuration says of cold workers."""
        return {"cold_start_s": COLD_S, "cold_per_s": COLD_PER_S} if self.played else {}

    def settings(self) -> dict[str, Any]:
        """Return the bounds that a process's settings name."""
        if not self.played:
            return {}
        return {
            "evacuate_ms": EVACUATE_S * 1000,
            "cold_overshoot": COLD_FACTOR,
            "cold_slack": COLD_SLACK,
        }

    def return_workers(self, zone: str) -> list[str]:
        """Let the workers of a zone come back, cold; returns them."""
        back = [worker for worker, at in self._zone_by_worker.items() if at == zone]
        for worker_id in back:
            self._turn_cold(worker_id)
        return back

    def note_link_harmed(self, worker_id: str) -> None:
        """Note that a worker's link holds back, from now on, what is sent to it."""
        self._link_mended_s[worker_id] = math.inf

    def note_link_mended(self, worker_id: str) -> None:
        """Note that a worker's link lets through what it held back."""
        self._link_mended_s[worker_id] = asyncio.get_running_loop().time()

    def note_run(self, worker_id: str, request_id: str) -> None:
        """Check a request that reached a worker."""
        now_s = asyncio.get_running_loop().time()
        since_s = self.evacuated_since_s.get(self._zone_by_worker[worker_id], now_s)
        overdue = now_s - since_s > EVACUATE_S + SLACK_S
        if overdue and self._history.all_in_touch(since_s):
            detail = f"at {worker_id}, {now_s - since_s:.2f} s after its zone was evacuated"
            self._history.violate("EVAC", request_id, detail, now_s)
        self._check_cold(worker_id, now_s)

    def _check_cold(self, worker_id: str, now_s: float) -> None:
        if now_s >= self._cold_until_s.get(worker_id, 0.0):
            return
        if now_s < self._link_mended_s.get(worker_id, -math.inf) + HELD_S:
            return  # sent at various times before, and held back: arrives at once
        sent_s = [at_s for at_s in self._sent_s_by_worker[worker_id] if now_s - at_s < 1.0]
        self._sent_s_by_worker[worker_id] = [*sent_s, now_s]
        if len(sent_s) + 1 > MOST_COLD:
            detail = f"{len(sent_s) + 1} requests within a second while it was cold"
            self._history.violate("FAILBACK", worker_id, detail, now_s)
