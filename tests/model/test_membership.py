"""Failure detection over a simulated network in virtual time: loss, partition, pause, restart."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from testtools import TestCase

from mountstand.membership.member import Member, MemberState
from mountstand.membership.state import (
    Instruction,
    MembershipConfig,
    MembershipState,
    SendMessage,
)
from mountstand.wire.gossip import GossipMessage as Message

PERIOD_S = 0.5
TICK_S = 0.1


class Network:
    """Members on one virtual clock; ``reaches`` decides which messages arrive."""

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.now_s = 0.0
        self.paused: set[str] = set()
        self.reaches: Callable[[str, str], bool] = lambda sender, receiver: True
        self.messages = 0
        self._queue: list[tuple[float, int, str, str, Message]] = []
        self._sequence = itertools.count()
        self.nodes: dict[str, MembershipState] = {}
        for n in range(size):
            self.start(f"d{n}", incarnation=1)

    def start(self, member_id: str, incarnation: int) -> None:
        member = Member(member_id, "127.0.0.1", 1, "zone", incarnation)
        config = MembershipConfig(PERIOD_S, 3)
        node = MembershipState(member, config, random.Random(self.random.random()))
        seeds = [other.self_member for other in self.nodes.values()]
        self.nodes[member_id] = node
        self.carry_out(member_id, node.handle_seeds(seeds, self.now_s))

    def carry_out(self, sender: str, instructions: list[Instruction]) -> None:
        for instruction in instructions:
            if not isinstance(instruction, SendMessage):
                continue
            self.messages += 1
            receiver = instruction.member.member_id
            if self.random.random() < self.loss or not self.reaches(sender, receiver):
                continue
            arrives_s = self.now_s + self.random.uniform(0.001, 0.05)
            entry = (arrives_s, next(self._sequence), sender, receiver, instruction.message)
            heapq.heappush(self._queue, entry)

    def run(self, seconds: float) -> None:
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s += TICK_S
            while self._queue and self._queue[0][0] <= self.now_s:
                _, _, sender, receiver, message = heapq.heappop(self._queue)
                if receiver in self.nodes and receiver not in self.paused:
                    node = self.nodes[receiver]
                    self.carry_out(receiver, node.handle_message(sender, message, self.now_s))
            for member_id, node in self.nodes.items():
                if member_id not in self.paused:
                    self.carry_out(member_id, node.handle_tick(self.now_s))
                    node.validate_state()

    def views(self) -> dict[str, set[str]]:
        """Return, by member that runs, which members it believes may own work."""
        return {
            member_id: set(node.possible_owners())
            for member_id, node in self.nodes.items()
            if member_id not in self.paused
        }


class Membership(TestCase):
    def assert_agreed(self, network: Network, expected: set[str]) -> None:
        for member_id, view in network.views().items():
            self.assertEqual(expected, view, member_id)

    def test_members_find_each_other_from_seeds(self) -> None:
        network = Network(20, seed=1)
        network.run(15)
        self.assert_agreed(network, set(network.nodes))

    def test_a_dead_member_is_found_and_its_restart_outranks_its_death(self) -> None:
        network = Network(10, seed=2)
        network.run(8)
        del network.nodes["d3"]
        network.run(10)
        self.assert_agreed(network, set(network.nodes))
        network.start("d3", incarnation=2)
        network.run(10)
        self.assert_agreed(network, set(network.nodes))

    def test_a_restart_at_an_earlier_time_of_day_is_taken_as_alive(self) -> None:
        """Incarnations begin at the time of day, which steps back on some machines."""
        for state in (MemberState.LEAVING, None):
            with self.subTest(state):
                network = Network(10, seed=9)
                network.run(8)
                del network.nodes["d3"]
                network.start("d3", incarnation=5000)
                network.run(8)
                if state is not None:
                    node = network.nodes["d3"]
                    network.carry_out("d3", node.leave(state, network.now_s))
                    network.run(4)
                del network.nodes["d3"]
                network.run(10)
                network.start("d3", incarnation=3000)
                network.run(20)
                self.assert_agreed(network, set(network.nodes))

    def test_loss_alone_kills_nobody_for_long(self) -> None:
        network = Network(12, seed=3, loss=0.2)
        network.run(60)
        network.loss = 0.0
        network.run(20)
        self.assert_agreed(network, set(network.nodes))

    def test_a_paused_member_is_declared_dead_and_comes_back(self) -> None:
        network = Network(8, seed=4)
        network.run(8)
        network.paused.add("d1")
        network.run(10)
        self.assert_agreed(network, set(network.nodes) - {"d1"})
        network.paused.clear()
        network.run(20)
        self.assert_agreed(network, set(network.nodes))

    def test_a_partition_heals(self) -> None:
        network = Network(10, seed=5)
        network.run(8)
        left = {f"d{n}" for n in range(4)}
        network.reaches = lambda sender, receiver: (sender in left) == (receiver in left)
        network.run(15)
        for member_id, view in network.views().items():
            side = left if member_id in left else set(network.nodes) - left
            self.assertEqual(side, view, member_id)
        network.reaches = lambda sender, receiver: True
        network.run(60)
        self.assert_agreed(network, set(network.nodes))

    def test_one_bad_link_kills_nobody(self) -> None:
        network = Network(8, seed=6)
        network.run(8)
        network.reaches = lambda sender, receiver: {sender, receiver} != {"d0", "d1"}
        network.run(40)
        self.assert_agreed(network, set(network.nodes))

    def test_a_leaving_member_owns_nothing_but_is_still_live(self) -> None:
        network = Network(6, seed=7)
        network.run(8)
        node = network.nodes["d2"]
        network.carry_out("d2", node.leave(MemberState.LEAVING, network.now_s))
        network.run(8)
        self.assert_agreed(network, set(network.nodes) - {"d2"})
        live = {member.member_id for member in network.nodes["d0"].live_members()}
        self.assertIn("d2", live)

    def test_cost_per_member_does_not_grow_with_the_fleet(self) -> None:
        rates = []
        for size in (10, 80):
            network = Network(size, seed=8)
            network.run(10)
            network.messages = 0
            network.run(20)
            rates.append(network.messages / size / 20)
        self.assertTrue(rates[1] < 1.5 * rates[0], rates)
