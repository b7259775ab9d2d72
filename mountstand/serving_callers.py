"""Which daemons callers are told to use, by what this one knows of the fleet."""

from __future__ import annotations

import random
from collections.abc import Callable

from mountstand.membership.caller_addresses import addresses_for, in_regions
from mountstand.membership.registry import DaemonRegistry, DaemonRow
from mountstand.serving.configuration import Configuration
from mountstand.serving.load_groups import peers_outside_zones, serving_daemons
from mountstand.serving.residency import Geography


class DaemonLocator:
    """Answers look-ups of callers.

    ``slots`` returns how many requests all workers run at once, ``evacuated_zones`` the zones that
    are out of use, ``geography`` the regions of zones.
    """

    def __init__(
        self,
        registry: DaemonRegistry,
        slots: Callable[[], int],
        evacuated_zones: Callable[[], frozenset[str]],
        geography: Callable[[], Geography],
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._slots = slots
        self._evacuated_zones = evacuated_zones
        self._geography = geography
        self._rng = rng

    def addresses(self, configuration: Configuration, host: str, zone: str) -> list[str]:
        """Return the addresses that a caller of ``host`` in ``zone`` may use."""
        serving = self.serving()
        regions = configuration.regions_for_host(host)
        if regions is not None:
            serving = in_regions(
                regions, zone, serving, self._registry.unsuspected(), self._geography()
            )
        return addresses_for(zone, serving, self._rng)

    def serving(self) -> list[DaemonRow]:
        """Return as few of the sound daemons as carry the load."""
        unsuspected = self._registry.unsuspected()
        peers = peers_outside_zones((row.as_peer() for row in unsuspected), self._evacuated_zones())
        serving = serving_daemons(peers, self._slots())
        return [row for row in unsuspected if row.name in serving]
