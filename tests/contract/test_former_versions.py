"""Daemons of this version and of those that landed before understand each other's messages.

Machines are replaced one after the other, so that both run side by side. The rule: fields are only
added, at the end and with a default; a field's type and meaning stay; so do kinds. The encodings of
former versions are recorded from their code (:mod:`tests.contract.encodings`).
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
from testtools import TestCase

from mountstand.wire.frames import VERSION
from mountstand.wire.gossip import KINDS
from mountstand.wire.messages import DaemonBodies
from tests.contract.encodings import FORMER, Shape, message_types, plain, sample, shape

FORMER_FRAMES = 4
"""Version of the frames in which all recorded versions send; another one is not read at all."""

SCALARS = {"int": int, "str": str, "bytes": bytes, "float": float, "bool": bool}


def former_type(name: str, told: Shape) -> Any:
    """Return the type that a former version decoded into."""
    if isinstance(told, list):
        return tuple[former_type(name, told[1]), ...]  # type: ignore[misc]
    if isinstance(told, dict):
        members = [(field, former_type(f"{name}_{field}", of)) for field, of in told.items()]
        return msgspec.defstruct(name, members, array_like=True)
    return SCALARS[told]


def starts_with(former: Any, now: Any) -> bool:
    """Return whether values or shapes of today are those of a former version and perhaps more."""
    if isinstance(former, dict) and isinstance(now, dict):
        return list(former) == list(now)[: len(former)] and all(
            starts_with(former[name], now[name]) for name in former
        )
    if isinstance(former, list) and isinstance(now, list):
        return len(former) <= len(now) and all(map(starts_with, former, now))
    return bool(former == now)


def broken_rules(former: dict[str, Any], types: dict[str, type]) -> list[str]:
    """Return what a former version and this one would not understand of each other."""
    bodies = DaemonBodies()
    gossip = {message_type.__name__ for message_type in KINDS.values()}
    broken = []
    for name, told in former.items():
        if name not in types:
            broken.append(f"{name} is gone")
            continue
        if not starts_with(told["shape"], shape(types[name])):
            broken.append(f"{name} has other fields")
            continue
        heard = bodies.decode(told["kind"], bytes.fromhex(told["body"]))
        if type(heard) is not types[name] or not starts_with(told["values"], plain(heard)):
            broken.append(f"{name} is heard as {heard}")
        kind, body = bodies.encode(sample(types[name]))
        if kind != told["kind"]:
            broken.append(f"{name} has another kind")
        elif name not in gossip:
            # These have no room for more fields: what is sent must be the same.
            broken += [f"{name} is sent otherwise"] if body.hex() != told["body"] else []
        else:
            sent = msgspec.msgpack.decode(body, type=former_type(name, told["shape"]))
            if plain(sent) != told["values"]:
                broken.append(f"{name} is understood as {sent}")
    return broken


def recorded() -> list[Path]:
    return sorted(FORMER.glob("*.json"))


class FormerVersions(TestCase):
    def test_they_and_this_one_understand_each_other(self) -> None:
        self.assertTrue(recorded())
        self.assertEqual(FORMER_FRAMES, VERSION)
        for file in recorded():
            former = json.loads(file.read_text())
            self.assertEqual([], broken_rules(former, message_types()), file.name)

    def test_a_change_against_the_rule_is_found(self) -> None:
        former = json.loads(recorded()[-1].read_text())
        ping = message_types()["Ping"]
        number, updates = "number", "updates"

        def changed(members: list[Any]) -> list[str]:
            now = msgspec.defstruct("Ping", members, array_like=True)
            return broken_rules({"Ping": former["Ping"]}, {"Ping": now})

        hints = msgspec.structs.fields(ping)
        updates_type = hints[1].type
        other = ["Ping has other fields"]
        self.assertEqual(other, changed([(updates, updates_type), (number, int)]))
        self.assertEqual(other, changed([(number, str), (updates, updates_type)]))
        self.assertEqual(other, changed([(number, int)]))
        self.assertEqual(["Ping is gone"], broken_rules({"Ping": former["Ping"]}, {}))
