"""Converts between crash suspects and the reports that daemons exchange about them.

Reports carry ages instead of times, since daemons share no clock.
"""

from __future__ import annotations

from collections.abc import Iterable

from mountstand.quarantine.suspect import NEVER_S, NO_TRIALS, Trials, WorkerCrash
from mountstand.quarantine.suspects import CrashSuspects
from mountstand.wire.gossip import NEVER_SERVED, CrashReport, SuspectEntry

ENTRIES_PER_REPORT = 8
"""An entry takes up to 135 bytes, so that a report fits into a datagram of 1,200 bytes."""


def build_report(suspects: CrashSuspects, contents: Iterable[int], now_s: float) -> CrashReport:
    """Return a report on those of ``contents`` that are suspected."""
    known = [content for content in contents if content in suspects.by_content]
    return CrashReport(tuple(_entry(suspects, content, now_s) for content in known))


def build_reports(suspects: CrashSuspects, contents: list[int], now_s: float) -> list[CrashReport]:
    """Return as many reports as needed for each to fit into one datagram."""
    starts = range(0, len(contents), ENTRIES_PER_REPORT)
    return [
        build_report(suspects, contents[start : start + ENTRIES_PER_REPORT], now_s)
        for start in starts
    ]


def merge_report(suspects: CrashSuspects, report: CrashReport, now_s: float) -> list[int]:
    """Merge a report; return the contents of which it had new evidence."""
    return [
        entry.content
        for entry in report.suspects
        if suspects.merge(
            entry.content, *_evidence(entry, now_s), has_uncounted_crashes=entry.uncounted
        )
    ]


def _entry(suspects: CrashSuspects, content: int, now_s: float) -> SuspectEntry:
    suspect = suspects.by_content[content]
    served = suspect.served_at_s != NEVER_S
    return SuspectEntry(
        content,
        tuple(suspect.crash_by_worker),
        tuple(age_ms(now_s, crash.at_s) for crash in suspect.crash_by_worker.values()),
        tuple(round(crash.run_duration_s * 1000) for crash in suspect.crash_by_worker.values()),
        age_ms(now_s, suspect.served_at_s) if served else NEVER_SERVED,
        suspect.trials.count,
        age_ms(now_s, suspect.trials.last_at_s) if suspect.trials.count else 0,
        suspect.has_uncounted_crashes,
    )


def _evidence(entry: SuspectEntry, now_s: float) -> tuple[dict[int, WorkerCrash], float, Trials]:
    """Return crashes by worker key, the time of the last success, and the trials."""
    reported = zip(entry.workers, entry.ages_ms, entry.ran_ms, strict=False)
    crash_by_worker = {
        worker: WorkerCrash(now_s - max(0, crash_age_ms) / 1000, max(0, ran_ms) / 1000)
        for worker, crash_age_ms, ran_ms in reported
    }
    served_at_s = NEVER_S
    if entry.served_ms != NEVER_SERVED:
        served_at_s = now_s - max(0, entry.served_ms) / 1000
    trials = NO_TRIALS
    if entry.trials > 0:
        trials = Trials(entry.trials, now_s - max(0, entry.tried_ms) / 1000)
    return crash_by_worker, served_at_s, trials


def age_ms(now_s: float, at_s: float) -> int:
    """Return an age in whole milliseconds, rounded down.

    The receiver's time is then never earlier than the sender's. Of several reported times the
    earliest holds, so that it stays the same however often reports are passed on.
    """
    return max(0, int((now_s - at_s) * 1000))
