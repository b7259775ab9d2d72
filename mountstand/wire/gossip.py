"""The messages of failure detection and load sharing, in MessagePack by msgspec.

They travel in datagrams many times a second. construct took 0.5 to 2.5 ms to open one of them,
msgspec takes a hundredth of that (docs/design/departures.md).

While machines are replaced, daemons of the version before send and read these messages as well.
So fields are only added at the end, with defaults, and never change in type or meaning; a reader
passes over fields that it doesn't know. :data:`mountstand.wire.frames.VERSION` rises only with a
change after which the versions may not talk to each other at all.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Any

import msgspec

from mountstand.wire.bodies import BodyCodec, BodyError


class Scope(IntEnum):
    """Whose work a ``LoadDigest`` counts."""

    DAEMON = 0
    GROUP = 1
    FLEET = 2


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon says of a member; ``state`` is the number of a ``MemberState``."""

    member_id: str
    address: str
    port: int
    zone: str
    incarnation: int
    state: int


class Ping(msgspec.Struct, frozen=True, array_like=True):
    """Asks the receiver to answer with an ``Ack`` of the same number."""

    number: int
    updates: tuple[MemberUpdate, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the receiver to ping ``target_id`` for the sender."""

    number: int
    target_id: str
    updates: tuple[MemberUpdate, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True):
    """Answers a ``Ping``; ``subject_id`` is the member that is alive."""

    number: int
    subject_id: str
    updates: tuple[MemberUpdate, ...] = ()


class MembersSync(msgspec.Struct, frozen=True, array_like=True):
    """A whole member list, asked for and answered with the same message."""

    members: tuple[MemberUpdate, ...]


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """What daemons know of workers and services: parallel lists by their keys.

    The key of a worker is the CRC-32 of its id; :mod:`mountstand.serving.slot_demand` has those of
    a service. ``online`` and ``batch`` are in flight at a worker; ``succeeded`` and ``failed`` are
    outcomes seen lately, in quarters; ``waiting`` and ``late`` are requests or batch items that
    wait for a service and can be in time, or cannot; ``unreachable`` are keys of workers that just
    now accepted no connection; ``unread`` is what a worker has still to read of prompts, in blocks
    of tokens (:data:`mountstand.serving.load_counts.TOKENS_PER_BLOCK`).
    """

    keys: tuple[int, ...] = ()
    online: tuple[int, ...] = ()
    batch: tuple[int, ...] = ()
    succeeded: tuple[int, ...] = ()
    failed: tuple[int, ...] = ()
    unreachable: tuple[int, ...] = ()
    scope: Scope = Scope.DAEMON
    waiting: tuple[int, ...] = ()
    late: tuple[int, ...] = ()
    unread: tuple[int, ...] = ()


class TokenAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks a daemon for tokens of a tenant's limit; answered by a ``TokenGrant`` of that number.

    ``tenant`` is the CRC-32 of the tenant's name, ``units`` are thousandths of a token.
    """

    number: int
    tenant: int
    units: int


class TokenGrant(msgspec.Struct, frozen=True, array_like=True):
    """Lends tokens, which the sender has taken from its own part; ``units`` may be 0."""

    number: int
    tenant: int
    units: int


class SlotAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks a daemon for one of its slots; answered by a ``SlotGrant`` of that number.

    ``service`` is the service's key (:mod:`mountstand.serving.slot_demand`).
    """

    number: int
    service: int


class SlotGrant(msgspec.Struct, frozen=True, array_like=True):
    """Lends a slot of the worker with a key, or none if the key is 0."""

    number: int
    worker: int


class SlotReturn(msgspec.Struct, frozen=True, array_like=True):
    """Gives a lent slot of the worker with a key back unused."""

    worker: int


NEVER_SERVED = -1
"""Stands in ``SuspectEntry.served_ms`` for a content that was not served."""


class SuspectEntry(msgspec.Struct, frozen=True, array_like=True):
    """A content under which workers ended (``Call.content_key``).

    ``workers`` are the keys of these workers, ``ages_ms`` how long ago each ended and ``ran_ms``
    how long it had run the content then; ``served_ms`` is how long ago it was last served whole.
    ``trials`` is how often it was tried after it had been held back, and ``tried_ms`` how long ago
    last; a daemon that knows no trials reads an entry without them, and sends none.
    ``uncounted`` is whether more workers ended under a prompt part than ``workers`` tells.
    """

    content: int
    workers: tuple[int, ...]
    ages_ms: tuple[int, ...]
    ran_ms: tuple[int, ...]
    served_ms: int = NEVER_SERVED
    trials: int = 0
    tried_ms: int = 0
    uncounted: bool = False


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Tells of contents under which workers ended, or answers a ``CrashQuery``."""

    suspects: tuple[SuspectEntry, ...] = ()


class CrashQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks a daemon for all that it knows of such contents."""


class PartReport(msgspec.Struct, frozen=True, array_like=True):
    """Tells of prompt parts under which workers ended, or answers a ``PartQuery``.

    ``SuspectEntry.content`` is :func:`mountstand.serving.prompt.part_key` of the part.
    """

    suspects: tuple[SuspectEntry, ...] = ()


class PartQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks a daemon for all that it knows of such parts."""


UNKNOWN_SOFTWARE = -1
"""Stands in ``StreamOrigin.software`` for a stream that the sender doesn't know."""


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """Tells which software began a stream, unasked or in answer to a ``StreamQuery``.

    ``stream`` is :func:`mountstand.serving.stream_origins.stream_key` of the request that brought
    its first event, ``software`` is :func:`mountstand.serving.software.software_key`.
    """

    stream: int
    software: int


class StreamQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks a daemon which software began a stream."""

    stream: int


GossipMessage = (
    Ping
    | PingRequest
    | Ack
    | MembersSync
    | LoadDigest
    | TokenAsk
    | TokenGrant
    | SlotAsk
    | SlotGrant
    | SlotReturn
    | CrashReport
    | CrashQuery
    | StreamOrigin
    | StreamQuery
    | PartReport
    | PartQuery
)

KINDS: dict[int, type[GossipMessage]] = {
    1: Ping,
    2: PingRequest,
    3: Ack,
    7: MembersSync,
    19: LoadDigest,
    20: TokenAsk,
    21: TokenGrant,
    22: SlotAsk,
    23: SlotGrant,
    24: SlotReturn,
    25: CrashReport,
    26: CrashQuery,
    27: StreamOrigin,
    28: StreamQuery,
    29: PartReport,
    30: PartQuery,
}


class GossipBodies(BodyCodec):
    """Bodies of gossip messages; the types of all fields are checked."""

    __slots__ = ("_decoder_by_kind", "_encoder", "_kind_by_type")

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder_by_kind = {
            kind: msgspec.msgpack.Decoder(message_type) for kind, message_type in KINDS.items()
        }
        self._kind_by_type = {message_type: kind for kind, message_type in KINDS.items()}

    def handles(self, message: Any) -> bool:
        """Return whether ``message`` is a gossip message."""
        return type(message) in self._kind_by_type

    def encode(self, message: GossipMessage) -> tuple[int, bytes]:
        """Return a message's kind number and its binary form."""
        return self._kind_by_type[type(message)], self._encoder.encode(message)

    def decode(self, kind: int, body: bytes) -> GossipMessage:
        """Return the message in ``body``. Raises ``BodyError``."""
        decoder = self._decoder_by_kind.get(kind)
        if decoder is None:
            raise BodyError(f"no message kind {kind}")
        try:
            message: GossipMessage = decoder.decode(body)
        except msgspec.DecodeError as exc:
            raise BodyError(str(exc)) from None
        return message
