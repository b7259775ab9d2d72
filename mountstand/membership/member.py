"""Members of the fleet of daemons and the order of what is said about them."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

from mountstand.wire.gossip import MemberUpdate

RESTART_MS = 100
"""A process that starts again has an incarnation this much higher, since incarnations begin at the
time of the start in milliseconds; within one life they rise by one at a time."""


class MemberState(IntEnum):
    """State of a member; at one incarnation the higher number wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True)
class Member:
    """One daemon as others know it.

    ``incarnation`` starts at the process's start time in milliseconds, so that a restart at the
    same address outranks all that was said of the process before.
    """

    member_id: str
    address: str
    port: int
    zone: str
    incarnation: int
    state: MemberState = MemberState.ALIVE

    @property
    def is_live(self) -> bool:
        """Whether the member may be talked to."""
        return self.state <= MemberState.SUSPECT

    @property
    def may_own(self) -> bool:
        """Whether the member may be given ownership."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def outranks(self, other: Member) -> bool:
        """Return whether this statement replaces ``other``."""
        return (self.incarnation, self.state) > (other.incarnation, other.state)

    def with_state(self, state: MemberState) -> Member:
        """Return the member in another state at the same incarnation."""
        return replace(self, state=state)

    def to_update(self) -> MemberUpdate:
        """Return the wire form."""
        return MemberUpdate(
            self.member_id,
            self.address,
            self.port,
            self.zone,
            self.incarnation,
            int(self.state),
        )


def member_from_update(update: MemberUpdate) -> Member:
    """Return the member that ``update`` describes; raises ``ValueError`` for an unknown state."""
    return Member(
        update.member_id,
        update.address,
        update.port,
        update.zone,
        update.incarnation,
        MemberState(update.state),
    )
