"""Hollow daemons: the real membership and settings state on real datagrams, many in one process.

A hollow daemon serves no callers and runs no work. It gossips with the real wire form and keys,
takes settings revisions and passes the news on, so real daemons beside it see a large fleet.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import orjson

from mountstand.errors import MessageRejected
from mountstand.lab.ports import LOOPBACK
from mountstand.membership.member import Member
from mountstand.membership.service import TICKS_PER_PERIOD
from mountstand.membership.state import (
    Instruction,
    MembershipConfig,
    MembershipState,
    SendMessage,
)
from mountstand.settings.service import HINTED_PEERS, SettingsDocument
from mountstand.settings.tree import SettingsReplica
from mountstand.wire.frames import FrameCodec
from mountstand.wire.messages import (
    DaemonBodies,
    Message,
    RevisionHint,
    SettingsReply,
    SettingsRequest,
)


@dataclass(frozen=True)
class HollowSpecification:
    """Hollow daemons of one process."""

    members: list[dict[str, Any]]
    """Every daemon of the fleet as ``{"id", "port", "zone"}``, real ones included."""

    first: int
    count: int
    keys: list[str]
    period_s: float
    run_s: float
    seed: int


class HollowDaemon(asyncio.DatagramProtocol):
    """One hollow daemon on its own UDP port."""

    def __init__(self, member: Member, specification: HollowSpecification) -> None:
        self.member = member
        self.bytes_sent = 0
        self.bytes_received = 0
        self.in_force_s: dict[int, float] = {}
        self._codec = FrameCodec(
            member.member_id, member.incarnation, specification.keys, DaemonBodies()
        )
        source = random.Random(f"{specification.seed} {member.member_id}")
        config = MembershipConfig(specification.period_s)
        self.state = MembershipState(member, config, source)
        self.replica = SettingsReplica()
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle one datagram as a daemon does."""
        self.bytes_received += len(data)
        try:
            frame = self._codec.open(data)
        except MessageRejected:
            return
        now_s = time.monotonic()
        self.carry_out(self.state.handle_message(frame.sender_id, frame.message, now_s))
        sender = self.state.members.get(frame.sender_id)
        if sender is None:
            return
        if isinstance(frame.message, SettingsRequest):
            self._answer(sender, frame.message)
        elif isinstance(frame.message, SettingsReply):
            self._take(frame.message)
        elif frame.revision > self.replica.revision:
            self._send(sender, SettingsRequest(self.replica.revision))

    def tick(self) -> None:
        """Advance time."""
        self.carry_out(self.state.handle_tick(time.monotonic()))

    def carry_out(self, instructions: list[Instruction]) -> None:
        """Send what the state machine asks to send."""
        for instruction in instructions:
            if isinstance(instruction, SendMessage):
                self._send(instruction.member, instruction.message)

    def _answer(self, asker: Member, request: SettingsRequest) -> None:
        revisions = self.replica.revisions_after(request.after_revision)
        document = SettingsDocument(revisions=revisions or [])
        self._send(asker, SettingsReply(document.model_dump_json(exclude_none=True).encode()))

    def _take(self, reply: SettingsReply) -> None:
        document = SettingsDocument.model_validate_json(reply.document)
        if self.replica.take_revisions(document.revisions or []):
            self.in_force_s[self.replica.revision] = time.monotonic()
            for peer in self.state.random_peers(HINTED_PEERS):
                self._send(peer, RevisionHint())

    def _send(self, member: Member, message: Message) -> None:
        assert self._transport is not None
        data = self._codec.seal(message, self.replica.revision)
        self.bytes_sent += len(data)
        self._transport.sendto(data, (member.address, member.port))


async def run_hollow(specification: HollowSpecification) -> dict[str, Any]:
    """Run the hollow daemons of one process; return what they measured in the second half."""
    members = [Member(m["id"], LOOPBACK, m["port"], m["zone"], 1) for m in specification.members]
    own = members[specification.first : specification.first + specification.count]
    loop = asyncio.get_running_loop()
    daemons = []
    for member in own:
        _, daemon = await loop.create_datagram_endpoint(
            lambda m=member: HollowDaemon(m, specification),  # type: ignore[misc]
            local_addr=(LOOPBACK, member.port),
        )
        daemons.append(daemon)
    for daemon in daemons:
        daemon.carry_out(daemon.state.handle_seeds(members, time.monotonic()))
    half_s = specification.run_s / 2
    await tick_for(daemons, half_s, specification.period_s)
    sent_before = sum(d.bytes_sent + d.bytes_received for d in daemons)
    cpu_before_s, started_s = time.process_time(), time.monotonic()
    await tick_for(daemons, half_s, specification.period_s)
    elapsed_s = time.monotonic() - started_s
    moved = sum(d.bytes_sent + d.bytes_received for d in daemons) - sent_before
    return {
        "bytes_per_s": moved / elapsed_s / len(daemons),
        "core_share": (time.process_time() - cpu_before_s) / elapsed_s / len(daemons),
        "live_seen": min(len(d.state.live_members()) for d in daemons),
        "in_force_s": [d.in_force_s for d in daemons],
        "daemons": len(daemons),
        "pid": os.getpid(),
    }


async def tick_for(daemons: list[HollowDaemon], seconds: float, period_s: float) -> None:
    """Tick every daemon several times a period, spread over the period."""
    interval_s = period_s / TICKS_PER_PERIOD
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        started_s = time.monotonic()
        for number, daemon in enumerate(daemons):
            daemon.tick()
            due_s = started_s + interval_s * (number + 1) / len(daemons)
            if number % 8 == 7:
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        await asyncio.sleep(max(0.0, started_s + interval_s - time.monotonic()))


def main() -> None:
    """Run the specification in the file named on the command line; print the result."""
    values = orjson.loads(Path(sys.argv[1]).read_bytes())
    result = asyncio.run(run_hollow(HollowSpecification(**values)))
    sys.stdout.buffer.write(orjson.dumps(result, option=orjson.OPT_NON_STR_KEYS) + b"\n")


if __name__ == "__main__":
    main()
