"""Schema of the settings tree: which branches there are and what each may override.

A branch inherits every value that it does not override from its parent branch; the root inherits
from :data:`DEFAULTS`.
"""

from __future__ import annotations

import re
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from mountstand.errors import InvalidSettings
from mountstand.process_settings import validate_settings

ROOT = ""
NAME = r"[A-Za-z0-9._-]{1,64}"
BRANCH_FORMS = (
    re.compile(r""),
    re.compile(rf"services(/{NAME}(/tenants(/{NAME})?)?)?"),
    re.compile(rf"tenants(/{NAME})?"),
    re.compile(rf"zones(/{NAME})?"),
    re.compile(rf"workers(/{NAME})?"),
)


class BranchValues(BaseModel):
    """Overrides of one branch; ``None`` inherits."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    default_deadline_ms: int | None = Field(
        None, ge=1, le=600_000, description="Deadline of online requests that name none"
    )
    tenant_weight: float | None = Field(
        None, gt=0, le=1000, description="Share of a tenant among those waiting"
    )
    max_batch_attempts: int | None = Field(
        None, ge=1, le=20, description="Tries of a batch item that may run twice"
    )
    batch_priority: int | None = Field(
        None, ge=0, le=9, description="Priority of jobs that name none; 0 first"
    )
    drained: bool | None = Field(None, description="Workers here get no new work")
    traffic_percent: int | None = Field(
        None, ge=0, le=100, description="Share of its ordinary traffic that a zone takes"
    )
    model_version: str | None = Field(
        None,
        pattern=rf"^{NAME}$",
        description="Version of the service's model; none leaves engines as they are",
    )
    replicas: int | None = Field(
        None, ge=1, le=100_000, description="Workers that must have the model version"
    )


DEFAULTS = BranchValues(
    default_deadline_ms=30_000,
    tenant_weight=1.0,
    max_batch_attempts=3,
    batch_priority=5,
    drained=False,
    traffic_percent=100,
    replicas=1,
)


def check_path(path: str) -> str:
    """Return ``path`` if a branch may stand there, else raise ``InvalidSettings``."""
    if any(form.fullmatch(path) for form in BRANCH_FORMS):
        return path
    raise InvalidSettings(
        f"{path}: no such branch; there are services/NAME, services/NAME/tenants/NAME,"
        " tenants/NAME, zones/NAME and workers/NAME"
    )


def check_values(path: str, values: dict[str, Any]) -> BranchValues:
    """Return checked overrides; an error names the branch, the key and the value."""
    try:
        checked: BranchValues = validate_settings(BranchValues, values)
    except InvalidSettings as error:
        raise InvalidSettings(f"{path or '(root)'}: {error.detail}") from None
    return checked


def parent_path(path: str) -> str:
    """Return the path of the branch that ``path`` inherits from."""
    return path.rpartition("/")[0]


def lineage(path: str) -> list[str]:
    """Return ``path`` and its ancestors up to the root."""
    found = [path]
    while path:
        path = parent_path(path)
        found.append(path)
    return found
