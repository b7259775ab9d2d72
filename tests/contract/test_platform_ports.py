"""The table and object ports: the in-memory truth and the HTTP adapter under faults, by tables."""

from __future__ import annotations

from testtools import TestCase

from mountstand.emulator.host import EmulatorHost, Listener
from mountstand.emulator.platform_apps import MachinesApp, ObjectsApp, TableApp
from mountstand.errors import (
    Executed,
    NotFound,
    StoreThrottled,
    StoreUnavailable,
    WriteConflict,
    WriteOutcomeUnknown,
)
from mountstand.lab.ports import LOOPBACK, free_ports
from mountstand.store.http_adapters import HttpMachineList, HttpObjects, HttpTable
from mountstand.store.memory_table import MemoryTable
from mountstand.store.ports import Condition, Machine, MachineRole, Put, TablePort, Transaction


def put(key: str, number: int, version: int | None = None, write_id: str = "w") -> Transaction:
    """Return a write of one row, conditional when a version is given."""
    conditions = [] if version is None else [Condition(key=key, version=version)]
    return Transaction(
        write_id=write_id, conditions=conditions, puts=[Put(key=key, value={"n": number})]
    )


class PortsOverHttp(TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        table_port, objects_port, machines_port, cls.closed_port = free_ports(4)
        cls.table_app, cls.objects_app = TableApp(), ObjectsApp()
        cls.machines_app = MachinesApp(lag_s=0.0)
        cls.host = EmulatorHost(
            [
                Listener(cls.table_app.build(), LOOPBACK, table_port),
                Listener(cls.objects_app.build(), LOOPBACK, objects_port),
                Listener(cls.machines_app.build(), LOOPBACK, machines_port),
            ]
        )
        cls.host.start()
        cls.addClassCleanup(cls.host.stop)
        cls.table = HttpTable(f"http://{LOOPBACK}:{table_port}", timeout_s=0.5)
        cls.objects = HttpObjects(f"http://{LOOPBACK}:{objects_port}", timeout_s=0.5)
        cls.machine_list = HttpMachineList(f"http://{LOOPBACK}:{machines_port}")

    def setUp(self) -> None:
        super().setUp()
        self.table_app.table.rows.clear()
        self.addCleanup(self.set_faults)

    def set_faults(self, **plan) -> None:
        for app in (self.table_app, self.objects_app):
            app.faults.plan = app.faults.plan.__class__(**plan)

    def tables(self) -> list[TablePort]:
        return [MemoryTable(), self.table]

    def test_conditions(self) -> None:
        for table in self.tables():
            first = table.commit(put("a", 1, 0)).version
            cases = [("absent", 0), ("older", first - 1), ("newer", first + 1)]
            for name, version in cases:
                if version != first:
                    self.assertRaises(WriteConflict, table.commit, put("a", 2, version))
                self.assertEqual({"n": 1}, table.read("a").rows[0].value, name)
            second = table.commit(put("a", 2, first)).version
            self.assertTrue(second > first)

    def test_a_transaction_is_whole_or_nothing(self) -> None:
        for table in self.tables():
            table.commit(put("a", 1))
            both = Transaction(
                write_id="x",
                conditions=[Condition(key="a", version=999_999)],
                puts=[Put(key="b", value={}), Put(key="a", value={})],
                deletes=["a"],
            )
            self.assertRaises(WriteConflict, table.commit, both)
            self.assertEqual(
                [("a", {"n": 1})], [(row.key, row.value) for row in table.read("a", "b").rows]
            )

    def test_prefix_reads_are_ordered_and_deletes_remove(self) -> None:
        for table in self.tables():
            for key in ("p/2", "p/1", "q/1"):
                table.commit(put(key, 1))
            keys = [row.key for row in table.read(prefixes=("p/",)).rows]
            self.assertEqual(["p/1", "p/2"], keys)
            table.commit(Transaction(write_id="d", deletes=["p/1"]))
            self.assertEqual(["p/2"], [r.key for r in table.read(prefixes=("p/",)).rows])

    def test_table_faults(self) -> None:
        cases = [
            (
                "lost answer",
                {"lose_answer_share": 1.0},
                WriteOutcomeUnknown,
                Executed.UNKNOWN,
                True,
            ),
            ("refused", {"refuse_share": 1.0}, StoreThrottled, Executed.NO, False),
            ("too slow", {"delay_s": 1.5}, WriteOutcomeUnknown, Executed.UNKNOWN, None),
        ]
        for number, (name, plan, kind, executed, written) in enumerate(cases):
            key = f"row-{number}"
            self.set_faults(**plan)
            error = self.assertRaises(kind, self.table.commit, put(key, 1, 0))
            self.set_faults()
            self.assertEqual(executed, error.executed, name)
            if written is not None:
                self.assertEqual(written, bool(self.table.read(key).rows), name)

    def test_an_outage_of_a_read_is_no_unknown_write(self) -> None:
        self.set_faults(outage=True)
        error = self.assertRaises(StoreUnavailable, self.table.read, "a")
        self.assertEqual(Executed.NO, error.executed)
        self.assertNotIsInstance(error, WriteOutcomeUnknown)

    def assertNotIsInstance(self, value, kind) -> None:  # noqa: N802
        self.assertFalse(isinstance(value, kind), value)

    def test_a_closed_port_writes_nothing(self) -> None:
        closed = HttpTable(f"http://{LOOPBACK}:{self.closed_port}", timeout_s=0.5)
        error = self.assertRaises(StoreUnavailable, closed.commit, put("a", 1))
        self.assertEqual(Executed.NO, error.executed)

    def test_objects(self) -> None:
        self.objects.put("a/b", b"body")
        self.assertEqual(b"body", self.objects.get("a/b"))
        self.objects.delete("a/b")
        self.assertRaises(NotFound, self.objects.get, "a/b")
        for plan in ({"outage": True}, {"lose_answer_share": 1.0}, {"refuse_share": 1.0}):
            self.set_faults(**plan)
            self.assertRaises(StoreUnavailable, self.objects.put, "c", b"")
            self.assertRaises(StoreUnavailable, self.objects.get, "c")
            self.set_faults()

    def test_an_unchanged_machine_list_is_not_sent_again(self) -> None:
        machine = Machine(
            machine_id="m", role=MachineRole.ENGINE, address=LOOPBACK, port=1, zone="z", service="s"
        )
        self.machines_app.put(machine)
        first = self.machine_list.machines()
        self.assertEqual([machine], first)
        self.assertIs(first, self.machine_list.machines())
        self.machines_app.put(machine.model_copy(update={"machine_id": "n"}))
        self.assertEqual(2, len(self.machine_list.machines()))
