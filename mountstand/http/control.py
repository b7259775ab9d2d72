"""The control interface of a daemon: health, metrics, status and drains for operators."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import cherrypy
import orjson

from mountstand.errors import NotFound
from mountstand.http.requests import check_token
from mountstand.telemetry.metrics import DaemonMetrics


def send_json(value: Any) -> bytes:
    """Return ``value`` as the JSON body of the response."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return orjson.dumps(value)


class HealthResource:
    """``GET /healthz``: the process answers."""

    exposed = True

    def GET(self) -> bytes:  # noqa: N802
        """Answer that the process is alive."""
        return send_json({"alive": True})


class ReadyResource:
    """``GET /readyz``: the daemon takes callers' requests."""

    exposed = True

    def __init__(self, missing_for_ready: Callable[[], list[str]]) -> None:
        self._missing_for_ready = missing_for_ready

    def GET(self) -> bytes:  # noqa: N802
        """Answer 200 when ready, and 503 with what is missing when not."""
        missing = self._missing_for_ready()
        cherrypy.response.status = 503 if missing else 200
        return send_json({"ready": not missing, "missing": missing})


class MetricsResource:
    """``GET /metrics`` in the Prometheus text format."""

    exposed = True

    def __init__(self, metrics: DaemonMetrics) -> None:
        self._metrics = metrics

    def GET(self) -> bytes:  # noqa: N802
        """Return all counters."""
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self._metrics.render()


class StatusResource:
    """``GET /status/{part}``: what this daemon knows, for operators."""

    exposed = True

    def __init__(
        self, parts: dict[str, Callable[[], Any]], operator_tokens: frozenset[str]
    ) -> None:
        self._parts = parts
        self._tokens = operator_tokens

    def GET(self, part: str = "") -> bytes:  # noqa: N802
        """Return one part, or all."""
        check_token(self._tokens)
        if not part:
            return send_json({name: read() for name, read in self._parts.items()})
        if part not in self._parts:
            raise NotFound(f"status part {part}; there are {', '.join(sorted(self._parts))}")
        return send_json(self._parts[part]())
