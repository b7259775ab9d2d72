"""``mountstand check``: checkers over recorded files."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from mountstand.checks.history import check_events, read_history
from mountstand.cli.client import print_json


@cappa.command(
    name="history",
    help="Check a recorded history for lost, doubled, crossed and forbidden runs.",
    description="Example: mountstand lab run batch-faults --history h.jsonl; "
    "mountstand check history h.jsonl",
)
@dataclass
class CheckHistory:
    """Check a history."""

    file: Annotated[Path, cappa.Arg(help="JSON lines as the lab writes them")]

    def __call__(self) -> None:
        """Print the report; exit with 1 when a promise was broken."""
        report = check_events(read_history(self.file))
        print_json(report.as_dict())
        if not report.is_clean:
            raise cappa.Exit("the history breaks what must always hold", code=1)


@cappa.command(name="check", help="Check recorded files.")
@dataclass
class Check:
    """Checkers."""

    command: cappa.Subcommands[CheckHistory]
