"""Settings of a serving process: addresses, bounds and limits, in the product's own names."""

from __future__ import annotations

from dataclasses import dataclass, field

from mountstand.serving.cold_workers import ColdStartTolerance
from mountstand.serving.residency import Geography
from mountstand.tenants.limits import LimitTolerance


@dataclass(frozen=True)
class SocketAddress:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``IP:PORT``."""
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> SocketAddress:
        """Return the address that ``IP:PORT`` names. Raises ``ValueError``."""
        host, separator, port = text.rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError(f"not IP:PORT: {text!r}")
        return cls(host, int(port))


@dataclass(frozen=True)
class Listeners:
    """Where the process listens; what is ``None`` is not served."""

    callers: SocketAddress
    ready: SocketAddress | None = None
    directory: SocketAddress | None = None
    control: SocketAddress | None = None


@dataclass(frozen=True)
class StoreSettings:
    """Where the store is, and how large a row's value may be."""

    address: SocketAddress
    row_bytes: int = 65536


@dataclass(frozen=True)
class ServingSettings:
    """Everything one serving process must know to start.

    ``drain_s`` is the time within which a leaving worker must get no new work; ``grace_s`` the time
    from the request to stop until the process is killed; ``contact_s`` the time without the store
    after which a process no longer counts as in touch; ``cancel_s`` the time within which the end
    of a job must be obeyed; ``status_s`` how long results of a job can be asked for; ``capacity``
    the processor that the machine has, in cores. ``seeds`` are control addresses of some daemons,
    which may be out of date. ``geography`` tells the zones' regions. ``limit_tolerance`` is how
    exactly the limits of tenants must be kept, ``cold_tolerance`` how exactly the bound of cold
    workers.
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
