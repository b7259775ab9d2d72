"""What the messages between daemons look like in bytes, and the types that they have.

Run in the code of a landed version, this records its encodings, so that the versions after it can
be held against them: ``python -m tests.contract.encodings COMMIT`` writes
``tests/contract/former/COMMIT.json`` from the repository's history.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import msgspec

FORMER = Path(__file__).parent / "former"
ROOT = Path(__file__).parents[2]
SCALARS: dict[type, Any] = {int: 7, str: "name", bytes: b"{}", float: 1.5, bool: True}
"""A value for each type of a field; the number fits a single byte."""

Shape = Any
"""A type as JSON tells it: a scalar's name, ``["tuple", shape]``, or fields by name."""


def message_types() -> dict[str, type]:
    """Return the types of all messages by their names."""
    from mountstand.wire.gossip import KINDS
    from mountstand.wire.messages import FORMS

    types = [*KINDS.values(), *(message_type for message_type, _ in FORMS.values())]
    return {message_type.__name__: message_type for message_type in types}


def field_names(value_type: type) -> list[str]:
    """Return the names of a message's fields, in order."""
    if is_dataclass(value_type):
        return [field.name for field in fields(value_type)]
    return [field.name for field in msgspec.structs.fields(value_type)]


def is_message(value_type: Any) -> bool:
    """Return whether a type has fields of its own."""
    return is_dataclass(value_type) or (
        isinstance(value_type, type) and issubclass(value_type, msgspec.Struct)
    )


def sample(value_type: Any) -> Any:
    """Return a value of a type that has something in every field."""
    if get_origin(value_type) is tuple:
        return (sample(get_args(value_type)[0]),)
    if is_message(value_type):
        hints = get_type_hints(value_type)
        return value_type(*(sample(hints[name]) for name in field_names(value_type)))
    if issubclass(value_type, Enum):
        return next(iter(value_type))
    return SCALARS[value_type]


def shape(value_type: Any) -> Shape:
    """Return a type as JSON can tell it."""
    if get_origin(value_type) is tuple:
        return ["tuple", shape(get_args(value_type)[0])]
    if is_message(value_type):
        hints = get_type_hints(value_type)
        return {name: shape(hints[name]) for name in field_names(value_type)}
    return "int" if issubclass(value_type, Enum) else value_type.__name__


def plain(value: Any) -> Any:
    """Return a value as JSON can tell it: messages become lists of their fields."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, tuple):
        return [plain(each) for each in value]
    if is_message(type(value)):
        return [plain(getattr(value, name)) for name in field_names(type(value))]
    return value


def encodings() -> dict[str, Any]:
    """Return for each message its kind, a sample's bytes and values, and its type."""
    from mountstand.wire.messages import DaemonBodies

    bodies = DaemonBodies()
    told = {}
    for name, message_type in sorted(message_types().items()):
        message = sample(message_type)
        kind, body = bodies.encode(message)
        told[name] = {
            "kind": kind,
            "body": body.hex(),
            "values": plain(message),
            "shape": shape(message_type),
        }
    return told


def record(commit: str) -> Path:
    """Write the encodings of a version from the repository's history; returns the file."""
    with tempfile.TemporaryDirectory() as folder:
        archive = Path(folder) / "code.tar"
        git = ["git", "-C", str(ROOT), "archive", "-o", str(archive), commit, "mountstand"]
        subprocess.run(git, check=True)
        subprocess.run(["tar", "-xf", str(archive), "-C", folder], check=True)
        told = subprocess.run(
            [sys.executable, __file__, "--print"],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": folder},
            check=True,
            capture_output=True,
        )
    file = FORMER / f"{commit}.json"
    file.write_bytes(told.stdout)
    return file


def main() -> None:
    """Print the encodings of the code that is imported, or record those of a commit."""
    if sys.argv[1] == "--print":
        print(json.dumps(encodings(), indent=1))
    else:
        print(record(sys.argv[1]))


if __name__ == "__main__":
    main()
