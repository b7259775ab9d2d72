"""Membership of one daemon on real sockets: UDP gossip, seeds and whole-list exchange."""

from __future__ import annotations

import logging
import random
import socket
import threading
from collections.abc import Callable

from mountstand.background import BackgroundPart, PeriodicTask, stop_tasks
from mountstand.clock import elapsed_s
from mountstand.errors import MessageRejected, MountstandError, PortUnavailable
from mountstand.membership.member import Member, MemberState
from mountstand.membership.state import (
    Instruction,
    MemberChanged,
    MembershipConfig,
    MembershipState,
    SendMessage,
)
from mountstand.store.ports import Machine, MachineRole
from mountstand.telemetry.logs import log_state_change
from mountstand.telemetry.metrics import DaemonMetrics
from mountstand.wire.frames import Frame, FrameCodec
from mountstand.wire.gossip import MembersSync
from mountstand.wire.messages import Message
from mountstand.wire.peers import PeerClient

logger = logging.getLogger(__name__)

MAX_DATAGRAM_BYTES = 65507
TICKS_PER_PERIOD = 5
SYNC_INTERVAL_S = 120.0
"""Whole lists are exchanged with one peer this often; it repairs what gossip missed."""

RevisionObserver = Callable[[str, int], None]
HintObserver = Callable[[str, Message], None]


class MembershipService(BackgroundPart):
    """Runs :class:`MembershipState` for one daemon; thread-safe."""

    name = "membership"

    def __init__(
        self,
        self_member: Member,
        config: MembershipConfig,
        codec: FrameCodec,
        peers: PeerClient,
        metrics: DaemonMetrics,
        own_revision: Callable[[], int],
        seed: int,
    ) -> None:
        self._lock = threading.RLock()
        self._state = MembershipState(self_member, config, random.Random(seed))
        self._codec = codec
        self._peers = peers
        self._metrics = metrics
        self._own_revision = own_revision
        self._socket = bound_socket(self_member.address, self_member.port)
        self._closing = False
        self._first_sync_done = False
        self.on_revision: RevisionObserver = lambda sender_id, revision: None
        self.on_hint: HintObserver = lambda sender_id, message: None
        self.on_member_change: Callable[[], None] = lambda: None
        self._receiver = threading.Thread(target=self._receive, name="gossip", daemon=True)
        self._tasks = [
            PeriodicTask("gossip", config.period_s / TICKS_PER_PERIOD, self._tick),
            PeriodicTask("member sync", SYNC_INTERVAL_S, self.sync_with_peer),
        ]

    @property
    def self_id(self) -> str:
        """Member id of this daemon."""
        return self._state.self_member.member_id

    def start(self) -> None:
        """Start gossiping."""
        self._receiver.start()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        """Tell others that this daemon has left, and stop."""
        self._announce(MemberState.LEFT)
        self._closing = True
        stop_tasks(self._tasks)
        self._socket.close()

    def announce_leaving(self) -> None:
        """Tell others that this daemon takes no new ownership."""
        self._announce(MemberState.LEAVING)

    def handle_machines(self, machines: list[Machine]) -> None:
        """Take daemons of the platform's list as seeds."""
        seeds = [
            Member(m.machine_id, m.address, m.port, m.zone, 0)
            for m in machines
            if m.role is MachineRole.DAEMON and not m.leaving
        ]
        with self._lock:
            instructions = self._state.handle_seeds(seeds, elapsed_s())
        self._carry_out(instructions)
        if seeds and not self._first_sync_done:
            self._first_sync_done = True
            self.sync_with_peer()

    def handle_sync(self, sync: MembersSync) -> MembersSync:
        """Answer a peer's whole list with this daemon's."""
        with self._lock:
            instructions = self._state.handle_updates(sync.members, elapsed_s())
        self._carry_out(instructions)
        return self._whole_list()

    def sync_with_peer(self) -> None:
        """Exchange whole lists with one random peer."""
        for peer in self.random_peers(1):
            try:
                reply = self._peers.call(peer, self._whole_list())
            except MountstandError:
                return
            if isinstance(reply, MembersSync):
                self.handle_sync(reply)

    def send_hint(self, member: Member, message: Message) -> None:
        """Send a datagram that may be lost."""
        self._send(member, message)

    def live_members(self) -> list[Member]:
        """Return every member that may be talked to, this daemon included."""
        with self._lock:
            return self._state.live_members()

    def possible_owners(self) -> list[str]:
        """Return the ids of members that may own work."""
        with self._lock:
            return self._state.possible_owners()

    def random_peers(self, count: int) -> list[Member]:
        """Return up to ``count`` live members other than this daemon."""
        with self._lock:
            return self._state.random_peers(count)

    def member(self, member_id: str) -> Member | None:
        """Return a member by id."""
        with self._lock:
            return self._state.members.get(member_id)

    def status(self) -> list[dict[str, object]]:
        """Return one line per member for operators."""
        with self._lock:
            members = list(self._state.members.values())
        return [
            {
                "member": member.member_id,
                "address": f"{member.address}:{member.port}",
                "zone": member.zone,
                "state": member.state.name.lower(),
                "incarnation": member.incarnation,
            }
            for member in sorted(members, key=lambda member: member.member_id)
        ]

    def _announce(self, state: MemberState) -> None:
        with self._lock:
            instructions = self._state.leave(state, elapsed_s())
        self._carry_out(instructions)

    def _whole_list(self) -> MembersSync:
        with self._lock:
            return MembersSync(tuple(m.to_update() for m in self._state.members.values()))

    def _tick(self) -> None:
        with self._lock:
            instructions = self._state.handle_tick(elapsed_s())
        self._carry_out(instructions)

    def _carry_out(self, instructions: list[Instruction]) -> None:
        for instruction in instructions:
            if isinstance(instruction, SendMessage):
                self._send(instruction.member, instruction.message)
            elif isinstance(instruction, MemberChanged):
                member = instruction.member
                log_state_change(
                    logger, "member changed", member=member.member_id, state=member.state.name
                )
                self.on_member_change()

    def _send(self, member: Member, message: Message) -> None:
        data = self._codec.seal(message, self._own_revision())
        try:
            self._socket.sendto(data, (member.address, member.port))
        except OSError:
            self._metrics.datagrams.labels("unsendable").inc()
            return
        self._metrics.datagrams.labels("sent").inc()
        self._metrics.datagram_bytes.labels("sent").inc(len(data))

    def _receive(self) -> None:
        while not self._closing:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._metrics.datagram_bytes.labels("received").inc(len(data))
            try:
                frame = self._codec.open(data)
            except MessageRejected:
                self._metrics.datagrams.labels("rejected").inc()
                continue
            self._metrics.datagrams.labels("received").inc()
            try:
                self._handle_frame(frame)
            except Exception:
                logger.exception("gossip handler failed")

    def _handle_frame(self, frame: Frame) -> None:
        with self._lock:
            instructions = self._state.handle_message(frame.sender_id, frame.message, elapsed_s())
        self._carry_out(instructions)
        self.on_revision(frame.sender_id, frame.revision)
        self.on_hint(frame.sender_id, frame.message)


def bound_socket(address: str, port: int) -> socket.socket:
    """Return a datagram socket at an address. Raises ``PortUnavailable``."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        bound.bind((address, port))
    except OSError as problem:
        bound.close()
        raise PortUnavailable(f"UDP {address}:{port}: {problem}") from None
    return bound
