"""A range of items that an executor holds, with the results so far."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import orjson

from mountstand.batch.model import ItemStatus
from mountstand.batch.range_failures import RangeFailures
from mountstand.engines.port import BackendAnswer
from mountstand.errors import Executed, MountstandError
from mountstand.store.ports import Machine
from mountstand.wire.messages import RangeGrant

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"


@dataclass(frozen=True)
class BatchItem:
    """One item, ready to be sent."""

    index: int
    custom_id: Any
    path: str
    body: bytes


@dataclass(frozen=True)
class RunningItem:
    """Where an item runs now, and under which dispatch id."""

    machine: Machine
    request_id: str


@dataclass
class HeldRange:
    """One range at its executor.

    ``renewed_s`` is when the last successful renewal was sent; without a fresh one no item starts.
    """

    grant: RangeGrant
    owner_id: str
    renewed_s: float
    items: list[BatchItem]
    failures: RangeFailures
    results: dict[int, bytes] = field(default_factory=dict)
    running: dict[int, RunningItem] = field(default_factory=dict)
    completed: int = 0
    result_bytes: int = 0
    dropped: bool = False
    finishing: bool = False

    @property
    def is_complete(self) -> bool:
        """Whether every item has a result."""
        return len(self.results) == len(self.items)

    def record(self, item: BatchItem, status: ItemStatus, line: bytes) -> None:
        """Keep the result of an item; the first one counts."""
        if item.index in self.results:
            return
        self.results[item.index] = line
        self.result_bytes += len(line)
        if status is ItemStatus.COMPLETED:
            self.completed += 1

    def segment(self) -> bytes:
        """Return the results in item order, one a line."""
        return b"\n".join(self.results[item.index] for item in self.items)


def parse_items(grant: RangeGrant, body: bytes) -> list[BatchItem]:
    """Return the items of a range's input object; they were checked at acceptance."""
    items = []
    for offset, line in enumerate(body.split(b"\n")):
        document = orjson.loads(line)
        request = document["body"] | {"stream": False}
        items.append(
            BatchItem(
                index=grant.first_item + offset,
                custom_id=document.get("custom_id"),
                path=CHAT_PATH if "messages" in request else COMPLETION_PATH,
                body=orjson.dumps(request),
            )
        )
    return items


def completed_line(item: BatchItem, answer: BackendAnswer) -> bytes:
    """Return the result of an item that a back end answered."""
    return orjson.dumps(
        {
            "index": item.index,
            "custom_id": item.custom_id,
            "status": ItemStatus.COMPLETED.value,
            "response": {"status_code": answer.status, "body": orjson.Fragment(answer.body)},
            "error": None,
        }
    )


def failed_line(
    item: BatchItem, status: ItemStatus, code: str, message: str, executed: Executed
) -> bytes:
    """Return the result of an item that has no answer."""
    return orjson.dumps(
        {
            "index": item.index,
            "custom_id": item.custom_id,
            "status": status.value,
            "response": None,
            "error": {"code": code, "message": message, "executed": executed.value},
        }
    )


def error_line(item: BatchItem, status: ItemStatus, error: MountstandError) -> bytes:
    """Return the result of an item that ended with ``error``."""
    return failed_line(item, status, error.code, error.detail, error.executed)
