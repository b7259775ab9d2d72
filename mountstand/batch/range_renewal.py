"""Renews the leases of the ranges that an executor holds."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from mountstand.batch.held_range import HeldRange
from mountstand.batch.owner_client import OwnerClient
from mountstand.clock import elapsed_s
from mountstand.errors import PeerUnavailable
from mountstand.wire.messages import RangeKey, RenewedRanges, RenewRanges

DROP_AFTER_S = 20.0
"""A range whose owner cannot be found for so long is given up."""


class RangeRenewal:
    """Asks the owners of held ranges to renew them; ranges that are refused are dropped."""

    __slots__ = ("_drop", "_held_ranges", "_owners", "_self_id")

    def __init__(
        self,
        self_id: str,
        owners: OwnerClient,
        held_ranges: Callable[[], list[HeldRange]],
        drop: Callable[[str, int], None],
    ) -> None:
        self._self_id = self_id
        self._owners = owners
        self._held_ranges = held_ranges
        self._drop = drop

    def run(self) -> None:
        """Renew all held ranges once."""
        by_owner: dict[str, list[HeldRange]] = {}
        for held in self._held_ranges():
            by_owner.setdefault(held.owner_id, []).append(held)
        for owner_id, ranges in by_owner.items():
            self._renew_with(owner_id, ranges)

    def _renew_with(self, owner_id: str, ranges: list[HeldRange]) -> None:
        sent_s = elapsed_s()
        keys = tuple(held.grant.key for held in ranges)
        kept: set[RangeKey] = set()
        dropped: set[RangeKey] = set()
        with contextlib.suppress(PeerUnavailable):
            reply = self._owners.call(owner_id, RenewRanges(self._self_id, keys))
            assert isinstance(reply, RenewedRanges)
            kept, dropped = set(reply.keys), set(reply.dropped)
        for held in ranges:
            key = held.grant.key
            if key in kept:
                held.renewed_s = sent_s
            elif key in dropped or sent_s - held.renewed_s > DROP_AFTER_S:
                self._drop(key.job_key, key.range_index)
            else:
                held.owner_id = self._owners.find(key.job_key) or held.owner_id
