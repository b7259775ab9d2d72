"""``mountstand demo``: the whole system in one process on loopback, online and batch."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

import cappa
import orjson
import urllib3
from rich.console import Console

from mountstand.cli.client import DaemonClient, print_json
from mountstand.cli.emulate import EmulatorSettings, build_host
from mountstand.cli.job import watch_job
from mountstand.cli.stopping import CLOSE_S, end_after
from mountstand.daemon import Daemon
from mountstand.emulator.engine_core import expected_completion
from mountstand.lab.ports import LOOPBACK, free_ports
from mountstand.process_settings import DaemonSettings

ZONES = ("zone-a", "zone-b", "zone-c")
MODEL_WORKERS = 6
APPLICATION_WORKERS = 3
BATCH_ITEMS = 600
BATCH_TOKENS = 8
ONLINE_TOKENS = 24
ONLINE_PROMPT = "Caption the photograph of the lighthouse at dusk"
READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 10.0


@dataclass(frozen=True)
class DemoPorts:
    """Ports of the demo's parts."""

    table: int
    objects: int
    machines: int
    engines: list[int]
    applications: list[int]
    daemons: list[tuple[int, int]]


def choose_ports() -> DemoPorts:
    """Return free ports for every part."""
    ports = iter(free_ports(3 + MODEL_WORKERS + APPLICATION_WORKERS + 2 * len(ZONES)))
    return DemoPorts(
        table=next(ports),
        objects=next(ports),
        machines=next(ports),
        engines=[next(ports) for _ in range(MODEL_WORKERS)],
        applications=[next(ports) for _ in range(APPLICATION_WORKERS)],
        daemons=[(next(ports), next(ports)) for _ in ZONES],
    )


def emulator_settings(ports: DemoPorts) -> EmulatorSettings:
    """Return the stand-ins of the demo."""
    machines: list[dict[str, Any]] = []
    stand_ins: list[dict[str, Any]] = []
    for number, port in enumerate(ports.engines):
        machines.append(machine(f"engine-{number}", "engine", port, number, "caption"))
        stand_ins.append({"kind": "engine", "port": port, "seed": number})
    for number, port in enumerate(ports.applications):
        machines.append(machine(f"album-{number}", "application", port, number, "album"))
        stand_ins.append({"kind": "application", "port": port, "seed": number})
    for number, (_, control_port) in enumerate(ports.daemons):
        machines.append(machine(f"daemon-{number}", "daemon", control_port, number, ""))
    stand_ins += [
        {"kind": "table", "port": ports.table},
        {"kind": "objects", "port": ports.objects},
        {"kind": "machines", "port": ports.machines, "machines": machines, "machines_lag_s": 0.1},
    ]
    return EmulatorSettings.model_validate({"stand_in": stand_ins})


def machine(machine_id: str, role: str, port: int, number: int, service: str) -> dict[str, Any]:
    """Return one line of the machine list."""
    return {
        "machine_id": machine_id,
        "role": role,
        "address": LOOPBACK,
        "port": port,
        "zone": ZONES[number % len(ZONES)],
        "service": service,
    }


def daemon_settings(ports: DemoPorts, number: int) -> DaemonSettings:
    """Return the settings of one daemon of the demo."""
    port, control_port = ports.daemons[number]
    return DaemonSettings.model_validate(
        {
            "daemon_id": f"daemon-{number}",
            "zone": ZONES[number],
            "address": LOOPBACK,
            "port": port,
            "control_port": control_port,
            "platform": {
                "table_url": f"http://{LOOPBACK}:{ports.table}",
                "objects_url": f"http://{LOOPBACK}:{ports.objects}",
                "machines_url": f"http://{LOOPBACK}:{ports.machines}",
                "machines_poll_s": 0.3,
            },
            "online": {"threads": 16},
            "stop_timeout_s": STOP_TIMEOUT_S,
            "seed": number,
        }
    )


