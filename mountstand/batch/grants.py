"""Which jobs get executors first, and what a granted range tells."""

from __future__ import annotations

from collections import Counter

from mountstand.batch.job_ledger import JobLedger
from mountstand.batch.model import input_object, segment_prefix
from mountstand.wire.messages import RangeGrant, RangeKey

FAR_FUTURE_S = float("inf")


def in_order(
    found: list[tuple[str, JobLedger]], served: Counter[str]
) -> list[tuple[str, JobLedger]]:
    """Return jobs by priority, due time, items ``served`` to their tenant, and age."""
    return sorted(
        found,
        key=lambda pair: (
            pair[1].record.priority,
            pair[1].record.due_time_s or FAR_FUTURE_S,
            served[pair[1].record.tenant],
            pair[1].record.created_s,
        ),
    )


def build_grant(key: str, ledger: JobLedger, index: int) -> RangeGrant:
    """Return the grant of one range."""
    record = ledger.record
    info = ledger.ranges[index].info
    return RangeGrant(
        key=RangeKey(key, ledger.epoch, index),
        first_item=info.first_item,
        item_count=info.item_count,
        object_name=input_object(record.upload_id, index),
        segment_prefix=segment_prefix(record.upload_id, index),
        service=record.service,
        tenant=record.tenant,
        priority=record.priority,
        repeatable=record.repeatable,
        max_attempts=record.max_attempts,
        due_time_s=record.due_time_s,
    )
