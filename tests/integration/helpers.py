"""What the integration tests share."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import Any

import orjson
from testtools import TestCase

from mountstand.daemon import Daemon
from mountstand.emulator.engine_core import expected_completion
from mountstand.lab.fleet import Fleet
from mountstand.lab.fleet_plan import DaemonAddress, FleetPlan
from mountstand.lab.ports import LOOPBACK
from mountstand.process_settings import DaemonSettings

WAIT_S = 60.0


def batch_lines(count: int, *, tokens: int = 4, prefix: str = "photo") -> bytes:
    """Return the JSON lines of a job."""
    return b"\n".join(
        orjson.dumps(
            {
                "custom_id": f"item-{n}",
                "body": {"model": "caption", "prompt": f"{prefix} {n}", "max_tokens": tokens},
            }
        )
        for n in range(count)
    )


def submit(fleet: Fleet, daemon: DaemonAddress, job_id: str, body: bytes, **headers: str) -> Any:
    """Submit a job; return the HTTP answer."""
    return fleet.http.request(
        "PUT", f"{daemon.callers_url}/v1/batches/{job_id}", body=body, headers=headers
    )


def job(fleet: Fleet, daemon: DaemonAddress, job_id: str) -> dict[str, Any]:
    """Return a job's document."""
    answer = fleet.http.request("GET", f"{daemon.callers_url}/v1/batches/{job_id}")
    return orjson.loads(answer.data)


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float = WAIT_S) -> None:
    """Wait for a condition, generously; the time it takes is no part of a test."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise AssertionError(f"not so after {timeout_s} s: {what}")
        time.sleep(0.05)


def wait_completed(fleet: Fleet, daemon: DaemonAddress, job_id: str) -> dict[str, Any]:
    """Wait until a job is completed; return its document."""
    wait_until(lambda: job(fleet, daemon, job_id)["status"] == "completed", f"{job_id} completes")
    return job(fleet, daemon, job_id)


def results(fleet: Fleet, daemon: DaemonAddress, job_id: str, query: str = "") -> list[Any]:
    """Return a job's results."""
    url = f"{daemon.callers_url}/v1/batches/{job_id}/results{query}"
    answer = fleet.http.request("GET", url)
    if answer.status != 200:
        raise AssertionError(answer.data)
    return [orjson.loads(line) for line in answer.data.splitlines()]


def check_results(found: list[Any], count: int, *, tokens: int = 4, prefix: str = "photo") -> None:
    """Assert that every item has exactly its own, whole answer."""
    assert [line["index"] for line in found] == list(range(count))
    for n, line in enumerate(found):
        assert line["custom_id"] == f"item-{n}", line
        text = line["response"]["body"]["choices"][0]["text"]
        assert text == expected_completion(f"{prefix} {n}", tokens), line


def stream_text(data: bytes) -> tuple[str, bool]:
    """Return the text of an event stream and whether it has its closing frame."""
    text = ""
    for frame in data.split(b"\n\n"):
        if frame.startswith(b"data: {"):
            choice = orjson.loads(frame[6:])["choices"][0]
            text += choice.get("text") or choice["delta"]["content"]
    return text, data.endswith(b"data: [DONE]\n\n")


class StandInsTestCase(TestCase):
    """Tests of one class share the stand-ins of a fleet without daemons."""

    fleet: Fleet

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.fleet = Fleet(FleetPlan(daemons=0, engines=1, applications=0))
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()


def daemon_in_process(case: TestCase, fleet: Fleet, address: DaemonAddress) -> Daemon:
    """Return a daemon of this process on a fleet's stand-ins, not started."""
    case.addCleanup(sys.setswitchinterval, sys.getswitchinterval())
    return Daemon(
        DaemonSettings(
            daemon_id=address.daemon_id,
            zone=address.zone,
            address=LOOPBACK,
            port=address.port,
            control_port=address.control_port,
            platform={
                "table_url": fleet.table_url,
                "objects_url": fleet.objects_url,
                "machines_url": fleet.machines_url,
                "machines_poll_s": 0.3,
            },
            online={"threads": 8},
            stop_timeout_s=5.0,
        )
    )
