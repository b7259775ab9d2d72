"""The messages between daemons: typed values and their binary form by construct.

These forms have no room for further fields, and daemons of the version before read them while
machines are replaced. What more is to be said goes into a message of a new kind, which they pass
over, or into one of :mod:`mountstand.wire.gossip`.
"""

from __future__ import annotations

import io
from dataclasses import asdict, dataclass, fields
from typing import Any, cast

from construct import (
    Construct,
    ConstructError,
    Flag,
    Float64b,
    GreedyBytes,
    Int8ub,
    Int16ub,
    Int32ub,
    Int64ub,
    PascalString,
    PrefixedArray,
    Struct,
)

from mountstand.wire.bodies import BodyCodec, BodyError
from mountstand.wire.gossip import GossipBodies, GossipMessage

ShortText = PascalString(Int8ub, "utf8")
Text = PascalString(Int16ub, "utf8")


@dataclass(frozen=True)
class RevisionHint:
    """Carries nothing but the sender's settings revision, which is in every frame."""


@dataclass(frozen=True)
class WorkHint:
    """The sender owns ``pending_items`` batch items that nobody runs yet."""

    pending_items: int
    priority: int


@dataclass(frozen=True)
class SettingsRequest:
    """Asks for the settings changes after a revision."""

    after_revision: int


@dataclass(frozen=True)
class SettingsReply:
    """Settings changes as JSON; their schema is in :mod:`mountstand.settings.changes`."""

    document: bytes


@dataclass(frozen=True)
class JobHint:
    """Job ``job_key`` was accepted; its owner should look."""

    job_key: str


@dataclass(frozen=True)
class CancelJob:
    """Job ``job_key`` was cancelled in the table; stop its items."""

    job_key: str


@dataclass(frozen=True)
class DropJob:
    """An owner asks an executor to drop every range of a job."""

    job_key: str


@dataclass(frozen=True)
class Confirmed:
    """Whether the receiver did all of what it was asked."""

    confirmed: bool


@dataclass(frozen=True)
class RangeKey:
    """One range of items under one epoch of its job's owner."""

    job_key: str
    epoch: int
    range_index: int


@dataclass(frozen=True)
class PullRanges:
    """An executor asks an owner for about ``capacity_items`` items."""

    executor_id: str
    services: tuple[str, ...]
    capacity_items: int


@dataclass(frozen=True)
class RangeGrant:
    """A range that the executor is to run until its lease ends; times are relative or epoch."""

    key: RangeKey
    first_item: int
    item_count: int
    object_name: str
    segment_prefix: str
    service: str
    tenant: str
    priority: int
    repeatable: bool
    max_attempts: int
    due_time_s: float


@dataclass(frozen=True)
class GrantedRanges:
    """The owner's answer to ``PullRanges``; ``pending_items`` are left over."""

    grants: tuple[RangeGrant, ...]
    pending_items: int


@dataclass(frozen=True)
class RenewRanges:
    """An executor names the ranges that it holds."""

    executor_id: str
    keys: tuple[RangeKey, ...]


@dataclass(frozen=True)
class RenewedRanges:
    """The ranges that the executor may go on with, and those it must drop.

    Of a range in neither the owner cannot say anything now; the executor keeps it and waits.
    """

    keys: tuple[RangeKey, ...]
    dropped: tuple[RangeKey, ...] = ()


@dataclass(frozen=True)
class ReportRange:
    """A range is complete; its results are in object ``segment_name``."""

    executor_id: str
    key: RangeKey
    segment_name: str
    completed: int
    failed: int


Message = (
    GossipMessage
    | RevisionHint
    | WorkHint
    | SettingsRequest
    | SettingsReply
    | JobHint
    | CancelJob
    | DropJob
    | Confirmed
    | PullRanges
    | GrantedRanges
    | RenewRanges
    | RenewedRanges
    | ReportRange
)

