"""The operator's configuration and the workers' records, put into the product's own types."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import Any

import orjson

from mountstand.platform import names
from mountstand.serving.cold_workers import ColdStartLimit
from mountstand.serving.configuration import (
    Configuration,
    RequestKind,
    Route,
    Service,
    ServiceShare,
)
from mountstand.serving.residency import ANYWHERE, Regions
from mountstand.serving.worker import WorkerRecord
from mountstand.store.rows import StoredRow
from mountstand.tenants.tenant import Tenant, TenantIndex
from mountstand.transport.http_server import ServerLimits

KINDS = {
    names.IDEMPOTENT: RequestKind.REPEATABLE,
    names.NON_IDEMPOTENT: RequestKind.AT_MOST_ONCE,
    names.STREAMING: RequestKind.STREAM,
    names.BATCH: RequestKind.BATCH,
}
DEFAULT_CONNECTIONS = 100

MAX_SLOTS = 100_000
"""Slots of one worker, beyond which a row is taken for garbage."""

MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_NAME_LENGTH = 253
HOST_NAME = re.compile(r"(?!-)[A-Za-z0-9_-]{1,63}(\.(?!-)[A-Za-z0-9_-]{1,63})*")

LEAST_PATIENCE_S = 2.0
OBJECTIVES_OF_PATIENCE = 4
GAPS_OF_PATIENCE = 8
"""Callers leave a stream after a gap of this time, so many objectives or so many of the longest
pauses that are in time, whichever is longest, also before the first event (protocol page)."""


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration that a row holds."""
    fields = orjson.loads(value)
    limits = fields.get("limits", {})
    return Configuration(
        version=int(fields["version"]),
        routes=tuple(_route(route) for route in fields["routes"]),
        services={service["name"]: _service(service) for service in fields["services"]},
        limits=ServerLimits(
            max_header_bytes=int(limits.get("max_header_bytes", 16384)),
            max_body_bytes=int(limits.get("max_body_bytes", 4194304)),
            header_timeout_s=limits.get("header_timeout_ms", 3000) / 1000,
            idle_timeout_s=limits.get("idle_timeout_ms", 15000) / 1000,
        ),
        tenants=TenantIndex(_tenant(tenant) for tenant in fields.get("tenants") or ()),
    )


def _service(fields: dict[str, Any]) -> Service:
    duration_s = float(fields.get("cold_start_s") or 0)
    requests_per_s = float(fields.get("cold_per_s") or 0)
    return Service(
        fields["name"],
        int(fields.get("max_conns") or DEFAULT_CONNECTIONS),
        ColdStartLimit(duration_s, requests_per_s) if requests_per_s > 0 else None,
    )


def evacuated_zone(key: str) -> str | None:
    """Return the zone that a row of the operator's table takes out of use, if it is about one."""
    zone = key.removeprefix(names.EVACUATION_PREFIX)
    return zone if zone and zone != key else None


def _tenant(fields: dict[str, Any]) -> Tenant:
    priority = fields.get("priority")
    return Tenant(
        name=str(fields["name"]),
        keys=tuple(str(key) for key in fields.get("api_keys") or ()),
        priority=None if priority is None else int(priority),
        requests_per_s=float(fields.get("rate_per_s") or 0),
        burst=float(fields.get("burst") or 0),
        regions=_regions(fields),
    )


def _regions(fields: dict[str, Any]) -> Regions | None:
    """Return where a route's or tenant's requests may be served; an empty list is no bound."""
    listed = fields.get("allowed_regions")
    return frozenset(str(region) for region in listed) if listed else ANYWHERE


def decode_worker(row: StoredRow) -> WorkerRecord:
    """Return the worker that a row describes.

    Raises ``ValueError`` for a row of another form: another writer may have left it, and it names
    no worker to use.
    """
    fields = orjson.loads(row.value or b"")
    if not isinstance(fields, dict):
        raise ValueError(f"not a table: {type(fields).__name__}")
    state = _field(fields, "state", str)
    if state not in (names.READY, names.DRAINING):
        raise ValueError(f"state {state!r}")
    host, port = _host_and_port(_field(fields, "address", str))
    slots = _field(fields, "slots", int)
    if not 0 <= slots <= MAX_SLOTS:
        raise ValueError(f"slots {slots}")
    return WorkerRecord(
        worker_id=row.key.key,
        service=_field(fields, "service", str),
        host=host,
        port=port,
        zone=_field(fields, "zone", str),
        slots=max(1, slots),
        draining=state == names.DRAINING,
        version=row.version,
        started_at_ms=_field(fields, "born", int, 0),
        cold_remaining_s=_field(fields, "cold_left_ms", (int, float), 0) / 1000,
        software_version=str(_field(fields, "version", (str, int), "")),
    )


def _host_and_port(address: str) -> tuple[str, int]:
    """Split an address. Raises ``ValueError`` unless a connection to it could be tried."""
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS):
        raise ValueError(f"port of {address!r}")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"port of {address!r}")
    if not _is_ip_address(host) and (len(host) > MAX_NAME_LENGTH or not HOST_NAME.fullmatch(host)):
        raise ValueError(f"host of {address!r}")
    return host, int(port)


def _is_ip_address(host: str) -> bool:
    try:
        ip_address(host)
    except ValueError:
        return False
    return True


def _field(
    fields: dict[str, Any], key: str, kind: type | tuple[type, ...], default: Any = None
) -> Any:
    """Return a field of a certain type; without a default it must be there."""
    value = fields.get(key, default)
    if isinstance(value, bool) or not isinstance(value, kind):
        raise ValueError(f"{key}: {value!r}")
    return value


def _route(fields: dict[str, Any]) -> Route:
    split = fields.get("traffic_split")
    if split:
        shares = tuple(ServiceShare(part["service"], float(part["weight"])) for part in split)
    else:
        shares = (ServiceShare(fields["service"], 1.0),)
    gap_ms = fields.get("gap_aim_ms")
    return Route(
        name=fields["name"],
        host=fields["host"],
        path_prefix=fields["path_prefix"],
        kind=KINDS.get(fields["kind"], RequestKind.AT_MOST_ONCE),
        timeout_s=fields.get("timeout_ms", 30000) / 1000,
        target_latency_s=fields.get("target_latency_ms", 1000) / 1000,
        max_attempts=max(1, int(fields.get("max_attempts") or 1)),
        shares=tuple(share for share in shares if share.weight > 0) or shares,
        resumable=bool(fields.get("resumable")),
        event_gap_s=gap_ms / 1000 if gap_ms else None,
        retention_s=float(fields.get("retention_s") or 0),
        completion_target_s=(fields.get("completion_target_ms") or 0) / 1000,
        max_waiting_tokens=int(fields.get("max_queued_tokens") or 0),
        priority=int(fields.get("priority") or 0),
        public=bool(fields.get("public")),
        regions=_regions(fields),
        caller_first_event_timeout_s=_patience_s(fields),
    )


def _patience_s(fields: dict[str, Any]) -> float | None:
    """Return how long callers of a stream wait for an event, ``None`` for other requests."""
    if fields["kind"] != names.STREAMING:
        return None
    objective_ms = fields.get("target_latency_ms", 0)
    gap_ms = fields.get("gap_aim_ms") or 0
    longest_ms = max(OBJECTIVES_OF_PATIENCE * objective_ms, GAPS_OF_PATIENCE * gap_ms)
    return max(LEAST_PATIENCE_S, longest_ms / 1000)
