"""Completion of ranges that may not run again and whose executor is gone."""

from __future__ import annotations

import uuid
from dataclasses import dataclass

import orjson

from mountstand.batch.model import (
    ItemStatus,
    RangeInfo,
    input_object,
    only_segment,
    segment_prefix,
)
from mountstand.errors import NotFound
from mountstand.store.ports import ObjectPort


@dataclass(frozen=True)
class LostRangeResults:
    """The object with the results of a lost range, and how many items completed and did not."""

    segment_name: str
    completed: int
    failed: int


def complete_lost_range(
    objects: ObjectPort, upload_id: str, range_index: int, info: RangeInfo
) -> LostRangeResults:
    """Return the executor's own results if they are there, else write unknown outcomes.

    The executor's results can only have one name, because such a range is given out only once.
    """
    prefix = segment_prefix(upload_id, range_index)
    name = only_segment(prefix)
    try:
        lines = objects.get(name).splitlines()
    except NotFound:
        name = f"{prefix}-unknown-{uuid.uuid4().hex}"
        items = objects.get(input_object(upload_id, range_index)).splitlines()
        lines = unknown_results(items, info.first_item)
        objects.put(name, b"\n".join(lines))
    completed = sum(orjson.loads(line)["status"] == ItemStatus.COMPLETED.value for line in lines)
    return LostRangeResults(name, completed, len(lines) - completed)


def unknown_results(items: list[bytes], first_item: int) -> list[bytes]:
    """Return results that say that the outcome of items is not known."""
    return [
        orjson.dumps(
            {
                "index": first_item + offset,
                "custom_id": orjson.loads(item).get("custom_id"),
                "status": ItemStatus.OUTCOME_UNKNOWN.value,
                "response": None,
                "error": {"code": "outcome_unknown", "executed": "unknown"},
            }
        )
        for offset, item in enumerate(items)
    ]
