"""Ports for tests: not from the range of outgoing connections, and none given out twice."""

from __future__ import annotations

import contextlib
import subprocess
import sys

import orjson
from testtools import TestCase

from mountstand.lab.ports import first_outgoing_port, free_ports


class Ports(TestCase):
    def test_ports_cannot_be_taken_by_outgoing_connections(self) -> None:
        ports = free_ports(200)
        self.assertEqual(200, len(set(ports)))
        self.assertLess(max(ports), first_outgoing_port())

    def test_no_port_is_given_out_twice(self) -> None:
        self.assertEqual(set(), set(free_ports(50)) & set(free_ports(50)))


class TwoProcesses(TestCase):
    """Guards against two fleets with one port: the second to bind it ends with port_unavailable."""

    COUNT = 20
    DRAWING = f"""
import json, sys
from mountstand.lab import ports
ports._candidates = ports.candidates(0)
print(json.dumps(ports.free_ports({COUNT})), flush=True)
sys.stdin.read()
"""

    def draw(self, stack: contextlib.ExitStack) -> list[int]:
        """Return the ports that a new process draws, which lives until the end of ``stack``."""
        process = stack.enter_context(
            subprocess.Popen(
                [sys.executable, "-c", self.DRAWING], stdin=subprocess.PIPE, stdout=subprocess.PIPE
            )
        )
        assert process.stdin is not None and process.stdout is not None
        stack.callback(process.stdin.close)
        return list(orjson.loads(process.stdout.readline()))

    def test_a_port_is_drawn_by_one_of_them_while_it_lives(self) -> None:
        with contextlib.ExitStack() as stack:
            first, second = self.draw(stack), self.draw(stack)
        self.assertEqual((self.COUNT, self.COUNT), (len(first), len(second)))
        self.assertEqual(set(), set(first) & set(second))

    def test_ports_of_a_process_that_ended_are_drawn_again(self) -> None:
        drawn = []
        for _ in range(2):
            with contextlib.ExitStack() as stack:
                drawn.append(self.draw(stack))
        self.assertNotEqual(set(), set(drawn[0]) & set(drawn[1]))
