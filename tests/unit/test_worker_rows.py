"""Rows of workers: what names a worker to use, and what another writer may have left."""

from __future__ import annotations

from typing import Any

import orjson
from testtools import TestCase

from mountstand.platform.operator_rows import decode_configuration, decode_worker, evacuated_zone
from mountstand.serving.cold_workers import ColdStartLimit
from mountstand.store.rows import DECODE_ERRORS, RowKey, StoredRow

GOOD: dict[str, Any] = {
    "service": "llm",
    "address": "10.1.2.3:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 1500,
    "seq": 4,
    "born": 1_790_000_000_000,
}


def row(value: bytes) -> StoredRow:
    return StoredRow(RowKey("servers", "", "w1"), 7, value)


class Rows(TestCase):
    def test_all_fields(self) -> None:
        record = decode_worker(row(orjson.dumps(GOOD)))
        self.assertEqual(("llm", "10.1.2.3", 8080), (record.service, record.host, record.port))
        self.assertEqual((1_790_000_000_000, 1.5), (record.started_at_ms, record.cold_remaining_s))
        self.assertFalse(record.draining)

    def test_older_workers_tell_neither_birth_nor_cold(self) -> None:
        fields = {k: v for k, v in GOOD.items() if k not in ("born", "cold_left_ms")}
        record = decode_worker(row(orjson.dumps(fields)))
        self.assertEqual((0, 0.0), (record.started_at_ms, record.cold_remaining_s))

    def test_rows_of_another_form_name_no_worker(self) -> None:
        changes: list[dict[str, Any]] = [
            {"service": None},
            {"service": 5},
            {"address": "10.1.2.3"},
            {"address": ["10.1.2.3", 80]},
            {"address": ":80"},
            {"address": "10.1.2.3:0"},
            {"address": "10.1.2.3:65536"},
            {"address": "10.1.2.3:-1"},
            {"address": "10.1.2.3:+80"},
            {"address": "10.1.2.3:8_0"},
            {"address": "10.1.2.3:" + "9" * 5000},
            {"address": "10.1\x00.2.3:80"},
            {"address": "a..b:80"},
            {"address": "-a:80"},
            {"address": "a b:80"},
            {"address": "a" * 300 + ":80"},
            {"slots": "8"},
            {"slots": True},
            {"slots": -1},
            {"slots": 100_001},
            {"slots": 2**60 + 1},
            {"state": "resting"},
            {"state": None},
            {"zone": 3},
            {"born": 1.5},
            {"cold_left_ms": "soon"},
        ]
        for change in changes:
            with self.subTest(change):
                self.assert_unreadable(orjson.dumps({**GOOD, **change}))
        for key in ("service", "address", "zone", "slots", "state"):
            with self.subTest(key):
                fields = {k: v for k, v in GOOD.items() if k != key}
                self.assert_unreadable(orjson.dumps(fields))

    def test_bytes_that_are_no_table(self) -> None:
        for value in (b"", b"\xff\xfe", b"[1]", b"null", b'"w1"'):
            with self.subTest(value):
                self.assert_unreadable(value)

    def test_addresses_of_workers(self) -> None:
        for host in ("10.1.2.3", "127.0.0.1", "worker-1.zone-a.example", "localhost", "::1"):
            with self.subTest(host):
                record = decode_worker(row(orjson.dumps({**GOOD, "address": f"{host}:65535"})))
                self.assertEqual((host, 65535), (record.host, record.port))

    def assert_unreadable(self, value: bytes) -> None:
        try:
            decode_worker(row(value))
        except DECODE_ERRORS:
            return
        self.fail(f"was read: {value!r}")


class Operator(TestCase):
    def test_cold_starts_of_services(self) -> None:
        services = [
            {"name": "llm", "max_conns": 5, "cold_start_s": 3.0, "cold_per_s": 22.0},
            {"name": "app", "cold_start_s": 0.0, "cold_per_s": 0.0},
            {"name": "old"},
        ]
        value = orjson.dumps({"version": 1, "routes": [], "services": services})
        found = decode_configuration(value).services
        self.assertEqual(ColdStartLimit(3.0, 22.0), found["llm"].cold_start_limit)
        self.assertEqual(
            (None, None), (found["app"].cold_start_limit, found["old"].cold_start_limit)
        )

    def test_rows_that_evacuate_a_zone(self) -> None:
        self.assertEqual("zone-a", evacuated_zone("evacuate/zone-a"))
        for key in ("config", "evacuate/", "evacuate", "x/evacuate/zone-a"):
            self.assertIsNone(evacuated_zone(key), key)
