"""Membership as a pure state machine, after SWIM (Das, Gupta and Motivala, 2002).

Every period a daemon pings one member; without an answer in half a period it asks three others to
ping it, and without an answer in a whole one it spreads a suspicion. A suspected member refutes by
raising its incarnation; one that does not is declared dead. Messages carry a bounded number of
member updates, so the cost per daemon does not grow with the fleet.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from mountstand.membership.member import Member, MemberState, member_from_update
from mountstand.wire.gossip import Ack, GossipMessage, MemberUpdate, Ping, PingRequest

INDIRECT_PROBES = 3
MAX_UPDATES_PER_MESSAGE = 8
"""About 50 bytes each; a message stays well within one datagram of 1,200 bytes."""

SPREAD_FACTOR = 3
"""An update rides on this many messages times log2 of the fleet's size."""

TOMBSTONE_PERIODS = 240
"""How long a member that is gone is remembered, so that late updates do not revive it."""

REVIVAL_PERIODS = 8
"""Every so many periods one member that is gone is pinged, so that a healed partition joins."""


@dataclass(frozen=True)
class MembershipConfig:
    """Timing of failure detection."""

    period_s: float = 0.5
    suspicion_periods: int = 3


@dataclass(frozen=True)
class SendMessage:
    """Instruction: send ``message`` to ``member``."""

    member: Member
    message: GossipMessage


@dataclass(frozen=True)
class MemberChanged:
    """Instruction: tell the daemon that a member's state is now this."""

    member: Member


Instruction = SendMessage | MemberChanged


@dataclass
class Probe:
    """A ping that waits for its answer."""

    number: int
    target_id: str
    indirect_at_s: float
    ends_at_s: float
    indirect_sent: bool = False


@dataclass
class RelayedPing:
    """A ping made for another member."""

    requester: Member
    requester_number: int


@dataclass
class Rumour:
    """An update that still has to spread."""

    update: MemberUpdate
    sends_left: int


