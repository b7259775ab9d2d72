"""Rows of daemons, jobs and machines that another writer left: the others hold."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

import orjson
from testtools import TestCase

from mountstand.errors import StoreUnavailable
from mountstand.jobs.repository import HEADS_TABLE
from mountstand.membership.registry import DAEMONS, DaemonRegistry, DaemonRow
from mountstand.store.http_adapters import HttpMachineList
from mountstand.store.memory_rows import MemoryRowStore
from mountstand.store.rows import RowKey, StoredRow
from mountstand.store.watch import TableChange
from tests.jobs.test_jobs import BATCH, Daemon
from tests.stand_ins.harness import Fleet, RecordingLog, run

OWN = DaemonRow("d1", "t", "10.0.0.1:80", "10.0.0.1", 7, "a")
ODD_VALUES = (b"", b"[]", b"null", b"{}", b"\xff", b"[" * 5000, b'{"token": 5}')
MACHINE = {"role": "engine", "address": "10.0.0.9", "port": 80, "zone": "a"}


def daemon_row(name: str, **changes: Any) -> StoredRow:
    fields = {**orjson.loads(OWN.encode()), **changes}
    return StoredRow(RowKey(DAEMONS, "", name), 5, orjson.dumps(fields))


class Daemons(TestCase):
    def names(self, *rows: StoredRow) -> set[str]:
        """Return the names of the daemons that are known after these rows."""
        registry = DaemonRegistry(MemoryRowStore(), OWN, RecordingLog(), lambda: None)
        registry.apply(TableChange(list(rows), complete=True))
        return {row.name for row in registry.listed()}

    def test_odd_row_of_a_daemon_is_passed_over(self) -> None:
        """Guards against a list of daemons that is not followed any more for one odd row."""
        odd = [
            daemon_row("odd", gossip_port=65_536),
            daemon_row("odd", gossip_port="7"),
            daemon_row("odd", address="10.0.0"),
            daemon_row("odd", control_address="10.0.0.1"),
            *(StoredRow(RowKey(DAEMONS, "", "odd"), 6, value) for value in ODD_VALUES),
        ]
        for row in odd:
            with self.subTest(row.value):
                self.assertEqual({"d1", "d2"}, self.names(row, daemon_row("d2")))

    def test_field_of_a_later_version_is_passed_over(self) -> None:
        """Guards against daemons that do not find those of the next version."""
        self.assertEqual({"d1", "d2"}, self.names(daemon_row("d2", later="x")))


class Jobs(TestCase):
    def test_odd_head_of_a_job_is_passed_over(self) -> None:
        """Guards against jobs that nobody runs since one odd head stands among theirs."""

        async def scenario() -> None:
            fleet = Fleet()
            daemon = Daemon("d1", MemoryRowStore(), fleet, set())
            daemon.route = BATCH
            rows = [StoredRow(RowKey(HEADS_TABLE, "0", "odd"), 5, value) for value in ODD_VALUES]
            daemon.jobs.apply(TableChange(rows, complete=True))
            self.assertEqual(len(ODD_VALUES), len(fleet.log.lines("job_unreadable")))
            await asyncio.sleep(0)

        run(scenario())


class Machines(TestCase):
    def read(self, *records: Any) -> list[str]:
        machine_list = HttpMachineList("http://127.0.0.1:1")
        answer = Mock(status=200, data=orjson.dumps({"machines": records}), headers={})
        machine_list._client.call = Mock(return_value=answer)  # type: ignore[method-assign]
        return [machine.machine_id for machine in machine_list.machines()]

    def test_odd_machine_is_passed_over(self) -> None:
        """Guards against a list of machines that is refused whole for one odd entry."""
        good = {**MACHINE, "machine_id": "m1"}
        for odd in (None, 5, [], {}, {**good, "port": 65_536}, {**good, "role": "x"}):
            with self.subTest(odd):
                self.assertEqual(["m1"], self.read(odd, good))

    def test_list_of_which_nothing_can_be_read_is_refused(self) -> None:
        """Guards against all machines taken as gone where the list has changed its form."""
        self.assertRaises(StoreUnavailable, self.read, {}, {})
        self.assertEqual([], self.read())
