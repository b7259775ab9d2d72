"""``mountstand job``: batch jobs from the command line."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

from mountstand.cli.client import DEFAULT_CALLERS_URL, DaemonClient, print_json
from mountstand.errors import InvalidSettings

WATCH_INTERVAL_S = 0.5
READ_BYTES = 65536

Url = Annotated[str, cappa.Arg(long=True, help="Callers' interface of a daemon")]
Token = Annotated[str, cappa.Arg(long=True, help="Caller's token")]
Tenant = Annotated[str, cappa.Arg(long=True, help="Tenant; the daemon's default if empty")]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="One JSON line for scripts")]
JobId = Annotated[str, cappa.Arg(help="The caller's own id of the job")]


def describe(document: dict[str, Any]) -> str:
    """Return one line about a job for a person."""
    counts = document["request_counts"]
    return (
        f"{document['id']}: {document['status']}, {counts['completed']} completed, "
        f"{counts['failed']} failed of {counts['total']}"
    )


def show(document: dict[str, Any], *, as_json: bool) -> None:
    """Print a job for a person or a script."""
    if as_json:
        print_json(document)
    else:
        print(describe(document))


def watch_job(client: DaemonClient, job_id: str, console: Console) -> dict[str, Any]:
    """Show a progress bar until the job ends; return its document."""
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
    )
    with Progress(*columns, console=console) as progress:
        bar = progress.add_task(job_id, total=None)
        while True:
            document: dict[str, Any] = client.json("GET", f"/v1/batches/{job_id}")
            counts = document["request_counts"]
            done = counts["completed"] + counts["failed"]
            progress.update(bar, total=counts["total"], completed=done)
            if document["status"] != "running":
                return document
            time.sleep(WATCH_INTERVAL_S)


def read_blocks(file: Path) -> Iterator[bytes]:
    """Yield a file's content block by block, so that memory does not grow with the job."""
    try:
        with file.open("rb") as source:
            while block := source.read(READ_BYTES):
                yield block
    except OSError as problem:
        raise InvalidSettings(f"{file}: {problem.strerror}") from None


@cappa.command(
    name="submit",
    help="Submit a file of JSON lines as a job; sending it again is harmless.",
    description="Example: mountstand job submit reunion-2026 items.jsonl --watch",
)
@dataclass
class Submit:
    """Submit a job."""

    job_id: JobId
    file: Annotated[Path, cappa.Arg(help='Lines like {"custom_id": "a", "body": {...}}')]
    url: Url = DEFAULT_CALLERS_URL
    token: Token = ""
    tenant: Tenant = ""
    priority: Annotated[int, cappa.Arg(long=True, help="0 first to 9 last")] = 5
    due_in_s: Annotated[int, cappa.Arg(long=True, help="Seconds until due; 0: never")] = 0
    once: Annotated[bool, cappa.Arg(long=True, help="Items must not run twice")] = False
    watch: Annotated[bool, cappa.Arg(long=True, help="Show progress until it ends")] = False
    json: AsJson = False

    def __call__(self) -> None:
        """Submit, and watch if asked to."""
        client = DaemonClient(self.url, self.token, self.tenant)
        headers = {
            "X-Batch-Priority": str(self.priority),
            "X-Repeatable": "no" if self.once else "yes",
        }
        if self.due_in_s:
            headers["X-Due-Time"] = str(int(time.time()) + self.due_in_s)
        document = client.json(
            "PUT", f"/v1/batches/{self.job_id}", read_blocks(self.file), headers=headers
        )
        if self.watch:
            document = watch_job(client, self.job_id, Console(stderr=True))
        show(document, as_json=self.json)


@dataclass
class OneJob:
    """Flags of the commands that name one job and print it."""

    job_id: JobId
    url: Url = DEFAULT_CALLERS_URL
    token: Token = ""
    tenant: Tenant = ""
    json: AsJson = False

    def client(self) -> DaemonClient:
        """Return a client for the flags."""
        return DaemonClient(self.url, self.token, self.tenant)


@cappa.command(name="status", help="Show one job.")
@dataclass
class Status(OneJob):
    """Show a job."""

    def __call__(self) -> None:
        """Print the job."""
        client = self.client()
        show(client.json("GET", f"/v1/batches/{self.job_id}"), as_json=self.json)


@cappa.command(name="watch", help="Show a progress bar until a job ends.")
@dataclass
class Watch(OneJob):
    """Watch a job."""

    def __call__(self) -> None:
        """Watch, then print the job."""
        client = self.client()
        show(watch_job(client, self.job_id, Console(stderr=True)), as_json=self.json)


@cappa.command(
    name="results",
    help="Write a job's results as JSON lines.",
    description="Example: mountstand job results reunion-2026 --first 0 --count 100",
)
@dataclass
class Results:
    """Read results."""

    job_id: JobId
    url: Url = DEFAULT_CALLERS_URL
    token: Token = ""
    tenant: Tenant = ""
    first: Annotated[int, cappa.Arg(long=True, help="First item")] = 0
    count: Annotated[int | None, cappa.Arg(long=True, help="Items; all if not given")] = None
    partial: Annotated[bool, cappa.Arg(long=True, help="Leave out what is not done")] = False

    def __call__(self) -> None:
        """Copy the results to standard output as they come."""
        client = DaemonClient(self.url, self.token, self.tenant)
        query = f"first={self.first}&partial={'yes' if self.partial else 'no'}"
        if self.count is not None:
            query += f"&count={self.count}"
        answer = client.request("GET", f"/v1/batches/{self.job_id}/results?{query}", stream=True)
        for block in answer.stream(READ_BYTES):
            sys.stdout.buffer.write(block)
        sys.stdout.buffer.flush()


@cappa.command(name="cancel", help="Cancel a job; what is finished stays readable.")
@dataclass
class Cancel(OneJob):
    """Cancel a job."""

    def __call__(self) -> None:
        """Cancel, then print the job."""
        client = self.client()
        show(client.json("POST", f"/v1/batches/{self.job_id}/cancel"), as_json=self.json)


@cappa.command(name="list", help="List the tenant's jobs, newest first.")
@dataclass
class ListJobs:
    """List jobs."""

    url: Url = DEFAULT_CALLERS_URL
    token: Token = ""
    tenant: Tenant = ""
    json: AsJson = False

    def __call__(self) -> None:
        """Print the jobs."""
        client = DaemonClient(self.url, self.token, self.tenant)
        for document in client.json("GET", "/v1/batches")["data"]:
            show(document, as_json=self.json)


@cappa.command(name="job", help="Submit, follow, read and cancel batch jobs.")
@dataclass
class Job:
    """Batch jobs."""

    command: cappa.Subcommands[Submit | Status | Watch | Results | Cancel | ListJobs]
