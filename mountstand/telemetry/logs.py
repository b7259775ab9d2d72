"""Structured logs: one JSON object per line, written for changes of state only."""

from __future__ import annotations

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = "mountstand"


def configure_logging(node: str, *, level: int = logging.INFO) -> None:
    """Send JSON lines of this process to standard error, each marked with ``node``."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"node": node},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    logging.getLogger(LOGGER_NAME).setLevel(level)


def log_state_change(logger: logging.Logger, event: str, **fields: Any) -> None:
    """Log one change of state; ``fields`` become keys of the JSON line."""
    logger.info(event, extra=fields)
