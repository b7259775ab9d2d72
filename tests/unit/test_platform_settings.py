"""The platform's settings file: checked, unknown fields ignored, errors name the key."""

from __future__ import annotations

import copy
import json
import tempfile
from pathlib import Path
from typing import Any

from testtools import ExpectedException, TestCase

from mountstand.errors import InvalidSettings
from mountstand.platform.settings import load_settings, settings_from
from mountstand.tenants.limits import LimitTolerance

GOOD: dict[str, Any] = {
    "node": "front-1",
    "zone": "a",
    "ip": "10.1.0.35",
    "internal_ports": [7660, 7675],
    "listen": {"front": "10.1.0.35:8144", "ready": "10.1.0.35:8140"},
    "bounds": {"grace_s": 9, "drain_ms": 1500},
    "limits": {"memory_mb": 330, "max_fds": 8200},
    "platform": {"address": "10.200.1.7:8142", "row_bytes": 1000},
    "a field of the future": [1, 2],
}


def changed(path: str, value: Any) -> dict[str, Any]:
    """Return the good settings with one value replaced or, for ``None``, removed."""
    fields = copy.deepcopy(GOOD)
    *parents, last = path.split(".")
    table = fields
    for parent in parents:
        table = table[parent]
    if value is None:
        del table[last]
    else:
        table[last] = value
    return fields


class Settings(TestCase):
    def test_fields_are_translated(self) -> None:
        settings = settings_from(GOOD)
        self.assertEqual("10.1.0.35:8144", str(settings.listeners.callers))
        self.assertIsNone(settings.listeners.directory)
        self.assertEqual((9.0, 1.5), (settings.grace_s, settings.drain_s))
        self.assertEqual(1000, settings.store.row_bytes)
        self.assertIsNone(settings.metrics)
        self.assertEqual((9100, "/m/x"), settings_from({**GOOD, "metrics": "9100/m/x"}).metrics)

    def test_capacity_is_the_processor_in_cores(self) -> None:
        limits = {"cpu_share": 0.717, "cores": 3}
        self.assertAlmostEqual(2.151, settings_from({**GOOD, "limits": limits}).capacity)
        self.assertEqual(1.0, settings_from(GOOD).capacity, "not told")

    def test_limit_tolerance_is_read_or_usual(self) -> None:
        bounds = {"quota_window_s": 4, "quota_overshoot": 0.2, "quota_slack": 7}
        tolerance = settings_from({**GOOD, "bounds": bounds}).limit_tolerance
        self.assertEqual(LimitTolerance(4.0, 0.2, 7.0), tolerance)
        self.assertEqual(LimitTolerance(), settings_from(GOOD).limit_tolerance)
        with ExpectedException(InvalidSettings, ".*quota_window_s.*"):
            settings_from({**GOOD, "bounds": {"quota_window_s": 0}})

    def test_errors_name_the_key(self) -> None:
        cases: dict[str, Any] = {
            "node": None,
            "zone": 3,
            "listen.front": "10.1.0.35",
            "platform.address": "nowhere",
            "platform": None,
            "internal_ports": [1],
            "bounds.grace_s": "long",
            "limits.max_fds": -1,
            "limits.cpu_share": "half",
            "metrics": "figures",
        }
        for path, value in cases.items():
            with self.subTest(path):
                fields = changed(path, value)
                with ExpectedException(InvalidSettings, f".*{path.split('.')[-1]}.*"):
                    settings_from(fields)

    def test_unreadable_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "node.json"
            for content in ("{", "[]"):
                file.write_text(content)
                with ExpectedException(InvalidSettings):
                    load_settings(str(file))
            with ExpectedException(InvalidSettings):
                load_settings(str(Path(folder) / "none.json"))
            file.write_text(json.dumps(GOOD))
            self.assertEqual("front-1", load_settings(str(file)).name)