RANGE_KEY_FORM = Struct("job_key" / Text, "epoch" / Int32ub, "range_index" / Int32ub)
RANGE_GRANT_FORM = Struct(
    "key" / RANGE_KEY_FORM,
    "first_item" / Int32ub,
    "item_count" / Int32ub,
    "object_name" / Text,
    "segment_prefix" / Text,
    "service" / ShortText,
    "tenant" / ShortText,
    "priority" / Int8ub,
    "repeatable" / Flag,
    "max_attempts" / Int8ub,
    "due_time_s" / Float64b,
)

FORMS: dict[int, tuple[type[Any], Construct]] = {
    4: (RevisionHint, Struct()),
    5: (WorkHint, Struct("pending_items" / Int32ub, "priority" / Int8ub)),
    8: (SettingsRequest, Struct("after_revision" / Int64ub)),
    9: (SettingsReply, Struct("document" / GreedyBytes)),
    10: (JobHint, Struct("job_key" / Text)),
    11: (CancelJob, Struct("job_key" / Text)),
    18: (DropJob, Struct("job_key" / Text)),
    12: (Confirmed, Struct("confirmed" / Flag)),
    13: (
        PullRanges,
        Struct(
            "executor_id" / ShortText,
            "services" / PrefixedArray(Int8ub, ShortText),
            "capacity_items" / Int32ub,
        ),
    ),
    14: (
        GrantedRanges,
        Struct("grants" / PrefixedArray(Int16ub, RANGE_GRANT_FORM), "pending_items" / Int32ub),
    ),
    15: (
        RenewRanges,
        Struct("executor_id" / ShortText, "keys" / PrefixedArray(Int16ub, RANGE_KEY_FORM)),
    ),
    16: (
        RenewedRanges,
        Struct(
            "keys" / PrefixedArray(Int16ub, RANGE_KEY_FORM),
            "dropped" / PrefixedArray(Int16ub, RANGE_KEY_FORM),
        ),
    ),
    17: (
        ReportRange,
        Struct(
            "executor_id" / ShortText,
            "key" / RANGE_KEY_FORM,
            "segment_name" / Text,
            "completed" / Int32ub,
            "failed" / Int32ub,
        ),
    ),
}
KIND_NUMBERS = {message_type: number for number, (message_type, _) in FORMS.items()}
NESTED_TYPES: dict[str, type[Any]] = {
    "keys": RangeKey,
    "dropped": RangeKey,
    "grants": RangeGrant,
    "key": RangeKey,
}


class DaemonBodies(BodyCodec):
    """Bodies of all messages between daemons of the own interface; thread-safe."""

    __slots__ = ("_gossip",)

    def __init__(self) -> None:
        self._gossip = GossipBodies()

    def encode(self, message: Message) -> tuple[int, bytes]:
        """Return a message's kind number and its binary form."""
        if self._gossip.handles(message):
            return self._gossip.encode(cast(GossipMessage, message))
        number = KIND_NUMBERS[type(message)]
        return number, FORMS[number][1].build(asdict(cast(Any, message)))

    def decode(self, kind: int, body: bytes) -> Message:
        """Return the message in ``body``. Raises ``BodyError``."""
        if kind not in FORMS:
            return self._gossip.decode(kind, body)
        message_type, form = FORMS[kind]
        stream = io.BytesIO(body)
        try:
            parsed = form.parse_stream(stream)
            message: Message = build_value(message_type, parsed)
        except (ConstructError, ValueError, TypeError) as exc:
            raise BodyError(f"malformed: {type(exc).__name__}") from None
        if stream.tell() != len(body):
            raise BodyError("bytes are left over")
        return message


def build_value(value_type: type[Any], parsed: Any) -> Any:
    """Turn construct's container into the dataclass ``value_type``."""
    values = {}
    for field in fields(value_type):
        raw = parsed[field.name]
        nested = NESTED_TYPES.get(field.name)
        if isinstance(raw, list):
            raw = tuple(build_value(nested, part) if nested else part for part in raw)
        elif nested is not None:
            raw = build_value(nested, raw)
        values[field.name] = raw
    return value_type(**values)
