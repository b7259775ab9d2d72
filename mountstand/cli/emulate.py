"""``mountstand emulate``: run stand-ins of the platform and the back ends."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa
from aiohttp import web
from pydantic import Field

from mountstand.emulator.application_app import ApplicationApp, ApplicationSettings
from mountstand.emulator.engine_app import EngineApp, EngineSettings
from mountstand.emulator.host import EmulatorHost, Listener
from mountstand.emulator.platform_apps import MachinesApp, ObjectsApp, TableApp, WeightsApp
from mountstand.emulator.tcp_proxy import ProxyApp
from mountstand.errors import InvalidSettings
from mountstand.process_settings import (
    IpAddress,
    Port,
    StrictModel,
    read_toml,
    validate_settings,
)
from mountstand.store.ports import Machine

StandInKind = Literal["engine", "application", "table", "objects", "machines", "weights", "proxy"]


class StandInSettings(StrictModel):
    """One stand-in: its kind, its address, and what its kind takes besides."""

    kind: StandInKind
    address: IpAddress = "127.0.0.1"
    port: Port
    seed: int = 0
    engine: EngineSettings = EngineSettings()
    application: ApplicationSettings = ApplicationSettings()
    machines_lag_s: float = Field(0.5, ge=0.0)
    machines: list[Machine] = Field(default_factory=list)
    proxied_port: Port | None = None
    target_port: Port | None = None


class EmulatorSettings(StrictModel):
    """All stand-ins of one process."""

    stand_in: list[StandInSettings] = Field(min_length=1)


def build_stand_in(settings: StandInSettings) -> web.Application:
    """Return the application of one stand-in."""
    if settings.kind == "engine":
        return EngineApp(settings.engine, settings.seed).build()
    if settings.kind == "application":
        return ApplicationApp(settings.application, settings.seed).build()
    if settings.kind == "table":
        return TableApp(settings.seed).build()
    if settings.kind == "objects":
        return ObjectsApp(settings.seed).build()
    if settings.kind == "weights":
        return WeightsApp(seed=settings.seed).build()
    if settings.kind == "proxy":
        return build_proxy(settings).build()
    machines = MachinesApp(settings.machines_lag_s, settings.seed)
    for machine in settings.machines:
        machines.put(machine)
    return machines.build()


def build_proxy(settings: StandInSettings) -> ProxyApp:
    """Return a fault-injecting proxy; its control interface is on the stand-in's port."""
    if settings.proxied_port is None or settings.target_port is None:
        raise InvalidSettings("stand_in: a proxy needs proxied_port and target_port")
    address = settings.address
    return ProxyApp(address, settings.proxied_port, address, settings.target_port)


def build_host(settings: EmulatorSettings) -> EmulatorHost:
    """Return a host that serves every stand-in of ``settings``."""
    return EmulatorHost(
        [
            Listener(build_stand_in(stand_in), stand_in.address, stand_in.port)
            for stand_in in settings.stand_in
        ]
    )


@cappa.command(
    name="emulate",
    help="Run stand-ins of engines, applications and the platform.",
    description=(
        "Examples:\n\n"
        "  mountstand emulate engine --port 9001\n\n"
        "  mountstand emulate fleet --settings fleet.toml"
    ),
)
@dataclass
class Emulate:
    """Run one stand-in, or all of a settings file."""

    kind: Annotated[
        Literal["engine", "application", "table", "objects", "machines", "weights", "fleet"],
        cappa.Arg(help="Which stand-in; 'fleet' takes all from --settings"),
    ]
    port: Annotated[int | None, cappa.Arg(long=True, help="TCP port")] = None
    address: Annotated[str, cappa.Arg(long=True, help="IP number")] = "127.0.0.1"
    settings: Annotated[Path | None, cappa.Arg(long=True, help="TOML file")] = None
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of the faults")] = 0

    def __call__(self) -> None:
        """Serve until interrupted."""
        values: dict[str, Any] = read_toml(self.settings) if self.settings else {}
        if self.kind != "fleet":
            values = {
                "stand_in": [
                    values
                    | {
                        "kind": self.kind,
                        "address": self.address,
                        "port": self.port,
                        "seed": self.seed,
                    }
                ]
            }
        host = build_host(validate_settings(EmulatorSettings, values))
        try:
            host.run()
        except KeyboardInterrupt:
            return
