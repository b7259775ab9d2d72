"""Ports for tests: never from the range of outgoing connections, never the same twice."""

from __future__ import annotations

from testtools import TestCase

from mountstand.lab.ports import first_outgoing_port, free_ports


class Ports(TestCase):
    def test_ports_cannot_be_taken_by_outgoing_connections(self) -> None:
        ports = free_ports(200)
        self.assertEqual(200, len(set(ports)))
        self.assertLess(max(ports), first_outgoing_port())

    def test_no_port_is_given_out_twice(self) -> None:
        self.assertEqual(set(), set(free_ports(50)) & set(free_ports(50)))
