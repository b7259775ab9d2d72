"""The workers' headers and what their answers say."""

from __future__ import annotations

from mountstand.platform import names
from mountstand.serving.prompt import Prompt, PromptPart
from mountstand.serving.worker import LoadReport, Worker
from mountstand.serving.worker_protocol import Call, ReplyKind, ReplySummary
from mountstand.transport.headers import Header, Headers, number
from mountstand.transport.http_client import ReplyHead

REPLACED = frozenset(
    name.lower()
    for name in (
        names.CALLER_KEY,
        names.DEADLINE_MS,
        names.EXPECTED_WORKER,
        names.LAST_EVENT_ID,
        names.TENANT,
        "Host",
    )
)
"""Headers of a caller that the system sets itself, or that no worker may see."""

MAX_COUNT = 10**8
"""Most tokens of a part, and most requests or slots of a worker. Sums of them, over all requests of
a daemon, fit into the messages between daemons."""

COUNTS_OF_LOAD = 3
"""Running requests, waiting requests and slots come first in a report of load."""


class PlatformWorkerProtocol:
    """Implements the port to the workers."""

    def request_headers(
        self, call: Call, worker: Worker, time_left_ms: int | None, resume_after: int | None
    ) -> list[Header]:
        """Return all headers of a dispatch, but for its framing."""
        headers: list[Header] = [("Host", call.host)]
        headers += [item for item in call.headers if item[0].lower() not in REPLACED]
        if not any(name.lower() == names.REQUEST_ID.lower() for name, _ in call.headers):
            headers.append((names.REQUEST_ID, call.request_id))
        headers.append((names.EXPECTED_WORKER, worker.record.worker_id))
        if call.tenant:
            headers.append((names.TENANT, call.tenant))
        if time_left_ms is not None:
            headers.append((names.DEADLINE_MS, str(time_left_ms)))
        if resume_after is not None:
            headers.append((names.LAST_EVENT_ID, str(resume_after)))
        return headers

    def is_reply_to(self, call: Call, headers: Headers) -> bool:
        """Return whether an answer echoes the id of ``call``."""
        return headers.get(names.REQUEST_ID.lower()) == call.request_id

    def reply_summary(self, head: ReplyHead) -> ReplySummary:
        """Return what an answer's head says."""
        kind = ReplyKind.ANSWERED
        if head.status == names.STATUS_OTHER_WORKER:
            kind = ReplyKind.OTHER_WORKER
        elif head.headers.get(names.NOT_RUN.lower()) is not None:
            kind = ReplyKind.NOT_RUN
        return ReplySummary(kind, _load(head.headers.get(names.LOAD.lower())))


def parse_prompt(text: str | None) -> Prompt:
    """Return the parts that a header lists as ``ID:TOKENS`` joined by commas.

    Counts that can't be true are taken for the closest that can.
    """
    if not text:
        return Prompt()
    parts = []
    for word in text.split(","):
        part_id, _, tokens = word.strip().partition(":")
        parts.append(PromptPart(part_id, min(MAX_COUNT, max(0, number(tokens) or 0))))
    return Prompt(tuple(parts))


def _load(text: str | None) -> LoadReport | None:
    """Return what a worker tells of its load: three counts, then the pace of its machine.

    The pace is in hundredths of the usual time and told by some workers alone; what a later
    version may add after it is passed over.
    """
    if text is None:
        return None
    figures = [number(word.strip()) for word in text.split(",")]
    counts = [
        figure
        for figure in figures[:COUNTS_OF_LOAD]
        if figure is not None and 0 <= figure <= MAX_COUNT
    ]
    if len(counts) < COUNTS_OF_LOAD:
        return None
    running, waiting, slots = counts
    hundredths = figures[COUNTS_OF_LOAD] if len(figures) > COUNTS_OF_LOAD else None
    is_pace = hundredths is not None and 0 < hundredths <= MAX_COUNT
    slowdown = hundredths / 100 if hundredths is not None and is_pace else None
    return LoadReport(running, waiting, slots, slowdown)
