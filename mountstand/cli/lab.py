"""``mountstand lab``: experiments on an emulated fleet."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from mountstand.cli.client import print_json
from mountstand.lab.batch_faults import run_batch_faults
from mountstand.lab.batch_throughput import run_batch_throughput
from mountstand.lab.configuration import run_configuration
from mountstand.lab.faults import run_faults
from mountstand.lab.online import run_online
from mountstand.lab.scale import run_scale
from mountstand.lab.shared_fleet import run_shared_fleet

EXPERIMENTS: dict[str, Callable[[int, Path | None], dict[str, Any]]] = {
    "configuration": lambda seed, history: run_configuration(seed),
    "faults": lambda seed, history: run_faults(seed),
    "scale": lambda seed, history: run_scale(seed),
    "online": lambda seed, history: run_online(seed),
    "batch-faults": run_batch_faults,
    "shared-fleet": lambda seed, history: run_shared_fleet("guild", seed),
    "batch-throughput": lambda seed, history: run_batch_throughput(seed),
}


@cappa.command(
    name="run",
    help="Run one experiment on loopback; about a minute each.",
    description=f"Experiments: {', '.join(EXPERIMENTS)}.\n\n"
    "Example: mountstand lab run batch-faults --seed 7 --json",
)
@dataclass
class Run:
    """Run an experiment."""

    experiment: Annotated[str, cappa.Arg(choices=list(EXPERIMENTS), help="Which")]
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of load and faults")] = 1
    history: Annotated[Path | None, cappa.Arg(long=True, help="Write the history here")] = None
    fleet: Annotated[
        str, cappa.Arg(long=True, choices=["guild", "franchise"], help="For shared-fleet")
    ] = "guild"
    json: Annotated[bool, cappa.Arg(long="--json", help="One closing JSON line")] = False

    def __call__(self) -> None:
        """Run, then print the closing line or a table."""
        if self.experiment == "shared-fleet":
            closing = run_shared_fleet(self.fleet, self.seed)
        else:
            closing = EXPERIMENTS[self.experiment](self.seed, self.history)
        if self.json:
            print_json(closing)
            return
        for key, value in closing.items():
            sys.stdout.write(f"{key:32} {value}\n")


@cappa.command(name="lab", help="Experiments that measure and disturb an emulated fleet.")
@dataclass
class Lab:
    """The lab."""

    command: cappa.Subcommands[Run]
