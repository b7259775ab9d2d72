"""The list of known failures, ``KNOWN-RED.txt``: what an entry excuses, and what it doesn't.

One line is one entry: ``TEST | KIND | FAILURE | WHAT IS KNOWN``. ``KIND`` is ``always``, or
``intermittent`` for a fault that shows in some runs only. ``FAILURE`` is a text that the failure
holds, such as the rule and the subject of an assertion. An entry excuses that failure of that test
and no other; a test that always fails and passes is an error, so that its line goes with the fault.
A test has as many entries as it has known failures.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

LIST = Path(__file__).parents[1] / "KNOWN-RED.txt"
SEPARATOR = " | "


class Kind(Enum):
    """How often a listed test fails."""

    ALWAYS = "always"
    INTERMITTENT = "intermittent"


class Verdict(Enum):
    """What becomes of a run of a listed test."""

    PASSED = "passed"
    EXCUSED = "excused"
    OTHER_FAILURE = "failed in another way than the list says"
    MENDED = "passes: take its line from the list"


VERDICTS_BY_WEIGHT = (Verdict.EXCUSED, Verdict.MENDED, Verdict.OTHER_FAILURE, Verdict.PASSED)
"""Which verdict holds where the entries of one test differ: the first of these."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A known failure of one test."""

    test_id: str
    kind: Kind
    failure: str
    known: str

    def judge(self, failure: str | None) -> Verdict:
        """Judge a run by the text of its failure, ``None`` if it passed."""
        if failure is not None:
            return Verdict.EXCUSED if self.failure in failure else Verdict.OTHER_FAILURE
        return Verdict.MENDED if self.kind is Kind.ALWAYS else Verdict.PASSED

    def __str__(self) -> str:
        return f"{self.test_id}: {self.kind.value}, {self.failure!r}: {self.known}"


@dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict on a run of a listed test, and the entries that it rests on."""

    verdict: Verdict
    entries: tuple[Entry, ...]

    def __str__(self) -> str:
        return "\n".join(map(str, self.entries))


def judge(entries: Iterable[Entry], failure: str | None) -> Judgement:
    """Judge a run by all entries of its test; ``failure`` is ``None`` if it passed.

    A failure is excused by any entry that names it.
    """
    entries_by_verdict: defaultdict[Verdict, list[Entry]] = defaultdict(list)
    for entry in entries:
        entries_by_verdict[entry.judge(failure)].append(entry)
    strongest = min(entries_by_verdict, key=VERDICTS_BY_WEIGHT.index)
    return Judgement(strongest, tuple(entries_by_verdict[strongest]))


def parse(text: str) -> dict[str, list[Entry]]:
    """Return the entries by their tests' ids. Raises ``ValueError``."""
    entries_by_test: defaultdict[str, list[Entry]] = defaultdict(list)
    for line in filter(str.strip, text.splitlines()):
        test_id, kind, failure, known = (field.strip() for field in line.split(SEPARATOR, 3))
        if not failure:
            raise ValueError(f"no text of a failure: {line}")
        if any(entry.failure == failure for entry in entries_by_test[test_id]):
            raise ValueError(f"a failure is listed twice: {line}")
        entries_by_test[test_id].append(Entry(test_id, Kind(kind), failure, known))
    return dict(entries_by_test)


def read(path: Path = LIST) -> dict[str, list[Entry]]:
    """Return the entries of the list by their tests' ids, none if there is no list."""
    return parse(path.read_text()) if path.exists() else {}
