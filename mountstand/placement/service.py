"""Gives fenced load orders for the services whose placement this daemon owns.

A service's owner is the owner of its shard, and the lease's epoch is the order's epoch: engines
refuse an order under a lower epoch than one they have seen, so an owner that was replaced changes
nothing.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from mountstand.background import BackgroundPart, PeriodicTask, stop_tasks
from mountstand.batch.model import shard_of
from mountstand.clock import elapsed_s
from mountstand.engines.port import BackendPort, LoadModelOrder
from mountstand.errors import MountstandError
from mountstand.placement.reconciler import EngineState, PlacementTarget, next_loads
from mountstand.routing.router import Router
from mountstand.settings.tree import SettingsTree
from mountstand.store.ports import Machine
from mountstand.telemetry.logs import log_state_change

logger = logging.getLogger(__name__)

INTERVAL_S = 1.0
MAX_LOADS_PER_SERVICE = 2
"""Loads at once; the weight store's rate is shared by all services."""

LOAD_TIMEOUT_S = 600.0
"""After this an engine that was told to load and does not serve counts as idle again."""

ShardEpoch = Callable[[int], int | None]
"""Returns the epoch under which this daemon holds a shard, ``None`` when it does not."""


@dataclass(frozen=True)
class GivenOrder:
    """An order that an engine accepted and has not carried out yet."""

    version: str
    given_s: float


class PlacementService(BackgroundPart):
    """Reconciles the services of one daemon's shards."""

    name = "placement"

    def __init__(
        self,
        router: Router,
        backend: BackendPort,
        read_tree: Callable[[], SettingsTree],
        shard_epoch: ShardEpoch,
        shards: int,
    ) -> None:
        self._router = router
        self._backend = backend
        self._read_tree = read_tree
        self._shard_epoch = shard_epoch
        self._shards = shards
        self._given: dict[str, GivenOrder] = {}
        self._task = PeriodicTask("placement", INTERVAL_S, self.reconcile)

    def start(self) -> None:
        """Start reconciling."""
        self._task.start()

    def stop(self) -> None:
        """Stop."""
        stop_tasks([self._task])

    def reconcile(self) -> None:
        """Take one step for every service that settings name and this daemon owns."""
        tree = self._read_tree()
        for path in tree.paths_below("services"):
            service = path.removeprefix("services/")
            epoch = self._shard_epoch(shard_of(f"placement/{service}", self._shards))
            if epoch is not None and tree.value(path, "model_version") is not None:
                self._reconcile_service(tree, path, service, epoch)

    def _reconcile_service(self, tree: SettingsTree, path: str, service: str, epoch: int) -> None:
        target = PlacementTarget(
            model=service,
            version=tree.value(path, "model_version"),
            replicas=tree.value(path, "replicas"),
            max_loads=MAX_LOADS_PER_SERVICE,
        )
        machines = {m.machine_id: m for m in self._router.engines() if m.service == service}
        states = [self._state(machine, target) for machine in machines.values()]
        for worker_id in next_loads(target, states):
            self._order(machines[worker_id], target, epoch)

    def _state(self, machine: Machine, target: PlacementTarget) -> EngineState:
        """Ask the engine itself: a polled report may be too old to count replicas by."""
        given = self._given.get(machine.machine_id)
        try:
            version = self._backend.load(machine).models.get(target.model, "")
        except MountstandError:
            return EngineState(machine.machine_id, "", leaving=True)
        if given is not None:
            expired = elapsed_s() - given.given_s > LOAD_TIMEOUT_S
            if version == given.version or expired:
                del self._given[machine.machine_id]
                given = None
        return EngineState(machine.machine_id, version, loading=given is not None)

    def _order(self, machine: Machine, target: PlacementTarget, epoch: int) -> None:
        order = LoadModelOrder(epoch, target.model, target.version)
        try:
            accepted = self._backend.order_load_model(machine, order)
        except MountstandError as error:
            logger.debug("order not given", extra={"code": error.code})
            return
        if accepted:
            self._given[machine.machine_id] = GivenOrder(target.version, elapsed_s())
        log_state_change(
            logger,
            "load ordered" if accepted else "load order refused by its fence",
            worker=machine.machine_id,
            model=target.model,
            version=target.version,
            epoch=epoch,
        )
