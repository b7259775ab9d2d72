"""``mountstand serve``: run one daemon."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from mountstand.cli.stopping import CLOSE_S, CUT_OFF, StopSignals, end_after
from mountstand.daemon import Daemon
from mountstand.process_settings import load_daemon_settings
from mountstand.telemetry.logs import configure_logging


@cappa.command(
    name="serve",
    help="Run one daemon beside a caller.",
    description=(
        "Examples:\n\n"
        "  mountstand serve --settings daemon.toml\n\n"
        "  mountstand serve --settings daemon.toml --daemon-id d2 --port 8002 --control-port 8102"
    ),
)
@dataclass
class Serve:
    """Run a daemon until SIGTERM or SIGINT, then stop without cutting anything off."""

    settings: Annotated[Path | None, cappa.Arg(long=True, help="TOML file")] = None
    daemon_id: Annotated[str | None, cappa.Arg(long=True, help="Unique name")] = None
    zone: Annotated[str | None, cappa.Arg(long=True, help="Zone of this machine")] = None
    address: Annotated[str | None, cappa.Arg(long=True, help="IP number to serve on")] = None
    port: Annotated[int | None, cappa.Arg(long=True, help="Callers' port")] = None
    control_port: Annotated[int | None, cappa.Arg(long=True, help="Operators and peers")] = None
    table_url: Annotated[str | None, cappa.Arg(long=True, help="http://IP:PORT")] = None
    objects_url: Annotated[str | None, cappa.Arg(long=True, help="http://IP:PORT")] = None
    machines_url: Annotated[str | None, cappa.Arg(long=True, help="http://IP:PORT")] = None

    def __call__(self) -> None:
        """Serve until told to stop."""
        settings = load_daemon_settings(
            self.settings,
            {
                "daemon_id": self.daemon_id,
                "zone": self.zone,
                "address": self.address,
                "port": self.port,
                "control_port": self.control_port,
                "platform.table_url": self.table_url,
                "platform.objects_url": self.objects_url,
                "platform.machines_url": self.machines_url,
            },
        )
        configure_logging(settings.daemon_id)
        limit_s = settings.stop_timeout_s + CLOSE_S
        signals = StopSignals(limit_s)
        daemon = Daemon(settings)
        daemon.on_server_end = signals.note_failure
        daemon.start()
        signals.wait()
        end_after(limit_s)
        stopped = daemon.stop()
        signals.ignore()
        if not stopped:
            raise cappa.Exit("some work was cut off, or a step of the stop failed", code=CUT_OFF)
        if signals.has_failed:
            raise cappa.Exit("an interface of the daemon has ended", code=CUT_OFF)
