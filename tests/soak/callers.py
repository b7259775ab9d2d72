"""Callers of the soak: online requests, batch jobs and probes, each checked as it ends."""

from __future__ import annotations

import asyncio
import itertools
import json
import random
from collections import Counter
from dataclasses import dataclass

from mountstand.transport.http_client import ClientConnection, ConnectFailed, ReplyBroken, connect
from tests.soak.crashing import ITEM_SHARE, MARK
from tests.soak.history import (
    REFUSALS,
    SLACK_S,
    BatchJob,
    OnlineRequest,
    stream_body,
    whole_body,
)
from tests.soak.site import (
    CONFIG_APPLY_S,
    HOST,
    ONLINE_TIMEOUT_S,
    ServingProcess,
    Site,
    job_document,
)
from tests.soak.tenants import UNKNOWN_KEY, SoakTenant

CONNECT_S = 1.0
CALL_TIMEOUT_S = ONLINE_TIMEOUT_S + 4.0
SUBMIT_TRIES = 4
FOREIGN_SHARE = 0.05
"""Share of reads of a job that are tried with a key of another tenant."""

KINDS = ("stream", "single", "plain", "once")
REPEATABLE = frozenset({"stream", "plain"})


class NoAnswer(Exception):
    """A call ended without a whole answer.

    ``head_read`` tells whether one had begun, ``reached`` whether a process had the connection,
    ``kept`` whether the connection had been open from an earlier call, ``timed_out`` whether
    nothing came, rather than the connection's end.
    """

    def __init__(
        self, cause: str, *, head_read: bool, reached: bool, kept: bool, timed_out: bool
    ) -> None:
        super().__init__(cause)
        self.timed_out = timed_out
        self.kept = kept
        self.head_read = head_read
        self.reached = reached


@dataclass(slots=True)
class OpenConnection:
    """A connection to a process, and the port that the proxy knows it by."""

    conn: ClientConnection
    local_port: int


