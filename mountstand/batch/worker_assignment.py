"""Which workers' batch work this daemon runs."""

from __future__ import annotations

from mountstand.hashing import rendezvous_owner
from mountstand.membership.service import MembershipService
from mountstand.routing.router import Router
from mountstand.store.ports import Machine


class WorkerAssignment:
    """Each engine has one batch owner: by rendezvous over its zone's daemons, else over all."""

    def __init__(self, membership: MembershipService, router: Router) -> None:
        self._membership = membership
        self._router = router
        self._basis: tuple[frozenset[str], int] = (frozenset(), -1)
        self._found: list[Machine] = []

    def own_workers(self) -> list[Machine]:
        """Return the engines that this daemon is the batch owner of.

        Hashing every worker against every member is dear in a large fleet, so the answer is kept
        until members or machines change.
        """
        basis = (frozenset(self._membership.possible_owners()), self._router.version)
        if basis != self._basis:
            self._found = self._find()
            self._basis = basis
        return self._found

    def _find(self) -> list[Machine]:
        members = [m for m in self._membership.live_members() if m.may_own]
        all_ids = sorted(member.member_id for member in members)
        by_zone: dict[str, list[str]] = {}
        for member in members:
            by_zone.setdefault(member.zone, []).append(member.member_id)
        self_id = self._membership.self_id
        return [
            machine
            for machine in self._router.engines()
            if rendezvous_owner(machine.machine_id, by_zone.get(machine.zone, all_ids)) == self_id
        ]
