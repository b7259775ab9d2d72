"""Settings of one process: addresses, zone and platform endpoints, from a TOML file and flags.

These are what a process must know before it can reach the platform. What operators change while
the system runs is in the settings tree (:mod:`mountstand.settings`).
"""

from __future__ import annotations

import ipaddress
import tomllib
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from mountstand.errors import InvalidSettings


def check_ip_address(value: str) -> str:
    """Return ``value`` if it is an IP number."""
    ipaddress.ip_address(value)
    return value


def check_base_url(value: str) -> str:
    """Return ``value`` if it is ``http://IP:PORT``."""
    parts = urlsplit(value)
    if parts.scheme != "http" or parts.hostname is None or parts.port is None:
        raise ValueError("must be http://IP:PORT")
    ipaddress.ip_address(parts.hostname)
    return value.rstrip("/")


IpAddress = Annotated[str, AfterValidator(check_ip_address)]
BaseUrl = Annotated[str, AfterValidator(check_base_url)]
Port = Annotated[int, Field(ge=1, le=65535)]


class StrictModel(BaseModel):
    """Settings with no unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PlatformSettings(StrictModel):
    """Where the platform's services are."""

    table_url: BaseUrl
    objects_url: BaseUrl
    machines_url: BaseUrl
    table_timeout_s: float = Field(2.0, gt=0, le=60)
    objects_timeout_s: float = Field(10.0, gt=0, le=120)
    machines_poll_s: float = Field(1.0, gt=0, le=60)


class OnlineSettings(StrictModel):
    """Bounds of the online path of one daemon."""

    threads: int = Field(128, ge=4, le=2048)
    load_poll_s: float = Field(0.25, gt=0, le=10)
    cache_poll_s: float = Field(1.0, gt=0, le=60)
    load_polls_per_s: float = Field(6.0, gt=0, description="Over all workers")
    cache_polls_per_s: float = Field(1.0, gt=0, description="Over all engines")


class BatchSettings(StrictModel):
    """Bounds of the batch path of one daemon."""

    shards: int = Field(16, ge=1, le=4096, description="Equal on every daemon of the fleet")
    max_in_flight: int = Field(128, ge=1, le=4096)
    buffer_bytes: int = Field(64 * 1024 * 1024, ge=1024 * 1024)
    table_ops_per_s: float = Field(50.0, gt=0)
    object_ops_per_s: float = Field(100.0, gt=0)
    poll_s: float = Field(2.0, gt=0, le=60)
    commit_interval_s: float = Field(0.5, gt=0, le=10)
    lease_s: float = Field(2.0, gt=0, le=60)
    max_attempts: int = Field(3, ge=1, le=20)


class MembershipSettings(StrictModel):
    """Gossip between daemons."""

    period_s: float = Field(0.5, gt=0, le=30)
    suspicion_periods: int = Field(3, ge=1, le=30)


class SecuritySettings(StrictModel):
    """Keys and tokens. Two live cluster keys allow a rotation without a stop."""

    cluster_keys: list[str] = Field(
        default=["insecure-development-key"], min_length=1, max_length=2
    )
    caller_tokens: list[str] = Field(default_factory=list)
    operator_tokens: list[str] = Field(default_factory=list)


class DaemonSettings(StrictModel):
    """Everything one daemon needs to start."""

    daemon_id: str = Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")
    zone: str = Field(min_length=1, max_length=64)
    address: IpAddress
    port: Port = Field(description="Callers' interface (TCP)")
    control_port: Port = Field(description="Operators and peers (TCP), gossip (UDP)")
    platform: PlatformSettings
    online: OnlineSettings = OnlineSettings()
    batch: BatchSettings = BatchSettings()
    membership: MembershipSettings = MembershipSettings()
    security: SecuritySettings = SecuritySettings()
    stop_timeout_s: float = Field(60.0, gt=0)
    seed: int = 0


def load_daemon_settings(file: Path | None, overrides: dict[str, Any]) -> DaemonSettings:
    """Read settings from ``file`` and lay ``overrides`` (dotted paths) over them.

    Raises
    ------
    InvalidSettings
        Names the path of the wrong key and the remedy.
    """
    values = read_toml(file) if file is not None else {}
    for path, value in overrides.items():
        if value is not None:
            set_by_path(values, path, value)
    return validate_settings(DaemonSettings, values)


def read_toml(file: Path) -> dict[str, Any]:
    """Return the content of a TOML file."""
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as problem:
        raise InvalidSettings(f"{file}: {problem.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise InvalidSettings(f"{file}: {problem}") from None


def set_by_path(values: dict[str, Any], path: str, value: Any) -> None:
    """Set a value under a dotted path, making tables on the way."""
    *parents, last = path.split(".")
    for parent in parents:
        values = values.setdefault(parent, {})
    values[last] = value


def validate_settings(model: type[Any], values: dict[str, Any]) -> Any:
    """Return a checked ``model``; an error names the path, the fault and the value."""
    try:
        return model.model_validate(values)
    except ValidationError as problem:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc']) or '(root)'}: {fault['msg']}"
            f" (got {str(fault['input'])[:80]!r})"
            for fault in problem.errors()
        ]
        raise InvalidSettings("; ".join(faults)) from None
