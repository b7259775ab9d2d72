"""``/v1/files``: the upload half of the OpenAI-shaped batch interface.

``POST /v1/files`` takes ``multipart/form-data`` with ``purpose`` and ``file``.
``GET /v1/files/{id}`` describes a file and ``GET /v1/files/{id}/content`` returns it; the id of a
job's output file, as its batch object names it, gives the job's results.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import cherrypy
from python_multipart.exceptions import MultipartParseError
from python_multipart.multipart import MultipartParser, parse_options_header

from mountstand.batch.files import FileDescription, FileRecord, FileStore
from mountstand.batch.model import MAX_JOB_ITEMS
from mountstand.batch.service import BatchService, ResultRange
from mountstand.errors import MalformedRequest, NotFound
from mountstand.http.callers import CallerContext
from mountstand.http.control import send_json
from mountstand.http.requests import STREAM_CONFIG, body_blocks, tenant_header

OUTPUT_SUFFIX = "-output"
DEFAULT_PURPOSE = "batch"
MAX_FIELD_BYTES = 1000


@dataclass
class FormReader:
    """Reads a multipart form piece by piece; small fields are kept, the file's content is not."""

    boundary: bytes
    fields: dict[str, str] = field(default_factory=dict)
    file_name: str = ""
    _header_name: bytes = b""
    _header_value: bytes = b""
    _part: str = ""
    _is_file: bool = False
    _pieces: list[bytes] = field(default_factory=list)

    def read(self) -> Iterator[bytes]:
        """Yield the file's content as it arrives."""
        parser = MultipartParser(
            self.boundary,
            {
                "on_part_begin": self._begin_part,
                "on_header_field": self._take_header_name,
                "on_header_value": self._take_header_value,
                "on_header_end": self._end_header,
                "on_part_data": self._take_data,
            },
        )
        try:
            for block in body_blocks():
                parser.write(block)
                yield from self._pieces
                self._pieces.clear()
            parser.finalize()
        except MultipartParseError as problem:
            raise MalformedRequest(f"the form cannot be read: {problem}") from None
        yield from self._pieces

    def describe(self) -> FileDescription:
        """Return what the form says of the file; call it when all is read."""
        return FileDescription(self.fields.get("purpose", DEFAULT_PURPOSE), self.file_name)

    def _begin_part(self) -> None:
        self._part = ""
        self._is_file = False

    def _take_header_name(self, data: bytes, start: int, end: int) -> None:
        self._header_name += data[start:end]

    def _take_header_value(self, data: bytes, start: int, end: int) -> None:
        self._header_value += data[start:end]

    def _end_header(self) -> None:
        if self._header_name.lower() == b"content-disposition":
            _, options = parse_options_header(self._header_value)
            self._part = options.get(b"name", b"").decode(errors="replace")
            self._is_file = self._part == "file"
            if self._is_file:
                self.file_name = options.get(b"filename", b"").decode(errors="replace")
        self._header_name = self._header_value = b""

    def _take_data(self, data: bytes, start: int, end: int) -> None:
        if self._is_file:
            self._pieces.append(data[start:end])
            return
        value = self.fields.get(self._part, "") + data[start:end].decode(errors="replace")
        if len(value) > MAX_FIELD_BYTES:
            raise MalformedRequest(f"form field {self._part} is over {MAX_FIELD_BYTES} bytes")
        self.fields[self._part] = value


class FilesResource:
    """``/v1/files``."""

    exposed = True

    def __init__(self, context: CallerContext, files: FileStore, batches: BatchService) -> None:
        self._context = context
        self._files = files
        self._batches = batches

    def POST(self) -> bytes:  # noqa: N802
        """Store an uploaded file."""
        self._context.check()
        content_type = cherrypy.request.headers.get("Content-Type", "")
        kind, options = parse_options_header(content_type)
        if kind != b"multipart/form-data" or b"boundary" not in options:
            raise MalformedRequest("send multipart/form-data with the fields purpose and file")
        form = FormReader(options[b"boundary"])
        record = self._files.write(tenant_header(), form.read(), form.describe)
        return send_json(file_document(record))

    def GET(self, file_id: str = "", part: str = "") -> Any:  # noqa: N802
        """Describe a file, or return its content."""
        self._context.check()
        if part not in ("", "content"):
            raise NotFound(f"/v1/files/{file_id}/{part}")
        if file_id.endswith(OUTPUT_SUFFIX) and part == "content":
            return self._output(file_id.removesuffix(OUTPUT_SUFFIX))
        record = self._files.read(tenant_header(), file_id)
        if part == "content":
            cherrypy.response.headers["Content-Type"] = "application/octet-stream"
            return self._files.content(record)
        return send_json(file_document(record))

    GET._cp_config = STREAM_CONFIG  # type: ignore[attr-defined]

    def _output(self, job_id: str) -> Iterator[bytes]:
        cherrypy.response.headers["Content-Type"] = "application/x-ndjson"
        everything = ResultRange(0, MAX_JOB_ITEMS)
        return self._batches.results(tenant_header(), job_id, everything, partial=True)


def file_document(record: FileRecord) -> dict[str, Any]:
    """Return a file in OpenAI's form."""
    return {
        "id": record.file_id,
        "object": "file",
        "bytes": record.size_bytes,
        "created_at": int(record.created_s),
        "filename": record.name,
        "purpose": record.purpose,
    }
