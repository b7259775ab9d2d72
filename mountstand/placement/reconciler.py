"""Which engine should load which model version next, as a pure function of target and actual.

An engine does not serve while it loads, so a version change goes in steps: never more loads at once
than the weight store's rate allows, and never one that would leave fewer than ``replicas`` engines
serving some version of the model.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True)
class PlacementTarget:
    """What the settings ask for one service; ``model`` has the service's name."""

    model: str
    version: str
    replicas: int
    max_loads: int


@dataclass(frozen=True)
class EngineState:
    """One engine as last reported; ``version`` is empty while it serves none of the model."""

    worker_id: str
    version: str
    loading: bool = False
    leaving: bool = False


def next_loads(target: PlacementTarget, engines: Iterable[EngineState]) -> list[str]:
    """Return the ids of the engines to give a load order now, in a fixed order.

    Engines that serve nothing come first: loading there takes no replica away.
    """
    staying = sorted((e for e in engines if not e.leaving), key=lambda e: e.worker_id)
    serving = sum(1 for e in staying if e.version and not e.loading)
    room = target.max_loads - sum(1 for e in staying if e.loading)
    chosen: list[str] = []
    outdated = [e for e in staying if not e.loading and e.version != target.version]
    for engine in sorted(outdated, key=lambda e: bool(e.version)):
        if len(chosen) >= room:
            break
        takes_replica_away = bool(engine.version)
        if takes_replica_away and serving <= target.replicas and len(staying) > 1:
            continue
        serving -= takes_replica_away
        chosen.append(engine.worker_id)
    return chosen


def is_reached(target: PlacementTarget, engines: Iterable[EngineState]) -> bool:
    """Return whether every engine that stays serves the wanted version."""
    staying = [e for e in engines if not e.leaving]
    return all(e.version == target.version and not e.loading for e in staying)
