"""Tests that fail for a known fault, as :mod:`tests.known_red` lists them, are passed over.

Each run that is excused is printed whole, since a fault that shows seldom is traced by what it
leaves. ``--runxfail`` excuses nothing.
"""

from __future__ import annotations

from collections.abc import Generator

import pytest

from tests import known_red
from tests.known_red import Verdict

ENTRIES_BY_TEST = known_red.read()
EXCUSED: list[str] = []
"""What the runs left that were excused."""


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Judge runs of listed tests; a failure that is not the listed one stays one."""
    report = yield
    entries = ENTRIES_BY_TEST.get(item.nodeid)
    if entries is None or report.when != "call" or report.skipped or item.config.option.runxfail:
        return report
    left = "\n".join([report.longreprtext, *(text for _, text in report.sections)])
    judgement = known_red.judge(entries, report.longreprtext if report.failed else None)
    if judgement.verdict is Verdict.EXCUSED:
        report.outcome = "skipped"
        report.wasxfail = str(judgement)
        EXCUSED.append(f"{judgement}\n{left}")
    elif judgement.verdict is Verdict.MENDED:
        report.outcome = "failed"
        report.longrepr = f"{judgement.verdict.value}: {judgement}"
    elif judgement.verdict is Verdict.OTHER_FAILURE:
        report.sections.append(("known failure", f"{judgement.verdict.value}: {judgement}"))
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list, and whole what was excused."""
    for entries in ENTRIES_BY_TEST.values():
        for entry in entries:
            terminalreporter.write_line(f"known red: {entry}")
    for left in EXCUSED:
        terminalreporter.section("excused")
        terminalreporter.write_line(left)
