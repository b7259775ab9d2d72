"""The list of known failures, ``KNOWN-RED.txt``: what an entry excuses, and what it doesn't.

One line is one entry: ``TEST | KIND | FAILURE | WHAT IS KNOWN``. ``KIND`` is ``always``, or
``intermittent`` for a fault that shows in some runs only. ``FAILURE`` is a text that the failure
holds, such as the rule and the subject of an assertion. An entry excuses that failure of that test
and no other; a test that always fails and passes is an error, so that its line goes with the fault.
"""

from __future__ import annotations

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


def parse(text: str) -> dict[str, Entry]:
    """Return the entries by their tests' ids. Raises ``ValueError``."""
    entries = {}
    for line in filter(str.strip, text.splitlines()):
        test_id, kind, failure, known = (field.strip() for field in line.split(SEPARATOR, 3))
        if not failure:
            raise ValueError(f"no text of a failure: {line}")
        entries[test_id] = Entry(test_id, Kind(kind), failure, known)
    return entries


def read(path: Path = LIST) -> dict[str, Entry]:
    """Return the entries of the list, none if there is no list."""
    return parse(path.read_text()) if path.exists() else {}
