"""What callers and workers saw, and the promises that it must keep.

The checker knows nothing of the processes' inside. Every request has an id of its own; what a
worker answers follows from the id alone, so that any mix-up shows.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

DRAIN_S = 2.0
CANCEL_S = 3.0
"""Bounds that the settings of the soak's processes name."""

SLACK_S = 1.5
"""How much later than promised something may come: the processes share one machine."""

MAX_ATTEMPTS = 3
"""Attempts that the routes allow; an item that workers failed so often may be given up."""

CRASHING_ITEM = "crash"
"""Ends the ids of batch items that crash workers; nobody misses their results."""

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run and never will."""


@dataclass(slots=True)
class Violation:
    """A broken promise."""

    rule: str
    subject: str
    detail: str
    at_s: float


@dataclass(slots=True)
class Run:
    """One run at a worker; ``draining_since_s`` is set if that worker was leaving."""

    worker_id: str
    at_s: float
    resume_after: int = 0
    draining_since_s: float | None = None
    tenant: str | None = None
    key: str | None = None
    """The tenant and the caller's key as the worker got them."""

    software_version: str = ""


@dataclass(slots=True)
class OnlineRequest:
    """One attempt of a caller."""

    request_id: str
    repeatable: bool
    sent_at_s: float
    timeout_s: float
    tenant: str = ""
    status: int | None = None
    ended_at_s: float | None = None


@dataclass(slots=True)
class BatchJob:
    """A job as its caller knows it."""

    job_id: str
    item_ids: list[str]
    tenant: str = ""
    accepted_at_s: float | None = None
    refused_everywhere: bool = False
    ended_at_s: float | None = None
    end_asked: bool = False
    results: list[tuple[str, str, str]] = field(default_factory=list)


