"""Zones that the operator has evacuated, as rows of the configuration table.

A zone is evacuated as long as its row exists. Daemons read these rows from the store's feed, like
the configuration, and from each other while the store is unavailable.
"""

from __future__ import annotations

from collections.abc import Callable

from mountstand.store.rows import ABSENT
from mountstand.store.watch import TableChange
from mountstand.telemetry.decisions import DecisionLog


class ZoneEvacuations:
    """Tracks the set of evacuated zones.

    ``zone_of`` returns the zone in a row's key, or ``None`` if the row is not an evacuation.
    ``on_change`` is called with all evacuated zones whenever the set changes.
    """

    def __init__(
        self,
        zone_of: Callable[[str], str | None],
        log: DecisionLog,
        on_change: Callable[[frozenset[str]], None],
    ) -> None:
        self._zone_of = zone_of
        self._log = log
        self._on_change = on_change
        self._version_by_zone: dict[str, int] = {}
        self.zones: frozenset[str] = frozenset()

    def apply(self, change: TableChange) -> None:
        """Process changed rows of the configuration table, or all of its rows."""
        zones = set() if change.complete else set(self.zones)
        for row in change.rows:
            zone = self._zone_of(row.key.key)
            if zone is None:
                continue
            if not change.complete and row.version < self._version_by_zone.get(zone, ABSENT):
                continue
            self._version_by_zone[zone] = row.version
            if row.value is None:
                zones.discard(zone)
            else:
                zones.add(zone)
        if zones == self.zones:
            return
        for zone in sorted(zones ^ self.zones):
            self._log.event(
                "zone_evacuated" if zone in zones else "zone_returned",
                zone=zone,
                row_version=self._version_by_zone.get(zone),
            )
        self.zones = frozenset(zones)
        self._on_change(self.zones)