class Callers:
    """Sends requests to the processes and checks what comes back."""

    def __init__(
        self,
        site: Site,
        crash_rng: random.Random,
        *,
        keeps_open: bool = False,
        crashing_items: bool = True,
    ) -> None:
        self._crashing_item_share = ITEM_SHARE if crashing_items else 0.0
        self._site = site
        self._keeps_open = keeps_open
        self._open_by_process: dict[str, list[OpenConnection]] = {}
        self._crash_rng = crash_rng
        self._history = site.history
        self._numbers = itertools.count()
        self.status_counts: Counter[str] = Counter()
        self.stopping = False

    # Online

    async def send_online(self) -> None:
        """Send requests one after another until told to stop."""
        while not self.stopping:
            await self._online_once()
            await asyncio.sleep(self._site.rng.uniform(0.0, 0.08))

    async def _online_once(self) -> None:
        rng = self._site.rng
        process = self._any_process()
        kind = rng.choice(KINDS)
        tenant = self._site.tenants.any_tenant()
        key = self._site.tenants.any_key(tenant)
        req = self._new_request(kind, tenant)
        await self._ask(process, req, kind, f"/{kind}/{req.request_id}", b"x", tenant, key)

    def _new_request(self, kind: str, tenant: SoakTenant) -> OnlineRequest:
        req = OnlineRequest(
            f"{kind}-{next(self._numbers)}",
            kind in REPEATABLE,
            asyncio.get_running_loop().time(),
            ONLINE_TIMEOUT_S,
            tenant.name,
        )
        self._history.online[req.request_id] = req
        return req

    async def send_crashing(self, kind: str, target: str, body: bytes) -> None:
        """Send a request that crashes workers, with an id of its own, to any process."""
        process = self._crash_rng.choice(self._site.processes)
        tenant = self._site.tenants.free_tenant()
        req = self._new_request(kind, tenant)

        def in_touch() -> bool:
            return process.in_touch(asyncio.get_running_loop().time())

        self._site.crashing.in_touch_by_id[req.request_id] = in_touch
        await self._ask(process, req, kind, target, body, tenant, tenant.keys[-1])

    async def _ask(
        self,
        process: ServingProcess,
        req: OnlineRequest,
        kind: str,
        target: str,
        sent: bytes,
        tenant: SoakTenant,
        key: str,
    ) -> None:
        """Send a request, and check its answer."""
        loop = asyncio.get_running_loop()
        try:
            status, body = await self._call(process, "POST", target, key, req.request_id, sent)
        except NoAnswer as exc:
            self.status_counts["none"] += 1
            self._check_broken(process, req, exc)
            return
        except ConnectFailed:
            self.status_counts["no connection"] += 1
            return
        self.status_counts[str(status)] += 1
        now_s = loop.time()
        self._history.note_answer(req, status, now_s)
        self._check_key(process, req, tenant, key, status)
        self._check_body(kind, req, status, body)
        late_s = now_s - req.sent_at_s - req.timeout_s
        if late_s > SLACK_S and process.in_touch(req.sent_at_s) and self._links_sound(process):
            self._history.violate(
                "CONFIG", req.request_id, f"answered {late_s:.2f} s after its time-out", now_s
            )

    def _check_key(
        self,
        process: ServingProcess,
        req: OnlineRequest,
        tenant: SoakTenant,
        key: str,
        status: int,
    ) -> None:
        """Good keys are never turned away; others are, by processes in touch."""
        if status == 401 and key in tenant.keys:
            self._history.violate("DENIED", req.request_id, "401 for a good key", req.sent_at_s)
        if status != 200 or key in tenant.keys:
            return
        since_s = tenant.withdrawn_at_s.get(key, float("-inf"))
        if key == UNKNOWN_KEY:
            self._history.violate("ROUTE", req.request_id, "served an unknown key", req.sent_at_s)
        elif req.sent_at_s - since_s > CONFIG_APPLY_S + SLACK_S and process.in_touch(since_s):
            late_s = req.sent_at_s - since_s
            detail = f"served a key {late_s:.2f} s after it was withdrawn"
            self._history.violate("CONFIG", req.request_id, detail, req.sent_at_s)

    def _check_body(self, kind: str, req: OnlineRequest, status: int, body: bytes) -> None:
        if status != 200:
            return
        is_stream = kind in ("stream", "single")
        expected = stream_body(req.request_id) if is_stream else whole_body(req.request_id)
        if body != expected:
            detail = f"{len(body)} bytes instead of {len(expected)}: {body[-60:]!r}"
            self._history.violate("MIXED", req.request_id, detail, req.sent_at_s)

    def _check_broken(self, process: ServingProcess, req: OnlineRequest, exc: NoAnswer) -> None:
        """Check that a request that was read ended with an answer if nothing was disturbed."""
        sound = process.in_touch(req.sent_at_s) and self._links_sound(process)
        if self._may_have_crossed(req, exc):
            return
        if sound and exc.reached and not exc.head_read:
            now_s = asyncio.get_running_loop().time()
            stop = " (planned stop)" if process.stopping else ""
            self._history.violate("LOST", req.request_id, f"no answer: {exc}{stop}", now_s)

    def _may_have_crossed(self, req: OnlineRequest, exc: NoAnswer) -> bool:
        """Return whether a request may have crossed the process's close of an open connection.

        Such a request is not read, so no worker runs it; one that is not answered in time did not
        cross.
        """
        ran = bool(self._history.runs_by_id.get(req.request_id))
        return exc.kept and not exc.timed_out and not ran

    def _links_sound(self, process: ServingProcess) -> bool:
        return not process.caller_link.faults.any

    # Batch

    async def send_jobs(self) -> None:
        """Hand in jobs, and read each to its end, until told to stop."""
        tasks = []
        while not self.stopping:
            tasks.append(asyncio.create_task(self._run_job()))
            await asyncio.sleep(self._site.rng.uniform(0.5, 2.0))
        await asyncio.gather(*tasks)

    async def _run_job(self) -> None:
        rng = self._site.rng
        number = next(self._numbers)
        item_ids = [f"item-{number}-{i}" for i in range(rng.randint(1, 20))]
        if rng.random() < 0.2:
            item_ids[-1] += "-undoable"
            self._history.given_up_reasons.add(item_ids[-1])
        if self._crash_rng.random() < self._crashing_item_share:
            item_ids.append(f"item-{number}-{MARK}")
        tenant = self._site.tenants.free_tenant()
        job = BatchJob(f"job-{number}", item_ids, tenant.name)
        self._history.jobs[job.job_id] = job
        for item_id in item_ids:
            self._history.job_by_item[item_id] = job
        await self._submit(job)
        if job.accepted_at_s is None:
            return
        if rng.random() < 0.15:
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            await self._end_job(job)
        await self._read_to_end(job)

    async def _submit(self, job: BatchJob) -> None:
        """Hand a job in, again after each failure, at another process."""
        refused = 0
        for _ in range(SUBMIT_TRIES):
            try:
                status, _ = await self._call(
                    self._any_process(),
                    "POST",
                    f"/batch/{job.job_id}",
                    self._key_of(job),
                    job.job_id,
                    job_document(job.item_ids),
                )
            except ConnectFailed:
                await asyncio.sleep(0.2)
                continue
            except NoAnswer:
                await asyncio.sleep(0.2)
                refused -= SUBMIT_TRIES
                continue
            self.status_counts[f"job {status}"] += 1
            if status == 202:
                job.accepted_at_s = asyncio.get_running_loop().time()
                return
            refused = refused + 1 if status in REFUSALS else -SUBMIT_TRIES
            await asyncio.sleep(0.5)
        job.refused_everywhere = refused > 0
        if job.refused_everywhere and any(map(self._history.runs_by_id.get, job.item_ids)):
            now_s = asyncio.get_running_loop().time()
            self._history.violate("REFUSED", job.job_id, "ran before its refusal", now_s)

    async def _end_job(self, job: BatchJob) -> None:
        job.end_asked = True
        while not self._over(job):
            try:
                status, _ = await self._call(
                    self._any_process(), "DELETE", f"/lots/{job.job_id}", self._key_of(job)
                )
            except (NoAnswer, ConnectFailed):
                await asyncio.sleep(0.2)
                continue
            if status == 200:
                job.ended_at_s = asyncio.get_running_loop().time()
                return
            if status == 404:
                self._violate_unknown(job)
                return
            await asyncio.sleep(0.2)

    async def _read_to_end(self, job: BatchJob) -> None:
        rng = self._site.rng
        expected = sum(not item_id.endswith(MARK) for item_id in job.item_ids)
        while len(job.results) < expected and not self._over(job):
            after = len(job.results)
            if after and rng.random() < 0.2:
                after = rng.randrange(after)
            await self._read_page(job, after)
            await asyncio.sleep(rng.uniform(0.2, 0.6))
            if job.ended_at_s is not None:
                return

    async def _read_page(self, job: BatchJob, after: int) -> None:
        target = f"/lots/{job.job_id}?after={after}"
        foreign = self._site.rng.random() < FOREIGN_SHARE
        key = self._foreign_key(job) if foreign else self._key_of(job)
        try:
            status, body = await self._call(self._any_process(), "GET", target, key)
        except (NoAnswer, ConnectFailed):
            return
        if foreign:
            if status == 200:
                now_s = asyncio.get_running_loop().time()
                self._history.violate("MIXED", job.job_id, "read by another tenant", now_s)
            return
        self.status_counts[f"read {status}"] += 1
        now_s = asyncio.get_running_loop().time()
        if status in (404, 410):
            self._violate_unknown(job)
        elif status == 200:
            page = json.loads(body)
            if page["total"] != len(job.item_ids):
                self._history.violate("MIXED", job.job_id, f"total {page['total']}", now_s)
            self._history.note_page(job, after, page["results"], now_s)

    def _key_of(self, job: BatchJob) -> str:
        tenants = self._site.tenants.tenants
        return next(tenant.keys[-1] for tenant in tenants if tenant.name == job.tenant)

    def _foreign_key(self, job: BatchJob) -> str:
        tenants = self._site.tenants.tenants
        return next(tenant.keys[-1] for tenant in tenants if tenant.name != job.tenant)

    def _violate_unknown(self, job: BatchJob) -> None:
        now_s = asyncio.get_running_loop().time()
        self._history.violate("LOST", job.job_id, "404 for an accepted job", now_s)

    def _over(self, job: BatchJob) -> bool:
        return self.give_up

    give_up = False
    """Set when the time after the last fault is over."""

    # Probes

    async def probe_route(self, process: ServingProcess, prefix: str) -> int | None:
        """Return the status that one process gives to a path, or ``None`` without an answer."""
        request_id = f"probe-{next(self._numbers)}"
        loop = asyncio.get_running_loop()
        req = OnlineRequest(request_id, True, loop.time(), ONLINE_TIMEOUT_S)
        self._history.online[request_id] = req
        try:
            target = f"{prefix}plain/{request_id}"
            key = self._site.tenants.free_tenant().keys[-1]
            status, _ = await self._call(process, "POST", target, key, request_id, b"x")
        except (NoAnswer, ConnectFailed):
            return None
        return status

    # One call

    def _any_process(self) -> ServingProcess:
        return self._site.rng.choice(self._site.processes)

    async def _call(
        self,
        process: ServingProcess,
        method: str,
        target: str,
        key: str,
        request_id: str = "",
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        """Make one call. Raises ``ConnectFailed`` or ``NoAnswer``."""
        used, kept = await self._connection(process)
        conn = used.conn
        headers = [("Host", HOST), ("Api-Key", key)]
        if request_id:
            headers += [("Request-Id", request_id)]
            headers += [("Deadline-Ms", str(int(ONLINE_TIMEOUT_S * 1000)))]
        head_read = False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                conn.send(method, target, headers, body)
                head = await conn.read_head()
                head_read = True
                answer = head.status, await self._read_body(conn)
            self._keep(process, used)
            return answer
        except (ReplyBroken, TimeoutError) as exc:
            cause = str(exc) or "no answer in time"
            raise NoAnswer(
                cause,
                head_read=head_read,
                reached=not process.caller_link.swallows(used.local_port),
                kept=kept,
                timed_out=isinstance(exc, TimeoutError),
            ) from None
        finally:
            if used not in self._open_by_process.get(process.name, []):
                conn.close()

    async def _connection(self, process: ServingProcess) -> tuple[OpenConnection, bool]:
        """Return an open connection to a process, or a new one, and whether it was open."""
        idle = self._open_by_process.get(process.name, [])
        while idle:
            used = idle.pop()
            if used.conn.open:
                return used, True
        conn = await connect("127.0.0.1", process.caller_link.port, CONNECT_S)
        assert conn._transport is not None
        return OpenConnection(conn, conn._transport.get_extra_info("sockname")[1]), False

    def _keep(self, process: ServingProcess, used: OpenConnection) -> None:
        """Keep a connection for further calls, as long as the process does."""
        if self._keeps_open and used.conn.end_exchange():
            self._open_by_process.setdefault(process.name, []).append(used)

    async def _read_body(self, conn: ClientConnection) -> bytes:
        pieces = []
        while (piece := await conn.read_piece()) is not None:
            pieces.append(piece)
        return b"".join(pieces)
