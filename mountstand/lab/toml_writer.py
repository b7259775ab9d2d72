"""Writes the settings files of the fleet's processes."""

from __future__ import annotations

import json
from typing import Any


def to_toml(settings: dict[str, Any]) -> str:
    """Return settings as TOML, every nested table in line."""
    return "".join(f"{key} = {toml_value(value)}\n" for key, value in settings.items())


def toml_value(value: Any) -> str:
    """Return one value as TOML; JSON's form serves for all but tables."""
    if isinstance(value, dict):
        inner = ", ".join(f"{key} = {toml_value(part)}" for key, part in value.items())
        return "{" + inner + "}"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(part) for part in value) + "]"
    return json.dumps(value)
