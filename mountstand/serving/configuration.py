"""What the operator configures: routes, services and limits, as immutable values."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field
from enum import Enum

from mountstand.serving.cold_workers import ColdStartLimit
from mountstand.serving.residency import ANYWHERE, Regions, in_both
from mountstand.tenants.tenant import TenantIndex
from mountstand.transport.http_server import ServerLimits


class RequestKind(Enum):
    """What may be done with a request whose outcome is unknown."""

    REPEATABLE = "repeatable"
    AT_MOST_ONCE = "at most once"
    STREAM = "stream"
    BATCH = "batch"


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight among those of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go, and within which bounds."""

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    shares: tuple[ServiceShare, ...]
    resumable: bool = False
    event_gap_s: float | None = None
    retention_s: float = 0.0
    completion_target_s: float = 0.0
    max_waiting_tokens: int = 0
    """Tokens of batch items that may wait on the route, over all daemons; 0 is no bound."""

    priority: int = 0
    """Its rank among routes, 0 being the most urgent."""

    public: bool = False
    """Whether callers need no key."""

    regions: Regions | None = ANYWHERE
    """Where its requests may be served."""

    caller_first_event_timeout_s: float | None = None
    """How long callers wait for the first event of a stream before they leave, if that is known."""

    @property
    def patience_s(self) -> float:
        """How long callers wait for the begin of an answer."""
        return min(self.timeout_s, self.caller_first_event_timeout_s or self.timeout_s)

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE


@dataclass(frozen=True)
class Service:
    """A service, and what one of its workers bears from everybody."""

    name: str
    max_connections: int
    cold_start_limit: ColdStartLimit | None = None
    """What a worker bears after a start, if that is less than usual."""


@dataclass(frozen=True)
class Configuration:
    """One version of everything that the operator configures."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ServerLimits
    tenants: TenantIndex = field(default_factory=TenantIndex)
    _by_host: dict[str, list[Route]] = field(default_factory=dict, compare=False, repr=False)

    def __post_init__(self) -> None:
        """Index the routes: by host, longest prefix first."""
        by_host: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            by_host[route.host.lower()].append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_host.update(by_host)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix of ``path``."""
        routes = self._routes_of(host)
        return next((route for route in routes if path.startswith(route.path_prefix)), None)

    def regions_for(self, route: Route, tenant: str) -> Regions | None:
        """Return where requests of a tenant on a route may be served."""
        known = self.tenants.by_name.get(tenant)
        return in_both(route.regions, known.regions if known is not None else ANYWHERE)

    def regions_for_job(self, host: str, path: str, tenant: str) -> Regions | None:
        """Return where a job may be served that a tenant handed in; everywhere without a route.

        Its items are given up then, without a worker.
        """
        route = self.match(host, path)
        return self.regions_for(route, tenant) if route is not None else ANYWHERE

    def regions_for_host(self, host: str) -> Regions | None:
        """Return where callers of a host may be sent whose own region has no daemon.

        These are the regions that all routes of the host allow. Who calls is not known there; if
        some tenants are bound to regions, none is allowed.
        """
        regions = ANYWHERE if not self.tenants.has_region_restricted_tenants else frozenset()
        for route in self._routes_of(host):
            regions = in_both(regions, route.regions)
        return regions

    def has_public_jobs(self, host: str) -> bool:
        """Return whether some batch jobs of ``host`` need no key."""
        return any(r.public and r.kind is RequestKind.BATCH for r in self._routes_of(host))

    def _routes_of(self, host: str) -> list[Route]:
        name = host.lower()
        routes = self._by_host.get(name)
        return self._by_host.get(name.rpartition(":")[0], []) if routes is None else routes


class WeightedServiceChooser:
    """Deals the requests of a route to its services exactly by weight.

    Smooth weighted round robin per route, from a random start so that many daemons together keep
    the weights too.
    """

    def __init__(self, source: random.Random) -> None:
        self._source = source
        self._credit: dict[tuple[str, tuple[ServiceShare, ...]], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of ``route``."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        credit = self._credit.get((route.name, shares))
        if credit is None:
            self._drop_other_versions(route)
            credit = [self._source.uniform(0, total) for _ in shares]
            self._credit[route.name, shares] = credit
        for position, share in enumerate(shares):
            credit[position] += share.weight
        winner = max(range(len(shares)), key=lambda position: credit[position])
        credit[winner] -= total
        return shares[winner].service

    def _drop_other_versions(self, route: Route) -> None:
        for key in [key for key in self._credit if key[0] == route.name]:
            del self._credit[key]
