"""The messages between daemons: typed values and their binary form by construct.

Adding a field changes the form, so :data:`mountstand.wire.frames.VERSION` must rise with it.
"""

from __future__ import annotations

import io
from dataclasses import asdict, dataclass, fields
from typing import Any

from construct import (
    Construct,
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

ShortText = PascalString(Int8ub, "utf8")
Text = PascalString(Int16ub, "utf8")


@dataclass(frozen=True)
class MemberUpdate:
    """What a daemon says of a member; ``state`` is the number of a ``MemberState``."""

    member_id: str
    address: str
    port: int
    zone: str
    incarnation: int
    state: int


@dataclass(frozen=True)
class Ping:
    """Asks the receiver to answer with an ``Ack`` of the same number."""

    number: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class PingRequest:
    """Asks the receiver to ping ``target_id`` for the sender."""

    number: int
    target_id: str
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class Ack:
    """Answers a ``Ping``; ``subject_id`` is the member that is alive."""

    number: int
    subject_id: str
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True)
class RevisionHint:
    """Carries nothing but the sender's settings revision, which is in every frame."""


@dataclass(frozen=True)
class WorkHint:
    """The sender owns ``pending_items`` batch items that nobody runs yet."""

    pending_items: int
    priority: int


@dataclass(frozen=True)
class LoadDigest:
    """What the sender knows of workers: parallel lists by worker key, the CRC-32 of its id.

    ``online`` and ``batch`` are in flight; ``succeeded`` and ``failed`` are outcomes seen lately,
    in quarters; ``unreachable`` are keys of workers that just now accepted no connection.
    """

    worker_keys: tuple[int, ...]
    online: tuple[int, ...]
    batch: tuple[int, ...]
    succeeded: tuple[int, ...] = ()
    failed: tuple[int, ...] = ()
    unreachable: tuple[int, ...] = ()


@dataclass(frozen=True)
class MembersSync:
    """A whole member list, asked for and answered with the same message."""

    members: tuple[MemberUpdate, ...]


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
    LoadDigest
    | Ping
    | PingRequest
    | Ack
    | RevisionHint
    | WorkHint
    | MembersSync
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

MEMBER_UPDATE_FORM = Struct(
    "member_id" / ShortText,
    "address" / ShortText,
    "port" / Int16ub,
    "zone" / ShortText,
    "incarnation" / Int64ub,
    "state" / Int8ub,
)
UPDATES_FORM = PrefixedArray(Int16ub, MEMBER_UPDATE_FORM)
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
    1: (Ping, Struct("number" / Int32ub, "updates" / UPDATES_FORM)),
    2: (
        PingRequest,
        Struct("number" / Int32ub, "target_id" / ShortText, "updates" / UPDATES_FORM),
    ),
    3: (Ack, Struct("number" / Int32ub, "subject_id" / ShortText, "updates" / UPDATES_FORM)),
    4: (RevisionHint, Struct()),
    5: (WorkHint, Struct("pending_items" / Int32ub, "priority" / Int8ub)),
    7: (MembersSync, Struct("members" / UPDATES_FORM)),
    8: (SettingsRequest, Struct("after_revision" / Int64ub)),
    9: (SettingsReply, Struct("document" / GreedyBytes)),
    10: (JobHint, Struct("job_key" / Text)),
    11: (CancelJob, Struct("job_key" / Text)),
    19: (
        LoadDigest,
        Struct(
            "worker_keys" / PrefixedArray(Int16ub, Int32ub),
            "online" / PrefixedArray(Int16ub, Int16ub),
            "batch" / PrefixedArray(Int16ub, Int16ub),
            "succeeded" / PrefixedArray(Int16ub, Int16ub),
            "failed" / PrefixedArray(Int16ub, Int16ub),
            "unreachable" / PrefixedArray(Int16ub, Int32ub),
        ),
    ),
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
    "updates": MemberUpdate,
    "members": MemberUpdate,
    "keys": RangeKey,
    "dropped": RangeKey,
    "grants": RangeGrant,
    "key": RangeKey,
}


def encode_body(message: Message) -> tuple[int, bytes]:
    """Return a message's kind number and its binary form."""
    number = KIND_NUMBERS[type(message)]
    return number, FORMS[number][1].build(asdict(message))


def decode_body(number: int, body: bytes) -> Message:
    """Return the message in ``body``; raises ``ConstructError`` or ``ValueError``."""
    if number not in FORMS:
        raise ValueError(f"no message kind {number}")
    message_type, form = FORMS[number]
    stream = io.BytesIO(body)
    parsed = form.parse_stream(stream)
    if stream.tell() != len(body):
        raise ValueError("bytes are left over")
    message: Message = build_value(message_type, parsed)
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
