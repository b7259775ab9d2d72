"""The callers' interface to batch jobs.

``PUT /v1/batches/{id}`` submits JSON lines under the caller's own id, so that a resent job is the
same job. ``GET /v1/batches/{id}``, ``GET /v1/batches/{id}/results?first=&count=&partial=`` and
``POST /v1/batches/{id}/cancel`` do as they say. ``POST /v1/batches`` with an ``input_file_id``
is the OpenAI-shaped way in, after ``POST /v1/files``.
"""

from __future__ import annotations

import hashlib
import re
import uuid
from collections.abc import Iterable
from typing import Any

import cherrypy

from mountstand.batch.acceptance import JobSubmission
from mountstand.batch.files import FileStore
from mountstand.batch.lines import ReadLine, line_reader
from mountstand.batch.model import MAX_JOB_ITEMS, JobRecord
from mountstand.batch.service import BatchService, ResultRange
from mountstand.errors import MalformedRequest, NotFound
from mountstand.http.callers import CallerContext
from mountstand.http.control import send_json
from mountstand.http.files import OUTPUT_SUFFIX
from mountstand.http.requests import (
    STREAM_CONFIG,
    body_blocks,
    header,
    identifier_header,
    parse_json_object,
    read_body,
    repeatable_header,
    tenant_header,
)

JOB_ID_FORM = re.compile(r"[A-Za-z0-9._-]{1,100}")
MAX_PRIORITY = 9
MAX_DOCUMENT_BYTES = 64 * 1024
MAX_ATTEMPTS = 20


class BatchesResource:
    """``/v1/batches``."""

    exposed = True

    def __init__(self, context: CallerContext, batches: BatchService, files: FileStore) -> None:
        self._context = context
        self._batches = batches
        self._files = files

    def PUT(self, job_id: str = "", **query: str) -> bytes:  # noqa: N802
        """Accept a job; 201 when it is new, 200 when it was accepted before."""
        self._context.check()
        if not JOB_ID_FORM.fullmatch(job_id):
            raise MalformedRequest("the job id must be 1 to 100 of A-Z a-z 0-9 . _ -")
        record, is_new = self._accept(job_id, line_reader(body_blocks()))
        cherrypy.response.status = 201 if is_new else 200
        return send_json(job_document(record))

    def _accept(self, job_id: str, read_line: ReadLine) -> tuple[JobRecord, bool]:
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
        return self._batches.accept(submission, read_line)

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
        """Create a job from an uploaded file, or cancel a job."""
        self._context.check()
        if not job_id:
            return self._create_from_file()
        if action != "cancel":
            raise NotFound(f"/v1/batches/{job_id}/{action}")
        return send_json(job_document(self._batches.cancel(tenant_header(), job_id)))

    def _create_from_file(self) -> bytes:
        """Accept ``{"input_file_id": ...}``; an Idempotency-Key makes a resent one the same job."""
        document = parse_json_object(read_body(MAX_DOCUMENT_BYTES))
        file_id = document.get("input_file_id")
        if not isinstance(file_id, str):
            raise MalformedRequest("input_file_id must be a string")
        key = identifier_header("Idempotency-Key") or uuid.uuid4().hex
        job_id = "batch_" + hashlib.sha256(key.encode()).hexdigest()[:32]
        record = self._files.read(tenant_header(), file_id)
        job, is_new = self._accept(job_id, self._files.line_reader(record))
        cherrypy.response.status = 201 if is_new else 200
        return send_json(job_document(job) | {"input_file_id": file_id})

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
        "output_file_id": f"{record.job_id}{OUTPUT_SUFFIX}",
        "created_at": record.created_s,
        "ended_at": record.ended_s or None,
        "request_counts": {
            "total": record.item_count,
            "completed": record.completed,
            "failed": record.failed,
        },
    }
