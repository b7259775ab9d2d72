"""Errors as RFC 9457 problem documents, and the CherryPy hooks that answer with them."""

from __future__ import annotations

import logging
import math
import sys

import cherrypy
import orjson

from mountstand.errors import MountstandError

logger = logging.getLogger(__name__)

PROBLEM_TYPE = "application/problem+json"


def problem_document(error: MountstandError) -> dict[str, object]:
    """Return the problem document of ``error``."""
    document: dict[str, object] = {
        "type": f"urn:mountstand:error:{error.code}",
        "title": error.title,
        "status": error.http_status,
        "code": error.code,
        "detail": error.detail,
        "remedy": error.remedy,
        "executed": error.executed.value,
    }
    if error.retry_after_s is not None:
        document["retry_after_s"] = round(error.retry_after_s, 3)
    return document


def answer_exception() -> None:
    """Answer the exception being handled; CherryPy calls this as ``request.error_response``."""
    error = sys.exc_info()[1]
    if not isinstance(error, MountstandError):
        logger.error("unexpected error", exc_info=True)
        error = MountstandError("the daemon met an error of its own; see its log")
    response = cherrypy.serving.response
    response.status = error.http_status
    response.headers["Content-Type"] = PROBLEM_TYPE
    response.headers["X-Executed"] = error.executed.value
    response.headers["Connection"] = "close"
    if error.retry_after_s is not None:
        # The header takes whole seconds; the document has the exact time.
        response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after_s)))
    response.body = [orjson.dumps(problem_document(error))]


def answer_http_error(status: str, message: str, traceback: str, version: str) -> bytes:
    """Answer an error that CherryPy itself raised, such as a path that does not exist."""
    response = cherrypy.serving.response
    response.headers["Content-Type"] = PROBLEM_TYPE
    response.headers["X-Executed"] = "no"
    number = int(status.split()[0])
    return orjson.dumps(
        {
            "type": "urn:mountstand:error:http",
            "title": status,
            "status": number,
            "code": "not_found" if number == 404 else "http_error",
            "detail": message,
            "remedy": "Correct the method or the path; docs/operators/http.md lists them.",
            "executed": "no",
        }
    )
