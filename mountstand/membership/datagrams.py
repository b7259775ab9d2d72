"""Membership on asyncio datagrams: drives :class:`MembershipState` and tells who is alive."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import cast

from mountstand.errors import MessageRejected
from mountstand.membership.member import Member, MemberState
from mountstand.membership.member_log import MemberLog
from mountstand.membership.state import (
    Instruction,
    MemberChanged,
    MembershipConfig,
    MembershipState,
    SendMessage,
)
from mountstand.telemetry.decisions import DecisionLog
from mountstand.wire.frames import FrameCodec
from mountstand.wire.gossip import Ack, GossipMessage, Ping, PingRequest

TICKS_PER_PERIOD = 4

FAILURE_DETECTION = MembershipConfig(period_s=0.2, suspicion_periods=6)
"""A daemon that died is suspected within about half a second and given up a second later. A probe
costs two datagrams, whatever the number of daemons."""


class DatagramMembership(asyncio.DatagramProtocol):
    """Failure detection between daemons, in one event loop."""

    def __init__(
        self,
        self_member: Member,
        config: MembershipConfig,
        codec: FrameCodec,
        log: DecisionLog,
        on_change: Callable[[], None],
    ) -> None:
        self._state = MembershipState(self_member, config, random.Random())
        self._config = config
        self._codec = codec
        self._member_log = MemberLog(log)
        self._on_change = on_change
        self._transport: asyncio.DatagramTransport | None = None
        self.on_message: Callable[[str, GossipMessage], None] = lambda sender_id, message: None

    async def start(self, address: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address, port))

    async def run(self) -> None:
        """Advance probes and suspicions until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._carry_out(self._state.handle_tick(loop.time()))
            await asyncio.sleep(self._config.period_s / TICKS_PER_PERIOD)

    @property
    def own_name(self) -> str:
        """The name of this daemon."""
        return self._state.self_member.member_id

    def live_names(self) -> set[str]:
        """Return the members believed to run and not to be leaving."""
        return {
            member.member_id
            for member in self._state.members.values()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        }

    def running_names(self) -> set[str]:
        """Return the members believed to run, leaving ones included."""
        return {member.member_id for member in self._state.live_members()}

    def sound_names(self) -> set[str]:
        """Return the live members that answered their last probe."""
        return {
            member.member_id
            for member in self._state.members.values()
            if member.state is MemberState.ALIVE
        }

    def incarnation(self, member_id: str) -> int:
        """Return the incarnation that a member is known by, or 0."""
        member = self._state.members.get(member_id)
        return member.incarnation if member is not None else 0

    def handle_seeds(self, seeds: Iterable[Member]) -> None:
        """Learn members from the store."""
        loop = asyncio.get_running_loop()
        self._carry_out(self._state.handle_seeds(seeds, loop.time()))

    def answering_members(self) -> list[Member]:
        """Return the members that answered their last probe, leaving ones included."""
        return [
            member
            for member in self._state.members.values()
            if member.state in (MemberState.ALIVE, MemberState.LEAVING)
        ]

    def send(self, message: GossipMessage, receivers: Iterable[str]) -> None:
        """Send a message to members, sealed once."""
        if self._transport is None or self._transport.is_closing():
            return
        frame = self._codec.seal(message)
        for member_id in receivers:
            member = self._state.members.get(member_id)
            if member is not None:
                self._transport.sendto(frame, (member.address, member.port))

    def leave(self) -> None:
        """Tell peers that this daemon is leaving."""
        loop = asyncio.get_running_loop()
        self._carry_out(self._state.leave(MemberState.LEAVING, loop.time()))

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the bound socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a peer's datagram; anything that is no frame of ours is dropped."""
        try:
            frame = self._codec.open(data)
        except MessageRejected:
            return
        now_s = asyncio.get_running_loop().time()
        if isinstance(frame.message, Ping | PingRequest | Ack):
            self._carry_out(self._state.handle_message(frame.sender_id, frame.message, now_s))
        else:
            self.on_message(frame.sender_id, frame.message)

    def error_received(self, exc: Exception) -> None:
        """Ignore a peer's closed port; its silence is noticed by the probes."""

    def _carry_out(self, instructions: list[Instruction]) -> None:
        changed = False
        now_s = asyncio.get_running_loop().time()
        for instruction in instructions:
            if isinstance(instruction, SendMessage):
                self._send(instruction)
            elif isinstance(instruction, MemberChanged):
                changed = True
                self._member_log.note(instruction.member, now_s)
        self._member_log.flush(now_s)
        if changed:
            self._on_change()

    def _send(self, instruction: SendMessage) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        frame = self._codec.seal(instruction.message)
        self._transport.sendto(frame, (instruction.member.address, instruction.member.port))
