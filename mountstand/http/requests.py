"""Reading of requests: headers and bodies, checked, with typed errors."""

from __future__ import annotations

import uuid
from collections.abc import Iterator
from typing import Any

import cherrypy
import orjson

from mountstand.clock import elapsed_s
from mountstand.errors import BodyTooLarge, MalformedRequest, Unauthorized
from mountstand.http.server import caller_is_gone
from mountstand.online.request import OnlineRequest

MAX_ONLINE_BODY_BYTES = 8 * 1024 * 1024
MAX_DEADLINE_MS = 600_000
MAX_HEADER_VALUE = 200
DEFAULT_TENANT = "default"
READ_CHUNK_BYTES = 65536
STREAM_CONFIG = {"response.stream": True}
"""For handlers whose body must not be collected before it is sent."""


def read_body(limit_bytes: int) -> bytes:
    """Return the request's body; raise ``BodyTooLarge`` over ``limit_bytes``."""
    announced = cherrypy.request.headers.get("Content-Length")
    if announced is not None and int(announced) > limit_bytes:
        raise BodyTooLarge(f"{announced} bytes; the limit is {limit_bytes}")
    body = cherrypy.request.rfile.read(limit_bytes + 1) if has_body() else b""
    if len(body) > limit_bytes:
        raise BodyTooLarge(f"the limit is {limit_bytes} bytes")
    return body


def body_blocks() -> Iterator[bytes]:
    """Yield the request's body block by block.

    Not by lines: readline of cheroot's reader for chunked bodies never returns at the end.
    """
    while block := cherrypy.request.rfile.read(READ_CHUNK_BYTES):
        yield block


def has_body() -> bool:
    """Return whether the request announces a body."""
    headers = cherrypy.request.headers
    return "Content-Length" in headers or "Transfer-Encoding" in headers


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``."""
    try:
        value = orjson.loads(body)
    except ValueError as problem:
        raise MalformedRequest(f"the body is not JSON: {problem}") from None
    if not isinstance(value, dict):
        raise MalformedRequest("the body must be a JSON object")
    return value


def header(name: str, default: str = "") -> str:
    """Return a header, bounded in length and printable."""
    value: str = cherrypy.request.headers.get(name, default)
    if len(value) > MAX_HEADER_VALUE or not value.isprintable():
        raise MalformedRequest(f"header {name} is over {MAX_HEADER_VALUE} printable characters")
    return value


def tenant_header() -> str:
    """Return the tenant of the request, from ``X-Tenant``."""
    return identifier_header("X-Tenant", DEFAULT_TENANT)


def identifier_header(name: str, default: str = "") -> str:
    """Return a header that names something; slashes would confuse it with other keys."""
    value = header(name, default)
    if "/" in value:
        raise MalformedRequest(f"header {name} must not contain '/'")
    return value


def deadline_header(default_ms: int) -> float:
    """Return the seconds that the caller allows, from ``X-Deadline-Ms``."""
    text = header("X-Deadline-Ms", str(default_ms))
    if not text.isdigit() or not 1 <= int(text) <= MAX_DEADLINE_MS:
        raise MalformedRequest(f"header X-Deadline-Ms must be 1 to {MAX_DEADLINE_MS}")
    return int(text) / 1000.0


def repeatable_header() -> bool:
    """Return whether the request may run twice, from ``X-Repeatable``."""
    text = header("X-Repeatable", "yes").lower()
    if text not in ("yes", "no"):
        raise MalformedRequest("header X-Repeatable must be yes or no")
    return text == "yes"


def check_token(tokens: frozenset[str]) -> None:
    """Raise ``Unauthorized`` unless no tokens are configured or the request carries one."""
    if not tokens:
        return
    scheme, _, token = header("Authorization").partition(" ")
    if scheme.lower() != "bearer" or token not in tokens:
        raise Unauthorized()


def build_online_request(
    service: str,
    path: str,
    body: bytes,
    *,
    default_deadline_ms: int,
    stream: bool = False,
    prefix: tuple[str, ...] = (),
) -> OnlineRequest:
    """Return the typed request for the present HTTP request."""
    arrival_s = elapsed_s()
    environ = cherrypy.request.wsgi_environ
    repeatable = repeatable_header()
    key = identifier_header("Idempotency-Key")
    if stream and key and not repeatable:
        raise MalformedRequest("a keyed request with X-Repeatable: no cannot be streamed")
    return OnlineRequest(
        request_id=identifier_header("X-Request-Id") or uuid.uuid4().hex,
        service=service,
        tenant=tenant_header(),
        method=cherrypy.request.method,
        path=path,
        body=body,
        arrival_s=arrival_s,
        deadline_s=arrival_s + deadline_header(default_deadline_ms),
        repeatable=repeatable,
        idempotency_key=key,
        stream=stream,
        prefix=prefix,
        caller_gone=lambda: caller_is_gone(environ),
    )
