"""Tests of load groups: every daemon gets the sum of the fleet, at a cost linear in its size."""

from __future__ import annotations

import random
from collections import Counter

from testtools import TestCase

from mountstand.serving.load_groups import (
    DAEMON_CORES_PER_SLOT,
    TARGET_HEADS,
    Peer,
    assign_group,
    serving_daemons,
)
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import Scope
from tests.serving.test_routing import worker_record
from tests.stand_ins.digest_link import RecordingLink

ZONES = ("zone-a", "zone-b", "zone-c")


def peers(count: int) -> list[Peer]:
    """Return daemons spread evenly over three zones."""
    return [Peer(f"d{i}", ZONES[i % 3]) for i in range(count)]


class GroupAssignment(TestCase):
    def test_in_a_small_fleet_every_daemon_is_a_head(self) -> None:
        fleet = peers(TARGET_HEADS)
        groups = [assign_group(own, fleet) for own in fleet]
        self.assertEqual([own.member_id for own in fleet], [group.head for group in groups])
        self.assertEqual({len(fleet) - 1}, {len(group.other_heads) for group in groups})

    def test_daemons_agree_on_groups_that_do_not_span_zones(self) -> None:
        fleet = peers(90)
        group_by_id = {own.member_id: assign_group(own, fleet) for own in fleet}
        zone_by_id = {peer.member_id: peer.zone for peer in fleet}
        heads = {group.head for group in group_by_id.values()}
        self.assertLessEqual(len(heads), TARGET_HEADS + len(ZONES))
        for member_id, group in group_by_id.items():
            self.assertEqual(zone_by_id[member_id], zone_by_id[group.head])
            if group.head != member_id:
                self.assertIn(member_id, group_by_id[group.head].members)

    def test_a_daemon_without_peers_is_its_own_head(self) -> None:
        group = assign_group(Peer("d1", "zone-a"), ())
        self.assertEqual(("d1", (), ()), (group.head, group.members, group.other_heads))


class ServingDaemons(TestCase):
    """Callers are referred to as few daemons as can carry the load."""

    LARGE_CORES = 2.0
    SMALL_CORES = 0.5

    def fleet(self) -> list[Peer]:
        """Return 90 daemons, of which the first 24 have more cores than the others."""
        return [
            Peer(peer.member_id, peer.zone, self.LARGE_CORES if i < 24 else self.SMALL_CORES)
            for i, peer in enumerate(peers(90))
        ]

    def test_heads_are_the_daemons_with_the_most_cores(self) -> None:
        fleet = self.fleet()
        large = {peer.member_id for peer in fleet[:24]}
        heads = assign_group(fleet[40], fleet).heads
        self.assertLessEqual(heads, large)

    def test_in_a_small_fleet_all_daemons_serve(self) -> None:
        fleet = peers(TARGET_HEADS)
        self.assertEqual({peer.member_id for peer in fleet}, serving_daemons(fleet, 10))

    def test_only_heads_serve_while_they_can_carry_the_load(self) -> None:
        fleet = self.fleet()
        heads = assign_group(fleet[40], fleet).heads
        capacity_slots = int(len(heads) * self.LARGE_CORES / DAEMON_CORES_PER_SLOT)
        self.assertEqual(heads, serving_daemons(fleet, capacity_slots))
        self.assertLess(len(heads), len(serving_daemons(fleet, capacity_slots + 100)))

    def test_more_daemons_serve_as_slots_grow_until_all_do(self) -> None:
        fleet = self.fleet()
        counts = [len(serving_daemons(fleet, slots)) for slots in range(0, 3000, 100)]
        self.assertEqual(sorted(counts), counts)
        self.assertEqual(90, counts[-1])

    def test_every_zone_has_serving_daemons(self) -> None:
        fleet = self.fleet()
        zone_by_id = {peer.member_id: peer.zone for peer in fleet}
        zones = {zone_by_id[member] for member in serving_daemons(fleet, 600)}
        self.assertEqual(set(ZONES), zones)


