"""Settings of a serving process, independent of the platform that provides them."""

from __future__ import annotations

from dataclasses import dataclass, field

from mountstand.serving.cold_workers import ColdStartTolerance
from mountstand.serving.residency import Geography
from mountstand.tenants.limits import LimitTolerance


@dataclass(frozen=True)
class SocketAddress:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Parse ``IP:PORT``. Raises ``ValueError`` if there is no numeric port."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError(f"invalid address {text!r}: expected IP:PORT")
        return cls(host, int(port))


@dataclass(frozen=True)
class Listeners:
    """Listen addresses by interface. An interface whose address is ``None`` is disabled.

    ``callers`` takes requests, ``ready`` the platform's readiness checks, ``directory`` look-ups of
    daemon addresses by callers, and ``control`` requests of other daemons.
    """

    callers: SocketAddress
    ready: SocketAddress | None = None
    directory: SocketAddress | None = None
    control: SocketAddress | None = None


@dataclass(frozen=True)
class StoreSettings:
    """Address of the store, and the maximum size of a row's value in bytes."""

    address: SocketAddress
    row_bytes: int = 65536


@dataclass(frozen=True)
class ServingSettings:
    """Settings of one serving process.

    - ``address``: IP address of this machine for gossip and metrics
    - ``metrics``: port and path of the metrics endpoint, if enabled
    - ``drain_s``: time within which daemons must stop sending new work to a leaving worker
    - ``grace_s``: time from the request to stop until the platform kills the process
    - ``resolve_ttl_max_s``: maximum TTL of the daemon addresses that callers look up
    - ``contact_s``: time after which data read from the store may no longer be relied on as current
    - ``cancel_s``: time within which the cancellation of a job must take effect
    - ``status_s``: time for which the status and results of a job can be requested
    - ``capacity``: CPU capacity for the process, in cores
    - ``memory_mb``, ``max_descriptors``: memory and file descriptors that the process may use
    - ``seeds``: control addresses of some daemons, used until others are known; may be outdated
    - ``geography``: the region of each zone
    - ``limit_tolerance``: window and tolerated excess for the rate limits of tenants
    - ``cold_tolerance``: tolerated excess over the cold-start limits of workers
    """

    name: str
    zone: str
    address: str
    gossip_port: int
    listeners: Listeners
    store: StoreSettings
    metrics: tuple[int, str] | None = None
    drain_s: float = 2.0
    grace_s: float = 8.0
    resolve_ttl_max_s: float = 5.0
    contact_s: float = 3.0
    cancel_s: float = 3.0
    status_s: float = 120.0
    capacity: float = 1.0
    memory_mb: float = 256.0
    max_descriptors: int = 1024
    seeds: tuple[SocketAddress, ...] = ()
    geography: Geography = field(default_factory=Geography)
    limit_tolerance: LimitTolerance = field(default_factory=LimitTolerance)
    cold_tolerance: ColdStartTolerance = field(default_factory=ColdStartTolerance)
