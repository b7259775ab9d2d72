"""Reads the platform's settings file into the product's own process settings."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import orjson

from mountstand.errors import InvalidSettings
from mountstand.platform.names import SETTINGS_VARIABLE
from mountstand.serving.cold_workers import ColdStartTolerance
from mountstand.serving.residency import Geography
from mountstand.serving_settings import Listeners, ServingSettings, SocketAddress, StoreSettings
from mountstand.tenants.limits import LimitTolerance

Fields = dict[str, Any]


def load_settings(path: str | None = None) -> ServingSettings:
    """Return the checked settings. Raises ``InvalidSettings`` naming the key and the remedy."""
    file = path or os.environ.get(SETTINGS_VARIABLE)
    if not file:
        raise InvalidSettings(f"{SETTINGS_VARIABLE} is not set; give the path of a settings file")
    try:
        fields = orjson.loads(Path(file).read_bytes())
    except OSError as problem:
        raise InvalidSettings(f"{file}: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise InvalidSettings(f"{file}: not JSON: {problem}") from None
    if not isinstance(fields, dict):
        raise InvalidSettings(f"{file}: must hold one JSON object")
    return settings_from(fields)


def settings_from(fields: Fields) -> ServingSettings:
    """Translate the platform's fields."""
    bounds = _table(fields, "bounds")
    store = _table(fields, "platform")
    limits = _table(fields, "limits")
    ports = fields.get("internal_ports")
    if not isinstance(ports, list) or len(ports) != 2:
        raise InvalidSettings("internal_ports: must be a list of the first and the last port")
    return ServingSettings(
        name=_text(fields, "node"),
        zone=_text(fields, "zone"),
        address=_text(fields, "ip"),
        gossip_port=int(ports[0]),
        listeners=_listeners(_table(fields, "listen")),
        metrics=_metrics(fields),
        store=StoreSettings(
            address=_address(store.get("address"), "platform.address"),
            row_bytes=int(_number(store, "row_bytes", 65536)),
        ),
        drain_s=_number(bounds, "drain_ms", 2000.0) / 1000,
        grace_s=_number(bounds, "grace_s", 8.0),
        resolve_ttl_max_s=_number(bounds, "ttl_max_s", 5.0),
        contact_s=_number(bounds, "contact_ms", 3000.0) / 1000,
        cancel_s=_number(bounds, "cancel_ms", 3000.0) / 1000,
        status_s=_number(bounds, "status_s", 120.0),
        capacity=_number(limits, "cpu_share", 1.0) * _number(limits, "cores", 1.0),
        memory_mb=_number(limits, "memory_mb", 256.0),
        max_descriptors=int(_number(limits, "max_fds", 1024.0)),
        seeds=_seeds(fields),
        geography=_geography(fields),
        limit_tolerance=_limit_tolerance(bounds),
        cold_tolerance=_cold_tolerance(bounds),
    )


def _geography(fields: Fields) -> Geography:
    zones = fields.get("zones") or {}
    if not isinstance(zones, dict):
        raise InvalidSettings(f"zones: must be a table of regions by zone (got {zones!r})")
    return Geography({str(zone): str(region) for zone, region in zones.items()})


def _cold_tolerance(bounds: Fields) -> ColdStartTolerance:
    usual = ColdStartTolerance()
    return ColdStartTolerance(
        _number(bounds, "cold_overshoot", usual.factor), _number(bounds, "cold_slack", usual.slack)
    )


def _limit_tolerance(bounds: Fields) -> LimitTolerance:
    usual = LimitTolerance()
    window_s = _number(bounds, "quota_window_s", usual.window_s)
    if window_s <= 0:
        raise InvalidSettings(f"quota_window_s: must be more than 0 (got {window_s})")
    return LimitTolerance(
        window_s,
        _number(bounds, "quota_overshoot", usual.overshoot),
        _number(bounds, "quota_slack", usual.slack),
    )


def _listeners(listen: Fields) -> Listeners:
    return Listeners(
        callers=_address(listen.get("front"), "listen.front"),
        ready=_address(listen["ready"], "listen.ready") if "ready" in listen else None,
        directory=(
            _address(listen["directory"], "listen.directory") if "directory" in listen else None
        ),
        control=_address(listen["control"], "listen.control") if "control" in listen else None,
    )


def _seeds(fields: Fields) -> tuple[SocketAddress, ...]:
    entries = fields.get("seeds") or []
    if not isinstance(entries, list):
        raise InvalidSettings(f"seeds: must be a list of IP:PORT (got {entries!r})")
    return tuple(_address(entry, f"seeds.{i}") for i, entry in enumerate(entries))


def _metrics(fields: Fields) -> tuple[int, str] | None:
    """Return port and path of ``"PORT/PATH"``, if given."""
    text = fields.get("metrics")
    if not text:
        return None
    port, _, path = str(text).partition("/")
    if not port.isdigit():
        raise InvalidSettings(f"metrics: must be PORT/PATH (got {text!r})")
    return int(port), "/" + path


def _table(fields: Fields, key: str) -> Fields:
    value = fields.get(key)
    if not isinstance(value, dict):
        raise InvalidSettings(f"{key}: missing; the platform must fill this table")
    return value


def _text(fields: Fields, key: str) -> str:
    value = fields.get(key)
    if not isinstance(value, str) or not value:
        raise InvalidSettings(f"{key}: must be a text (got {value!r})")
    return value


def _number(fields: Fields, key: str, default: float) -> float:
    value = fields.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise InvalidSettings(f"{key}: must be a number of 0 or more (got {value!r})")
    return float(value)


def _address(value: Any, key: str) -> SocketAddress:
    try:
        return SocketAddress.parse(str(value or ""))
    except ValueError:
        raise InvalidSettings(f"{key}: must be IP:PORT (got {value!r})") from None
