"""The calls that callers make: requests, batch jobs, resolve and ready."""

from __future__ import annotations

import asyncio
import re
from base64 import b64decode
from binascii import Error as Base64Error
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs, unquote

import orjson

from mountstand.errors import MountstandError
from mountstand.jobs.acceptance import SubmitOutcome
from mountstand.jobs.model import ItemResult, ItemState, JobItem, JobSubmission
from mountstand.jobs.reading import ANY_TENANT, ResultPage
from mountstand.platform import names
from mountstand.platform.worker_protocol import parse_prompt
from mountstand.serving.configuration import Configuration, RequestKind, Route
from mountstand.serving.forwarder import RETRY_AFTER_UNAVAILABLE_S
from mountstand.serving.worker_protocol import Call
from mountstand.serving_node import ServingNode
from mountstand.store.rows import StoreError
from mountstand.tenants.errors import KeyNotVerifiable, TenantOverLimit, UnknownKey
from mountstand.tenants.tenant import Tenant
from mountstand.transport.headers import Header, Headers, number
from mountstand.transport.responder import Responder, ServerRequest, reject

MAX_ITEMS = 200
MAX_ITEM_TOKENS = 10**9
"""Most tokens of an item; a higher count can't be true, and is taken for this one."""

MAX_PAGE_BYTES = 900_000
"""Results of one page; the platform's bound is 1 MB with its own framing."""

MAX_WAIT_S = 1.0
DELETE_TIMEOUT_S = 3.0
RETRY_PAUSE_S = 0.1
RETRY_OVER_QUOTA_S = 1.0
"""When a caller is told to come back whose job does not fit: items end many times a second."""

RESOLVE_TTL_S = 5.0
"""How long callers keep the list of addresses; some keep it three times as long. A daemon that
stops serves for longer than that."""

MALFORMED = (AttributeError, Base64Error, KeyError, TypeError, ValueError)
"""What reading a document of another form than expected raises."""

SENDABLE_TARGET = re.compile(r"/[!-~\x80-\xff]*")
"""A path with its query as it may stand in a request line."""

SENDABLE_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""A header's name. With a space before its colon, some would read another header than others."""

SENDABLE_TEXT = re.compile(r"[\t -~\x80-\xff]*")
"""A value as it may stand in a header line."""

JSON: list[Header] = [("Content-Type", "application/json")]


class MalformedJob(Exception):
    """The body of a submission is no batch job."""


