"""One JSON line on standard output per decision, bounded in rate and never blocking.

Lines go through a non-blocking write; what does not fit the rate or the pipe is counted and told
in the next line that gets through.
"""

from __future__ import annotations

import io
import logging
import math
import os
import sys
import time
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from mountstand.clock import elapsed_s

LINES_PER_S = 200.0
BURST_LINES = 600.0
"""A steady rate that a collector can take, and room for the start of a disturbance."""


class NonBlockingStream(io.TextIOBase):
    """Writes whole lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write a line, or count it as left out."""
        try:
            os.write(self._descriptor, text.encode())
        except OSError:
            self.left_out += 1
        return len(text)


class DecisionLog:
    """Writes decision lines of one process; ``time_s`` is the time of day, since the epoch."""

    def __init__(self, node: str, stream: Any = None) -> None:
        self._node = node
        self._tokens = BURST_LINES
        self._filled_at_s = elapsed_s()
        self._left_out = 0
        self._stream = stream or NonBlockingStream(sys.stdout.fileno())
        handler = logging.StreamHandler(self._stream)
        handler.setFormatter(JsonFormatter("%(message)s", rename_fields={"message": "event"}))
        self._logger = logging.Logger("mountstand.decisions")
        self._logger.addHandler(handler)

    def event(self, event: str, **fields: Any) -> None:
        """Write one line; ``fields`` are the decision's inputs, their age, and its outcome."""
        if not self._take_token():
            self._left_out += 1
            return
        if self._left_out:
            fields["lines_left_out"] = self._left_out
            self._left_out = 0
        now_s = round(time.time(), 3)
        values = {name: _json_value(value) for name, value in fields.items()}
        self._logger.info(event, extra={"time_s": now_s, "node": self._node, **values})

    def _take_token(self) -> bool:
        now_s = elapsed_s()
        earned = (now_s - self._filled_at_s) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + earned)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def milliseconds(seconds: float) -> float:
    """Return a duration as it is logged."""
    return round(seconds * 1000, 1)


def _json_value(value: Any) -> Any:
    """Return a field's value as JSON can tell it: an age that is not known yet becomes null."""
    if isinstance(value, float) and not math.isfinite(value):
        return None
    return value