class History:
    """Records what was seen and checks it."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.online: dict[str, OnlineRequest] = {}
        self.jobs: dict[str, BatchJob] = {}
        self.job_by_item: dict[str, BatchJob] = {}
        self.runs_by_id: dict[str, list[Run]] = defaultdict(list)
        self.given_up_reasons: set[str] = set()
        self.failed_answers: Counter[str] = Counter()
        """Answers of 500 that workers gave, by request or item."""

        self.all_in_touch: Callable[[float], bool] = lambda since_s: False

    def violate(self, rule: str, subject: str, detail: str, at_s: float) -> None:
        """Note a broken promise."""
        self.violations.append(Violation(rule, subject, detail, round(at_s, 3)))

    # What workers see

    def note_run(self, request_id: str, run: Run) -> None:
        """Note that a worker began a request."""
        runs = self.runs_by_id[request_id]
        self._check_software(request_id, runs, run)
        runs.append(run)
        self._check_draining(request_id, run)
        req = self.online.get(request_id)
        self._check_tenant(request_id, run, req or self.job_by_item.get(request_id))
        if req is not None:
            self._check_online_run(req, runs, run)
            return
        job = self.job_by_item.get(request_id)
        if job is None:
            self.violate("UNASKED", request_id, f"ran at {run.worker_id}", run.at_s)
        elif job.refused_everywhere:
            self.violate("REFUSED", request_id, f"item of refused job {job.job_id}", run.at_s)
        else:
            self._check_cancelled(job, request_id, run)

    def _check_tenant(
        self, request_id: str, run: Run, asked: OnlineRequest | BatchJob | None
    ) -> None:
        """Workers get the tenant of the caller's key, and never the key."""
        if run.key is not None:
            self.violate("UNASKED", request_id, "the caller's key reached a worker", run.at_s)
        if asked is not None and asked.tenant and run.tenant != asked.tenant:
            detail = f"ran for tenant {run.tenant}, sent by {asked.tenant}"
            self.violate("UNASKED", request_id, detail, run.at_s)

    def check_limit(self, tenant: str, window_s: float, most: float) -> None:
        """No window holds more runs of a tenant's requests than it may."""
        runs = [r[0].at_s for i, r in self.runs_by_id.items() if self._tenant_of(i) == tenant]
        runs.sort()
        first = 0
        for last, at_s in enumerate(runs):
            while at_s - runs[first] > window_s:
                first += 1
            if last - first + 1 > most:
                detail = f"{last - first + 1} runs within {window_s} s, {most:.0f} may be"
                self.violate("QUOTA", tenant, detail, at_s)
                return

    def _tenant_of(self, request_id: str) -> str | None:
        req = self.online.get(request_id)
        return req.tenant if req is not None else None

    def _check_software(self, request_id: str, before: list[Run], run: Run) -> None:
        """Check that a run goes on with what the same version of the workers' software wrote."""
        if not run.resume_after:
            return
        versions = {r.software_version for r in before if r.resume_after < run.resume_after}
        if run.software_version not in versions:
            detail = f"{run.software_version} goes on after {run.resume_after} of {versions}"
            self.violate("ORDER", request_id, detail, run.at_s)

    def _check_draining(self, request_id: str, run: Run) -> None:
        """No new work goes to a worker that is leaving, from processes in touch."""
        since_s = run.draining_since_s
        if since_s is None or run.at_s - since_s <= DRAIN_S + SLACK_S:
            return
        if self.all_in_touch(since_s):
            detail = f"reached {run.worker_id} {run.at_s - since_s:.2f} s after it began to drain"
            self.violate("DRAIN", request_id, detail, run.at_s)

    def _check_cancelled(self, job: BatchJob, item_id: str, run: Run) -> None:
        """No item of an ended job starts, from processes in touch."""
        since_s = job.ended_at_s
        if since_s is None or run.at_s - since_s <= CANCEL_S + SLACK_S:
            return
        if self.all_in_touch(since_s):
            detail = f"ran {run.at_s - since_s:.2f} s after the end of {job.job_id}"
            self.violate("UNASKED", item_id, detail, run.at_s)

    def _check_online_run(self, req: OnlineRequest, runs: list[Run], run: Run) -> None:
        if not req.repeatable and len(runs) > 1:
            workers = ", ".join(each.worker_id for each in runs)
            self.violate("TWICE", req.request_id, f"ran at {workers}", run.at_s)
        if not req.repeatable and req.status in REFUSALS:
            self.violate("REFUSED", req.request_id, f"ran after {req.status}", run.at_s)

    # What callers see

    def note_answer(self, req: OnlineRequest, status: int, at_s: float) -> None:
        """Note a whole answer to an online request."""
        req.status = status
        req.ended_at_s = at_s
        runs = self.runs_by_id.get(req.request_id, [])
        if status in REFUSALS and runs and not req.repeatable:
            detail = f"{status} after a run at {runs[0].worker_id}"
            self.violate("REFUSED", req.request_id, detail, at_s)
        if status == 404:
            self.violate("DENIED", req.request_id, "404 on a configured route", at_s)

    def note_page(
        self, job: BatchJob, after: int, results: list[dict[str, str]], at_s: float
    ) -> None:
        """Check a page of results against those read before."""
        for offset, result in enumerate(results):
            position = after + offset
            entry = (result["id"], result["state"], result["text"])
            if position < len(job.results):
                if job.results[position] != entry:
                    self.violate("TWICE", job.job_id, f"position {position} changed", at_s)
                continue
            if position > len(job.results):
                self.violate("LOST", job.job_id, f"position {position} before others", at_s)
                continue
            self._check_new_result(job, entry, at_s)
            job.results.append(entry)

    def _check_new_result(self, job: BatchJob, entry: tuple[str, str, str], at_s: float) -> None:
        item_id, state, text = entry
        if item_id not in job.item_ids:
            self.violate("MIXED", job.job_id, f"result of a strange item {item_id}", at_s)
        if any(item_id == listed[0] for listed in job.results):
            self.violate("TWICE", job.job_id, f"item {item_id} is listed twice", at_s)
        if state == "completed":
            expected = item_text(item_id)
            if text != expected:
                detail = f"item {item_id}: {len(text)} of {len(expected)} characters"
                self.violate("MIXED", job.job_id, detail, at_s)
        elif not job.end_asked and not self._may_be_given_up(item_id):
            self.violate("MIXED", job.job_id, f"item {item_id} given up without cause", at_s)

    def _may_be_given_up(self, item_id: str) -> bool:
        """Return whether workers said that an item cannot be done, or failed it often enough."""
        undoable = item_id in self.given_up_reasons
        return undoable or self.failed_answers[item_id] >= MAX_ATTEMPTS

    def check_ends(self, at_s: float) -> None:
        """Check what must be so once all faults are over and time was left."""
        for job in self.jobs.values():
            if job.accepted_at_s is None or job.end_asked:
                continue
            listed = {result[0] for result in job.results}
            missing = sum(
                not item_id.endswith(CRASHING_ITEM) and item_id not in listed
                for item_id in job.item_ids
            )
            if missing:
                detail = f"{missing} of {len(job.item_ids)} items not listed"
                self.violate("LOST", job.job_id, detail, at_s)


def piece_count(request_id: str) -> int:
    """Return how many events a stream has; it follows from the id."""
    return 3 + sum(request_id.encode()) % 10


def piece_text(request_id: str, number: int) -> str:
    """Return the data of one event of a stream."""
    return f"{request_id}:{number}"


def item_text(item_id: str) -> str:
    """Return the whole text of a batch item."""
    return "\n".join(piece_text(item_id, i) for i in range(1, piece_count(item_id) + 1))


def stream_body(request_id: str, after: int = 0) -> bytes:
    """Return the events of a stream from the one after ``after``."""
    events = (
        f"id: {i}\ndata: {piece_text(request_id, i)}\n\n"
        for i in range(after + 1, piece_count(request_id) + 1)
    )
    return "".join(events).encode()


def whole_body(request_id: str) -> bytes:
    """Return the body of an answer that is no stream."""
    return f"answer to {request_id}".encode()
