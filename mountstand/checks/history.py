"""Checks a recorded history of jobs and requests against what must always hold.

A history is a file of JSON lines, each one event of this module. Callers' events say what was sent
and seen; ``executed`` events say what back ends ran. All times are of one monotonic clock.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from mountstand.errors import InvalidSettings

START_AFTER_CANCEL_GRACE_S = 2.0
"""An acknowledged cancel stops new item starts everywhere within this time."""


class HistoryEvent(BaseModel):
    """Base of all events."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class JobAccepted(HistoryEvent):
    """A caller was told that a job is accepted."""

    event: Literal["job_accepted"] = "job_accepted"
    job: str
    items: int
    repeatable: bool = True


class JobRefused(HistoryEvent):
    """A caller was told that a job was not accepted."""

    event: Literal["job_refused"] = "job_refused"
    job: str
    executed: str


class CancelAcknowledged(HistoryEvent):
    """A caller was told that a job is cancelled."""

    event: Literal["cancel_acknowledged"] = "cancel_acknowledged"
    job: str
    time_s: float


class ItemResult(HistoryEvent):
    """A caller read a result; ``own`` says whether it is the answer to this very item."""

    event: Literal["item_result"] = "item_result"
    job: str
    item: int
    status: str
    own: bool


class RequestAnswered(HistoryEvent):
    """A caller got an answer to an online request."""

    event: Literal["request_answered"] = "request_answered"
    request: str
    own: bool
    whole: bool


class RequestRefused(HistoryEvent):
    """A caller got an error for an online request."""

    event: Literal["request_refused"] = "request_refused"
    request: str
    code: str
    executed: str


class NotRepeatableSent(HistoryEvent):
    """A caller sent a request that must run at most once."""

    event: Literal["not_repeatable_sent"] = "not_repeatable_sent"
    request: str


class Executed(HistoryEvent):
    """A back end ran a dispatch; ``label`` is the request's id or ``job:item``."""

    event: Literal["executed"] = "executed"
    label: str
    dispatch: str
    started_s: float
    worker: str = ""


AnyEvent = Annotated[
    JobAccepted
    | JobRefused
    | CancelAcknowledged
    | ItemResult
    | RequestAnswered
    | RequestRefused
    | NotRepeatableSent
    | Executed,
    Field(discriminator="event"),
]
EVENT_ADAPTER: TypeAdapter[AnyEvent] = TypeAdapter(AnyEvent)


@dataclass
class HistoryReport:
    """What a history shows; every count should be 0, but for those of what went well."""

    accepted: int = 0
    completed: int = 0
    failed: int = 0
    outcome_unknown: int = 0
    lost: int = 0
    duplicated: int = 0
    crossed: int = 0
    truncated: int = 0
    ran_after_refusal: int = 0
    ran_after_cancel: int = 0
    not_repeatable_ran_twice: int = 0
    examples: list[str] = field(default_factory=list)

    @property
    def is_clean(self) -> bool:
        """Whether nothing that must always hold was broken."""
        broken = (
            self.lost
            + self.duplicated
            + self.crossed
            + self.truncated
            + self.ran_after_refusal
            + self.ran_after_cancel
            + self.not_repeatable_ran_twice
        )
        return broken == 0

    def as_dict(self) -> dict[str, object]:
        """Return the report for JSON."""
        return asdict(self)