class Ingress:
    """Turns callers' calls into calls of the product."""

    def __init__(self, node: ServingNode) -> None:
        self._node = node

    async def handle_ready(self, request: ServerRequest, responder: Responder) -> None:
        """Answer the platform's own checks."""
        responder.send(200 if self._node.ready else 503)

    async def handle_address_lookup(self, request: ServerRequest, responder: Responder) -> None:
        """Tell a caller which addresses to use."""
        if request.path != names.RESOLVE_PATH:
            responder.send(404)
            return
        query = parse_qs(request.query)
        zone = query.get(names.CALLER_ZONE, [""])[0]
        host = query.get(names.CALLER_HOST, [""])[0]
        configuration = self._node.configuration
        addresses = (
            self._node.daemon_locator.addresses(configuration, host, zone) if configuration else []
        )
        if not addresses:
            reject(responder, RETRY_AFTER_UNAVAILABLE_S)
            return
        ttl_s = min(RESOLVE_TTL_S, self._node.settings.resolve_ttl_max_s)
        answer = {"addresses": addresses, "ttl_s": ttl_s}
        responder.send(200, JSON, orjson.dumps(answer))

    async def handle_request(self, request: ServerRequest, responder: Responder) -> None:
        """Route one request of a caller."""
        configuration = self._node.configuration
        if configuration is None or (configuration.tenants and not self._node.has_shares):
            reject(responder, RETRY_AFTER_UNAVAILABLE_S)
            return
        try:
            await self._dispatch(configuration, request, responder)
        except (UnknownKey, KeyNotVerifiable) as denial:
            self._node.log.event(
                "caller_denied",
                code=denial.code,
                cause=denial.detail,
                path=request.path,
                request=request.headers.get(names.REQUEST_ID.lower()),
                configuration=configuration.version,
                configuration_age_s=round(self._node.configuration_age_s(), 3),
            )
            deny(responder, denial)
        except TenantOverLimit as denial:
            deny(responder, denial)

    async def _dispatch(
        self, configuration: Configuration, request: ServerRequest, responder: Responder
    ) -> None:
        host = request.headers.get("host") or ""
        if request.path.startswith((names.JOB_PREFIX, names.ITEM_PREFIX)):
            public = configuration.has_public_jobs(host)
            reader = self._reader(configuration, self._caller(configuration, request, public))
            if request.path.startswith(names.JOB_PREFIX):
                await self._handle_job(request, responder, reader)
            else:
                await self._handle_item(request, responder, reader)
            return
        route = configuration.match(host, request.path)
        if route is None:
            self._node.log.event(
                "no_route", host=host, path=request.path, configuration=configuration.version
            )
            responder.send(404)
            return
        tenant = self._caller(configuration, request, route.public)
        if route.kind is RequestKind.BATCH:
            await self._submit(route, request, responder, tenant)
        else:
            await self._forward(configuration, route, request, responder, tenant)

    def _caller(
        self, configuration: Configuration, request: ServerRequest, public: bool
    ) -> Tenant | None:
        """Return the caller's tenant, if it has one. Raises what ``CallerAccess`` does."""
        key = request.headers.get(names.CALLER_KEY.lower())
        return self._node.access.identify(configuration.tenants, key, public=public)

    def _reader(self, configuration: Configuration, tenant: Tenant | None) -> str | None:
        """Return whose batch jobs a caller may see."""
        if not configuration.tenants:
            return ANY_TENANT
        return tenant.name if tenant is not None else ""

    async def _forward(
        self,
        configuration: Configuration,
        route: Route,
        request: ServerRequest,
        responder: Responder,
        tenant: Tenant | None,
    ) -> None:
        request_id = request.headers.get(names.REQUEST_ID.lower()) or ""
        tenant_name = tenant.name if tenant is not None else ""
        await self._node.access.admit(tenant, request_id)
        call = Call(
            request_id=request_id,
            host=request.headers.get("host") or "",
            method=request.method,
            target=request.target,
            headers=tuple(request.headers.end_to_end()),
            body=request.body,
            prompt=parse_prompt(request.headers.get(names.PREFIX.lower())),
            last_event_id=number(request.headers.get(names.LAST_EVENT_ID.lower())),
            resumed_request_id=request.headers.get(names.RESUMES.lower()) or "",
            tenant=tenant_name,
            tenant_weight=tenant.weight if tenant is not None else None,
            priority=tenant.effective_priority(route.priority) if tenant else route.priority,
            regions=configuration.regions_for(route, tenant_name),
        )
        await self._node.forwarder.forward(
            route,
            call,
            responder,
            request.received_at_s,
            self._deadline_s(route, request),
            lambda: self._node.access.refund(tenant),
        )

    def _deadline_s(self, route: Route, request: ServerRequest) -> float:
        limit_s = route.timeout_s
        asked_ms = number(request.headers.get(names.DEADLINE_MS.lower()))
        if asked_ms is not None:
            limit_s = min(limit_s, asked_ms / 1000)
        return request.received_at_s + limit_s

    # Batch jobs

    async def _submit(
        self, route: Route, request: ServerRequest, responder: Responder, tenant: Tenant | None
    ) -> None:
        job_id = request.headers.get(names.REQUEST_ID.lower())
        if request.method != "POST" or not job_id or len(job_id) > 100:
            responder.send(400)
            return
        try:
            items = parse_items(request.body)
            check_sendable(items)
        except MalformedJob as problem:
            self._node.log.event("job_malformed", job=job_id, cause=str(problem))
            responder.send(400)
            return
        host = request.headers.get("host") or ""
        owner = tenant.name if tenant is not None else ""
        submission = JobSubmission(job_id, host, request.path, items, request.body, owner)
        outcome = await self._node.jobs.submit(submission, route, self._deadline_s(route, request))
        self._node.log.event(
            "job_submitted",
            job=job_id,
            tenant=owner,
            items=len(items),
            outcome=outcome.value,
            store_age_s=round(self._node.store_age_s(), 3),
        )
        if outcome is SubmitOutcome.ACCEPTED:
            responder.send(202)
        elif outcome is SubmitOutcome.REFUSED:
            reject(responder, RETRY_AFTER_UNAVAILABLE_S)
        elif outcome is SubmitOutcome.OVER_QUOTA:
            reject(responder, RETRY_OVER_QUOTA_S, 429)
        elif outcome is SubmitOutcome.ID_TAKEN:
            responder.send(409)
        else:
            responder.send(504)

    async def _handle_job(
        self, request: ServerRequest, responder: Responder, reader: str | None
    ) -> None:
        job_id = unquote(request.path.removeprefix(names.JOB_PREFIX))
        try:
            if request.method == "DELETE":
                await self._end_job(job_id, responder, reader)
            elif request.method == "GET":
                await self._read_job(job_id, request, responder, reader)
            else:
                responder.send(405)
        except StoreError as problem:
            self._node.log.event("job_unsure", job=job_id, cause=type(problem).__name__)
            reject(responder, RETRY_AFTER_UNAVAILABLE_S)

    async def _read_job(
        self, job_id: str, request: ServerRequest, responder: Responder, reader: str | None
    ) -> None:
        query = parse_qs(request.query)
        after = number(query.get("after", ["0"])[0])
        if after is None or after < 0:
            responder.send(400)
            return
        wait_ms = number(request.headers.get(names.WAIT_MS.lower())) or 0
        wait_s = min(MAX_WAIT_S, wait_ms / 1000)
        page = await self._node.jobs.read(job_id, after, wait_s, MAX_PAGE_BYTES, reader)
        if page is None:
            self._node.log.event("job_unknown", job=job_id)
            responder.send(404)
            return
        responder.send(200, JSON, encode_page(page))

    async def _end_job(self, job_id: str, responder: Responder, reader: str | None) -> None:
        deadline_s = asyncio.get_running_loop().time() + DELETE_TIMEOUT_S
        while True:
            try:
                found = await self._node.jobs.cancel(job_id, reader)
            except StoreError:
                if asyncio.get_running_loop().time() > deadline_s:
                    raise
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            self._node.log.event("job_ended", job=job_id, found=found)
            responder.send(200 if found else 404)
            return

    async def _handle_item(
        self, request: ServerRequest, responder: Responder, reader: str | None
    ) -> None:
        job_id = unquote(request.path.removeprefix(names.ITEM_PREFIX))
        item_id = parse_qs(request.query).get("id", [""])[0]
        try:
            body = await self._node.jobs.item_body(job_id, item_id, reader)
        except StoreError:
            reject(responder, RETRY_AFTER_UNAVAILABLE_S)
            return
        if body is None:
            responder.send(404)
        else:
            responder.send(200, [("Content-Type", "application/octet-stream")], body)


