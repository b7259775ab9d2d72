"""The callers' interface: completions, models and application services.

Batch jobs are in :mod:`mountstand.http.batches`.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import cherrypy
import orjson

from mountstand.engines.port import BackendAnswer
from mountstand.engines.prefix_blocks import prefix_blocks
from mountstand.errors import (
    MalformedRequest,
    MountstandError,
    Stopping,
    UnknownModel,
    UnknownService,
)
from mountstand.http.requests import (
    MAX_ONLINE_BODY_BYTES,
    build_online_request,
    check_token,
    has_body,
    parse_json_object,
    read_body,
    tenant_header,
)
from mountstand.http.server import TAKE_OVER_KEY, TakeOver
from mountstand.online.request import OnlineRequest
from mountstand.online.service import OnlineService
from mountstand.routing.prefix_index import MAX_HASHED_BLOCKS
from mountstand.routing.router import Router
from mountstand.telemetry.metrics import DaemonMetrics


class CallerContext:
    """What all handlers of the callers' interface share."""

    def __init__(
        self,
        router: Router,
        online: OnlineService,
        metrics: DaemonMetrics,
        tokens: frozenset[str],
        is_stopping: Callable[[], bool],
        setting: Callable[[str, str], Any],
    ) -> None:
        self.router = router
        self.online = online
        self.metrics = metrics
        self.tokens = tokens
        self.is_stopping = is_stopping
        self.setting = setting
        """Returns the value in force of a branch's setting, by path and key."""

    def check(self) -> None:
        """Refuse a request without a token or during a planned stop."""
        check_token(self.tokens)
        if self.is_stopping():
            raise Stopping()

    def default_deadline_ms(self, service: str) -> int:
        """Return the deadline of requests that name none, for this service and tenant."""
        path = f"services/{service}/tenants/{tenant_header()}"
        return int(self.setting(path, "default_deadline_ms"))

    def answer(self, request: OnlineRequest) -> bytes:
        """Run a request, count it, and fill in the response."""
        outcome = "ok"
        try:
            answer = self.online.call(request)
        except MountstandError as error:
            outcome = error.code
            raise
        finally:
            self.metrics.online_requests.labels(request.service, outcome).inc()
        return fill_response(request, answer)


def fill_response(request: OnlineRequest, answer: BackendAnswer) -> bytes:
    """Copy a back end's answer into CherryPy's response."""
    response = cherrypy.response
    response.status = answer.status
    response.headers["Content-Type"] = answer.content_type
    response.headers["X-Request-Id"] = request.request_id
    return answer.body


class CompletionsResource:
    """``POST /v1/completions`` and ``POST /v1/chat/completions``."""

    exposed = True

    def __init__(self, context: CallerContext, path: str) -> None:
        self._context = context
        self._path = path

    def POST(self) -> bytes:  # noqa: N802 (the name that CherryPy's dispatcher looks for)
        """Answer a completion, whole or as an event stream."""
        self._context.check()
        body = read_body(MAX_ONLINE_BODY_BYTES)
        document = parse_json_object(body)
        service = find_service(document, self._context.router.models())
        stream = document.get("stream", False)
        if not isinstance(stream, bool):
            raise MalformedRequest("stream must be true or false")
        prefix = tuple(prefix_blocks(prompt_text(document), MAX_HASHED_BLOCKS))
        request = build_online_request(
            service,
            self._path,
            body,
            default_deadline_ms=self._context.default_deadline_ms(service),
            stream=stream,
            prefix=prefix,
        )
        if not stream:
            return self._context.answer(request)
        self._start_stream(request)
        return b""

    def _start_stream(self, request: OnlineRequest) -> None:
        online = self._context.online
        try:
            lease, opened = online.open_stream(request)
        except MountstandError as error:
            self._context.metrics.online_requests.labels(request.service, error.code).inc()
            raise

        def accept(caller: Any, head: bytes, chunked: bool) -> None:
            online.hold_stream(lease, opened, caller, head, chunked_to_caller=chunked)

        slot = cherrypy.request.wsgi_environ[TAKE_OVER_KEY]
        slot.take_over = TakeOver(request.request_id, accept)


class ModelsResource:
    """``GET /v1/models``."""

    exposed = True

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    def GET(self) -> bytes:  # noqa: N802
        """List the models in OpenAI's form."""
        self._context.check()
        created = int(time.time())
        models = [
            {"id": model, "object": "model", "created": created, "owned_by": "mountstand"}
            for model in sorted(self._context.router.models())
        ]
        cherrypy.response.headers["Content-Type"] = "application/json"
        return orjson.dumps({"object": "list", "data": models})


class ServicesResource:
    """``/v1/services/{service}/{path}``: requests to application back ends."""

    exposed = True

    def __init__(self, context: CallerContext) -> None:
        self._context = context

    def GET(self, service: str = "", *path: str, **query: str) -> bytes:  # noqa: N802
        """Relay a request that changes nothing."""
        return self._relay(service, path)

    def POST(self, service: str = "", *path: str, **query: str) -> bytes:  # noqa: N802
        """Relay a request."""
        return self._relay(service, path)

    def PUT(self, service: str = "", *path: str, **query: str) -> bytes:  # noqa: N802
        """Relay a request."""
        return self._relay(service, path)

    def DELETE(self, service: str = "", *path: str, **query: str) -> bytes:  # noqa: N802
        """Relay a request."""
        return self._relay(service, path)

    def _relay(self, service: str, path: tuple[str, ...]) -> bytes:
        self._context.check()
        if service not in self._context.router.services():
            raise UnknownService(service)
        body = read_body(MAX_ONLINE_BODY_BYTES) if has_body() else b""
        target = "/" + "/".join(quote(part) for part in path)
        if cherrypy.request.query_string:
            target += "?" + cherrypy.request.query_string
        deadline_ms = self._context.default_deadline_ms(service)
        request = build_online_request(service, target, body, default_deadline_ms=deadline_ms)
        return self._context.answer(request)


def find_service(document: dict[str, Any], models: dict[str, str]) -> str:
    """Return the service that has the model a request names."""
    model = document.get("model")
    if not isinstance(model, str):
        raise MalformedRequest("model must be a string")
    if model not in models:
        raise UnknownModel(model)
    return models[model]


def prompt_text(document: dict[str, Any]) -> str:
    """Return the prompt or the joined messages of a request, checked for their types."""
    max_tokens = document.get("max_tokens", 16)
    if not isinstance(max_tokens, int) or max_tokens < 1:
        raise MalformedRequest("max_tokens must be a whole number over 0")
    if "prompt" in document:
        if not isinstance(document["prompt"], str):
            raise MalformedRequest("prompt must be a string")
        return str(document["prompt"])
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise MalformedRequest("prompt or messages is missing")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("content"), str):
            raise MalformedRequest("each message must have a role and a content string")
        parts.append(f"{message.get('role', '')}: {message['content']}")
    return "\n".join(parts)


class Namespace:
    """A path segment that only holds other resources, each set as an attribute."""

    exposed = False

    def __init__(self, **children: object) -> None:
        self.__dict__.update(children)