def stream_online(client: DaemonClient) -> bool:
    """Print an online stream as it arrives; return whether it was whole and right."""
    body = {
        "model": "caption",
        "prompt": ONLINE_PROMPT,
        "max_tokens": ONLINE_TOKENS,
        "stream": True,
    }
    answer = client.request("POST", "/v1/completions", orjson.dumps(body), stream=True)
    text = ""
    done = False
    for line in stream_lines(answer):
        if line == b"data: [DONE]":
            done = True
        elif line.startswith(b"data: "):
            token = orjson.loads(line[6:])["choices"][0]["text"]
            sys.stderr.write(token)
            sys.stderr.flush()
            text += token
    sys.stderr.write("\n")
    return done and text == expected_completion(ONLINE_PROMPT, ONLINE_TOKENS)


def stream_lines(answer: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the lines of an event stream as they arrive."""
    pending = b""
    for block in answer.stream(1024):
        *lines, pending = (pending + block).split(b"\n")
        yield from lines


def run_batch(clients: list[DaemonClient]) -> dict[str, int]:
    """Run a job through one daemon and read its results from another."""
    lines = [
        orjson.dumps(
            {
                "custom_id": f"photo-{n}",
                "body": {"model": "caption", "prompt": f"photo {n}", "max_tokens": BATCH_TOKENS},
            }
        )
        for n in range(BATCH_ITEMS)
    ]
    clients[0].request("PUT", "/v1/batches/demo", b"\n".join(lines))
    watch_job(clients[1], "demo", Console(stderr=True))
    answer = clients[2].request("GET", "/v1/batches/demo/results")
    indexes = []
    crossed = 0
    for line in answer.data.splitlines():
        result = orjson.loads(line)
        index = result["index"]
        indexes.append(index)
        text = result["response"]["body"]["choices"][0]["text"] if result["response"] else ""
        crossed += text != expected_completion(f"photo {index}", BATCH_TOKENS)
    return {
        "batch_items_completed": len(set(indexes)),
        "duplicates": len(indexes) - len(set(indexes)),
        "lost": BATCH_ITEMS - len(set(indexes)),
        "crossed": crossed,
    }


def wait_ready(daemons: list[Daemon]) -> None:
    """Wait until every daemon is ready and has load reports."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    workers = MODEL_WORKERS + APPLICATION_WORKERS
    while time.monotonic() < deadline_s:
        if all(d.is_ready() and len(d.router.machines()) == workers for d in daemons):
            return
        time.sleep(0.05)
    raise cappa.Exit("the fleet did not become ready", code=1)


def run_all(ports: DemoPorts, daemons: list[Daemon]) -> dict[str, Any]:
    """Run the online streams and the batch job; return what came of them."""
    wait_ready(daemons)
    clients = [DaemonClient(f"http://{LOOPBACK}:{port}") for port, _ in ports.daemons]
    online = [stream_online(client) for client in clients]
    clients[0].request("GET", "/v1/services/album/thumbnails/1")
    return {
        "demo": "ok",
        "online_completed": sum(online),
        **run_batch(clients),
        "daemons": len(daemons),
    }


def stop_into(stopped: list[bool], daemon: Daemon) -> None:
    """Stop a daemon, and add whether it stopped as planned."""
    stopped.append(daemon.stop())


@cappa.command(
    name="demo",
    help="Run an emulated fleet, three daemons, an online stream and a batch job.",
    description="Example: mountstand demo",
)
@dataclass
class Demo:
    """The main job in one command."""

    def __call__(self) -> None:
        """Run it; exit with 1 on any miss."""
        started_s = time.monotonic()
        ports = choose_ports()
        host = build_host(emulator_settings(ports))
        daemons = [Daemon(daemon_settings(ports, number)) for number in range(len(ZONES))]
        stopped: list[bool] = []
        # The threads of a daemon that is not stopped keep the process alive.
        with ExitStack() as to_stop:
            to_stop.callback(host.stop)
            for daemon in daemons:
                to_stop.callback(stop_into, stopped, daemon)
            to_stop.callback(end_after, STOP_TIMEOUT_S * len(daemons) + CLOSE_S)
            host.start()
            for daemon in daemons:
                daemon.start()
            closing = run_all(ports, daemons)
            closing["elapsed_s"] = round(time.monotonic() - started_s, 1)
        missed = closing["duplicates"] or closing["lost"] or closing["crossed"]
        whole_streams = closing["online_completed"] == len(daemons)
        if missed or not whole_streams or not all(stopped):
            closing["demo"] = "failed"
        print_json(closing)
        if closing["demo"] != "ok":
            raise cappa.Exit("the demo missed something", code=1)
