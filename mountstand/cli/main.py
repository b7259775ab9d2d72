"""Entry point of the command line."""

from __future__ import annotations

import sys
from dataclasses import dataclass

import cappa

from mountstand import __version__
from mountstand.cli.check import Check
from mountstand.cli.demo import Demo
from mountstand.cli.emulate import Emulate
from mountstand.cli.job import Job
from mountstand.cli.lab import Lab
from mountstand.cli.serve import Serve
from mountstand.cli.settings import Settings
from mountstand.cli.status import Drain, ShowStatus
from mountstand.errors import InvalidSettings, MountstandError

EXIT_FAILURE = 1
EXIT_USAGE = 2


@cappa.command(
    name="mountstand",
    help="Serve online and batch inference on one fleet.",
    description="Run 'mountstand COMMAND --help' for the flags and examples of a command.",
)
@dataclass
class Mountstand:
    """The root command."""

    command: cappa.Subcommands[
        Demo | Serve | Emulate | Job | Settings | ShowStatus | Drain | Lab | Check
    ]


def main() -> None:
    """Run the command line; a coded error ends it with its remedy on standard error."""
    try:
        cappa.invoke(Mountstand, version=__version__)
    except InvalidSettings as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except MountstandError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_FAILURE)
