"""Digests through group heads: what each daemon learns, and what that costs as the fleet grows."""

from __future__ import annotations

import random
from collections import Counter

from testtools import TestCase

from mountstand.serving.load_groups import (
    CORES_PER_SLOT,
    MOST_HEADS,
    Peer,
    group_of,
    serving_daemons,
)
from mountstand.serving.load_sharing import LoadSharing
from mountstand.serving.workers import WorkerDirectory
from mountstand.wire.gossip import Scope
from tests.serving.test_routing import worker_record
from tests.stand_ins.digest_link import RecordingLink

ZONES = ("zone-a", "zone-b", "zone-c")


def peers(count: int) -> list[Peer]:
    """Return daemons spread over three zones."""
    return [Peer(f"d{i}", ZONES[i % 3]) for i in range(count)]


class Groups(TestCase):
    def test_a_small_fleet_has_heads_alone(self) -> None:
        fleet = peers(MOST_HEADS)
        groups = [group_of(own, fleet) for own in fleet]
        self.assertEqual([own.member_id for own in fleet], [group.head for group in groups])
        self.assertEqual({len(fleet) - 1}, {len(group.other_heads) for group in groups})

    def test_all_daemons_agree_and_groups_keep_to_a_zone(self) -> None:
        fleet = peers(90)
        group_by_id = {own.member_id: group_of(own, fleet) for own in fleet}
        zone_by_id = {peer.member_id: peer.zone for peer in fleet}
        heads = {group.head for group in group_by_id.values()}
        self.assertLessEqual(len(heads), MOST_HEADS + len(ZONES))
        for member_id, group in group_by_id.items():
            self.assertEqual(zone_by_id[member_id], zone_by_id[group.head])
            if group.head != member_id:
                self.assertIn(member_id, group_by_id[group.head].members)

    def test_a_daemon_that_knows_nobody_is_its_own_head(self) -> None:
        group = group_of(Peer("d1", "zone-a"), ())
        self.assertEqual(("d1", (), ()), (group.head, group.members, group.other_heads))


class ServingMembers(TestCase):
    """Callers are told of as few daemons as carry the load."""

    LARGE_CORES = 2.0
    SMALL_CORES = 0.5

    def fleet(self) -> list[Peer]:
        """Return 90 daemons, of which the first 24 have large machines."""
        return [
            Peer(peer.member_id, peer.zone, self.LARGE_CORES if i < 24 else self.SMALL_CORES)
            for i, peer in enumerate(peers(90))
        ]

    def test_heads_are_the_machines_with_the_most_processor(self) -> None:
        fleet = self.fleet()
        large = {peer.member_id for peer in fleet[:24]}
        heads = group_of(fleet[40], fleet).heads
        self.assertLessEqual(heads, large)

    def test_a_small_fleet_serves_whole(self) -> None:
        fleet = peers(MOST_HEADS)
        self.assertEqual({peer.member_id for peer in fleet}, serving_daemons(fleet, 10))

    def test_heads_serve_alone_while_they_carry_the_load(self) -> None:
        fleet = self.fleet()
        heads = group_of(fleet[40], fleet).heads
        carried = int(len(heads) * self.LARGE_CORES / CORES_PER_SLOT)
        self.assertEqual(heads, serving_daemons(fleet, carried))
        self.assertLess(len(heads), len(serving_daemons(fleet, carried + 100)))

    def test_more_serve_as_the_workers_are_more_and_all_in_the_end(self) -> None:
        fleet = self.fleet()
        counts = [len(serving_daemons(fleet, slots)) for slots in range(0, 3000, 100)]
        self.assertEqual(sorted(counts), counts)
        self.assertEqual(90, counts[-1])

    def test_every_zone_serves(self) -> None:
        fleet = self.fleet()
        zone_by_id = {peer.member_id: peer.zone for peer in fleet}
        zones = {zone_by_id[member] for member in serving_daemons(fleet, 600)}
        self.assertEqual(set(ZONES), zones)


