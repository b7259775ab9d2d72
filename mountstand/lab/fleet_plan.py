"""What a fleet on loopback consists of, and where its processes listen."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from mountstand.lab.ports import LOOPBACK


@dataclass(frozen=True)
class EngineGroup:
    """Engines of a further model service, in a process of their own."""

    service: str
    count: int
    engine: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class FleetPlan:
    """What a fleet consists of.

    ``engine_processes`` shares the engines out over that many processes. ``proxied`` puts a
    fault-injecting proxy before every worker and before the table.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    daemons: int = 3
    engines: int = 6
    applications: int = 3
    engine_processes: int = 2
    model_service: str = "caption"
    application_service: str = "album"
    engine: dict[str, Any] = field(default_factory=dict)
    application: dict[str, Any] = field(default_factory=dict)
    daemon: dict[str, Any] = field(default_factory=dict)
    proxied: bool = False
    groups: tuple[EngineGroup, ...] = ()
    machines_lag_s: float = 0.2
    seed: int = 0


@dataclass(frozen=True)
class DaemonAddress:
    """Where one daemon listens."""

    daemon_id: str
    zone: str
    port: int
    control_port: int

    @property
    def callers_url(self) -> str:
        """Base of the callers' interface."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def control_url(self) -> str:
        """Base of the control interface."""
        return f"http://{LOOPBACK}:{self.control_port}"


@dataclass(frozen=True)
class WorkerAddress:
    """Where one worker listens."""

    worker_id: str
    role: str
    zone: str
    service: str
    port: int
    listed_port: int
    """Port in the machine list: the worker's own, or its proxy's."""

    proxy_control_port: int = 0

    @property
    def url(self) -> str:
        """Base of the worker's interface, past any proxy."""
        return f"http://{LOOPBACK}:{self.port}"

    def machine(self) -> dict[str, Any]:
        """Return the worker as the machine list shows it."""
        return {
            "machine_id": self.worker_id,
            "role": self.role,
            "address": LOOPBACK,
            "port": self.listed_port,
            "zone": self.zone,
            "service": self.service,
        }