class HistoryChecker:
    """Collects events and reports on them."""

    def __init__(self, events: Iterable[HistoryEvent]) -> None:
        self._report = HistoryReport()
        self._jobs: dict[str, JobAccepted] = {}
        self._refused_jobs: dict[str, JobRefused] = {}
        self._cancelled: dict[str, CancelAcknowledged] = {}
        self._results: dict[str, Counter[int]] = defaultdict(Counter)
        self._refused_requests: dict[str, RequestRefused] = {}
        self._answered: set[str] = set()
        self._not_repeatable: set[str] = set()
        self._executed: dict[str, list[Executed]] = defaultdict(list)
        for event in events:
            self._take(event)

    def check(self) -> HistoryReport:
        """Return the report."""
        for job in self._jobs.values():
            self._check_job(job)
        for label, executions in self._executed.items():
            self._check_execution(label, executions)
        return self._report

    def _take(self, event: HistoryEvent) -> None:
        if isinstance(event, JobAccepted):
            self._jobs[event.job] = event
        elif isinstance(event, JobRefused):
            self._refused_jobs[event.job] = event
        elif isinstance(event, CancelAcknowledged):
            self._cancelled.setdefault(event.job, event)
        elif isinstance(event, ItemResult):
            self._take_result(event)
        elif isinstance(event, RequestAnswered):
            self._take_answer(event)
        elif isinstance(event, RequestRefused):
            self._refused_requests[event.request] = event
        elif isinstance(event, NotRepeatableSent):
            self._not_repeatable.add(event.request)
        elif isinstance(event, Executed):
            self._executed[event.label].append(event)

    def _take_result(self, event: ItemResult) -> None:
        self._results[event.job][event.item] += 1
        if event.status == "completed":
            self._report.completed += 1
            if not event.own:
                self._report.crossed += 1
                self._note(f"crossed: {event.job}:{event.item}")
        elif event.status == "outcome_unknown":
            self._report.outcome_unknown += 1
        else:
            self._report.failed += 1

    def _take_answer(self, event: RequestAnswered) -> None:
        self._answered.add(event.request)
        if not event.whole:
            self._report.truncated += 1
            self._note(f"truncated: {event.request}")
        elif not event.own:
            self._report.crossed += 1
            self._note(f"crossed: {event.request}")

    def _check_job(self, job: JobAccepted) -> None:
        self._report.accepted += job.items
        results = self._results[job.job]
        for item, count in results.items():
            if count > 1:
                self._report.duplicated += 1
                self._note(f"duplicated: {job.job}:{item}")
        if job.job in self._cancelled:
            return
        missing = [item for item in range(job.items) if item not in results]
        self._report.lost += len(missing)
        if missing:
            self._note(f"lost: {job.job}: {len(missing)} items, first {missing[0]}")

    def _check_execution(self, label: str, executions: list[Executed]) -> None:
        job_key, separator, _ = label.rpartition(":")
        if separator:
            self._check_item_execution(label, job_key, executions)
            return
        refused = self._refused_requests.get(label)
        if refused is not None and refused.executed == "no":
            self._report.ran_after_refusal += 1
            self._note(f"ran although refused as not run: {label} {refused.code}")
        if label in self._not_repeatable and len(executions) > 1:
            self._report.not_repeatable_ran_twice += 1
            self._note(f"ran twice: {label}")

    def _check_item_execution(self, label: str, job_key: str, executions: list[Executed]) -> None:
        job = self._jobs.get(job_key)
        refused = self._refused_jobs.get(job_key)
        if job is None and refused is not None and refused.executed == "no":
            self._report.ran_after_refusal += 1
            self._note(f"ran although refused as not run: {label}")
        if job is not None and not job.repeatable and len(executions) > 1:
            self._report.not_repeatable_ran_twice += 1
            self._note(f"ran twice: {label}")
        cancelled = self._cancelled.get(job_key)
        if cancelled is None:
            return
        limit_s = cancelled.time_s + START_AFTER_CANCEL_GRACE_S
        late = [e for e in executions if e.started_s > limit_s]
        self._report.ran_after_cancel += len(late)
        if late:
            self._note(f"started after cancel: {label}")

    def _note(self, example: str) -> None:
        if len(self._report.examples) < 20:
            self._report.examples.append(example)


def check_events(events: Iterable[HistoryEvent]) -> HistoryReport:
    """Return the report on a history."""
    return HistoryChecker(events).check()


def read_history(file: Path) -> list[AnyEvent]:
    """Return the events of a history file; raise ``InvalidSettings`` naming a faulty line."""
    events = []
    try:
        with file.open("rb") as lines:
            for number, line in enumerate(lines, start=1):  # noqa: B007 (used in the error)
                if line.strip():
                    events.append(EVENT_ADAPTER.validate_json(line))
    except OSError as problem:
        raise InvalidSettings(f"{file}: {problem.strerror}") from None
    except ValidationError as problem:
        detail = problem.errors()[0]["msg"]
        raise InvalidSettings(f"{file}, line {number}: {detail}") from None
    return events


def write_history(file: Path, events: Iterable[HistoryEvent]) -> None:
    """Write a history file."""
    with file.open("w", encoding="utf-8") as output:
        for event in events:
            output.write(event.model_dump_json() + "\n")
