"""A caller of batch jobs for experiments: submits, resends, cancels, reads, and records it all."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field
from typing import Any

import orjson
import urllib3

from mountstand.checks.history import (
    CancelAcknowledged,
    Executed,
    HistoryEvent,
    ItemResult,
    JobAccepted,
    JobRefused,
)
from mountstand.emulator.engine_core import expected_completion
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import DaemonAddress

DEFAULT_TENANT = "default"
RESEND_PAUSE_S = 0.3
REQUEST_TIMEOUT_S = 15.0
WAIT_INTERVAL_S = 0.2


@dataclass(frozen=True)
class LabJob:
    """A job of an experiment; its items' prompts follow from its id."""

    job_id: str
    items: int
    tokens: int
    model: str
    repeatable: bool = True
    priority: int = 5

    @property
    def key(self) -> str:
        """The job's key over all tenants."""
        return f"{DEFAULT_TENANT}/{self.job_id}"

    def prompt(self, item: int) -> str:
        """Return the prompt of an item."""
        return f"{self.job_id} item {item}"

    def body(self) -> bytes:
        """Return the job's JSON lines."""
        return b"\n".join(
            orjson.dumps(
                {
                    "custom_id": f"{self.job_id}-{item}",
                    "body": {
                        "model": self.model,
                        "prompt": self.prompt(item),
                        "max_tokens": self.tokens,
                    },
                }
            )
            for item in range(self.items)
        )


@dataclass
class BatchClient:
    """Acts for callers against a fleet; every method may run in its own thread."""

    fleet: Fleet
    events: list[HistoryEvent] = field(default_factory=list)
    reads: int = 0
    """Status reads that were answered; each costs the table one operation."""

    _lock: threading.Lock = field(default_factory=threading.Lock)

    def submit(self, job: LabJob, daemon: DaemonAddress) -> bool | None:
        """Send a job once; return whether it was accepted, ``None`` without a clear answer."""
        headers = {
            "X-Repeatable": "yes" if job.repeatable else "no",
            "X-Batch-Priority": str(job.priority),
        }
        url = f"{daemon.callers_url}/v1/batches/{job.job_id}"
        try:
            answer = self.fleet.http.request(
                "PUT", url, body=job.body(), headers=headers, timeout=REQUEST_TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return None
        if answer.status in (200, 201):
            self._record(JobAccepted(job=job.key, items=job.items, repeatable=job.repeatable))
            return True
        executed = orjson.loads(answer.data).get("executed", "unknown")
        if executed != "no":
            return None
        self._record(JobRefused(job=job.key, executed=executed))
        return False

    def submit_until_accepted(self, job: LabJob, deadline_s: float) -> bool:
        """Send a job to one daemon after another until one accepts it."""
        number = 0
        while time.monotonic() < deadline_s:
            daemon = self.fleet.daemons[number % len(self.fleet.daemons)]
            if self.submit(job, daemon):
                return True
            number += 1
            time.sleep(RESEND_PAUSE_S)
        return False

    def cancel(self, job: LabJob, daemon: DaemonAddress) -> bool:
        """Cancel a job; return whether the cancel was acknowledged."""
        url = f"{daemon.callers_url}/v1/batches/{job.job_id}/cancel"
        try:
            answer = self.fleet.http.request("POST", url, timeout=REQUEST_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return False
        if answer.status != 200 or orjson.loads(answer.data)["status"] != "cancelled":
            return False
        self._record(CancelAcknowledged(job=job.key, time_s=time.monotonic()))
        return True

    def document(self, job: LabJob, daemon: DaemonAddress) -> dict[str, Any] | None:
        """Return a job's document, if the daemon can tell."""
        url = f"{daemon.callers_url}/v1/batches/{job.job_id}"
        try:
            answer = self.fleet.http.request("GET", url, timeout=REQUEST_TIMEOUT_S)
        except urllib3.exceptions.HTTPError:
            return None
        if answer.status != 200:
            return None
        with self._lock:
            self.reads += 1
        return orjson.loads(answer.data)

    def wait_ended(self, jobs: list[LabJob], daemon: DaemonAddress, deadline_s: float) -> bool:
        """Wait until every job has ended; return whether all have."""
        waiting = list(jobs)
        while waiting and time.monotonic() < deadline_s:
            documents = [(job, self.document(job, daemon)) for job in waiting]
            waiting = [j for j, d in documents if d is None or d["status"] == "running"]
            time.sleep(WAIT_INTERVAL_S)
        return not waiting

    def read_results(self, job: LabJob, daemon: DaemonAddress) -> None:
        """Read and record every result that a job has."""
        url = f"{daemon.callers_url}/v1/batches/{job.job_id}/results?partial=yes"
        answer = self.fleet.http.request("GET", url, timeout=60.0)
        for line in answer.data.splitlines():
            result = orjson.loads(line)
            own = True
            if result["status"] == "completed":
                text = result["response"]["body"]["choices"][0]["text"]
                own = text == expected_completion(job.prompt(result["index"]), job.tokens)
                own = own and result["custom_id"] == f"{job.job_id}-{result['index']}"
            self._record(
                ItemResult(job=job.key, item=result["index"], status=result["status"], own=own)
            )

    def record_executions(self) -> None:
        """Record what the back ends ran."""
        for execution in self.fleet.executions():
            self._record(
                Executed(
                    label=execution["label"],
                    dispatch=execution["request_id"],
                    started_s=execution["started_s"],
                    worker=execution["worker"],
                )
            )

    def _record(self, event: HistoryEvent) -> None:
        with self._lock:
            self.events.append(event)
