"""Look-ups by callers of the daemons to connect to."""

from __future__ import annotations

import random
from collections.abc import Callable

from mountstand.membership.caller_addresses import addresses_for, in_regions
from mountstand.membership.registry import DaemonRegistry, DaemonRow
from mountstand.serving.configuration import Configuration
from mountstand.serving.load_groups import peers_outside_zones, serving_daemons
from mountstand.serving.residency import Geography


class DaemonLocator:
    """Selects the daemons that callers are referred to, from this daemon's view of the fleet.

    ``total_slots`` returns the number of slots of all workers, ``evacuated_zones`` the zones that
    the operator has evacuated, and ``geography`` the region of each zone.
    """

    def __init__(
        self,
        registry: DaemonRegistry,
        total_slots: Callable[[], int],
        evacuated_zones: Callable[[], frozenset[str]],
        geography: Callable[[], Geography],
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._total_slots = total_slots
        self._evacuated_zones = evacuated_zones
        self._geography = geography
        self._rng = rng

    def addresses(self, configuration: Configuration, host: str, zone: str) -> list[str]:
        """Return the addresses for a caller in ``zone`` that sends requests to ``host``.

        If routes of ``host`` or any tenant are restricted to regions, daemons in the caller's own
        region are preferred, then those in regions that the routes allow. If there are none, all
        serving daemons are returned.
        """
        serving = self.serving()
        regions = configuration.regions_for_host(host)
        if regions is not None:
            serving = in_regions(
                regions, zone, serving, self._registry.unsuspected(), self._geography()
            )
        return addresses_for(zone, serving, self._rng)

    def serving(self) -> list[DaemonRow]:
        """Return the daemons to refer callers to: as many as the workers' slots need.

        Daemons suspected of having failed are left out, unless most daemons are suspected.
        """
        unsuspected = self._registry.unsuspected()
        peers = peers_outside_zones((row.as_peer() for row in unsuspected), self._evacuated_zones())
        serving = serving_daemons(peers, self._total_slots())
        return [row for row in unsuspected if row.name in serving]
