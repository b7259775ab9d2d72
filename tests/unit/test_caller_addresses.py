"""Callers are told of at most as many daemons as they use, and all daemons get work."""

from __future__ import annotations

import random
from collections import Counter

from testtools import TestCase

from mountstand.membership.caller_addresses import (
    MOST_ADDRESSES,
    NEAR_ADDRESSES,
    addresses_for,
)
from mountstand.membership.registry import DaemonRow

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e")


def daemons(per_zone: int) -> list[DaemonRow]:
    """Return daemons in the order of their names, so zone by zone."""
    return [
        DaemonRow(f"front-{zone}-{number}", "t", f"{zone}:{number}", "127.0.0.1", 1, zone)
        for zone in ZONES
        for number in range(per_zone)
    ]


class Addresses(TestCase):
    def draw(self, zone: str, per_zone: int, seed: int = 1) -> list[str]:
        return addresses_for(zone, daemons(per_zone), random.Random(seed))

    def test_a_small_fleet_is_listed_whole(self) -> None:
        self.assertEqual(60, len(self.draw("zone-a", 12)))

    def test_a_large_fleet_is_drawn_within_what_callers_use(self) -> None:
        drawn = self.draw("zone-b", 39)
        self.assertEqual(MOST_ADDRESSES, len(set(drawn)))

    def test_all_daemons_get_work_from_callers_everywhere(self) -> None:
        """Found on 195 machines: the first 64 by name got all requests."""
        counts = Counter(
            address
            for seed in range(200)
            for zone in ZONES
            for address in self.draw(zone, per_zone=39, seed=seed)
        )
        self.assertEqual(195, len(counts))
        self.assertLess(max(counts.values()), 1.5 * min(counts.values()))

    def test_the_callers_zone_comes_first_but_not_alone(self) -> None:
        zones = Counter(address.partition(":")[0] for address in self.draw("zone-c", 60))
        self.assertEqual(NEAR_ADDRESSES, zones["zone-c"])
        self.assertEqual(set(ZONES), set(zones))

    def test_a_caller_of_an_unknown_zone_gets_a_draw_of_all(self) -> None:
        zones = Counter(address.partition(":")[0] for address in self.draw("", 39))
        self.assertEqual((MOST_ADDRESSES, len(ZONES)), (sum(zones.values()), len(zones)))
