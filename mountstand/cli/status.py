"""``mountstand status`` and ``mountstand drain``: what a daemon knows, and taking work away."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa
from rich.console import Console
from rich.table import Table

from mountstand.cli.client import DEFAULT_CONTROL_URL, DaemonClient, print_json
from mountstand.cli.settings import Operator, Set, Token, Url


@cappa.command(
    name="status",
    help="Show workers, members, owned shards and running batch work of a daemon.",
    description="Example: mountstand status workers --json",
)
@dataclass
class ShowStatus:
    """Show a daemon's status."""

    part: Annotated[str, cappa.Arg(help="workers, members, owner, executor or settings")] = (
        "workers"
    )
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""
    json: Annotated[bool, cappa.Arg(long="--json", help="One JSON line")] = False

    def __call__(self) -> None:
        """Print one part."""
        found = DaemonClient(self.url, self.token).json("GET", f"/status/{self.part}")
        if self.json or not isinstance(found, list):
            print_json(found)
            return
        table = Table(*(found[0] if found else ["nothing"]))
        for line in found:
            table.add_row(*(str(value) for value in line.values()))
        Console().print(table)


@cappa.command(
    name="drain",
    help="Give a worker or a zone no new work; what it has, it finishes.",
    description="Example: mountstand drain zones/zone-a; mountstand drain zones/zone-a --undo",
)
@dataclass
class Drain:
    """Drain a worker or zone through the settings tree."""

    path: Annotated[str, cappa.Arg(help="workers/NAME or zones/NAME")]
    url: Url = DEFAULT_CONTROL_URL
    token: Token = ""
    operator: Operator = "cli"
    undo: Annotated[bool, cappa.Arg(long=True, help="Give it work again")] = False

    def __call__(self) -> None:
        """Set the branch's ``drained`` value."""
        value = "false" if self.undo else "true"
        Set(self.path, "drained", value, self.url, self.token, self.operator)()