class GossipFleet:
    """Daemons whose digests are delivered without delay or loss."""

    def __init__(self, count: int) -> None:
        self.link_by_id: dict[str, RecordingLink] = {}
        self.sharing_by_id: dict[str, LoadSharing] = {}
        self.directory_by_id: dict[str, WorkerDirectory] = {}
        self.fleet_digests: Counter[str] = Counter()
        for own in peers(count):
            directory = WorkerDirectory(own.zone, random.Random(1))
            directory.put(worker_record(0), 0.0)
            link = RecordingLink(*peers(count))
            self.directory_by_id[own.member_id] = directory
            self.link_by_id[own.member_id] = link
            self.sharing_by_id[own.member_id] = LoadSharing(directory, own, link)

    def run_period(self, now_s: float) -> int:
        """Run one digest period; return the number of datagrams sent."""
        for sharing in self.sharing_by_id.values():
            sharing.tick(now_s)
        datagrams = 0
        for sender, link in self.link_by_id.items():
            for digest, receivers in link.sent:
                datagrams += len(receivers)
                self.fleet_digests.update(receivers if digest.scope is Scope.FLEET else ())
                for receiver in receivers:
                    self.sharing_by_id[receiver].handle(sender, digest, now_s)
            link.sent.clear()
        return datagrams

    def online_counts(self) -> set[int]:
        """Return the distinct counts of online requests that the daemons have for the worker."""
        return {directory.workers["w0"].online for directory in self.directory_by_id.values()}


class FleetSums(TestCase):
    def run_fleet(self, count: int) -> tuple[set[int], int]:
        """Return the counts of online requests, and the most datagrams sent in a period."""
        fleet = GossipFleet(count)
        for directory in fleet.directory_by_id.values():
            directory.workers["w0"].in_flight = 1
        datagrams = max(fleet.run_period(0.1 * i) for i in range(6))
        return fleet.online_counts(), datagrams

    def test_every_daemon_gets_the_sum_of_the_fleet(self) -> None:
        for count in (1, 2, 11, 13, 90):
            online, _ = self.run_fleet(count)
            self.assertEqual({count}, online, f"{count} daemons")

    def test_serving_heads_know_of_a_request_after_one_digest(self) -> None:
        fleet = GossipFleet(90)
        fleet.run_period(0.0)
        heads = fleet.sharing_by_id["d0"].group.heads
        for head in heads:
            fleet.directory_by_id[head].workers["w0"].in_flight = 1
        fleet.run_period(0.1)
        for head in heads:
            self.assertEqual(len(heads), fleet.directory_by_id[head].workers["w0"].online)
            self.assertEqual(1, fleet.sharing_by_id[head].hops)

    def test_digests_take_three_hops_if_members_serve_too(self) -> None:
        fleet = GossipFleet(90)
        for sharing in fleet.sharing_by_id.values():
            directory = sharing._directory
            directory.put(worker_record(1, slots=10_000), 0.0)
        fleet.run_period(0.0)
        self.assertEqual({3}, {sharing.hops for sharing in fleet.sharing_by_id.values()})

    def test_number_of_datagrams_is_linear_in_the_fleet_size(self) -> None:
        """Per period, heads form a full mesh, and each member sends and receives one digest."""
        heads_by_count = {}
        sent_by_count = {}
        for count in (90, 360):
            heads = len(assign_group(peers(count)[0], peers(count)).heads)
            _, sent_by_count[count] = self.run_fleet(count)
            self.assertLessEqual(sent_by_count[count], heads * (heads - 1) + 2 * (count - heads))
            heads_by_count[count] = heads
        self.assertLessEqual(max(heads_by_count.values()), TARGET_HEADS + len(ZONES))
        self.assertLess(sent_by_count[90], 5 * 90)
        self.assertLess(sent_by_count[360], 3 * 360)

    def test_idle_members_get_fewer_fleet_digests_than_busy_ones(self) -> None:
        fleet = GossipFleet(90)
        fleet.run_period(0.0)
        heads = fleet.sharing_by_id["d0"].group.heads
        busy, idle = sorted(set(fleet.sharing_by_id) - heads)[:2]
        fleet.directory_by_id[busy].workers["w0"].in_flight = 1
        fleet.fleet_digests.clear()
        for i in range(1, 13):
            fleet.run_period(0.1 * i)
        digests = fleet.fleet_digests
        self.assertGreater(digests[busy], 2 * digests[idle])
        self.assertGreater(digests[idle], 0)
        self.assertEqual(3, fleet.sharing_by_id[busy].hops)
        self.assertGreater(fleet.sharing_by_id[idle].hops, 3)

    def test_load_of_a_stopped_daemon_expires(self) -> None:
        fleet = GossipFleet(30)
        stopped = "d7"
        for directory in fleet.directory_by_id.values():
            directory.workers["w0"].in_flight = 1
        for i in range(6):
            fleet.run_period(0.1 * i)
        stopped_sharing = fleet.sharing_by_id.pop(stopped)
        del fleet.link_by_id[stopped], fleet.directory_by_id[stopped]
        for link in fleet.link_by_id.values():
            link.peers_now = [peer for peer in link.peers_now if peer.member_id != stopped]
        for i in range(40):
            fleet.run_period(1.0 + stopped_sharing.period_s * i)
        self.assertEqual({29}, fleet.online_counts())
