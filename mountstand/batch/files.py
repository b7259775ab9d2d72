"""Files of the OpenAI-shaped batch interface: a file's blocks as objects, its record as a row."""

from __future__ import annotations

import time
import uuid
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict

from mountstand.batch.lines import ReadLine, line_reader
from mountstand.errors import BodyTooLarge, MalformedRequest, NotFound
from mountstand.store.ports import ABSENT, Condition, ObjectPort, Put, TablePort, Transaction

BLOCK_BYTES = 1024 * 1024
MAX_FILE_BYTES = 4 * 1024 * 1024 * 1024


class FileRecord(BaseModel):
    """One uploaded file."""

    model_config = ConfigDict(frozen=True)

    file_id: str
    purpose: str
    name: str
    size_bytes: int
    blocks: int
    created_s: float


@dataclass(frozen=True)
class FileDescription:
    """What an uploader says of a file."""

    purpose: str
    name: str


class FileStore:
    """Writes and reads files; memory holds one block."""

    def __init__(self, table: TablePort, objects: ObjectPort) -> None:
        self._table = table
        self._objects = objects

    def write(
        self, tenant: str, pieces: Iterable[bytes], describe: Callable[[], FileDescription]
    ) -> FileRecord:
        """Store a file; it exists once its record is durable.

        ``describe`` is called after the last piece, because a form may name things after the file.
        """
        file_id = f"file-{uuid.uuid4().hex}"
        blocks = 0
        size_bytes = 0
        for block in iterate_blocks(pieces):
            size_bytes += len(block)
            if size_bytes > MAX_FILE_BYTES:
                raise BodyTooLarge(f"a file may have {MAX_FILE_BYTES} bytes")
            self._objects.put(block_object(file_id, blocks), block)
            blocks += 1
        if not blocks:
            raise MalformedRequest("the form has no file, or an empty one")
        description = describe()
        record = FileRecord(
            file_id=file_id,
            purpose=description.purpose,
            name=description.name,
            size_bytes=size_bytes,
            blocks=blocks,
            created_s=time.time(),
        )
        key = file_row(tenant, file_id)
        self._table.commit(
            Transaction(
                write_id=file_id,
                conditions=[Condition(key=key, version=ABSENT)],
                puts=[Put(key=key, value=record.model_dump())],
            )
        )
        return record

    def read(self, tenant: str, file_id: str) -> FileRecord:
        """Return a file's record; raise ``NotFound`` without one."""
        row = self._table.read(file_row(tenant, file_id)).row(file_row(tenant, file_id))
        if row is None:
            raise NotFound(f"file {file_id}")
        return FileRecord.model_validate(row.value)

    def content(self, record: FileRecord) -> Iterator[bytes]:
        """Yield a file's blocks."""
        for number in range(record.blocks):
            yield self._objects.get(block_object(record.file_id, number))

    def line_reader(self, record: FileRecord) -> ReadLine:
        """Return a function that reads a file line by line, as an upload is read."""
        return line_reader(self.content(record))


def iterate_blocks(pieces: Iterable[bytes]) -> Iterator[bytes]:
    """Yield ``pieces`` again in blocks of ``BLOCK_BYTES``."""
    pending = bytearray()
    for piece in pieces:
        pending += piece
        while len(pending) >= BLOCK_BYTES:
            yield bytes(pending[:BLOCK_BYTES])
            del pending[:BLOCK_BYTES]
    if pending:
        yield bytes(pending)


def file_row(tenant: str, file_id: str) -> str:
    """Return the row key of a file's record."""
    return f"file/{tenant}/{file_id}"


def block_object(file_id: str, number: int) -> str:
    """Return the name of one block of a file."""
    return f"file/{file_id}/{number:06d}"
