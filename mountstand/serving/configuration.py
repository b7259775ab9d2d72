"""The operator's configuration as immutable values: routes, services and limits."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from mountstand.serving.cold_workers import ColdStartLimit
from mountstand.serving.residency import ANYWHERE, Regions, intersect_regions
from mountstand.tenants.tenant import TenantIndex
from mountstand.transport.http_server import ServerLimits


class RequestKind(Enum):
    """How requests of a route run, which decides whether a failed one may be retried."""

    REPEATABLE = "repeatable"
    """May be retried, also if a worker may have run it."""

    AT_MOST_ONCE = "at most once"
    """Never sent again after a worker may have run it."""

    STREAM = "stream"
    """Answered with server-sent events; retried only if the route is resumable."""

    BATCH = "batch"
    """Runs as the items of a stored job."""


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Target services and limits for requests to one host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    resumable: bool = False
    """Whether a broken stream may be resumed at another worker, after the last event received."""

    event_gap_s: float | None = None
    """Target time between two server-sent events of a stream, if configured."""

    retention_s: float = 0.0
    """Age at which a batch job expires; 0 for never."""

    completion_target_s: float = 0.0
    """Age at which a batch job should be complete; 0 if there is no target."""

    max_waiting_tokens: int = 0
    """Limit on the tokens of batch items that wait on the route at all daemons; 0 for no limit."""

    priority: int = 0
    """Priority among routes; 0 is the most urgent."""

    public: bool = False
    """Whether callers may omit an API key."""

    regions: Regions | None = ANYWHERE
    """Regions in which its requests may be served."""

    caller_first_event_timeout_s: float | None = None
    """How long callers of a stream wait for its first event before they disconnect, if known."""

    @property
    def caller_start_timeout_s(self) -> float:
        """How long callers wait for a response to start."""
        return min(self.timeout_s, self.caller_first_event_timeout_s or self.timeout_s)

    @property
    def services(self) -> frozenset[str]:
        """The services whose workers may run requests of the route."""
        return frozenset(share.service for share in self.shares)

    @property
    def repeatable(self) -> bool:
        """Whether a request may be retried after a worker may have run it."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE


@dataclass(frozen=True)
class Service:
    """A service and the limits of each of its workers."""

    name: str
    max_connections: int
    """Connections to one worker from all daemons together."""

    cold_start_limit: ColdStartLimit | None = None
    """Limit on the requests sent to a worker that has just started, if there is one."""


@dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ServerLimits
    tenants: TenantIndex = field(default_factory=TenantIndex)
    _by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False, repr=False)

    def __post_init__(self) -> None:
        """Index the routes by host, with the longest path prefix first."""
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host.lower()].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_host.update(by_host)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``, if any."""
        routes = self._routes_of(host)
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def regions_for(self, route: Route, tenant: str) -> Regions | None:
        """Return the regions in which a tenant's requests on a route may be served."""
        configured = self.tenants.by_name.get(tenant)
        return intersect_regions(
            route.regions, configured.regions if configured is not None else ANYWHERE
        )

    def regions_for_job(self, host: str, path: str, tenant: str) -> Regions | None:
        """Return the regions in which a tenant's batch job may be served.

        A job without a route may be served anywhere: its items then fail without using a worker.
        """
        route = self.match(host, path)
        return self.regions_for(route, tenant) if route is not None else ANYWHERE

    def regions_for_host(self, host: str) -> Regions | None:
        """Return the regions to which callers may be referred if their own region has no daemon.

        These are the regions that all routes of the host allow. Since the caller's tenant is not
        known at this point, no region is allowed if any tenant is restricted to regions.
        """
        regions = ANYWHERE if not self.tenants.has_region_restricted_tenants else frozenset()
        for route in self._routes_of(host):
            regions = intersect_regions(regions, route.regions)
        return regions

    def has_public_jobs(self, host: str) -> bool:
        """Return whether ``host`` has a batch route that needs no API key."""
        return any(r.public and r.kind is RequestKind.BATCH for r in self._routes_of(host))

    def _routes_of(self, host: str) -> list[Route]:
        """Return the routes of ``host``, or of the same host without its port."""
        name = host.lower()
        routes = self._by_host.get(name)
        return self._by_host.get(name.rpartition(":")[0], []) if routes is None else routes


class WeightedServiceChooser:
    """Splits the requests of each route among its services by weight.

    Smooth weighted round robin per route keeps the split exact. It starts from random credits, so
    that the sum over many daemons keeps the weights as well.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits_by_split: dict[tuple[str, tuple[ServiceShare, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        credits = self._credits_by_split.get((route.name, shares))
        if credits is None:
            self._drop_previous_split(route)
            credits = [self._rng.uniform(0, total) for _ in shares]
            self._credits_by_split[route.name, shares] = credits
        for position, share in enumerate(shares):
            credits[position] += share.weight
        winner = max(range(len(shares)), key=lambda position: credits[position])
        credits[winner] -= total
        return shares[winner].service

    def _drop_previous_split(self, route: Route) -> None:
        for key in [key for key in self._credits_by_split if key[0] == route.name]:
            del self._credits_by_split[key]