class Fleet:
    """Daemons whose digests arrive at once."""

    def __init__(self, count: int) -> None:
        self.link_by_id: dict[str, RecordingLink] = {}
        self.sharing_by_id: dict[str, LoadSharing] = {}
        self.directory_by_id: dict[str, WorkerDirectory] = {}
        self.told: Counter[str] = Counter()
        for own in peers(count):
            directory = WorkerDirectory(own.zone, random.Random(1))
            directory.put(worker_record(0), 0.0)
            link = RecordingLink(*peers(count))
            self.directory_by_id[own.member_id] = directory
            self.link_by_id[own.member_id] = link
            self.sharing_by_id[own.member_id] = LoadSharing(directory, own, link)

    def period(self, now_s: float) -> int:
        """Let every daemon tick once; returns the datagrams sent."""
        for sharing in self.sharing_by_id.values():
            sharing.tick(now_s)
        datagrams = 0
        for sender, link in self.link_by_id.items():
            for digest, receivers in link.sent:
                datagrams += len(receivers)
                self.told.update(receivers if digest.scope is Scope.FLEET else ())
                for receiver in receivers:
                    self.sharing_by_id[receiver].handle(sender, digest, now_s)
            link.sent.clear()
        return datagrams

    def online(self) -> set[int]:
        """Return what the daemons believe all have in flight at the one worker."""
        return {directory.workers["w0"].online for directory in self.directory_by_id.values()}


class Sums(TestCase):
    def told(self, count: int) -> tuple[set[int], int]:
        fleet = Fleet(count)
        for directory in fleet.directory_by_id.values():
            directory.workers["w0"].in_flight = 1
        datagrams = max(fleet.period(0.1 * i) for i in range(6))
        return fleet.online(), datagrams

    def test_every_daemon_learns_the_whole_sum(self) -> None:
        for count in (1, 2, 11, 13, 90):
            online, _ = self.told(count)
            self.assertEqual({count}, online, f"{count} daemons")

    def test_heads_that_serve_alone_know_of_a_request_after_one_digest(self) -> None:
        fleet = Fleet(90)
        fleet.period(0.0)
        heads = fleet.sharing_by_id["d0"].group.heads
        for head in heads:
            fleet.directory_by_id[head].workers["w0"].in_flight = 1
        fleet.period(0.1)
        for head in heads:
            self.assertEqual(len(heads), fleet.directory_by_id[head].workers["w0"].online)
            self.assertEqual(1, fleet.sharing_by_id[head].hops)

    def test_word_takes_longer_where_others_serve_too(self) -> None:
        fleet = Fleet(90)
        for sharing in fleet.sharing_by_id.values():
            directory = sharing._directory
            directory.put(worker_record(1, slots=10_000), 0.0)
        fleet.period(0.0)
        self.assertEqual({3}, {sharing.hops for sharing in fleet.sharing_by_id.values()})

    def test_datagrams_grow_with_the_fleet_and_not_with_its_square(self) -> None:
        """Heads tell each other, and each member is told and tells once: nothing else is sent."""
        heads_by_count = {}
        sent_by_count = {}
        for count in (90, 360):
            heads = len(group_of(peers(count)[0], peers(count)).heads)
            _, sent_by_count[count] = self.told(count)
            self.assertLessEqual(sent_by_count[count], heads * (heads - 1) + 2 * (count - heads))
            heads_by_count[count] = heads
        self.assertLessEqual(max(heads_by_count.values()), MOST_HEADS + len(ZONES))
        self.assertLess(sent_by_count[90], 5 * 90)
        self.assertLess(sent_by_count[360], 3 * 360)

    def test_idle_members_are_told_seldom_and_busy_ones_in_each_period(self) -> None:
        fleet = Fleet(90)
        fleet.period(0.0)
        heads = fleet.sharing_by_id["d0"].group.heads
        busy, idle = sorted(set(fleet.sharing_by_id) - heads)[:2]
        fleet.directory_by_id[busy].workers["w0"].in_flight = 1
        fleet.told.clear()
        for i in range(1, 13):
            fleet.period(0.1 * i)
        told = fleet.told
        self.assertGreater(told[busy], 2 * told[idle])
        self.assertGreater(told[idle], 0)
        self.assertEqual(3, fleet.sharing_by_id[busy].hops)
        self.assertGreater(fleet.sharing_by_id[idle].hops, 3)

    def test_a_daemon_that_fell_silent_is_taken_off(self) -> None:
        fleet = Fleet(30)
        silent = "d7"
        for directory in fleet.directory_by_id.values():
            directory.workers["w0"].in_flight = 1
        for i in range(6):
            fleet.period(0.1 * i)
        gone = fleet.sharing_by_id.pop(silent)
        del fleet.link_by_id[silent], fleet.directory_by_id[silent]
        for link in fleet.link_by_id.values():
            link.peers_now = [peer for peer in link.peers_now if peer.member_id != silent]
        for i in range(40):
            fleet.period(1.0 + gone.period_s * i)
        self.assertEqual({29}, fleet.online())
