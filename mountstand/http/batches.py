"""The callers' interface to batch jobs.

``PUT /v1/batches/{id}`` submits JSON lines under the caller's own id, so that a resent job is the
same job. ``GET /v1/batches/{id}``, ``GET /v1/batches/{id}/results?first=&count=&partial=`` and
``POST /v1/batches/{id}/cancel`` do as they say.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Any

import cherrypy

from mountstand.batch.acceptance import JobSubmission
from mountstand.batch.model import MAX_JOB_ITEMS, JobRecord
from mountstand.batch.service import BatchService, ResultRange
from mountstand.errors import MalformedRequest, NotFound
from mountstand.http.callers import CallerContext
from mountstand.http.control import send_json
from mountstand.http.requests import (
    header,
    repeatable_header,
    tenant_header,
)

JOB_ID_FORM = re.compile(r"[A-Za-z0-9._-]{1,100}")
MAX_PRIORITY = 9
MAX_ATTEMPTS = 20
STREAM_CONFIG = {"response.stream": True}


class BatchesResource:
    """``/v1/batches``."""

    exposed = True

    def __init__(self, context: CallerContext, batches: BatchService) -> None:
        self._context = context
        self._batches = batches

    def PUT(self, job_id: str = "", **query: str) -> bytes:  # noqa: N802
        """Accept a job; 201 when it is new, 200 when it was accepted before."""
        self._context.check()
        if not JOB_ID_FORM.fullmatch(job_id):
            raise MalformedRequest("the job id must be 1 to 100 of A-Z a-z 0-9 . _ -")
        branch = f"tenants/{tenant_header()}"
        priority = int(self._context.setting(branch, "batch_priority"))
        attempts = int(self._context.setting(branch, "max_batch_attempts"))
        submission = JobSubmission(
            tenant=tenant_header(),
            job_id=job_id,
            priority=number_header("X-Batch-Priority", priority, 0, MAX_PRIORITY),
            due_time_s=float(number_header("X-Due-Time", 0, 0, 2**40)),
            repeatable=repeatable_header(),
            max_attempts=number_header("X-Max-Attempts", attempts, 1, MAX_ATTEMPTS),
        )
        record, is_new = self._batches.accept(submission, cherrypy.request.rfile.readline)
        cherrypy.response.status = 201 if is_new else 200
        return send_json(job_document(record))

    def GET(self, job_id: str = "", part: str = "", **query: str) -> Any:  # noqa: N802
        """Return one job, its results, or the list of the tenant's jobs."""
        self._context.check()
        if not job_id:
            jobs = [job_document(record) for record in self._batches.jobs(tenant_header())]
            return send_json({"object": "list", "data": jobs})
        if not part:
            return send_json(job_document(self._batches.job(tenant_header(), job_id)))
        if part == "results":
            return self._results(job_id, query)
        raise NotFound(f"/v1/batches/{job_id}/{part}")

    def POST(self, job_id: str = "", action: str = "", **query: str) -> bytes:  # noqa: N802
        """Cancel a job."""
        self._context.check()
        if action != "cancel":
            raise NotFound(f"/v1/batches/{job_id}/{action}")
        return send_json(job_document(self._batches.cancel(tenant_header(), job_id)))

    def _results(self, job_id: str, query: dict[str, str]) -> Iterable[bytes]:
        wanted = ResultRange(
            number_parameter(query, "first", 0), number_parameter(query, "count", MAX_JOB_ITEMS)
        )
        partial = query.get("partial", "no") == "yes"
        lines = self._batches.results(tenant_header(), job_id, wanted, partial=partial)
        cherrypy.response.headers["Content-Type"] = "application/x-ndjson"
        return lines

    # CherryPy must not collect the lines before it sends them.
    GET._cp_config = STREAM_CONFIG  # type: ignore[attr-defined]


def number_header(name: str, default: int, least: int, most: int) -> int:
    """Return a whole number from a header, within its bounds."""
    text = header(name, str(default))
    if not text.isdigit() or not least <= int(text) <= most:
        raise MalformedRequest(f"header {name} must be {least} to {most}")
    return int(text)


def number_parameter(query: dict[str, str], name: str, default: int) -> int:
    """Return a whole number from the query."""
    text = query.get(name, str(default))
    if not text.isdigit():
        raise MalformedRequest(f"parameter {name} must be a whole number")
    return int(text)


def job_document(record: JobRecord) -> dict[str, Any]:
    """Return a job as callers see it, close to OpenAI's batch object."""
    return {
        "id": record.job_id,
        "object": "batch",
        "tenant": record.tenant,
        "status": record.state.value,
        "service": record.service,
        "priority": record.priority,
        "due_time": record.due_time_s or None,
        "repeatable": record.repeatable,
        "created_at": record.created_s,
        "ended_at": record.ended_s or None,
        "request_counts": {
            "total": record.item_count,
            "completed": record.completed,
            "failed": record.failed,
        },
    }