def deny(responder: Responder, denial: MountstandError) -> None:
    """Answer a caller whose request is not taken, with the time to come back if that helps."""
    if denial.retry_after_s is None:
        responder.send(denial.http_status)
    else:
        reject(responder, denial.retry_after_s, denial.http_status)


def parse_items(document: bytes) -> tuple[JobItem, ...]:
    """Return the items of a submission. Raises ``MalformedJob``."""
    try:
        entries = orjson.loads(document)["items"]
        items = tuple(_item(entry) for entry in entries)
    except MALFORMED as problem:
        raise MalformedJob(f"{type(problem).__name__}: {problem}") from None
    if not 0 < len(items) <= MAX_ITEMS:
        raise MalformedJob(f"{len(items)} items; 1 to {MAX_ITEMS} are allowed")
    if len({item.item_id for item in items}) != len(items):
        raise MalformedJob("two items with one id")
    return items


def check_sendable(items: Iterable[JobItem]) -> None:
    """Raise ``MalformedJob`` for an item that can't be sent to a worker as one request.

    Not for jobs that were accepted already: these are read back with all of their items.
    """
    for item in items:
        values = [item.item_id, *(value for _, value in item.headers)]
        if not SENDABLE_TARGET.fullmatch(item.target):
            raise MalformedJob(f"path {item.target!r}")
        if not all(SENDABLE_NAME.fullmatch(name) for name, _ in item.headers):
            raise MalformedJob(f"header names of {item.item_id!r}")
        if not all(SENDABLE_TEXT.fullmatch(value) for value in values):
            raise MalformedJob(f"id or headers of {item.item_id!r}")


def _item(entry: dict[str, Any]) -> JobItem:
    headers = {str(name): str(value) for name, value in (entry.get("headers") or {}).items()}
    prefix = next((v for n, v in headers.items() if n.lower() == names.PREFIX.lower()), None)
    return JobItem(
        item_id=str(entry["id"]),
        target=str(entry["path"]),
        headers=tuple(Headers(headers.items()).end_to_end()),
        body=b64decode(entry.get("body") or "", validate=True),
        prompt=parse_prompt(prefix),
        tokens=min(MAX_ITEM_TOKENS, max(0, int(entry.get("tokens") or 0))),
    )


def encode_page(page: ResultPage) -> bytes:
    """Return a page of results as callers read it."""
    return orjson.dumps(
        {
            "total": page.total,
            "next_token": page.next_position,
            "results": [_result(result) for result in page.results],
        }
    )


def _result(result: ItemResult) -> dict[str, str]:
    completed = result.state is ItemState.COMPLETED
    return {
        "id": result.item_id,
        "state": names.COMPLETED if completed else names.GIVEN_UP,
        "text": result.text,
    }