@dataclass
class MembershipState:
    """All that one daemon knows of its fellow daemons."""

    self_member: Member
    config: MembershipConfig
    source: random.Random
    members: dict[str, Member] = field(default_factory=dict)
    _rumours: dict[str, Rumour] = field(default_factory=dict)
    _suspected_until_s: dict[str, float] = field(default_factory=dict)
    _gone_at_s: dict[str, float] = field(default_factory=dict)
    _probe: Probe | None = None
    _probe_order: list[str] = field(default_factory=list)
    _relayed: dict[int, RelayedPing] = field(default_factory=dict)
    _next_number: int = 0
    _next_period_s: float = 0.0
    _periods: int = 0

    def __post_init__(self) -> None:
        """Spread the news of this daemon's own start."""
        self.members[self.self_member.member_id] = self.self_member
        self._spread(self.self_member)

    # Views

    def live_members(self) -> list[Member]:
        """Return every member that may be talked to, this daemon included."""
        return [member for member in self.members.values() if member.is_live]

    def possible_owners(self) -> list[str]:
        """Return the ids of members that may own work, this daemon included."""
        return [member.member_id for member in self.members.values() if member.may_own]

    def random_peers(self, count: int) -> list[Member]:
        """Return up to ``count`` live members other than this daemon."""
        peers = [m for m in self.live_members() if m.member_id != self.self_member.member_id]
        return self.source.sample(peers, min(count, len(peers)))

    # Events

    def handle_seeds(self, seeds: Iterable[Member], now_s: float) -> list[Instruction]:
        """Learn members from the platform's list; anything heard by gossip outranks it."""
        instructions: list[Instruction] = []
        for seed in seeds:
            if seed.member_id not in self.members:
                instructions += self._apply(replace(seed, incarnation=0), now_s)
        return instructions

    def handle_updates(self, updates: Iterable[MemberUpdate], now_s: float) -> list[Instruction]:
        """Learn from updates, whole lists included."""
        instructions: list[Instruction] = []
        for update in updates:
            try:
                member = member_from_update(update)
            except ValueError:
                continue
            instructions += self._apply(member, now_s)
        return instructions

    def handle_message(
        self, sender_id: str, message: GossipMessage, now_s: float
    ) -> list[Instruction]:
        """Handle a gossip message."""
        if not isinstance(message, Ping | PingRequest | Ack):
            return []
        instructions = self.handle_updates(message.updates, now_s)
        sender = self.members.get(sender_id)
        if sender is None:
            return instructions
        if isinstance(message, Ping):
            ack = Ack(message.number, self.self_member.member_id, self._take_updates(sender))
            instructions.append(SendMessage(sender, ack))
        elif isinstance(message, PingRequest):
            instructions += self._relay_ping(sender, message)
        else:
            instructions += self._handle_ack(message)
        return instructions

    def handle_tick(self, now_s: float) -> list[Instruction]:
        """Advance probes and suspicions; call several times a period."""
        instructions = self._end_suspicions(now_s)
        instructions += self._advance_probe(now_s)
        if now_s >= self._next_period_s:
            self._next_period_s = now_s + self.config.period_s
            self._periods += 1
            self._forget_tombstones(now_s)
            instructions += self._start_probe(now_s)
            if self._periods % REVIVAL_PERIODS == 0:
                instructions += self._ping_gone_member()
        return instructions

    def leave(self, state: MemberState, now_s: float) -> list[Instruction]:
        """Announce that this daemon is leaving or has left."""
        self._change_self(state, self.self_member.incarnation + 1)
        return [
            SendMessage(peer, Ping(self._number(), (self.self_member.to_update(),)))
            for peer in self.random_peers(INDIRECT_PROBES)
        ]

    def validate_state(self) -> None:
        """Assert the invariants; called by tests after every event."""
        own = self.members[self.self_member.member_id]
        assert own == self.self_member, "the list holds this daemon as it is"
        for member_id in self._suspected_until_s:
            assert self.members[member_id].state is MemberState.SUSPECT

    # Statements about members

    def _apply(self, member: Member, now_s: float) -> list[Instruction]:
        if member.member_id == self.self_member.member_id:
            self._refute(member)
            return []
        known = self.members.get(member.member_id)
        if known is not None and not member.outranks(known):
            return []
        self.members[member.member_id] = member
        self._suspected_until_s.pop(member.member_id, None)
        self._gone_at_s.pop(member.member_id, None)
        if member.state is MemberState.SUSPECT:
            self._suspected_until_s[member.member_id] = now_s + self._suspicion_s()
        elif not member.is_live:
            self._gone_at_s[member.member_id] = now_s
        self._spread(member)
        changed = known is None or known.state is not member.state
        return [MemberChanged(member)] if changed else []

    def _refute(self, statement: Member) -> None:
        """Answer a statement about this daemon that is worse than the truth."""
        own = self.self_member
        if (statement.incarnation, statement.state) > (own.incarnation, own.state):
            self._change_self(own.state, statement.incarnation + 1)

    def _change_self(self, state: MemberState, incarnation: int) -> None:
        self.self_member = replace(self.self_member, state=state, incarnation=incarnation)
        self.members[self.self_member.member_id] = self.self_member
        self._spread(self.self_member)

    def _end_suspicions(self, now_s: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for member_id, until_s in list(self._suspected_until_s.items()):
            if now_s >= until_s:
                dead = self.members[member_id].with_state(MemberState.DEAD)
                instructions += self._apply(dead, now_s)
        return instructions

    def _suspicion_s(self) -> float:
        scale = max(1.0, math.log10(max(1, len(self.members))))
        return self.config.suspicion_periods * self.config.period_s * scale

    def _forget_tombstones(self, now_s: float) -> None:
        oldest_s = now_s - TOMBSTONE_PERIODS * self.config.period_s
        for member_id, gone_at_s in list(self._gone_at_s.items()):
            if gone_at_s < oldest_s:
                del self._gone_at_s[member_id]
                del self.members[member_id]

    # Probes

    def _start_probe(self, now_s: float) -> list[Instruction]:
        target = self._next_target()
        if target is None:
            return []
        period_s = self.config.period_s
        number = self._number()
        self._probe = Probe(number, target.member_id, now_s + period_s / 2, now_s + period_s)
        return [SendMessage(target, Ping(number, self._take_updates(target)))]

    def _advance_probe(self, now_s: float) -> list[Instruction]:
        probe = self._probe
        if probe is None:
            return []
        target = self.members.get(probe.target_id)
        if target is None or not target.is_live:
            self._probe = None
            return []
        if now_s >= probe.ends_at_s:
            self._probe = None
            if target.state is MemberState.SUSPECT:
                return []
            return self._apply(target.with_state(MemberState.SUSPECT), now_s)
        if now_s >= probe.indirect_at_s and not probe.indirect_sent:
            probe.indirect_sent = True
            return self._ask_others_to_ping(probe)
        return []

    def _ask_others_to_ping(self, probe: Probe) -> list[Instruction]:
        helpers = [
            peer
            for peer in self.random_peers(INDIRECT_PROBES + 1)
            if peer.member_id != probe.target_id
        ]
        return [
            SendMessage(helper, PingRequest(probe.number, probe.target_id))
            for helper in helpers[:INDIRECT_PROBES]
        ]

    def _relay_ping(self, requester: Member, request: PingRequest) -> list[Instruction]:
        target = self.members.get(request.target_id)
        if target is None:
            return []
        number = self._number()
        self._relayed[number] = RelayedPing(requester, request.number)
        while len(self._relayed) > 64:
            self._relayed.pop(next(iter(self._relayed)))
        return [SendMessage(target, Ping(number, self._take_updates(target)))]

    def _handle_ack(self, ack: Ack) -> list[Instruction]:
        if self._probe is not None and ack.number == self._probe.number:
            self._probe = None
        relayed = self._relayed.pop(ack.number, None)
        if relayed is None:
            return []
        forwarded = Ack(relayed.requester_number, ack.subject_id)
        return [SendMessage(relayed.requester, forwarded)]

    def _next_target(self) -> Member | None:
        while True:
            if not self._probe_order:
                self._probe_order = [
                    m.member_id
                    for m in self.live_members()
                    if m.member_id != self.self_member.member_id
                ]
                self.source.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            target = self.members.get(self._probe_order.pop())
            if target is not None and target.is_live:
                return target

    def _ping_gone_member(self) -> list[Instruction]:
        gone = [m for m in self.members.values() if m.state is MemberState.DEAD]
        if not gone:
            return []
        target = self.source.choice(gone)
        return [SendMessage(target, Ping(self._number(), self._take_updates(target)))]

    # Spreading

    def _spread(self, member: Member) -> None:
        sends = SPREAD_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        self._rumours[member.member_id] = Rumour(member.to_update(), sends)

    def _take_updates(self, receiver: Member) -> tuple[MemberUpdate, ...]:
        """Return the updates to send: this daemon, what is said of the receiver, then rumours."""
        updates = [self.self_member.to_update()]
        if receiver.state is not MemberState.ALIVE:
            updates.append(receiver.to_update())
        freshest = sorted(self._rumours.values(), key=lambda rumour: -rumour.sends_left)
        for rumour in freshest[:MAX_UPDATES_PER_MESSAGE]:
            rumour.sends_left -= 1
            if rumour.update.member_id != self.self_member.member_id:
                updates.append(rumour.update)
            if rumour.sends_left <= 0:
                self._rumours.pop(rumour.update.member_id, None)
        return tuple(updates)

    def _number(self) -> int:
        self._next_number = (self._next_number + 1) % 2**32
        return self._next_number
