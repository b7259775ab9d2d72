"""What the commands that talk to a daemon share."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping
from typing import Any

import orjson
import urllib3

from mountstand.errors import MountstandError, PeerUnavailable
from mountstand.transport.whole_lines import pool_manager

DEFAULT_CALLERS_URL = "http://127.0.0.1:8001"
DEFAULT_CONTROL_URL = "http://127.0.0.1:8101"
TIMEOUT_S = 120.0


class RemoteProblem(MountstandError):
    """A daemon answered with a problem; code and remedy are the daemon's."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self.document = dict(document)
        super().__init__(str(document.get("detail", "")))

    def __str__(self) -> str:
        code = self.document.get("code", "http_error")
        detail = self.document.get("detail", "")
        return f"{code}: {detail}. Remedy: {self.document.get('remedy', '')}"


class DaemonClient:
    """Calls one daemon over HTTP."""

    def __init__(self, base_url: str, token: str = "", tenant: str = "") -> None:
        self._base_url = base_url.rstrip("/")
        self._headers: dict[str, str] = {}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"
        if tenant:
            self._headers["X-Tenant"] = tenant
        self._pool = pool_manager(retries=False, timeout=urllib3.Timeout(TIMEOUT_S))

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
        *,
        stream: bool = False,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request; raise ``RemoteProblem`` for an error answer."""
        try:
            response = self._pool.request(
                method,
                self._base_url + path,
                body=body,
                headers={**self._headers, **(headers or {})},
                preload_content=not stream,
            )
        except urllib3.exceptions.HTTPError as problem:
            raise PeerUnavailable(f"{self._base_url}: {type(problem).__name__}") from None
        if response.status >= 400:
            raise RemoteProblem(read_problem(response.read() if stream else response.data))
        return response

    def json(self, method: str, path: str, body: Any = None, **keywords: Any) -> Any:
        """Send a request and return the JSON answer."""
        return orjson.loads(self.request(method, path, body, **keywords).data)


def read_problem(body: bytes) -> dict[str, Any]:
    """Return the problem document in ``body``, whatever it is."""
    try:
        document = orjson.loads(body)
    except ValueError:
        return {"detail": body[:200].decode(errors="replace")}
    return document if isinstance(document, dict) else {"detail": str(document)}


def print_json(value: Any) -> None:
    """Print one JSON line for scripts."""
    sys.stdout.write(json.dumps(value) + "\n")
