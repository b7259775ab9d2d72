"""Reading lines from a source that comes in blocks, with a bound on the memory of a line."""

from __future__ import annotations

from collections.abc import Callable, Iterator

ReadLine = Callable[[int], bytes]
"""Returns the next line, at most so many bytes of it; empty at the end."""


def line_reader(blocks: Iterator[bytes]) -> ReadLine:
    """Return a function that reads ``blocks`` line by line; an empty block ends them."""
    pending = b""
    ended = False

    def read_line(limit: int) -> bytes:
        nonlocal pending, ended
        while b"\n" not in pending and len(pending) < limit and not ended:
            block = next(blocks, b"")
            ended = not block
            pending += block
        line, newline, _ = pending[:limit].partition(b"\n")
        taken = line + newline
        pending = pending[len(taken) :]
        return taken

    return read_line
